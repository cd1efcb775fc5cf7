//! The tables of an instance and the systems that run over them.
//!
//! Answers two loads. Below the capacity of a service, tasks that find no room on the targets of
//! their home go at once to room that peers have. Above it, waiting tasks stay at their homes, each
//! freed place goes to the first of all waiting tasks by [`Rank`], and jobs that can no longer start
//! in time are refused.

mod home;
mod owner;
mod peers;
mod placement;

use crate::admission::{Capacity, Load};
use crate::job::{Job, Rank, Submission};
use crate::message::Message;
use crate::record::{Outcome, Record};
use crate::resource::Amount;
use crate::roster::Member;
use crate::run::{self, End, Key};
use crate::target::{
    Ended, Entry, Generation, HoldAnswer, Order, Phase, StartAnswer, StopAnswer, Target,
};
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use verbenapass::ejection::Detector;
use verbenapass::id;
use verbenapass::time::Timestamp;
use verbenapass::unit::{Micros, Millis};

/// Time after the loss of a peer at which runs on its targets are over: it loses this instance after
/// 0.9 s of silence, and a run ends within 1.27 s of its stop (see `target`).
const PEER_SETTLE: Millis = Millis::new(2_200);
/// Time after the start in which links to peers come up, before targets are claimed, unless it is
/// known earlier which peers run: the time to open a connection on which one packet is lost.
const CLAIM_GRACE: Millis = Millis::new(250);
/// Time after the start in which listed instances count as live that are not linked yet. When all
/// start at the same time, each then claims its own part only.
const START_GRACE: Millis = Millis::new(1_500);
/// Shortest time between two divisions of the targets, and between two messages about owned targets:
/// when all instances start, their news come in great numbers.
const NEWS_INTERVAL: Millis = Millis::new(30);
/// Pairs of instances and targets that are divided in [`NEWS_INTERVAL`]. With more of them, divisions
/// are rarer, so that their cost stays bounded: the largest described fleet, 45 with 350.
const PAIRS_PER_INTERVAL: usize = 16_000;
/// Time after it is known which peers run, before targets are claimed: others that start at the same
/// time are linked by then, so that they do not claim the same targets.
const SETTLED_GRACE: Millis = Millis::new(80);
/// Time after a live peer has given up a target in which nobody else claims it: its new owner is
/// known to all by then.
const RELEASE_PAUSE: Millis = Millis::new(500);
/// Time for which a peer must be linked before targets are handed to it.
const HANDOVER_GRACE: Millis = Millis::new(500);
/// Shortest time for which an owner that does not stop keeps a target: instances that see different
/// peers divide the targets differently, and would pass them to and fro.
const MIN_OWNERSHIP: Millis = Millis::new(2_000);
/// Time for which the run numbers of a job that did not succeed are kept: longer than an order may be
/// late (12 s) and a peer takes to settle it.
const FORMER_LIFE: Millis = Millis::new(20_000);
/// Jobs whose numbers are kept before old ones are looked for.
const MAX_FORMER: usize = 1_000;
/// Life of a reservation; covers a round trip between data centres and a retransmission of TCP.
const GRANT_LIFE: Millis = Millis::new(250);
/// Time after which all peers are asked for room, when the first ones have granted none: a round
/// trip between data centres.
const WIDEN_DELAY: Millis = Millis::new(4);
/// Peers that are asked first.
const FIRST_ASKED: usize = 2;
/// Shortest time between two messages about the amount of waiting work.
const INTEREST_INTERVAL: Millis = Millis::new(50);
/// Waiting jobs that are tried for free room at a time; bounds the time of a dispatch.
const MAX_SCANNED: usize = 64;
/// A peer's waiting job comes before an own one if it must start earlier by this: the time that a
/// place stands empty while a task is moved.
const MOVE_COST: Millis = Millis::new(5);

/// Properties of an [`Engine`].
#[derive(Clone, Debug)]
pub struct Options {
    /// Name of this instance.
    pub instance: id::Instance,
    /// Its data centre and size.
    pub member: Member,
    /// Number of this process, different in each.
    pub process: u32,
    /// Seed of random choices.
    pub seed: u64,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A client submits a job.
    Submit(Submission),
    /// The client of a call has gone.
    Hangup(id::Caller),
    /// The whole list of targets.
    Listed(Vec<Entry>),
    /// The whole list of instances, those that do not run included.
    Members(Vec<(id::Instance, Member)>),
    /// A start was answered, or not.
    StartAnswered {
        /// The target.
        target: id::Target,
        /// The run.
        run: Key,
        /// The answer.
        answer: StartAnswer,
        /// Clock of the target.
        clock_ms: Option<u64>,
    },
    /// A stop was answered, or not.
    StopAnswered {
        /// The target.
        target: id::Target,
        /// The run.
        run: Key,
        /// The answer.
        answer: StopAnswer,
        /// Clock of the target.
        clock_ms: Option<u64>,
    },
    /// A hold was answered, or not.
    HoldAnswered {
        /// The target.
        target: id::Target,
        /// Number of the hold.
        number: u64,
        /// The answer.
        answer: HoldAnswer,
    },
    /// A link to a peer is up.
    PeerUp {
        /// The peer.
        peer: id::Instance,
        /// Its data centre and size.
        member: Member,
    },
    /// A peer has gone, or has not been heard for too long.
    PeerDown(id::Instance),
    /// A message of a peer.
    Received {
        /// The peer.
        peer: id::Instance,
        /// The message.
        message: Message,
    },
    /// It is known of all instances whether they run: targets may be claimed.
    PeersKnown,
    /// The process is to stop: hand over all targets.
    Stop,
}

