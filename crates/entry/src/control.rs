//! The control thread: feeds events to the engine and executes the commands that it returns.

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

/// Limit on the messages handled in a row before the commands of the engine are executed.
const MAX_BATCH_MESSAGES: usize = 256;
/// Shortest time between two ticks of the engine.
const MIN_TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Longest time between two ticks. The timer stops while the machine is suspended, but deadlines
/// do not, so a long wait would miss them.
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Report intervals without a report after which a peer no longer counts as live.
const LIVENESS_REPORT_INTERVALS: u64 = 3;

/// The engine's response to a [`Message::Call`].
#[derive(Clone, Debug)]
pub struct Response {
    /// Id of the job; `None` if the request does not belong to one.
    pub job: Option<id::Job>,
    /// State of the job, or why the request was rejected.
    pub status: Status,
}

/// Statistics of the control thread, for metrics and the status endpoint.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Jobs that have no final outcome yet.
    pub open_jobs: usize,
    /// Whether a stopping instance may exit, see [`Engine::is_drained`].
    pub is_drained: bool,
    /// Event counts of the engine since the process started.
    pub counters: Counters,
    /// Number of data centres that the settings in force evacuate.
    pub evacuated_data_centres: usize,
    /// Starts without a result on targets of evacuated data centres.
    pub evacuated_starts: usize,
    /// CPU time that the control thread has used since it started.
    pub control_cpu: Duration,
    /// Links to the other entry instances.
    pub links: Vec<LinkStatus>,
}

/// A message to the control thread.
#[derive(Debug)]
pub enum Message {
    /// An event that the engine responds to.
    Call {
        /// Number of the call; the event contains the same one.
        caller: id::Caller,
        /// The event, passed to the engine as it is.
        event: Event,
        /// Receives the response, which may come much later for a call that waits.
        reply: oneshot::Sender<Response>,
        /// Trace span that ends when the message has been handled.
        span: Span,
    },
    /// The caller disconnected before it got a response.
    Hangup(id::Caller),
    /// An event that the engine does not respond to.
    Event(Event),
    /// A new revision of the platform's instance list was read.
    Listed(Box<platform::InstanceList>),
    /// The instance list was polled and has not changed.
    ListUnchanged,
    /// A query or cancellation of a job that another instance owns; the reply goes to the sender.
    QueryJob(Box<JobRequest>, oneshot::Sender<Reply>),
    /// A peer answered this instance's report with its own report.
    Reported(Box<Report>),
    /// A peer sent a report and expects this instance's report in return.
    Exchange {
        /// Report of the peer.
        report: Box<Report>,
        /// Receives the report of this instance.
        reply: oneshot::Sender<Arc<Report>>,
    },
    /// A peer requests settings that are newer than its own.
    FetchSettings {
        /// Versions of all subtrees that the peer holds.
        known: Vec<InForce>,
        /// Receives the newer revisions.
        reply: oneshot::Sender<Vec<Revision>>,
    },
    /// A peer pushes settings to this instance.
    PushSettings {
        /// The pushed revisions, with the digest of all settings in force at the peer.
        offer: Offer,
        /// Receives the digest of the settings in force after the push.
        reply: oneshot::Sender<Vec<InForce>>,
    },
    /// A request of an operator; the reply goes to the sender.
    Operator(Box<operator::Request>, oneshot::Sender<operator::Reply>),
    /// Requests the statistics.
    ReadStats(oneshot::Sender<Stats>),
    /// Ends the control thread.
    Exit,
}

/// Sender of messages to the control thread.
pub type Sender = mpsc::UnboundedSender<Message>;

/// Channels, clients and limits that the control thread uses.
pub struct Dependencies {
    /// Sends messages back to the control thread when an asynchronous call finishes.
    pub control: Sender,
    /// Publishes the settings in force to the other threads.
    pub snapshots: Holder,
    /// Starts tasks and queries the state of starts.
    pub targets: Arc<target::Client>,
    /// Reads and writes the claims and the settings.
    pub platform: Arc<platform::Client>,
    /// Runtime of the traffic threads, where calls to targets and the platform run.
    pub traffic: Handle,
    /// Timeout of one platform call.
    pub platform_timeout: Millis,
    /// Mean time between two scans for expired claims; each wait is random.
    pub claim_expiry_interval: Duration,
    /// Logger of the instance.
    pub log: Logger,
}

