//! The state machine of an entry instance: its jobs, the targets it owns and its peers.
//!
//! While the load of a service is below its capacity, tasks that don't fit on the targets of their
//! home (the instance that accepted their job) move at once to peers with room. Above it, waiting
//! tasks queue at their homes, freed room goes to the first waiting task of the fleet by [`Rank`],
//! and jobs that can no longer start in time are refused.

mod choice;
mod demand;
mod evacuation;
mod home;
mod interference;
mod isolation;
mod losses;
mod owner;
mod peers;
mod placement;
mod resume;
mod speed;

use crate::admission::{Capacity, Load};
use crate::containment;
use crate::crash;
use crate::estimate::Estimator;
use crate::generation::Generation;
use crate::job::{Job, Rank, Submission};
use crate::message::Message;
use crate::order::{HoldAnswer, Order, StartAnswer, StopAnswer};
use crate::record::{Outcome, Record};
use crate::resource::Amount;
use crate::roster::Member;
use crate::run::{self, End, Key};
use crate::speed::{Counts, Factor};
use crate::target::{Ended, Entry, Phase, Target};
use demand::{PeerDemand, SentDemand};
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use verbenapass::ejection::Detector;
use verbenapass::id;
use verbenapass::time::Timestamp;
use verbenapass::unit::{Micros, Millis};

/// Time after the loss of a peer by which the runs on its targets have ended: the peer detects the
/// loss after 0.9 s of silence and stops the runs, and a run ends within 1.27 s of its stop (see
/// `target`).
const LOST_RUN_TIMEOUT: Millis = Millis::new(2_200);
/// Longest wait after the process starts before it claims targets, so that links to peers come up
/// first. Covers opening a connection on which one packet is lost. [`Event::PeersKnown`] ends it
/// earlier.
const CLAIM_GRACE: Millis = Millis::new(250);
/// Time after the process starts during which listed instances without a link count as live. When
/// all instances start together, each then claims only its own share of the targets.
const START_GRACE: Millis = Millis::new(1_500);
/// Shortest time between two rebalances, and between two messages that list the owned targets.
/// Limits the work when all instances start at once and membership changes come in bursts.
const UPDATE_INTERVAL: Millis = Millis::new(30);
/// Product of the numbers of instances and targets up to which a rebalance may run every
/// [`UPDATE_INTERVAL`]; the largest fleet of the workload descriptions has 45 instances and 350
/// targets. In larger fleets, rebalances are less frequent, which bounds their cost.
const PAIRS_PER_INTERVAL: usize = 16_000;
/// Wait between [`Event::PeersKnown`] and the first claims. Instances that start at the same time
/// are linked by then and don't claim the same targets.
const PEERS_KNOWN_GRACE: Millis = Millis::new(30);
/// Time from the first claims until targets have accepted them and peers have reported theirs: a few
/// round trips between data centres and [`UPDATE_INTERVAL`].
const FIRST_CLAIMS_TIMEOUT: Millis = Millis::new(60);
/// Time for which this instance doesn't claim a target that a live peer has released. All instances
/// know the new owner by then.
const RELEASE_PAUSE: Millis = Millis::new(500);
/// Time for which a peer must have been linked before targets are handed over to it.
const HANDOVER_GRACE: Millis = Millis::new(500);
/// Shortest time for which an owner keeps a target, unless it shuts down. Instances that see
/// different peers compute different assignments and would hand targets back and forth.
const MIN_OWNERSHIP_TIME: Millis = Millis::new(2_000);
/// Time for which the first free run number of a job that ended incomplete is kept: longer than the
/// largest delay of an order (12 s) plus the time until the end of a run at a peer is known.
const RUN_NUMBER_RETENTION: Millis = Millis::new(20_000);
/// Number of retained run numbers above which expired ones are removed.
const MAX_RETAINED_RUN_NUMBERS: usize = 1_000;
/// Lifetime of a reservation; covers a round trip between data centres and one TCP retransmission.
const GRANT_TTL: Millis = Millis::new(250);
/// Delay after which all partners (the peers that exchange tasks with this instance) are asked for
/// room if the first ones have granted none: a round trip between data centres.
const ASK_ALL_DELAY: Millis = Millis::new(4);
/// Number of partners that are asked for room first.
const FIRST_ASKED_PEERS: usize = 2;
/// Shortest time between two messages that update the waiting work of a service.
const DEMAND_INTERVAL: Millis = Millis::new(50);
/// Time for which a reported capacity counts: longer than the own list takes to have it.
const REPORT_TTL: Millis = Millis::new(10_000);
/// Number of waiting jobs that one dispatch tries to place; bounds its time.
const MAX_SCANNED_JOBS: usize = 64;
/// A peer's waiting job goes before a local one only if it must start earlier by this much: the
/// time for which room stays unused while a task is sent there.
const MOVE_DELAY: Millis = Millis::new(5);

