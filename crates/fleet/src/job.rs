//! A job at its home, the instance that accepted it from its client.

use crate::crash::Permit;
use crate::resource::{Amount, Work};
use crate::run::{self, End, Key, Number};
use crate::speed::{Factor, Range};
use std::sync::Arc;
use verbenapass::id;
use verbenapass::time::Timestamp;
use verbenapass::unit::{Micros, Millis, Permille};

/// Largest number of tasks in a job; bounds its memory to about a megabyte.
pub const MAX_TASKS: u32 = 10_000;
/// Upper limit of an estimated duration, one day, which keeps sums of work in range.
const MAX_ESTIMATE: Millis = Millis::new(86_400_000);
/// Run numbers skipped after a target rejects a run as outdated. An earlier submission of the same
/// job may have left higher run numbers there.
const OUTDATED_STEP: u64 = 16;
/// Restarts of one task, not counting failed runs, after which its job is given up. Bounds the work
/// that targets which lose all their runs can cause.
const MAX_RESTARTS: u32 = 8;
/// Backoff of a task that a target did not start, multiplied by the number of such refusals.
const RETRY_BACKOFF: Millis = Millis::new(5);
/// Longest task of a job relative to the estimate, since durations of equal tasks vary by 15 %.
const LONGEST_PERMILLE: u64 = 1_150;
/// Part of the response time objective that is reserved for messages.
const MESSAGE_OVERHEAD: Millis = Millis::new(10);
/// Time before the refusal of an unstarted job at which it stops waiting for a faster target. All peers
/// are asked within it, and one grants room: 4 ms and three round trips between data centres.
const PLACEMENT_RESERVE: Millis = Millis::new(20);
/// Multiple of the objective until which a late answer is still useful to the client.
const LATE_FACTOR: u64 = 3;

/// A job as submitted by its client, with the settings of its route.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Open call of the client, which gets the answer.
    pub caller: id::Caller,
    /// Name of the job, chosen by the client; the same one when it submits the job again.
    pub id: run::Job,
    /// Kind of the tasks; failures of a target are counted by kind.
    pub kind: id::Kind,
    /// Service whose targets run the tasks.
    pub service: id::Service,
    /// Description of the tasks, passed on to targets unchanged.
    pub spec: Arc<str>,
    /// Priority of the route; 0 is served first.
    pub priority: u32,
    /// Number of tasks, at most [`MAX_TASKS`].
    pub tasks: u32,
    /// Resources of one task.
    pub amount: Amount,
    /// Expected duration of one task.
    pub estimate: Millis,
    /// Failed runs of a task after which the job fails; 0 counts as 1.
    pub attempts: u32,
    /// Factor of the response time objective: `stretch` times the longest task, plus `slack`.
    pub stretch: Permille,
    /// Fixed part of the response time objective, see `stretch`.
    pub slack: Millis,
    /// Time at which the client's call arrived at this instance.
    pub arrived: Timestamp,
    /// Time at which the client stops waiting.
    pub deadline: Timestamp,
    /// Delay after which a client without a result submits the job again.
    pub resubmit_after: Millis,
    /// Version of the routes in force when the job arrived.
    pub version: id::Version,
}

/// Position of a job in the queue; the smallest rank is served first. Jobs with tasks that run or
/// have run come first, since that work is wasted if the rest comes too late.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Whether no task runs or may have run.
    pub is_unstarted: bool,
    /// Priority of the route; 0 is served first.
    pub priority: u32,
    /// Time by which the job must start to meet its objective.
    pub start_by: Timestamp,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    Waiting,
    /// Waits for a target on which nothing else runs.
    Isolated,
    /// Waits until it is known whether its former targets have crashed.
    Withheld,
    /// Runs on a target of peer `owner`, or of this instance if `None`.
    Placed {
        owner: Option<id::Instance>,
        number: Number,
    },
    /// Runs on a target of the lost peer `owner`. The run has certainly ended by `latest_end`.
    Orphaned {
        owner: id::Instance,
        latest_end: Timestamp,
        number: Number,
    },
    /// Backs off after a refused start, so that a target which refuses isn't asked in a loop.
    Paused {
        until: Timestamp,
    },
    Done,
}

