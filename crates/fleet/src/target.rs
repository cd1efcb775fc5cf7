//! One target as its owner sees it: ownership, the runs on it and its free capacity.
//!
//! A target starts every run that it is told to, so its owner accounts for its resources. A run
//! takes its amount from the moment its start is sent until the target reports its end, or until it
//! is certain that it will not start. All runs on a target depend on one lease, which the owner
//! renews with heartbeats called holds. The answer to a hold lists the running and the ended runs.
//!
//! Each owner sends its orders with a [`Generation`], a fencing token. A target rejects those whose
//! generation is lower than the highest that it has seen, so the first hold of a new generation
//! cancels all older orders, including those in flight.

mod ownership;

use crate::estimate::RunTime;
use crate::generation::Generation;
use crate::obstacle::Obstacle;
use crate::order::{Action, HoldAnswer, Order, StartAnswer, State, StopAnswer};
use crate::resource::Amount;
use crate::round_trip;
use crate::run::{End, Key};
use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use verbenapass::id;
use verbenapass::time::Timestamp;
use verbenapass::unit::{Micros, Millis};

/// Requested lease: the longest that the platform's targets grant. A target shortens a lease that
/// exceeds its own limit.
const LEASE: Millis = Millis::new(1_000);
/// Upper bound of a lease on the owner's clock: the lease on a target clock that runs 2 % slow,
/// plus the time in transit of the order.
const LEASE_BOUND: Millis = Millis::new(1_100);
/// Longest time for which a target delays its answer to a hold until a run ends (long polling). If
/// the answer that reports an end is lost, the owner learns of the end after this time plus
/// [`HOLD_TIMEOUT`], a fifth of the response time objective of a one-second job. A lease outlasts
/// two lost holds.
const HOLD_WAIT: Millis = Millis::new(150);
/// Least timeout of a start or a stop: many round trips between data centres (at most 3 ms each), and
/// short enough to start the task elsewhere within the slack of the shortest jobs (about 100 ms).
const ORDER_TIMEOUT: Millis = Millis::new(50);
/// Least timeout of a hold beyond its wait: many round trips between data centres, but less than the
/// TCP retransmission timeout (200 ms), since a retry on a new connection is faster.
const HOLD_TIMEOUT: Millis = Millis::new(100);
/// Ceiling of timeouts that follow measured round trips: two waiting holds may be lost in a lease, less
/// 2 % for the difference of the clocks, and the third one still arrives in time.
const MAX_TIMEOUT: Millis = Millis::new((LEASE.get() * 980 / 1_000 - 2 * HOLD_WAIT.get()) / 3);
/// Wait of a hold to a suspected target, one that has recently left an order unanswered. Limits the
/// delay until the owner learns that a run ended to about the time for which the shortest jobs can
/// wait (60 ms).
const SUSPECT_HOLD_WAIT: Millis = Millis::new(40);
/// Least timeout of a hold to a suspected target beyond its wait.
const SUSPECT_HOLD_TIMEOUT: Millis = Millis::new(40);
/// Least time beyond its wait after which an unanswered order to a suspected target is hedged by a
/// hold that is answered at once: many round trips between data centres (at most 3 ms).
const HEDGE_DELAY: Millis = Millis::new(20);
/// Most doublings of the timeout of a hold, which doubles with each unanswered one after the first.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;
/// Time for which a target stays suspected after an unanswered hold or start: the shortest
/// disturbance that the requirements name.
const SUSPICION_PERIOD: Millis = Millis::new(3_000);
/// Time after the deadline of a hold by which the caller must have passed its result to
/// [`Target::hold_answered`]; later the hold counts as unanswered.
const ANSWER_GRACE: Millis = Millis::new(100);
/// Interval between holds to a target without runs. They renew the lease of the owner, and detect a
/// crashed target before a start is sent there.
const IDLE_HOLD_INTERVAL: Millis = Millis::new(1_000);
/// Interval between holds to a target that does not answer.
const SILENT_HOLD_INTERVAL: Millis = Millis::new(300);
/// Age, counted from the sending of the hold, up to which its answer proves who owns the target and
/// which incarnation it is. Covers two waiting holds in a row and a slow round trip, so that
/// answered holds leave no gap.
const MAX_STATE_AGE: Millis = Millis::new(350);
/// Least time without an answer after which a stop is sent again.
const STOP_TIMEOUT: Millis = Millis::new(100);
/// Time after which a stop that was not accepted suspends the renewal of the lease. The run then
/// ends within this time plus a lease, 1.27 s on a slow clock, before a client without an answer
/// submits the job again after 1.3 s.
const STOP_OVERDUE: Millis = Millis::new(250);
/// Time from the first answer of a target that could not be claimed to the next claim. The
/// partition that hid the target may also have hidden its owner; peers are linked again by then.
const RECLAIM_DELAY: Millis = Millis::new(1_000);
/// Time for which this instance does not claim a target that another owner has fenced off.
const FENCED_BACKOFF: Millis = Millis::new(3_000);
/// Consecutive unanswered holds after which a target counts as silent and gets no new runs.
const SILENT_HOLDS: u32 = 1;
/// Consecutive unanswered holds that are retried at once; later ones wait [`SILENT_HOLD_INTERVAL`].
const QUICK_HOLDS: u32 = 4;
/// Most ended runs in one answer to a hold. A full answer may be truncated, so the absence of a run
/// from it means nothing.
const MAX_LISTED_ENDS: usize = 500;
/// Assumed difference in clock rate when the clock of a target is extrapolated, in thousandths.
const CLOCK_MARGIN_PERMILLE: u64 = 30;

