//! The control thread, which owns the engine.

use crate::answer::{self, Reply};
use crate::clock;
use crate::meter;
use crate::peer::{LinkFigures, Links, Question, Route, Subtree};
use crate::platform;
use crate::pool;
use crate::snapshot::{Holder, Snapshot};
use crate::target;
use crate::trace::Span;
use slog::{Logger, info};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::runtime::Handle;
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep_until};
use verbenapass::engine::{Command, Counters, Engine, Event, Options, OwnerReply};
use verbenapass::id;
use verbenapass::job::Status;
use verbenapass::peer::{InForce, Report};
use verbenapass::start::Order;
use verbenapass::time::Timestamp;
use verbenapass::unit::Millis;

/// Most messages that are handled before their commands are carried out.
const BATCH: usize = 256;
/// Least time between two ticks.
const MIN_TICK: Duration = Duration::from_millis(10);
/// Most time between two ticks. The timer does not count suspended time, the deadlines do.
const MAX_TICK: Duration = Duration::from_millis(100);
/// Time without a report of the engine after which a bare one is sent, which keeps the ids of runs
/// and the state of links known.
const BARE_REPORT: Millis = Millis::new(1_000);

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
    pub links: Vec<LinkFigures>,
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
    /// A question about a job of another instance.
    Ask(Box<Question>, oneshot::Sender<Reply>),
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
        reply: oneshot::Sender<Vec<Subtree>>,
    },
    /// A peer offers settings.
    PushSettings {
        /// The subtrees.
        subtrees: Vec<Subtree>,
        /// Where the versions in force go.
        reply: oneshot::Sender<Vec<InForce>>,
    },
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
    /// Log output.
    pub log: Logger,
}

/// The control state.
pub struct Control {
    engine: Engine,
    options: Options,
    outlets: Outlets,
    links: Links,
    calls: HashMap<id::Caller, oneshot::Sender<Response>>,
    listed: platform::Listed,
    stopping: bool,
    last_report: Arc<Report>,
    commands: Vec<Command>,
    orders: Vec<Order>,
}

impl Control {
    /// Makes a control state without settings, targets or jobs.
    pub fn new(options: Options, links: Links, outlets: Outlets) -> Self {
        let last_report = Arc::new(bare_report(&options, false));
        Self {
            engine: Engine::new(options.clone()),
            options,
            outlets,
            links,
            calls: HashMap::new(),
            listed: platform::Listed::default(),
            stopping: false,
            last_report,
            commands: Vec::new(),
            orders: Vec::new(),
        }
    }

    /// Handles messages until [`Message::Exit`].
    pub async fn run(mut self, mut inbox: mpsc::UnboundedReceiver<Message>) {
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
        if self.last_report.made_at.plus(BARE_REPORT).is_past(now) {
            self.last_report = Arc::new(bare_report(&self.options, self.stopping));
            self.links.report_to_all(&self.last_report);
        }
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
            Message::Event(event) => self.event(event),
            Message::Listed(listed) => self.take_list(*listed),
            Message::Ask(question, reply) => self.ask(*question, reply),
            Message::Reported(report) => self.reported(*report),
            Message::Exchange { report, reply } => {
                meter::message(meter::Kind::Report);
                self.reported(*report);
                // The peer may be gone.
                let _ = reply.send(self.last_report.clone());
            }
            Message::FetchSettings { reply, .. } => drop(reply.send(Vec::new())),
            Message::PushSettings { reply, .. } => drop(reply.send(Vec::new())),
            Message::Inspect(reply) => {
                let figures = Figures {
                    open_jobs: self.engine.open_jobs(),
                    is_drained: self.engine.is_drained(clock::now()),
                    counters: self.engine.counters(),
                    control_cpu: clock::thread_cpu(),
                    links: self.links.figures(),
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

    fn event(&mut self, event: Event) {
        match &event {
            Event::Configured(tree) => {
                info!(self.outlets.log, "control: settings in force"; "teams" => tree.teams.len());
                self.outlets.snapshots.set(Arc::new(Snapshot::new(tree.clone())));
            }
            Event::Drain => self.stopping = true,
            _ => {}
        }
        self.handle(event);
    }

    fn take_list(&mut self, listed: platform::Listed) {
        self.links.update(listed.entries.clone(), clock::now());
        let pools: Vec<pool::Listed> = listed
            .targets
            .iter()
            .zip(&listed.connections)
            .map(|(target, connections)| {
                let sharers = listed.entries.iter();
                let sharers = sharers.filter(|e| e.data_centre == target.data_centre).count();
                pool::Listed {
                    address: target.address,
                    connections: *connections,
                    instances: sharers as u32,
                }
            })
            .collect();
        self.outlets.targets.pools().update(&pools, clock::now());
        self.listed = listed;
        self.pass_list();
    }

    /// Passes the list to the engine, with the ids of runs in place of names.
    fn pass_list(&mut self) {
        let targets = self.listed.targets.clone();
        self.handle(Event::Listed { targets, peers: self.links.peers() });
    }

    fn reported(&mut self, report: Report) {
        if self.links.identify(&report.from) {
            info!(self.outlets.log, "peer: new run"; "peer" => %report.from);
            self.pass_list();
        }
        self.handle(Event::Reported(report));
    }

    fn ask(&self, question: Question, reply: oneshot::Sender<Reply>) {
        let job = question.job.clone();
        match self.links.ask(question) {
            Route::Asked(answer) => {
                spawn_local(async move {
                    let answer = match answer.await {
                        Ok(Ok(answer)) => answer,
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
                let question = target::Question { start, address, deadline };
                let targets = self.outlets.targets.clone();
                self.outlets.traffic.spawn(target::Client::ask(targets, question));
            }
            Command::SendReport { to, report } => {
                for instance in &to {
                    self.links.report(instance, report.clone());
                }
                self.last_report = report;
            }
        }
    }

    fn platform(&self) -> (Arc<platform::Client>, Sender) {
        (self.outlets.platform.clone(), self.outlets.control.clone())
    }

    fn query_owner(&self, call: id::Call, team: id::Team, job: id::Job, deadline: Timestamp) {
        let wait = Some(clock::until(deadline));
        let question = Question { team, job, cancel: false, wait, trace: None };
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

fn bare_report(options: &Options, stopping: bool) -> Report {
    Report {
        from: options.instance.clone(),
        data_centre: options.data_centre.clone(),
        made_at: clock::now(),
        loads: Vec::new(),
        usages: Vec::new(),
        leaving: Vec::new(),
        in_force: Vec::new(),
        stopping,
    }
}