#[derive(Clone, Debug)]
struct Task {
    state: State,
    permit: Permit,
    /// Target of the last run, and its incarnation as far as known.
    target: Option<(id::Target, u64)>,
    /// When the last run was placed.
    placed_at: Timestamp,
    next_run: Number,
    failures: u32,
    restarts: u32,
    refusals: u32,
}

/// What the end of a run means for its job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The run is not the present one of its task; the end changes nothing.
    Unknown,
    /// The job goes on.
    Continue,
    /// Every task is done.
    Complete,
    /// A task has used up its attempts.
    Failed,
    /// A task was restarted too often, or can no longer end while its result is useful.
    GiveUp,
}

/// The state of a job and its tasks.
#[derive(Debug)]
pub struct Job {
    submission: Submission,
    start_by: Timestamp,
    /// Time by which the runs must have ended to meet the objective.
    end_by: Timestamp,
    useful_until: Timestamp,
    /// Until when its tasks wait for a faster target.
    waiting_until: Timestamp,
    tasks: Vec<Task>,
    waiting: Vec<u32>,
    isolated: Vec<u32>,
    remaining: u32,
    placed: u32,
    may_have_run: u32,
    moved: u32,
    first_placed_at: Option<Timestamp>,
}

impl Job {
    /// Creates a job whose tasks all wait and whose runs are numbered from `first`, above those of an
    /// earlier submission that this process knows. Caps the estimate at one day.
    pub fn new(mut submission: Submission, first: Number) -> Self {
        submission.estimate = submission.estimate.min(MAX_ESTIMATE);
        let task = Task {
            state: State::Waiting,
            permit: Permit::Anywhere,
            target: None,
            placed_at: Timestamp::default(),
            next_run: first,
            failures: 0,
            restarts: 0,
            refusals: 0,
        };
        let count = submission.tasks;
        let longest = submission.estimate.get() * LONGEST_PERMILLE / 1_000;
        let objective = submission.stretch.of(longest) + submission.slack.get();
        let start_by = submission.arrived.plus(Millis::new(
            objective.saturating_sub(longest).saturating_sub(MESSAGE_OVERHEAD.get()).max(1),
        ));
        Self {
            start_by: start_by.min(submission.deadline),
            end_by: submission
                .arrived
                .plus(Millis::new(objective.saturating_sub(MESSAGE_OVERHEAD.get()))),
            waiting_until: Timestamp::MAX,
            useful_until: submission
                .arrived
                .plus(Millis::new(objective * LATE_FACTOR))
                .min(submission.deadline),
            tasks: vec![task; count as usize],
            waiting: (0..count).rev().collect(),
            isolated: Vec::new(),
            remaining: count,
            placed: 0,
            may_have_run: 0,
            moved: 0,
            first_placed_at: None,
            submission,
        }
    }

    /// Returns a run number above those of all runs so far, or `None` if the job has no tasks.
    pub fn next_run(&self) -> Option<Number> {
        self.tasks.iter().map(|task| task.next_run).max()
    }

    /// Returns the submission, with the estimate capped at one day.
    pub fn submission(&self) -> &Submission {
        &self.submission
    }

    /// Returns when the job arrived at this instance.
    pub fn arrived(&self) -> Timestamp {
        self.submission.arrived
    }

    /// Returns the latest start that still meets the response time objective.
    pub fn start_by(&self) -> Timestamp {
        self.start_by
    }

    /// Returns when an answer stops being useful: three times the objective, or the deadline if
    /// that is earlier.
    pub fn useful_until(&self) -> Timestamp {
        self.useful_until
    }

    /// Returns when the first run was placed, or `None` if none was.
    pub fn first_placed_at(&self) -> Option<Timestamp> {
        self.first_placed_at
    }

    /// Returns the number of runs that were sent to peers.
    pub fn moved(&self) -> u32 {
        self.moved
    }

    /// Returns the number of tasks ready to be placed on any target. Tasks that back off don't count.
    pub fn waiting(&self) -> u32 {
        self.waiting.len() as u32
    }

    /// Returns the task that [`Self::place`] places next.
    pub fn first_waiting(&self) -> Option<run::Task> {
        let index = *self.waiting.last()?;
        Some(run::Task { job: self.submission.id, index })
    }

