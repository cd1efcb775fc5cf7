//! The tables of one entry instance and the systems that run over them.

use crate::id;
use crate::job::{Status, Submission};
use crate::outcome::{Answer, Failure, Outcome, Refusal};
use crate::settings;
use crate::start::{self, NotRun, Order};
use crate::time::Timestamp;
use crate::unit::{Millis, Slots};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

/// Time that a caller should wait after a refusal before it comes back.
const RETRY_AFTER: Millis = Millis::new(200);

/// Fixed properties of an instance.
#[derive(Clone, Debug)]
pub struct Options {
    /// The instance.
    pub instance: id::Instance,
    /// Its data centre.
    pub data_centre: id::DataCentre,
    /// Seed of the engine's random numbers.
    pub seed: u64,
}

/// A target as the instance list gives it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Name.
    pub id: id::Target,
    /// The service that it belongs to.
    pub service: id::Service,
    /// Its data centre.
    pub data_centre: id::DataCentre,
    /// Its worker.
    pub worker: id::Worker,
    /// Its rack.
    pub rack: id::Rack,
    /// Where it listens.
    pub address: SocketAddr,
    /// Tasks that it runs at once.
    pub slots: Slots,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller submits a job.
    Submit {
        /// The call.
        caller: id::Caller,
        /// Whether the caller waits for the final answer.
        wait: bool,
        /// The job.
        submission: Submission,
    },
    /// A caller asks for a job.
    Query {
        /// The call.
        caller: id::Caller,
        /// The team of the caller.
        team: id::Team,
        /// The job.
        job: id::Job,
    },
    /// A caller cancels a job.
    Cancel {
        /// The call.
        caller: id::Caller,
        /// The team of the caller.
        team: id::Team,
        /// The job.
        job: id::Job,
    },
    /// A start ended, or was asked about.
    Answered {
        /// The start.
        start: id::Start,
        /// What became of it.
        result: start::Result,
    },
    /// The platform's list was read.
    Listed {
        /// The targets on the list.
        targets: Vec<Target>,
    },
    /// New settings are in force.
    Configured(Arc<settings::Tree>),
    /// The instance stops.
    Drain,
}

/// What the embedding program has to do.
#[derive(Clone, Debug)]
pub enum Command {
    /// Send a start.
    Start(Box<Order>),
    /// Answer a call.
    Respond {
        /// The call.
        caller: id::Caller,
        /// The job, if there is one.
        job: Option<id::Job>,
        /// Its state.
        status: Status,
    },
}

#[derive(Debug)]
struct Job {
    submission: Submission,
    waiting: Vec<id::Caller>,
    answers: Vec<Option<Answer>>,
    unanswered: usize,
    started: bool,
    queued: VecDeque<u32>,
}

#[derive(Debug)]
struct Start {
    job: u64,
    task: u32,
    target: id::Target,
}

#[derive(Debug)]
struct TargetRow {
    target: Target,
    in_flight: u32,
}

#[derive(Debug)]
struct Finished {
    team: id::Team,
    outcome: Arc<Outcome>,
    forget_at: Timestamp,
}

/// The control state of one entry instance.
#[derive(Debug)]
pub struct Engine {
    options: Options,
    settings: Option<Arc<settings::Tree>>,
    jobs: BTreeMap<u64, Job>,
    finished: BTreeMap<u64, Finished>,
    starts: HashMap<id::Start, Start>,
    targets: BTreeMap<id::Target, TargetRow>,
    next_job: u64,
    next_start: u64,
    draining: bool,
}

