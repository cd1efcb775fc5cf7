//! Retries of starts that were proven not to have run.

use crate::id;
use crate::time::Timestamp;
use crate::unit::{Micros, Millis, Permille};
use rand::{Rng, RngExt};

/// Retries that are allowed without any traffic, so that a single refused start of a quiet instance
/// does not end a job.
const RESERVE: u64 = 10;

/// Span over which unused retries may be saved up.
const WINDOW: Millis = Millis::new(10_000);

/// Cost of one retry in thousandths.
const RETRY: u64 = 1_000;

/// Starts of one task without a wait in between. After that the task waits before each further start.
pub const IMMEDIATE_ATTEMPTS: u32 = 5;

/// Waits of one task after which its job is refused if nothing of it may have run. All together they
/// take one to four seconds, in which a target that was full gets a free slot.
pub const MAX_WAITS: u32 = 5;

/// Starts of one task after which its job fails if a part of it may have run. With the waits this
/// takes several seconds.
pub const MAX_ATTEMPTS: u32 = 20;

/// A budget of retries as a fraction of first starts.
///
/// Each first start earns a fraction of a retry. At most the earnings of 10 s, or 10
/// retries can be saved up, so that a long quiet time does not pay for a burst of retries.
///
/// ```
/// use verbenapass::retry::Budget;
/// use verbenapass::time::Timestamp;
/// use verbenapass::unit::Permille;
///
/// let now = Timestamp::from_micros(0);
/// let mut budget = Budget::new(Permille::new(100), now);
/// for _ in 0..100 {
///     budget.earn(now);
/// }
/// let retries = (0..100).filter(|_| budget.try_spend()).count();
/// assert_eq!(retries, 10);
/// ```
#[derive(Clone, Debug)]
pub struct Budget {
    fraction: Permille,
    balance: u64,
    /// Earnings in the present and in the last window.
    earned: [u64; 2],
    window_ends: Timestamp,
}

impl Budget {
    /// Makes a budget that holds 10 retries.
    pub fn new(fraction: Permille, now: Timestamp) -> Self {
        Self { fraction, balance: RESERVE * RETRY, earned: [0; 2], window_ends: now.plus(WINDOW) }
    }

    /// Changes the fraction.
    pub fn set_fraction(&mut self, fraction: Permille) {
        self.fraction = fraction;
    }

    /// Counts a first start.
    pub fn earn(&mut self, now: Timestamp) {
        if self.window_ends.is_past(now) {
            let is_recent = !self.window_ends.plus(WINDOW).is_past(now);
            self.earned = [0, if is_recent { self.earned[0] } else { 0 }];
            self.window_ends = now.plus(WINDOW);
        }
        let earning = u64::from(self.fraction.get());
        self.earned[0] += earning;
        let cap = (RESERVE * RETRY).max(self.earned[0]).max(self.earned[1]);
        self.balance = (self.balance + earning).min(cap);
    }

    /// Takes one retry from the budget, if it holds one.
    pub fn try_spend(&mut self) -> bool {
        let is_covered = self.balance >= RETRY;
        if is_covered {
            self.balance -= RETRY;
        }
        is_covered
    }
}

/// Returns a time between one and two `spans` from now, so that callers that were turned down
/// together don't come back together.
pub fn jittered(rng: &mut impl Rng, now: Timestamp, span: Millis) -> Timestamp {
    let span = span.to_micros().get();
    now.plus_micros(Micros::new(span + rng.random_range(0..=span)))
}

/// Starts of one task so far, kept from the second one on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct History {
    /// Number of starts, all proven not to have run.
    pub attempts: u32,
    /// Number of waits before a further start.
    pub waits: u32,
    /// Target of the last start.
    pub target: id::Target,
    /// Its worker.
    pub worker: id::Worker,
    /// Its rack.
    pub rack: id::Rack,
}

impl History {
    /// Ranks a place for the next start: 0 in another rack, 1 on another worker, 2 on another
    /// target, 3 on the same target.
    pub fn rank(&self, target: &id::Target, worker: &id::Worker, rack: &id::Rack) -> u32 {
        if *rack != self.rack {
            0
        } else if *worker != self.worker {
            1
        } else if *target != self.target {
            2
        } else {
            3
        }
    }
}
