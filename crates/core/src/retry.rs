//! Retries of starts that are known not to have run: retry budget, jitter and limits per task.

use crate::id;
use crate::time::Timestamp;
use crate::unit::{Micros, Millis, Permille};
use rand::{Rng, RngExt};

/// Retries that the budget can hold without any traffic, so that a single refused start on an idle
/// instance does not end a job.
const MIN_CAPACITY: u64 = 10;

/// Length of a window in which earnings are counted. The earnings of the current and of the
/// previous window limit the balance of the budget.
const WINDOW: Millis = Millis::new(10_000);

/// Cost of one retry, in thousandths of a retry as counted in the balance.
const RETRY_COST: u64 = 1_000;

/// Starts of one task without a wait between them. Then the task waits before each further start.
pub const IMMEDIATE_ATTEMPTS: u32 = 5;

/// Waits of one task after which its job is refused, as long as no part of the job may have run.
/// Together the waits take one to four seconds, enough for a busy target to free a slot.
pub const MAX_WAITS: u32 = 5;

/// Starts of one task after which its job fails, once a part of the job may have run. Including the
/// waits, this takes several seconds.
pub const MAX_ATTEMPTS: u32 = 20;

/// Retry budget: a token bucket that limits retries to a fraction of first starts.
///
/// Each first start earns a fraction of a retry. The balance is at most 10 retries or the earnings
/// of 10 s, whichever is more, so that a long time without retries does not allow a burst of them.
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
    /// In thousandths of a retry.
    balance: u64,
    /// Earnings in the current and in the previous window, in thousandths of a retry.
    earned: [u64; 2],
    window_ends: Timestamp,
}

impl Budget {
    /// Makes a budget with a balance of 10 retries, to which each first start adds `fraction`.
    pub fn new(fraction: Permille, now: Timestamp) -> Self {
        Self {
            fraction,
            balance: MIN_CAPACITY * RETRY_COST,
            earned: [0; 2],
            window_ends: now.plus(WINDOW),
        }
    }

    /// Changes the fraction of a retry that each first start earns from now on.
    pub fn set_fraction(&mut self, fraction: Permille) {
        self.fraction = fraction;
    }

    /// Adds the earnings of one first start.
    pub fn earn(&mut self, now: Timestamp) {
        if self.window_ends.is_past(now) {
            let is_recent = !self.window_ends.plus(WINDOW).is_past(now);
            self.earned = [0, if is_recent { self.earned[0] } else { 0 }];
            self.window_ends = now.plus(WINDOW);
        }
        let earning = u64::from(self.fraction.get());
        self.earned[0] += earning;
        let capacity = (MIN_CAPACITY * RETRY_COST).max(self.earned[0]).max(self.earned[1]);
        self.balance = (self.balance + earning).min(capacity);
    }

    /// Takes one retry from the balance. Returns whether there was one; if not, the caller must not
    /// retry now.
    pub fn try_spend(&mut self) -> bool {
        let is_covered = self.balance >= RETRY_COST;
        if is_covered {
            self.balance -= RETRY_COST;
        }
        is_covered
    }
}

/// Returns a random time, from `span` to twice `span` after `now`, so that callers that were
/// refused at the same time don't retry at the same time.
pub fn jittered(rng: &mut impl Rng, now: Timestamp, span: Millis) -> Timestamp {
    let span = span.to_micros().get();
    now.plus_micros(Micros::new(span + rng.random_range(0..=span)))
}

/// Previous starts of one task, none of which ran. Created after the first of them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct History {
    /// Number of starts.
    pub attempts: u32,
    /// How often the task has waited before a further start.
    pub waits: u32,
    /// Target of the last start.
    pub target: id::Target,
    /// Worker of that target.
    pub worker: id::Worker,
    /// Rack of that worker.
    pub rack: id::Rack,
}

impl History {
    /// Ranks a target for the next start, best first: 0 in another rack than the last target, 1 on
    /// another worker, 2 for another target on the same worker, 3 for the same target.
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
