//! The event loop: one thread that runs the engine and the links and carries out their commands.

use crate::input::{Input, Notification};
use crate::link::{self, Action, Frame};
use crate::net::Connections;
use crate::{clock, meter};
use slog::{Logger, error, info, warn};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use tokio::sync::mpsc::UnboundedReceiver;
use verbenapass::id;
use verbenapass::time::Timestamp;
use verbenapass::unit::Millis;
use verbenapass_fleet::engine::{Command, Engine, Event};
use verbenapass_fleet::order::Order;
use verbenapass_fleet::pause::Watch;
use verbenapass_fleet::record::{Outcome, Record};

/// Limit on the inputs handled before messages to peers are sent, which bounds their delay.
const MAX_BATCH: usize = 64;
/// Time between updates of the gauges.
const GAUGE_INTERVAL: Millis = Millis::new(1_000);

/// Connects the event loop with clients, targets and the source of the configuration.
pub trait Adapter {
    /// Sends an order (start, stop or hold) to a target and must not block; the answer arrives as an
    /// [`Event`].
    fn order(&mut self, order: Order);
    /// Sends the final answer for a job to the client that waits for it.
    fn answer(&mut self, caller: id::Caller, outcome: Outcome);
    /// Offers a configuration that a peer has sent; it takes effect if it is valid and newer.
    fn offer_document(&mut self, document: Vec<u8>);
    /// Returns the configuration in force in the format of its source, or `None` before the first one.
    fn document(&self) -> Option<Vec<u8>>;
}

/// State that the event loop publishes to the other parts of the process after each round.
#[derive(Debug, Default)]
pub struct Status {
    /// Whether jobs can be placed; false while the process stops.
    pub is_ready: AtomicBool,
    /// Whether the process may end: no job is open, and no target is left to hand over.
    pub is_drained: AtomicBool,
    /// Number of peers that are up.
    pub peers: AtomicUsize,
}

/// The event loop with its parts; [`Self::run`] starts it.
#[derive(Debug)]
pub struct Runtime<A> {
    engine: Engine,
    links: link::Table,
    connections: Connections,
    adapter: A,
    status: Arc<Status>,
    log: Logger,
    commands: Vec<Command>,
    is_discovery_complete: bool,
    gauges_at: Timestamp,
    watch: Watch,
}

impl<A: Adapter> Runtime<A> {
    /// Creates the event loop; nothing happens before [`Self::run`].
    pub fn new(
        engine: Engine,
        links: link::Table,
        connections: Connections,
        adapter: A,
        status: Arc<Status>,
        log: Logger,
    ) -> Self {
        Self {
            engine,
            links,
            connections,
            adapter,
            status,
            log,
            commands: Vec::new(),
            is_discovery_complete: false,
            gauges_at: Timestamp::default(),
            watch: Watch::new(clock::now()),
        }
    }

    /// Handles inputs and timers until the inbox is closed.
    pub async fn run(mut self, mut inbox: UnboundedReceiver<Input>) {
        self.watch = Watch::new(clock::now());
        loop {
            let next = self.engine.next_deadline().min(self.links.next_deadline());
            let next = next.min(clock::now().plus(Watch::MAX_SLEEP));
            self.watch.sleep_until(next);
            tokio::select! {
                biased;
                input = inbox.recv() => {
                    let Some(input) = input else { return };
                    self.handle_input(input);
                    for _ in 1..MAX_BATCH {
                        match inbox.try_recv() {
                            Ok(input) => self.handle_input(input),
                            Err(_) => break,
                        }
                    }
                }
                () = tokio::time::sleep(clock::until(next)) => {}
            }
            self.finish_round();
        }
    }

    /// Reads the clock, and handles a pause of the process that this reveals.
    fn read_clock(&mut self) -> Timestamp {
        let now = clock::now();
        if let Some(pause) = self.watch.observe(now) {
            meter::count_pause(pause);
            self.links.resume(pause, now);
            self.handle(Event::Resumed(pause), now);
        }
        now
    }

    fn handle_input(&mut self, input: Input) {
        let now = self.read_clock();
        match input {
            Input::Event(event) => self.handle(event, now),
            Input::Net(notification) => self.handle_notification(notification, now),
            Input::Peers(peers) => self.links.add_peers(&peers, now),
            Input::Seeds(seeds) => self.links.add_seeds(&seeds, now),
            Input::Version(version, size) => self.links.set_version(version, size, now),
        }
        self.run_actions(now);
    }

