//! The tables of one entry instance and their accounting.
//!
//! Rows are plain data. The functions here keep the queue, the counts and the indexes consistent
//! with the rows; decisions belong to the systems.

use crate::engine::{Command, Counters, Options, Peer, Target};
use crate::id;
use crate::job::Submission;
use crate::outcome::{Answer, Outcome};
use crate::peer;
use crate::settings;
use crate::start::Order;
use crate::time::Timestamp;
use crate::unit::{Micros, Millis};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

/// Time after its deadline for which a start may stay without a result. The embedding program
/// reports every start well before; the bound keeps a fault there from using up slots for ever.
const LOST_AFTER: Millis = Millis::new(30_000);

/// What is due at a point in time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// The deadline of a job.
    Job(u64),
    /// The silence bound of a start, or the time at which it counts as lost.
    Start(id::Start),
    /// The retention of a final outcome.
    Forget(u64),
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

/// A job without a final outcome.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) submission: Submission,
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
}

impl Job {
    /// Tells whether any start may have run.
    pub(crate) fn may_have_run(&self) -> bool {
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
    pub(crate) target: id::Target,
    pub(crate) address: SocketAddr,
    pub(crate) team: id::Team,
    pub(crate) deadline: Timestamp,
    /// When the target is asked about the start; `lost_at` once that is done.
    pub(crate) query_at: Timestamp,
    pub(crate) lost_at: Timestamp,
    pub(crate) queried: bool,
}

/// A target, on the list or with starts in flight.
#[derive(Debug)]
pub(crate) struct TargetRow {
    pub(crate) target: Target,
    pub(crate) listed: bool,
    /// Starts without a result.
    pub(crate) starts: BTreeSet<id::Start>,
    /// Number of the last start, for turns among equally loaded targets.
    pub(crate) last_start: u64,
    /// Key in the index of free targets, if it is there.
    free_key: Option<FreeKey>,
}

impl TargetRow {
    pub(crate) fn in_flight(&self) -> u32 {
        self.starts.len() as u32
    }

