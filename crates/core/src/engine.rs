//! The control state of one entry instance: events in, commands out.
//!
//! [`Engine::handle`] takes one [`Event`] and appends the [`Command`]s that follow from it. The
//! embedding program carries out each command once and reports its result by an event. It keeps no
//! decisions to itself: what it can't tell, it reports as unknown, ambiguous or unavailable.

use crate::claim;
use crate::dispatch;
use crate::id;
use crate::job::{Invalid, Status, Submission};
use crate::outcome::{Answer, Failure, Outcome, Refusal};
use crate::peer;
use crate::settings;
use crate::start::{self, NotRun, Order};
use crate::table::{Class, Finished, Job, PeerRow, Start, Tables, Timer};
use crate::time::Timestamp;
use crate::unit::{Bytes, Millis, Slots};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// Least time that a caller should wait after a refusal before it comes back.
const RETRY_AFTER: Millis = Millis::new(200);

/// Fixed properties of an instance.
#[derive(Clone, Debug)]
pub struct Options {
    /// The instance.
    pub instance: id::Instance,
    /// Its data centre.
    pub data_centre: id::DataCentre,
    /// Seed of the engine's random numbers. It must differ between instances and runs.
    pub seed: u64,
    /// Time for which the balancer may still send requests after the instance reports not ready.
    pub balancer_lag: Millis,
}

impl Options {
    /// Makes options with the defaults for everything but the names and the seed.
    pub fn new(instance: id::Instance, data_centre: id::DataCentre, seed: u64) -> Self {
        Self { instance, data_centre, seed, balancer_lag: Millis::new(5_000) }
    }

    /// Sets the balancer's lag.
    pub fn with_balancer_lag(mut self, lag: Millis) -> Self {
        self.balancer_lag = lag;
        self
    }
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
    /// Memory that one task may use.
    pub memory: Bytes,
    /// Accelerators that one task may use.
    pub accelerators: u32,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// Another entry instance as the instance list gives it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Name.
    pub id: id::Instance,
    /// Its data centre.
    pub data_centre: id::DataCentre,
    /// Where it listens for peers.
    pub address: SocketAddr,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// What the owner of a claimed job says about it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnerReply {
    /// Its answer to a query for the job.
    Status(Status),
    /// No answer by the deadline of the command, or no connection.
    Unreachable,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller submits a job. Answered by one [`Command::Respond`]: with the final outcome, or with
    /// [`Status::Accepted`] if the caller doesn't wait, or with [`Status::Invalid`].
    Submit {
        /// The call.
        caller: id::Caller,
        /// Whether the caller waits for the final answer.
        wait: bool,
        /// The job.
        submission: Submission,
    },
    /// A caller or a peer asks for a job. Answered by one [`Command::Respond`].
    Query {
        /// The call.
        caller: id::Caller,
        /// The team of the caller.
        team: id::Team,
        /// The job.
        job: id::Job,
        /// Whether to answer only when the job is final.
        wait: bool,
    },
    /// A caller or a peer cancels a job. Answered by one [`Command::Respond`] with the outcome.
    Cancel {
        /// The call.
        caller: id::Caller,
        /// The team of the caller.
        team: id::Team,
        /// The job.
        job: id::Job,
    },
    /// A caller's connection is gone; nothing will be sent to it. The job goes on.
    Hangup {
        /// The call.
        caller: id::Caller,
    },
    /// Result of a [`Command::Start`] or of a [`Command::QueryStart`]. The first final result of a
    /// start counts, whichever command brought it; later ones are counted and dropped.
    Answered {
        /// The start.
        start: id::Start,
        /// What became of it.
        result: start::Result,
    },
    /// Result of a [`Command::CommitClaims`].
    ClaimCommitted {
        /// The call.
        call: id::Call,
        /// What became of the transaction.
        result: claim::Commit,
    },
    /// Result of a [`Command::ReadClaims`].
    ClaimRead {
        /// The call.
        call: id::Call,
        /// The rows.
        result: claim::Read,
    },
    /// Result of a [`Command::QueryOwner`].
    OwnerReplied {
        /// The call.
        call: id::Call,
        /// What the owner said.
        reply: OwnerReply,
    },
    /// The platform's instance list was read.
    Listed {
        /// The targets on the list.
        targets: Vec<Target>,
        /// The entry instances on the list. The receiver itself may be among them.
        peers: Vec<Peer>,
    },
    /// A report of a peer arrived.
    Reported(peer::Report),
    /// New settings are in force.
    Configured(Arc<settings::Tree>),
    /// The instance stops: it reports not ready from now on.
    Drain,
}