/// What is to be done.
#[derive(Clone, Debug)]
pub enum Command {
    /// Send an order to a target.
    Order(Order),
    /// Answer the call of a client.
    Answer {
        /// The call.
        caller: id::Caller,
        /// The answer.
        outcome: Outcome,
    },
    /// Send a message to a peer.
    Send {
        /// The peer.
        peer: id::Instance,
        /// The message.
        message: Message,
    },
    /// Write a log line.
    Log(Record),
}

/// What a peer has told of its waiting tasks.
#[derive(Clone, Copy, Debug)]
struct Wanted {
    tasks: u32,
    work: Micros,
    rank: Rank,
    amount: Amount,
    smallest: Amount,
}

/// What a peer was told of the tasks that wait here.
#[derive(Clone, Copy, Debug, Default)]
struct Told {
    tasks: u32,
    work: Micros,
    at: Timestamp,
}

#[derive(Debug)]
struct Peer {
    member: Member,
    up_since: Timestamp,
    is_stopping: bool,
    owned: Vec<(id::Target, Generation)>,
    wanted: BTreeMap<id::Service, Wanted>,
    told: BTreeMap<id::Service, Told>,
}

#[derive(Debug)]
struct Slot {
    job: Job,
    load: Load,
    queued: Option<Rank>,
    due: Timestamp,
}

/// All state of an instance.
#[derive(Debug)]
pub struct Engine {
    options: Options,
    random: StdRng,
    start_ends_at: Timestamp,
    may_claim_at: Timestamp,
    divide_at: Timestamp,
    next_division: Timestamp,
    next_ownership: Timestamp,
    is_stopping: bool,
    peers: BTreeMap<id::Instance, Peer>,
    members: BTreeMap<id::Instance, Member>,
    /// Peers that were linked and lost.
    lost: BTreeSet<id::Instance>,
    entries: BTreeMap<id::Target, Entry>,
    owned: BTreeMap<id::Target, Target>,
    /// What the listed targets have, by service.
    capacities: HashMap<id::Service, Capacity>,
    is_capacity_stale: bool,
    assigned: BTreeMap<id::Target, id::Instance>,
    /// Targets that live peers own, with the number of these.
    foreign: HashMap<id::Target, u32>,
    partners: BTreeSet<id::Instance>,
    has_new_partners: bool,
    seen: HashMap<id::Target, Generation>,
    barred: HashMap<id::Target, Timestamp>,
    locations: HashMap<Key, id::Target>,
    detectors: HashMap<id::Service, Detector>,
    grants: BTreeMap<u64, (id::Target, Timestamp)>,
    next_grant: u64,
    jobs: BTreeMap<run::Job, Slot>,
    callers: HashMap<id::Caller, run::Job>,
    /// Run numbers of jobs that did not succeed here, until their last runs have ended for sure.
    former: HashMap<run::Job, (run::Number, Timestamp)>,
    queue: BTreeSet<(Rank, run::Job)>,
    due: BTreeSet<(Timestamp, run::Job)>,
    widen_at: Timestamp,
    is_widened: bool,
    interest_at: Timestamp,
    is_assignment_stale: bool,
    /// Whether the assignment counts on instances that are not linked yet.
    is_start_assigned: bool,
    is_division_stale: bool,
    is_ownership_told: bool,
    orders: Vec<Order>,
    ended: Vec<Ended>,
    reports: BTreeMap<id::Instance, Vec<(Key, End)>>,
    commands: Vec<Command>,
}

