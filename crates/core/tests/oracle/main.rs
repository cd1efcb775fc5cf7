//! Randomised simulation of two or three engines, the platform's table and targets with injected
//! faults. A test oracle checks the invariants.
//!
//! The oracle sees every submission, every run of a task at a target and each response to a caller.
//! Each of these is a violation:
//!
//! - a task runs twice, within one submission or over all submissions with the same request id
//! - a job is answered as not run, and one of its tasks runs before or after that
//! - a start is emitted after the final answer of its job
//! - a start is emitted twice, or its target is queried twice about it
//! - a caller gets no response, two responses, or the answers of another job
//! - a job, claim or timer remains long after all deadlines, or slots stay taken
//! - a row of the table stays claimed although its owner is alive and the job has ended
//!
//! `oracle_sequences` runs fixed seeds. `ORACLE_STEPS=1000000 cargo test --release -p verbenapass
//! --test oracle oracle_sequences -- --nocapture` runs until that many events have been handled and
//! prints the totals; `ORACLE_SEED` sets the first seed. `oracle_fuzz` is the same as a bolero
//! target; without `BOLERO_RANDOM_ITERATIONS` it only replays stored inputs.

mod world;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use world::{Summary, World};

/// Number of random bytes from which one world makes its choices.
const CHOICE_BYTES: usize = 2_000;

/// Number of worlds in a run without `ORACLE_STEPS`.
const WORLDS: u64 = 150;

fn choices(seed: u64) -> Vec<u8> {
    let mut bytes = vec![0; CHOICE_BYTES];
    StdRng::seed_from_u64(seed).fill_bytes(&mut bytes);
    bytes
}

fn variable(name: &str) -> Option<u64> {
    std::env::var(name).ok().map(|text| text.parse().expect("a whole number"))
}

// Guards against violations of the invariants under random combinations of faults.
#[test]
fn oracle_sequences() {
    let max_steps = variable("ORACLE_STEPS");
    let mut seed = variable("ORACLE_SEED").unwrap_or(1);
    let end = seed + WORLDS;
    let mut summary = Summary::default();
    while max_steps.map_or(seed < end, |max_steps| summary.steps < max_steps) {
        let bytes = choices(seed);
        let world_summary = World::run(&bytes);
        if !world_summary.violations.is_empty() && summary.violations.len() < 20 {
            println!("seed {seed}: {:#?}", world_summary.violations);
        }
        summary.add(world_summary);
        seed += 1;
    }
    println!("{summary}");
    assert!(summary.violations.is_empty(), "{} violations", summary.violations.len());
    // Otherwise the faults were not exercised.
    assert!(summary.outcomes.len() >= 6, "{summary}");
    assert!(summary.takeovers > 0 && summary.owner_queries > 0 && summary.queries > 0, "{summary}");
}

// Guards against violations that only rare sequences of choices cause.
#[test]
fn oracle_fuzz() {
    bolero::check!().with_iterations(0).with_max_len(CHOICE_BYTES).for_each(|bytes: &[u8]| {
        let summary = World::run(bytes);
        assert!(summary.violations.is_empty(), "{:#?}", summary.violations);
    });
}