/// A target in the platform's list of targets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Name of the target, unique in the fleet.
    pub id: id::Target,
    /// Address to which orders are sent.
    pub address: SocketAddr,
    /// Data centre in which it runs.
    pub data_centre: id::DataCentre,
    /// The only service whose tasks it runs.
    pub service: id::Service,
    /// All of its resources, used or free. It may shrink and grow while the target runs.
    pub capacity: Amount,
    /// Start time of its process, in milliseconds since the Unix epoch; rises with each restart.
    pub incarnation: u64,
    /// Version of the list in which the entry was read; rises with each change of the entry.
    pub version: u64,
    /// Whether it drains: its runs go on, but it gets no new ones.
    pub is_leaving: bool,
}

/// The end of a run, to be reported to the home of its job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ended {
    /// Task and number of the run.
    pub run: Key,
    /// Target on which it was; `None` if it was not sent to one.
    pub target: Option<id::Target>,
    /// Home of the job; `None` for an unknown run found on a claimed target.
    pub home: Option<id::Instance>,
    /// How the run ended.
    pub end: End,
    /// Kind of the task; `unknown` for a run without a home.
    pub kind: id::Kind,
    /// Incarnation of the target to which the start was sent.
    pub incarnation: u64,
    /// Whether no other run was on the target while this one was.
    pub was_alone: bool,
    /// Whether [`Target::take_slow`] has reported it.
    pub was_slow: bool,
    /// Run time that was expected on the mean target.
    pub estimate: Millis,
    /// Run time that was expected on this target.
    pub expected: Millis,
    /// Time from the start order to the news of the end; only of runs that are done and that this
    /// instance has started.
    pub duration: Option<Micros>,
}

/// Progress of ownership, which decides what orders may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The target has not accepted the generation yet.
    Claiming,
    /// A claim was not answered. The target gets holds of generation zero, which change nothing
    /// there, until it answers.
    Probing {
        /// Time of the next claim; `Timestamp::MAX` until the target has answered.
        claim_at: Timestamp,
    },
    /// The target has accepted the generation: runs may be started.
    Held,
    /// The target is being handed over to another instance: no new runs.
    HandingOver,
    /// The target has seen a higher generation of another owner.
    Fenced {
        /// Time from which this instance may claim the target again.
        until: Timestamp,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    /// The start is in flight.
    Sent { since: Timestamp },
    /// The start was not answered. The answer to a hold sent after `since` shows whether it runs.
    Unanswered { since: Timestamp },
    /// The target has the run.
    Running { since: Timestamp },
    /// A stop is in flight, or was accepted at `accepted_at`. Until then, a run whose start wasn't
    /// answered may still begin.
    Stopping { accepted_at: Option<Timestamp>, may_begin: bool },
}

/// A run and the capacity that it takes.
#[derive(Clone, Debug)]
struct Run {
    amount: Amount,
    home: Option<id::Instance>,
    kind: id::Kind,
    generation: Generation,
    incarnation: u64,
    /// When this instance ordered the start; `None` if another one did.
    ordered_at: Option<Timestamp>,
    is_alone: bool,
    progress: Progress,
    run_time: RunTime,
    slow_at: Timestamp,
    is_slow: bool,
    stalled_at: Timestamp,
    is_stalled: bool,
    stop_at: Timestamp,
    /// Time from which the lease is not renewed unless the stop was accepted.
    stop_overdue_at: Timestamp,
}

impl Run {
    fn begin(&mut self, now: Timestamp) {
        self.progress = Progress::Running { since: now };
        self.slow_at = self.run_time.slow_at(now);
        self.stalled_at = self.run_time.stalled_at(now);
    }

    /// Returns whether the target may begin the run although its lease has expired, since the start
    /// may still be on its way.
    fn may_begin(&self) -> bool {
        match self.progress {
            Progress::Sent { .. } | Progress::Unanswered { .. } => true,
            Progress::Running { .. } => false,
            Progress::Stopping { may_begin, .. } => may_begin,
        }
    }

    fn begin_stop(&mut self, now: Timestamp) {
        let may_begin = self.may_begin();
        self.progress = Progress::Stopping { accepted_at: None, may_begin };
        self.stop_at = now;
        self.stop_overdue_at = now.plus(STOP_OVERDUE);
    }
}

/// A request to start a run.
#[derive(Clone, Debug)]
pub struct Request {
    /// Task and number of the run.
    pub run: Key,
    /// Home of the job, the instance that accepted it; told how the run ended.
    pub home: id::Instance,
    /// Kind of the task.
    pub kind: id::Kind,
    /// Resources that the run takes from the target until it ends.
    pub amount: Amount,
    /// Expected run time, and the one after which the run is stopped.
    pub run_time: RunTime,
    /// Description of the task, passed on to the target unchanged.
    pub spec: Arc<str>,
    /// Time from which the start must not be sent any more.
    pub send_before: Timestamp,
    /// Whether nothing else may run on the target until the run ends.
    pub is_isolated: bool,
}

/// A run that is handed over to another owner together with its target.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Transfer {
    /// Task and number of the run.
    pub run: Key,
    /// Home of the job; it does not change.
    pub home: id::Instance,
    /// Kind of the task.
    pub kind: id::Kind,
    /// Resources that the run takes from the target until it ends.
    pub amount: Amount,
    /// Expected duration of the whole run, not of the rest.
    pub estimate: Millis,
}

#[derive(Clone, Copy, Debug)]
struct Hold {
    number: u64,
    sent_at: Timestamp,
    /// Time from which the target answers whether a run has ended or not.
    wait_until: Timestamp,
    acknowledged: u64,
    /// Time from which a second hold may be sent.
    hedge_at: Timestamp,
    deadline: Timestamp,
}

#[derive(Clone, Copy, Debug)]
struct Clock {
    millis: u64,
    at: Timestamp,
}

#[derive(Clone, Copy, Debug)]
struct Reservation {
    amount: Amount,
    expires_at: Timestamp,
}

