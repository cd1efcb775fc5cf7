//! A job at the instance that took it from its client.

use crate::resource::Amount;
use crate::run::{self, End, Key, Number};
use std::sync::Arc;
use verbenapass::id;
use verbenapass::time::Timestamp;
use verbenapass::unit::{Micros, Millis, Permille};

/// Most tasks of a job: bounds its memory to about a megabyte.
pub const MAX_TASKS: u32 = 10_000;
/// Longest duration that is believed, a day, so that sums of work stay in range.
const MAX_ESTIMATE: Millis = Millis::new(86_400_000);
/// Numbers skipped after a target has seen a higher run of a task, which an earlier job of the same
/// name may have left behind.
const OUTDATED_STEP: u64 = 16;
/// Restarts of one task, after runs that did not fail, until its job is given up: a bound on the
/// work that targets which lose everything can cause.
const MAX_RESTARTS: u32 = 8;
/// Pause of a task that a target did not start, for each time that this has happened.
const RETRY_PAUSE: Millis = Millis::new(5);
/// Longest task of a job over its mean: tasks of a step spread by 15 %.
const LONGEST_PERMILLE: u64 = 1_150;
/// Part of the objective that is kept for messages.
const OVERHEAD: Millis = Millis::new(10);
/// A late answer is of use for up to this many times the objective.
const LATE_FACTOR: u64 = 3;

/// A job as its client submits it.
#[derive(Clone, Debug)]
pub struct Submission {
    /// The open call of the client.
    pub caller: id::Caller,
    /// Name of the job.
    pub id: run::Job,
    /// Class of the tasks.
    pub kind: id::Kind,
    /// Service that runs them.
    pub service: id::Service,
    /// What the tasks are.
    pub spec: Arc<str>,
    /// Priority of its queue; 0 comes first.
    pub priority: u32,
    /// Number of tasks.
    pub tasks: u32,
    /// Resources of one task.
    pub amount: Amount,
    /// Expected duration of one task.
    pub estimate: Millis,
    /// Failed runs of a task after which the job has failed.
    pub attempts: u32,
    /// The objective is this many times the longest task, and `slack` more.
    pub stretch: Permille,
    /// See `stretch`.
    pub slack: Millis,
    /// When the client gives up.
    pub deadline: Timestamp,
    /// Time after which a client without a result submits the job again.
    pub resubmit_after: Millis,
    /// Version of the routes by which it was accepted.
    pub version: id::Version,
}

/// Rank of a job among those that wait: jobs that run in part come first, since their other tasks
/// are wasted otherwise, then those that must start first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Whether no task runs.
    pub is_fresh: bool,
    /// Priority of its queue; 0 comes first.
    pub priority: u32,
    /// Time by which the job must start to meet its objective.
    pub start_by: Timestamp,
}

/// Where a task is.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Place {
    Waiting,
    /// Runs on a target of this peer, or of this instance.
    Placed {
        owner: Option<id::Instance>,
        number: Number,
    },
    /// Runs at a peer that was lost; certainly over at `settled_at`.
    Settling {
        settled_at: Timestamp,
        number: Number,
    },
    /// Waits before it is placed again, so that a target that refuses is not asked in a loop.
    Paused {
        until: Timestamp,
    },
    Done,
}

#[derive(Clone, Debug)]
struct Task {
    place: Place,
    next: Number,
    failures: u32,
    restarts: u32,
    refusals: u32,
}

/// What is to be done after the end of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The end is of a run that the job does not know.
    Unknown,
    /// Nothing but to go on.
    Continue,
    /// Every task is done.
    Complete,
    /// A task has failed as often as it may.
    Failed,
    /// A task was restarted too often, or has no time left.
    GiveUp,
}

/// A job that was accepted and not answered.
#[derive(Debug)]
pub struct Job {
    submission: Submission,
    arrived: Timestamp,
    start_by: Timestamp,
    useful_until: Timestamp,
    tasks: Vec<Task>,
    waiting: Vec<u32>,
    remaining: u32,
    placed: u32,
    may_have_run: u32,
    moved: u32,
    first_placed_at: Option<Timestamp>,
}

