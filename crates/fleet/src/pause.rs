//! Detection of pauses of the own process: a suspended machine, a stopped process, or a processor
//! that is too busy.
//!
//! A process that is paused reads nothing. It must not take that time for the silence of others.

use verbenapass::time::Timestamp;
use verbenapass::unit::{Micros, Millis};

/// Delay from which the process counts as paused: less than a heartbeat between instances (150 ms)
/// and more than what a busy processor takes for one round of inputs.
const MIN_PAUSE: Micros = Micros::new(100_000);

/// Compares each reading of the clock with the time at which it was expected.
///
/// ```
/// use verbenapass::time::Timestamp;
/// use verbenapass::unit::{Micros, Millis};
/// use verbenapass_fleet::pause::Watch;
///
/// let start = Timestamp::from_micros(1_000_000);
/// let mut watch = Watch::new(start);
/// watch.sleep_until(start.plus(Millis::new(150)));
/// assert_eq!(watch.observe(start.plus(Millis::new(151))), None);
/// watch.sleep_until(start.plus(Millis::new(300)));
/// assert_eq!(watch.observe(start.plus(Millis::new(4_300))), Some(Micros::new(4_000_000)));
/// ```
#[derive(Debug)]
pub struct Watch {
    expected_by: Timestamp,
}

impl Watch {
    /// Longest sleep in which a pause is still found: a pause that ends within the announced sleep
    /// isn't seen.
    pub const MAX_SLEEP: Millis = Millis::new(250);

    /// Creates a watch for a process that runs at `now`.
    pub const fn new(now: Timestamp) -> Self {
        Self { expected_by: now }
    }

    /// Announces that the process sleeps until `at`, unless something wakes it earlier.
    pub fn sleep_until(&mut self, at: Timestamp) {
        self.expected_by = self.expected_by.max(at);
    }

    /// Takes a reading of the clock. Returns the length of the pause that it reveals, if any.
    pub fn observe(&mut self, now: Timestamp) -> Option<Micros> {
        let delay = now.since(self.expected_by);
        self.expected_by = now;
        (delay >= MIN_PAUSE).then_some(delay)
    }
}
