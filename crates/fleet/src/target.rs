//! One target as its owner sees it: the right to start runs there, what runs and what room is left.
//!
//! A target starts whatever it is told, so its owner keeps the account. A run takes its amount from
//! the moment its start is sent until the target has listed its end, or until it is certain that it
//! will not start. Everything on a target lives on a lease that the owner renews by holds; a hold
//! also returns the runs and the ends.
//!
//! Each owner sends its orders with a [`Generation`]. A target ignores orders with a lower generation
//! than the highest that it has seen, so the first hold of a new generation makes all older orders
//! harmless, those still on their way included.

use crate::resource::Amount;
use crate::run::{End, Key};
use std::collections::{BTreeMap, HashSet};
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;
use verbenapass::id;
use verbenapass::time::Timestamp;
use verbenapass::unit::Millis;

/// Lease that is asked for: the longest that the described targets grant. A target shortens what is
/// longer than its own limit.
const LEASE: Millis = Millis::new(1_000);
/// Longest life of a lease on the clock of the owner: the lease, a target clock that runs 2 % slow,
/// and the way of the order.
const LEASE_BOUND: Millis = Millis::new(1_100);
/// Longest wait of a hold for an end. With the time-out, an end whose answer was lost is known after
/// a fifth of the objective of a job of a second, and a lease has room for two lost holds.
const HOLD_WAIT: Millis = Millis::new(150);
/// Time to the answer of a hold beyond its wait: many round trips between data centres, and less
/// than a retransmission of TCP (200 ms), since a new connection is faster.
const HOLD_TIMEOUT: Millis = Millis::new(100);
/// Wait of holds of a target that has lately left one unanswered. Bounds the delay of an end by
/// about the slack of the shortest jobs (60 ms).
const DOUBTED_WAIT: Millis = Millis::new(40);
/// Time to the answer of such a hold beyond its wait.
const DOUBTED_TIMEOUT: Millis = Millis::new(40);
/// Time beyond its wait after which an unanswered order to a doubted target is followed by a hold that
/// is answered at once: many round trips between data centres (at most 3 ms).
const HEDGE_DELAY: Millis = Millis::new(20);
/// The time-out doubles with each unanswered hold after the first, so many times at most.
const MAX_BACKOFF: u32 = 3;
/// Time for which a target is doubted after an unanswered hold or start: the shortest described disturbance.
const DOUBT: Millis = Millis::new(3_000);
/// Time after the deadline of a hold in which the process around must have told its result.
const ANSWER_SLACK: Millis = Millis::new(100);
/// Time between holds of a target without runs: keeps the lease of the owner's fence visible and
/// finds a crashed target before a start is sent there.
const IDLE_HOLD_INTERVAL: Millis = Millis::new(1_000);
/// Time between holds of a target that does not answer.
const SILENT_HOLD_INTERVAL: Millis = Millis::new(300);
/// Time for which an answer tells who owns a target and which life it is in. A waiting hold that is
/// answered is followed by one that is answered within this time: two waits and a slow round trip.
const STATE_LIFE: Millis = Millis::new(350);
/// Time to the answer of a stop, after which it is repeated.
const STOP_TIMEOUT: Millis = Millis::new(100);
/// Time from which the lease is not renewed until a stop is accepted, so that a run ends within this
/// time and a lease (1.27 s on a slow clock) of its stop, before a client without an answer comes
/// back after 1.3 s.
const STOP_OVERDUE: Millis = Millis::new(250);
/// Time from the first answer of a target that could not be claimed to the next claim. The cut that
/// kept it from answering may have kept its owner from being heard; links are up again by then.
const HEAL_PAUSE: Millis = Millis::new(1_000);
/// Time for which a target is left alone after another owner has taken it.
const FENCED_PAUSE: Millis = Millis::new(3_000);
/// A run is stalled after this many times its estimate and [`STALL_BASE`]: declared times of the
/// described workloads are up to 1.6 times too low and spread by 15 %.
const STALL_FACTOR: u64 = 4;
/// Time that a stalled run has in any case.
const STALL_BASE: Millis = Millis::new(300);
/// Unanswered holds after which a target gets no new runs.
const SILENT_HOLDS: u32 = 1;
/// Unanswered holds after which the next ones are sent at [`SILENT_HOLD_INTERVAL`].
const QUICK_HOLDS: u32 = 4;
/// Most ends in one answer of a hold; a full answer says nothing about runs that it does not name.
const MAX_LISTED_ENDS: usize = 500;
/// Low bits of a generation that hold the number of the process.
const PROCESS_BITS: u32 = 20;
/// Faster local clock that is assumed when the clock of a target is extrapolated, in thousandths.
const CLOCK_MARGIN_PERMILLE: u64 = 30;

