//! The state machine of one entry instance, without I/O: events in, commands out.
//!
//! [`Engine::handle`] takes one [`Event`] and appends the [`Command`]s that follow from it. The
//! embedding program executes each command exactly once and reports its result as an event. It
//! makes no decisions of its own: a result that it can't determine is reported as unknown,
//! ambiguous or unavailable.
//!
//! # Example
//!
//! A job that arrives before the instance has received any settings is refused; nothing of it ran:
//!
//! ```
//! use verbenapass::engine::{Command, Engine, Event, Options};
//! use verbenapass::id;
//! use verbenapass::job::{Status, Submission};
//! use verbenapass::outcome::{Outcome, Refusal};
//! use verbenapass::time::Timestamp;
//! use verbenapass::unit::Millis;
//!
//! let now = Timestamp::from_micros(1_000_000);
//! let options = Options::new("entry-1".parse().unwrap(), "dc1".parse().unwrap(), 7);
//! let mut engine = Engine::new(options);
//! let submission = Submission {
//!     team: "halvern".parse().unwrap(),
//!     request: None,
//!     deadline: now.plus(Millis::new(500)),
//!     tasks: Vec::new(),
//!     trace: None,
//! };
//! let mut commands = Vec::new();
//! let caller = id::Caller::new(1);
//! engine.handle(Event::Submit { caller, wait: true, submission }, now, &mut commands);
//! let [Command::Respond { status: Status::Final(outcome), .. }] = commands.as_slice() else {
//!     panic!("{commands:?}");
//! };
//! assert!(matches!(**outcome, Outcome::Refused { reason: Refusal::NoSettings, .. }));
//! ```

use crate::admission::{self, Occupancy};
use crate::claim::{self, Reply, Verdict};
use crate::dispatch;
pub use crate::event::{Command, Counters, Event, Options, OwnerReply, Peer, Target};
use crate::exchange::{Partner, Schedule, Scope};
use crate::id;
use crate::job::{self, Invalid, Resources, Status, Submission};
use crate::membership::{List, ListedPeer, ListedTarget, State};
use crate::outcome::{Answer, Failure, Outcome, Refusal, Step};
use crate::peer;
use crate::retry;
use crate::settings;
use crate::start::{self, NotRun};
use crate::table::{Class, Finished, Job, PeerRow, Phase, Start, Tables, Timer};
use crate::time::Timestamp;
use crate::unit::{Micros, Millis};
use rand::RngExt;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// Minimum delay after which a refused caller should retry.
const RETRY_AFTER: Millis = Millis::new(200);

/// Minimum retry delay when no target is usable or the platform is down: an earlier retry would be
/// refused again.
const RETRY_AFTER_OUTAGE: Millis = Millis::new(1_000);

/// Minimum backoff before a task that may not be retried immediately is started again. Doubles with
/// each attempt, up to a factor of 16.
const RETRY_BACKOFF: Millis = Millis::new(50);

/// Maximum resubmissions of one request that wait for the first submission at a time. They occupy
/// no space in the queue, so the queue limits do not bound them.
const MAX_FOLLOWERS: usize = 100;

/// Largest backward clock step that is ignored: engine time stands still until the clock catches
/// up. Corrections of a synchronised clock are smaller.
const MAX_BACKWARD_STEP: Millis = Millis::new(1_000);

/// Time after the end of the last job for which a draining instance waits until the outcomes are
/// written to the claim rows.
const SETTLE_TIMEOUT: Millis = Millis::new(10_000);

/// The control state of one entry instance.
#[derive(Debug)]
pub struct Engine {
    tables: Tables,
    claims: claim::Tracker,
    list_revision: u64,
    /// Time from which new jobs are refused; set when draining begins.
    refuse_at: Option<Timestamp>,
    /// Time until which a draining instance waits for outcomes to be written to the claim rows.
    settle_until: Timestamp,
}

/// What the arrival checks derive from an acceptable submission.
struct Accepted {
    classes: Vec<Class>,
    class_of: Vec<u16>,
    /// Key of the claim's row; `None` if all tasks are idempotent.
    key: Option<claim::Key>,
    /// Digest of the tasks; 0 without a claim.
    digest: u64,
    occupancy: Occupancy,
}

/// Why no job is created for a submission.
enum Rejection {
    Invalid(Invalid),
    Final(Outcome),
}

impl Engine {
    /// Creates an engine without settings, targets or jobs. It refuses all jobs until
    /// [`Event::Configured`] and [`Event::Listed`] have been handled.
    pub fn new(options: Options) -> Self {
        let claim_options = claim::Options::new(options.instance.clone());
        let claim_options = claim_options.with_interval(options.claim_interval);
        Self {
            claims: claim::Tracker::new(claim_options),
            tables: Tables::new(options),
            list_revision: 0,
            refuse_at: None,
            settle_until: Timestamp::default(),
        }
    }

    /// Returns the number of jobs without a final outcome.
    pub fn open_jobs(&self) -> usize {
        self.tables.jobs.len()
    }

    /// Returns the number of claims that are held or whose final row has not been written yet.
    pub fn open_claims(&self) -> usize {
        self.claims.len()
    }