    /// Returns the number of tasks that wait for a target on which nothing else runs.
    pub fn isolated(&self) -> u32 {
        self.isolated.len() as u32
    }

    /// Sets where a task may be started from now on. A present run of it is not affected.
    pub fn set_permit(&mut self, index: u32, permit: Permit) {
        let Some(task) = self.tasks.get_mut(index as usize) else { return };
        if std::mem::replace(&mut task.permit, permit) == permit {
            return;
        }
        match task.state {
            State::Waiting => self.waiting.retain(|waiting| *waiting != index),
            State::Isolated => self.isolated.retain(|isolated| *isolated != index),
            State::Withheld => {}
            State::Placed { .. } | State::Orphaned { .. } | State::Paused { .. } | State::Done => {
                return;
            }
        }
        self.await_placement(index);
    }

    /// Lets the isolated tasks start beside others.
    pub fn end_isolation(&mut self) {
        for index in self.isolated.clone() {
            self.set_permit(index, Permit::Anywhere);
        }
    }

    /// Makes a task wait for what its permit demands.
    fn await_placement(&mut self, index: u32) {
        let task = &mut self.tasks[index as usize];
        match task.permit {
            Permit::Anywhere => {
                task.state = State::Waiting;
                self.waiting.push(index);
            }
            Permit::Alone => {
                task.state = State::Isolated;
                self.isolated.push(index);
            }
            Permit::Wait | Permit::Never => task.state = State::Withheld,
        }
    }

    /// Returns whether every task is done.
    pub fn is_complete(&self) -> bool {
        self.remaining == 0
    }

    /// Returns the number of tasks that are neither done nor placed, including those that back off.
    pub fn unplaced(&self) -> u32 {
        self.remaining - self.placed
    }

    /// Returns the longest expected run time of a task on the mean target.
    fn longest(&self) -> Millis {
        Millis::new(self.submission.estimate.get() * LONGEST_PERMILLE / 1_000)
    }

    /// Returns the largest factor of a target on which a task that starts now is in time.
    pub fn largest_factor(&self, now: Timestamp) -> Factor {
        Factor::within(self.end_by.since(now), self.longest())
    }

    /// Returns until when waiting for one of the fastest targets makes sense, given the known factors.
    /// Later, such a target could no longer complete a task in time, an unstarted job would be
    /// refused, or the slowest target could no longer complete a task of a started one.
    pub fn wait_until(&self, known: Range) -> Timestamp {
        let in_time = self.end_by.minus(known.fastest.of(self.longest()));
        let limit = match self.may_have_run() {
            true => self.useful_until.minus(known.slowest.of(self.longest())),
            false => self.start_by.minus(PLACEMENT_RESERVE),
        };
        in_time.min(limit)
    }

    /// Sets until when the tasks wait for a faster target, [`Timestamp::MAX`] if they don't.
    pub fn set_waiting_until(&mut self, until: Timestamp) {
        self.waiting_until = until;
    }

    /// Makes tasks ready again whose backoff has ended, or whose wait for a faster target has.
    pub fn resume(&mut self, now: Timestamp) {
        if self.waiting_until.is_past(now) {
            self.waiting_until = Timestamp::MAX;
        }
        for index in 0..self.submission.tasks {
            let state = &self.tasks[index as usize].state;
            if matches!(state, State::Paused { until } if until.is_past(now)) {
                self.await_placement(index);
            }
        }
    }

    /// Returns the estimated time in which `capacity`, used fully, completes the waiting tasks.
    pub fn work(&self, capacity: Amount) -> Micros {
        let millis = self.submission.estimate.get().saturating_mul(u64::from(self.waiting()));
        self.submission
            .amount
            .dominant_share_of(capacity, Micros::new(millis.saturating_mul(1_000)))
    }

    /// Returns the estimated work of the waiting tasks.
    pub fn waiting_work(&self) -> Work {
        let millis = self.submission.estimate.get().saturating_mul(u64::from(self.waiting()));
        Work::new(self.submission.amount, Millis::new(millis))
    }