/// The rank of an owner of a target. Unique: the low bits name the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Generation(u64);

impl Generation {
    /// Wraps a number.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the number.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns a generation of a process that lies above this one by `rounds` and is not below the
    /// time, so that a fleet that was restarted as a whole exceeds its former generations.
    pub fn above(self, rounds: u64, process: u32, now: Timestamp) -> Self {
        let seconds = now.as_micros() / 1_000_000;
        let round = (self.0 >> PROCESS_BITS).saturating_add(rounds).max(seconds);
        Self((round << PROCESS_BITS) | u64::from(process) & ((1 << PROCESS_BITS) - 1))
    }
}

impl fmt::Display for Generation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for Generation {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// What is known of a target from the instance list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The target.
    pub id: id::Target,
    /// Where it takes orders.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: id::DataCentre,
    /// The service whose tasks it runs.
    pub service: id::Service,
    /// What it has.
    pub capacity: Amount,
    /// Start of its present life, in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Whether it takes no new tasks.
    pub is_leaving: bool,
}

/// One order to a target.
#[derive(Clone, Debug)]
pub struct Order {
    /// The target.
    pub target: id::Target,
    /// Where it takes orders.
    pub address: SocketAddr,
    /// The generation of the owner.
    pub generation: Generation,
    /// What to do.
    pub action: Action,
}

/// What a target is told to do.
#[derive(Clone, Debug)]
pub enum Action {
    /// Start a run.
    Start {
        /// The run.
        run: Key,
        /// What the task is, passed on as it came.
        spec: Arc<str>,
        /// End of the lease on the clock of the target, in milliseconds.
        lease_until_ms: u64,
        /// Time from which the order is no longer sent.
        send_before: Timestamp,
    },
    /// Stop a run, or keep it from starting.
    Stop {
        /// The run.
        run: Key,
    },
    /// Renew the lease and list runs and ends.
    Hold {
        /// Names the hold in its answer.
        number: u64,
        /// End of the lease on the clock of the target, if that clock is known.
        lease_until_ms: Option<u64>,
        /// Ends up to this number may be forgotten.
        acknowledged: u64,
        /// How long the target may wait for an end.
        wait: Millis,
        /// When the answer is given up.
        deadline: Timestamp,
    },
}

/// Answer to a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartAnswer {
    /// The run is there.
    Accepted,
    /// Another owner has a higher generation.
    Fenced,
    /// A run with this number or a higher one was there before.
    Outdated,
    /// It was not started for another reason.
    Refused,
    /// The order did not leave this process.
    NotSent,
    /// It is not known whether the order was or will be carried out.
    Unknown,
}

/// Answer to a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopAnswer {
    /// The run stops, or will not start.
    Accepted,
    /// Another owner has a higher generation.
    Fenced,
    /// No answer that settles anything.
    Unknown,
}

/// Answer to a hold.
#[derive(Clone, Debug)]
pub enum HoldAnswer {
    /// The state of the target.
    State(State),
    /// Another owner has a higher generation.
    Fenced,
    /// No answer, or one that cannot be used.
    Unknown,
}

/// What a target says of itself in the answer to a hold.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// Start of its present life, in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Its clock, in milliseconds.
    pub clock_ms: u64,
    /// What runs.
    pub running: Vec<Key>,
    /// Ends with their numbers.
    pub ended: Vec<(u64, Key, End)>,
}

/// A run that ended, for the instance that owns its job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ended {
    /// The run.
    pub run: Key,
    /// Owner of the job; none for runs that were found at a takeover.
    pub home: Option<id::Instance>,
    /// How it ended.
    pub end: End,
    /// Class of the task.
    pub kind: id::Kind,
}

