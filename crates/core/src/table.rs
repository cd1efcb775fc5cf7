//! State of one entry instance: jobs, starts, targets, teams and peers.
//!
//! The functions here keep queues, counts and indexes consistent with the rows. The engine and the
//! dispatch module make the decisions.

use crate::admission::{Capacity, Occupancy, Runtimes};
use crate::claim;
use crate::ejection::{self, Detector};
use crate::estimate::Estimator;
use crate::event::{Command, Counters, Options, Peer, Target};
use crate::exchange::{Schedule, Scope, Selection};
use crate::id;
use crate::job::{Resources, Submission};
use crate::membership::{self, View};
use crate::outcome::{Answer, Outcome};
use crate::peer;
use crate::queue::{self, Queue};
use crate::retry::{self, Budget, History};
use crate::settings;
use crate::share;
use crate::start::Order;
use crate::time::Timestamp;
use crate::unit::{Millis, Permille, Slots};
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

/// Time after its deadline at which a start without a result counts as lost. The embedding program
/// reports every result long before; the bound keeps a bug there from leaking slots.
const LOST_AFTER: Millis = Millis::new(30_000);

/// Maximum number of targets considered for a retry, or for a start on slots that other instances
/// hold.
const MAX_CANDIDATES: usize = 32;

/// What happens when a timer expires.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// The deadline of a job passes.
    Job(u64),
    /// The target of a start without a result is queried, or the start counts as lost.
    Start(id::Start),
    /// The retention of a final outcome ends.
    Forget(u64),
    /// A task of a job, given by its index, may be started again.
    Retry(u64, u32),
    /// A target may be tried again.
    Target(id::Target),
    /// A periodic report to the peers is due.
    Report,
}

/// Timers in the order in which they expire.
#[derive(Debug, Default)]
pub(crate) struct Timers(BTreeSet<(Timestamp, Timer)>);

impl Timers {
    pub(crate) fn set(&mut self, at: Timestamp, timer: Timer) {
        self.0.insert((at, timer));
    }

    pub(crate) fn clear(&mut self, at: Timestamp, timer: Timer) {
        self.0.remove(&(at, timer));
    }

    pub(crate) fn next(&self) -> Option<Timestamp> {
        self.0.first().map(|(at, _)| *at)
    }

    /// Removes and returns the first expired timer.
    pub(crate) fn pop(&mut self, now: Timestamp) -> Option<Timer> {
        self.next()?.is_past(now).then(|| self.0.pop_first())?.map(|(_, timer)| timer)
    }
}

/// A kind that tasks of a job have, with the settings that were in force when the job arrived.
#[derive(Clone, Debug)]
pub(crate) struct Class {
    pub(crate) kind: id::Kind,
    pub(crate) settings: settings::Kind,
}

/// Phase of a job without a final outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The job waits for its claim; none of its tasks is queued.
    Claiming,
    /// The job waits for the outcome of another job here with the same request id.
    Following,
    /// Its tasks are queued, in flight or answered.
    Running,
}

/// A job without a final outcome.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) submission: Submission,
    pub(crate) arrived: Timestamp,
    pub(crate) phase: Phase,
    /// Key of the claim's row; `None` if the job needs no claim.
    pub(crate) key: Option<claim::Key>,
    /// Digest of the tasks if the job needs a claim, 0 otherwise.
    pub(crate) digest: u64,
    /// Jobs in [`Phase::Following`] that wait for the outcome of this one.
    pub(crate) followers: Vec<u64>,
    /// Calls that wait for the outcome.
    pub(crate) callers: Vec<id::Caller>,
    /// The distinct kinds of the tasks.
    pub(crate) classes: Vec<Class>,
    /// For each task, the index of its kind in `classes`.
    pub(crate) class_of: Vec<u16>,
    pub(crate) answers: Vec<Option<Answer>>,
    pub(crate) unanswered: usize,
    /// Indexes of the tasks to start, by service, in the order of their start.
    pub(crate) queued: BTreeMap<id::Service, VecDeque<u32>>,
    /// Starts without a result.
    pub(crate) in_flight: u32,
    /// Finished starts that ran or may have run.
    pub(crate) ran: u32,
    /// History of the tasks with a start that was proven not to have run.
    pub(crate) history: HashMap<u32, History>,
    /// Queue space that the job uses.
    pub(crate) occupancy: Occupancy,
}

impl Job {
    /// Returns whether any start may have run.
    pub(crate) fn has_started(&self) -> bool {
        self.in_flight > 0 || self.ran > 0
    }

    pub(crate) fn class(&self, task: u32) -> &Class {
        &self.classes[usize::from(self.class_of[task as usize])]
    }

    fn payload_bytes(&self, task: u32) -> u64 {
        self.submission.tasks[task as usize].payload.len() as u64
    }
}

/// A start without a result. Its job may have ended.
#[derive(Debug)]
pub(crate) struct Start {
    pub(crate) job: u64,
    pub(crate) task: u32,
    pub(crate) service: id::Service,
    pub(crate) target: id::Target,
    pub(crate) worker: id::Worker,
    pub(crate) rack: id::Rack,
    pub(crate) address: SocketAddr,
    pub(crate) team: id::Team,
    pub(crate) kind: id::Kind,
    /// Maximum size of the answer, in bytes.
    pub(crate) max_answer: u64,
    pub(crate) started_at: Timestamp,
    pub(crate) deadline: Timestamp,
    /// Time at which the target is queried about the start; `lost_at` if no query is to follow.
    pub(crate) query_at: Timestamp,
    pub(crate) lost_at: Timestamp,
    pub(crate) queried: bool,
}