/// Identity and seed of an [`Engine`].
#[derive(Clone, Debug)]
pub struct Options {
    /// Name of this instance, unique in the fleet and kept across restarts.
    pub instance: id::Instance,
    /// Data centre and processor share of this instance.
    pub member: Member,
    /// Random number of the process. It makes the numbers of its runs unique, and the low 20 bits make
    /// the generations of its claims unique.
    pub process: u32,
    /// Seed for the order in which peers are asked and for retry times.
    pub seed: u64,
    /// Whether data centres may be evacuated. Nothing is started before it is known which ones are.
    pub can_evacuate: bool,
    /// Whether kinds that slow each other down are kept on different targets where there is room.
    pub separates_kinds: bool,
}

/// Input of an [`Engine`].
#[derive(Clone, Debug)]
pub enum Event {
    /// A client submits a job.
    Submit(Submission),
    /// The client of a call has disconnected; its job is cancelled.
    Hangup(id::Caller),
    /// The complete list of targets. A target that it lacks has been removed.
    Listed(Vec<Entry>),
    /// The complete list of instances, including those that don't run.
    Members(Vec<(id::Instance, Member)>),
    /// A start was answered, or its answer is overdue.
    StartAnswered {
        /// Receiver of the order.
        target: id::Target,
        /// Run that was to start.
        run: Key,
        /// `Unknown` if no answer came.
        answer: StartAnswer,
        /// Clock of the target in milliseconds, if the answer carries it.
        clock_ms: Option<u64>,
    },
    /// A stop was answered, or its answer is overdue.
    StopAnswered {
        /// Receiver of the order.
        target: id::Target,
        /// Run that was to stop.
        run: Key,
        /// `Unknown` if no answer came.
        answer: StopAnswer,
        /// Clock of the target in milliseconds, if the answer carries it.
        clock_ms: Option<u64>,
    },
    /// A hold was answered, or its deadline has passed.
    HoldAnswered {
        /// Receiver of the hold.
        target: id::Target,
        /// Number from the hold order.
        number: u64,
        /// `Unknown` if no answer came.
        answer: HoldAnswer,
    },
    /// A link to a peer is up.
    PeerUp {
        /// Name of the peer.
        peer: id::Instance,
        /// Data centre and processor share of the peer.
        member: Member,
    },
    /// The link to a peer has closed, or the peer's heartbeats have timed out.
    PeerDown(id::Instance),
    /// A message from a peer.
    Received {
        /// Peer that sent it.
        peer: id::Instance,
        /// Content, delivered in the order in which the peer sent it.
        message: Message,
    },
    /// The store tells which data centres are evacuated.
    Evacuated(crate::evacuation::Report),
    /// It is known which listed instances run, so claims needn't wait for more links.
    PeersKnown,
    /// The process was paused for this long and has just resumed; comes before all other events.
    Resumed(Micros),
    /// The process shuts down and hands over all its targets.
    Stop,
}

/// Output of an [`Engine`], to be carried out by the caller.
#[derive(Clone, Debug)]
pub enum Command {
    /// Send an order to a target, and return its result as an [`Event`].
    Order(Order),
    /// Answer the call of a client.
    Answer {
        /// Call from the submission.
        caller: id::Caller,
        /// Final result of the job.
        outcome: Outcome,
    },
    /// Send a message to a peer.
    Send {
        /// Peer that gets it.
        peer: id::Instance,
        /// Content; dropped if the peer is not linked.
        message: Message,
    },
    /// Write a log line.
    Log(Record),
}