/// Whether orders may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The generation was not confirmed by the target yet.
    Claiming,
    /// A claim was not answered. The target is asked for signs of life that change nothing there.
    Probing {
        /// Time of the next claim, once the target has answered.
        claim_at: Timestamp,
    },
    /// Runs may be started.
    Held,
    /// The target is being given to another instance: no new runs.
    HandingOver,
    /// Another owner has a higher generation.
    Fenced {
        /// Time from which a new claim may be made.
        until: Timestamp,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    /// The start is on its way.
    Sent { since: Timestamp },
    /// The start was not answered. The next list that was asked for after `since` tells more.
    Unsettled { since: Timestamp },
    /// The target has it.
    Running { since: Timestamp },
    /// A stop is on its way, or was accepted at `accepted_at`.
    Stopping { accepted_at: Option<Timestamp> },
}

/// A run and the room that it takes.
#[derive(Clone, Debug)]
struct Run {
    amount: Amount,
    home: Option<id::Instance>,
    kind: id::Kind,
    generation: Generation,
    progress: Progress,
    estimate: Millis,
    stalled_at: Timestamp,
    is_stalled: bool,
    stop_at: Timestamp,
    /// From when the lease is not renewed while the stop is not accepted.
    stop_overdue_at: Timestamp,
}

impl Run {
    fn begin_stop(&mut self, now: Timestamp) {
        self.progress = Progress::Stopping { accepted_at: None };
        self.stop_at = now;
        self.stop_overdue_at = now.plus(STOP_OVERDUE);
    }
}

/// What is needed to start a run.
#[derive(Clone, Debug)]
pub struct Request {
    /// The run.
    pub run: Key,
    /// Owner of the job.
    pub home: id::Instance,
    /// Class of the task.
    pub kind: id::Kind,
    /// Resources that it takes.
    pub amount: Amount,
    /// Expected duration.
    pub estimate: Millis,
    /// What the task is.
    pub spec: Arc<str>,
    /// Time from which the start is no longer sent.
    pub send_before: Timestamp,
}

/// A run that goes over to another owner with its target.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Transfer {
    /// The run.
    pub run: Key,
    /// Owner of the job.
    pub home: id::Instance,
    /// Class of the task.
    pub kind: id::Kind,
    /// Resources that it takes.
    pub amount: Amount,
    /// Expected duration.
    pub estimate: Millis,
}

#[derive(Clone, Copy, Debug)]
struct Hold {
    number: u64,
    sent_at: Timestamp,
    acknowledged: u64,
    /// From when an answer is late.
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

/// One owned target.
#[derive(Debug)]
pub struct Target {
    entry: Entry,
    generation: Generation,
    process: u32,
    phase: Phase,
    runs: BTreeMap<Key, Run>,
    reserved: BTreeMap<u64, Reservation>,
    used: Amount,
    clock: Option<Clock>,
    acknowledged: u64,
    confirmed: u64,
    hold: Option<Hold>,
    /// A late hold that was followed by `hold`; either answer will do.
    late_hold: Option<Hold>,
    holds: u64,
    owned_since: Timestamp,
    hold_at: Timestamp,
    /// Whether the next hold is answered at once, since the state that it asks for settles a run.
    is_look: bool,
    /// When the last answered hold was sent.
    confirmed_at: Timestamp,
    /// From when an answer excludes that another owner starts runs without having noticed the
    /// present life of the target.
    settled_at: Timestamp,
    unanswered: u32,
    doubted_until: Timestamp,
    lease_ends_at: Timestamp,
    claim_rounds: u64,
}

impl Target {
    /// Makes the state of a target that this process claims above `seen`, the highest generation
    /// known of it.
    pub fn new(entry: Entry, seen: Generation, process: u32, now: Timestamp) -> Self {
        let generation = seen.above(1, process, now);
        Self {
            entry,
            generation,
            process,
            phase: Phase::Claiming,
            runs: BTreeMap::new(),
            reserved: BTreeMap::new(),
            used: Amount::default(),
            clock: None,
            acknowledged: 0,
            confirmed: 0,
            hold: None,
            late_hold: None,
            // Answers to holds of an earlier ownership by this process must not be taken for new ones.
            holds: generation.get(),
            owned_since: now,
            hold_at: now,
            is_look: false,
            confirmed_at: Timestamp::default(),
            settled_at: now,
            unanswered: 0,
            doubted_until: Timestamp::default(),
            lease_ends_at: now,
            claim_rounds: 1,
        }
    }