/// The engine, the settings store and the peer links, all owned by the control thread.
pub struct Control {
    engine: Engine,
    options: Options,
    dependencies: Dependencies,
    links: Rc<RefCell<Links>>,
    store: Rc<Store>,
    open_calls: HashMap<id::Caller, oneshot::Sender<Response>>,
    list: platform::InstanceList,
    /// Incarnation ids in the reports received since the list last changed. The engine gets the list
    /// again after each new one.
    known_incarnations: BTreeSet<id::Instance>,
    commands: Vec<Command>,
    orders: Vec<Order>,
}

impl Control {
    /// Creates the control state, without settings, targets or jobs.
    pub fn new(options: Options, links: Links, dependencies: Dependencies) -> Self {
        let links = Rc::new(RefCell::new(links));
        let mut replica = Replica::new(options.instance.clone(), options.data_centre.clone());
        if let Some(interval) = options.report_interval {
            replica = replica
                .with_liveness_timeout(Millis::new(interval.get() * LIVENESS_REPORT_INTERVALS));
        }
        let data_centre = options.data_centre.clone();
        let store = Rc::new(Store::new(replica, data_centre, links.clone(), &dependencies));
        Self {
            engine: Engine::new(options.clone()),
            options,
            dependencies,
            links,
            store,
            open_calls: HashMap::new(),
            list: platform::InstanceList::default(),
            known_incarnations: BTreeSet::new(),
            commands: Vec::new(),
            orders: Vec::new(),
        }
    }

    /// Handles messages until [`Message::Exit`], or until every sender is dropped.
    ///
    /// Must run in a [`tokio::task::LocalSet`]. `seeds` are the addresses of peers that are asked for
    /// settings until the instance list has been read.
    pub async fn run(
        mut self,
        mut inbox: mpsc::UnboundedReceiver<Message>,
        poll_interval: Duration,
        seeds: &[SocketAddr],
    ) {
        self.links.borrow_mut().seed(seeds, &self.options.data_centre);
        if !seeds.is_empty() {
            self.send_list();
            self.execute_commands();
        }
        spawn_local(self.store.clone().poll(poll_interval));
        let expiry_interval = self.dependencies.claim_expiry_interval;
        spawn_local(self.store.clone().expire_claims(expiry_interval));
        let mut batch = Vec::with_capacity(MAX_BATCH_MESSAGES);
        let mut next_tick = Instant::now() + MAX_TICK_INTERVAL;
        loop {
            tokio::select! {
                count = inbox.recv_many(&mut batch, MAX_BATCH_MESSAGES) => {
                    if count == 0 {
                        return;
                    }
                    for message in batch.drain(..) {
                        if !self.handle_message(message) {
                            return;
                        }
                    }
                }
                () = sleep_until(next_tick) => {
                    self.tick();
                    next_tick = Instant::now() + MAX_TICK_INTERVAL;
                }
            }
            self.execute_commands();
            if let Some(deadline) = self.engine.next_deadline() {
                let wait = clock::until(deadline).clamp(MIN_TICK_INTERVAL, MAX_TICK_INTERVAL);
                next_tick = next_tick.min(Instant::now() + wait);
            }
        }
    }

    fn tick(&mut self) {
        let now = clock::now();
        self.engine.tick(now, &mut self.commands);
    }

