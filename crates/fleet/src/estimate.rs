//! Estimates of run times by kind, from the declared and the actual run times of earlier tasks.
//!
//! # Example
//!
//! ```
//! use verbenapass::unit::{Micros, Millis};
//! use verbenapass_fleet::estimate::Estimator;
//!
//! let kind = "hold".parse()?;
//! let mut estimator = Estimator::default();
//! assert_eq!(estimator.estimate(&kind, Millis::new(900)), Millis::new(900));
//! for declared in [50, 100, 200].repeat(100) {
//!     estimator.record(&kind, Millis::new(declared), Micros::new(100_000));
//! }
//! let estimate = estimator.estimate(&kind, Millis::new(400));
//! assert!((90..120).contains(&estimate.get()));
//! # Ok::<(), verbenapass::id::Error>(())
//! ```

use crate::speed::Factor;
use std::collections::HashMap;
use verbenapass::id;
use verbenapass::time::Timestamp;
use verbenapass::unit::{Micros, Millis};

/// Weight of a new run time in the moving averages.
const SMOOTHING: f64 = 0.01;
/// Number of run times that weigh as much as the declared one.
const DECLARED_WEIGHT: f64 = 8.0;
/// Least ratio of the longest plausible run time to the expected one. In the required workloads,
/// declared durations are up to 1.6 times too low and actual ones vary by 15 %.
const LEAST_SPREAD: f64 = 4.0;
/// Largest ratio of the longest plausible run time to the expected one. Bounds the time for which
/// tasks that hang keep their targets.
const MOST_SPREAD: f64 = 12.0;
/// Time beyond its longest plausible run time after which a run counts as stalled.
const STALL_BASE: Millis = Millis::new(300);
/// A run counts as slow after this many times its estimate plus [`SLOW_BASE`]. Estimates follow the
/// run times that were observed, and are rarely too low by more.
const SLOW_FACTOR: u64 = 3;
/// Least time before a run counts as slow, for messages and the shortest estimates.
const SLOW_BASE: Millis = Millis::new(30);
/// Largest factor up to which the slowness of a target excuses slow and stalled runs: above the 1.8
/// of the slow targets that the workload descriptions name. Slower targets are faulty.
const MAX_TOLERATED: Factor = Factor::new(2_000);
/// Standard deviations of the estimates within which run times are plausible.
const PLAUSIBLE_DEVIATIONS: f64 = 4.0;

/// Expected and longest plausible run time of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunTime {
    /// Run time that is expected on the mean target.
    pub estimate: Millis,
    /// Run time that is expected.
    pub expected: Millis,
    /// Run time after which the task is assumed to hang.
    pub longest: Millis,
}

impl RunTime {
    /// Creates the run time of a task of a kind without results.
    pub fn new(expected: Millis) -> Self {
        Self::with_spread(expected, LEAST_SPREAD)
    }

    fn with_spread(expected: Millis, spread: f64) -> Self {
        let longest = Millis::new((expected.get() as f64 * spread) as u64);
        Self { estimate: expected, expected, longest }
    }

    /// Returns the run time on a target of the given speed, from that on the mean target.
    pub fn on(self, factor: Factor) -> Self {
        let longest = factor.min(MAX_TOLERATED).of(self.longest);
        Self { expected: factor.of(self.estimate), longest, ..self }
    }

    /// Returns when a run that has begun at `now` counts as slow.
    pub fn slow_at(self, now: Timestamp) -> Timestamp {
        let tolerated = self.expected.min(MAX_TOLERATED.of(self.estimate));
        now.plus(Millis::new(tolerated.get().saturating_mul(SLOW_FACTOR))).plus(SLOW_BASE)
    }

    /// Returns when a run that has begun at `now` counts as stalled.
    pub fn stalled_at(self, now: Timestamp) -> Timestamp {
        now.plus(self.longest).plus(STALL_BASE)
    }
}

/// Moving averages over the logarithms of declared and actual run times, in milliseconds.
///
/// Their regression line corrects a constant factor between the two, and follows declared run times
/// only as far as the actual ones do.
#[derive(Clone, Copy, Debug, Default)]
struct Statistics {
    count: f64,
    declared: f64,
    actual: f64,
    declared_variance: f64,
    covariance: f64,
    /// Mean square of the errors of the predictions.
    error_variance: f64,
}

impl Statistics {
    fn record(&mut self, declared: f64, actual: f64) {
        let error = actual - self.predict(declared);
        self.count += 1.0;
        // The first run times have equal weights.
        let weight = SMOOTHING.max(1.0 / self.count);
        let declared_change = declared - self.declared;
        let actual_change = actual - self.actual;
        self.declared += weight * declared_change;
        self.actual += weight * actual_change;
        let keep = 1.0 - weight;
        self.declared_variance =
            keep * (self.declared_variance + weight * declared_change * declared_change);
        self.covariance = keep * (self.covariance + weight * declared_change * actual_change);
        self.error_variance += weight * (error * error - self.error_variance);
    }

    fn predict(&self, declared: f64) -> f64 {
        let slope = match self.declared_variance > f64::EPSILON {
            true => (self.covariance / self.declared_variance).clamp(0.0, 1.0),
            false => 1.0,
        };
        let predicted = self.actual + slope * (declared - self.declared);
        declared + self.learned() * (predicted - declared)
    }

    /// Returns the weight of the results against the declared run time, from 0 to 1.
    fn learned(&self) -> f64 {
        self.count / (self.count + DECLARED_WEIGHT)
    }
}

/// Estimator of run times.
#[derive(Debug, Default)]
pub struct Estimator {
    kinds: HashMap<id::Kind, Statistics>,
}

impl Estimator {
    /// Adds the run time of a task that has completed, converted to the mean target.
    pub fn record(&mut self, kind: &id::Kind, declared: Millis, actual: Micros) {
        let actual_ms = actual.get() as f64 / 1_000.0;
        self.kinds.entry(kind.clone()).or_default().record(log(declared), actual_ms.max(1.0).ln());
    }

    /// Returns the expected run time of a task on the mean target; the declared one for a kind without results.
    pub fn estimate(&self, kind: &id::Kind, declared: Millis) -> Millis {
        match self.kinds.get(kind) {
            Some(statistics) => Millis::new(statistics.predict(log(declared)).exp().round() as u64),
            None => declared,
        }
    }

    /// Returns the run time of a task whose estimate is known.
    pub fn run_time(&self, kind: &id::Kind, estimate: Millis) -> RunTime {
        let spread = self.kinds.get(kind).map_or(LEAST_SPREAD, |statistics| {
            let deviation = statistics.learned() * statistics.error_variance.sqrt();
            (PLAUSIBLE_DEVIATIONS * deviation).exp()
        });
        RunTime::with_spread(estimate, spread.clamp(LEAST_SPREAD, MOST_SPREAD))
    }
}

fn log(millis: Millis) -> f64 {
    (millis.get().max(1) as f64).ln()
}
