//! Detection of targets that fail more often than their peers.
//!
//! A [`Detector`] covers the targets of one service. It compares the failure share of a target with
//! that of the other targets, class of task by class of task: a class that fails everywhere says
//! nothing about a target, and neither does a class that ran nowhere else.

use crate::id;
use crate::time::Timestamp;
use crate::unit::{Millis, Permille};
use std::collections::{BTreeMap, HashMap};

/// Class of task: team and kind.
pub type Class = (id::Team, id::Kind);

/// Properties of a [`Detector`].
#[derive(Clone, Debug)]
pub struct Options {
    /// Results of the peers in a class, and failures of a target beyond those expected from its
    /// peers, below which nothing is concluded.
    pub min_results: f64,
    /// By how much the failure share of a target must exceed that of its peers.
    pub margin: f64,
    /// Largest share of the targets that may be ejected.
    pub max_ejected: Permille,
    /// Time from the ejection to the first trial. Doubles with each failed trial.
    pub first_trial: Millis,
    /// Longest time from a failed trial to the next one.
    pub max_trial: Millis,
    /// Trials that must succeed in a row before a target is re-admitted.
    pub trials: u32,
    /// Half-life of the counts.
    pub half_life: Millis,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            min_results: 5.0,
            margin: 0.4,
            max_ejected: Permille::new(300),
            first_trial: Millis::new(1_000),
            max_trial: Millis::new(30_000),
            trials: 3,
            half_life: Millis::new(10_000),
        }
    }
}

/// What may be sent to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Any task.
    Normal,
    /// One task at a time, as a trial.
    Trial,
    /// Nothing before this time.
    Ejected(Timestamp),
}

/// Results that fade with time.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    results: f64,
    failures: f64,
    at: Timestamp,
}

impl Count {
    fn fade(&mut self, now: Timestamp, half_life: Millis) {
        let age = now.since(self.at).get() as f64 / half_life.to_micros().get() as f64;
        let factor = 0.5_f64.powf(age);
        self.results *= factor;
        self.failures *= factor;
        self.at = self.at.max(now);
    }

    fn add(&mut self, is_failure: bool, now: Timestamp, half_life: Millis) {
        self.fade(now, half_life);
        self.results += 1.0;
        if is_failure {
            self.failures += 1.0;
        }
    }

    fn at(mut self, now: Timestamp, half_life: Millis) -> Self {
        self.fade(now, half_life);
        self
    }
}

#[derive(Debug, Default)]
struct Row {
    classes: HashMap<Class, Count>,
    ejected: Option<Ejected>,
}

#[derive(Debug)]
struct Ejected {
    trial_at: Timestamp,
    backoff: Millis,
    successes: u32,
}

/// Failure shares of the targets of one service.
#[derive(Debug)]
pub struct Detector {
    options: Options,
    rows: BTreeMap<id::Target, Row>,
    totals: HashMap<Class, Count>,
    ejected: usize,
}

impl Detector {
    /// Makes a detector without results.
    pub fn new(options: Options) -> Self {
        Self { options, rows: BTreeMap::new(), totals: HashMap::new(), ejected: 0 }
    }

    /// Changes the largest share of the targets that may be ejected. Takes effect at the next
    /// ejection.
    pub fn set_max_ejected(&mut self, share: Permille) {
        self.options.max_ejected = share;
    }

    /// Returns the number of ejected targets, those on trial included.
    pub fn ejected(&self) -> usize {
        self.ejected
    }

    /// Returns what may be sent to a target.
    pub fn state(&self, target: &id::Target, now: Timestamp) -> State {
        match self.rows.get(target).and_then(|row| row.ejected.as_ref()) {
            None => State::Normal,
            Some(ejected) if ejected.trial_at.is_past(now) => State::Trial,
            Some(ejected) => State::Ejected(ejected.trial_at),
        }
    }

