//! The tables of one entry instance and their accounting.
//!
//! Rows are plain data. The functions here keep the queue, the counts and the indexes consistent
//! with the rows; decisions belong to the systems.

use crate::admission::{Capacity, Occupancy, Runtimes};
use crate::claim;
use crate::ejection::{self, Detector};
use crate::estimate::Estimator;
use crate::event::{Command, Counters, Options, Peer, Target};
use crate::exchange::{Schedule, Scope, Selection};
use crate::id;
use crate::job::{Demand, Submission};
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

/// Time after its deadline for which a start may stay without a result. The embedding program
/// reports every start well before; the bound keeps a fault there from using up slots for ever.
const LOST_AFTER: Millis = Millis::new(30_000);

/// Free targets that are looked at for a retry.
const MAX_CANDIDATES: usize = 32;

/// What is due at a point in time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// The deadline of a job.
    Job(u64),
    /// The silence bound of a start, or the time at which it counts as lost.
    Start(id::Start),
    /// The retention of a final outcome.
    Forget(u64),
    /// A task waits for the retry budget.
    Retry(u64, u32),
    /// A target may be tried again.
    Target(id::Target),
    /// A report to the peers is due.
    Report,
}

/// Deadlines in the order in which they pass.
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

    /// Removes and returns the first timer that is due.
    pub(crate) fn pop(&mut self, now: Timestamp) -> Option<Timer> {
        self.next()?.is_past(now).then(|| self.0.pop_first())?.map(|(_, timer)| timer)
    }
}

/// One kind of the tasks of a job, as it was set when the job arrived.
#[derive(Clone, Debug)]
pub(crate) struct Class {
    pub(crate) kind: id::Kind,
    pub(crate) settings: settings::Kind,
}

/// How far a job is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Waits for its claim; nothing is queued.
    Claiming,
    /// Waits for the outcome of another job here with the same request id.
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
    /// Row of the claim, if the job needs one.
    pub(crate) key: Option<claim::Key>,
    /// Digest of the tasks, if the job needs a claim.
    pub(crate) digest: u64,
    /// Jobs here that wait for the outcome of this one.
    pub(crate) followers: Vec<u64>,
    /// Calls that wait for the outcome.
    pub(crate) callers: Vec<id::Caller>,
    /// The distinct kinds.
    pub(crate) classes: Vec<Class>,
    /// Index of the class of each task.
    pub(crate) class_of: Vec<u16>,
    pub(crate) answers: Vec<Option<Answer>>,
    pub(crate) unanswered: usize,
    /// Tasks to start, by service.
    pub(crate) queued: BTreeMap<id::Service, VecDeque<u32>>,
    /// Starts without a result.
    pub(crate) in_flight: u32,
    /// Starts that ran, or may have run, to an end.
    pub(crate) ran: u32,
    /// Tasks with a start that was proven not to have run.
    pub(crate) history: HashMap<u32, History>,
    /// What the job takes up in the queue.
    pub(crate) occupancy: Occupancy,
}

impl Job {
    /// Tells whether any start may have run.
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

/// A start without a result.
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
    pub(crate) max_answer: u64,
    pub(crate) started_at: Timestamp,
    pub(crate) deadline: Timestamp,
    /// When the target is asked about the start; `lost_at` once that is done.
    pub(crate) query_at: Timestamp,
    pub(crate) lost_at: Timestamp,
    pub(crate) queried: bool,
}

/// Failures in a row to connect to a target, before it counts as unreachable.
const MAX_CONNECT_FAILURES: u32 = 3;

/// Time from the last failure to connect to the first trial. Doubles with each failed trial.
const FIRST_TRIAL: Millis = Millis::new(250);

/// Longest time between two trials of an unreachable target. A target that is back is used again
/// within this time.
const MAX_TRIAL: Millis = Millis::new(1_000);

/// Whether a target can be connected to.
#[derive(Debug, Default)]
pub(crate) struct Reach {
    failures: u32,
    /// When the next trial may be made, if the target is unreachable.
    trial_at: Option<Timestamp>,
}

/// Slots that this instance holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct HeldSlots {
    pub(crate) held: u32,
    pub(crate) free: u32,
}