/// Consecutive connection failures after which a target counts as unreachable.
const MAX_CONNECT_FAILURES: u32 = 3;

/// Minimum delay before the first trial of an unreachable target, which may then run a single task
/// at a time until a connection succeeds. Doubles with each failed trial.
const FIRST_TRIAL_DELAY: Millis = Millis::new(250);

/// Upper bound of the doubled delay, so that a target that is reachable again is soon used again.
/// [`retry::jittered`] adds up to the same time once more.
const MAX_TRIAL_DELAY: Millis = Millis::new(1_000);

/// Whether a target can be connected to.
#[derive(Debug, Default)]
pub(crate) struct Reachability {
    failures: u32,
    /// Earliest time of the next trial; `None` if the target is not known to be unreachable.
    trial_at: Option<Timestamp>,
}

/// Slots of usable targets that this instance holds, and those of them without a start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct HeldSlots {
    pub(crate) held: u32,
    pub(crate) free: u32,
}

/// Last known load of a target, updated by the starts of this instance since then.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ObservedLoad {
    /// Tasks that run on the target.
    pub(crate) busy: u32,
    /// Time of the answer or refusal that showed the load.
    pub(crate) at: Timestamp,
}

impl ObservedLoad {
    /// Returns the expected load in units of 1 / [`TASK_ARRIVAL_US`] tasks. It grows with the age
    /// of the observation, because other instances start tasks on the target meanwhile.
    pub(crate) fn expected(self, now: Timestamp) -> u64 {
        u64::from(self.busy) * TASK_ARRIVAL_US + now.since(self.at).get()
    }

    /// Returns a sort key in the order of the expected load. It is independent of the current time,
    /// so that indexes stay valid.
    const fn key(self) -> i64 {
        (self.busy as u64 * TASK_ARRIVAL_US) as i64 - self.at.as_micros() as i64
    }
}

/// Assumed interval between starts of other instances on a target, in microseconds. Longer
/// intervals lead to more refusals without better response times.
pub(crate) const TASK_ARRIVAL_US: u64 = 30_000;

/// A target that is on the instance list or has starts in flight.
#[derive(Debug)]
pub(crate) struct TargetRow {
    pub(crate) target: Target,
    pub(crate) listed: bool,
    /// Whether the list, the target itself or a peer has reported that the target is leaving.
    pub(crate) leaving: bool,
    /// Whether the settings in force evacuate the data centre of the target.
    pub(crate) evacuated: bool,
    /// Starts without a result.
    pub(crate) starts: BTreeSet<id::Start>,
    /// Id of the last start, which orders equally loaded targets by least recent use.
    pub(crate) last_start: u64,
    pub(crate) reachability: Reachability,
    /// Slots held by this instance; `None` if it may use all of them.
    pub(crate) held: Option<Slots>,
    /// Load shown by the last answer or refusal of the target.
    pub(crate) observed_load: Option<ObservedLoad>,
    /// Time until which the target gets no start after a refusal.
    pub(crate) avoid_until: Timestamp,
    /// Key in [`Tables::observed_targets`], if the target is there.
    observed_key: Option<(i64, id::Target)>,
    /// Contribution of this target to [`Tables::held_slots`].
    counted_slots: HeldSlots,
    /// Key in [`Tables::free_targets`], if the target is there.
    free_key: Option<FreeKey>,
    /// Whether [`Tables::capacities`] counts the target as usable.
    is_usable: bool,
    /// Whether [`Tables::capacities`] counts the target as withheld.
    is_withheld: bool,
}

impl TargetRow {
    fn new(target: Target) -> Self {
        Self {
            target,
            listed: false,
            leaving: false,
            evacuated: false,
            starts: BTreeSet::new(),
            last_start: 0,
            reachability: Reachability::default(),
            held: None,
            observed_load: None,
            avoid_until: Timestamp::default(),
            observed_key: None,
            counted_slots: HeldSlots::default(),
            free_key: None,
            is_usable: false,
            is_withheld: false,
        }
    }

    /// Returns whether the instances of the data centre divide the slots of the target: not if it
    /// accepts no tasks.
    pub(crate) const fn is_divided(&self) -> bool {
        self.listed && !self.leaving && !self.evacuated
    }

    pub(crate) fn in_flight(&self) -> u32 {
        self.starts.len() as u32
    }
}

/// Sort key of the free targets of a service: least loaded first, then least recently used. The
/// load is [`ObservedLoad::key`] if known, otherwise the number of this instance's starts in
/// flight.
pub(crate) type FreeKey = (i64, u64, id::Target);

/// Queue space and starts in flight of a team.
#[derive(Debug, Default)]
pub(crate) struct Team {
    pub(crate) occupancy: Occupancy,
    pub(crate) in_flight: u32,
}

/// Usage of the quotas at an instance according to its last reports.
#[derive(Debug, Default)]
pub(crate) struct QuotaUsage {
    /// When its last report was received, or made if it is this instance.
    pub(crate) received_at: Timestamp,
    /// Tasks that are queued or in flight, by team.
    pub(crate) demands: HashMap<id::Team, u64>,
}

/// Another entry instance.
#[derive(Debug)]
pub(crate) struct PeerRow {
    /// Its entry on the instance list, if any.
    pub(crate) listed: Option<Peer>,
    /// When its newest report was made; `None` before the first one.
    pub(crate) reported_at: Option<Timestamp>,
}