    /// Returns the number of target slots occupied by starts without a result, including starts of
    /// ended jobs.
    pub fn taken_slots(&self) -> usize {
        self.tables.taken_slots()
    }

    /// Returns the number of data centres that the settings in force evacuate.
    pub fn evacuated_data_centres(&self) -> usize {
        let tree = self.tables.settings.as_ref();
        tree.map_or(0, |tree| tree.fleet.evacuated_data_centres.len())
    }

    /// Returns the number of starts without a result on targets of evacuated data centres.
    pub fn evacuated_starts(&self) -> usize {
        self.tables.evacuated_starts()
    }

    /// Returns the totals since the engine was created.
    pub fn counters(&self) -> Counters {
        self.tables.counters
    }

    /// Returns the current report, to be sent as the reply to a report of a peer.
    pub fn report(&self) -> Arc<peer::Report> {
        dispatch::current_report(&self.tables, self.refuse_at.is_some())
    }

    /// Returns a team's final outcomes that are still retained, in no particular order, and the
    /// number of its jobs without a final outcome.
    pub fn retained_outcomes(&self, team: &id::Team) -> (Vec<(id::Job, Arc<Outcome>)>, usize) {
        let finished = self.tables.finished.iter().filter(|(_, row)| row.team == *team);
        let outcomes = finished
            .map(|(sequence, row)| (self.tables.job_id(*sequence), row.outcome.clone()))
            .collect();
        let open = self.tables.jobs.values().filter(|job| job.submission.team == *team).count();
        (outcomes, open)
    }

    /// Returns whether a draining instance may exit: it refuses new jobs, has no open job, every
    /// final outcome was fetched or has passed its retention, and the outcomes of claimed jobs are
    /// written to the platform's table. The wait for the writes is limited, because the platform
    /// may be down.
    pub fn is_drained(&self, now: Timestamp) -> bool {
        self.refuse_at.is_some_and(|at| at.is_past(now))
            && self.tables.jobs.is_empty()
            && self.tables.unfetched == 0
            && (self.claims.is_idle() || self.settle_until.is_past(now))
    }

    /// Handles the timers due at `now` and then one event. Appends the commands to `out`, including
    /// the starts that have become possible and the reports that are due.
    pub fn handle(&mut self, event: Event, now: Timestamp, out: &mut Vec<Command>) {
        self.set_clock(now);
        self.run_timers(out);
        match event {
            Event::Submit { caller, wait, submission } => {
                self.submit(caller, wait, submission, out);
            }
            Event::Query { caller, team, job, wait } => self.query(caller, &team, job, wait, out),
            Event::Cancel { caller, team, job } => self.cancel(caller, &team, job, out),
            Event::Hangup { caller } => self.hangup(caller),
            Event::Answered { start, result } => self.answered(start, result, out),
            Event::Observed { target, busy } => {
                dispatch::record_busy(&mut self.tables, &target, busy);
            }
            Event::ClaimCommitted { call, result } => {
                self.claims.committed(call, &result, self.tables.now);
            }
            Event::ClaimRead { call, result } => self.claims.read(call, &result, self.tables.now),
            Event::OwnerReplied { call, reply } => self.owner_replied(call, reply),
            Event::Listed { revision, targets, peers } => {
                self.listed(revision, targets, peers, out);
            }
            Event::Reported(report) => self.reported(&report),
            Event::Configured(tree) => self.configured(tree),
            Event::Drain => {
                let refuse_at = self.tables.now.plus(self.tables.options.balancer_lag);
                if self.refuse_at.is_none() {
                    self.refuse_at = Some(refuse_at);
                    self.tables.plan_broadcast(Scope::Everywhere);
                }
            }
        }
        self.process_pending(out);
        dispatch::run(&mut self.tables, out);
        dispatch::exchange(&mut self.tables, self.refuse_at.is_some(), out);
    }

    /// Handles the timers due at `now`, like [`Engine::handle`] without an event.
    pub fn tick(&mut self, now: Timestamp, out: &mut Vec<Command>) {
        self.set_clock(now);
        self.run_timers(out);
        self.process_pending(out);
        dispatch::run(&mut self.tables, out);
        dispatch::exchange(&mut self.tables, self.refuse_at.is_some(), out);
    }

