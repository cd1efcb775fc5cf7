//! Estimates of run times by team and kind.
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

/// Estimate for a kind without results and without a declared run time.
const DEFAULT_RUN_TIME: Micros = Micros::new(500_000);

/// Number of results that weigh as much as the declared run time.
const DECLARED_WEIGHT: f64 = 8.0;

/// Weight of a new result in the moving average.
const SMOOTHING: f64 = 0.05;

/// Lower bound of the first bucket. It also counts all shorter run times.
const FIRST_BUCKET_US: f64 = 1_000.0;

/// Number of histogram buckets. They cover run times up to about 10 minutes.
const BUCKETS: usize = 33;

/// Ratio of the bounds of a bucket.
const BUCKET_FACTOR: f64 = 1.5;

/// Sum of the bucket counts at which they are halved, so that old results lose weight.
const HALVE_AT: u32 = 1_024;

#[derive(Clone, Debug)]
struct Statistics {
    /// Exponential moving average.
    mean_us: f64,
    results: f64,
    /// Histogram of the run times.
    counts: [u32; BUCKETS],
}

/// Estimator of run times. It uses about 200 bytes for each kind of a team.
#[derive(Debug, Default)]
pub struct Estimator {
    teams: HashMap<id::Team, HashMap<id::Kind, Statistics>>,
}

impl Estimator {
    /// Adds the run time of a task that was answered.
    pub fn record(&mut self, team: &id::Team, kind: &id::Kind, run_time: Micros) {
        let run_us = run_time.get() as f64;
        let kinds = self.teams.entry(team.clone()).or_default();
        let statistics = kinds.entry(kind.clone()).or_insert_with(|| Statistics {
            mean_us: run_us,
            results: 0.0,
            counts: [0; BUCKETS],
        });
        statistics.results += 1.0;
        // The first results have equal weights, so that no single one dominates the mean.
        let weight = SMOOTHING.max(1.0 / statistics.results);
        statistics.mean_us += (run_us - statistics.mean_us) * weight;
        statistics.counts[bucket_index(run_us)] += 1;
        if statistics.counts.iter().sum::<u32>() >= HALVE_AT {
            statistics.counts.iter_mut().for_each(|count| *count /= 2);
        }
    }

    /// Returns the mean run time of a kind, or a default if it has neither results nor a declared
    /// run time. The declared run time weighs as much as a few results, so that results soon
    /// outweigh a wrong one.
    pub fn mean(&self, team: &id::Team, kind: &id::Kind, declared: Option<Millis>) -> Micros {
        let statistics = self.teams.get(team).and_then(|kinds| kinds.get(kind));
        let declared = declared.map(|declared| declared.to_micros().get() as f64);
        let us = match (statistics, declared) {
            (Some(statistics), None) => statistics.mean_us,
            (Some(statistics), Some(declared)) => {
                let weight = DECLARED_WEIGHT / (DECLARED_WEIGHT + statistics.results);
                declared * weight + statistics.mean_us * (1.0 - weight)
            }
            (None, Some(declared)) => declared,
            (None, None) => DEFAULT_RUN_TIME.get() as f64,
        };
        Micros::new(us as u64)
    }

    /// Returns a quantile of the run times of a kind, rounded up to the bound of a histogram
    /// bucket, or `None` for a kind without results. The argument `quantile` is from 0 to 1.
    pub fn quantile(&self, team: &id::Team, kind: &id::Kind, quantile: f64) -> Option<Micros> {
        let statistics = self.teams.get(team)?.get(kind)?;
        let total = statistics.counts.iter().sum::<u32>();
        let rank = (f64::from(total) * quantile.clamp(0.0, 1.0)).ceil().max(1.0) as u32;
        let mut seen = 0;
        let index = statistics.counts.iter().position(|count| {
            seen += count;
            seen >= rank
        })?;
        Some(Micros::new((FIRST_BUCKET_US * BUCKET_FACTOR.powi(index as i32 + 1)) as u64))
    }

    /// Keeps only the run times of the teams for which `is_kept` returns true.
    pub fn retain(&mut self, is_kept: impl Fn(&id::Team) -> bool) {
        self.teams.retain(|team, _| is_kept(team));
    }
}

fn bucket_index(run_us: f64) -> usize {
    let index = (run_us / FIRST_BUCKET_US).max(1.0).log(BUCKET_FACTOR);
    (index as usize).min(BUCKETS - 1)
}