    /// Returns false if the control thread must end.
    fn handle_message(&mut self, message: Message) -> bool {
        match message {
            Message::Call { caller, event, reply, span } => {
                self.open_calls.insert(caller, reply);
                self.handle_event(event);
                drop(span);
            }
            Message::Hangup(caller) => {
                if self.open_calls.remove(&caller).is_some() {
                    self.handle_event(Event::Hangup { caller });
                }
            }
            Message::Event(event) => self.handle_event(event),
            Message::Listed(list) => self.apply_list(*list),
            Message::ListUnchanged => {
                // An owner counts as gone only if it was still missing from the list in a poll
                // after the list lag, so the links need the time of each successful poll.
                self.links.borrow_mut().update(self.list.entries.clone(), clock::now());
            }
            Message::QueryJob(request, reply) => self.query_job(*request, reply),
            Message::Reported(report) => self.handle_report(*report),
            Message::Exchange { report, reply } => {
                meter::message(meter::Kind::Report);
                self.handle_report(*report);
                // Fails if the peer disconnected.
                let _ = reply.send(self.with_digest(&self.engine.report()));
            }
            Message::FetchSettings { known, reply } => {
                drop(reply.send(self.store.replica().borrow().newer_than(&known)));
            }
            Message::PushSettings { offer, reply } => {
                drop(reply.send(self.store.apply_offer(&offer)));
            }
            Message::Operator(request, reply) => self.handle_operator(*request, reply),
            Message::ReadStats(reply) => {
                let stats = Stats {
                    open_jobs: self.engine.open_jobs(),
                    is_drained: self.engine.is_drained(clock::now()),
                    counters: self.engine.counters(),
                    evacuated_data_centres: self.engine.evacuated_data_centres(),
                    evacuated_starts: self.engine.evacuated_starts(),
                    control_cpu: clock::thread_cpu(),
                    links: self.links.borrow().statuses(),
                };
                // Fails if the requester disconnected.
                let _ = reply.send(stats);
            }
            Message::Exit => return false,
        }
        true
    }

    fn handle_event(&mut self, event: Event) {
        self.engine.handle(event, clock::now(), &mut self.commands);
    }

    fn apply_list(&mut self, list: platform::InstanceList) {
        self.links.borrow_mut().update(list.entries.clone(), clock::now());
        self.store.update_list(&list);
        let pools: Vec<pool::Target> = list
            .targets
            .iter()
            .zip(&list.connections)
            .map(|(target, connections)| {
                let instances = list.entries.iter();
                let instances = instances.filter(|e| e.data_centre == target.data_centre).count();
                pool::Target {
                    address: target.address,
                    connections: *connections,
                    instances: instances as u32,
                }
            })
            .collect();
        self.dependencies.targets.pools().update(&pools, clock::now());
        self.list = list;
        self.known_incarnations.clear();
        self.send_list();
        self.dependencies.snapshots.record_instance_list();
    }

    /// Sends the instance list to the engine, with the incarnation id of each peer, or its name while
    /// the id is unknown.
    fn send_list(&mut self) {
        let targets = self.list.targets.clone();
        let peers = self.links.borrow().peers();
        self.handle_event(Event::Listed { revision: self.list.revision, targets, peers });
    }

    fn handle_report(&mut self, report: Report) {
        self.links.borrow().record_incarnation(&report.from);
        self.store.handle_report(&report);
        let is_new_incarnation = self.known_incarnations.insert(report.from.clone());
        // The engine gets the report before the list; otherwise it would start an exchange of
        // reports with the new incarnation.
        self.handle_event(Event::Reported(report));
        if is_new_incarnation {
            self.send_list();
        }
    }

    /// Adds the digest of the settings in force to a report.
    fn with_digest(&self, report: &Report) -> Arc<Report> {
        let in_force = self.store.replica().borrow().digest();
        Arc::new(Report { in_force, ..report.clone() })
    }

    fn handle_operator(&self, request: operator::Request, reply: oneshot::Sender<operator::Reply>) {
        let retained = match &request.operation {
            operator::Operation::Export => self.retained_state(&request.path),
            _ => operator::RetainedState::default(),
        };
        let store = self.store.clone();
        spawn_local(async move {
            // Fails if the operator disconnected.
            let _ = reply.send(operator::answer(&store, request, retained).await);
        });
    }

