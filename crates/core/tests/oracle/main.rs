//! Two or three engines, a table and targets under random events with faults, against an oracle
//! that counts what must not happen.
//!
//! The oracle knows every submission, every run of a task on a target and every answer to a caller.
//! A violation is one of these:
//!
//! - a task that ran twice: of a submission, or of a request id over all its submissions
//! - a job that was answered as "not run" and ran before or afterwards
//! - a start that was emitted after the final answer of its job
//! - a second start, or a second question, for the same start
//! - a caller that got no answer, two answers, or the answer to another job
//! - a job, a claim or a timer that is still there long after all deadlines, or slots that stay taken
//! - a row of the table that stays claimed although its owner lives and its job has ended
//!
//! `oracle_sequences` runs fixed seeds. `ORACLE_STEPS=1000000 cargo test --release -p verbenapass
//! --test oracle oracle_sequences -- --nocapture` runs until that many events were handled and
//! prints the counts; `ORACLE_SEED` sets the first seed. `oracle_fuzz` is the same as a bolero
//! target; without `BOLERO_RANDOM_ITERATIONS` it only replays stored inputs.

mod world;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use world::{Tally, World};

/// Bytes of choices for one world.
const LENGTH: usize = 2_000;

/// Worlds that the plain test run goes through.
const WORLDS: u64 = 150;

fn choices(seed: u64) -> Vec<u8> {
    let mut bytes = vec![0; LENGTH];
    StdRng::seed_from_u64(seed).fill_bytes(&mut bytes);
    bytes
}

fn variable(name: &str) -> Option<u64> {
    std::env::var(name).ok().map(|text| text.parse().expect("a whole number"))
}

// Guards against violations of the guarantees under any mix of faults.
#[test]
fn oracle_sequences() {
    let wanted = variable("ORACLE_STEPS");
    let mut seed = variable("ORACLE_SEED").unwrap_or(1);
    let last = seed + WORLDS;
    let mut tally = Tally::default();
    while wanted.map_or(seed < last, |wanted| tally.steps < wanted) {
        let bytes = choices(seed);
        let one = World::run(&bytes);
        if !one.violations.is_empty() && tally.violations.len() < 20 {
            println!("seed {seed}: {:#?}", one.violations);
        }
        tally.add(one);
        seed += 1;
    }
    println!("{tally}");
    assert!(tally.violations.is_empty(), "{} violations", tally.violations.len());
    // Without these the faults would not have been exercised.
    assert!(tally.outcomes.len() >= 6, "{tally}");
    assert!(tally.takeovers > 0 && tally.attached > 0 && tally.queries > 0, "{tally}");
}

// Guards against violations that only certain sequences of choices lead to.
#[test]
fn oracle_fuzz() {
    bolero::check!().with_iterations(0).with_max_len(LENGTH).for_each(|bytes: &[u8]| {
        let tally = World::run(bytes);
        assert!(tally.violations.is_empty(), "{:#?}", tally.violations);
    });
}