    /// Returns whether any task runs or may have run. If not, the job can be refused.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run > 0
    }

    /// Returns the position of the job in the queue. It changes when the first task is placed.
    pub fn rank(&self) -> Rank {
        Rank {
            is_unstarted: !self.may_have_run(),
            priority: self.submission.priority,
            start_by: self.start_by,
        }
    }

    /// Returns when the job must be examined again if no run ends before.
    pub fn next_deadline(&self) -> Timestamp {
        let is_unstarted = !self.may_have_run();
        let is_unplaced = self.unplaced() > 0;
        let decide_at = match is_unplaced {
            true if is_unstarted => self.start_by,
            true => self.useful_until,
            false => self.submission.deadline,
        };
        let decide_at = decide_at.min(self.give_up_at());
        let wake_times = self.tasks.iter().filter_map(|task| match task.state {
            State::Orphaned { latest_end, .. } => Some(latest_end),
            State::Paused { until } => Some(until),
            _ => None,
        });
        let decide_at = match self.waiting.is_empty() {
            true => decide_at,
            false => decide_at.min(self.waiting_until),
        };
        wake_times.min().map_or(decide_at, |at| at.min(decide_at))
    }

    /// Returns when the job may be given up because orphaned runs can be repeated only too late, or
    /// [`Timestamp::MAX`] if there are none. If the job is answered then, its client submits it
    /// again only after these runs have ended.
    pub fn give_up_at(&self) -> Timestamp {
        let latest_ends = self.tasks.iter().filter_map(|task| match task.state {
            State::Orphaned { latest_end, .. } => Some(latest_end),
            _ => None,
        });
        let is_too_late = |at: &Timestamp| self.useful_until < at.plus(self.submission.estimate);
        let last = latest_ends.filter(is_too_late).max();
        last.map_or(Timestamp::MAX, |at| at.minus(self.submission.resubmit_after))
    }

    /// Begins a run of a waiting task on a target, given with its incarnation, of `owner`, or of this
    /// instance if `None`. Returns `None` if no task waits.
    pub fn place(
        &mut self,
        owner: Option<&id::Instance>,
        target: (id::Target, u64),
        now: Timestamp,
    ) -> Option<Key> {
        let index = self.waiting.pop()?;
        Some(self.begin(index, owner, target, now))
    }

    /// Begins a run of an isolated task on a target of this instance. Returns `None` if there is none.
    pub fn place_isolated(&mut self, target: (id::Target, u64), now: Timestamp) -> Option<Key> {
        let index = self.isolated.pop()?;
        Some(self.begin(index, None, target, now))
    }

    fn begin(
        &mut self,
        index: u32,
        owner: Option<&id::Instance>,
        target: (id::Target, u64),
        now: Timestamp,
    ) -> Key {
        let task = &mut self.tasks[index as usize];
        let number = task.next_run;
        task.state = State::Placed { owner: owner.cloned(), number };
        task.target = Some(target);
        task.placed_at = now;
        task.next_run = number.plus(1);
        self.placed += 1;
        self.may_have_run += 1;
        self.moved += u32::from(owner.is_some());
        self.first_placed_at.get_or_insert(now);
        Key { task: run::Task { job: self.submission.id, index }, number }
    }

    /// Returns the target of the last run of a task and its incarnation, if there was a run.
    pub fn target(&self, task: run::Task) -> Option<(id::Target, u64)> {
        self.tasks.get(task.index as usize)?.target.clone()
    }

    /// Returns whether a run is the present one of its task and its end is not known.
    pub fn is_placed(&self, key: Key) -> bool {
        let task = self.tasks.get(key.task.index as usize);
        task.is_some_and(|task| match task.state {
            State::Placed { number, .. } | State::Orphaned { number, .. } => number == key.number,
            State::Waiting
            | State::Isolated
            | State::Withheld
            | State::Paused { .. }
            | State::Done => false,
        })
    }

    /// Returns whether a run is the present one of its task and on a target of `owner`, or of this
    /// instance if `None`. An owner that has handed the run over doesn't know how it ends.
    pub fn is_placed_at(&self, key: Key, owner: Option<&id::Instance>) -> bool {
        let state = self.tasks.get(key.task.index as usize).map(|task| &task.state);
        match state {
            Some(State::Placed { owner: known, number }) => {
                known.as_ref() == owner && *number == key.number
            }
            Some(State::Orphaned { owner: known, number, .. }) => {
                Some(known) == owner && *number == key.number
            }
            _ => false,
        }
    }

    /// Returns the time since a run was placed, or `None` if it is not the present one of its task.
    pub fn run_time(&self, key: Key, now: Timestamp) -> Option<Micros> {
        let task = self.tasks.get(key.task.index as usize)?;
        match task.state {
            State::Placed { number, .. } if number == key.number => Some(now.since(task.placed_at)),
            _ => None,
        }
    }

    /// Applies the end of a run. The caller acts on the verdict.
    pub fn ended(&mut self, key: Key, end: End, now: Timestamp) -> Verdict {
        let Some(task) = self.tasks.get_mut(key.task.index as usize) else {
            return Verdict::Unknown;
        };
        match task.state {
            State::Placed { number, .. } | State::Orphaned { number, .. }
                if number == key.number => {}
            _ => return Verdict::Unknown,
        }
        self.placed -= 1;
        match end {
            End::Done => {
                task.state = State::Done;
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
                task.next_run = task.next_run.plus(OUTDATED_STEP);
                task.restarts += 1;
            }
            End::Stopped | End::Stalled | End::Lost | End::Crashed | End::Unreachable => {
                task.restarts += 1;
            }
        }
        if end == End::NotStarted {
            let pause = Millis::new(RETRY_BACKOFF.get() * u64::from(task.refusals));
            task.state = State::Paused { until: now.plus(pause) };
        } else {
            self.await_placement(key.task.index);
        }
        let task = &self.tasks[key.task.index as usize];
        if task.failures >= self.submission.attempts.max(1) {
            return Verdict::Failed;
        }
        let ends_at = now.plus(self.submission.estimate);
        if task.restarts > MAX_RESTARTS || self.useful_until.is_past(ends_at) {
            return Verdict::GiveUp;
        }
        Verdict::Continue
    }

    /// Marks the runs at a lost peer as orphaned: unless their end is reported before, they count
    /// as lost at `latest_end`. Returns whether there are any.
    pub fn lose_peer(&mut self, peer: &id::Instance, latest_end: Timestamp) -> bool {
        let mut has_orphans = false;
        for task in &mut self.tasks {
            if let State::Placed { owner: Some(owner), number } = &task.state
                && owner == peer
            {
                task.state = State::Orphaned { owner: peer.clone(), latest_end, number: *number };
                has_orphans = true;
            }
        }
        has_orphans
    }

    /// Records that a run has moved, with its target, to `owner`, or to this instance if `None`.
    pub fn set_owner(&mut self, key: Key, owner: Option<&id::Instance>) {
        let Some(task) = self.tasks.get_mut(key.task.index as usize) else { return };
        if let State::Placed { number, .. } | State::Orphaned { number, .. } = task.state
            && number == key.number
        {
            task.state = State::Placed { owner: owner.cloned(), number };
        }
    }

    /// Returns the orphaned runs that have certainly ended by `now`.
    pub fn ended_orphans(&self, now: Timestamp) -> Vec<Key> {
        self.keys(|state| match state {
            State::Orphaned { latest_end, number, .. } if latest_end.is_past(now) => Some(*number),
            _ => None,
        })
    }

    /// Returns the runs on targets of the peer `expected`, or of this instance if `None`.
    pub fn placed_at(&self, expected: Option<&id::Instance>) -> Vec<Key> {
        self.keys(|state| match state {
            State::Placed { owner, number } if owner.as_ref() == expected => Some(*number),
            _ => None,
        })
    }

    /// Returns the peers on whose targets tasks of the job run, each once.
    pub fn owners(&self) -> Vec<id::Instance> {
        let mut owners: Vec<id::Instance> = self
            .tasks
            .iter()
            .filter_map(|task| match &task.state {
                State::Placed { owner, .. } => owner.clone(),
                _ => None,
            })
            .collect();
        owners.sort();
        owners.dedup();
        owners
    }

    fn keys(&self, number: impl Fn(&State) -> Option<Number>) -> Vec<Key> {
        self.tasks
            .iter()
            .zip(0..)
            .filter_map(|(task, index)| {
                let number = number(&task.state)?;
                Some(Key { task: run::Task { job: self.submission.id, index }, number })
            })
            .collect()
    }
}