impl Engine {
    /// Makes an engine without settings, targets or jobs.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            settings: None,
            jobs: BTreeMap::new(),
            finished: BTreeMap::new(),
            starts: HashMap::new(),
            targets: BTreeMap::new(),
            next_job: 1,
            next_start: 1,
            draining: false,
        }
    }

    /// Returns the number of jobs without a final answer.
    pub fn open_jobs(&self) -> usize {
        self.jobs.len()
    }

    /// Handles one event and dispatches what it made possible.
    pub fn handle(&mut self, event: Event, now: Timestamp, out: &mut Vec<Command>) {
        match event {
            Event::Submit { caller, wait, submission } => {
                self.submit(caller, wait, submission, now, out);
            }
            Event::Query { caller, team, job } => self.query(caller, &team, job, out),
            Event::Cancel { caller, team, job } => self.cancel(caller, &team, job, now, out),
            Event::Answered { start, result } => self.answered(start, result, now, out),
            Event::Listed { targets } => self.listed(targets),
            Event::Configured(tree) => self.settings = Some(tree),
            Event::Drain => self.draining = true,
        }
        self.dispatch(now, out);
    }

    /// Runs every system.
    pub fn tick(&mut self, now: Timestamp, out: &mut Vec<Command>) {
        self.expire(now, out);
        self.finished.retain(|_, finished| !finished.forget_at.is_past(now));
        self.dispatch(now, out);
    }

    /// Returns when the next tick is due.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        self.jobs.values().map(|job| job.submission.deadline).min()
    }

    fn job_id(&self, sequence: u64) -> id::Job {
        id::Job::new(self.options.instance.clone(), sequence)
    }

    fn submit(
        &mut self,
        caller: id::Caller,
        wait: bool,
        submission: Submission,
        now: Timestamp,
        out: &mut Vec<Command>,
    ) {
        let sequence = self.next_job;
        self.next_job += 1;
        let job = Some(self.job_id(sequence));
        if let Some(outcome) = self.admit(&submission, now) {
            out.push(Command::Respond { caller, job, status: Status::Final(outcome.into()) });
            return;
        }
        if !wait {
            out.push(Command::Respond { caller, job, status: Status::Accepted });
        }
        let count = submission.tasks.len();
        self.jobs.insert(
            sequence,
            Job {
                waiting: if wait { vec![caller] } else { Vec::new() },
                answers: vec![None; count],
                unanswered: count,
                started: false,
                queued: (0..count as u32).collect(),
                submission,
            },
        );
    }

    fn admit(&self, submission: &Submission, now: Timestamp) -> Option<Outcome> {
        let retry_at = now.plus(RETRY_AFTER);
        if submission.deadline.is_past(now) {
            return Some(Outcome::Expired { started: false });
        }
        if self.draining {
            return Some(Outcome::Refused { reason: Refusal::Stopping, retry_at });
        }
        if self.settings.is_none() {
            return Some(Outcome::Refused { reason: Refusal::NoSettings, retry_at });
        }
        if self.targets.is_empty() {
            return Some(Outcome::Refused { reason: Refusal::NoTargets, retry_at });
        }
        None
    }

    fn query(&mut self, caller: id::Caller, team: &id::Team, job: id::Job, out: &mut Vec<Command>) {
        let status = self.status(team, &job);
        out.push(Command::Respond { caller, job: Some(job), status });
    }

    fn status(&self, team: &id::Team, job: &id::Job) -> Status {
        if job.owner != self.options.instance {
            return Status::NotFound;
        }
        if let Some(finished) = self.finished.get(&job.sequence)
            && finished.team == *team
        {
            return Status::Final(finished.outcome.clone());
        }
        match self.jobs.get(&job.sequence) {
            Some(open) if open.submission.team == *team => Status::Running,
            _ => Status::NotFound,
        }
    }

    fn cancel(
        &mut self,
        caller: id::Caller,
        team: &id::Team,
        job: id::Job,
        now: Timestamp,
        out: &mut Vec<Command>,
    ) {
        if self.status(team, &job) == Status::Running {
            let started = self.jobs[&job.sequence].started;
            self.finish(job.sequence, Outcome::Cancelled { started }, now, out);
        }
        self.query(caller, team, job, out);
    }

    fn listed(&mut self, targets: Vec<Target>) {
        let mut previous = std::mem::take(&mut self.targets);
        for target in targets {
            let in_flight = previous.remove(&target.id).map_or(0, |row| row.in_flight);
            self.targets.insert(target.id.clone(), TargetRow { target, in_flight });
        }
    }

    fn answered(
        &mut self,
        start_id: id::Start,
        result: start::Result,
        now: Timestamp,
        out: &mut Vec<Command>,
    ) {
        if result == start::Result::Running {
            return;
        }
        let Some(start) = self.starts.remove(&start_id) else { return };
        if let Some(row) = self.targets.get_mut(&start.target) {
            row.in_flight = row.in_flight.saturating_sub(1);
        }
        let Some(job) = self.jobs.get_mut(&start.job) else { return };
        let failure = |step, message| Failure {
            task: start.task,
            step,
            target: Some(start.target.clone()),
            message,
        };
        match result {
            start::Result::Answered(answer) => {
                job.answers[start.task as usize] = Some(answer);
                job.unanswered -= 1;
                if job.unanswered == 0 {
                    let answers = job.answers.drain(..).flatten().collect();
                    self.finish(start.job, Outcome::Complete(answers), now, out);
                }
            }
            start::Result::NotRun(reason) => {
                if reason == NotRun::Draining
                    && let Some(row) = self.targets.get_mut(&start.target)
                {
                    row.target.leaving = true;
                }
                job.queued.push_back(start.task);
            }
            start::Result::Failed { step, message } => {
                let failure = failure(step, message);
                self.finish(start.job, Outcome::Failed(failure), now, out);
            }
            start::Result::Unknown { step, message } => {
                let failure = failure(step, message);
                self.finish(start.job, Outcome::Unknown(failure), now, out);
            }
            start::Result::Running => {}
        }
    }

    fn expire(&mut self, now: Timestamp, out: &mut Vec<Command>) {
        let expired: Vec<(u64, bool)> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.submission.deadline.is_past(now))
            .map(|(sequence, job)| (*sequence, job.started))
            .collect();
        for (sequence, started) in expired {
            self.finish(sequence, Outcome::Expired { started }, now, out);
        }
    }

    fn finish(&mut self, sequence: u64, outcome: Outcome, now: Timestamp, out: &mut Vec<Command>) {
        let Some(job) = self.jobs.remove(&sequence) else { return };
        let outcome = Arc::new(outcome);
        for caller in job.waiting {
            out.push(Command::Respond {
                caller,
                job: Some(self.job_id(sequence)),
                status: Status::Final(outcome.clone()),
            });
        }
        let retention =
            self.settings.as_ref().map_or(Millis::new(0), |tree| tree.fleet.result_retention_ms);
        let forget_at = now.plus(retention);
        let team = job.submission.team;
        self.finished.insert(sequence, Finished { team, outcome, forget_at });
    }

    fn dispatch(&mut self, now: Timestamp, out: &mut Vec<Command>) {
        let Some(settings) = self.settings.clone() else { return };
        for (sequence, job) in &mut self.jobs {
            if job.submission.deadline.is_past(now) {
                continue;
            }
            while let Some(&task) = job.queued.front() {
                let spec = &job.submission.tasks[task as usize];
                let service = settings
                    .teams
                    .get(&job.submission.team)
                    .and_then(|team| team.kinds.get(&spec.kind))
                    .map(|kind| &kind.service);
                let Some(service) = service else { break };
                let free = self
                    .targets
                    .values_mut()
                    .filter(|row| row.target.service == *service && !row.target.leaving)
                    .filter(|row| row.in_flight < row.target.slots.get())
                    .min_by_key(|row| row.in_flight);
                let Some(row) = free else { break };
                row.in_flight += 1;
                job.queued.pop_front();
                job.started = true;
                let start = id::Start::new(self.next_start);
                self.next_start += 1;
                let target = row.target.id.clone();
                self.starts.insert(start, Start { job: *sequence, task, target: target.clone() });
                out.push(Command::Start(Box::new(Order {
                    start,
                    job: id::Job::new(self.options.instance.clone(), *sequence),
                    task,
                    target,
                    address: row.target.address,
                    team: job.submission.team.clone(),
                    kind: spec.kind.clone(),
                    deadline: job.submission.deadline,
                    payload: spec.payload.clone(),
                    trace: job.submission.trace.clone(),
                })));
            }
        }
    }
}