impl Engine {
    /// Makes the engine of a process that starts now.
    pub fn new(options: Options, now: Timestamp) -> Self {
        Self {
            random: StdRng::seed_from_u64(options.seed),
            options,
            start_ends_at: now.plus(START_GRACE),
            may_claim_at: now.plus(CLAIM_GRACE),
            divide_at: now.plus(CLAIM_GRACE),
            next_division: now,
            next_ownership: now,
            is_stopping: false,
            peers: BTreeMap::new(),
            members: BTreeMap::new(),
            lost: BTreeSet::new(),
            entries: BTreeMap::new(),
            owned: BTreeMap::new(),
            capacities: HashMap::new(),
            is_capacity_stale: false,
            assigned: BTreeMap::new(),
            foreign: HashMap::new(),
            partners: BTreeSet::new(),
            has_new_partners: false,
            seen: HashMap::new(),
            barred: HashMap::new(),
            locations: HashMap::new(),
            detectors: HashMap::new(),
            grants: BTreeMap::new(),
            next_grant: 1,
            jobs: BTreeMap::new(),
            callers: HashMap::new(),
            former: HashMap::new(),
            queue: BTreeSet::new(),
            due: BTreeSet::new(),
            widen_at: Timestamp::MAX,
            is_widened: false,
            interest_at: Timestamp::MAX,
            is_assignment_stale: true,
            is_start_assigned: false,
            is_division_stale: true,
            is_ownership_told: true,
            orders: Vec::new(),
            ended: Vec::new(),
            reports: BTreeMap::new(),
            commands: Vec::new(),
        }
    }

    /// Handles an event. The commands are appended in the order in which they are to be done.
    pub fn handle(&mut self, event: Event, now: Timestamp, commands: &mut Vec<Command>) {
        match event {
            Event::Submit(submission) => self.submit(submission, now),
            Event::Hangup(caller) => self.hang_up(caller, now),
            Event::Listed(entries) => self.list(entries, now),
            Event::Members(members) => {
                self.members = members.into_iter().collect();
                self.is_assignment_stale |= !self.start_ends_at.is_past(now);
            }
            Event::StartAnswered { target, run, answer, clock_ms } => {
                if let Some(owned) = self.owned.get_mut(&target) {
                    owned.start_answered(run, answer, clock_ms, now, &mut self.ended);
                }
            }
            Event::StopAnswered { target, run, answer, clock_ms } => {
                if let Some(owned) = self.owned.get_mut(&target) {
                    owned.stop_answered(run, answer, clock_ms, now);
                }
            }
            Event::HoldAnswered { target, number, answer } => {
                self.hold_answered(&target, number, answer, now);
            }
            Event::PeerUp { peer, member } => self.peer_up(peer, member, now),
            Event::PeerDown(peer) => self.peer_down(&peer, now),
            Event::Received { peer, message } => self.receive(&peer, message, now),
            Event::PeersKnown => {
                self.may_claim_at = self.may_claim_at.min(now.plus(SETTLED_GRACE));
                self.is_division_stale = true;
            }
            Event::Stop => self.stop(),
        }
        self.run_systems(now, commands);
    }

    /// Runs every system. To be called at [`Self::next_deadline`].
    pub fn tick(&mut self, now: Timestamp, commands: &mut Vec<Command>) {
        self.run_systems(now, commands);
    }

    /// Returns the time of the next tick.
    pub fn next_deadline(&self) -> Timestamp {
        let mut next = self.widen_at.min(self.interest_at).min(self.divide_at);
        for target in self.owned.values() {
            next = next.min(target.next_deadline());
        }
        if let Some((due, _)) = self.due.first() {
            next = next.min(*due);
        }
        if !self.is_ownership_told {
            next = next.min(self.next_ownership);
        }
        next
    }

    /// Tells whether jobs can be placed somewhere.
    pub fn is_ready(&self) -> bool {
        let is_held = |target: &Target| target.phase() == Phase::Held && !target.is_silent();
        !self.is_stopping
            && (self.owned.values().any(is_held)
                || self.peers.values().any(|peer| !peer.owned.is_empty()))
    }

    /// Tells whether the process may end: no job is open, and no target is left to hand over.
    pub fn is_drained(&self) -> bool {
        let has_heir = self.peers.values().any(|peer| !peer.is_stopping);
        let is_idle = self.owned.values().all(Target::is_empty);
        self.jobs.is_empty() && (self.owned.is_empty() || !has_heir && is_idle)
    }

    /// Returns the number of open jobs.
    pub fn open_jobs(&self) -> usize {
        self.jobs.len()
    }

    /// Returns the number of owned targets.
    pub fn owned_targets(&self) -> usize {
        self.owned.len()
    }

    /// Returns the number of jobs that wait for room.
    pub fn waiting_jobs(&self) -> usize {
        self.queue.len()
    }

    fn run_systems(&mut self, now: Timestamp, commands: &mut Vec<Command>) {
        self.poll_targets(now);
        self.settle_ended(now);
        self.run_due(now);
        self.divide_targets(now);
        self.dispatch(now);
        self.advertise(now);
        // Starts and stops of this round are due at once.
        self.poll_targets(now);
        self.settle_ended(now);
        self.hand_over(now);
        self.report(now);
        commands.append(&mut self.commands);
    }
}