impl Job {
    /// Makes a job whose tasks all wait.
    pub fn new(mut submission: Submission, now: Timestamp) -> Self {
        submission.estimate = submission.estimate.min(MAX_ESTIMATE);
        let task = Task {
            place: Place::Waiting,
            next: Number::FIRST,
            failures: 0,
            restarts: 0,
            refusals: 0,
        };
        let count = submission.tasks;
        let longest = submission.estimate.get() * LONGEST_PERMILLE / 1_000;
        let objective = submission.stretch.of(longest) + submission.slack.get();
        let start_by = now.plus(Millis::new(
            objective.saturating_sub(longest).saturating_sub(OVERHEAD.get()).max(1),
        ));
        Self {
            start_by: start_by.min(submission.deadline),
            useful_until: now.plus(Millis::new(objective * LATE_FACTOR)).min(submission.deadline),
            arrived: now,
            tasks: vec![task; count as usize],
            waiting: (0..count).rev().collect(),
            remaining: count,
            placed: 0,
            may_have_run: 0,
            moved: 0,
            first_placed_at: None,
            submission,
        }
    }

    /// Numbers the runs from `first` on, above those of an earlier submission of the job.
    pub fn with_first_run(mut self, first: Number) -> Self {
        for task in &mut self.tasks {
            task.next = first;
        }
        self
    }

    /// Returns a number above those of all runs.
    pub fn next_run(&self) -> Number {
        self.tasks.iter().map(|task| task.next).max().unwrap_or(Number::FIRST)
    }

    /// Returns what the client submitted.
    pub fn submission(&self) -> &Submission {
        &self.submission
    }

    /// Returns when the job arrived.
    pub fn arrived(&self) -> Timestamp {
        self.arrived
    }

    /// Returns the time by which it must start to meet its objective.
    pub fn start_by(&self) -> Timestamp {
        self.start_by
    }

    /// Returns the time after which an answer is of no use.
    pub fn useful_until(&self) -> Timestamp {
        self.useful_until
    }

    /// Returns when the first task was placed.
    pub fn first_placed_at(&self) -> Option<Timestamp> {
        self.first_placed_at
    }

    /// Returns the number of runs that were handed to peers.
    pub fn moved(&self) -> u32 {
        self.moved
    }

    /// Returns the number of tasks that wait.
    pub fn waiting(&self) -> u32 {
        self.waiting.len() as u32
    }

    /// Tells whether every task is done.
    pub fn is_complete(&self) -> bool {
        self.remaining == 0
    }

    /// Returns the number of tasks that are neither done nor placed.
    pub fn unplaced(&self) -> u32 {
        self.remaining - self.placed
    }

    /// Lets tasks wait again whose pause is over.
    pub fn resume(&mut self, now: Timestamp) {
        for (task, index) in self.tasks.iter_mut().zip(0..) {
            if matches!(task.place, Place::Paused { until } if until.is_past(now)) {
                task.place = Place::Waiting;
                self.waiting.push(index);
            }
        }
    }

    /// Returns the expected time in which all of `capacity` works the waiting tasks off.
    pub fn work(&self, capacity: Amount) -> Micros {
        let millis = self.submission.estimate.get().saturating_mul(u64::from(self.waiting()));
        self.submission
            .amount
            .dominant_share_of(capacity, Micros::new(millis.saturating_mul(1_000)))
    }