    /// Returns when [`Engine::tick`] must be called next; `None` if nothing is scheduled. The time
    /// can change with every event.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        let exchange = self.tables.schedule.as_ref().and_then(Schedule::next_deadline);
        let deadlines = [self.tables.timers.next(), self.claims.next_deadline(), exchange];
        deadlines.into_iter().flatten().min()
    }

    /// Sets the engine time. Small backward steps of the clock are ignored. A larger step is
    /// accepted: otherwise a clock that was briefly ahead would stop the engine until that time.
    fn set_clock(&mut self, now: Timestamp) {
        if now > self.tables.now || now.plus(MAX_BACKWARD_STEP) < self.tables.now {
            self.tables.now = now;
        }
    }

    fn run_timers(&mut self, out: &mut Vec<Command>) {
        while let Some(timer) = self.tables.timers.pop(self.tables.now) {
            match timer {
                Timer::Job(sequence) => self.expire(sequence, out),
                Timer::Start(start) => self.handle_start_timer(start, out),
                Timer::Forget(sequence) => self.tables.forget(sequence),
                Timer::Retry(sequence, task) => self.retry(sequence, task, true, out),
                Timer::Target(target) => self.tables.index_target(&target),
                Timer::Report => dispatch::report(&mut self.tables, self.refuse_at.is_some()),
            }
        }
    }

    /// Processes claims and services without usable targets until neither makes progress.
    fn process_pending(&mut self, out: &mut Vec<Command>) {
        loop {
            let has_claim_progress = self.run_claims(out);
            let has_refused = self.refuse_without_targets(out);
            if !has_claim_progress && !has_refused {
                return;
            }
        }
    }

    /// Emits the platform and peer calls that claims need and applies their verdicts. A query to
    /// this instance itself is answered without a command. Returns whether there was a verdict or
    /// such a query.
    fn run_claims(&mut self, out: &mut Vec<Command>) -> bool {
        let mut actions = Vec::new();
        let mut verdicts = Vec::new();
        self.claims.poll(self.tables.now, &mut actions, &mut verdicts);
        let mut has_progress = !verdicts.is_empty();
        for action in actions {
            match action {
                claim::Action::Commit { call, transaction, deadline } => {
                    out.push(Command::CommitClaims { call, transaction, deadline });
                }
                claim::Action::Read { call, keys, deadline } => {
                    out.push(Command::ReadClaims { call, keys, deadline });
                }
                claim::Action::QueryOwner { call, team, job, deadline } => {
                    if job.owner == self.tables.options.instance {
                        let reply = OwnerReply::Status(self.status(&team, &job));
                        self.owner_replied(call, reply);
                        has_progress = true;
                    } else {
                        out.push(Command::QueryOwner { call, team, job, deadline });
                    }
                }
            }
        }
        for (sequence, verdict) in verdicts {
            self.apply_verdict(sequence, verdict, out);
        }
        has_progress
    }

    fn apply_verdict(&mut self, sequence: u64, verdict: Verdict, out: &mut Vec<Command>) {
        let failure = |message| Failure { task: 0, step: Step::Claim, target: None, message };
        match verdict {
            Verdict::Granted => {
                let Some(job) = self.tables.jobs.get_mut(&sequence) else { return };
                job.phase = Phase::Running;
                self.tables.enqueue_all(sequence);
                let job = &self.tables.jobs[&sequence];
                let mut services = job.queued.keys();
                let obstacle = services.find_map(|service| self.queued_obstacle(job, service));
                if let Some(reason) = obstacle {
                    let refused = self.refused(reason);
                    self.finish(sequence, refused, out);
                }
            }
            Verdict::Unavailable => {
                let refused = self.refused(Refusal::PlatformUnavailable);
                self.finish(sequence, refused, out);
            }
            Verdict::Duplicate(outcome) => self.finish(sequence, outcome, out),
            Verdict::Unknown(message) => {
                self.finish(sequence, Outcome::Unknown(failure(message)), out);
            }
            Verdict::Reused => {
                let message = "the request id was used for a job with other tasks".into();
                self.finish(sequence, Outcome::Failed(failure(message)), out);
            }
        }
    }

    /// Refuses queued jobs with a task that has lost its last target, except jobs of which a task
    /// may have run or may still run. Returns whether a job was refused.
    fn refuse_without_targets(&mut self, out: &mut Vec<Command>) -> bool {
        let mut has_progress = false;
        for service in std::mem::take(&mut self.tables.reduced_services) {
            let Some(ready) = self.tables.ready.get(&service) else { continue };
            let unstarted = ready.iter().filter_map(|sequence| {
                let job = &self.tables.jobs[sequence];
                let obstacle = self.queued_obstacle(job, &service)?;
                (!job.has_started()).then_some((*sequence, obstacle))
            });
            let jobs: Vec<(u64, Refusal)> = unstarted.collect();
            for (sequence, reason) in jobs {
                has_progress = true;
                let refused = self.refused(reason);
                self.finish(sequence, refused, out);
            }
        }
        has_progress
    }

    /// Returns why no target can get a task with this demand at present; `None` if one can.
    fn obstacle(&self, service: &id::Service, demand: &Resources) -> Option<Refusal> {
        match self.tables.capacities.get(service) {
            Some(capacity) => capacity.obstacle(demand),
            None => Some(Refusal::NoTargets),
        }
    }

    /// Returns the first obstacle of the waiting tasks of a job for a service.
    fn queued_obstacle(&self, job: &Job, service: &id::Service) -> Option<Refusal> {
        let tasks = &job.submission.tasks;
        let queued = job.queued.get(service)?;
        queued.iter().find_map(|task| self.obstacle(service, &tasks[*task as usize].demand))
    }

    fn refused(&mut self, reason: Refusal) -> Outcome {
        let delay = match reason {
            Refusal::NoTargets | Refusal::Evacuated | Refusal::PlatformUnavailable => {
                RETRY_AFTER_OUTAGE
            }
            _ => RETRY_AFTER,
        };
        Outcome::Refused { reason, retry_at: self.tables.retry_time(delay) }
    }

    fn submit(
        &mut self,
        caller: id::Caller,
        wait: bool,
        submission: Submission,
        out: &mut Vec<Command>,
    ) {
        let accepted = match self.check_submission(&submission) {
            Ok(accepted) => accepted,
            Err(Rejection::Invalid(invalid)) => {
                let status = Status::Invalid(invalid);
                out.push(Command::Respond { caller, job: None, status });
                return;
            }
            Err(Rejection::Final(outcome)) => {
                let job = self.tables.next_sequence();
                let job = Some(self.tables.job_id(job));
                out.push(Command::Respond { caller, job, status: Status::Final(outcome.into()) });
                return;
            }
        };
        let sequence = self.tables.next_sequence();
        if !wait {
            let job = Some(self.tables.job_id(sequence));
            out.push(Command::Respond { caller, job, status: Status::Accepted });
        }
        let count = submission.tasks.len();
        let job = Job {
            phase: if accepted.key.is_some() { Phase::Claiming } else { Phase::Running },
            key: accepted.key,
            digest: accepted.digest,
            followers: Vec::new(),
            callers: if wait { vec![caller] } else { Vec::new() },
            classes: accepted.classes,
            class_of: accepted.class_of,
            arrived: self.tables.now,
            answers: vec![None; count],
            unanswered: count,
            queued: BTreeMap::new(),
            in_flight: 0,
            ran: 0,
            history: HashMap::new(),
            occupancy: Occupancy::default(),
            submission,
        };
        self.tables.insert_job(sequence, job);
        self.begin(sequence, out);
    }

    /// Validates a submission and decides on its admission.
    fn check_submission(&mut self, submission: &Submission) -> Result<Accepted, Rejection> {
        let now = self.tables.now;
        let Some(tree) = self.tables.settings.clone() else {
            return Err(Rejection::Final(self.refused(Refusal::NoSettings)));
        };
        let name = &submission.team;
        let team = tree.teams.get(name);
        let team = team.ok_or_else(|| Rejection::Invalid(Invalid::UnknownTeam(name.clone())))?;
        let count = submission.tasks.len();
        if count == 0 || count > job::MAX_TASKS {
            return Err(Rejection::Invalid(Invalid::TaskCount(count)));
        }
        let (classes, class_of) = classify(submission, team).map_err(Rejection::Invalid)?;
        let key = claim_key(submission, &classes, &class_of).map_err(Rejection::Invalid)?;
        let digest = key.as_ref().map_or(0, |_| claim::digest(submission));
        let known = key.as_ref().and_then(|key| self.tables.requests.get(key).copied());
        let is_reused = known.and_then(|known| self.digest_of(known)).is_some_and(|d| d != digest);
        if is_reused && let Some(key) = key {
            return Err(Rejection::Invalid(Invalid::RequestReused(key.request)));
        }
        if submission.deadline.is_past(now) {
            return Err(Rejection::Final(Outcome::Expired { started: known.is_some() }));
        }
        let occupancy = Occupancy::of(submission);
        let accepted = Accepted { classes, class_of, key, digest, occupancy };
        if known.is_none() {
            self.admit(submission, team, &accepted)?;
        }
        Ok(accepted)
    }

    fn digest_of(&self, sequence: u64) -> Option<u64> {
        let open = self.tables.jobs.get(&sequence).map(|job| job.digest);
        open.or_else(|| self.tables.finished.get(&sequence).map(|finished| finished.digest))
    }

    /// Checks that a job can run at all, fits into the queue and can meet its deadline.
    fn admit(
        &mut self,
        submission: &Submission,
        team: &settings::Team,
        accepted: &Accepted,
    ) -> Result<(), Rejection> {
        if self.refuse_at.is_some_and(|at| at.is_past(self.tables.now)) {
            return Err(Rejection::Final(self.refused(Refusal::Stopping)));
        }
        let service_of = |task: usize| {
            let class = usize::from(accepted.class_of[task]);
            &accepted.classes[class].settings.service
        };
        let capacities = &self.tables.capacities;
        let bytes = accepted.occupancy.bytes;
        if let Some(outcome) =
            admission::never_runs(submission, team, bytes, service_of, capacities)
        {
            return Err(Rejection::Final(outcome));
        }
        let mut tasks = submission.tasks.iter().enumerate();
        let obstacle =
            tasks.find_map(|(index, task)| self.obstacle(service_of(index), &task.demand));
        if let Some(reason) = obstacle {
            return Err(Rejection::Final(self.refused(reason)));
        }
        let reason = self.check_queue_limits(submission, team, accepted.occupancy);
        let reason = reason.or_else(|| self.check_deadline(submission, accepted));
        match reason {
            Some(reason) => Err(Rejection::Final(self.refused(reason))),
            None => Ok(()),
        }
    }

    fn check_queue_limits(
        &self,
        submission: &Submission,
        team: &settings::Team,
        job: Occupancy,
    ) -> Option<Refusal> {
        let options = &self.tables.options;
        let own = self
            .tables
            .teams
            .get(&submission.team)
            .map_or(Occupancy::default(), |row| row.occupancy);
        let by_team = admission::exceeds(own, job, team.max_queued_tasks, team.max_queued_bytes);
        let limits = &options.limits;
        by_team
            .or_else(|| {
                admission::exceeds(self.tables.occupancy, job, limits.max_tasks, limits.max_bytes)
            })
            .or_else(|| {
                let is_retention_full = self.tables.finished_bytes > options.max_finished.get();
                is_retention_full.then_some(Refusal::QueueFull)
            })
    }

    fn check_deadline(&self, submission: &Submission, accepted: &Accepted) -> Option<Refusal> {
        let mut tasks = vec![0_u64; accepted.classes.len()];
        for class in &accepted.class_of {
            tasks[usize::from(*class)] += 1;
        }
        let is_late = |class: &Class, tasks: u64| {
            let run = self.tables.runtimes.lower_estimate(&submission.team, &class.kind);
            run.is_some_and(|run| {
                let work = Micros::new(run.get().saturating_mul(tasks));
                let slots = self.tables.open_slots(&class.settings.service);
                admission::misses_deadline(submission.deadline, work, run, slots, self.tables.now)
            })
        };
        let mut classes = accepted.classes.iter().zip(tasks);
        classes.any(|(class, tasks)| is_late(class, tasks)).then_some(Refusal::Overloaded)
    }

    /// Queues a job, after claiming its request id if it needs a claim. If this instance knows a
    /// job with the same request id, the new one gets that job's outcome instead.
    fn begin(&mut self, sequence: u64, out: &mut Vec<Command>) {
        let Some(job) = self.tables.jobs.get_mut(&sequence) else { return };
        let Some(key) = job.key.clone() else {
            self.tables.reserve(sequence);
            self.tables.enqueue_all(sequence);
            return;
        };
        let claim = claim::Claim {
            sequence,
            nonce: id::Nonce::new(self.tables.rng.random()),
            digest: job.digest,
            deadline: job.submission.deadline,
        };
        let known = self.tables.requests.get(&key).copied();
        job.phase = if known.is_some() { Phase::Following } else { Phase::Claiming };
        if let Some(known) = known {
            self.follow(sequence, known, out);
            return;
        }
        self.tables.reserve(sequence);
        self.tables.requests.insert(key.clone(), sequence);
        if !self.claims.claim(key, claim, self.tables.now) {
            let refused = self.refused(Refusal::PlatformUnavailable);
            self.finish(sequence, refused, out);
        }
    }

    /// Makes a job wait for the outcome of the local job with the same request id, or ends it with
    /// that outcome if it is already final.
    fn follow(&mut self, sequence: u64, known: u64, out: &mut Vec<Command>) {
        if let Some(finished) = self.tables.finished.get(&known) {
            self.finish(sequence, finished.outcome.clone(), out);
            return;
        }
        let Some(leader) = self.tables.jobs.get_mut(&known) else { return };
        if leader.followers.len() >= MAX_FOLLOWERS {
            let refused = self.refused(Refusal::QueueFull);
            self.finish(sequence, refused, out);
            return;
        }
        leader.followers.push(sequence);
        // The tasks are equal. Sharing them keeps resubmissions from using more memory.
        let tasks = leader.submission.tasks.clone();
        if let Some(job) = self.tables.jobs.get_mut(&sequence) {
            job.submission.tasks = tasks;
        }
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
        match status {
            Status::Running if wait => {
                if let Some(open) = self.tables.jobs.get_mut(&job.sequence) {
                    open.callers.push(caller);
                    self.tables.waiting.insert(caller, job.sequence);
                    return;
                }
            }
            Status::Final(_) => self.tables.mark_fetched(job.sequence),
            _ => {}
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
        out: &mut Vec<Command>,
    ) {
        if self.status(team, &job) == Status::Running {
            let started = self.may_have_run(job.sequence);
            self.finish(job.sequence, Outcome::Cancelled { started }, out);
        }
        self.query(caller, team, job, false, out);
    }

    /// Returns whether a task of this job, or of another job with the same request id, may have run
    /// or may still run.
    fn may_have_run(&self, sequence: u64) -> bool {
        self.tables.jobs.get(&sequence).is_some_and(|job| match job.phase {
            Phase::Claiming => self.claims.is_contested(sequence),
            Phase::Following => true,
            Phase::Running => job.has_started(),
        })
    }

    fn hangup(&mut self, caller: id::Caller) {
        if let Some(sequence) = self.tables.waiting.remove(&caller)
            && let Some(job) = self.tables.jobs.get_mut(&sequence)
        {
            job.callers.retain(|waiting| *waiting != caller);
        }
    }

    fn owner_replied(&mut self, call: id::Call, reply: OwnerReply) {
        let reply = match reply {
            OwnerReply::Status(Status::Final(outcome)) => Reply::Final(outcome),
            OwnerReply::Status(Status::Accepted | Status::Running) => Reply::Inconclusive,
            OwnerReply::Status(Status::NotFound | Status::Invalid(_)) => Reply::NotFound,
            OwnerReply::Gone => Reply::Gone,
            OwnerReply::Unreachable => Reply::Inconclusive,
        };
        self.claims.owner_replied(call, &reply, self.tables.now);
    }

    fn listed(
        &mut self,
        revision: u64,
        targets: Vec<Target>,
        peers: Vec<Peer>,
        out: &mut Vec<Command>,
    ) {
        if revision < self.list_revision {
            return;
        }
        self.list_revision = revision;
        let now = self.tables.now;
        self.tables.view.tick(now);
        self.tables.view.listed(&membership_list(revision, &targets, &peers), now);
        let orphans = self.tables.list_targets(targets);
        // The result is ignored because the slots are divided again below.
        self.tables.apply_marks(Some(Scope::Everywhere));
        for start in orphans {
            self.query_start(start, out);
        }
        for row in self.tables.peers.values_mut() {
            row.listed = None;
        }
        if let Some(schedule) = &mut self.tables.schedule {
            let partner = |peer: &Peer| Partner {
                id: peer.id.clone(),
                data_centre: peer.data_centre.clone(),
                address: peer.address,
            };
            schedule.listed(peers.iter().map(partner), now);
        }
        for peer in peers.into_iter().filter(|peer| peer.id != self.tables.options.instance) {
            let row = self.tables.peers.entry(peer.id.clone());
            row.or_insert(PeerRow { listed: None, reported_at: None }).listed = Some(peer);
        }
        self.tables.peers.retain(|_, row| row.listed.is_some());
        dispatch::divide(&mut self.tables);
        dispatch::plan_report(&mut self.tables);
    }

    fn reported(&mut self, report: &peer::Report) {
        let is_local = report.data_centre == self.tables.options.data_centre;
        let now = self.tables.now;
        if let Some(schedule) = &mut self.tables.schedule {
            schedule.heard(&report.from, now);
        }
        let was_leaving = self.tables.view.peer(&report.from, now) == State::Leaving;
        self.tables.view.reported(report, now);
        // A sender in this data centre informs the other peers here itself.
        if self.tables.apply_marks((!is_local).then_some(Scope::DataCentre)) {
            dispatch::divide(&mut self.tables);
        }
        let row = self.tables.peers.entry(report.from.clone());
        let row = row.or_insert(PeerRow { listed: None, reported_at: None });
        if row.reported_at.is_none_or(|known| known < report.made_at) {
            row.reported_at = Some(report.made_at);
            let from = &report.from;
            if is_local {
                dispatch::record_loads(&mut self.tables, from, &report.loads);
            }
            if is_local && !was_leaving && self.tables.view.peer(from, now) == State::Leaving {
                dispatch::divide(&mut self.tables);
            }
            dispatch::record_usages(&mut self.tables, from, &report.usages);
        }
    }

    fn configured(&mut self, tree: Arc<settings::Tree>) {
        self.tables.budget.set_fraction(tree.fleet.retry_permille);
        let evacuated = |tree: &settings::Tree| tree.fleet.evacuated_data_centres.clone();
        let before = self.tables.settings.as_deref().map(evacuated).unwrap_or_default();
        let is_evacuation_changed = before != tree.fleet.evacuated_data_centres;
        self.tables.settings = Some(tree);
        if is_evacuation_changed {
            self.tables.apply_evacuation();
            dispatch::divide(&mut self.tables);
        }
        self.tables.forget_teams();
        self.tables.invalidate_quota_parts();
    }

    fn answered(&mut self, id: id::Start, result: start::Result, out: &mut Vec<Command>) {
        let result = match result {
            start::Result::Running => return,
            start::Result::Unreachable if self.is_leaving(id) => return,
            start::Result::Unreachable => {
                let message = "the target could not be asked about the silent start".into();
                start::Result::Unknown { step: Step::Connect, message }
            }
            other => other,
        };
        let is_not_run = matches!(result, start::Result::NotRun(_));
        let Some(start) = self.tables.end_start(id, is_not_run) else {
            if self.tables.is_emitted(id) {
                self.tables.counters.duplicate_answers += 1;
            } else {
                self.tables.counters.mismatched_answers += 1;
            }
            return;
        };
        let result = self.check_size(&start, result);
        self.record_result(&start, &result);
        if !self.tables.jobs.contains_key(&start.job) {
            self.tables.counters.late_answers += 1;
            return;
        }
        let failure =
            |step, message| Failure { task: start.task, step, target: Some(start.target), message };
        match result {
            start::Result::Answered(answer) => self.deliver(start.job, start.task, answer, out),
            start::Result::NotRun(NotRun::Lapsed | NotRun::Expired) => self.expire(start.job, out),
            start::Result::NotRun(_) => self.retry(start.job, start.task, false, out),
            start::Result::Failed { step, message } => {
                self.finish(start.job, Outcome::Failed(failure(step, message)), out);
            }
            start::Result::Unknown { step, message } => {
                self.finish(start.job, Outcome::Unknown(failure(step, message)), out);
            }
            start::Result::Running | start::Result::Unreachable => {}
        }
    }

    /// Returns whether the target of a start is leaving.
    fn is_leaving(&self, id: id::Start) -> bool {
        let start = self.tables.starts.get(&id);
        let row = start.and_then(|start| self.tables.targets.get(&start.target));
        row.is_some_and(|row| row.leaving)
    }

    /// Replaces an answer that is larger than its kind allows by a failure.
    fn check_size(&mut self, start: &Start, result: start::Result) -> start::Result {
        match result {
            start::Result::Answered(answer) if answer.len() as u64 > start.max_answer => {
                self.tables.counters.oversized_answers += 1;
                let (bytes, bound) = (answer.len(), start.max_answer);
                let message = format!("answer has {bytes} bytes, allowed are {bound}");
                start::Result::Failed { step: Step::Receive, message }
            }
            other => other,
        }
    }

    /// Updates the statistics of the target and of the kind with a result.
    fn record_result(&mut self, start: &Start, result: &start::Result) {
        let tables = &mut self.tables;
        match result {
            start::Result::Answered(_) => {
                let run = tables.now.since(start.started_at);
                tables.runtimes.record(&start.team, &start.kind, run);
                tables.estimator.record(&start.team, &start.kind, run);
                tables.note_connect(&start.target, false);
                tables.note_result(start, false);
            }
            start::Result::Failed { .. } => {
                tables.note_connect(&start.target, false);
                tables.note_result(start, true);
            }
            start::Result::Unknown { .. } => tables.note_result(start, true),
            start::Result::NotRun(NotRun::ConnectFailed) => {
                tables.note_connect(&start.target, true);
            }
            start::Result::NotRun(NotRun::Draining) => {
                tables.view.draining(&start.target, tables.now);
                if tables.apply_marks(Some(Scope::Everywhere)) {
                    dispatch::divide(tables);
                }
            }
            start::Result::NotRun(NotRun::Busy) => {
                tables.note_connect(&start.target, false);
                dispatch::record_busy_refusal(tables, &start.target);
            }
            start::Result::NotRun(NotRun::Expired) => {
                tables.note_connect(&start.target, false);
            }
            start::Result::NotRun(NotRun::Lapsed)
            | start::Result::Running
            | start::Result::Unreachable => {}
        }
        if let start::Result::NotRun(_) = result {
            tables.note_not_run(start);
        }
    }

    fn deliver(&mut self, sequence: u64, task: u32, answer: Answer, out: &mut Vec<Command>) {
        let Some(job) = self.tables.jobs.get_mut(&sequence) else { return };
        job.answers[task as usize] = Some(answer);
        job.unanswered -= 1;
        if job.unanswered == 0 {
            let answers = job.answers.drain(..).flatten().collect();
            self.finish(sequence, Outcome::Complete(answers), out);
        }
    }

    /// Requeues a task whose last start did not run, if a target is usable and the retry budget
    /// allows it. Otherwise this method is called again after a backoff.
    ///
    /// A job of which no task may have run is refused once no target can get the task or it has
    /// waited [`retry::MAX_WAITS`] times. Any other job fails after [`retry::MAX_ATTEMPTS`] starts
    /// of the task.
    fn retry(&mut self, sequence: u64, task: u32, has_waited: bool, out: &mut Vec<Command>) {
        let Some(job) = self.tables.jobs.get(&sequence) else { return };
        let has_started = job.has_started();
        let demand = &job.submission.tasks[task as usize].demand;
        let obstacle = self.obstacle(&job.class(task).settings.service, demand);
        let is_usable = obstacle.is_none();
        let (attempts, waits) =
            job.history.get(&task).map_or((0, 0), |history| (history.attempts, history.waits));
        if has_started && attempts >= retry::MAX_ATTEMPTS {
            let message = format!("{attempts} starts were not run");
            let failure = Failure { task, step: Step::Send, target: None, message };
            self.finish(sequence, Outcome::Failed(failure), out);
            return;
        }
        let is_retry_due = has_waited || attempts < retry::IMMEDIATE_ATTEMPTS;
        if is_usable && is_retry_due && self.tables.budget.try_spend() {
            self.tables.counters.retries += 1;
            self.tables.enqueue(sequence, task);
        } else if has_started || (is_usable && waits < retry::MAX_WAITS) {
            let delay = Millis::new(RETRY_BACKOFF.get() << attempts.min(4));
            let at = self.tables.retry_time(delay);
            self.tables.note_wait(sequence, task);
            self.tables.timers.set(at, Timer::Retry(sequence, task));
        } else {
            let refused = self.refused(obstacle.unwrap_or(Refusal::AttemptsExhausted));
            self.finish(sequence, refused, out);
        }
    }

    fn expire(&mut self, sequence: u64, out: &mut Vec<Command>) {
        let started = self.may_have_run(sequence);
        self.finish(sequence, Outcome::Expired { started }, out);
    }

    /// Queries the target of a start without a result, or counts the start as lost once its
    /// `lost_at` has passed.
    fn handle_start_timer(&mut self, id: id::Start, out: &mut Vec<Command>) {
        let Some(start) = self.tables.starts.get(&id) else { return };
        if start.lost_at.is_past(self.tables.now) {
            self.tables.counters.lost_starts += 1;
            self.tables.end_start(id, false);
        } else {
            self.query_start(id, out);
        }
    }

    /// Queries the target of a start, at most once per start and only while its job is open. The
    /// next timer of the start is then the one that counts it as lost.
    fn query_start(&mut self, id: id::Start, out: &mut Vec<Command>) {
        let Some(start) = self.tables.starts.get_mut(&id) else { return };
        let is_open = self.tables.jobs.contains_key(&start.job);
        self.tables.timers.clear(start.query_at, Timer::Start(id));
        start.query_at = start.lost_at;
        self.tables.timers.set(start.query_at, Timer::Start(id));
        if start.queried || !is_open || start.deadline.is_past(self.tables.now) {
            return;
        }
        start.queried = true;
        self.tables.counters.queries += 1;
        out.push(Command::QueryStart {
            start: id,
            target: start.target.clone(),
            address: start.address,
            deadline: start.deadline,
        });
    }

    /// Ends a job with its final outcome, responds to its callers, settles or releases its claim
    /// and continues the jobs that wait for it.
    fn finish(&mut self, sequence: u64, outcome: impl Into<Arc<Outcome>>, out: &mut Vec<Command>) {
        let outcome = outcome.into();
        let now = self.tables.now;
        let Some(job) = self.tables.remove_job(sequence) else { return };
        self.claims.end(sequence, &outcome, now);
        self.settle_until = now.plus(SETTLE_TIMEOUT);
        let id = self.tables.job_id(sequence);
        let is_fetched = !job.callers.is_empty();
        for caller in job.callers {
            let status = Status::Final(outcome.clone());
            out.push(Command::Respond { caller, job: Some(id.clone()), status });
        }
        // Only the outcome of a job that ran here is returned to resubmissions of its request.
        let is_reusable = job.phase == Phase::Running && !is_not_run(&outcome);
        if !is_reusable
            && let Some(key) = &job.key
            && self.tables.requests.get(key) == Some(&sequence)
        {
            self.tables.requests.remove(key);
        }
        let retention = self.tables.settings.as_ref();
        let retention = retention.map_or(Millis::new(0), |tree| tree.fleet.result_retention_ms);
        let finished = Finished {
            team: job.submission.team,
            key: job.key.filter(|_| is_reusable),
            digest: job.digest,
            is_fetched,
            bytes: answer_bytes(&outcome),
            outcome: outcome.clone(),
        };
        self.tables.keep(sequence, finished, now.plus(retention));
        for follower in job.followers {
            if is_reusable {
                self.finish(follower, outcome.clone(), out);
            } else {
                self.begin(follower, out);
            }
        }
    }
}

