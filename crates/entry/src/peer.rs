//! Cap'n Proto RPC client for the other entry instances (the peers), on the control thread.
//!
//! Each peer on the platform's instance list has one link: a task with a queue of calls. The task
//! connects when the first call is due and reconnects after a call timed out or the connection was
//! lost.

use crate::answer::Reply;
use crate::control::{Message, Sender};
use crate::error;
use crate::meter;
use crate::report;
use crate::trace::Tracer;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, twoparty};
use futures::AsyncReadExt;
use http::StatusCode;
use opentelemetry::trace::SpanKind;
use slog::{Logger, debug, info};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::timeout;
use tokio_util::compat::TokioAsyncReadCompatExt;
use verbenapass::config::Revision;
use verbenapass::engine;
use verbenapass::id;
use verbenapass::peer::{InForce, Report};
use verbenapass::time::Timestamp;
use verbenapass::unit::Millis;
use verbenapass_proto::caller::Code;
use verbenapass_proto::peer_capnp::{answer, peer};

/// Limit on the queued calls of a link, and separately on its calls in flight. Further calls fail
/// at once.
const MAX_CALLS: usize = 64;

/// Limit on the names in [`Links::missing`]; beyond it the one missing longest is dropped.
const MAX_MISSING: usize = 1_024;

/// An entry instance on the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name in the list, which stays the same across restarts.
    pub name: id::Instance,
    /// Data centre it runs in.
    pub data_centre: id::DataCentre,
    /// Address of its peer server.
    pub address: SocketAddr,
    /// Whether the list marks it as leaving, so that it gets no new work.
    pub leaving: bool,
}

/// A query or cancellation of a job, to be answered by the instance that owns the job.
#[derive(Clone, Debug)]
pub struct JobRequest {
    /// The team whose credential the caller presented.
    pub team: id::Team,
    /// Id of the job, which names the incarnation that owns it.
    pub job: id::Job,
    /// Whether to cancel the job instead of querying it.
    pub cancel: bool,
    /// Longest time to wait for the final answer; `None` asks for the present state.
    pub wait: Option<Duration>,
    /// W3C trace context for the next hop, see [`crate::trace::Span::context`].
    pub trace: Option<Arc<str>>,
}

/// Settings that an instance pushes to a peer, which puts in force those newer than its own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Offer {
    /// Data centre of the sender.
    pub data_centre: id::DataCentre,
    /// Subtrees that are offered.
    pub revisions: Vec<Revision>,
    /// Digest of all settings in force at the sender, see [`verbenapass::config::Replica::digest`].
    pub digest: Vec<InForce>,
}

type ResultSender<T> = oneshot::Sender<Result<T, error::Peer>>;

enum Call {
    Report(Arc<Report>),
    Fetch(Vec<InForce>, ResultSender<Vec<Revision>>),
    Push(Rc<Offer>, ResultSender<Vec<InForce>>),
    Job(Box<JobRequest>, ResultSender<Reply>),
}

impl Call {
    const fn step(&self) -> &'static str {
        match self {
            Self::Report(_) => "report",
            Self::Fetch(..) => "fetch settings",
            Self::Push(..) => "push settings",
            Self::Job(..) => "ask",
        }
    }

    const fn kind(&self) -> meter::Kind {
        match self {
            Self::Report(_) => meter::Kind::Report,
            Self::Fetch(..) | Self::Push(..) => meter::Kind::Settings,
            Self::Job(..) => meter::Kind::Job,
        }
    }

    fn fail(self, error: error::Peer) {
        meter::peer_error(self.step());
        // Sending fails only if the receiver was dropped.
        match self {
            Self::Report(_) => {}
            Self::Fetch(_, reply) => drop(reply.send(Err(error))),
            Self::Push(.., reply) => drop(reply.send(Err(error))),
            Self::Job(_, reply) => drop(reply.send(Err(error))),
        }
    }
}

/// Time limits of calls.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Timeout for opening a connection.
    pub connect: Duration,
    /// Timeout for a call that has no limit of its own.
    pub call: Duration,
    /// Longest time until the platform's list shows a change. An owner counts as gone only after it
    /// has been missing from the list for longer.
    pub list_lag: Millis,
}

