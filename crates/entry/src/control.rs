//! The control thread, which owns the engine.

use crate::clock;
use crate::snapshot::{Holder, Snapshot};
use crate::target;
use slog::{Logger, info};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::runtime::Handle;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until};
use verbenapass::claim;
use verbenapass::engine::{Command, Engine, Event, Options, OwnerReply};
use verbenapass::id;
use verbenapass::job::Status;
use verbenapass::outcome::Step;
use verbenapass::start::{self, Order};

/// Most messages that are handled before their commands are carried out.
const BATCH: usize = 256;
/// Least time between two ticks.
const MIN_TICK: Duration = Duration::from_millis(10);
/// Most time between two ticks. The timer does not count suspended time, the deadlines do.
const MAX_TICK: Duration = Duration::from_millis(100);

/// The answer of the engine to a call.
#[derive(Clone, Debug)]
pub struct Response {
    /// The job, if there is one.
    pub job: Option<id::Job>,
    /// Its state.
    pub status: Status,
}

/// Figures about the control state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    /// Jobs without a final answer.
    pub open_jobs: usize,
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
    },
    /// An event without an answer.
    Event(Event),
    /// Asks for figures.
    Inspect(oneshot::Sender<Figures>),
    /// Ends the control thread.
    Exit,
}

/// Sender of messages to the control thread.
pub type Sender = mpsc::UnboundedSender<Message>;

/// The control state with its outlets.
pub struct Control {
    engine: Engine,
    calls: HashMap<id::Caller, oneshot::Sender<Response>>,
    snapshots: Holder,
    targets: Arc<target::Client>,
    traffic: Handle,
    log: Logger,
    commands: Vec<Command>,
    orders: Vec<Order>,
}

impl Control {
    /// Makes a control state without settings, targets or jobs.
    pub fn new(
        options: Options,
        snapshots: Holder,
        targets: Arc<target::Client>,
        traffic: Handle,
        log: Logger,
    ) -> Self {
        Self {
            engine: Engine::new(options),
            calls: HashMap::new(),
            snapshots,
            targets,
            traffic,
            log,
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
                    self.engine.tick(clock::now(), &mut self.commands);
                    next_tick = Instant::now() + MAX_TICK;
                }
            }
            while !self.commands.is_empty() {
                self.carry_out();
            }
            if let Some(deadline) = self.engine.next_deadline() {
                let wait = clock::until(deadline).clamp(MIN_TICK, MAX_TICK);
                next_tick = next_tick.min(Instant::now() + wait);
            }
        }
    }

    fn message(&mut self, message: Message) -> bool {
        match message {
            Message::Call { caller, event, reply } => {
                self.calls.insert(caller, reply);
                self.engine.handle(event, clock::now(), &mut self.commands);
            }
            Message::Event(event) => {
                if let Event::Configured(tree) = &event {
                    info!(self.log, "control: settings in force"; "teams" => tree.teams.len());
                    self.snapshots.set(Arc::new(Snapshot::new(tree.clone())));
                }
                self.engine.handle(event, clock::now(), &mut self.commands);
            }
            Message::Inspect(reply) => {
                let figures = Figures { open_jobs: self.engine.open_jobs() };
                // The asker may be gone.
                let _ = reply.send(figures);
            }
            Message::Exit => return false,
        }
        true
    }

    fn carry_out(&mut self) {
        let mut events = Vec::new();
        for command in self.commands.drain(..) {
            match command {
                Command::Start(order) => self.orders.push(*order),
                Command::Respond { caller, job, status } => {
                    if let Some(reply) = self.calls.remove(&caller) {
                        // The caller may be gone.
                        let _ = reply.send(Response { job, status });
                    }
                }
                Command::CommitClaims { call, .. } => {
                    let result = claim::Commit::Unavailable;
                    events.push(Event::ClaimCommitted { call, result });
                }
                Command::ReadClaims { call, .. } => {
                    events.push(Event::ClaimRead { call, result: claim::Read::Unavailable });
                }
                Command::QueryOwner { call, .. } => {
                    events.push(Event::OwnerReplied { call, reply: OwnerReply::Unreachable });
                }
                Command::QueryStart { start, .. } => {
                    let message = "the target was not asked".into();
                    let result = start::Result::Unknown { step: Step::Receive, message };
                    events.push(Event::Answered { start, result });
                }
                Command::SendReport { .. } => {}
            }
        }
        for event in events {
            self.engine.handle(event, clock::now(), &mut self.commands);
        }
        if !self.orders.is_empty() {
            let orders = std::mem::take(&mut self.orders);
            self.traffic.spawn(target::Client::send_all(self.targets.clone(), orders));
        }
    }
}