#[derive(Debug)]
struct Peer {
    member: Member,
    up_since: Timestamp,
    is_stopping: bool,
    owned: Vec<(id::Target, Generation)>,
}

/// Capacity of a target as a peer has read it.
#[derive(Clone, Copy, Debug)]
struct Report {
    incarnation: u64,
    version: u64,
    capacity: Amount,
}

#[derive(Debug)]
struct OpenJob {
    job: Job,
    /// Run time of a task that the client declared.
    declared: Millis,
    load: Load,
    queued_rank: Option<Rank>,
    deadline: Timestamp,
    /// Largest factor of a target that a waiting task accepts.
    accepted: Factor,
    /// Whether some known targets are slower than that.
    is_limited: bool,
    /// When both are computed again.
    examine_at: Timestamp,
    /// Whether both were computed since the job was last dispatched.
    is_examined: bool,
    /// Whether its tasks wait for a faster target although a slow one has room. Their work delays no
    /// other job, so it doesn't count for admission.
    is_holding_out: bool,
    /// Whether its tasks were counted as waiting for a faster target.
    has_waited: bool,
}

/// The dispatching state of one instance, without I/O and clock.
#[derive(Debug)]
pub struct Engine {
    options: Options,
    random: StdRng,
    start_grace_ends_at: Timestamp,
    may_claim_at: Timestamp,
    /// Time until which lost links to peers may be those that a pause of this process has broken.
    relinked_by: Timestamp,
    rebalance_at: Timestamp,
    earliest_rebalance: Timestamp,
    earliest_ownership_update: Timestamp,
    is_stopping: bool,
    peers: BTreeMap<id::Instance, Peer>,
    demands: demand::Table<PeerDemand>,
    sent_demands: demand::Table<SentDemand>,
    members: BTreeMap<id::Instance, Member>,
    /// Peers whose link went down and is not up again.
    lost_peers: BTreeSet<id::Instance>,
    entries: BTreeMap<id::Target, Entry>,
    /// Whether a list of targets has arrived.
    has_list: bool,
    /// Number of listed targets of each service.
    listed_counts: HashMap<id::Service, usize>,
    owned: BTreeMap<id::Target, Target>,
    /// Incarnations of listed targets that peers have reported as leaving.
    reported_leaving: HashMap<id::Target, u64>,
    /// Capacities of listed targets that peers have reported, and until when they count.
    reported_capacities: HashMap<id::Target, (Report, Timestamp)>,
    /// Largest capacity that each listed target had in its incarnation.
    nominal_capacities: HashMap<id::Target, (u64, Amount)>,
    /// Owned targets that the list lacks.
    unlisted: BTreeSet<id::Target>,
    /// Sums over the listed targets, by service.
    capacities: HashMap<id::Service, Capacity>,
    is_capacity_stale: bool,
    /// Whether the first claims may still be unanswered, or be unknown to peers.
    is_starting: bool,
    /// Assigned owners of the targets that this instance may own or has to hand over.
    assigned: BTreeMap<id::Target, id::Instance>,
    /// Targets owned by linked peers, with the number of peers that claim to own each.
    peer_owned: HashMap<id::Target, u32>,
    partners: BTreeSet<id::Instance>,
    has_new_partners: bool,
    evacuations: crate::evacuation::Table,
    /// Partners that aren't asked for room, since all of their targets are evacuated.
    peers_without_room: BTreeSet<id::Instance>,
    known_generations: HashMap<id::Target, Generation>,
    claimable_at: HashMap<id::Target, Timestamp>,
    /// Targets that an instance which isn't linked may still own.
    contested: BTreeSet<id::Target>,
    detectors: HashMap<id::Service, Detector>,
    estimator: Estimator,
    speeds: speed::SpeedMap,
    is_learning_speeds: bool,
    speed_counts: Counts,
    crashes: crash::Table,
    containment: containment::Table,
    separation: interference::Separation,
    /// Jobs with tasks that wait for a target on which nothing else runs.
    isolating: BTreeSet<run::Job>,
    grants: BTreeMap<u64, (id::Target, Timestamp)>,
    next_grant: u64,
    jobs: BTreeMap<run::Job, OpenJob>,
    callers: HashMap<id::Caller, run::Job>,
    /// First free run number of each job that ended incomplete, kept until its last runs have
    /// certainly ended.
    retained_run_numbers: HashMap<run::Job, (run::Number, Timestamp)>,
    queue: BTreeSet<(Rank, run::Job)>,
    deadlines: BTreeSet<(Timestamp, run::Job)>,
    ask_all_at: Timestamp,
    is_asking_all: bool,
    demand_at: Timestamp,
    is_assignment_stale: bool,
    /// Whether the assignment includes listed instances that aren't linked yet.
    has_unlinked_members: bool,
    is_rebalance_due: bool,
    is_ownership_sent: bool,
    orders: Vec<Order>,
    ended: Vec<Ended>,
    reports: BTreeMap<id::Instance, Vec<(Key, End, Factor)>>,
    commands: Vec<Command>,
}