/// A target that this instance owns or claims, with its runs and reservations.
#[derive(Debug)]
pub struct Target {
    entry: Entry,
    generation: Generation,
    process: u32,
    phase: Phase,
    runs: BTreeMap<Key, Run>,
    /// Kinds of the runs that became slow, until [`Self::take_slow`].
    slow_kinds: Vec<id::Kind>,
    reserved: BTreeMap<u64, Reservation>,
    /// The last run that was started in isolation.
    isolated: Option<Key>,
    /// Time until which no runs are started except isolated ones.
    cleared_until: Timestamp,
    used: Amount,
    clock: Option<Clock>,
    round_trips: round_trip::Estimator,
    /// Sequence number of the last ended run that was processed here.
    acknowledged: u64,
    /// Highest `acknowledged` that the target has received.
    delivered: u64,
    hold: Option<Hold>,
    /// A late hold that `hold` hedges; the answer to either counts.
    late_hold: Option<Hold>,
    last_hold_number: u64,
    owned_since: Timestamp,
    hold_at: Timestamp,
    /// Whether the next hold is answered at once, because the state of a run depends on it.
    is_immediate: bool,
    /// When the last hold that was answered had been sent.
    confirmed_at: Timestamp,
    /// Time from which runs may be started, if a hold sent since then was answered. Before it, a
    /// different owner that does not know of the target's present incarnation may still start runs.
    usable_from: Timestamp,
    /// Whether another instance may be the owner until the next claim is accepted.
    is_contested: bool,
    unanswered: u32,
    /// Whether another incarnation answers in place of this one.
    is_replaced: bool,
    /// Whether the capacity is that of the present incarnation, which may differ from the former one.
    is_capacity_known: bool,
    suspected_until: Timestamp,
    /// Latest end of the lease on the local clock; `Timestamp::MAX` once its end was handled.
    lease_ends_at: Timestamp,
    /// Steps by which the last repetition of a rejected claim raised the generation; 1 if no claim
    /// was rejected.
    claim_rounds: u64,
}

impl Target {
    /// Starts to claim a target with a generation above `seen`, the highest known for it.
    pub fn new(entry: Entry, seen: Generation, process: u32, now: Timestamp) -> Self {
        let generation = seen.above(1, process, now);
        Self {
            entry,
            generation,
            process,
            phase: Phase::Claiming,
            runs: BTreeMap::new(),
            slow_kinds: Vec::new(),
            reserved: BTreeMap::new(),
            isolated: None,
            cleared_until: Timestamp::default(),
            used: Amount::default(),
            clock: None,
            round_trips: round_trip::Estimator::default(),
            acknowledged: 0,
            delivered: 0,
            hold: None,
            late_hold: None,
            // Numbers differ from those of an earlier ownership by this process, so that a late
            // answer to an old hold is not mistaken for one to a new hold.
            last_hold_number: generation.get(),
            owned_since: now,
            hold_at: now,
            is_immediate: false,
            confirmed_at: Timestamp::default(),
            usable_from: now,
            is_contested: false,
            unanswered: 0,
            is_replaced: false,
            is_capacity_known: true,
            suspected_until: Timestamp::default(),
            lease_ends_at: now,
            claim_rounds: 1,
        }
    }

    /// Marks the target as claimed from an owner that may be alive. No runs are started until that
    /// owner may start none either: if the target restarts, it forgets whose generation is higher.
    pub fn with_contender(mut self) -> Self {
        self.is_contested = true;
        self
    }

    /// Takes over the runs of the previous owner, which has processed ended runs up to the sequence
    /// number `acknowledged`.
    pub fn with_transfers(
        mut self,
        transfers: &[Transfer],
        acknowledged: u64,
        run_time: impl Fn(&Transfer) -> RunTime,
        now: Timestamp,
    ) -> Self {
        self.acknowledged = acknowledged;
        self.lease_ends_at = now.plus(LEASE_BOUND);
        for transfer in transfers {
            let run_time = run_time(transfer);
            let run = Run {
                amount: transfer.amount,
                home: Some(transfer.home.clone()),
                kind: transfer.kind.clone(),
                generation: self.generation,
                incarnation: self.entry.incarnation,
                // The former owner may have had other runs there.
                is_alone: false,
                ordered_at: None,
                progress: Progress::Running { since: now },
                run_time,
                slow_at: run_time.slow_at(now),
                is_slow: false,
                stalled_at: run_time.stalled_at(now),
                is_stalled: false,
                stop_at: Timestamp::MAX,
                stop_overdue_at: Timestamp::MAX,
            };
            self.insert(transfer.run, run);
        }
        self
    }

    /// Takes over the runs of an earlier ownership by this process and stops them: their homes were
    /// told, or will be told, that they are lost.
    pub fn with_leftovers(mut self, former: &Self, now: Timestamp) -> Self {
        for (key, run) in &former.runs {
            if !self.runs.contains_key(key) {
                let may_begin = run.may_begin();
                let progress = Progress::Stopping { accepted_at: None, may_begin };
                self.insert(
                    *key,
                    Run { progress, stop_at: now, stop_overdue_at: now, ..run.clone() },
                );
            }
        }
        self
    }

    /// Returns whether another instance may be the owner: no claim is in force, or a higher one is.
    pub fn is_disputed(&self) -> bool {
        !matches!(self.phase, Phase::Held | Phase::HandingOver)
    }

    /// Returns the list entry, updated by what holds report and by [`Self::set_leaving`].
    pub fn entry(&self) -> &Entry {
        &self.entry
    }

    /// Returns the generation with which orders are sent; it rises with each new claim.
    pub fn generation(&self) -> Generation {
        self.generation
    }

    /// Returns the progress of ownership.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns the number of runs that take capacity, including those that may not have started.
    pub fn len(&self) -> usize {
        self.runs.len()
    }

    /// Returns whether no run takes capacity. Reservations do not count.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// Returns whether any run of the task takes capacity.
    pub fn has_task(&self, task: crate::run::Task) -> bool {
        let first = Key { task, number: crate::run::Number::new(0) };
        self.runs.range(first..).next().is_some_and(|(key, _)| key.task == task)
    }

    /// Returns whether the target left its last hold unanswered and thus gets no new runs.
    pub fn is_silent(&self) -> bool {
        self.unanswered >= SILENT_HOLDS
    }