    /// Counts a result of a target; `targets` is the number of targets of the service. Returns
    /// whether the state of the target changed.
    ///
    /// Only results that say something about the target count: an answer, a failure, or a start
    /// whose fate is unknown.
    pub fn record(
        &mut self,
        target: &id::Target,
        class: &Class,
        is_failure: bool,
        targets: usize,
        now: Timestamp,
    ) -> bool {
        let half_life = self.options.half_life;
        let row = self.rows.entry(target.clone()).or_default();
        if row.ejected.is_some() {
            return self.record_trial(target, is_failure, now);
        }
        row.classes.entry(class.clone()).or_default().add(is_failure, now, half_life);
        self.totals.entry(class.clone()).or_default().add(is_failure, now, half_life);
        let may_eject = (self.ejected as u64) < self.options.max_ejected.of(targets as u64);
        if !is_failure || !may_eject || !self.is_outlier(target, now) {
            return false;
        }
        let backoff = self.options.first_trial;
        self.forget_counts(target, now);
        if let Some(row) = self.rows.get_mut(target) {
            row.ejected = Some(Ejected { trial_at: now.plus(backoff), backoff, successes: 0 });
            self.ejected += 1;
        }
        true
    }

    /// Forgets a target that has left.
    pub fn remove(&mut self, target: &id::Target, now: Timestamp) {
        self.forget_counts(target, now);
        if self.rows.remove(target).is_some_and(|row| row.ejected.is_some()) {
            self.ejected -= 1;
        }
    }

    /// Forgets the results of other classes. Ejected targets stay ejected.
    pub fn retain_classes(&mut self, is_kept: impl Fn(&Class) -> bool) {
        self.totals.retain(|class, _| is_kept(class));
        for row in self.rows.values_mut() {
            row.classes.retain(|class, _| is_kept(class));
        }
    }

    fn record_trial(&mut self, target: &id::Target, is_failure: bool, now: Timestamp) -> bool {
        let Some(row) = self.rows.get_mut(target) else { return false };
        let Some(ejected) = &mut row.ejected else { return false };
        // Results of starts from before the ejection say nothing new.
        if !ejected.trial_at.is_past(now) {
            return false;
        }
        if is_failure {
            let backoff = Millis::new(ejected.backoff.get().saturating_mul(2));
            ejected.backoff = backoff.min(self.options.max_trial);
            ejected.trial_at = now.plus(ejected.backoff);
            ejected.successes = 0;
            return true;
        }
        ejected.successes += 1;
        if ejected.successes < self.options.trials {
            return false;
        }
        row.ejected = None;
        self.ejected -= 1;
        true
    }

    /// Tells whether a target fails more often than its peers do in the same classes.
    fn is_outlier(&self, target: &id::Target, now: Timestamp) -> bool {
        let half_life = self.options.half_life;
        let Some(row) = self.rows.get(target) else { return false };
        let mut results = 0.0;
        let mut excess = 0.0;
        for (class, own) in &row.classes {
            let own = own.at(now, half_life);
            let total = self.totals.get(class).copied().unwrap_or_default().at(now, half_life);
            let peers = total.results - own.results;
            if peers < self.options.min_results {
                continue;
            }
            let peer_share = (total.failures - own.failures).max(0.0) / peers;
            results += own.results;
            excess += own.failures - own.results * peer_share;
        }
        // The bound on the excess keeps a few failures in a row from counting as a difference.
        excess >= self.options.min_results && excess > results * self.options.margin
    }

    /// Takes the counts of a target out of the totals.
    fn forget_counts(&mut self, target: &id::Target, now: Timestamp) {
        let half_life = self.options.half_life;
        let Some(row) = self.rows.get_mut(target) else { return };
        for (class, own) in row.classes.drain() {
            let own = own.at(now, half_life);
            if let Some(total) = self.totals.get_mut(&class) {
                total.fade(now, half_life);
                total.results = (total.results - own.results).max(0.0);
                total.failures = (total.failures - own.failures).max(0.0);
                if total.results < 0.5 {
                    self.totals.remove(&class);
                }
            }
        }
    }
}