struct Link {
    member: Member,
    queue: mpsc::Sender<Call>,
    state: Rc<LinkState>,
    task: AbortHandle,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct LinkState {
    address: SocketAddr,
    limits: Limits,
    control: Sender,
    log: Logger,
    tracer: Tracer,
    open_calls: Cell<usize>,
    reachable: Cell<Option<bool>>,
    incarnation: RefCell<Option<id::Instance>>,
}

/// Receives the result of a push: the digest of the settings in force at the peer after it.
pub type Pushed = oneshot::Receiver<Result<Vec<InForce>, error::Peer>>;

/// The links to all peers.
pub struct Links {
    own: id::Instance,
    limits: Limits,
    control: Sender,
    log: Logger,
    tracer: Tracer,
    links: BTreeMap<id::Instance, Link>,
    /// Names that are missing from the list, and since when: names that left the list, and names of
    /// owners in [`JobRequest`]s that were not on it.
    missing: RefCell<BTreeMap<id::Instance, Timestamp>>,
    /// When the platform's list was last read.
    listed_at: Option<Timestamp>,
}

/// What became of a [`JobRequest`].
pub enum Route {
    /// It was queued on the link to the owner; the channel receives the reply.
    Forwarded(oneshot::Receiver<Result<Reply, error::Peer>>),
    /// The incarnation that owns the job has ended, and its jobs with it.
    Gone,
    /// The owner is not on the list, which may be out of date.
    Unknown,
}

/// State of one link, for metrics and `/v1/status`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LinkStatus {
    /// Name of the peer in the list.
    pub name: id::Instance,
    /// Data centre of the peer.
    pub data_centre: id::DataCentre,
    /// Id of the peer's current incarnation; `None` until it has sent a report.
    pub instance: Option<id::Instance>,
    /// Whether the last call succeeded; false before the first call.
    pub reachable: bool,
}

impl Links {
    /// Creates an empty set. `own` is the id of this incarnation of the instance.
    pub fn new(
        own: id::Instance,
        limits: Limits,
        control: Sender,
        tracer: Tracer,
        log: Logger,
    ) -> Self {
        Self {
            own,
            limits,
            control,
            log,
            tracer,
            links: BTreeMap::new(),
            missing: RefCell::default(),
            listed_at: None,
        }
    }

    /// Opens links to the configured addresses under placeholder names. The first list replaces
    /// them.
    pub fn seed(&mut self, addresses: &[SocketAddr], data_centre: &id::DataCentre) {
        for (number, address) in addresses.iter().enumerate() {
            // A placeholder of this form always parses as an id.
            let Ok(name) = format!("seed-{number}").parse() else { continue };
            let data_centre = data_centre.clone();
            let member = Member { name, data_centre, address: *address, leaving: false };
            let link = self.open_link(member);
            self.links.insert(link.member.name.clone(), link);
        }
    }

    /// Replaces the instance list: opens links to new members and closes those to members that are
    /// gone or have a new address.
    pub fn update(&mut self, listed: Vec<Member>, now: Timestamp) {
        self.listed_at = Some(now);
        let own_name = instance_name(&self.own).map(str::to_owned);
        let mut previous = std::mem::take(&mut self.links);
        for member in listed {
            if own_name.as_deref() == Some(member.name.as_str()) {
                continue;
            }
            let link = match previous.remove(&member.name) {
                Some(mut link) if link.member.address == member.address => {
                    link.member = member;
                    link
                }
                _ => self.open_link(member),
            };
            self.links.insert(link.member.name.clone(), link);
        }
        let mut missing = self.missing.borrow_mut();
        missing.retain(|name, _| !self.links.contains_key(name));
        for name in previous.into_keys() {
            record_missing(&mut missing, name, now);
        }
    }

    /// Returns all peers. The id of each is its incarnation id, or its name while that is unknown.
    pub fn peers(&self) -> Vec<engine::Peer> {
        self.links
            .values()
            .map(|link| engine::Peer {
                id: link.state.incarnation.borrow().as_ref().unwrap_or(&link.member.name).clone(),
                data_centre: link.member.data_centre.clone(),
                address: link.member.address,
                leaving: link.member.leaving,
            })
            .collect()
    }

    /// Stores the id of the current incarnation of a peer.
    pub fn record_incarnation(&self, instance: &id::Instance) {
        if let Some(link) = instance_name(instance).and_then(|name| self.by_name(name)) {
            link.state.incarnation.replace(Some(instance.clone()));
        }
    }