/// A final outcome within its retention.
#[derive(Debug)]
pub(crate) struct Finished {
    pub(crate) team: id::Team,
    pub(crate) outcome: Arc<Outcome>,
    /// Key of the claim, if the outcome also answers resubmissions of the request.
    pub(crate) key: Option<claim::Key>,
    /// Digest of the tasks if the job needed a claim, 0 otherwise.
    pub(crate) digest: u64,
    /// Whether the outcome has been sent to a caller.
    pub(crate) is_fetched: bool,
    /// Size of the outcome, which counts towards [`Options::max_finished`].
    pub(crate) bytes: u64,
}

/// State of an instance that the engine and the dispatch module share.
#[derive(Debug)]
pub(crate) struct Tables {
    pub(crate) options: Options,
    /// Time of the event being handled. Small backward steps of the clock are ignored, larger ones
    /// are accepted.
    pub(crate) now: Timestamp,
    pub(crate) settings: Option<Arc<settings::Tree>>,
    pub(crate) rng: StdRng,
    pub(crate) jobs: BTreeMap<u64, Job>,
    pub(crate) finished: HashMap<u64, Finished>,
    pub(crate) starts: HashMap<id::Start, Start>,
    pub(crate) targets: BTreeMap<id::Target, TargetRow>,
    pub(crate) teams: HashMap<id::Team, Team>,
    pub(crate) peers: BTreeMap<id::Instance, PeerRow>,
    /// For each claimed request, the newest job here.
    pub(crate) requests: HashMap<claim::Key, u64>,
    /// For each waiting call, the job whose outcome it waits for.
    pub(crate) waiting: HashMap<id::Caller, u64>,
    /// The instance list merged with the leaving marks reported by targets and peers.
    pub(crate) view: View,
    /// Queue of the jobs with waiting tasks, by service.
    pub(crate) queues: BTreeMap<id::Service, Queue>,
    /// Teams that use all of this instance's part of their quota; the queues skip them.
    pub(crate) blocked: HashSet<id::Team>,
    /// Last reported usage of the quotas by each known instance, this one included.
    pub(crate) quota_usages: HashMap<id::Instance, QuotaUsage>,
    /// Cache of this instance's part of each quota, cleared when reports, the list or the settings
    /// change.
    pub(crate) quota_parts: HashMap<id::Team, Slots>,
    pub(crate) estimator: Estimator,
    /// Slots of usable targets that this instance holds, by service.
    pub(crate) held_slots: HashMap<id::Service, HeldSlots>,
    /// Usable targets with an observed load and fewer own starts than slots, by service, least
    /// expected load first.
    pub(crate) observed_targets: HashMap<id::Service, BTreeSet<(i64, id::Target)>>,
    /// Demand of each instance by service, derived from its reports.
    pub(crate) demands: BTreeMap<id::Service, BTreeMap<id::Instance, share::Demand>>,
    /// Whether [`Timer::Report`] is set.
    pub(crate) is_report_planned: bool,
    /// Whether a periodic report has been made.
    pub(crate) has_reported: bool,
    /// The last report made, periodic or for a broadcast.
    pub(crate) report: Option<peer::Report>,
    /// Schedule of the exchanges of reports; `None` if the instance makes no reports.
    pub(crate) schedule: Option<Schedule>,
    /// Selects the teams whose usage the next report lists.
    pub(crate) selection: Selection,
    /// Jobs with waiting tasks, by service.
    pub(crate) ready: BTreeMap<id::Service, BTreeSet<u64>>,
    /// Usable targets with a free slot held by this instance, by service.
    pub(crate) free_targets: HashMap<id::Service, BTreeSet<FreeKey>>,
    /// Capacity of the listed targets, by service.
    pub(crate) capacities: HashMap<id::Service, Capacity>,
    /// Services of which queued tasks may have lost their last target since the engine last took
    /// this list.
    pub(crate) reduced_services: Vec<id::Service>,
    pub(crate) detectors: HashMap<id::Service, Detector>,
    pub(crate) budget: Budget,
    pub(crate) runtimes: Runtimes,
    pub(crate) timers: Timers,
    pub(crate) counters: Counters,
    pub(crate) occupancy: Occupancy,
    /// Jobs whose final outcome has been sent to a caller, oldest first.
    pub(crate) fetched: VecDeque<u64>,
    /// Total size of the retained final outcomes.
    pub(crate) finished_bytes: u64,
    /// Number of retained final outcomes that have not been sent to a caller.
    pub(crate) unfetched: usize,
    next_job: u64,
    next_start: u64,
}

impl Tables {
    pub(crate) fn new(options: Options) -> Self {
        let (own, here) = (options.instance.clone(), options.data_centre.clone());
        let schedule = options.report_interval.map(|every| Schedule::new(own, here, every));
        Self {
            now: Timestamp::default(),
            settings: None,
            rng: StdRng::seed_from_u64(options.seed),
            options,
            jobs: BTreeMap::new(),
            finished: HashMap::new(),
            starts: HashMap::new(),
            targets: BTreeMap::new(),
            teams: HashMap::new(),
            peers: BTreeMap::new(),
            requests: HashMap::new(),
            waiting: HashMap::new(),
            view: View::new(membership::Options::default()),
            queues: BTreeMap::new(),
            blocked: HashSet::new(),
            quota_usages: HashMap::new(),
            quota_parts: HashMap::new(),
            estimator: Estimator::default(),
            held_slots: HashMap::new(),
            observed_targets: HashMap::new(),
            demands: BTreeMap::new(),
            is_report_planned: false,
            has_reported: false,
            report: None,
            schedule,
            selection: Selection::default(),
            ready: BTreeMap::new(),
            free_targets: HashMap::new(),
            capacities: HashMap::new(),
            reduced_services: Vec::new(),
            detectors: HashMap::new(),
            budget: Budget::new(Permille::new(0), Timestamp::default()),
            runtimes: Runtimes::default(),
            timers: Timers::default(),
            counters: Counters::default(),
            occupancy: Occupancy::default(),
            fetched: VecDeque::new(),
            finished_bytes: 0,
            unfetched: 0,
            next_job: 1,
            next_start: 1,
        }
    }