    /// Returns whether another incarnation answers in place of the known one.
    pub fn is_replaced(&self) -> bool {
        self.is_replaced
    }

    /// Returns the free capacity for new runs; zero unless a recent hold confirmed the ownership.
    pub fn room(&self, now: Timestamp) -> Amount {
        if self.is_confirmed(now) { self.unconfirmed_room(now) } else { Amount::default() }
    }

    /// Returns the capacity for an isolated run: all of it if the target is empty, nothing otherwise.
    pub fn isolated_room(&self, now: Timestamp) -> Amount {
        let is_free = self.runs.is_empty() && self.reserved.is_empty() && self.is_confirmed(now);
        if is_free { self.usable_capacity(now) } else { Amount::default() }
    }

    /// Keeps other runs off the target until `until`, so that it becomes empty for an isolated run.
    pub fn clear(&mut self, until: Timestamp) {
        self.cleared_until = until;
    }

    /// Returns whether the target is being cleared for an isolated run or has one.
    pub fn is_isolating(&self, now: Timestamp) -> bool {
        !self.cleared_until.is_past(now) || self.has_isolated_run()
    }

    fn has_isolated_run(&self) -> bool {
        self.isolated.is_some_and(|run| self.runs.contains_key(&run))
    }

    /// Returns the free capacity for new runs, provided that a hold confirms the ownership.
    pub fn unconfirmed_room(&self, now: Timestamp) -> Amount {
        if self.is_isolating(now) {
            return Amount::default();
        }
        self.usable_capacity(now).minus(self.used)
    }

    /// Returns whether a run of this amount fits once the target is empty.
    pub fn can_hold(&self, amount: Amount, now: Timestamp) -> bool {
        amount.fits(self.usable_capacity(now))
    }

    /// Returns the capacity, or nothing if no run may be started.
    fn usable_capacity(&self, now: Timestamp) -> Amount {
        if self.obstacle(now).is_some() { Amount::default() } else { self.entry.capacity }
    }

    /// Returns why the target takes no new runs, however small, except isolated ones. That its ownership
    /// isn't confirmed is none, since a hold can confirm it.
    pub fn obstacle(&self, now: Timestamp) -> Option<Obstacle> {
        match () {
            () if self.phase != Phase::Held || !self.usable_from.is_past(now) => {
                Some(Obstacle::NotHeld)
            }
            () if !self.is_capacity_known => Some(Obstacle::UnknownCapacity),
            () if self.entry.is_leaving => Some(Obstacle::Leaving),
            () if self.is_silent() => Some(Obstacle::Silent),
            // A start renews the lease, which would keep a run with an overdue stop alive.
            () if self.has_overdue_stop(now) => Some(Obstacle::OverdueStop),
            () => None,
        }
    }

    /// Makes a hold due at once if the ownership is not confirmed and no hold is in flight.
    pub fn confirm_ownership(&mut self, now: Timestamp) {
        if !self.is_confirmed(now) && self.hold.is_none() {
            self.hold_at = now;
        }
    }

    /// Returns whether the last answer is recent enough to start runs. Another owner may have
    /// claimed the target since, and a restarted target has forgotten that owner's generation.
    fn is_confirmed(&self, now: Timestamp) -> bool {
        self.confirmed_at >= self.usable_from && !self.confirmed_at.plus(MAX_STATE_AGE).is_past(now)
    }

    /// Replaces the list entry. Returns whether the target has restarted, which begins a new claim.
    pub fn update(&mut self, entry: Entry, now: Timestamp) -> bool {
        // Holds may have reported a later incarnation than the list, which lags behind.
        let known = self.entry.incarnation;
        let has_restarted = entry.incarnation > known;
        self.entry = entry;
        self.resize_unknown_runs();
        // An entry without an incarnation fits any.
        self.is_capacity_known = self.entry.incarnation >= known || self.entry.incarnation == 0;
        if has_restarted {
            self.begin_incarnation(self.entry.incarnation, now);
        } else {
            self.entry.incarnation = known;
        }
        has_restarted
    }

    /// Makes unknown runs take the whole capacity again after it has changed.
    fn resize_unknown_runs(&mut self) {
        for run in self.runs.values_mut().filter(|run| run.home.is_none()) {
            self.used = self.used.minus(run.amount).plus(self.entry.capacity);
            run.amount = self.entry.capacity;
        }
    }

    /// Marks the target as leaving, which ends the start of runs until a list entry says otherwise.
    pub fn set_leaving(&mut self) {
        self.entry.is_leaving = true;
    }

    /// Reserves capacity until `expires_at`. The caller chooses a unique `number` and checks that
    /// the capacity is free.
    pub fn reserve(&mut self, number: u64, amount: Amount, expires_at: Timestamp) {
        self.used = self.used.plus(amount);
        self.reserved.insert(number, Reservation { amount, expires_at });
        // The ownership must still be confirmed when runs are started in the reserved capacity.
        if self.hold.is_none() && self.confirmed_at.plus(MAX_STATE_AGE) < expires_at {
            self.hold_at = Timestamp::default();
        }
    }

    /// Releases a reservation. Returns whether it existed: it may have expired.
    pub fn release(&mut self, number: u64) -> bool {
        match self.reserved.remove(&number) {
            Some(reservation) => {
                self.used = self.used.minus(reservation.amount);
                true
            }
            None => false,
        }
    }

