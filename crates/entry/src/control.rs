//! The control thread, which owns the engine.

use crate::answer::{self, Reply};
use crate::clock;
use crate::error;
use crate::meter;
use crate::operator;
use crate::peer::{JobRequest, LinkStatus, Links, Offer, Route};
use crate::platform;
use crate::pool;
use crate::snapshot::Holder;
use crate::store::Store;
use crate::target;
use crate::trace::Span;
use slog::Logger;
use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::runtime::Handle;
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep_until};
use verbenapass::config::{Replica, Revision};
use verbenapass::engine::{Command, Counters, Engine, Event, Options, OwnerReply};
use verbenapass::id;
use verbenapass::job::Status;
use verbenapass::peer::{InForce, Report};
use verbenapass::start::Order;
use verbenapass::time::Timestamp;
use verbenapass::unit::Millis;
use verbenapass_proto::settings::JobResult;

/// Most messages that are handled before their commands are carried out.
const BATCH: usize = 256;
/// Least time between two ticks.
const MIN_TICK: Duration = Duration::from_millis(10);
/// Most time between two ticks. The timer does not count suspended time, the deadlines do.
const MAX_TICK: Duration = Duration::from_millis(100);
/// Intervals of reports for which a peer that is silent counts as live.
const LIVE_INTERVALS: u64 = 3;

/// The answer of the engine to a call.
#[derive(Clone, Debug)]
pub struct Response {
    /// The job, if there is one.
    pub job: Option<id::Job>,
    /// Its state.
    pub status: Status,
}

/// Figures about the control state.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    /// Jobs without a final answer.
    pub open_jobs: usize,
    /// Whether a stopping instance may exit.
    pub is_drained: bool,
    /// Counts since the start of the instance.
    pub counters: Counters,
    /// Processor time of the control thread.
    pub control_cpu: Duration,
    /// Other instances.
    pub links: Vec<LinkStatus>,
}

/// What the other threads tell the control thread.
#[derive(Debug)]
pub enum Message {
    /// An event that gets an answer.
    Call {
        /// The number of the call in the event.
        caller: id::Caller,
        /// The event.
        event: Event,
        /// Where the answer goes.
        reply: oneshot::Sender<Response>,
        /// Span from sending the message to the end of its handling.
        span: Span,
    },
    /// The caller is gone.
    Hangup(id::Caller),
    /// An event without an answer.
    Event(Event),
    /// The platform's list was read.
    Listed(Box<platform::Listed>),
    /// The instance list was read and is the same as before.
    ListUnchanged,
    /// A question about a job of another instance.
    Ask(Box<JobRequest>, oneshot::Sender<Reply>),
    /// A peer answered a report with its own.
    Reported(Box<Report>),
    /// A peer sent a report and gets the own one.
    Exchange {
        /// The report.
        report: Box<Report>,
        /// Where the own one goes.
        reply: oneshot::Sender<Arc<Report>>,
    },
    /// A peer asks for newer settings.
    FetchSettings {
        /// The versions that it has.
        known: Vec<InForce>,
        /// Where the newer subtrees go.
        reply: oneshot::Sender<Vec<Revision>>,
    },
    /// A peer offers settings.
    PushSettings {
        /// What the peer offers.
        offer: Offer,
        /// Where the versions in force go.
        reply: oneshot::Sender<Vec<InForce>>,
    },
    /// A request of an operator.
    Operator(Box<operator::Request>, oneshot::Sender<operator::Reply>),
    /// Asks for figures.
    Inspect(oneshot::Sender<Figures>),
    /// Ends the control thread.
    Exit,
}

/// Sender of messages to the control thread.
pub type Sender = mpsc::UnboundedSender<Message>;

/// What the control state works with.
pub struct Outlets {
    /// Where the control thread takes its messages from.
    pub control: Sender,
    /// Holder of the settings for the other threads.
    pub snapshots: Holder,
    /// Client of the targets.
    pub targets: Arc<target::Client>,
    /// Client of the platform.
    pub platform: Arc<platform::Client>,
    /// The traffic threads.
    pub traffic: Handle,
    /// Longest time that one platform call may take.
    pub platform_timeout: Millis,
    /// Mean time between two scans for expired claims.
    pub claim_expiry_interval: Duration,
    /// Log output.
    pub log: Logger,
}

/// The control state.
pub struct Control {
    engine: Engine,
    options: Options,
    outlets: Outlets,
    links: Rc<RefCell<Links>>,
    store: Rc<Store>,
    calls: HashMap<id::Caller, oneshot::Sender<Response>>,
    listed: platform::Listed,
    /// Ids of runs that the engine has been told of since the list was read last.
    known_runs: BTreeSet<id::Instance>,
    commands: Vec<Command>,
    orders: Vec<Order>,
}

