//! Admission control: whether a job is accepted, and when a refused client may retry.
//!
//! Under overload, when jobs arrive faster than the targets of a service complete them, a job that
//! can't start in time behind the queued work is refused on arrival. Its client learns that at
//! once, and the targets run jobs that still meet their objective.

use crate::resource::Amount;
use rand::{Rng, RngExt};
use std::fmt;
use verbenapass::time::Timestamp;
use verbenapass::unit::{Micros, Millis, Permille};

/// Safety factor on the estimated wait: a job is accepted only if this multiple of the work ahead
/// of it ends before its latest start.
const QUEUE_MARGIN: Permille = Permille::new(1_500);
/// Shortest retry time: the header that carries it counts whole seconds.
const MIN_RETRY_AFTER: Millis = Millis::new(1_000);
/// Longest retry time before jitter, so that a short overload doesn't keep clients away for long.
const MAX_RETRY_AFTER: Millis = Millis::new(5_000);

/// Load of a service for one job, as far as this instance knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Whether the process has not read the list of targets yet.
    pub is_list_pending: bool,
    /// Number of targets that this instance or a peer can reach and that aren't leaving.
    pub targets: usize,
    /// Time from which these targets can run tasks: later than the arrival of the job while the
    /// fleet starts and claims its targets.
    pub usable_from: Timestamp,
    /// Estimated time in which these targets complete the waiting tasks that precede the job.
    pub ahead: Micros,
    /// Estimated time in which these targets complete all waiting tasks.
    pub backlog: Micros,
    /// Whether one task fits on an empty target among these.
    pub fits: bool,
    /// Whether one task fits on an empty target among all listed ones, at the largest capacity that each
    /// had.
    pub fits_listed: bool,
}

/// Resources of the targets of a service, used or not.
#[derive(Clone, Debug, Default)]
pub struct Capacity {
    listed: Vec<Amount>,
    reachable: Vec<Amount>,
    total: Amount,
}

impl Capacity {
    /// Adds a target with its present capacity and the largest that it had. Only the latter counts for
    /// [`Load::fits_listed`], and only that of unreachable targets.
    pub fn insert(&mut self, capacity: Amount, nominal: Amount, is_reachable: bool) {
        self.listed.push(nominal);
        if is_reachable {
            self.reachable.push(capacity);
            self.total = self.total.plus(capacity);
        }
    }

    /// Returns the sum over the reachable targets.
    pub fn total(&self) -> Amount {
        self.total
    }

    /// Returns the load for a job whose tasks take `amount` each, with the waiting work left at
    /// zero.
    pub fn load(&self, amount: Amount) -> Load {
        let fits = |capacities: &[Amount]| capacities.iter().any(|room| amount.fits(*room));
        Load {
            targets: self.reachable.len(),
            fits: fits(&self.reachable),
            fits_listed: fits(&self.listed),
            ..Load::default()
        }
    }
}

/// Why a job is refused or given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// On arrival, the waiting work is too much for the job to start in time.
    Overload,
    /// It waited until it could no longer start, or complete, in time.
    TooLate,
    /// No target that is large enough can be reached.
    NoTarget,
    /// The instance shuts down and neither owns targets nor has peers.
    Stopping,
    /// A job of the same name is open at this instance.
    Duplicate,
    /// Runs were lost, and no time is left to repeat them.
    Lost,
    /// The deadline of the client has passed.
    Expired,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Overload => "overload",
            Self::TooLate => "too_late",
            Self::NoTarget => "no_target",
            Self::Stopping => "stopping",
            Self::Duplicate => "duplicate",
            Self::Lost => "lost",
            Self::Expired => "expired",
        })
    }
}

/// Result of admission control.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The job is queued until there is room.
    Accept,
    /// The job is refused without having run; the client may retry.
    Refuse(Reason),
    /// The job can never run, since no listed target is large enough for a task.
    Fail,
}

/// Decides whether to accept a job whose latest useful start is `start_by`.
pub fn decide(load: &Load, start_by: Timestamp, now: Timestamp) -> Decision {
    if !load.is_list_pending && (load.targets == 0 || !load.fits && load.fits_listed) {
        return Decision::Refuse(Reason::NoTarget);
    }
    if !load.is_list_pending && !load.fits {
        return Decision::Fail;
    }
    let usable_from = load.usable_from.max(now);
    if start_by.is_past(usable_from) {
        return Decision::Refuse(Reason::NoTarget);
    }
    let wait = Micros::new(QUEUE_MARGIN.of(load.ahead.get()));
    if start_by.is_past(usable_from.plus_micros(wait)) {
        return Decision::Refuse(Reason::Overload);
    }
    Decision::Accept
}

/// Returns the delay after which a refused client may retry: the estimated time to clear the
/// backlog, within 1 s and 5 s, plus up to as much random jitter so that clients don't retry all at
/// once.
pub fn retry_after(load: &Load, random: &mut impl Rng) -> Millis {
    let wait = Millis::new(load.backlog.get() / 1_000).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
    Millis::new(wait.get() + random.random_range(0..=wait.get()))
}