    /// Starts a run. Returns false, without an effect, if the run exists, does not fit into
    /// [`Self::room`] (or [`Self::isolated_room`] if it is isolated), or no reading of the target's
    /// clock is known.
    pub fn start(&mut self, request: Request, now: Timestamp, orders: &mut Vec<Order>) -> bool {
        let room = if request.is_isolated { self.isolated_room(now) } else { self.room(now) };
        if !request.amount.fits(room) || self.runs.contains_key(&request.run) {
            return false;
        }
        let Some(lease_until_ms) = self.lease_until(now) else { return false };
        self.lease_ends_at = self.lease_ends_at.max(self.lease_bound(now));
        let run = Run {
            amount: request.amount,
            home: Some(request.home),
            kind: request.kind,
            generation: self.generation,
            incarnation: self.entry.incarnation,
            is_alone: true,
            ordered_at: Some(now),
            progress: Progress::Sent { since: now },
            run_time: request.run_time,
            slow_at: Timestamp::MAX,
            is_slow: false,
            stalled_at: Timestamp::MAX,
            is_stalled: false,
            stop_at: Timestamp::MAX,
            stop_overdue_at: Timestamp::MAX,
        };
        self.insert(request.run, run);
        if request.is_isolated {
            self.isolated = Some(request.run);
            self.cleared_until = now;
        }
        orders.push(self.order(Action::Start {
            run: request.run,
            spec: request.spec,
            lease_until_ms,
            // A process that is paused longer may have lost the target to another owner.
            send_before: request.send_before.min(self.confirmed_at.plus(MAX_STATE_AGE)),
            deadline: now.plus(self.timeout(ORDER_TIMEOUT)),
        }));
        if self.hold.is_none() {
            self.hold_at = now;
        }
        true
    }

    /// Handles the answer to a start. `clock_ms` is the clock of the target, if the answer has it.
    pub fn start_answered(
        &mut self,
        key: Key,
        answer: StartAnswer,
        clock_ms: Option<u64>,
        now: Timestamp,
        ended: &mut Vec<Ended>,
    ) {
        self.set_clock(clock_ms, now);
        let Some(run) = self.runs.get_mut(&key) else { return };
        if let Progress::Sent { since } = run.progress
            && !matches!(answer, StartAnswer::Unknown | StartAnswer::NotSent)
        {
            self.round_trips.record(now.since(since));
        }
        let end = match answer {
            StartAnswer::Accepted => {
                if matches!(run.progress, Progress::Sent { .. } | Progress::Unanswered { .. }) {
                    run.begin(now);
                }
                return;
            }
            StartAnswer::Unknown => {
                if matches!(run.progress, Progress::Sent { .. }) {
                    self.round_trips.record_unanswered();
                    run.progress = Progress::Unanswered { since: now };
                    self.suspected_until = now.plus(SUSPICION_PERIOD);
                    self.request_state(now);
                }
                return;
            }
            StartAnswer::Fenced => {
                self.fence(now);
                return;
            }
            StartAnswer::Outdated => End::Outdated,
            StartAnswer::Refused | StartAnswer::NotSent => End::NotStarted,
        };
        if matches!(run.progress, Progress::Sent { .. }) {
            self.end(key, end, ended);
        }
    }

    /// Stops a run. The next [`Self::poll`] sends the order, repeated until it is accepted.
    pub fn stop(&mut self, key: Key, now: Timestamp) {
        let Some(run) = self.runs.get_mut(&key) else { return };
        if !matches!(run.progress, Progress::Stopping { .. }) {
            run.begin_stop(now);
        }
    }

    /// Stops all runs that `is_chosen` selects by run and home. Returns their number.
    pub fn stop_all(
        &mut self,
        now: Timestamp,
        is_chosen: impl Fn(&Key, Option<&id::Instance>) -> bool,
    ) -> usize {
        let chosen: Vec<Key> = self
            .runs
            .iter()
            .filter(|(key, run)| is_chosen(key, run.home.as_ref()))
            .map(|(key, _)| *key)
            .collect();
        for key in &chosen {
            self.stop(*key, now);
        }
        chosen.len()
    }

    /// Handles the answer to a stop. `clock_ms` is the clock of the target, if the answer has it.
    pub fn stop_answered(
        &mut self,
        key: Key,
        answer: StopAnswer,
        clock_ms: Option<u64>,
        now: Timestamp,
    ) {
        self.set_clock(clock_ms, now);
        match answer {
            StopAnswer::Accepted => {
                let Some(run) = self.runs.get_mut(&key) else { return };
                run.progress = Progress::Stopping { accepted_at: Some(now), may_begin: false };
                run.stop_at = Timestamp::MAX;
                run.stop_overdue_at = Timestamp::MAX;
                self.request_state(now);
            }
            StopAnswer::Fenced => self.fence(now),
            StopAnswer::Unknown => {}
        }
    }

    /// Returns whether a claim without runs was not answered, so that another instance may own the
    /// target.
    pub fn is_probing(&self) -> bool {
        matches!(self.phase, Phase::Probing { .. })
    }

    /// Handles the answer to the hold `number`. Answers to abandoned holds have no effect.
    pub fn hold_answered(
        &mut self,
        number: u64,
        answer: HoldAnswer,
        now: Timestamp,
        ended: &mut Vec<Ended>,
    ) {
        let late_hold = self.late_hold.take_if(|hold| hold.number == number);
        if late_hold.is_some() && matches!(answer, HoldAnswer::Unknown) {
            return;
        }
        let Some(hold) = late_hold.or_else(|| self.hold.take_if(|hold| hold.number == number))
        else {
            return;
        };
        if matches!(answer, HoldAnswer::Replaced) {
            return self.handle_replacement(now, ended);
        }
        if let Phase::Probing { claim_at } = self.phase {
            let is_answered = !matches!(answer, HoldAnswer::Unknown);
            let claim_at =
                if is_answered { claim_at.min(now.plus(RECLAIM_DELAY)) } else { claim_at };
            self.phase = Phase::Probing { claim_at };
            self.hold_at = claim_at.min(now.plus(SILENT_HOLD_INTERVAL));
            return;
        }
        match answer {
            HoldAnswer::State(state) => self.apply_state(hold, &state, now, ended),
            HoldAnswer::Fenced => self.fence(now),
            HoldAnswer::Replaced | HoldAnswer::Unknown => self.handle_missed_hold(now),
        }
    }