    /// Takes over the runs of the former owner, which has listed ends up to `acknowledged`.
    pub fn with_transfers(
        mut self,
        transfers: &[Transfer],
        acknowledged: u64,
        now: Timestamp,
    ) -> Self {
        self.acknowledged = acknowledged;
        self.lease_ends_at = now.plus(LEASE_BOUND);
        for transfer in transfers {
            let run = Run {
                amount: transfer.amount,
                home: Some(transfer.home.clone()),
                kind: transfer.kind.clone(),
                generation: self.generation,
                progress: Progress::Running { since: now },
                estimate: transfer.estimate,
                stalled_at: stalled_at(transfer.estimate, now),
                is_stalled: false,
                stop_at: Timestamp::MAX,
                stop_overdue_at: Timestamp::MAX,
            };
            self.insert(transfer.run, run);
        }
        self
    }

    /// Takes over the runs of this process's own former ownership. They are to be stopped: their
    /// homes were told, or will be, that they are lost.
    pub fn with_leftovers(mut self, former: &Self, now: Timestamp) -> Self {
        for (key, run) in &former.runs {
            if !self.runs.contains_key(key) {
                let progress = Progress::Stopping { accepted_at: None };
                self.insert(
                    *key,
                    Run { progress, stop_at: now, stop_overdue_at: now, ..run.clone() },
                );
            }
        }
        self
    }

    /// Tells whether another instance may hold the target rightly.
    pub fn is_disputed(&self) -> bool {
        !matches!(self.phase, Phase::Held | Phase::HandingOver)
    }

    /// Returns what the instance list says.
    pub fn entry(&self) -> &Entry {
        &self.entry
    }

    /// Returns the generation of the orders.
    pub fn generation(&self) -> Generation {
        self.generation
    }

    /// Returns whether orders may be sent.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns the number of runs that take room.
    pub fn len(&self) -> usize {
        self.runs.len()
    }

    /// Tells whether no run takes room.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// Tells whether a run of the task takes room.
    pub fn has_task(&self, task: crate::run::Task) -> bool {
        let first = Key { task, number: crate::run::Number::new(0) };
        self.runs.range(first..).next().is_some_and(|(key, _)| key.task == task)
    }

    /// Tells whether the target answers.
    pub fn is_silent(&self) -> bool {
        self.unanswered >= SILENT_HOLDS
    }

    /// Returns the room for new runs.
    pub fn room(&self, now: Timestamp) -> Amount {
        if self.is_confirmed(now) { self.unconfirmed_room(now) } else { Amount::default() }
    }

    /// Returns the room that there is if a hold confirms that the target is still owned.
    pub fn unconfirmed_room(&self, now: Timestamp) -> Amount {
        let is_held = self.phase == Phase::Held && self.settled_at.is_past(now);
        // A start renews the lease, from which a run whose stop is overdue must not profit.
        if !is_held || self.entry.is_leaving || self.is_silent() || self.has_overdue_stop(now) {
            return Amount::default();
        }
        self.entry.capacity.minus(self.used)
    }

    /// Asks whether the target is still owned, if that is not known.
    pub fn confirm_ownership(&mut self, now: Timestamp) {
        if !self.is_confirmed(now) && self.hold.is_none() {
            self.hold_at = now;
        }
    }

    /// Tells whether runs may be started by what the last answer said. Another owner may have
    /// claimed the target since, whose generation a target that is born again does not know.
    fn is_confirmed(&self, now: Timestamp) -> bool {
        self.confirmed_at >= self.settled_at && !self.confirmed_at.plus(STATE_LIFE).is_past(now)
    }

    /// Takes news of the instance list. Returns whether the target has begun a new life.
    pub fn update(&mut self, entry: Entry, now: Timestamp) -> bool {
        // The list lags behind what holds tell.
        let known = self.entry.incarnation;
        let has_restarted = entry.incarnation > known;
        self.entry = entry;
        if has_restarted {
            self.begin_incarnation(self.entry.incarnation, now);
        } else {
            self.entry.incarnation = known;
        }
        has_restarted
    }

    /// Marks the target as leaving.
    pub fn set_leaving(&mut self) {
        self.entry.is_leaving = true;
    }

    /// Reserves room until `expires_at`.
    pub fn reserve(&mut self, number: u64, amount: Amount, expires_at: Timestamp) {
        self.used = self.used.plus(amount);
        self.reserved.insert(number, Reservation { amount, expires_at });
        if self.hold.is_none() && self.confirmed_at.plus(STATE_LIFE) < expires_at {
            self.hold_at = Timestamp::default();
        }
    }

    /// Gives a reservation back. Returns whether it was still there.
    pub fn release(&mut self, number: u64) -> bool {
        match self.reserved.remove(&number) {
            Some(reservation) => {
                self.used = self.used.minus(reservation.amount);
                true
            }
            None => false,
        }
    }

