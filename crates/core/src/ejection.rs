//! Outlier detection: ejection of targets that fail more often than the others.
//!
//! A [`Detector`] covers the targets of one service. It compares the failure rate of a target with
//! that of the other targets, separately for each class of tasks. A class that fails on all
//! targets, or that ran on one target only, is no evidence against a target.

use crate::id;
use crate::time::Timestamp;
use crate::unit::{Millis, Permille};
use std::collections::{BTreeMap, HashMap};

/// Class of tasks: their team and kind.
pub type Class = (id::Team, id::Kind);

/// Options of a [`Detector`].
#[derive(Clone, Debug)]
pub struct Options {
    /// Minimum number of results that the other targets must have in a class for it to count, and
    /// minimum number of failures beyond the expected ones for an ejection.
    pub min_results: f64,
    /// Minimum difference between the failure rate of a target and that of the others for an
    /// ejection, from 0 to 1.
    pub margin: f64,
    /// Largest share of the targets of the service that may be ejected at the same time.
    pub max_ejected: Permille,
    /// Time from the ejection to the first trial. It doubles with each failed trial.
    pub initial_backoff: Millis,
    /// Longest time from a failed trial to the next one.
    pub max_backoff: Millis,
    /// Number of trials that must succeed in a row before the ejection ends.
    pub trials: u32,
    /// Half-life of the counts of results and failures.
    pub half_life: Millis,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            min_results: 5.0,
            margin: 0.4,
            max_ejected: Permille::new(300),
            initial_backoff: Millis::new(1_000),
            max_backoff: Millis::new(30_000),
            trials: 3,
            half_life: Millis::new(10_000),
        }
    }
}

/// Which tasks a target may get.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Not ejected: any task.
    Normal,
    /// Ejected, but due for a trial: one task at a time.
    Trial,
    /// Ejected: no task before this time, that of the next trial.
    Ejected(Timestamp),
}

/// Counts with exponential decay.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    results: f64,
    failures: f64,
    /// Time up to which the decay is applied.
    decayed_at: Timestamp,
}

impl Count {
    fn decay(&mut self, now: Timestamp, half_life: Millis) {
        let age = now.since(self.decayed_at).get() as f64 / half_life.to_micros().get() as f64;
        let factor = 0.5_f64.powf(age);
        self.results *= factor;
        self.failures *= factor;
        self.decayed_at = self.decayed_at.max(now);
    }

    fn add(&mut self, is_failure: bool, now: Timestamp, half_life: Millis) {
        self.decay(now, half_life);
        self.results += 1.0;
        if is_failure {
            self.failures += 1.0;
        }
    }

    fn decayed(mut self, now: Timestamp, half_life: Millis) -> Self {
        self.decay(now, half_life);
        self
    }
}

#[derive(Debug, Default)]
struct TargetState {
    classes: HashMap<Class, Count>,
    ejected: Option<Ejected>,
}

#[derive(Debug)]
struct Ejected {
    trial_at: Timestamp,
    backoff: Millis,
    /// Successful trials since the last failed one.
    successes: u32,
}

/// Outlier detector for the targets of one service.
#[derive(Debug)]
pub struct Detector {
    options: Options,
    states: BTreeMap<id::Target, TargetState>,
    /// Sums of the counts of all targets.
    totals: HashMap<Class, Count>,
    ejected: usize,
}

impl Detector {
    /// Makes a detector without results, for which all targets are normal.
    pub fn new(options: Options) -> Self {
        Self { options, states: BTreeMap::new(), totals: HashMap::new(), ejected: 0 }
    }

    /// Changes the largest share of the targets that may be ejected. Targets already ejected stay
    /// so.
    pub fn set_max_ejected(&mut self, share: Permille) {
        self.options.max_ejected = share;
    }

    /// Returns the number of ejected targets, including those on trial.
    pub fn ejected(&self) -> usize {
        self.ejected
    }

    /// Returns which tasks a target may get; an unknown target is normal.
    pub fn state(&self, target: &id::Target, now: Timestamp) -> State {
        match self.states.get(target).and_then(|state| state.ejected.as_ref()) {
            None => State::Normal,
            Some(ejected) if ejected.trial_at.is_past(now) => State::Trial,
            Some(ejected) => State::Ejected(ejected.trial_at),
        }
    }