    /// Returns the time at which [`Self::poll`] must be called next.
    pub fn next_deadline(&self) -> Timestamp {
        if let Phase::Fenced { .. } = self.phase {
            return self.lease_ends_at;
        }
        let mut next = match self.hold {
            Some(hold) if self.may_hedge(&hold) => hold.hedge_at,
            Some(hold) => hold.deadline.plus(ANSWER_GRACE),
            None => self.hold_at,
        };
        let may_send_stops = self.may_send_stops();
        let hedge_delay = self.timeout(HEDGE_DELAY);
        for run in self.runs.values() {
            next = next.min(run.slow_at).min(run.stalled_at);
            if may_send_stops {
                next = next.min(run.stop_at);
            }
            if let Progress::Sent { since } = run.progress
                && self.suspected_until > since
            {
                next = next.min(since.plus(hedge_delay));
            }
        }
        for reservation in self.reserved.values() {
            next = next.min(reservation.expires_at);
        }
        if self.is_silent() && !self.runs.is_empty() {
            next = next.min(self.lease_ends_at);
        }
        next
    }

    /// Handles timeouts and appends the orders that are due and the runs that ended.
    pub fn poll(&mut self, now: Timestamp, orders: &mut Vec<Order>, ended: &mut Vec<Ended>) {
        self.expire_reservations(now);
        if let Phase::Fenced { .. } = self.phase {
            if self.lease_ends_at.is_past(now) {
                self.end_fenced_runs(ended);
            }
            return;
        }
        self.note_slow(now);
        self.stop_stalled(now);
        self.query_late_starts(now);
        self.send_stops(now, orders);
        if self.is_silent() && self.lease_ends_at.is_past(now) {
            self.expire_lease(now, ended);
        }
        if self.hold.is_some_and(|hold| hold.deadline.plus(ANSWER_GRACE).is_past(now)) {
            self.hold = None;
            self.handle_missed_hold(now);
        }
        if let Some(hold) =
            self.hold.filter(|hold| self.may_hedge(hold) && hold.hedge_at.is_past(now))
        {
            self.request_state(now);
            self.late_hold = Some(hold);
            self.suspected_until = now.plus(SUSPICION_PERIOD);
        }
        if self.hold.is_none() && self.hold_at.is_past(now) {
            if matches!(self.phase, Phase::Probing { claim_at } if claim_at.is_past(now)) {
                self.unanswered = 0;
                self.claim_again(1, now);
            }
            self.send_hold(now, orders);
        }
    }

    /// Returns the kinds of the runs that have become slow since the last call.
    pub fn take_slow(&mut self) -> Vec<id::Kind> {
        std::mem::take(&mut self.slow_kinds)
    }

    /// Returns the time at which this instance began to claim the target or took it over.
    pub fn owned_since(&self) -> Timestamp {
        self.owned_since
    }

    /// Begins a handover to another instance, if the target is held: no new runs are started.
    pub fn begin_handover(&mut self) {
        if self.phase == Phase::Held {
            self.phase = Phase::HandingOver;
        }
    }

    /// Cancels a handover that [`Self::begin_handover`] began.
    pub fn cancel_handover(&mut self) {
        if self.phase == Phase::HandingOver {
            self.phase = Phase::Held;
        }
    }

    /// Returns the runs to hand over and the sequence number of the last processed end. `None` if
    /// no handover has begun, or while a start, a stop, a reservation or an isolated run is pending.
    pub fn transfers(&self) -> Option<(Vec<Transfer>, u64)> {
        // The new owner doesn't know which run is isolated.
        let is_blocked = !self.reserved.is_empty() || self.has_isolated_run();
        if self.phase != Phase::HandingOver || is_blocked {
            return None;
        }
        let mut transfers = Vec::with_capacity(self.runs.len());
        for (key, run) in &self.runs {
            let Progress::Running { .. } = run.progress else { return None };
            transfers.push(Transfer {
                run: *key,
                home: run.home.clone()?,
                kind: run.kind.clone(),
                amount: run.amount,
                estimate: run.run_time.estimate,
            });
        }
        Some((transfers, self.acknowledged))
    }

    /// Ends all runs as unreachable. For a target that is no longer listed and does not answer.
    pub fn abandon(&mut self, ended: &mut Vec<Ended>) {
        self.end_all(End::Unreachable, ended);
    }

    /// Returns whether the target does not answer and its lease has expired.
    pub fn has_expired(&self) -> bool {
        self.is_silent() && self.lease_ends_at == Timestamp::MAX
    }

    fn apply_state(&mut self, hold: Hold, state: &State, now: Timestamp, ended: &mut Vec<Ended>) {
        self.unanswered = 0;
        self.is_replaced = false;
        if hold.wait_until.is_past(now) {
            self.round_trips.record(now.since(hold.wait_until));
        }
        self.set_clock(Some(state.clock_ms), now);
        self.lease_ends_at = self.lease_bound(now);
        if state.incarnation < self.entry.incarnation {
            // The list may be wrong, so the answer may stay the same for long.
            self.hold_at = now.plus(SILENT_HOLD_INTERVAL);
            return;
        }
        if state.incarnation > self.entry.incarnation {
            self.is_capacity_known = self.entry.incarnation == 0;
            self.begin_incarnation(state.incarnation, now);
            return;
        }
        let is_claim = self.phase == Phase::Claiming;
        if is_claim {
            self.phase = Phase::Held;
            self.claim_rounds = 1;
            if std::mem::take(&mut self.is_contested) {
                self.usable_from = now.plus(MAX_STATE_AGE);
            }
        }
        self.confirmed_at = hold.sent_at;
        self.delivered = self.delivered.max(hold.acknowledged);
        self.apply_ends(state, now, ended);
        self.apply_running(state, now);
        if state.ended.len() < MAX_LISTED_ENDS {
            self.apply_absences(hold, state, is_claim, now, ended);
        }
        let is_idle = self.runs.is_empty() && self.delivered >= self.acknowledged;
        self.hold_at = match is_idle {
            _ if !self.usable_from.is_past(now) => self.usable_from,
            true => now.plus(IDLE_HOLD_INTERVAL),
            false => now,
        };
    }