    fn retained_state(&self, path: &str) -> operator::RetainedState {
        let team = path.strip_prefix("/teams/").and_then(|team| team.parse().ok());
        let Some(team) = team else { return operator::RetainedState::default() };
        let (outcomes, open_jobs) = self.engine.retained_outcomes(&team);
        let results = outcomes.into_iter().filter_map(|(job, outcome)| {
            let reply = Reply::new(Some(&job), &Status::Final(outcome));
            let answer = serde_json::from_slice(&reply.body).ok()?;
            Some(JobResult { job: job.to_string(), answer })
        });
        operator::RetainedState { results: results.collect(), open_jobs: open_jobs as u64 }
    }

    fn query_job(&self, request: JobRequest, reply: oneshot::Sender<Reply>) {
        let job = request.job.clone();
        let route = self.links.borrow().forward(request);
        match route {
            Route::Forwarded(answer) => {
                spawn_local(async move {
                    let answer = match answer.await {
                        Ok(Ok(answer)) => answer,
                        Ok(Err(error::Peer::Refused(_))) => Reply::owner_gone(&job),
                        Ok(Err(_)) | Err(_) => Reply::owner_unreachable(&job),
                    };
                    // Fails if the requester disconnected.
                    let _ = reply.send(answer);
                });
            }
            Route::Gone => drop(reply.send(Reply::owner_gone(&job))),
            Route::Unknown => drop(reply.send(Reply::owner_unreachable(&job))),
        }
    }

    fn execute_commands(&mut self) {
        let mut commands = std::mem::take(&mut self.commands);
        for command in commands.drain(..) {
            self.execute(command);
        }
        // Reuse the allocation for the next batch.
        self.commands = commands;
        if !self.orders.is_empty() {
            let orders = std::mem::take(&mut self.orders);
            let targets = self.dependencies.targets.clone();
            self.dependencies.traffic.spawn(target::Client::send_all(targets, orders));
        }
    }

    fn execute(&mut self, command: Command) {
        match command {
            Command::Start(order) => self.orders.push(*order),
            Command::Respond { caller, job, status } => {
                if let Some(reply) = self.open_calls.remove(&caller) {
                    // Fails if the caller disconnected.
                    let _ = reply.send(Response { job, status });
                }
            }
            Command::CommitClaims { call, transaction, deadline } => {
                meter::message(meter::Kind::Claim);
                let (platform, control) = self.platform_and_control();
                self.dependencies.traffic.spawn(async move {
                    let result = platform.commit_claims(transaction, deadline).await;
                    // Fails only after the control thread has ended.
                    let _ = control.send(Message::Event(Event::ClaimCommitted { call, result }));
                });
            }
            Command::ReadClaims { call, keys, deadline } => {
                meter::message(meter::Kind::Claim);
                let (platform, control) = self.platform_and_control();
                self.dependencies.traffic.spawn(async move {
                    let result = platform.read_claims(&keys, deadline).await;
                    // Fails only after the control thread has ended.
                    let _ = control.send(Message::Event(Event::ClaimRead { call, result }));
                });
            }
            Command::QueryOwner { call, team, job, deadline } => {
                self.query_owner(call, team, job, deadline);
            }
            Command::QueryStart { start, address, deadline, .. } => {
                let query = target::Query { start, address, deadline };
                let targets = self.dependencies.targets.clone();
                self.dependencies.traffic.spawn(target::Client::query(targets, query));
            }
            Command::SendReport { to, report } => {
                let report = self.with_digest(&report);
                for instance in &to {
                    self.links.borrow().report(instance, report.clone());
                }
            }
        }
    }

    fn platform_and_control(&self) -> (Arc<platform::Client>, Sender) {
        (self.dependencies.platform.clone(), self.dependencies.control.clone())
    }

    fn query_owner(&self, call: id::Call, team: id::Team, job: id::Job, deadline: Timestamp) {
        let wait = Some(clock::until(deadline));
        let request = JobRequest { team, job, cancel: false, wait, trace: None };
        let (reply, answer) = oneshot::channel();
        self.query_job(request, reply);
        let control = self.dependencies.control.clone();
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