    pub(crate) fn job_id(&self, sequence: u64) -> id::Job {
        id::Job::new(self.options.instance.clone(), sequence)
    }

    pub(crate) fn next_sequence(&mut self) -> u64 {
        let sequence = self.next_job;
        self.next_job += 1;
        sequence
    }

    /// Returns a random retry time, one to two `span`s from now.
    pub(crate) fn retry_time(&mut self, span: Millis) -> Timestamp {
        retry::jittered(&mut self.rng, self.now, span)
    }

    /// Returns whether a start with this id was ever emitted.
    pub(crate) fn is_emitted(&self, start: id::Start) -> bool {
        (1..self.next_start).contains(&start.get())
    }

    /// Adds a job and its deadline timer without queueing its tasks.
    pub(crate) fn insert_job(&mut self, sequence: u64, job: Job) {
        self.timers.set(job.submission.deadline, Timer::Job(sequence));
        for caller in &job.callers {
            self.waiting.insert(*caller, sequence);
        }
        self.jobs.insert(sequence, job);
    }

    /// Counts all tasks of a job as queue space before they are queued.
    pub(crate) fn reserve(&mut self, sequence: u64) {
        let Some(job) = self.jobs.get_mut(&sequence) else { return };
        job.occupancy = Occupancy::of(&job.submission);
        let occupancy = job.occupancy;
        self.update_occupancy(sequence, Occupancy::default(), occupancy);
    }

    /// Replaces `old` by `new` in the queue space of the instance and of the job's team.
    fn update_occupancy(&mut self, sequence: u64, old: Occupancy, new: Occupancy) {
        let Some(job) = self.jobs.get(&sequence) else { return };
        let team = self.teams.entry(job.submission.team.clone()).or_default();
        for occupancy in [&mut team.occupancy, &mut self.occupancy] {
            occupancy.tasks = occupancy.tasks + new.tasks - old.tasks;
            occupancy.bytes = occupancy.bytes + new.bytes - old.bytes;
        }
    }

    /// Queues all tasks of a job.
    pub(crate) fn enqueue_all(&mut self, sequence: u64) {
        let Some(job) = self.jobs.get(&sequence) else { return };
        // Longest tasks first: the shorter ones then finish while the longest still run.
        let mean = |task: &u32| {
            let declared = job.submission.tasks[*task as usize].declared;
            self.estimator.mean(&job.submission.team, &job.class(*task).kind, declared)
        };
        let mut tasks: Vec<u32> = (0..job.class_of.len() as u32).collect();
        tasks.sort_by_cached_key(|task| Reverse(mean(task)));
        for task in tasks {
            self.push_task(sequence, task);
        }
        let queued = self.jobs.get(&sequence).map(|job| job.queued.keys().cloned().collect());
        let services: Vec<id::Service> = queued.unwrap_or_default();
        for service in services {
            self.reorder(sequence, &service);
        }
    }

    /// Queues a task again, behind the waiting tasks of its job.
    pub(crate) fn enqueue(&mut self, sequence: u64, task: u32) {
        let Some(job) = self.jobs.get_mut(&sequence) else { return };
        let space = Occupancy { tasks: 1, bytes: job.payload_bytes(task) };
        job.occupancy.tasks += space.tasks;
        job.occupancy.bytes += space.bytes;
        let service = job.class(task).settings.service.clone();
        self.update_occupancy(sequence, Occupancy::default(), space);
        self.push_task(sequence, task);
        self.reorder(sequence, &service);
    }

    fn push_task(&mut self, sequence: u64, task: u32) {
        let Some(job) = self.jobs.get_mut(&sequence) else { return };
        let service = job.class(task).settings.service.clone();
        let queue = job.queued.entry(service.clone()).or_default();
        if queue.is_empty() {
            self.ready.entry(service.clone()).or_default().insert(sequence);
        }
        queue.push_back(task);
    }

    /// Updates the position of a job in the queue of a service from its waiting tasks.
    fn reorder(&mut self, sequence: u64, service: &id::Service) {
        let Some(job) = self.jobs.get(&sequence) else { return };
        let Some(tasks) = job.queued.get(service) else { return };
        let Some(first) = tasks.front() else { return };
        let class = job.class(*first);
        let team = &job.submission.team;
        let declared = job.submission.tasks[*first as usize].declared;
        let work = self.estimator.mean(team, &class.kind, declared);
        let entry = queue::Entry {
            job: sequence,
            team: team.clone(),
            urgency: class.settings.urgency,
            arrived: job.arrived,
            deadline: job.submission.deadline,
            tasks: tasks.len() as u32,
            work: Millis::new(work.get() / 1_000),
        };
        let weight =
            self.settings.as_ref().and_then(|tree| tree.teams.get(team)).map_or(1, |t| t.weight);
        if !self.queues.contains_key(service) {
            self.queues.insert(service.clone(), Queue::new(queue::Options::default()));
        }
        let Some(queue) = self.queues.get_mut(service) else { return };
        if queue.get(sequence).is_none() {
            queue.set_weight(team, weight);
        }
        queue.insert(entry);
    }