    fn apply_ends(&mut self, state: &State, now: Timestamp, ended: &mut Vec<Ended>) {
        for &(number, key, end) in &state.ended {
            if number <= self.acknowledged {
                continue;
            }
            self.acknowledged = number;
            let run = self.runs.get(&key);
            let is_stalled = run.is_some_and(|run| run.is_stalled);
            let ordered_at = run.and_then(|run| run.ordered_at).filter(|_| end == End::Done);
            let end = if is_stalled && end == End::Stopped { End::Stalled } else { end };
            self.end(key, end, ended);
            if let Some((ordered_at, ended)) = ordered_at.zip(ended.last_mut()) {
                ended.duration = Some(now.since(ordered_at));
            }
        }
    }

    fn apply_running(&mut self, state: &State, now: Timestamp) {
        for key in &state.running {
            match self.runs.get_mut(key) {
                Some(run) => {
                    if matches!(run.progress, Progress::Sent { .. } | Progress::Unanswered { .. }) {
                        run.begin(now);
                    }
                }
                // The amount of an unknown run is not known, so it takes the whole target.
                None => {
                    let run = Run {
                        amount: self.entry.capacity,
                        home: None,
                        kind: unknown_kind(),
                        generation: self.generation,
                        incarnation: self.entry.incarnation,
                        is_alone: true,
                        ordered_at: None,
                        progress: Progress::Stopping { accepted_at: None, may_begin: false },
                        run_time: RunTime::new(Millis::new(0)),
                        slow_at: Timestamp::MAX,
                        is_slow: false,
                        stalled_at: Timestamp::MAX,
                        is_stalled: false,
                        stop_at: now,
                        stop_overdue_at: Timestamp::MAX,
                    };
                    self.insert(*key, run);
                }
            }
        }
    }

    /// Updates the runs that are missing in the answer of the target.
    fn apply_absences(
        &mut self,
        hold: Hold,
        state: &State,
        is_claim: bool,
        now: Timestamp,
        ended: &mut Vec<Ended>,
    ) {
        let running: HashSet<&Key> = state.running.iter().collect();
        let mut gone = Vec::new();
        for (key, run) in &mut self.runs {
            if running.contains(key) {
                continue;
            }
            // The target rejects orders of older generations once it has accepted a newer one.
            if is_claim && run.generation < self.generation {
                let has_crashed = run.incarnation < self.entry.incarnation;
                gone.push((*key, if has_crashed { End::Crashed } else { End::Lost }));
                continue;
            }
            match run.progress {
                Progress::Running { since } if since < hold.sent_at => gone.push((*key, End::Lost)),
                Progress::Stopping { accepted_at: Some(at), .. } if at <= hold.sent_at => {
                    let end = if run.is_stalled { End::Stalled } else { End::Stopped };
                    gone.push((*key, end));
                }
                Progress::Unanswered { since } if since <= hold.sent_at => {
                    run.begin_stop(now);
                }
                _ => {}
            }
        }
        for (key, end) in gone {
            self.end(key, end, ended);
        }
    }

    fn has_overdue_stop(&self, now: Timestamp) -> bool {
        self.runs.values().any(|run| run.stop_overdue_at.is_past(now))
    }

    fn handle_missed_hold(&mut self, now: Timestamp) {
        self.unanswered += 1;
        self.round_trips.record_unanswered();
        self.late_hold = None;
        if self.phase == Phase::Claiming && self.runs.is_empty() {
            self.phase = Phase::Probing { claim_at: Timestamp::MAX };
        }
        self.suspected_until = now.plus(SUSPICION_PERIOD);
        let interval =
            if self.unanswered > QUICK_HOLDS { SILENT_HOLD_INTERVAL } else { Millis::new(0) };
        self.hold_at = now.plus(interval);
    }

    fn end_all(&mut self, end: End, ended: &mut Vec<Ended>) {
        let keys: Vec<Key> = self.runs.keys().copied().collect();
        for key in keys {
            self.end(key, end, ended);
        }
    }

    fn note_slow(&mut self, now: Timestamp) {
        for run in self.runs.values_mut().filter(|run| run.slow_at.is_past(now)) {
            run.slow_at = Timestamp::MAX;
            run.is_slow = matches!(run.progress, Progress::Running { .. });
            if run.is_slow {
                self.slow_kinds.push(run.kind.clone());
            }
        }
    }

    fn stop_stalled(&mut self, now: Timestamp) {
        for run in self.runs.values_mut() {
            if run.stalled_at.is_past(now) {
                run.stalled_at = Timestamp::MAX;
                run.is_stalled = true;
                run.begin_stop(now);
            }
        }
    }

    /// Hedges starts that a suspected target has not answered yet: a hold shows whether they run.
    fn query_late_starts(&mut self, now: Timestamp) {
        let mut has_late_start = false;
        let hedge_delay = self.timeout(HEDGE_DELAY);
        for run in self.runs.values_mut() {
            if let Progress::Sent { since } = run.progress
                && self.suspected_until > since
                && since.plus(hedge_delay).is_past(now)
            {
                run.progress = Progress::Unanswered { since: now };
                has_late_start = true;
            }
        }
        if has_late_start {
            self.request_state(now);
        }
    }

    fn may_hedge(&self, hold: &Hold) -> bool {
        let may_wait = matches!(self.phase, Phase::Held | Phase::HandingOver);
        may_wait && self.late_hold.is_none() && self.suspected_until > hold.sent_at
    }

    /// Returns whether stops can have an effect. The lease of a target that doesn't answer isn't
    /// renewed, so its runs end without them.
    fn may_send_stops(&self) -> bool {
        matches!(self.phase, Phase::Held | Phase::HandingOver) && !self.is_silent()
    }