    /// Returns the state of each link, ordered by name.
    pub fn statuses(&self) -> Vec<LinkStatus> {
        self.links
            .values()
            .map(|link| LinkStatus {
                name: link.member.name.clone(),
                data_centre: link.member.data_centre.clone(),
                instance: link.state.incarnation.borrow().clone(),
                reachable: link.state.reachable.get() == Some(true),
            })
            .collect()
    }

    /// Queues a report for a peer, given by incarnation id or name. Does nothing without a link.
    pub fn report(&self, to: &id::Instance, report: Arc<Report>) {
        if let Some(link) = self.find(to) {
            link.send(Call::Report(report));
        }
    }

    /// Requests the settings that are newer at a peer than `known`. Returns `None` without a link.
    pub fn fetch(
        &self,
        instance: &id::Instance,
        known: Vec<InForce>,
    ) -> Option<oneshot::Receiver<Result<Vec<Revision>, error::Peer>>> {
        let link = self.find(instance)?;
        let (reply, outcome) = oneshot::channel();
        link.send(Call::Fetch(known, reply));
        Some(outcome)
    }

    /// Pushes settings to a peer, given by incarnation id or name. Returns `None` without a link.
    pub fn push(&self, instance: &id::Instance, offer: Rc<Offer>) -> Option<Pushed> {
        let link = self.find(instance)?;
        let (reply, outcome) = oneshot::channel();
        link.send(Call::Push(offer, reply));
        Some(outcome)
    }

    /// Forwards a request to the owner of its job. A later incarnation of the owner replies that
    /// the owner is gone.
    pub fn forward(&self, request: JobRequest) -> Route {
        let owner = request.job.owner.clone();
        let Some(owner_name) = instance_name(&owner) else { return Route::Gone };
        if instance_name(&self.own) == Some(owner_name) {
            // The owner is an earlier incarnation of this instance.
            return Route::Gone;
        }
        match self.by_name(owner_name) {
            Some(link) => {
                let (reply, outcome) = oneshot::channel();
                link.send(Call::Job(Box::new(request), reply));
                Route::Forwarded(outcome)
            }
            None if self.is_gone(owner_name) => Route::Gone,
            None => Route::Unknown,
        }
    }

    /// Tells whether a name has been missing from the list for longer than the list may lag behind.
    fn is_gone(&self, name: &str) -> bool {
        let (Ok(name), Some(listed_at)) = (name.parse(), self.listed_at) else { return false };
        let mut missing = self.missing.borrow_mut();
        record_missing(&mut missing, name, listed_at).plus(self.limits.list_lag).is_past(listed_at)
    }

    /// Finds a link by incarnation id or name.
    fn find(&self, instance: &id::Instance) -> Option<&Link> {
        let by_incarnation = || {
            let mut links = self.links.values();
            links.find(|link| link.state.incarnation.borrow().as_ref() == Some(instance))
        };
        let link = self.links.get(instance).or_else(|| self.by_name(instance_name(instance)?));
        link.or_else(by_incarnation)
    }

    fn by_name(&self, name: &str) -> Option<&Link> {
        self.links.get(&name.parse().ok()?)
    }

    fn open_link(&self, member: Member) -> Link {
        let (queue, calls) = mpsc::channel(MAX_CALLS);
        let state = Rc::new(LinkState {
            address: member.address,
            limits: self.limits,
            control: self.control.clone(),
            log: self.log.clone(),
            tracer: self.tracer.clone(),
            open_calls: Cell::new(0),
            reachable: Cell::new(None),
            incarnation: RefCell::new(None),
        });
        let task = spawn_local(run_link(state.clone(), calls)).abort_handle();
        Link { member, queue, state, task }
    }
}

/// Records that a name is missing and returns since when. Drops the oldest record at the limit.
fn record_missing(
    missing: &mut BTreeMap<id::Instance, Timestamp>,
    name: id::Instance,
    now: Timestamp,
) -> Timestamp {
    if missing.len() >= MAX_MISSING
        && !missing.contains_key(&name)
        && let Some(oldest) = missing.iter().min_by_key(|(_, since)| **since)
    {
        let oldest = oldest.0.clone();
        missing.remove(&oldest);
    }
    *missing.entry(name).or_insert(now)
}

/// Returns the name part of an incarnation id, which has the form `NAME.SUFFIX`. `None` if there is
/// no suffix.
pub fn instance_name(instance: &id::Instance) -> Option<&str> {
    instance.as_str().rsplit_once('.').map(|(name, _)| name)
}