    /// Lets the queues offer the waiting tasks of a team again.
    pub(crate) fn unblock(&mut self, team: &id::Team) {
        if self.blocked.remove(team) {
            for queue in self.queues.values_mut() {
                queue.set_blocked(team, false);
            }
        }
    }

    /// Makes the queues skip the waiting tasks of a team whose quota part is used up, until one of
    /// its tasks ends or the quota parts are recomputed.
    pub(crate) fn block(&mut self, team: &id::Team) {
        if self.blocked.insert(team.clone()) {
            for queue in self.queues.values_mut() {
                queue.set_blocked(team, true);
            }
        }
    }

    /// Clears the cached quota parts, which are recomputed on demand, and unblocks all teams.
    pub(crate) fn invalidate_quota_parts(&mut self) {
        self.quota_parts.clear();
        for team in self.blocked.clone() {
            self.unblock(&team);
        }
    }

    /// Drops the reported quota usage of unknown instances and clears the cached quota parts.
    pub(crate) fn forget_quota_usages(&mut self) {
        let (own, peers) = (&self.options.instance, &self.peers);
        self.quota_usages.retain(|instance, _| instance == own || peers.contains_key(instance));
        self.invalidate_quota_parts();
    }

    /// Removes and returns the first waiting task of a job for a service.
    fn dequeue(&mut self, sequence: u64, service: &id::Service) -> Option<u32> {
        let job = self.jobs.get_mut(&sequence)?;
        let queue = job.queued.get_mut(service)?;
        let task = queue.pop_front()?;
        let is_last = queue.is_empty();
        if is_last {
            job.queued.remove(service);
        }
        let space = Occupancy { tasks: 1, bytes: job.payload_bytes(task) };
        job.occupancy.tasks -= space.tasks;
        job.occupancy.bytes -= space.bytes;
        self.update_occupancy(sequence, space, Occupancy::default());
        if is_last {
            self.remove_from_ready(sequence, service);
        } else {
            self.reorder(sequence, service);
        }
        Some(task)
    }

    fn remove_from_ready(&mut self, sequence: u64, service: &id::Service) {
        if let Some(queue) = self.queues.get_mut(service) {
            queue.remove(sequence);
        }
        if let Some(ready) = self.ready.get_mut(service) {
            ready.remove(&sequence);
            if ready.is_empty() {
                self.ready.remove(service);
            }
        }
    }

    /// Removes a job and its queue entries in time linear in its tasks.
    pub(crate) fn remove_job(&mut self, sequence: u64) -> Option<Job> {
        let occupancy = self.jobs.get(&sequence)?.occupancy;
        self.update_occupancy(sequence, occupancy, Occupancy::default());
        let job = self.jobs.remove(&sequence)?;
        for service in job.queued.keys() {
            self.remove_from_ready(sequence, service);
        }
        self.timers.clear(job.submission.deadline, Timer::Job(sequence));
        for caller in &job.callers {
            self.waiting.remove(caller);
        }
        Some(job)
    }

    /// Starts the first waiting task of a job for a service on a target and appends the command to
    /// `out`.
    pub(crate) fn start(
        &mut self,
        sequence: u64,
        service: &id::Service,
        target: &id::Target,
        out: &mut Vec<Command>,
    ) {
        let Some(target_row) = self.targets.get(target) else { return };
        let (worker, rack) = (target_row.target.worker.clone(), target_row.target.rack.clone());
        let address = target_row.target.address;
        let Some(task) = self.dequeue(sequence, service) else { return };
        let Some(job) = self.jobs.get_mut(&sequence) else { return };
        let start = id::Start::new(self.next_start);
        self.next_start += 1;
        job.in_flight += 1;
        let class = job.class(task);
        let order = Order {
            start,
            job: id::Job::new(self.options.instance.clone(), sequence),
            task,
            target: target.clone(),
            address,
            team: job.submission.team.clone(),
            kind: class.kind.clone(),
            deadline: job.submission.deadline,
            payload: job.submission.tasks[task as usize].payload.clone(),
            max_answer: class.settings.max_answer_bytes,
            trace: job.submission.trace.clone(),
        };
        let declared = job.submission.tasks[task as usize].declared;
        if !job.history.contains_key(&task) {
            self.budget.earn(self.now);
        }
        let silence = self.runtimes.silence_timeout(&order.team, &order.kind, declared);
        let lost_at = order.deadline.plus(LOST_AFTER);
        let query_at = self.now.plus_micros(silence);
        let row = Start {
            job: sequence,
            task,
            service: service.clone(),
            target: target.clone(),
            worker,
            rack,
            address,
            team: order.team.clone(),
            kind: order.kind.clone(),
            max_answer: order.max_answer.get(),
            started_at: self.now,
            deadline: order.deadline,
            query_at: if query_at < order.deadline { query_at } else { lost_at },
            lost_at,
            queried: false,
        };
        self.teams.entry(order.team.clone()).or_default().in_flight += 1;
        if let Some(queue) = self.queues.get_mut(service) {
            queue.begin(&order.team);
        }
        self.timers.set(row.query_at, Timer::Start(start));
        self.starts.insert(start, row);
        if let Some(row) = self.targets.get_mut(target) {
            row.starts.insert(start);
            if let Some(observed) = &mut row.observed_load {
                observed.busy += 1;
            }
            row.last_start = start.get();
        }
        self.index_target(target);
        self.counters.starts += 1;
        out.push(Command::Start(Box::new(order)));
    }