/// What the embedding program has to do.
///
/// Each command with a `start` or a `call` is answered by exactly one event with the same id. If it
/// is not answered within reasonable time after its deadline, the engine assumes the worst case.
#[derive(Clone, Debug)]
pub enum Command {
    /// Send a start, unless the clock read directly before the write shows that its deadline has
    /// passed. Answered by [`Event::Answered`].
    Start(Box<Order>),
    /// Answer a call. Every caller gets exactly one, except after [`Event::Hangup`].
    Respond {
        /// The call.
        caller: id::Caller,
        /// The job, if there is one.
        job: Option<id::Job>,
        /// Its state.
        status: Status,
    },
    /// Run a transaction on the platform's table. Answered by [`Event::ClaimCommitted`]; silence
    /// until the deadline is [`claim::Commit::Ambiguous`].
    CommitClaims {
        /// The call.
        call: id::Call,
        /// Conditions and writes.
        transaction: claim::Transaction,
        /// When to stop waiting.
        deadline: Timestamp,
    },
    /// Read rows of the platform's table. Answered by [`Event::ClaimRead`]. The rows must have been
    /// read after this command was emitted, not taken from a cache.
    ReadClaims {
        /// The call.
        call: id::Call,
        /// Keys of the rows.
        keys: Vec<String>,
        /// When to stop waiting.
        deadline: Timestamp,
    },
    /// Ask another instance for the final outcome of its job, by the peer protocol. Answered by
    /// [`Event::OwnerReplied`].
    QueryOwner {
        /// The call.
        call: id::Call,
        /// The team.
        team: id::Team,
        /// The job; it names its owner.
        job: id::Job,
        /// When to stop waiting.
        deadline: Timestamp,
    },
    /// Ask a target on a new connection what became of a start. Answered by [`Event::Answered`].
    QueryStart {
        /// The start.
        start: id::Start,
        /// The target.
        target: id::Target,
        /// Address of the target.
        address: SocketAddr,
        /// When to stop waiting.
        deadline: Timestamp,
    },
    /// Send a report to peers. Not answered.
    SendReport {
        /// The receivers.
        to: Vec<id::Instance>,
        /// The report.
        report: Arc<peer::Report>,
    },
}

/// Counts since the start of the instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Starts emitted.
    pub starts: u64,
    /// Results of starts whose job was already final.
    pub late_answers: u64,
    /// Further results of starts that already had one.
    pub doubled_answers: u64,
    /// Results of starts that were never emitted.
    pub mismatched_answers: u64,
    /// Starts without any result long after their deadline.
    pub lost_starts: u64,
}

/// The control state of one entry instance.
#[derive(Debug)]
pub struct Engine {
    tables: Tables,
    refuse_at: Option<Timestamp>,
}

impl Engine {
    /// Makes an engine without settings, targets or jobs.
    pub fn new(options: Options) -> Self {
        Self { tables: Tables::new(options), refuse_at: None }
    }

    /// Returns the number of jobs without a final answer.
    pub fn open_jobs(&self) -> usize {
        self.tables.jobs.len()
    }

    /// Returns the counts.
    pub fn counters(&self) -> Counters {
        self.tables.counters
    }