    /// Tells whether a task runs or may have run.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run > 0
    }

    /// Returns the place in the order of waiting jobs.
    pub fn rank(&self) -> Rank {
        Rank {
            is_fresh: !self.may_have_run(),
            priority: self.submission.priority,
            start_by: self.start_by,
        }
    }

    /// Returns when something has to be decided about the job if nothing happens before.
    pub fn next_deadline(&self) -> Timestamp {
        let is_fresh = !self.may_have_run();
        let is_unplaced = self.unplaced() > 0;
        let decide_at = match is_unplaced {
            true if is_fresh => self.start_by,
            true => self.useful_until,
            false => self.submission.deadline,
        };
        let decide_at = decide_at.min(self.hopeless_at());
        let settles_at = self.tasks.iter().filter_map(|task| match task.place {
            Place::Settling { settled_at, .. } => Some(settled_at),
            Place::Paused { until } => Some(until),
            _ => None,
        });
        settles_at.min().map_or(decide_at, |at| at.min(decide_at))
    }

    /// Returns when a client may be told that the job cannot be of use any more, since runs that were
    /// lost with a peer could begin again only too late. They are over when the client comes back.
    pub fn hopeless_at(&self) -> Timestamp {
        let settled = self.tasks.iter().filter_map(|task| match task.place {
            Place::Settling { settled_at, .. } => Some(settled_at),
            _ => None,
        });
        let is_hopeless = |at: &Timestamp| self.useful_until < at.plus(self.submission.estimate);
        let last = settled.filter(is_hopeless).max();
        last.map_or(Timestamp::MAX, |at| at.minus(self.submission.resubmit_after))
    }

    /// Takes a waiting task for a run on a target of `owner`, or of this instance.
    pub fn place(&mut self, owner: Option<&id::Instance>, now: Timestamp) -> Option<Key> {
        let index = self.waiting.pop()?;
        let task = &mut self.tasks[index as usize];
        let number = task.next;
        task.place = Place::Placed { owner: owner.cloned(), number };
        task.next = number.plus(1);
        self.placed += 1;
        self.may_have_run += 1;
        self.moved += u32::from(owner.is_some());
        self.first_placed_at.get_or_insert(now);
        Some(Key { task: run::Task { job: self.submission.id, index }, number })
    }

    /// Takes the end of a run.
    pub fn ended(&mut self, key: Key, end: End, now: Timestamp) -> Verdict {
        let Some(task) = self.tasks.get_mut(key.task.index as usize) else {
            return Verdict::Unknown;
        };
        match task.place {
            Place::Placed { number, .. } | Place::Settling { number, .. }
                if number == key.number => {}
            _ => return Verdict::Unknown,
        }
        self.placed -= 1;
        match end {
            End::Done => {
                task.place = Place::Done;
                self.remaining -= 1;
                return if self.remaining == 0 { Verdict::Complete } else { Verdict::Continue };
            }
            End::Failed => task.failures += 1,
            End::NotStarted => {
                self.may_have_run -= 1;
                task.refusals += 1;
            }
            End::Outdated => {
                self.may_have_run -= 1;
                task.next = task.next.plus(OUTDATED_STEP);
                task.restarts += 1;
            }
            End::Stopped | End::Stalled | End::Lost => task.restarts += 1,
        }
        if end == End::NotStarted {
            let pause = Millis::new(RETRY_PAUSE.get() * u64::from(task.refusals));
            task.place = Place::Paused { until: now.plus(pause) };
        } else {
            task.place = Place::Waiting;
            self.waiting.push(key.task.index);
        }
        if task.failures >= self.submission.attempts.max(1) {
            return Verdict::Failed;
        }
        let ends_at = now.plus(self.submission.estimate);
        if task.restarts > MAX_RESTARTS || self.useful_until.is_past(ends_at) {
            return Verdict::GiveUp;
        }
        Verdict::Continue
    }

    /// Notes that the runs at a peer are over at `settled_at`, which is not known earlier. Returns
    /// whether there are any.
    pub fn lose_peer(&mut self, peer: &id::Instance, settled_at: Timestamp) -> bool {
        let mut has_lost = false;
        for task in &mut self.tasks {
            if let Place::Placed { owner: Some(owner), number } = &task.place
                && owner == peer
            {
                task.place = Place::Settling { settled_at, number: *number };
                has_lost = true;
            }
        }
        has_lost
    }

    /// Notes that a run has gone over to another owner.
    pub fn set_owner(&mut self, key: Key, owner: Option<&id::Instance>) {
        let Some(task) = self.tasks.get_mut(key.task.index as usize) else { return };
        if let Place::Placed { number, .. } | Place::Settling { number, .. } = task.place
            && number == key.number
        {
            task.place = Place::Placed { owner: owner.cloned(), number };
        }
    }

    /// Returns the runs that are settled by now.
    pub fn settled(&self, now: Timestamp) -> Vec<Key> {
        self.keys(|place| match place {
            Place::Settling { settled_at, number } if settled_at.is_past(now) => Some(*number),
            _ => None,
        })
    }

    /// Returns the runs on targets of `owner`, or of this instance.
    pub fn placed_at(&self, wanted: Option<&id::Instance>) -> Vec<Key> {
        self.keys(|place| match place {
            Place::Placed { owner, number } if owner.as_ref() == wanted => Some(*number),
            _ => None,
        })
    }

    /// Returns the peers that run tasks of the job.
    pub fn owners(&self) -> Vec<id::Instance> {
        let mut owners: Vec<id::Instance> = self
            .tasks
            .iter()
            .filter_map(|task| match &task.place {
                Place::Placed { owner, .. } => owner.clone(),
                _ => None,
            })
            .collect();
        owners.sort();
        owners.dedup();
        owners
    }

    fn keys(&self, number: impl Fn(&Place) -> Option<Number>) -> Vec<Key> {
        self.tasks
            .iter()
            .zip(0..)
            .filter_map(|(task, index)| {
                let number = number(&task.place)?;
                Some(Key { task: run::Task { job: self.submission.id, index }, number })
            })
            .collect()
    }
}