    fn finish_round(&mut self) {
        let now = self.read_clock();
        if self.engine.next_deadline().is_past(now) {
            let mut commands = std::mem::take(&mut self.commands);
            self.engine.tick(now, &mut commands);
            self.run_commands(&mut commands, now);
            self.commands = commands;
        }
        if let Some(partners) = self.engine.take_partners() {
            self.links.set_partners(&partners, now);
        }
        self.links.poll(now);
        self.run_actions(now);
        if !self.is_discovery_complete && self.links.is_discovery_complete() {
            self.is_discovery_complete = true;
            self.handle(Event::PeersKnown, now);
            self.links.poll(now);
            self.run_actions(now);
        }
        self.status.peers.store(self.links.reachable_peers(), Ordering::Relaxed);
        self.status.is_ready.store(self.engine.is_ready(), Ordering::Relaxed);
        self.status.is_drained.store(self.engine.is_drained(), Ordering::Relaxed);
        if self.gauges_at.is_past(now) {
            self.gauges_at = now.plus(GAUGE_INTERVAL);
            meter::set_gauges(&meter::Gauges {
                open_jobs: self.engine.open_jobs(),
                waiting_jobs: self.engine.waiting_jobs(),
                owned_targets: self.engine.owned_targets(),
                held_targets: self.engine.held_targets(),
                peers: self.links.reachable_peers(),
                separated_pairs: self.engine.separated_pairs(),
                evacuated_data_centres: self.engine.evacuations().len(),
            });
            meter::set_speeds(&self.engine.targets_by_steps(), self.engine.speed_counts());
            meter::set_avoided_pairs(self.engine.avoided_pairs());
        }
    }

    fn handle(&mut self, event: Event, now: Timestamp) {
        let mut commands = std::mem::take(&mut self.commands);
        self.engine.handle(event, now, &mut commands);
        self.run_commands(&mut commands, now);
        self.commands = commands;
    }

    fn run_commands(&mut self, commands: &mut Vec<Command>, now: Timestamp) {
        for command in commands.drain(..) {
            match command {
                Command::Order(order) => self.adapter.order(order),
                Command::Answer { caller, outcome } => self.adapter.answer(caller, outcome),
                Command::Send { peer, message } => self.links.send(&peer, message, now),
                Command::Log(record) => log_record(&self.log, &record),
            }
        }
    }

    fn handle_notification(&mut self, notification: Notification, now: Timestamp) {
        match notification {
            Notification::Accepted(stream) => {
                let connection = self.links.accept();
                self.connections.open(connection, stream);
            }
            Notification::Connected(connection, stream) => {
                self.connections.open(connection, stream);
                self.links.connected(connection, now);
            }
            Notification::Closed(connection, is_refused) => {
                self.connections.close(connection);
                self.links.closed(connection, is_refused, now);
            }
            Notification::Frame(connection, frame) => self.links.receive(connection, frame, now),
        }
    }

    fn run_actions(&mut self, now: Timestamp) {
        loop {
            let actions = self.links.take_actions();
            if actions.is_empty() {
                return;
            }
            for action in actions {
                self.run_action(action, now);
            }
        }
    }

    fn run_action(&mut self, action: Action, now: Timestamp) {
        match action {
            Action::Dial(connection, address) => self.connections.dial(connection, address),
            Action::Send(connection, frame) => self.send(connection, &frame),
            Action::Close(connection) => self.connections.close(connection),
            Action::Up(peer, member) => {
                info!(self.log, "link: peer is up";
                    "peer" => %peer, "data_centre" => %member.data_centre, "cpu" => %member.cpu);
                self.handle(Event::PeerUp { peer, member }, now);
            }
            Action::Down(peer) => {
                warn!(self.log, "link: peer is lost"; "peer" => %peer);
                self.handle(Event::PeerDown(peer), now);
            }
            Action::Deliver(peer, message) => self.handle(Event::Received { peer, message }, now),
            Action::Document(document) => self.adapter.offer_document(document),
            Action::Fetch(connection) => {
                if let Some(document) = self.adapter.document() {
                    self.send(connection, &Frame::Document(document));
                }
            }
        }
    }