    /// Handles one event and dispatches what it made possible.
    pub fn handle(&mut self, event: Event, now: Timestamp, out: &mut Vec<Command>) {
        self.run_timers(now, out);
        match event {
            Event::Submit { caller, wait, submission } => {
                self.submit(caller, wait, submission, now, out);
            }
            Event::Query { caller, team, job, wait } => self.query(caller, &team, job, wait, out),
            Event::Cancel { caller, team, job } => self.cancel(caller, &team, job, now, out),
            Event::Hangup { caller } => self.hangup(caller),
            Event::Answered { start, result } => self.answered(start, result, now, out),
            Event::ClaimCommitted { .. } | Event::ClaimRead { .. } | Event::OwnerReplied { .. } => {
            }
            Event::Listed { targets, peers } => self.listed(targets, peers, now, out),
            Event::Reported(report) => self.reported(report),
            Event::Configured(tree) => self.tables.settings = Some(tree),
            Event::Drain => {
                self.refuse_at.get_or_insert(now.plus(self.tables.options.balancer_lag));
            }
        }
        dispatch::run(&mut self.tables, out);
    }

    /// Runs every system.
    pub fn tick(&mut self, now: Timestamp, out: &mut Vec<Command>) {
        self.run_timers(now, out);
        dispatch::run(&mut self.tables, out);
    }