    /// Removes a start and frees its slot. Its job counts it as having run unless `is_not_run`.
    pub(crate) fn end_start(&mut self, id: id::Start, is_not_run: bool) -> Option<Start> {
        let start = self.starts.remove(&id)?;
        self.timers.clear(start.query_at, Timer::Start(id));
        if let Some(team) = self.teams.get_mut(&start.team) {
            team.in_flight -= 1;
        }
        self.unblock(&start.team);
        if let Some(queue) = self.queues.get_mut(&start.service) {
            queue.end(&start.team);
        }
        if let Some(job) = self.jobs.get_mut(&start.job) {
            job.in_flight -= 1;
            job.ran += u32::from(!is_not_run);
        }
        if let Some(row) = self.targets.get_mut(&start.target) {
            row.starts.remove(&id);
            if let Some(observed) = &mut row.observed_load {
                observed.busy = observed.busy.saturating_sub(1);
            }
        }
        self.index_target(&start.target);
        Some(start)
    }

    /// Updates the target indexes from a target's row, and removes the row if the target is neither
    /// listed nor in use.
    pub(crate) fn index_target(&mut self, id: &id::Target) {
        let Some(row) = self.targets.get_mut(id) else { return };
        let state = match self.detectors.get(&row.target.service) {
            Some(detector) => detector.state(id, self.now),
            None => ejection::State::Normal,
        };
        let is_reachable = row.reachability.trial_at.is_none_or(|at| at.is_past(self.now));
        let is_ejected = matches!(state, ejection::State::Ejected(_));
        let is_capable = row.listed && !row.leaving && is_reachable && !is_ejected;
        let is_usable = is_capable && !row.evacuated;
        let is_withheld = is_capable && row.evacuated;
        let is_trial = row.reachability.trial_at.is_some() || state == ejection::State::Trial;
        let slots = if is_trial { 1 } else { row.target.slots.get() };
        let held = row.held.map_or(slots, |held| held.get().min(slots));
        let is_free = is_usable && row.in_flight() < held;
        let load = row.observed_load.map_or(i64::from(row.in_flight()), ObservedLoad::key);
        let key = is_free.then(|| (load, row.last_start, id.clone()));
        let service = &row.target.service;
        let counted_slots = if is_usable {
            HeldSlots { held, free: held.saturating_sub(row.in_flight()) }
        } else {
            HeldSlots::default()
        };
        if counted_slots != row.counted_slots {
            let total = self.held_slots.entry(service.clone()).or_default();
            total.held = total.held + counted_slots.held - row.counted_slots.held;
            total.free = total.free + counted_slots.free - row.counted_slots.free;
            row.counted_slots = counted_slots;
        }
        let is_observed = is_usable && !is_trial && row.in_flight() < slots;
        let observed_key =
            row.observed_load.filter(|_| is_observed).map(|observed| (observed.key(), id.clone()));
        if observed_key != row.observed_key {
            let observed = self.observed_targets.entry(service.clone()).or_default();
            if let Some(old) = row.observed_key.take() {
                observed.remove(&old);
            }
            if let Some(new) = &observed_key {
                observed.insert(new.clone());
            }
            row.observed_key = observed_key;
        }
        if key != row.free_key {
            let free = self.free_targets.entry(service.clone()).or_default();
            if let Some(old) = row.free_key.take() {
                free.remove(&old);
            }
            if let Some(new) = &key {
                free.insert(new.clone());
            }
            row.free_key = key;
        }
        if is_usable != row.is_usable {
            row.is_usable = is_usable;
            let capacity = self.capacities.entry(service.clone()).or_default();
            if is_usable {
                capacity.usable += 1;
            } else {
                capacity.usable -= 1;
                if capacity.usable == 0 {
                    self.reduced_services.push(service.clone());
                }
            }
        }
        if is_withheld != row.is_withheld {
            row.is_withheld = is_withheld;
            let capacity = self.capacities.entry(service.clone()).or_default();
            if is_withheld {
                capacity.withheld += 1;
            } else {
                capacity.withheld -= 1;
            }
        }
        if !row.listed && row.starts.is_empty() {
            let row = self.targets.remove(id);
            if let Some(detector) = row.and_then(|row| self.detectors.get_mut(&row.target.service))
            {
                detector.remove(id, self.now);
            }
        }
    }

    /// Applies the targets of a new instance list. Returns the starts in flight on targets that are
    /// not on it.
    pub(crate) fn list_targets(&mut self, targets: Vec<Target>) -> Vec<id::Start> {
        for row in self.targets.values_mut() {
            row.listed = false;
        }
        for target in targets {
            let id = target.id.clone();
            let is_marked = self.view.target(&id, self.now) == membership::State::Leaving;
            if self.targets.get(&id).is_some_and(|row| row.target.service != target.service) {
                // The indexes are keyed by service, so remove the row from those of the old
                // service.
                self.index_target(&id);
            }
            let row = self.targets.entry(id).or_insert_with(|| TargetRow::new(target.clone()));
            row.leaving = is_marked;
            row.target = target;
            row.listed = true;
        }
        let unlisted = self.targets.values().filter(|row| !row.listed);
        let orphans = unlisted.flat_map(|row| &row.starts).copied().collect();
        self.apply_evacuation();
        orphans
    }