fn membership_list(revision: u64, targets: &[Target], peers: &[Peer]) -> List {
    let target = |it: &Target| ListedTarget { id: it.id.clone(), leaving: it.leaving };
    let peer = |it: &Peer| ListedPeer {
        id: it.id.clone(),
        data_centre: it.data_centre.clone(),
        leaving: it.leaving,
    };
    List {
        revision,
        targets: targets.iter().map(target).collect(),
        peers: peers.iter().map(peer).collect(),
    }
}

/// Returns whether an outcome states that nothing of the job ran.
fn is_not_run(outcome: &Outcome) -> bool {
    matches!(
        outcome,
        Outcome::Refused { .. }
            | Outcome::Expired { started: false }
            | Outcome::Cancelled { started: false }
    )
}

/// Returns the total size of the answers in bytes; 0 for outcomes without answers.
fn answer_bytes(outcome: &Outcome) -> u64 {
    match outcome {
        Outcome::Complete(answers) => answers.iter().map(|answer| answer.len() as u64).sum(),
        _ => 0,
    }
}

/// Returns the distinct kinds of a submission with their settings, and for each task the index of
/// its kind.
fn classify(
    submission: &Submission,
    team: &settings::Team,
) -> Result<(Vec<Class>, Vec<u16>), Invalid> {
    let mut classes: Vec<Class> = Vec::new();
    let mut class_of = Vec::with_capacity(submission.tasks.len());
    for (index, task) in submission.tasks.iter().enumerate() {
        let known = classes.iter().position(|class| class.kind == task.kind);
        let class = match known {
            Some(class) => class,
            None => {
                let kind = task.kind.clone();
                let settings = team.kinds.get(&kind).cloned();
                let settings =
                    settings.ok_or_else(|| Invalid::UnknownKind(index as u32, kind.clone()))?;
                classes.push(Class { kind, settings });
                classes.len() - 1
            }
        };
        class_of.push(class as u16);
    }
    Ok((classes, class_of))
}

/// Returns the claim row of a submission, or `None` if all its kinds are idempotent.
fn claim_key(
    submission: &Submission,
    classes: &[Class],
    class_of: &[u16],
) -> Result<Option<claim::Key>, Invalid> {
    let is_unsafe = |class: &u16| !classes[usize::from(*class)].settings.idempotent;
    let Some(task) = class_of.iter().position(is_unsafe) else { return Ok(None) };
    let team = submission.team.clone();
    match submission.request.clone() {
        Some(request) => Ok(Some(claim::Key { team, request })),
        None => {
            let kind = submission.tasks[task].kind.clone();
            Err(Invalid::RequestMissing(task as u32, kind))
        }
    }
}
