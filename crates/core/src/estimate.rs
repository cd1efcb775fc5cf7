//! Learnt run times by team and kind.
//!
//! # Example
//!
//! ```
//! use verbenapass::estimate::Estimator;
//! use verbenapass::unit::{Micros, Millis};
//!
//! let (team, kind) = ("halvern".parse()?, "seat-hold".parse()?);
//! let mut estimator = Estimator::default();
//! assert_eq!(estimator.mean(&team, &kind, Some(Millis::new(900))), Micros::new(900_000));
//! for _ in 0..100 {
//!     estimator.record(&team, &kind, Micros::new(100_000));
//! }
//! assert!(estimator.mean(&team, &kind, Some(Millis::new(900))) < Micros::new(200_000));
//! # Ok::<(), verbenapass::id::Error>(())
//! ```

use crate::id;
use crate::unit::{Micros, Millis};
use std::collections::HashMap;

/// Run time of a kind of which nothing is known.
const UNKNOWN: Micros = Micros::new(500_000);

/// Results that weigh as much as the declaration.
const DECLARATION_WEIGHT: f64 = 8.0;

/// Weight of a new result in the mean.
const SMOOTHING: f64 = 0.05;

/// Shortest run time that the quantiles tell apart, in microseconds.
const SHORTEST_US: f64 = 1_000.0;

/// Buckets of the quantiles. Each is half as wide again as the one before, up to about 10 minutes.
const BUCKETS: usize = 33;

/// Factor between buckets.
const BUCKET_FACTOR: f64 = 1.5;

/// Results after which the counts of the buckets are halved, so that old results fade.
const FADE_AFTER: u32 = 1_024;

#[derive(Clone, Debug)]
struct Learnt {
    mean_us: f64,
    results: f64,
    counts: [u32; BUCKETS],
}

/// Run times by team and kind. A kind takes about 200 bytes.
#[derive(Debug, Default)]
pub struct Estimator {
    teams: HashMap<id::Team, HashMap<id::Kind, Learnt>>,
}

impl Estimator {
    /// Takes in the run time of a task that was answered.
    pub fn record(&mut self, team: &id::Team, kind: &id::Kind, run: Micros) {
        let run_us = run.get() as f64;
        let kinds = self.teams.entry(team.clone()).or_default();
        let learnt = kinds.entry(kind.clone()).or_insert_with(|| Learnt {
            mean_us: run_us,
            results: 0.0,
            counts: [0; BUCKETS],
        });
        learnt.results += 1.0;
        // The first results are averaged evenly, so that no single one decides.
        let weight = SMOOTHING.max(1.0 / learnt.results);
        learnt.mean_us += (run_us - learnt.mean_us) * weight;
        learnt.counts[bucket(run_us)] += 1;
        if learnt.counts.iter().sum::<u32>() >= FADE_AFTER {
            learnt.counts.iter_mut().for_each(|count| *count /= 2);
        }
    }

    /// Returns the mean run time of a kind. The declaration counts like a few results, so that a
    /// wrong one is corrected soon.
    pub fn mean(&self, team: &id::Team, kind: &id::Kind, declared: Option<Millis>) -> Micros {
        let learnt = self.teams.get(team).and_then(|kinds| kinds.get(kind));
        let declared = declared.map(|declared| declared.to_micros().get() as f64);
        let us = match (learnt, declared) {
            (Some(learnt), None) => learnt.mean_us,
            (Some(learnt), Some(declared)) => {
                let weight = DECLARATION_WEIGHT / (DECLARATION_WEIGHT + learnt.results);
                declared * weight + learnt.mean_us * (1.0 - weight)
            }
            (None, Some(declared)) => declared,
            (None, None) => UNKNOWN.get() as f64,
        };
        Micros::new(us as u64)
    }

    /// Returns a run time that a fraction `quantile` of the tasks of a kind does not exceed, up to
    /// the width of a bucket. Returns nothing for a kind without results.
    pub fn quantile(&self, team: &id::Team, kind: &id::Kind, quantile: f64) -> Option<Micros> {
        let learnt = self.teams.get(team)?.get(kind)?;
        let total = learnt.counts.iter().sum::<u32>();
        let wanted = (f64::from(total) * quantile.clamp(0.0, 1.0)).ceil().max(1.0) as u32;
        let mut seen = 0;
        let index = learnt.counts.iter().position(|count| {
            seen += count;
            seen >= wanted
        })?;
        Some(Micros::new((SHORTEST_US * BUCKET_FACTOR.powi(index as i32 + 1)) as u64))
    }

    /// Forgets teams.
    pub fn retain(&mut self, is_known: impl Fn(&id::Team) -> bool) {
        self.teams.retain(|team, _| is_known(team));
    }
}

fn bucket(run_us: f64) -> usize {
    let index = (run_us / SHORTEST_US).max(1.0).log(BUCKET_FACTOR);
    (index as usize).min(BUCKETS - 1)
}