    /// Starts a run if there is room for it.
    pub fn start(&mut self, request: Request, now: Timestamp, orders: &mut Vec<Order>) -> bool {
        if !request.amount.fits(self.room(now)) || self.runs.contains_key(&request.run) {
            return false;
        }
        let Some(lease_until_ms) = self.lease_until(now) else { return false };
        self.lease_ends_at = self.lease_ends_at.max(self.lease_bound(now));
        let run = Run {
            amount: request.amount,
            home: Some(request.home),
            kind: request.kind,
            generation: self.generation,
            progress: Progress::Sent { since: now },
            estimate: request.estimate,
            stalled_at: Timestamp::MAX,
            is_stalled: false,
            stop_at: Timestamp::MAX,
            stop_overdue_at: Timestamp::MAX,
        };
        self.insert(request.run, run);
        orders.push(self.order(Action::Start {
            run: request.run,
            spec: request.spec,
            lease_until_ms,
            send_before: request.send_before,
        }));
        if self.hold.is_none() {
            self.hold_at = now;
        }
        true
    }

    /// Takes the answer to a start.
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
        let end = match answer {
            StartAnswer::Accepted => {
                if matches!(run.progress, Progress::Sent { .. } | Progress::Unsettled { .. }) {
                    run.progress = Progress::Running { since: now };
                    run.stalled_at = stalled_at(run.estimate, now);
                }
                return;
            }
            StartAnswer::Unknown => {
                if matches!(run.progress, Progress::Sent { .. }) {
                    run.progress = Progress::Unsettled { since: now };
                    self.doubted_until = now.plus(DOUBT);
                    self.look_now(now);
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

    /// Stops a run.
    pub fn stop(&mut self, key: Key, now: Timestamp) {
        let Some(run) = self.runs.get_mut(&key) else { return };
        if !matches!(run.progress, Progress::Stopping { .. }) {
            run.begin_stop(now);
        }
    }

    /// Stops the runs of all tasks for which `is_chosen` holds.
    pub fn stop_all(
        &mut self,
        now: Timestamp,
        is_chosen: impl Fn(&Key, Option<&id::Instance>) -> bool,
    ) {
        let chosen: Vec<Key> = self
            .runs
            .iter()
            .filter(|(key, run)| is_chosen(key, run.home.as_ref()))
            .map(|(key, _)| *key)
            .collect();
        for key in chosen {
            self.stop(key, now);
        }
    }

    /// Takes the answer to a stop.
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
                run.progress = Progress::Stopping { accepted_at: Some(now) };
                run.stop_at = Timestamp::MAX;
                run.stop_overdue_at = Timestamp::MAX;
                self.look_now(now);
            }
            StopAnswer::Fenced => self.fence(now),
            StopAnswer::Unknown => {}
        }
    }

    /// Tells whether nothing was ever held here: another instance may own the target.
    pub fn is_probing(&self) -> bool {
        matches!(self.phase, Phase::Probing { .. })
    }

    /// Takes the answer to a hold.
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
        if let Phase::Probing { claim_at } = self.phase {
            let is_answered = !matches!(answer, HoldAnswer::Unknown);
            let claim_at = if is_answered { claim_at.min(now.plus(HEAL_PAUSE)) } else { claim_at };
            self.phase = Phase::Probing { claim_at };
            self.hold_at = claim_at.min(now.plus(SILENT_HOLD_INTERVAL));
            return;
        }
        match answer {
            HoldAnswer::State(state) => self.take_state(hold, &state, now, ended),
            HoldAnswer::Fenced => self.fence(now),
            HoldAnswer::Unknown => self.miss_hold(now),
        }
    }