impl Link {
    fn send(&self, call: Call) {
        if let Err(error) = self.queue.try_send(call) {
            let call = error.into_inner();
            let step = call.step();
            call.fail(error::Peer::Busy(step, self.state.address));
        }
    }
}

struct Connection {
    client: peer::Client,
    /// Set when the connection was lost or a call on it exceeded [`Limits::call`]; the next call
    /// then opens another one.
    is_broken: Rc<Cell<bool>>,
    driver: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

async fn run_link(state: Rc<LinkState>, mut calls: mpsc::Receiver<Call>) {
    let mut open: Option<Rc<Connection>> = None;
    while let Some(call) = calls.recv().await {
        if open
            .as_ref()
            .is_some_and(|connection| connection.is_broken.get() || connection.driver.is_finished())
        {
            open = None;
        }
        if open.is_none() {
            match connect(&state).await {
                Ok(connection) => open = Some(Rc::new(connection)),
                Err(error) => {
                    state.record_reachability(false, &error);
                    call.fail(error);
                    continue;
                }
            }
        }
        let Some(connection) = &open else { continue };
        if state.open_calls.get() >= MAX_CALLS {
            let step = call.step();
            call.fail(error::Peer::Busy(step, state.address));
            continue;
        }
        state.open_calls.set(state.open_calls.get() + 1);
        let (state, connection) = (state.clone(), connection.clone());
        spawn_local(async move {
            execute(&state, &connection, call).await;
            state.open_calls.set(state.open_calls.get() - 1);
        });
    }
}

async fn connect(state: &LinkState) -> Result<Connection, error::Peer> {
    let fail = |message: String| error::Peer::Connect(state.address, message);
    let stream = match timeout(state.limits.connect, TcpStream::connect(state.address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
            return Err(error::Peer::Refused(state.address));
        }
        Ok(Err(error)) => return Err(fail(error.to_string())),
        Err(_) => return Err(fail("no connection in time".into())),
    };
    stream.set_nodelay(true).map_err(|error| fail(error.to_string()))?;
    let (reader, writer) = stream.compat().split();
    let network = twoparty::VatNetwork::new(
        futures::io::BufReader::new(reader),
        futures::io::BufWriter::new(writer),
        Side::Client,
        capnp::message::ReaderOptions::default(),
    );
    let mut system = RpcSystem::new(Box::new(network), None);
    let client = system.bootstrap(Side::Server);
    let driver = spawn_local(system).abort_handle();
    Ok(Connection { client, is_broken: Rc::new(Cell::new(false)), driver })
}

async fn execute(state: &LinkState, connection: &Connection, call: Call) {
    let step = call.step();
    meter::message(call.kind());
    match call {
        Call::Report(report) => {
            let answer = state
                .with_timeout(step, connection, None, send_report(&connection.client, &report))
                .await;
            if let Ok(report) = answer {
                let previous = state.incarnation.replace(Some(report.from.clone()));
                if previous.as_ref() != Some(&report.from) {
                    info!(state.log, "peer: connected to a new incarnation";
                        "peer" => %report.from);
                }
                // Fails only after the control thread has ended.
                let _ = state.control.send(Message::Reported(Box::new(report)));
            }
        }
        Call::Fetch(known, reply) => {
            let answer =
                state.with_timeout(step, connection, None, fetch(&connection.client, &known)).await;
            drop(reply.send(answer));
        }
        Call::Push(offer, reply) => {
            let answer =
                state.with_timeout(step, connection, None, push(&connection.client, &offer)).await;
            drop(reply.send(answer));
        }
        Call::Job(request, reply) => {
            let trace = request.trace.as_ref();
            let mut span = state.tracer.child("peer", SpanKind::Client, trace.map(|t| &**t));
            span.set("peer", &state.address);
            let limit = request.wait;
            let exchange = send_job_request(&connection.client, &request, span.context(trace));
            let answer = state.with_timeout(step, connection, limit, exchange).await;
            if let Err(error) = &answer {
                span.fail(error);
            }
            drop(reply.send(answer));
        }
    }
}

impl LinkState {
    /// Runs a call with the given timeout, or else with [`Limits::call`]. Only the latter marks the
    /// connection as broken when it expires: a job may take longer than its caller waits.
    async fn with_timeout<T>(
        &self,
        step: &'static str,
        connection: &Connection,
        limit: Option<Duration>,
        call: impl Future<Output = Result<T, capnp::Error>>,
    ) -> Result<T, error::Peer> {
        let result = match timeout(limit.unwrap_or(self.limits.call), call).await {
            Ok(Ok(value)) => Ok(value),
            Ok(Err(error)) => {
                if error.kind == capnp::ErrorKind::Disconnected {
                    connection.is_broken.set(true);
                }
                Err(error::Peer::Failed(step, self.address, error.to_string()))
            }
            Err(_) => {
                if limit.is_none() {
                    // Fails the other calls on the connection, which would time out too.
                    connection.is_broken.set(true);
                    connection.driver.abort();
                }
                Err(error::Peer::Timeout(step, self.address))
            }
        };
        match &result {
            Ok(_) => self.record_reachability(true, &"none"),
            Err(error) => {
                meter::peer_error(step);
                self.record_reachability(false, error);
            }
        }
        result
    }