    fn send(&self, connection: link::Connection, frame: &Frame) {
        meter::count_frame(frame.kind());
        if let Err(error) = self.connections.send(connection, frame) {
            error!(self.log, "link: cannot encode frame; dropping it"; "error" => %error);
        }
    }
}

/// Logs a decision of the engine and counts it in the metrics.
fn log_record(log: &Logger, record: &Record) {
    match record {
        Record::Job(summary) => {
            meter::count_job(summary);
            let load = summary.load.unwrap_or_default();
            info!(log, "job: answered";
                "request" => %summary.job, "kind" => %summary.kind,
                "config" => summary.version.get(), "outcome" => %summary.outcome,
                "tasks" => summary.tasks, "moved" => summary.moved,
                "waited_ms" => summary.waited.map(Millis::get),
                "elapsed_ms" => summary.elapsed.get(), "targets" => load.targets,
                "ahead_ms" => load.ahead.get() / 1_000, "backlog_ms" => load.backlog.get() / 1_000);
        }
        Record::Resumed { pause, targets } => warn!(log,
            "process: was paused; others may have taken it for lost";
            "pause_ms" => pause.get() / 1_000, "targets" => targets),
        Record::Hangup(job) => info!(log, "job: client disconnected; stopping its runs";
            "request" => %job),
        Record::Run { run, target, home, end, incarnation, was_alone } => {
            meter::count_run(*end);
            info!(log, "run: ended without success";
                "request" => %run.task.job, "task" => run.task.index, "run" => %run.number,
                "target" => %target, "home" => home.as_ref().map(id::Instance::as_str),
                "end" => %end, "incarnation" => incarnation, "alone" => was_alone);
        }
        Record::Limited { task, permit } => {
            meter::count_limited(*permit);
            warn!(log, "task: runs were lost with their targets; limiting its starts";
                "request" => %task.job, "task" => task.index, "permit" => %permit);
        }
        Record::Contained(kind) => {
            meter::count_contained(kind);
            warn!(log, "kind: its tasks crash targets; limiting how many"; "kind" => %kind);
        }
        Record::Rejected { peer, number, runs } => {
            info!(log, "grant: cannot start tasks; returning them";
                "peer" => %peer, "grant" => number, "runs" => runs);
        }
        Record::Cancelled { peer, runs, missing } => info!(log, "run: cancelled but not here";
            "peer" => %peer, "runs" => runs, "missing" => missing),
        Record::Claim { target, generation, runs } => info!(log, "target: claimed";
            "target" => %target, "generation" => %generation, "runs" => runs),
        Record::Held { target, generation } => {
            info!(log, "target: held"; "target" => %target, "generation" => %generation);
        }
        Record::Fenced { target, generation } => warn!(log, "target: taken by another owner";
            "target" => %target, "generation" => %generation),
        Record::Handover { target, to, runs } => info!(log, "target: handed over";
            "target" => %target, "to" => %to, "runs" => runs),
        Record::Silent(target) => warn!(log, "target: no answer"; "target" => %target),
        Record::Answering(target) => info!(log, "target: answers again"; "target" => %target),
        Record::Crashed { target, incarnation, runs } => {
            meter::count_crash();
            warn!(log, "target: crashed; another process answers";
                "target" => %target, "incarnation" => incarnation, "runs" => runs);
        }
        Record::Leaving(target) => info!(log, "target: leaves"; "target" => %target),
        Record::Released(target) => info!(log, "target: released"; "target" => %target),
        Record::Speed { target, factor } => info!(log, "target: speed has changed";
            "target" => %target, "factor" => %factor),
        Record::Ejected(target) => warn!(log, "target: ejected"; "target" => %target),
        Record::Separation(change) => {
            let message = match change.is_in_force {
                true => "kinds: one slows the other down; keeping them apart",
                false => "kinds: no evidence that one slows the other down; mixing them again",
            };
            info!(log, "{}", message;
                "kind" => %change.kind, "neighbour" => %change.neighbour,
                "slowdown_permille" => change.slowdown.get(), "runs" => change.runs);
        }
        Record::Evacuation { mark, source } => {
            meter::count_evacuation(mark.is_evacuated);
            let source = source.as_ref().map_or("store", id::Instance::as_str);
            warn!(log, "data centre: evacuation changed";
                "data_centre" => %mark.data_centre, "evacuated" => mark.is_evacuated,
                "source" => source, "version" => mark.version);
        }
    }
}