/// The load of a target as it was last known, with the own starts since.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ObservedLoad {
    pub(crate) busy: u32,
    pub(crate) at: Timestamp,
}

impl ObservedLoad {
    /// Returns the expected load, times [`TASK_ARRIVAL_US`]: others take up slots as the knowledge ages.
    pub(crate) fn expected(self, now: Timestamp) -> u64 {
        u64::from(self.busy) * TASK_ARRIVAL_US + now.since(self.at).get()
    }

    /// Returns a key in the order of the expected load, which does not depend on the time.
    const fn key(self) -> i64 {
        (self.busy as u64 * TASK_ARRIVAL_US) as i64 - self.at.as_micros() as i64
    }
}

/// Time after which one more task is expected on a target, in microseconds. Longer times gave more
/// refusals in the experiment and no better response times.
pub(crate) const TASK_ARRIVAL_US: u64 = 30_000;

/// A target, on the list or with starts in flight.
#[derive(Debug)]
pub(crate) struct TargetRow {
    pub(crate) target: Target,
    pub(crate) listed: bool,
    /// Whether the list, the target or a peer says that it is leaving.
    pub(crate) leaving: bool,
    /// Starts without a result.
    pub(crate) starts: BTreeSet<id::Start>,
    /// Number of the last start, for turns among equally loaded targets.
    pub(crate) last_start: u64,
    pub(crate) reach: Reach,
    /// Slots held by this instance; all of them if nothing is set.
    pub(crate) held: Option<Slots>,
    /// The load that its last answer showed.
    pub(crate) observed_load: Option<ObservedLoad>,
    /// Until when it is left alone after a refusal.
    pub(crate) avoid_until: Timestamp,
    seen_key: Option<(i64, id::Target)>,
    counted: HeldSlots,
    /// Key in the index of free targets, if it is there.
    free_key: Option<FreeKey>,
    /// Whether it is counted as usable.
    is_usable: bool,
}

impl TargetRow {
    fn new(target: Target) -> Self {
        Self {
            target,
            listed: false,
            leaving: false,
            starts: BTreeSet::new(),
            last_start: 0,
            reach: Reach::default(),
            held: None,
            observed_load: None,
            avoid_until: Timestamp::default(),
            seen_key: None,
            counted: HeldSlots::default(),
            free_key: None,
            is_usable: false,
        }
    }

    pub(crate) fn in_flight(&self) -> u32 {
        self.starts.len() as u32
    }
}

/// Order of the free targets of a service: least loaded first, by the load that answers have shown
/// where it is known and by own starts where not, then the least recently used.
pub(crate) type FreeKey = (i64, u64, id::Target);

/// Counts of a team.
#[derive(Debug, Default)]
pub(crate) struct Team {
    pub(crate) occupancy: Occupancy,
    pub(crate) in_flight: u32,
}

/// Use of the quotas at an instance, as it was last reported.
#[derive(Debug, Default)]
pub(crate) struct QuotaUse {
    pub(crate) learnt_at: Timestamp,
    /// Tasks that are queued or in flight, by team.
    pub(crate) demands: HashMap<id::Team, u64>,
}

/// Another entry instance.
#[derive(Debug)]
pub(crate) struct PeerRow {
    /// Its entry on the list, if it is there.
    pub(crate) listed: Option<Peer>,
    /// When its newest report was made.
    pub(crate) reported_at: Option<Timestamp>,
}

/// A final outcome within its retention.
#[derive(Debug)]
pub(crate) struct Finished {
    pub(crate) team: id::Team,
    pub(crate) outcome: Arc<Outcome>,
    /// Row of the claim, if the outcome answers further submissions of the request.
    pub(crate) key: Option<claim::Key>,
    /// Digest of the tasks, if the job needed a claim.
    pub(crate) digest: u64,
    /// Whether a caller has got it.
    pub(crate) is_fetched: bool,
    pub(crate) bytes: u64,
}