    /// Updates the target rows, the capacities and the target indexes from the data centres that
    /// the settings evacuate.
    pub(crate) fn apply_evacuation(&mut self) {
        let fleet = self.settings.as_ref().map(|tree| &tree.fleet);
        for row in self.targets.values_mut() {
            let here = &row.target.data_centre;
            row.evacuated = fleet.is_some_and(|fleet| fleet.evacuated_data_centres.contains(here));
        }
        for capacity in self.capacities.values_mut() {
            capacity.clear();
        }
        for row in self.targets.values().filter(|row| row.listed) {
            let target = &row.target;
            let capacity = self.capacities.entry(target.service.clone()).or_default();
            capacity.add(target.slots, target.offer(), row.evacuated);
        }
        let ids: Vec<id::Target> = self.targets.keys().cloned().collect();
        for id in ids {
            self.index_target(&id);
        }
        let has_evacuated = |capacity: &Capacity| capacity.open_targets < capacity.targets;
        let reduced = self.capacities.iter().filter(|(_, capacity)| has_evacuated(capacity));
        self.reduced_services.extend(reduced.map(|(service, _)| service.clone()));
    }

    /// Plans a broadcast of new marks to the peers in the scope.
    pub(crate) fn plan_broadcast(&mut self, scope: Scope) {
        if let Some(schedule) = &mut self.schedule {
            schedule.broadcast(scope, self.now);
        }
    }

    /// Applies new leaving marks to the target rows and plans a broadcast to the peers in the
    /// scope, if any. Returns whether a target is newly leaving, in which case the caller has to
    /// divide the slots again.
    pub(crate) fn apply_marks(&mut self, scope: Option<Scope>) -> bool {
        if !self.view.take_marked() {
            return false;
        }
        let is_new = |(id, row): &(&id::Target, &TargetRow)| {
            !row.leaving && self.view.target(id, self.now) == membership::State::Leaving
        };
        let marked = self.targets.iter().filter(is_new);
        let marked: Vec<id::Target> = marked.map(|(id, _)| id.clone()).collect();
        let has_marked = !marked.is_empty();
        for id in marked {
            if let Some(row) = self.targets.get_mut(&id) {
                row.leaving = true;
            }
            self.index_target(&id);
        }
        if let Some(scope) = scope {
            self.plan_broadcast(scope);
        }
        has_marked
    }

    /// Records the result of a connection attempt to a target, and schedules a trial after several
    /// failures.
    pub(crate) fn note_connect(&mut self, target: &id::Target, is_failure: bool) {
        let Some(row) = self.targets.get_mut(target) else { return };
        if !is_failure {
            row.reachability = Reachability::default();
        } else {
            // Starts in flight at the same time fail together, so they count as one failure.
            let is_repeat = row.reachability.trial_at.is_some_and(|at| !at.is_past(self.now));
            if is_repeat {
                return;
            }
            row.reachability.failures += 1;
            if row.reachability.failures >= MAX_CONNECT_FAILURES {
                let doublings = (row.reachability.failures - MAX_CONNECT_FAILURES).min(16);
                let span = Millis::new(FIRST_TRIAL_DELAY.get() << doublings).min(MAX_TRIAL_DELAY);
                let trial_at = retry::jittered(&mut self.rng, self.now, span);
                row.reachability.trial_at = Some(trial_at);
                self.timers.set(trial_at, Timer::Target(target.clone()));
            }
        }
        self.index_target(target);
    }

    /// Records a result for the ejection of failing targets.
    pub(crate) fn note_result(&mut self, start: &Start, is_failure: bool) {
        let Some(row) = self.targets.get(&start.target) else { return };
        let service = &row.target.service;
        let max_ejected =
            self.settings.as_ref().map_or(Permille::new(0), |tree| tree.fleet.max_ejected_permille);
        if !self.detectors.contains_key(service) {
            let detector = Detector::new(ejection::Options::default());
            self.detectors.insert(service.clone(), detector);
        }
        let Some(detector) = self.detectors.get_mut(service) else { return };
        let targets = self.capacities.get(service).map_or(0, |capacity| capacity.open_targets);
        let class = (start.team.clone(), start.kind.clone());
        detector.set_max_ejected(max_ejected);
        if detector.record(&start.target, &class, is_failure, targets as usize, self.now) {
            if let ejection::State::Ejected(trial_at) = detector.state(&start.target, self.now) {
                self.timers.set(trial_at, Timer::Target(start.target.clone()));
            }
            self.index_target(&start.target);
        }
    }

    /// Stores a final outcome until `forget_at`. Outcomes already sent to a caller are dropped
    /// earlier, oldest first, while the total size exceeds [`Options::max_finished`].
    pub(crate) fn keep(&mut self, sequence: u64, finished: Finished, forget_at: Timestamp) {
        self.finished_bytes += finished.bytes;
        if finished.is_fetched {
            self.fetched.push_back(sequence);
        } else {
            self.unfetched += 1;
        }
        self.finished.insert(sequence, finished);
        self.timers.set(forget_at, Timer::Forget(sequence));
        self.trim_finished();
    }

    fn trim_finished(&mut self) {
        while self.finished_bytes > self.options.max_finished.get()
            && let Some(oldest) = self.fetched.pop_front()
        {
            self.forget(oldest);
        }
    }

    /// Records that a final outcome has been sent to a caller.
    pub(crate) fn mark_fetched(&mut self, sequence: u64) {
        if let Some(finished) = self.finished.get_mut(&sequence)
            && !finished.is_fetched
        {
            finished.is_fetched = true;
            self.unfetched -= 1;
            self.fetched.push_back(sequence);
            self.trim_finished();
        }
    }