    /// Returns when the next tick is due.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        self.tables.timers.next()
    }

    fn run_timers(&mut self, now: Timestamp, out: &mut Vec<Command>) {
        while let Some(timer) = self.tables.timers.pop(now) {
            match timer {
                Timer::Job(sequence) => self.expire(sequence, now, out),
                Timer::Start(start) => self.start_due(start, now, out),
                Timer::Forget(sequence) => {
                    self.tables.finished.remove(&sequence);
                }
            }
        }
    }

    fn submit(
        &mut self,
        caller: id::Caller,
        wait: bool,
        submission: Submission,
        now: Timestamp,
        out: &mut Vec<Command>,
    ) {
        let sequence = self.tables.next_sequence();
        let job = Some(self.tables.job_id(sequence));
        if let Some(outcome) = self.admit(&submission, now) {
            out.push(Command::Respond { caller, job, status: Status::Final(outcome.into()) });
            return;
        }
        let (classes, class_of) = match self.classify(&submission) {
            Ok(found) => found,
            Err(invalid) => {
                let status = Status::Invalid(invalid);
                out.push(Command::Respond { caller, job: None, status });
                return;
            }
        };
        if !wait {
            out.push(Command::Respond { caller, job, status: Status::Accepted });
        }
        let count = submission.tasks.len();
        let job = Job {
            callers: if wait { vec![caller] } else { Vec::new() },
            classes,
            class_of,
            answers: vec![None; count],
            unanswered: count,
            queued: BTreeMap::new(),
            in_flight: 0,
            ran: 0,
            submission,
        };
        self.tables.insert_job(sequence, job);
        self.tables.enqueue_all(sequence);
    }

    fn admit(&mut self, submission: &Submission, now: Timestamp) -> Option<Outcome> {
        let retry_at = self.tables.spread(now, RETRY_AFTER);
        if submission.deadline.is_past(now) {
            return Some(Outcome::Expired { started: false });
        }
        if self.refuse_at.is_some_and(|at| at.is_past(now)) {
            return Some(Outcome::Refused { reason: Refusal::Stopping, retry_at });
        }
        if self.tables.settings.is_none() {
            return Some(Outcome::Refused { reason: Refusal::NoSettings, retry_at });
        }
        if self.tables.targets.is_empty() {
            return Some(Outcome::Refused { reason: Refusal::NoTargets, retry_at });
        }
        None
    }

    /// Finds the settings of the kinds of a submission.
    fn classify(&self, submission: &Submission) -> Result<(Vec<Class>, Vec<u16>), Invalid> {
        let team = &submission.team;
        let settings = self
            .tables
            .settings
            .as_ref()
            .and_then(|tree| tree.teams.get(team))
            .ok_or_else(|| Invalid::UnknownTeam(team.clone()))?;
        let mut classes: Vec<Class> = Vec::new();
        let mut class_of = Vec::with_capacity(submission.tasks.len());
        for (index, task) in submission.tasks.iter().enumerate() {
            let known = classes.iter().position(|class| class.kind == task.kind);
            let class = match known {
                Some(class) => class,
                None => {
                    let kind = task.kind.clone();
                    let settings = settings
                        .kinds
                        .get(&kind)
                        .ok_or_else(|| Invalid::UnknownKind(index as u32, kind.clone()))?
                        .clone();
                    classes.push(Class { kind, settings });
                    classes.len() - 1
                }
            };
            class_of.push(class as u16);
        }
        Ok((classes, class_of))
    }

    fn query(
        &mut self,
        caller: id::Caller,
        team: &id::Team,
        job: id::Job,
        wait: bool,
        out: &mut Vec<Command>,
    ) {
        let status = self.status(team, &job);
        if wait
            && status == Status::Running
            && let Some(open) = self.tables.jobs.get_mut(&job.sequence)
        {
            open.callers.push(caller);
            return;
        }
        out.push(Command::Respond { caller, job: Some(job), status });
    }

    fn status(&self, team: &id::Team, job: &id::Job) -> Status {
        if job.owner != self.tables.options.instance {
            return Status::NotFound;
        }
        if let Some(finished) = self.tables.finished.get(&job.sequence)
            && finished.team == *team
        {
            return Status::Final(finished.outcome.clone());
        }
        match self.tables.jobs.get(&job.sequence) {
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
        if self.status(team, &job) == Status::Running
            && let Some(open) = self.tables.jobs.get(&job.sequence)
        {
            let started = open.may_have_run();
            self.finish(job.sequence, Outcome::Cancelled { started }, now, out);
        }
        self.query(caller, team, job, false, out);
    }

    fn hangup(&mut self, _caller: id::Caller) {}

    fn listed(
        &mut self,
        targets: Vec<Target>,
        peers: Vec<Peer>,
        now: Timestamp,
        out: &mut Vec<Command>,
    ) {
        for row in self.tables.targets.values_mut() {
            row.listed = false;
        }
        for target in targets {
            self.tables.list_target(target);
        }
        let gone: Vec<id::Target> = self
            .tables
            .targets
            .iter()
            .filter(|(_, row)| !row.listed)
            .map(|(id, _)| id.clone())
            .collect();
        for target in gone {
            let starts = self.tables.targets[&target].starts.clone();
            for start in starts {
                self.query_start(start, now, out);
            }
            self.tables.index_target(&target);
        }
        for row in self.tables.peers.values_mut() {
            row.listed = None;
        }
        for peer in peers.into_iter().filter(|peer| peer.id != self.tables.options.instance) {
            let row = self.tables.peers.entry(peer.id.clone());
            row.or_insert(PeerRow { listed: None, report: None }).listed = Some(peer);
        }
        self.tables.peers.retain(|_, row| row.listed.is_some());
    }

    fn reported(&mut self, report: peer::Report) {
        let row = self.tables.peers.entry(report.from.clone());
        let row = row.or_insert(PeerRow { listed: None, report: None });
        if row.report.as_ref().is_none_or(|known| known.made_at < report.made_at) {
            row.report = Some(report);
        }
    }

    fn answered(
        &mut self,
        id: id::Start,
        result: start::Result,
        now: Timestamp,
        out: &mut Vec<Command>,
    ) {
        if result == start::Result::Running {
            return;
        }
        let Some(start) = self.tables.end_start(id) else {
            if self.tables.is_emitted(id) {
                self.tables.counters.doubled_answers += 1;
            } else {
                self.tables.counters.mismatched_answers += 1;
            }
            return;
        };
        let Some(job) = self.tables.jobs.get_mut(&start.job) else {
            self.tables.counters.late_answers += 1;
            return;
        };
        if !matches!(result, start::Result::NotRun(_)) {
            job.ran += 1;
        }
        match result {
            start::Result::Answered(answer) => self.deliver(&start, answer, now, out),
            start::Result::NotRun(reason) => self.not_run(&start, reason),
            start::Result::Failed { step, message } => {
                let failure = failure(&start, step, message);
                self.finish(start.job, Outcome::Failed(failure), now, out);
            }
            start::Result::Unknown { step, message } => {
                let failure = failure(&start, step, message);
                self.finish(start.job, Outcome::Unknown(failure), now, out);
            }
            start::Result::Running => {}
        }
    }

    fn deliver(&mut self, start: &Start, answer: Answer, now: Timestamp, out: &mut Vec<Command>) {
        let Some(job) = self.tables.jobs.get_mut(&start.job) else { return };
        job.answers[start.task as usize] = Some(answer);
        job.unanswered -= 1;
        if job.unanswered == 0 {
            let answers = job.answers.drain(..).flatten().collect();
            self.finish(start.job, Outcome::Complete(answers), now, out);
        }
    }

    fn not_run(&mut self, start: &Start, reason: NotRun) {
        if reason == NotRun::Draining
            && let Some(row) = self.tables.targets.get_mut(&start.target)
        {
            row.target.leaving = true;
            self.tables.index_target(&start.target);
        }
        self.tables.enqueue(start.job, start.task);
    }

    fn expire(&mut self, sequence: u64, now: Timestamp, out: &mut Vec<Command>) {
        let Some(job) = self.tables.jobs.get(&sequence) else { return };
        let started = job.may_have_run();
        self.finish(sequence, Outcome::Expired { started }, now, out);
    }

    /// Asks about a silent start, or gives up on one that was asked about long ago.
    fn start_due(&mut self, id: id::Start, now: Timestamp, out: &mut Vec<Command>) {
        let Some(start) = self.tables.starts.get(&id) else { return };
        if start.lost_at.is_past(now) {
            self.tables.counters.lost_starts += 1;
            self.tables.end_start(id);
        } else {
            self.query_start(id, now, out);
        }
    }

    /// Asks the target about a start, once for each start.
    fn query_start(&mut self, id: id::Start, now: Timestamp, out: &mut Vec<Command>) {
        let Some(start) = self.tables.starts.get_mut(&id) else { return };
        if start.queried || start.deadline.is_past(now) {
            return;
        }
        start.queried = true;
        self.tables.timers.clear(start.query_at, Timer::Start(id));
        start.query_at = start.lost_at;
        self.tables.timers.set(start.query_at, Timer::Start(id));
        out.push(Command::QueryStart {
            start: id,
            target: start.target.clone(),
            address: start.address,
            deadline: start.deadline,
        });
    }

    fn finish(&mut self, sequence: u64, outcome: Outcome, now: Timestamp, out: &mut Vec<Command>) {
        let Some(job) = self.tables.remove_job(sequence) else { return };
        let outcome = Arc::new(outcome);
        for caller in job.callers {
            out.push(Command::Respond {
                caller,
                job: Some(self.tables.job_id(sequence)),
                status: Status::Final(outcome.clone()),
            });
        }
        let retention = self
            .tables
            .settings
            .as_ref()
            .map_or(Millis::new(0), |tree| tree.fleet.result_retention_ms);
        let team = job.submission.team;
        self.tables.finished.insert(sequence, Finished { team, outcome });
        self.tables.timers.set(now.plus(retention), Timer::Forget(sequence));
    }
}

fn failure(start: &Start, step: crate::outcome::Step, message: String) -> Failure {
    Failure { task: start.task, step, target: Some(start.target.clone()), message }
}