/// All tables of an instance.
#[derive(Debug)]
pub(crate) struct Tables {
    pub(crate) options: Options,
    /// Time of the present event. Never falls.
    pub(crate) now: Timestamp,
    pub(crate) settings: Option<Arc<settings::Tree>>,
    pub(crate) rng: StdRng,
    pub(crate) jobs: BTreeMap<u64, Job>,
    pub(crate) finished: HashMap<u64, Finished>,
    pub(crate) starts: HashMap<id::Start, Start>,
    pub(crate) targets: BTreeMap<id::Target, TargetRow>,
    pub(crate) teams: HashMap<id::Team, Team>,
    pub(crate) peers: BTreeMap<id::Instance, PeerRow>,
    /// The newest job here of each claimed request.
    pub(crate) requests: HashMap<claim::Key, u64>,
    /// Calls that wait for a job.
    pub(crate) waiting: HashMap<id::Caller, u64>,
    /// The list merged with marks of targets and peers.
    pub(crate) view: View,
    /// Order of the jobs with queued tasks, by service.
    pub(crate) queues: BTreeMap<id::Service, Queue>,
    /// Teams that have used up their quota.
    pub(crate) blocked: HashSet<id::Team>,
    /// Last reported use of the quotas of each known instance, this one included.
    pub(crate) quota_uses: HashMap<id::Instance, QuotaUse>,
    /// Parts of the quotas computed since the reports, the list or the settings last changed.
    pub(crate) quota_parts: HashMap<id::Team, Slots>,
    pub(crate) estimator: Estimator,
    /// Slots of usable targets that this instance holds, by service.
    pub(crate) held_slots: HashMap<id::Service, HeldSlots>,
    /// Targets whose load is known, by service, the one with the least expected load first.
    pub(crate) observed_targets: HashMap<id::Service, BTreeSet<(i64, id::Target)>>,
    /// Demand of each instance by service, as it follows from its reports.
    pub(crate) demands: BTreeMap<id::Service, BTreeMap<id::Instance, share::Demand>>,
    /// Whether a report is planned.
    pub(crate) has_report: bool,
    /// Whether any report was made.
    pub(crate) has_reported: bool,
    /// The report that was made last.
    pub(crate) report: Option<peer::Report>,
    /// When to exchange reports, if at all.
    pub(crate) schedule: Option<Schedule>,
    pub(crate) selection: Selection,
    /// Jobs with queued tasks, by service.
    pub(crate) ready: BTreeMap<id::Service, BTreeSet<u64>>,
    /// Targets that may get a further start, by service.
    pub(crate) free: HashMap<id::Service, BTreeSet<FreeKey>>,
    /// What the listed targets offer, by service.
    pub(crate) capacities: HashMap<id::Service, Capacity>,
    /// Services that have just lost their last usable target.
    pub(crate) unusable_services: Vec<id::Service>,
    pub(crate) detectors: HashMap<id::Service, Detector>,
    pub(crate) budget: Budget,
    pub(crate) runtimes: Runtimes,
    pub(crate) timers: Timers,
    pub(crate) counters: Counters,
    pub(crate) occupancy: Occupancy,
    /// Final outcomes that a caller has got, oldest first.
    pub(crate) fetched: VecDeque<u64>,
    pub(crate) finished_bytes: u64,
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
            quota_uses: HashMap::new(),
            quota_parts: HashMap::new(),
            estimator: Estimator::default(),
            held_slots: HashMap::new(),
            observed_targets: HashMap::new(),
            demands: BTreeMap::new(),
            has_report: false,
            has_reported: false,
            report: None,
            schedule,
            selection: Selection::default(),
            ready: BTreeMap::new(),
            free: HashMap::new(),
            capacities: HashMap::new(),
            unusable_services: Vec::new(),
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

    /// Returns a come-back time at least `span` from now.
    pub(crate) fn retry_time(&mut self, span: Millis) -> Timestamp {
        retry::jittered(&mut self.rng, self.now, span)
    }

    /// Tells whether a start with this id was ever emitted.
    pub(crate) fn is_emitted(&self, start: id::Start) -> bool {
        (1..self.next_start).contains(&start.get())
    }

    /// Adds a job without queueing its tasks.
    pub(crate) fn insert_job(&mut self, sequence: u64, job: Job) {
        self.timers.set(job.submission.deadline, Timer::Job(sequence));
        for caller in &job.callers {
            self.waiting.insert(*caller, sequence);
        }
        self.jobs.insert(sequence, job);
    }