    /// Tells whether the target may get a further start.
    pub(crate) fn is_free(&self) -> bool {
        self.listed && !self.target.leaving && self.in_flight() < self.target.slots.get()
    }
}

/// Order of the free targets of a service: least loaded first, then the least recently used.
pub(crate) type FreeKey = (u32, u64, id::Target);

/// Counts of a team.
#[derive(Debug, Default)]
pub(crate) struct Team {
    pub(crate) queued_tasks: u32,
    pub(crate) queued_bytes: u64,
    pub(crate) in_flight: u32,
}

/// Another entry instance.
#[derive(Debug)]
pub(crate) struct PeerRow {
    /// Its entry on the list, if it is there.
    pub(crate) listed: Option<Peer>,
    /// Its newest report.
    pub(crate) report: Option<peer::Report>,
}

/// A final outcome within its retention.
#[derive(Debug)]
pub(crate) struct Finished {
    pub(crate) team: id::Team,
    pub(crate) outcome: Arc<Outcome>,
}

/// All tables of an instance.
#[derive(Debug)]
pub(crate) struct Tables {
    pub(crate) options: Options,
    pub(crate) settings: Option<Arc<settings::Tree>>,
    pub(crate) rng: StdRng,
    pub(crate) jobs: BTreeMap<u64, Job>,
    pub(crate) finished: HashMap<u64, Finished>,
    pub(crate) starts: HashMap<id::Start, Start>,
    pub(crate) targets: BTreeMap<id::Target, TargetRow>,
    pub(crate) teams: HashMap<id::Team, Team>,
    pub(crate) peers: BTreeMap<id::Instance, PeerRow>,
    /// Jobs with queued tasks, by service.
    pub(crate) ready: BTreeMap<id::Service, BTreeSet<u64>>,
    /// Targets that may get a further start, by service.
    pub(crate) free: HashMap<id::Service, BTreeSet<FreeKey>>,
    pub(crate) timers: Timers,
    pub(crate) counters: Counters,
    pub(crate) queued_tasks: u32,
    pub(crate) queued_bytes: u64,
    next_job: u64,
    next_start: u64,
}

impl Tables {
    pub(crate) fn new(options: Options) -> Self {
        Self {
            settings: None,
            rng: StdRng::seed_from_u64(options.seed),
            options,
            jobs: BTreeMap::new(),
            finished: HashMap::new(),
            starts: HashMap::new(),
            targets: BTreeMap::new(),
            teams: HashMap::new(),
            peers: BTreeMap::new(),
            ready: BTreeMap::new(),
            free: HashMap::new(),
            timers: Timers::default(),
            counters: Counters::default(),
            queued_tasks: 0,
            queued_bytes: 0,
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

    /// Returns a time between one and two `spans` from now, so that callers that were turned down
    /// together don't come back together.
    pub(crate) fn spread(&mut self, now: Timestamp, span: Millis) -> Timestamp {
        let span = span.to_micros().get();
        now.plus_micros(Micros::new(span + self.rng.random_range(0..=span)))
    }

    /// Tells whether a start with this id was ever emitted.
    pub(crate) fn is_emitted(&self, start: id::Start) -> bool {
        (1..self.next_start).contains(&start.get())
    }

    /// Adds a job without queueing its tasks.
    pub(crate) fn insert_job(&mut self, sequence: u64, job: Job) {
        self.timers.set(job.submission.deadline, Timer::Job(sequence));
        self.jobs.insert(sequence, job);
    }

    /// Queues all tasks of a job.
    pub(crate) fn enqueue_all(&mut self, sequence: u64) {
        let count = self.jobs.get(&sequence).map_or(0, |job| job.class_of.len());
        for task in 0..count as u32 {
            self.enqueue(sequence, task);
        }
    }

    /// Queues a task behind the other tasks of its job.
    pub(crate) fn enqueue(&mut self, sequence: u64, task: u32) {
        let Some(job) = self.jobs.get_mut(&sequence) else { return };
        let service = job.class(task).settings.service.clone();
        let bytes = job.payload_bytes(task);
        let team = self.teams.entry(job.submission.team.clone()).or_default();
        team.queued_tasks += 1;
        team.queued_bytes += bytes;
        self.queued_tasks += 1;
        self.queued_bytes += bytes;
        let queue = job.queued.entry(service.clone()).or_default();
        if queue.is_empty() {
            self.ready.entry(service).or_default().insert(sequence);
        }
        queue.push_back(task);
    }

    /// Removes the first queued task of a job for a service.
    fn dequeue(&mut self, sequence: u64, service: &id::Service) -> Option<u32> {
        let job = self.jobs.get_mut(&sequence)?;
        let queue = job.queued.get_mut(service)?;
        let task = queue.pop_front()?;
        if queue.is_empty() {
            job.queued.remove(service);
            if let Some(ready) = self.ready.get_mut(service) {
                ready.remove(&sequence);
                if ready.is_empty() {
                    self.ready.remove(service);
                }
            }
        }
        let bytes = job.payload_bytes(task);
        if let Some(team) = self.teams.get_mut(&job.submission.team) {
            team.queued_tasks -= 1;
            team.queued_bytes -= bytes;
        }
        self.queued_tasks -= 1;
        self.queued_bytes -= bytes;
        Some(task)
    }

    /// Removes a job and its queue entries. Costs O(tasks of the job).
    pub(crate) fn remove_job(&mut self, sequence: u64) -> Option<Job> {
        let services: Vec<id::Service> = self.jobs.get(&sequence)?.queued.keys().cloned().collect();
        for service in services {
            while self.dequeue(sequence, &service).is_some() {}
        }
        let job = self.jobs.remove(&sequence)?;
        self.timers.clear(job.submission.deadline, Timer::Job(sequence));
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
        let Some(address) = self.targets.get(target).map(|row| row.target.address) else { return };
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
        let lost_at = order.deadline.plus(LOST_AFTER);
        let row = Start {
            job: sequence,
            task,
            target: target.clone(),
            address,
            team: order.team.clone(),
            deadline: order.deadline,
            query_at: lost_at,
            lost_at,
            queried: false,
        };
        self.teams.entry(order.team.clone()).or_default().in_flight += 1;
        self.timers.set(row.query_at, Timer::Start(start));
        self.starts.insert(start, row);
        if let Some(row) = self.targets.get_mut(target) {
            row.starts.insert(start);
            row.last_start = start.get();
        }
        self.index_target(target);
        self.counters.starts += 1;
        out.push(Command::Start(Box::new(order)));
    }

    /// Removes a start that has a result and frees its slot.
    pub(crate) fn end_start(&mut self, id: id::Start) -> Option<Start> {
        let start = self.starts.remove(&id)?;
        self.timers.clear(start.query_at, Timer::Start(id));
        if let Some(team) = self.teams.get_mut(&start.team) {
            team.in_flight -= 1;
        }
        if let Some(job) = self.jobs.get_mut(&start.job) {
            job.in_flight -= 1;
        }
        if let Some(row) = self.targets.get_mut(&start.target) {
            row.starts.remove(&id);
        }
        self.index_target(&start.target);
        Some(start)
    }

    /// Brings the index of free targets up to date with a target's row, and drops a row that is
    /// neither listed nor in use.
    pub(crate) fn index_target(&mut self, id: &id::Target) {
        let Some(row) = self.targets.get_mut(id) else { return };
        let key = row.is_free().then(|| (row.in_flight(), row.last_start, id.clone()));
        if key != row.free_key {
            let free = self.free.entry(row.target.service.clone()).or_default();
            if let Some(old) = row.free_key.take() {
                free.remove(&old);
            }
            if let Some(new) = &key {
                free.insert(new.clone());
            }
            row.free_key = key;
        }
        if !row.listed && row.starts.is_empty() {
            self.targets.remove(id);
        }
    }

    /// Takes over an entry of the instance list.
    pub(crate) fn list_target(&mut self, target: Target) {
        let id = target.id.clone();
        match self.targets.get_mut(&id) {
            Some(row) => {
                if row.target.service != target.service
                    && let Some(key) = row.free_key.take()
                    && let Some(free) = self.free.get_mut(&row.target.service)
                {
                    free.remove(&key);
                }
                row.target = target;
                row.listed = true;
            }
            None => {
                let row = TargetRow {
                    target,
                    listed: true,
                    starts: BTreeSet::new(),
                    last_start: 0,
                    free_key: None,
                };
                self.targets.insert(id.clone(), row);
            }
        }
        self.index_target(&id);
    }
}