    /// Counts a result of a target and returns whether its state changed: it was ejected, a trial
    /// failed, or the last trial succeeded. `targets` is the number of targets of the service.
    ///
    /// Call this only for results that are evidence about the target: an answer, a failure, or a
    /// start with unknown outcome.
    pub fn record(
        &mut self,
        target: &id::Target,
        class: &Class,
        is_failure: bool,
        targets: usize,
        now: Timestamp,
    ) -> bool {
        let half_life = self.options.half_life;
        let state = self.states.entry(target.clone()).or_default();
        if state.ejected.is_some() {
            return self.record_trial(target, is_failure, now);
        }
        state.classes.entry(class.clone()).or_default().add(is_failure, now, half_life);
        self.totals.entry(class.clone()).or_default().add(is_failure, now, half_life);
        let may_eject = (self.ejected as u64) < self.options.max_ejected.of(targets as u64);
        if !is_failure || !may_eject || !self.is_outlier(target, now) {
            return false;
        }
        let backoff = self.options.initial_backoff;
        self.remove_counts(target, now);
        if let Some(state) = self.states.get_mut(target) {
            state.ejected = Some(Ejected { trial_at: now.plus(backoff), backoff, successes: 0 });
            self.ejected += 1;
        }
        true
    }

    /// Removes a target that has left, with its results.
    pub fn remove(&mut self, target: &id::Target, now: Timestamp) {
        self.remove_counts(target, now);
        if self.states.remove(target).is_some_and(|state| state.ejected.is_some()) {
            self.ejected -= 1;
        }
    }

    /// Keeps only the results of the classes for which `is_kept` returns true. Ejected targets stay
    /// ejected.
    pub fn retain_classes(&mut self, is_kept: impl Fn(&Class) -> bool) {
        self.totals.retain(|class, _| is_kept(class));
        for state in self.states.values_mut() {
            state.classes.retain(|class, _| is_kept(class));
        }
    }

    fn record_trial(&mut self, target: &id::Target, is_failure: bool, now: Timestamp) -> bool {
        let Some(state) = self.states.get_mut(target) else { return false };
        let Some(ejected) = &mut state.ejected else { return false };
        // A result before the trial is due belongs to a start from before the ejection.
        if !ejected.trial_at.is_past(now) {
            return false;
        }
        if is_failure {
            let backoff = Millis::new(ejected.backoff.get().saturating_mul(2));
            ejected.backoff = backoff.min(self.options.max_backoff);
            ejected.trial_at = now.plus(ejected.backoff);
            ejected.successes = 0;
            return true;
        }
        ejected.successes += 1;
        if ejected.successes < self.options.trials {
            return false;
        }
        state.ejected = None;
        self.ejected -= 1;
        true
    }

    /// Tells whether a target fails more often than the other targets do in the same classes.
    fn is_outlier(&self, target: &id::Target, now: Timestamp) -> bool {
        let half_life = self.options.half_life;
        let Some(state) = self.states.get(target) else { return false };
        let mut results = 0.0;
        let mut excess = 0.0;
        for (class, own) in &state.classes {
            let own = own.decayed(now, half_life);
            let total = self.totals.get(class).copied().unwrap_or_default().decayed(now, half_life);
            let other_results = total.results - own.results;
            if other_results < self.options.min_results {
                continue;
            }
            let other_failure_rate = (total.failures - own.failures).max(0.0) / other_results;
            results += own.results;
            excess += own.failures - own.results * other_failure_rate;
        }
        // The lower bound on the excess keeps a few failures in a row from causing an ejection.
        excess >= self.options.min_results && excess > results * self.options.margin
    }

    /// Removes the counts of a target, also from the totals.
    fn remove_counts(&mut self, target: &id::Target, now: Timestamp) {
        let half_life = self.options.half_life;
        let Some(state) = self.states.get_mut(target) else { return };
        for (class, own) in state.classes.drain() {
            let own = own.decayed(now, half_life);
            if let Some(total) = self.totals.get_mut(&class) {
                total.decay(now, half_life);
                total.results = (total.results - own.results).max(0.0);
                total.failures = (total.failures - own.failures).max(0.0);
                if total.results < 0.5 {
                    self.totals.remove(&class);
                }
            }
        }
    }
}