    pub(crate) fn forget(&mut self, sequence: u64) {
        let Some(finished) = self.finished.remove(&sequence) else { return };
        while self.fetched.front().is_some_and(|oldest| !self.finished.contains_key(oldest)) {
            self.fetched.pop_front();
        }
        self.finished_bytes -= finished.bytes;
        if !finished.is_fetched {
            self.unfetched -= 1;
        }
        if let Some(key) = finished.key
            && self.requests.get(&key) == Some(&sequence)
        {
            self.requests.remove(&key);
        }
    }

    /// Records a start that was proven not to have run, with its target, worker and rack, in the
    /// history of its task.
    pub(crate) fn note_not_run(&mut self, start: &Start) {
        let Some(job) = self.jobs.get_mut(&start.job) else { return };
        let (attempts, waits) = job
            .history
            .get(&start.task)
            .map_or((0, 0), |history| (history.attempts, history.waits));
        let history = History {
            attempts: attempts + 1,
            waits,
            target: start.target.clone(),
            worker: start.worker.clone(),
            rack: start.rack.clone(),
        };
        job.history.insert(start.task, history);
    }

    /// Counts a wait before the next start of a task.
    pub(crate) fn note_wait(&mut self, sequence: u64, task: u32) {
        if let Some(job) = self.jobs.get_mut(&sequence)
            && let Some(history) = job.history.get_mut(&task)
        {
            history.waits += 1;
        }
    }

    /// Returns the target for the first waiting task of a job: the least loaded one with a free
    /// held slot that `accepts` and that covers the demand of the task. A retry prefers another
    /// rack, then another worker.
    pub(crate) fn choose_target(
        &self,
        sequence: u64,
        service: &id::Service,
        accepts: impl Fn(&TargetRow) -> bool,
    ) -> Option<id::Target> {
        let free = self.free_targets.get(service)?;
        let targets = free.iter().map(|(_, _, target)| target);
        self.best_candidate(
            sequence,
            service,
            targets.filter(|target| accepts(&self.targets[*target])),
        )
    }

    /// Returns a target on which fewer than `limit` tasks are expected according to its last
    /// answer, whichever instance holds its free slots.
    pub(crate) fn choose_observed(
        &self,
        sequence: u64,
        service: &id::Service,
        limit: impl Fn(&TargetRow) -> u64,
    ) -> Option<id::Target> {
        let observed = self.observed_targets.get(service)?;
        let is_idle = |target: &&id::Target| {
            let row = &self.targets[*target];
            row.avoid_until.is_past(self.now)
                && row
                    .observed_load
                    .is_some_and(|load| load.expected(self.now) < limit(row) * TASK_ARRIVAL_US)
        };
        // The key ignores the number of slots, which rarely differs, so the first rows are enough.
        let targets =
            observed.iter().map(|(_, target)| target).take(MAX_CANDIDATES).filter(is_idle);
        self.best_candidate(sequence, service, targets)
    }

    fn best_candidate<'a>(
        &self,
        sequence: u64,
        service: &id::Service,
        targets: impl Iterator<Item = &'a id::Target>,
    ) -> Option<id::Target> {
        let job = self.jobs.get(&sequence)?;
        let task = job.queued.get(service)?.front()?;
        let demand = job.submission.tasks[*task as usize].demand;
        let fits = |target: &&id::Target| {
            demand == Resources::default() || self.targets[*target].target.offer().covers(&demand)
        };
        let mut candidates = targets.filter(fits);
        let Some(history) = job.history.get(task) else { return candidates.next().cloned() };
        let rank = |target: &&id::Target| {
            let candidate = &self.targets[*target].target;
            history.rank(&candidate.id, &candidate.worker, &candidate.rack)
        };
        candidates.take(MAX_CANDIDATES).min_by_key(rank).cloned()
    }

    /// Drops the state of teams that are no longer in the settings, once their open jobs have
    /// ended.
    pub(crate) fn forget_teams(&mut self) {
        let Some(tree) = &self.settings else { return };
        let is_known = |team: &id::Team| tree.teams.contains_key(team);
        let is_idle = |row: &Team| row.occupancy == Occupancy::default() && row.in_flight == 0;
        self.teams.retain(|team, row| is_known(team) || !is_idle(row));
        self.runtimes.retain(is_known);
        self.estimator.retain(is_known);
        for detector in self.detectors.values_mut() {
            detector.retain_classes(|(team, _)| is_known(team));
        }
    }

    /// Returns the number of slots in use, summed over all targets.
    pub(crate) fn taken_slots(&self) -> usize {
        self.targets.values().map(|row| row.starts.len()).sum()
    }

    /// Returns the number of starts without a result on targets of evacuated data centres.
    pub(crate) fn evacuated_starts(&self) -> usize {
        let rows = self.targets.values().filter(|row| row.evacuated);
        rows.map(|row| row.starts.len()).sum()
    }

    /// Returns the slots of the listed targets of a service outside of evacuated data centres.
    pub(crate) fn open_slots(&self, service: &id::Service) -> Slots {
        self.capacities.get(service).map_or(Slots::new(0), |capacity| capacity.open_slots)
    }

    /// Returns the slots of all listed targets of a service.
    pub(crate) fn slots(&self, service: &id::Service) -> Slots {
        self.capacities.get(service).map_or(Slots::new(0), |capacity| capacity.slots)
    }
}
