//! Polling interval of a source that all instances read.
//!
//! An instance passes on to its peers what it has read, so in a large fleet each may poll less often.
//! The interval has an upper limit, so that an instance whose peers pass on nothing still learns of
//! changes in time.

use rand::{Rng, RngExt};
use verbenapass::unit::Millis;

/// Number of instances that share one read per interval.
const INSTANCES_PER_READ: u64 = 8;
/// Longest interval, in thousandths of the time in which a change must be known. The rest is for a
/// failed read and for the change to take effect.
const MAX_INTERVAL_PERMILLE: u64 = 600;
/// Jitter in thousandths of the interval, so that instances that started together do not read at the
/// same time.
const JITTER_PERMILLE: u64 = 250;

/// Limits of the polling interval of one source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Schedule {
    /// Mean interval in a small fleet, where each instance reads on its own.
    pub interval: Millis,
    /// Upper limit of the mean interval, however many instances share the reads.
    pub max_interval: Millis,
}

impl Schedule {
    /// Creates the schedule of a source whose changes must be known everywhere within `bound`.
    pub fn new(interval: Millis, bound: Millis) -> Self {
        let max_interval = Millis::new(bound.get() * MAX_INTERVAL_PERMILLE / 1_000);
        Self { interval: interval.min(max_interval), max_interval }
    }

    /// Returns the time to the next read, with jitter, if `instances` share the reads.
    pub fn next(&self, instances: u64, random: &mut impl Rng) -> Millis {
        let shares = instances.div_ceil(INSTANCES_PER_READ).max(1);
        let mean = self.interval.get().saturating_mul(shares).min(self.max_interval.get());
        let jitter = mean * JITTER_PERMILLE / 1_000;
        Millis::new(random.random_range(mean - jitter..=mean + jitter))
    }
}