impl Control {
    /// Makes a control state without settings, targets or jobs.
    pub fn new(options: Options, links: Links, outlets: Outlets) -> Self {
        let links = Rc::new(RefCell::new(links));
        let mut replica = Replica::new(options.instance.clone(), options.data_centre.clone());
        if let Some(interval) = options.report_interval {
            replica = replica.with_liveness_timeout(Millis::new(interval.get() * LIVE_INTERVALS));
        }
        let data_centre = options.data_centre.clone();
        let store = Rc::new(Store::new(replica, data_centre, links.clone(), &outlets));
        Self {
            engine: Engine::new(options.clone()),
            options,
            outlets,
            links,
            store,
            calls: HashMap::new(),
            listed: platform::Listed::default(),
            known_runs: BTreeSet::new(),
            commands: Vec::new(),
            orders: Vec::new(),
        }
    }

    /// Handles messages until [`Message::Exit`].
    ///
    /// Must run in a local task set. Settings are polled at the given interval.
    pub async fn run(
        mut self,
        mut inbox: mpsc::UnboundedReceiver<Message>,
        poll: Duration,
        seeds: &[SocketAddr],
    ) {
        self.links.borrow_mut().seed(seeds, &self.options.data_centre);
        if !seeds.is_empty() {
            self.pass_list();
            self.carry_out();
        }
        spawn_local(self.store.clone().poll(poll));
        let expiry = self.outlets.claim_expiry_interval;
        spawn_local(self.store.clone().expire_claims(expiry));
        let mut batch = Vec::with_capacity(BATCH);
        let mut next_tick = Instant::now() + MAX_TICK;
        loop {
            tokio::select! {
                count = inbox.recv_many(&mut batch, BATCH) => {
                    if count == 0 {
                        return;
                    }
                    for message in batch.drain(..) {
                        if !self.message(message) {
                            return;
                        }
                    }
                }
                () = sleep_until(next_tick) => {
                    self.tick();
                    next_tick = Instant::now() + MAX_TICK;
                }
            }
            self.carry_out();
            if let Some(deadline) = self.engine.next_deadline() {
                let wait = clock::until(deadline).clamp(MIN_TICK, MAX_TICK);
                next_tick = next_tick.min(Instant::now() + wait);
            }
        }
    }

    fn tick(&mut self) {
        let now = clock::now();
        self.engine.tick(now, &mut self.commands);
    }

    fn message(&mut self, message: Message) -> bool {
        match message {
            Message::Call { caller, event, reply, span } => {
                self.calls.insert(caller, reply);
                self.handle(event);
                drop(span);
            }
            Message::Hangup(caller) => {
                if self.calls.remove(&caller).is_some() {
                    self.handle(Event::Hangup { caller });
                }
            }
            Message::Event(event) => self.handle(event),
            Message::Listed(listed) => self.take_list(*listed),
            Message::ListUnchanged => {
                // Shows what has been missing from the list for how long.
                self.links.borrow_mut().update(self.listed.entries.clone(), clock::now());
            }
            Message::Ask(question, reply) => self.ask(*question, reply),
            Message::Reported(report) => self.reported(*report),
            Message::Exchange { report, reply } => {
                meter::message(meter::Kind::Report);
                self.reported(*report);
                // The peer may be gone.
                let _ = reply.send(self.with_digest(&self.engine.report()));
            }
            Message::FetchSettings { known, reply } => {
                drop(reply.send(self.store.replica().borrow().newer_than(&known)));
            }
            Message::PushSettings { offer, reply } => {
                drop(reply.send(self.store.pushed(&offer)));
            }
            Message::Operator(request, reply) => self.operator(*request, reply),
            Message::Inspect(reply) => {
                let figures = Figures {
                    open_jobs: self.engine.open_jobs(),
                    is_drained: self.engine.is_drained(clock::now()),
                    counters: self.engine.counters(),
                    control_cpu: clock::thread_cpu(),
                    links: self.links.borrow().statuses(),
                };
                // The asker may be gone.
                let _ = reply.send(figures);
            }
            Message::Exit => return false,
        }
        true
    }

    fn handle(&mut self, event: Event) {
        self.engine.handle(event, clock::now(), &mut self.commands);
    }

    fn take_list(&mut self, listed: platform::Listed) {
        self.links.borrow_mut().update(listed.entries.clone(), clock::now());
        self.store.listed(&listed);
        let pools: Vec<pool::Target> = listed
            .targets
            .iter()
            .zip(&listed.connections)
            .map(|(target, connections)| {
                let sharers = listed.entries.iter();
                let sharers = sharers.filter(|e| e.data_centre == target.data_centre).count();
                pool::Target {
                    address: target.address,
                    connections: *connections,
                    instances: sharers as u32,
                }
            })
            .collect();
        self.outlets.targets.pools().update(&pools, clock::now());
        self.listed = listed;
        self.known_runs.clear();
        self.pass_list();
        self.outlets.snapshots.record_instance_list();
    }

    /// Passes the list to the engine, with the ids of runs in place of names.
    fn pass_list(&mut self) {
        let targets = self.listed.targets.clone();
        let peers = self.links.borrow().peers();
        self.handle(Event::Listed { revision: self.listed.revision, targets, peers });
    }