impl Engine {
    /// Creates the engine of a process that starts at `now`, without targets and peers.
    pub fn new(options: Options, now: Timestamp) -> Self {
        Self {
            random: StdRng::seed_from_u64(options.seed),
            evacuations: crate::evacuation::Table::new(options.can_evacuate),
            options,
            start_grace_ends_at: now.plus(START_GRACE),
            may_claim_at: now.plus(CLAIM_GRACE),
            relinked_by: Timestamp::default(),
            rebalance_at: now.plus(CLAIM_GRACE),
            earliest_rebalance: now,
            earliest_ownership_update: now,
            is_stopping: false,
            peers: BTreeMap::new(),
            demands: demand::Table::new(),
            sent_demands: demand::Table::new(),
            members: BTreeMap::new(),
            lost_peers: BTreeSet::new(),
            entries: BTreeMap::new(),
            has_list: false,
            listed_counts: HashMap::new(),
            owned: BTreeMap::new(),
            reported_leaving: HashMap::new(),
            reported_capacities: HashMap::new(),
            nominal_capacities: HashMap::new(),
            unlisted: BTreeSet::new(),
            capacities: HashMap::new(),
            is_capacity_stale: false,
            is_starting: true,
            assigned: BTreeMap::new(),
            peer_owned: HashMap::new(),
            partners: BTreeSet::new(),
            has_new_partners: false,
            peers_without_room: BTreeSet::new(),
            known_generations: HashMap::new(),
            claimable_at: HashMap::new(),
            contested: BTreeSet::new(),
            detectors: HashMap::new(),
            estimator: Estimator::default(),
            speeds: speed::SpeedMap::new(),
            is_learning_speeds: true,
            speed_counts: Counts::default(),
            crashes: crash::Table::default(),
            containment: containment::Table::default(),
            separation: interference::Separation::default(),
            isolating: BTreeSet::new(),
            grants: BTreeMap::new(),
            next_grant: 1,
            jobs: BTreeMap::new(),
            callers: HashMap::new(),
            retained_run_numbers: HashMap::new(),
            queue: BTreeSet::new(),
            deadlines: BTreeSet::new(),
            ask_all_at: Timestamp::MAX,
            is_asking_all: false,
            demand_at: Timestamp::MAX,
            is_assignment_stale: true,
            has_unlinked_members: false,
            is_rebalance_due: true,
            is_ownership_sent: true,
            orders: Vec::new(),
            ended: Vec::new(),
            reports: BTreeMap::new(),
            commands: Vec::new(),
        }
    }