    /// Takes up queue space for all tasks of a job, before they are queued.
    pub(crate) fn reserve(&mut self, sequence: u64) {
        let Some(job) = self.jobs.get_mut(&sequence) else { return };
        job.occupancy = Occupancy::of(&job.submission);
        let occupancy = job.occupancy;
        self.take_space(sequence, Occupancy::default(), occupancy);
    }

    /// Replaces a part of the queue space of a job.
    fn take_space(&mut self, sequence: u64, old: Occupancy, new: Occupancy) {
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
        // The tasks that run longest start first: the wait of the others is hidden behind them.
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

    /// Queues a task again, behind the other tasks of its job.
    pub(crate) fn enqueue(&mut self, sequence: u64, task: u32) {
        let Some(job) = self.jobs.get_mut(&sequence) else { return };
        let space = Occupancy { tasks: 1, bytes: job.payload_bytes(task) };
        job.occupancy.tasks += space.tasks;
        job.occupancy.bytes += space.bytes;
        let service = job.class(task).settings.service.clone();
        self.take_space(sequence, Occupancy::default(), space);
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

    /// Brings the queue of a service up to date with the waiting tasks of a job.
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

    /// Lets the waiting tasks of a team start again after its quota was used up.
    pub(crate) fn unblock(&mut self, team: &id::Team) {
        if self.blocked.remove(team) {
            for queue in self.queues.values_mut() {
                queue.set_blocked(team, false);
            }
        }
    }

    /// Passes over the waiting tasks of a team until one of its tasks ends.
    pub(crate) fn block(&mut self, team: &id::Team) {
        if self.blocked.insert(team.clone()) {
            for queue in self.queues.values_mut() {
                queue.set_blocked(team, true);
            }
        }
    }

    /// Has the parts of the quotas computed anew at the next start of each team.
    pub(crate) fn invalidate_quota_parts(&mut self) {
        self.quota_parts.clear();
        for team in self.blocked.clone() {
            self.unblock(&team);
        }
    }

    /// Drops the reported use of instances that are no longer known.
    pub(crate) fn forget_quota_uses(&mut self) {
        let (own, peers) = (&self.options.instance, &self.peers);
        self.quota_uses.retain(|instance, _| instance == own || peers.contains_key(instance));
        self.invalidate_quota_parts();
    }

    /// Removes the first queued task of a job for a service.
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
        self.take_space(sequence, space, Occupancy::default());
        if is_last {
            self.unready(sequence, service);
        } else {
            self.reorder(sequence, service);
        }
        Some(task)
    }

    fn unready(&mut self, sequence: u64, service: &id::Service) {
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

    /// Removes a job and its queue entries. Costs O(tasks of the job).
    pub(crate) fn remove_job(&mut self, sequence: u64) -> Option<Job> {
        let occupancy = self.jobs.get(&sequence)?.occupancy;
        self.take_space(sequence, occupancy, Occupancy::default());
        let job = self.jobs.remove(&sequence)?;
        for service in job.queued.keys() {
            self.unready(sequence, service);
        }
        self.timers.clear(job.submission.deadline, Timer::Job(sequence));
        for caller in &job.callers {
            self.waiting.remove(caller);
        }
        Some(job)
    }

    /// Starts the first queued task of a job for a service on a target.
    pub(crate) fn start(
        &mut self,
        sequence: u64,
        service: &id::Service,
        target: &id::Target,
        out: &mut Vec<Command>,
    ) {
        let Some(place) = self.targets.get(target) else { return };
        let (worker, rack) = (place.target.worker.clone(), place.target.rack.clone());
        let address = place.target.address;
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
            if let Some(seen) = &mut row.observed_load {
                seen.busy += 1;
            }
            row.last_start = start.get();
        }
        self.index_target(target);
        self.counters.starts += 1;
        out.push(Command::Start(Box::new(order)));
    }

    /// Removes a start and frees its slot. Unless it is proven not to have run, its job counts it as
    /// having run.
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
            if let Some(seen) = &mut row.observed_load {
                seen.busy = seen.busy.saturating_sub(1);
            }
        }
        self.index_target(&start.target);
        Some(start)
    }

    /// Brings the indexes of targets up to date with a target's row, and drops a row that is neither
    /// listed nor in use.
    pub(crate) fn index_target(&mut self, id: &id::Target) {
        let Some(row) = self.targets.get_mut(id) else { return };
        let state = match self.detectors.get(&row.target.service) {
            Some(detector) => detector.state(id, self.now),
            None => ejection::State::Normal,
        };
        let is_reachable = row.reach.trial_at.is_none_or(|at| at.is_past(self.now));
        let is_ejected = matches!(state, ejection::State::Ejected(_));
        let is_usable = row.listed && !row.leaving && is_reachable && !is_ejected;
        let is_trial = row.reach.trial_at.is_some() || state == ejection::State::Trial;
        let slots = if is_trial { 1 } else { row.target.slots.get() };
        let held = row.held.map_or(slots, |held| held.get().min(slots));
        let is_free = is_usable && row.in_flight() < held;
        let load = row.observed_load.map_or(i64::from(row.in_flight()), ObservedLoad::key);
        let key = is_free.then(|| (load, row.last_start, id.clone()));
        let service = &row.target.service;
        let counted = if is_usable {
            HeldSlots { held, free: held.saturating_sub(row.in_flight()) }
        } else {
            HeldSlots::default()
        };
        if counted != row.counted {
            let idle = self.held_slots.entry(service.clone()).or_default();
            idle.held = idle.held + counted.held - row.counted.held;
            idle.free = idle.free + counted.free - row.counted.free;
            row.counted = counted;
        }
        let is_seen = is_usable && !is_trial && row.in_flight() < slots;
        let seen_key = row.observed_load.filter(|_| is_seen).map(|seen| (seen.key(), id.clone()));
        if seen_key != row.seen_key {
            let seen = self.observed_targets.entry(service.clone()).or_default();
            if let Some(old) = row.seen_key.take() {
                seen.remove(&old);
            }
            if let Some(new) = &seen_key {
                seen.insert(new.clone());
            }
            row.seen_key = seen_key;
        }
        if key != row.free_key {
            let free = self.free.entry(service.clone()).or_default();
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
                    self.unusable_services.push(service.clone());
                }
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

    /// Takes over the targets of the instance list. Returns the starts in flight on targets that
    /// are no longer on it.
    pub(crate) fn list_targets(&mut self, targets: Vec<Target>) -> Vec<id::Start> {
        for row in self.targets.values_mut() {
            row.listed = false;
        }
        for target in targets {
            let id = target.id.clone();
            let is_marked = self.view.target(&id, self.now) == membership::State::Leaving;
            if self.targets.get(&id).is_some_and(|row| row.target.service != target.service) {
                // The indexes are kept by service, so the row leaves those of the old one first.
                self.index_target(&id);
            }
            let row = self.targets.entry(id).or_insert_with(|| TargetRow::new(target.clone()));
            row.leaving = is_marked;
            row.target = target;
            row.listed = true;
        }
        for capacity in self.capacities.values_mut() {
            capacity.clear();
        }
        for row in self.targets.values().filter(|row| row.listed) {
            let target = &row.target;
            let capacity = self.capacities.entry(target.service.clone()).or_default();
            capacity.add(target.slots, target.offer());
        }
        let ids: Vec<id::Target> = self.targets.keys().cloned().collect();
        let mut orphans = Vec::new();
        for id in ids {
            if let Some(row) = self.targets.get(&id).filter(|row| !row.listed) {
                orphans.extend(&row.starts);
            }
            self.index_target(&id);
        }
        orphans
    }

    /// Notes news for the peers.
    pub(crate) fn plan_broadcast(&mut self, scope: Scope) {
        if let Some(schedule) = &mut self.schedule {
            schedule.broadcast(scope, self.now);
        }
    }

    /// Takes over new marks of leaving targets and tells the peers in the scope, if there is one.
    /// Returns whether there were any; the slots are to be divided anew then.
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

    /// Notes whether a target could be connected to.
    pub(crate) fn note_connect(&mut self, target: &id::Target, is_failure: bool) {
        let Some(row) = self.targets.get_mut(target) else { return };
        if !is_failure {
            row.reach = Reach::default();
        } else {
            // Starts that were in flight together fail together and count once.
            let is_repeat = row.reach.trial_at.is_some_and(|at| !at.is_past(self.now));
            if is_repeat {
                return;
            }
            row.reach.failures += 1;
            if row.reach.failures >= MAX_CONNECT_FAILURES {
                let doublings = (row.reach.failures - MAX_CONNECT_FAILURES).min(16);
                let span = Millis::new(FIRST_TRIAL.get() << doublings).min(MAX_TRIAL);
                let trial_at = retry::jittered(&mut self.rng, self.now, span);
                row.reach.trial_at = Some(trial_at);
                self.timers.set(trial_at, Timer::Target(target.clone()));
            }
        }
        self.index_target(target);
    }

    /// Counts a result that says something about a target.
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
        let targets = self.capacities.get(service).map_or(0, |capacity| capacity.targets);
        let class = (start.team.clone(), start.kind.clone());
        detector.set_max_ejected(max_ejected);
        if detector.record(&start.target, &class, is_failure, targets as usize, self.now) {
            if let ejection::State::Ejected(trial_at) = detector.state(&start.target, self.now) {
                self.timers.set(trial_at, Timer::Target(start.target.clone()));
            }
            self.index_target(&start.target);
        }
    }

    /// Keeps a final outcome for its retention. Outcomes that a caller has got go first when the
    /// bound on their size is reached.
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

    /// Notes that a caller has got a final outcome.
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

    /// Notes the place of a start that was proven not to have run.
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

    /// Counts a wait before a further start of a task.
    pub(crate) fn note_wait(&mut self, sequence: u64, task: u32) {
        if let Some(job) = self.jobs.get_mut(&sequence)
            && let Some(history) = job.history.get_mut(&task)
        {
            history.waits += 1;
        }
    }

    /// Returns the target for the first queued task of a job: a free held slot of the least loaded
    /// target that `accepts` and offers what the task needs, for a retry in another rack or on
    /// another worker.
    pub(crate) fn choose_target(
        &self,
        sequence: u64,
        service: &id::Service,
        accepts: impl Fn(&TargetRow) -> bool,
    ) -> Option<id::Target> {
        let free = self.free.get(service)?;
        let targets = free.iter().map(|(_, _, target)| target);
        self.suit(sequence, service, targets.filter(|target| accepts(&self.targets[*target])))
    }

    /// Returns a target of which the last answer has shown that it has free slots, whoever holds
    /// them: less than `limit` tasks are expected on it.
    pub(crate) fn choose_observed(
        &self,
        sequence: u64,
        service: &id::Service,
        limit: impl Fn(&TargetRow) -> u64,
    ) -> Option<id::Target> {
        let seen = self.observed_targets.get(service)?;
        let is_idle = |target: &&id::Target| {
            let row = &self.targets[*target];
            row.avoid_until.is_past(self.now)
                && row
                    .observed_load
                    .is_some_and(|seen| seen.expected(self.now) < limit(row) * TASK_ARRIVAL_US)
        };
        // The key leaves out the number of slots, which seldom differs, so a few rows are enough.
        let targets = seen.iter().map(|(_, target)| target).take(MAX_CANDIDATES).filter(is_idle);
        self.suit(sequence, service, targets)
    }

    fn suit<'a>(
        &self,
        sequence: u64,
        service: &id::Service,
        targets: impl Iterator<Item = &'a id::Target>,
    ) -> Option<id::Target> {
        let job = self.jobs.get(&sequence)?;
        let task = job.queued.get(service)?.front()?;
        let demand = job.submission.tasks[*task as usize].demand;
        let fits = |target: &&id::Target| {
            demand == Demand::default() || self.targets[*target].target.offer().covers(&demand)
        };
        let mut candidates = targets.filter(fits);
        let Some(history) = job.history.get(task) else { return candidates.next().cloned() };
        let rank = |target: &&id::Target| {
            let place = &self.targets[*target].target;
            history.rank(&place.id, &place.worker, &place.rack)
        };
        candidates.take(MAX_CANDIDATES).min_by_key(rank).cloned()
    }

    /// Drops what is kept of teams that are no longer in the settings. Their open jobs end first.
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

    /// Returns the taken slots of all targets.
    pub(crate) fn taken_slots(&self) -> usize {
        self.targets.values().map(|row| row.starts.len()).sum()
    }

    /// Returns the slots of all targets of a service.
    pub(crate) fn slots(&self, service: &id::Service) -> Slots {
        self.capacities.get(service).map_or(Slots::new(0), |capacity| capacity.slots)
    }
}