    fn reported(&mut self, report: Report) {
        self.links.borrow().record_incarnation(&report.from);
        self.store.reported(&report);
        let is_new = self.known_runs.insert(report.from.clone());
        // The report comes first, so that the engine does not start an exchange with the new run.
        self.handle(Event::Reported(report));
        if is_new {
            self.pass_list();
        }
    }

    /// Adds the versions of the settings in force.
    fn with_digest(&self, report: &Report) -> Arc<Report> {
        let in_force = self.store.replica().borrow().digest();
        Arc::new(Report { in_force, ..report.clone() })
    }

    fn operator(&self, request: operator::Request, reply: oneshot::Sender<operator::Reply>) {
        let kept = match &request.ask {
            operator::Ask::Export => self.kept(&request.path),
            _ => operator::Kept::default(),
        };
        let store = self.store.clone();
        spawn_local(async move {
            // The operator may be gone.
            let _ = reply.send(operator::answer(&store, request, kept).await);
        });
    }

    fn kept(&self, path: &str) -> operator::Kept {
        let team = path.strip_prefix("/teams/").and_then(|team| team.parse().ok());
        let Some(team) = team else { return operator::Kept::default() };
        let (outcomes, open_jobs) = self.engine.retained_outcomes(&team);
        let results = outcomes.into_iter().filter_map(|(job, outcome)| {
            let reply = Reply::new(Some(&job), &Status::Final(outcome));
            let answer = serde_json::from_slice(&reply.body).ok()?;
            Some(JobResult { job: job.to_string(), answer })
        });
        operator::Kept { results: results.collect(), open_jobs: open_jobs as u64 }
    }

    fn ask(&self, question: JobRequest, reply: oneshot::Sender<Reply>) {
        let job = question.job.clone();
        let route = self.links.borrow().forward(question);
        match route {
            Route::Forwarded(answer) => {
                spawn_local(async move {
                    let answer = match answer.await {
                        Ok(Ok(answer)) => answer,
                        Ok(Err(error::Peer::Refused(_))) => Reply::gone(&job),
                        Ok(Err(_)) | Err(_) => Reply::unreachable(&job),
                    };
                    // The asker may be gone.
                    let _ = reply.send(answer);
                });
            }
            Route::Gone => drop(reply.send(Reply::gone(&job))),
            Route::Unknown => drop(reply.send(Reply::unreachable(&job))),
        }
    }

    fn carry_out(&mut self) {
        let mut commands = std::mem::take(&mut self.commands);
        for command in commands.drain(..) {
            self.command(command);
        }
        // Keeps the allocation for the next batch.
        self.commands = commands;
        if !self.orders.is_empty() {
            let orders = std::mem::take(&mut self.orders);
            let targets = self.outlets.targets.clone();
            self.outlets.traffic.spawn(target::Client::send_all(targets, orders));
        }
    }

    fn command(&mut self, command: Command) {
        match command {
            Command::Start(order) => self.orders.push(*order),
            Command::Respond { caller, job, status } => {
                if let Some(reply) = self.calls.remove(&caller) {
                    // The caller may be gone.
                    let _ = reply.send(Response { job, status });
                }
            }
            Command::CommitClaims { call, transaction, deadline } => {
                meter::message(meter::Kind::Claim);
                let (platform, control) = self.platform();
                self.outlets.traffic.spawn(async move {
                    let result = platform.commit(transaction, deadline).await;
                    // Fails only after the control thread has ended.
                    let _ = control.send(Message::Event(Event::ClaimCommitted { call, result }));
                });
            }
            Command::ReadClaims { call, keys, deadline } => {
                meter::message(meter::Kind::Claim);
                let (platform, control) = self.platform();
                self.outlets.traffic.spawn(async move {
                    let result = platform.read(&keys, deadline).await;
                    // Fails only after the control thread has ended.
                    let _ = control.send(Message::Event(Event::ClaimRead { call, result }));
                });
            }
            Command::QueryOwner { call, team, job, deadline } => {
                self.query_owner(call, team, job, deadline);
            }
            Command::QueryStart { start, address, deadline, .. } => {
                let question = target::Query { start, address, deadline };
                let targets = self.outlets.targets.clone();
                self.outlets.traffic.spawn(target::Client::query(targets, question));
            }
            Command::SendReport { to, report } => {
                let report = self.with_digest(&report);
                for instance in &to {
                    self.links.borrow().report(instance, report.clone());
                }
            }
        }
    }

    fn platform(&self) -> (Arc<platform::Client>, Sender) {
        (self.outlets.platform.clone(), self.outlets.control.clone())
    }

    fn query_owner(&self, call: id::Call, team: id::Team, job: id::Job, deadline: Timestamp) {
        let wait = Some(clock::until(deadline));
        let question = JobRequest { team, job, cancel: false, wait, trace: None };
        let (reply, answer) = oneshot::channel();
        self.ask(question, reply);
        let control = self.outlets.control.clone();
        spawn_local(async move {
            let reply = match answer.await {
                Ok(reply) => answer::owner_reply(&reply),
                Err(_) => OwnerReply::Unreachable,
            };
            // Fails only after the control thread has ended.
            let _ = control.send(Message::Event(Event::OwnerReplied { call, reply }));
        });
    }
}