    fn record_reachability(&self, reachable: bool, error: &dyn std::fmt::Display) {
        if self.reachable.replace(Some(reachable)) == Some(reachable) {
            if !reachable {
                debug!(self.log, "peer: call failed; the peer remains unreachable";
                    "address" => self.address, "error" => %error);
            }
        } else if reachable {
            info!(self.log, "peer: call succeeded; the peer is reachable";
                "address" => self.address);
        } else {
            info!(self.log, "peer: call failed; the peer counts as unreachable";
                "address" => self.address, "error" => %error);
        }
    }
}

async fn send_report(client: &peer::Client, report: &Report) -> Result<Report, capnp::Error> {
    let mut request = client.report_request();
    report::write(report, request.get().init_report());
    let response = request.send().promise.await?;
    report::read(response.get()?.get_report()?)
}

async fn fetch(client: &peer::Client, known: &[InForce]) -> Result<Vec<Revision>, capnp::Error> {
    let mut request = client.fetch_settings_request();
    report::write_in_force(known, request.get().init_known(known.len() as u32));
    let response = request.send().promise.await?;
    report::read_subtrees(response.get()?.get_subtrees()?)
}

async fn push(client: &peer::Client, offer: &Offer) -> Result<Vec<InForce>, capnp::Error> {
    let mut request = client.push_settings_request();
    let mut params = request.get();
    params.set_data_centre(offer.data_centre.as_str());
    let subtrees = params.reborrow().init_subtrees(offer.revisions.len() as u32);
    report::write_subtrees(&offer.revisions, subtrees);
    report::write_in_force(&offer.digest, params.init_digest(offer.digest.len() as u32));
    let response = request.send().promise.await?;
    report::read_in_force(response.get()?.get_in_force()?)
}

async fn send_job_request(
    client: &peer::Client,
    job_request: &JobRequest,
    trace: Option<Arc<str>>,
) -> Result<Reply, capnp::Error> {
    let job = job_request.job.to_string();
    let trace = trace.as_deref().unwrap_or_default();
    if job_request.cancel {
        let mut request = client.cancel_job_request();
        let mut params = request.get();
        params.set_team(job_request.team.as_str());
        params.set_job(job.as_str());
        params.set_trace(trace);
        return read_answer(request.send().promise.await?.get()?.get_answer()?);
    }
    let mut request = client.query_job_request();
    let mut params = request.get();
    params.set_team(job_request.team.as_str());
    params.set_job(job.as_str());
    params.set_wait(job_request.wait.is_some());
    params.set_trace(trace);
    read_answer(request.send().promise.await?.get()?.get_answer()?)
}

/// The only field of a forwarded [`verbenapass_proto::caller::Answer`] that this instance parses.
#[derive(serde::Deserialize)]
struct Head {
    code: Code,
}

fn read_answer(answer: answer::Reader<'_>) -> Result<Reply, capnp::Error> {
    let status = StatusCode::from_u16(answer.get_http_status())
        .map_err(|error| capnp::Error::failed(error.to_string()))?;
    let retry_at = answer.get_retry_at();
    let body = answer.get_json()?.to_vec();
    let head: Head = serde_json::from_slice(&body)
        .map_err(|error| capnp::Error::failed(format!("malformed answer: {error}")))?;
    Ok(Reply {
        code: head.code,
        status,
        body,
        retry_at: (retry_at > 0).then(|| Timestamp::from_micros(retry_at)),
    })
}
