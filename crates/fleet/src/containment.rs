//! Kinds of tasks that crash targets again and again.
//!
//! A kind is contained if several targets on which only its tasks ran were lost, each some time after
//! the last one: targets that are lost together have another cause. While a contained kind has taken
//! down a large part of the targets, its tasks wait, so that the other kinds stay served.

use std::collections::BTreeMap;
use verbenapass::id;
use verbenapass::time::Timestamp;
use verbenapass::unit::Millis;

/// Losses after which a kind is contained, older ones counted less.
const MIN_LOSSES: f64 = 2.5;
/// Losses below which it is contained no longer. While its tasks wait, few targets are lost, so with one
/// limit for both it would be contained and released in turn, and take many targets down each time.
const RELEASE_LOSSES: f64 = MIN_LOSSES / 2.0;
/// Age at which a loss counts half.
const HALF_LIFE: Millis = Millis::new(4_000);
/// Time after a loss within which another one does not count: longer than it takes until the leases of
/// all targets that are cut off together have expired.
const MIN_INTERVAL: Millis = Millis::new(500);

#[derive(Clone, Copy, Debug)]
struct Count {
    losses: f64,
    at: Timestamp,
    /// Whether the kind was contained at `at`.
    is_contained: bool,
}

impl Count {
    fn decayed(&self, now: Timestamp) -> f64 {
        let half_lives = now.since(self.at).get() as f64 / 1_000.0 / HALF_LIFE.get() as f64;
        self.losses * (-half_lives).exp2()
    }

    fn is_contained(&self, now: Timestamp) -> bool {
        let limit = if self.is_contained { RELEASE_LOSSES } else { MIN_LOSSES };
        self.decayed(now) >= limit
    }
}

/// Recent losses of targets by the kind that was alone there.
#[derive(Debug, Default)]
pub struct Table {
    counts: BTreeMap<id::Kind, Count>,
}

impl Table {
    /// Counts the loss of a target on which only tasks of this kind ran.
    pub fn record(&mut self, kind: &id::Kind, now: Timestamp) {
        self.counts.retain(|_, count| count.decayed(now) > 0.1);
        let none = Count { losses: 0.0, at: now, is_contained: false };
        let count = self.counts.entry(kind.clone()).or_insert(none);
        if count.losses > 0.0 && !count.at.plus(MIN_INTERVAL).is_past(now) {
            return;
        }
        let losses = count.decayed(now) + 1.0;
        let is_contained = count.is_contained(now) || losses >= MIN_LOSSES;
        *count = Count { losses, at: now, is_contained };
    }

    /// Returns whether the kind is contained.
    pub fn contains(&self, kind: &id::Kind, now: Timestamp) -> bool {
        self.counts.get(kind).is_some_and(|count| count.is_contained(now))
    }
}