    /// Handles an event and appends the resulting commands in the order of execution.
    pub fn handle(&mut self, event: Event, now: Timestamp, commands: &mut Vec<Command>) {
        match event {
            Event::Submit(submission) => self.submit(submission, now),
            Event::Hangup(caller) => self.hang_up(caller, now),
            Event::Listed(entries) => self.update_entries(entries, now),
            Event::Members(members) => {
                self.members = members.into_iter().collect();
                // Instances without a link count as live only during `START_GRACE`.
                self.is_assignment_stale |= !self.start_grace_ends_at.is_past(now);
            }
            Event::StartAnswered { target, run, answer, clock_ms } => {
                self.start_answered(&target, run, answer, clock_ms, now);
            }
            Event::StopAnswered { target, run, answer, clock_ms } => {
                self.stop_answered(&target, run, answer, clock_ms, now);
            }
            Event::HoldAnswered { target, number, answer } => {
                self.hold_answered(&target, number, answer, now);
            }
            Event::PeerUp { peer, member } => self.peer_up(peer, member, now),
            Event::PeerDown(peer) => self.peer_down(&peer, now),
            Event::Received { peer, message } => self.receive(&peer, message, now),
            Event::Evacuated(report) => self.evacuations_read(&report),
            Event::PeersKnown => {
                self.may_claim_at = self.may_claim_at.min(now.plus(PEERS_KNOWN_GRACE));
                self.is_rebalance_due = true;
            }
            Event::Resumed(pause) => self.resume(pause, now),
            Event::Stop => self.stop(),
        }
        self.advance(now, commands);
    }

    /// Processes what is due by `now`. The caller must call it at [`Self::next_deadline`].
    pub fn tick(&mut self, now: Timestamp, commands: &mut Vec<Command>) {
        self.advance(now, commands);
    }

    /// Returns when [`Self::tick`] must be called next. Every call of the engine may change it.
    pub fn next_deadline(&self) -> Timestamp {
        let mut next = self.ask_all_at.min(self.demand_at).min(self.rebalance_at);
        for target in self.owned.values() {
            next = next.min(target.next_deadline());
        }
        if let Some((due, _)) = self.deadlines.first() {
            next = next.min(*due);
        }
        if !self.is_ownership_sent {
            next = next.min(self.earliest_ownership_update);
        }
        next
    }

    /// Returns whether this instance holds a target that answers or a linked peer owns one, and no
    /// shutdown has begun.
    pub fn is_ready(&self) -> bool {
        let is_held = |target: &Target| target.phase() == Phase::Held && !target.is_silent();
        !self.is_stopping
            && (self.owned.values().any(is_held)
                || self.peers.values().any(|peer| !peer.owned.is_empty()))
    }

    /// Returns whether the process may exit: no job is open, and no target is left to hand over or,
    /// if no peer can take them over, nothing runs on them.
    pub fn is_drained(&self) -> bool {
        let has_successor = self.peers.values().any(|peer| !peer.is_stopping);
        let is_idle = self.owned.values().all(Target::is_empty);
        self.jobs.is_empty() && (self.owned.is_empty() || !has_successor && is_idle)
    }

    /// Returns the number of accepted jobs that are not answered yet.
    pub fn open_jobs(&self) -> usize {
        self.jobs.len()
    }

    /// Returns the number of owned targets, including those whose claim isn't confirmed yet.
    pub fn owned_targets(&self) -> usize {
        self.owned.len()
    }

    /// Returns the number of owned targets that have accepted the ownership, so that runs may be started.
    pub fn held_targets(&self) -> usize {
        self.owned.values().filter(|target| target.phase() == Phase::Held).count()
    }

    /// Returns the number of jobs with at least one task that waits for room.
    pub fn waiting_jobs(&self) -> usize {
        self.queue.len()
    }

    fn advance(&mut self, now: Timestamp, commands: &mut Vec<Command>) {
        self.poll_targets(now);
        self.forward_ended(now);
        self.process_deadlines(now);
        self.rebalance(now);
        self.start_isolated(now);
        self.dispatch(now);
        self.advertise(now);
        // Sends the starts and stops of this round now instead of at the next tick.
        self.poll_targets(now);
        self.forward_ended(now);
        self.hand_over(now);
        self.report(now);
        commands.append(&mut self.commands);
    }
}