    fn send_stops(&mut self, now: Timestamp, orders: &mut Vec<Order>) {
        if !self.may_send_stops() {
            return;
        }
        let mut due = Vec::new();
        let (interval, timeout) = (self.timeout(STOP_TIMEOUT), self.timeout(ORDER_TIMEOUT));
        for (key, run) in &mut self.runs {
            if run.stop_at.is_past(now) {
                run.stop_at = now.plus(interval);
                due.push(*key);
            }
        }
        for run in due {
            orders.push(self.order(Action::Stop { run, deadline: now.plus(timeout) }));
        }
    }

    fn send_hold(&mut self, now: Timestamp, orders: &mut Vec<Order>) {
        self.last_hold_number += 1;
        let is_silent = self.is_silent();
        let may_wait = matches!(self.phase, Phase::Held | Phase::HandingOver);
        let is_immediate = std::mem::take(&mut self.is_immediate);
        let is_waiting = may_wait && !self.runs.is_empty() && !is_silent && !is_immediate;
        let is_suspected = !self.suspected_until.is_past(now);
        let (longest, timeout) = match is_suspected {
            true => (SUSPECT_HOLD_WAIT, SUSPECT_HOLD_TIMEOUT),
            false => (HOLD_WAIT, HOLD_TIMEOUT),
        };
        let wait = if is_waiting { longest.min(self.longest_wait()) } else { Millis::new(0) };
        // If this instance or the network is overloaded, more holds would make it worse.
        let doublings = self.unanswered.saturating_sub(1).min(MAX_BACKOFF_DOUBLINGS);
        let timeout = self.timeout(timeout).max(Millis::new(timeout.get() << doublings));
        let wait_until = now.plus(wait);
        let deadline = wait_until.plus(timeout);
        let hold = Hold {
            number: self.last_hold_number,
            sent_at: now,
            wait_until,
            acknowledged: self.acknowledged,
            hedge_at: wait_until.plus(self.timeout(HEDGE_DELAY)),
            deadline,
        };
        self.hold = Some(hold);
        // A hold may renew the lease although its answer is lost. Holds to a silent target renew
        // nothing, so that its runs end if this instance is the one cut off.
        let may_renew = !is_silent && !self.has_overdue_stop(now);
        let lease_until_ms = if may_renew { self.lease_until(now) } else { None };
        if lease_until_ms.is_some() {
            self.lease_ends_at = self.lease_ends_at.max(self.lease_bound(now));
        }
        let mut order = self.order(Action::Hold {
            number: hold.number,
            lease_until_ms,
            acknowledged: hold.acknowledged,
            wait,
            deadline,
        });
        if self.is_probing() {
            order.generation = Generation::default();
        }
        orders.push(order);
    }

    /// Returns the time without an answer after which an order counts as unanswered, at least `floor`.
    fn timeout(&self, floor: Millis) -> Millis {
        self.round_trips.timeout(floor, MAX_TIMEOUT)
    }

    /// Returns the longest wait of a hold with which two answered holds in a row leave no gap in the
    /// confirmation of the ownership.
    fn longest_wait(&self) -> Millis {
        let round_trip = self.round_trips.mean().get() / 1_000;
        Millis::new((MAX_STATE_AGE.get() / 2).saturating_sub(round_trip)).max(SUSPECT_HOLD_WAIT)
    }

    /// Abandons the hold in flight and makes one due that is answered at once.
    fn request_state(&mut self, now: Timestamp) {
        self.is_immediate = true;
        self.hold = None;
        self.late_hold = None;
        self.hold_at = now;
    }

    fn expire_reservations(&mut self, now: Timestamp) {
        let expired: Vec<u64> = self
            .reserved
            .iter()
            .filter(|(_, reservation)| reservation.expires_at.is_past(now))
            .map(|(number, _)| *number)
            .collect();
        for number in expired {
            self.release(number);
        }
    }

    fn set_clock(&mut self, clock_ms: Option<u64>, now: Timestamp) {
        if let Some(millis) = clock_ms {
            self.clock = Some(Clock { millis, at: now });
        }
    }

    /// Returns the end of a lease that begins now, on the clock of the target. The margin allows
    /// for a slower local clock; the target shortens a lease that is too long.
    fn lease_until(&self, now: Timestamp) -> Option<u64> {
        let clock = self.clock?;
        let age = now.since(clock.at).get() / 1_000;
        let margin = age * CLOCK_MARGIN_PERMILLE / 1_000;
        Some(clock.millis.saturating_add(age + margin + LEASE.get()))
    }

    fn lease_bound(&self, now: Timestamp) -> Timestamp {
        let age = self.clock.map_or(0, |clock| now.since(clock.at).get() / 1_000);
        now.plus(LEASE_BOUND).plus(Millis::new(age * CLOCK_MARGIN_PERMILLE / 1_000))
    }

    fn insert(&mut self, key: Key, mut run: Run) {
        self.used = self.used.plus(run.amount);
        for other in self.runs.values_mut() {
            other.is_alone = false;
            run.is_alone = false;
        }
        if let Some(replaced) = self.runs.insert(key, run) {
            self.used = self.used.minus(replaced.amount);
        }
    }

    fn end(&mut self, key: Key, end: End, ended: &mut Vec<Ended>) {
        if let Some(run) = self.runs.remove(&key) {
            self.used = self.used.minus(run.amount);
            ended.push(Ended {
                run: key,
                target: Some(self.entry.id.clone()),
                home: run.home,
                end,
                kind: run.kind,
                incarnation: run.incarnation,
                was_alone: run.is_alone,
                was_slow: run.is_slow,
                estimate: run.run_time.estimate,
                expected: run.run_time.expected,
                duration: None,
            });
        }
    }

    fn order(&self, action: Action) -> Order {
        Order {
            target: self.entry.id.clone(),
            address: self.entry.address,
            generation: self.generation,
            action,
        }
    }
}

/// Kind of an unknown run that was found on a claimed target.
fn unknown_kind() -> id::Kind {
    "unknown".parse().unwrap_or_else(|_| unreachable!("a constant identifier is valid"))
}