    /// Returns the next time at which [`Self::poll`] has something to do.
    pub fn next_deadline(&self) -> Timestamp {
        let mut next = match (self.phase, self.hold) {
            (Phase::Fenced { .. }, _) => self.lease_ends_at,
            (_, Some(hold)) if self.may_hedge(&hold) => hold.hedge_at,
            (_, Some(hold)) => hold.deadline.plus(ANSWER_SLACK),
            (_, None) => self.hold_at,
        };
        for run in self.runs.values() {
            next = next.min(run.stop_at).min(run.stalled_at);
            if let Progress::Sent { since } = run.progress
                && self.doubted_until > since
            {
                next = next.min(since.plus(HEDGE_DELAY));
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

    /// Sends what is due.
    pub fn poll(&mut self, now: Timestamp, orders: &mut Vec<Order>, ended: &mut Vec<Ended>) {
        self.expire_reservations(now);
        if let Phase::Fenced { .. } = self.phase {
            if self.lease_ends_at.is_past(now) {
                self.settle_fenced(ended);
            }
            return;
        }
        self.stop_stalled(now);
        self.look_for_starts(now);
        self.send_stops(now, orders);
        if self.is_silent() && self.lease_ends_at.is_past(now) {
            self.lapse(now, ended);
        }
        if self.hold.is_some_and(|hold| hold.deadline.plus(ANSWER_SLACK).is_past(now)) {
            self.hold = None;
            self.miss_hold(now);
        }
        if let Some(hold) =
            self.hold.filter(|hold| self.may_hedge(hold) && hold.hedge_at.is_past(now))
        {
            self.look_now(now);
            self.late_hold = Some(hold);
            self.doubted_until = now.plus(DOUBT);
        }
        if self.hold.is_none() && self.hold_at.is_past(now) {
            if matches!(self.phase, Phase::Probing { claim_at } if claim_at.is_past(now)) {
                self.unanswered = 0;
                self.claim_again(1, now);
            }
            self.send_hold(now, orders);
        }
    }

    /// Returns since when this instance owns the target.
    pub fn owned_since(&self) -> Timestamp {
        self.owned_since
    }

    /// Begins to give the target away: no new runs are started.
    pub fn begin_handover(&mut self) {
        if self.phase == Phase::Held {
            self.phase = Phase::HandingOver;
        }
    }

    /// Keeps the target after all.
    pub fn cancel_handover(&mut self) {
        if self.phase == Phase::HandingOver {
            self.phase = Phase::Held;
        }
    }

    /// Returns the runs to hand over, or none while a start or a stop is not settled.
    pub fn transfers(&self) -> Option<(Vec<Transfer>, u64)> {
        if self.phase != Phase::HandingOver || !self.reserved.is_empty() {
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
                estimate: run.estimate,
            });
        }
        Some((transfers, self.acknowledged))
    }

    /// Ends all runs: the target is no longer listed and does not answer.
    pub fn abandon(&mut self, ended: &mut Vec<Ended>) {
        let keys: Vec<Key> = self.runs.keys().copied().collect();
        for key in keys {
            self.end(key, End::Lost, ended);
        }
    }

    /// Tells whether the target does not answer and everything on it has lapsed.
    pub fn has_expired(&self) -> bool {
        self.is_silent() && self.lease_ends_at == Timestamp::MAX
    }

    fn take_state(&mut self, hold: Hold, state: &State, now: Timestamp, ended: &mut Vec<Ended>) {
        self.unanswered = 0;
        self.set_clock(Some(state.clock_ms), now);
        self.lease_ends_at = self.lease_bound(now);
        if state.incarnation < self.entry.incarnation {
            // Said before the present life began.
            self.hold_at = now;
            return;
        }
        if state.incarnation > self.entry.incarnation {
            self.begin_incarnation(state.incarnation, now);
            return;
        }
        let is_claim = self.phase == Phase::Claiming;
        if is_claim {
            self.phase = Phase::Held;
            self.claim_rounds = 1;
        }
        self.confirmed_at = hold.sent_at;
        self.confirmed = self.confirmed.max(hold.acknowledged);
        self.take_ends(state, ended);
        self.take_running(state, now);
        if state.ended.len() < MAX_LISTED_ENDS {
            self.take_absences(hold, state, is_claim, now, ended);
        }
        let is_idle = self.runs.is_empty() && self.confirmed >= self.acknowledged;
        self.hold_at = match is_idle {
            _ if !self.settled_at.is_past(now) => self.settled_at,
            true => now.plus(IDLE_HOLD_INTERVAL),
            false => now,
        };
    }

    fn take_ends(&mut self, state: &State, ended: &mut Vec<Ended>) {
        for &(number, key, end) in &state.ended {
            if number <= self.acknowledged {
                continue;
            }
            self.acknowledged = number;
            let is_stalled = self.runs.get(&key).is_some_and(|run| run.is_stalled);
            let end = if is_stalled && end == End::Stopped { End::Stalled } else { end };
            self.end(key, end, ended);
        }
    }

    fn take_running(&mut self, state: &State, now: Timestamp) {
        for key in &state.running {
            match self.runs.get_mut(key) {
                Some(run) => {
                    if matches!(run.progress, Progress::Sent { .. } | Progress::Unsettled { .. }) {
                        run.progress = Progress::Running { since: now };
                        run.stalled_at = stalled_at(run.estimate, now);
                    }
                }
                // Its size is not known, so nothing else fits until it has ended.
                None => {
                    let run = Run {
                        amount: self.entry.capacity,
                        home: None,
                        kind: unknown_kind(),
                        generation: self.generation,
                        progress: Progress::Stopping { accepted_at: None },
                        estimate: Millis::new(0),
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

    /// Settles runs that the target does not name.
    fn take_absences(
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
            // Orders of older generations have no effect once a newer one was confirmed.
            if is_claim && run.generation < self.generation {
                gone.push((*key, End::Lost));
                continue;
            }
            match run.progress {
                Progress::Running { since } if since < hold.sent_at => gone.push((*key, End::Lost)),
                Progress::Stopping { accepted_at: Some(at) } if at <= hold.sent_at => {
                    let end = if run.is_stalled { End::Stalled } else { End::Stopped };
                    gone.push((*key, end));
                }
                Progress::Unsettled { since } if since <= hold.sent_at => {
                    run.begin_stop(now);
                }
                _ => {}
            }
        }
        for (key, end) in gone {
            self.end(key, end, ended);
        }
    }

    /// Prepares a claim of a new life: orders to the former one must not take effect there.
    fn begin_incarnation(&mut self, incarnation: u64, now: Timestamp) {
        self.entry.incarnation = incarnation;
        self.acknowledged = 0;
        self.confirmed = 0;
        self.clock = None;
        self.settled_at = now.plus(STATE_LIFE);
        self.claim_again(1, now);
    }

    fn claim_again(&mut self, rounds: u64, now: Timestamp) {
        self.generation = self.generation.above(rounds, self.process, now);
        self.phase = Phase::Claiming;
        self.hold = None;
        self.late_hold = None;
        self.hold_at = now;
    }

    fn has_overdue_stop(&self, now: Timestamp) -> bool {
        self.runs.values().any(|run| run.stop_overdue_at.is_past(now))
    }

    fn miss_hold(&mut self, now: Timestamp) {
        self.unanswered += 1;
        self.late_hold = None;
        if self.phase == Phase::Claiming && self.runs.is_empty() {
            self.phase = Phase::Probing { claim_at: Timestamp::MAX };
        }
        self.doubted_until = now.plus(DOUBT);
        let interval =
            if self.unanswered > QUICK_HOLDS { SILENT_HOLD_INTERVAL } else { Millis::new(0) };
        self.hold_at = now.plus(interval);
    }

    /// Ends the runs of a silent target whose lease has lapsed, but for those that may yet start.
    fn lapse(&mut self, now: Timestamp, ended: &mut Vec<Ended>) {
        let lapsed: Vec<Key> = self
            .runs
            .iter()
            .filter(|(_, run)| matches!(run.progress, Progress::Running { .. }))
            .map(|(key, _)| *key)
            .collect();
        for key in &lapsed {
            self.end(*key, End::Lost, ended);
        }
        if self.phase == Phase::Held {
            self.claim_again(1, now);
            self.hold_at = now.plus(SILENT_HOLD_INTERVAL);
        }
        self.lease_ends_at = Timestamp::MAX;
    }

    /// Another owner has a higher generation. A claim is repeated with a higher one, since the
    /// generations of a fleet that was restarted as a whole are not known.
    fn fence(&mut self, now: Timestamp) {
        if self.phase == Phase::Claiming && self.claim_rounds < 1 << 12 {
            self.claim_rounds *= 8;
            self.claim_again(self.claim_rounds, now);
            return;
        }
        if matches!(self.phase, Phase::Fenced { .. }) {
            return;
        }
        self.phase = Phase::Fenced { until: now.plus(FENCED_PAUSE) };
        self.hold = None;
        // The new owner stops what it does not know; the lease bounds how long that can take.
        self.lease_ends_at = now.plus(LEASE_BOUND);
    }

    fn settle_fenced(&mut self, ended: &mut Vec<Ended>) {
        let keys: Vec<Key> = self.runs.keys().copied().collect();
        for key in keys {
            self.end(key, End::Lost, ended);
        }
        self.lease_ends_at = Timestamp::MAX;
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

    /// Asks for runs whose start a doubted target has not answered yet.
    fn look_for_starts(&mut self, now: Timestamp) {
        let mut has_late_start = false;
        for run in self.runs.values_mut() {
            if let Progress::Sent { since } = run.progress
                && self.doubted_until > since
                && since.plus(HEDGE_DELAY).is_past(now)
            {
                run.progress = Progress::Unsettled { since: now };
                has_late_start = true;
            }
        }
        if has_late_start {
            self.look_now(now);
        }
    }

    fn may_hedge(&self, hold: &Hold) -> bool {
        let may_wait = matches!(self.phase, Phase::Held | Phase::HandingOver);
        may_wait && self.late_hold.is_none() && self.doubted_until > hold.sent_at
    }

    fn send_stops(&mut self, now: Timestamp, orders: &mut Vec<Order>) {
        if !matches!(self.phase, Phase::Held | Phase::HandingOver) {
            return;
        }
        let mut due = Vec::new();
        for (key, run) in &mut self.runs {
            if run.stop_at.is_past(now) {
                run.stop_at = now.plus(STOP_TIMEOUT);
                due.push(*key);
            }
        }
        for run in due {
            orders.push(self.order(Action::Stop { run }));
        }
    }

    fn send_hold(&mut self, now: Timestamp, orders: &mut Vec<Order>) {
        self.holds += 1;
        let is_silent = self.is_silent();
        let may_wait = matches!(self.phase, Phase::Held | Phase::HandingOver);
        let is_look = std::mem::take(&mut self.is_look);
        let is_waiting = may_wait && !self.runs.is_empty() && !is_silent && !is_look;
        let is_doubted = !self.doubted_until.is_past(now);
        let (longest, timeout) = match is_doubted {
            true => (DOUBTED_WAIT, DOUBTED_TIMEOUT),
            false => (HOLD_WAIT, HOLD_TIMEOUT),
        };
        let wait = if is_waiting { longest } else { Millis::new(0) };
        // Where this instance or the way is too slow, more holds would make it worse.
        let timeout =
            Millis::new(timeout.get() << self.unanswered.saturating_sub(1).min(MAX_BACKOFF));
        let deadline = now.plus(wait).plus(timeout);
        let hold = Hold {
            number: self.holds,
            sent_at: now,
            acknowledged: self.acknowledged,
            hedge_at: now.plus(wait).plus(HEDGE_DELAY),
            deadline,
        };
        self.hold = Some(hold);
        // An unanswered hold may still renew the lease. A silent target is only asked for its
        // state, so that what runs there ends if this instance is the one that cannot be heard.
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

    /// Gives up waiting for an end and asks for the present state.
    fn look_now(&mut self, now: Timestamp) {
        self.is_look = true;
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

    /// Returns the end of a lease from now on, on the clock of the target. The local clock may be
    /// slower; a target shortens what is too long.
    fn lease_until(&self, now: Timestamp) -> Option<u64> {
        let clock = self.clock?;
        let age = now.since(clock.at).get() / 1_000;
        let margin = age * CLOCK_MARGIN_PERMILLE / 1_000;
        Some(clock.millis + age + margin + LEASE.get())
    }

    fn lease_bound(&self, now: Timestamp) -> Timestamp {
        let age = self.clock.map_or(0, |clock| now.since(clock.at).get() / 1_000);
        now.plus(LEASE_BOUND).plus(Millis::new(age * CLOCK_MARGIN_PERMILLE / 1_000))
    }

    fn insert(&mut self, key: Key, run: Run) {
        self.used = self.used.plus(run.amount);
        if let Some(replaced) = self.runs.insert(key, run) {
            self.used = self.used.minus(replaced.amount);
        }
    }

    fn end(&mut self, key: Key, end: End, ended: &mut Vec<Ended>) {
        if let Some(run) = self.runs.remove(&key) {
            self.used = self.used.minus(run.amount);
            ended.push(Ended { run: key, home: run.home, end, kind: run.kind });
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

fn stalled_at(estimate: Millis, now: Timestamp) -> Timestamp {
    now.plus(Millis::new(estimate.get().saturating_mul(STALL_FACTOR))).plus(STALL_BASE)
}

/// Class of a run that was found at a takeover.
fn unknown_kind() -> id::Kind {
    "unknown".parse().unwrap_or_else(|_| unreachable!("a constant identifier is valid"))
}
