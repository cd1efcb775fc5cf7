//! When an instance reads a source that all instances read.
//!
//! What one instance has read, its peers are told, so that each may read more rarely in a large fleet.
//! Where peers cannot tell, the own reading has to be in time for what the source demands.

use rand::{Rng, RngExt};
use verbenapass::unit::Millis;

/// Linked instances among which one reads at each interval.
const SHARED_BY: u64 = 8;
/// Part of the time in which a change must be known, in thousandths, that passes between two own
/// readings. The rest is for a reading that fails and for the change to take effect.
const BOUND_PERMILLE: u64 = 600;
/// Spread of the intervals in thousandths: instances that have started together do not read together.
const SPREAD_PERMILLE: u64 = 250;

/// How often a source is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Schedule {
    /// Time between two readings in a small fleet.
    pub interval: Millis,
    /// Longest time, however many instances share the readings.
    pub max_interval: Millis,
}

impl Schedule {
    /// Makes the schedule of a source whose changes must be known everywhere within `bound`.
    pub fn new(interval: Millis, bound: Millis) -> Self {
        let max_interval = Millis::new(bound.get() * BOUND_PERMILLE / 1_000);
        Self { interval: interval.min(max_interval), max_interval }
    }

    /// Returns the time to the next reading, if so many instances share them.
    pub fn next(&self, instances: u64, random: &mut impl Rng) -> Millis {
        let shares = instances.div_ceil(SHARED_BY).max(1);
        let mean = self.interval.get().saturating_mul(shares).min(self.max_interval.get());
        let spread = mean * SPREAD_PERMILLE / 1_000;
        Millis::new(random.random_range(mean - spread..=mean + spread))
    }
}
