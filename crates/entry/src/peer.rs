//! Calls to other entry instances, on the control thread.
//!
//! Each listed instance has one link: a task that opens a connection when there is a call and
//! replaces it when a call gets no answer in time.

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

/// Calls that may wait for or be open on one link. More fail at once.
const MAX_CALLS: usize = 64;

/// Names kept that are asked for but not listed.
const MAX_MISSING: usize = 1_024;

/// An entry instance on the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name, without the suffix of a run.
    pub name: id::Instance,
    /// Data centre.
    pub data_centre: id::DataCentre,
    /// Where it listens for peers.
    pub address: SocketAddr,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// A question about a job to its owner.
#[derive(Clone, Debug)]
pub struct JobRequest {
    /// The team that asks.
    pub team: id::Team,
    /// The job.
    pub job: id::Job,
    /// Whether to cancel the job.
    pub cancel: bool,
    /// Whether to wait for the final answer; for how long at most.
    pub wait: Option<Duration>,
    /// W3C trace context.
    pub trace: Option<Arc<str>>,
}

/// Settings that an instance offers to a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Offer {
    /// Data centre of the sender.
    pub data_centre: id::DataCentre,
    /// The revisions.
    pub revisions: Vec<Revision>,
    /// Digest of all that the sender has in force.
    pub digest: Vec<InForce>,
}

type Outcome<T> = oneshot::Sender<Result<T, error::Peer>>;

enum Call {
    Report(Arc<Report>),
    Fetch(Vec<InForce>, Outcome<Vec<Revision>>),
    Push(Rc<Offer>, Outcome<Vec<InForce>>),
    Ask(Box<JobRequest>, Outcome<Reply>),
}

impl Call {
    const fn step(&self) -> &'static str {
        match self {
            Self::Report(_) => "report",
            Self::Fetch(..) => "fetch settings",
            Self::Push(..) => "push settings",
            Self::Ask(..) => "ask",
        }
    }

    const fn kind(&self) -> meter::Kind {
        match self {
            Self::Report(_) => meter::Kind::Report,
            Self::Fetch(..) | Self::Push(..) => meter::Kind::Settings,
            Self::Ask(..) => meter::Kind::Job,
        }
    }

    fn fail(self, error: error::Peer) {
        meter::peer_error(self.step());
        // The asker may be gone.
        match self {
            Self::Report(_) => {}
            Self::Fetch(_, reply) => drop(reply.send(Err(error))),
            Self::Push(.., reply) => drop(reply.send(Err(error))),
            Self::Ask(_, reply) => drop(reply.send(Err(error))),
        }
    }
}

/// Time limits of calls.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// To open a connection.
    pub connect: Duration,
    /// For one call.
    pub call: Duration,
    /// Time after which the platform's list shows a change. Only an owner that has been missing from
    /// the list for this long is gone.
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
    instance: RefCell<Option<id::Instance>>,
}

/// Outcome of a push: the versions then in force at the receiver.
pub type Pushed = oneshot::Receiver<Result<Vec<InForce>, error::Peer>>;

/// The links to all other instances.
pub struct Links {
    own: id::Instance,
    limits: Limits,
    control: Sender,
    log: Logger,
    tracer: Tracer,
    links: BTreeMap<id::Instance, Link>,
    /// Names that are asked for but not listed, with the time from which on they were missing.
    missing: RefCell<BTreeMap<id::Instance, Timestamp>>,
    /// When the platform's list was read last.
    listed_at: Option<Timestamp>,
}

/// Where a question about a job can go.
pub enum Route {
    /// To the instance of the owner's name; the answer comes through the channel.
    Forwarded(oneshot::Receiver<Result<Reply, error::Peer>>),
    /// The owner no longer exists.
    Gone,
    /// The owner's address is not known at present.
    Unknown,
}

/// State of one link, for the operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LinkStatus {
    /// Name of the instance.
    pub name: id::Instance,
    /// Its data centre.
    pub data_centre: id::DataCentre,
    /// Id of its present run, once it has reported.
    pub instance: Option<id::Instance>,
    /// Whether the last call succeeded.
    pub reachable: bool,
}

impl Links {
    /// Makes an empty set. `own` is the id of this run.
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

    /// Opens links to instances whose names are not known yet. They end with the first list.
    pub fn seed(&mut self, addresses: &[SocketAddr], data_centre: &id::DataCentre) {
        for (number, address) in addresses.iter().enumerate() {
            // A word with a number is always an id.
            let Ok(name) = format!("seed-{number}").parse() else { continue };
            let data_centre = data_centre.clone();
            let member = Member { name, data_centre, address: *address, leaving: false };
            let link = self.open(member);
            self.links.insert(link.member.name.clone(), link);
        }
    }

    /// Takes over a new list. Links to instances that are no longer listed end.
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
                _ => self.open(member),
            };
            self.links.insert(link.member.name.clone(), link);
        }
        let mut missing = self.missing.borrow_mut();
        missing.retain(|name, _| !self.links.contains_key(name));
        for name in previous.into_keys() {
            note_missing(&mut missing, name, now);
        }
    }

    /// Returns all linked instances with the ids of their present runs, as far as they are known;
    /// else with their names.
    pub fn peers(&self) -> Vec<engine::Peer> {
        self.links
            .values()
            .map(|link| engine::Peer {
                id: link.state.instance.borrow().as_ref().unwrap_or(&link.member.name).clone(),
                data_centre: link.member.data_centre.clone(),
                address: link.member.address,
                leaving: link.member.leaving,
            })
            .collect()
    }

    /// Takes note of the id of a run.
    pub fn record_incarnation(&self, instance: &id::Instance) {
        if let Some(link) = instance_name(instance).and_then(|name| self.by_name(name)) {
            link.state.instance.replace(Some(instance.clone()));
        }
    }

    /// Returns the state of all links.
    pub fn statuses(&self) -> Vec<LinkStatus> {
        self.links
            .values()
            .map(|link| LinkStatus {
                name: link.member.name.clone(),
                data_centre: link.member.data_centre.clone(),
                instance: link.state.instance.borrow().clone(),
                reachable: link.state.reachable.get() == Some(true),
            })
            .collect()
    }

    /// Sends a report to an instance, given by the id of a run or by its name.
    pub fn report(&self, to: &id::Instance, report: Arc<Report>) {
        if let Some(link) = self.find(to) {
            link.send(Call::Report(report));
        }
    }

    /// Asks an instance for settings that are newer than the known ones.
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

    /// Offers settings to an instance, given by the id of a run or by its name.
    pub fn push(&self, instance: &id::Instance, offer: Rc<Offer>) -> Option<Pushed> {
        let link = self.find(instance)?;
        let (reply, outcome) = oneshot::channel();
        link.send(Call::Push(offer, reply));
        Some(outcome)
    }

    /// Asks the owner of a job. An owner that restarted answers itself that the job is gone.
    pub fn forward(&self, question: JobRequest) -> Route {
        let owner = question.job.owner.clone();
        let Some(owner_name) = instance_name(&owner) else { return Route::Gone };
        if instance_name(&self.own) == Some(owner_name) {
            // A former run of this instance.
            return Route::Gone;
        }
        match self.by_name(owner_name) {
            Some(link) => {
                let (reply, outcome) = oneshot::channel();
                link.send(Call::Ask(Box::new(question), reply));
                Route::Forwarded(outcome)
            }
            None if self.is_gone(owner_name) => Route::Gone,
            None => Route::Unknown,
        }
    }

    /// Tells whether a name has been missing from the list for longer than the list may lag.
    fn is_gone(&self, name: &str) -> bool {
        let (Ok(name), Some(listed_at)) = (name.parse(), self.listed_at) else { return false };
        let mut missing = self.missing.borrow_mut();
        note_missing(&mut missing, name, listed_at).plus(self.limits.list_lag).is_past(listed_at)
    }

    /// Finds a link by the id of a run, or by the name of the instance.
    fn find(&self, instance: &id::Instance) -> Option<&Link> {
        let run = || {
            let mut links = self.links.values();
            links.find(|link| link.state.instance.borrow().as_ref() == Some(instance))
        };
        let link = self.links.get(instance).or_else(|| self.by_name(instance_name(instance)?));
        link.or_else(run)
    }

    fn by_name(&self, name: &str) -> Option<&Link> {
        self.links.get(&name.parse().ok()?)
    }

    fn open(&self, member: Member) -> Link {
        let (queue, calls) = mpsc::channel(MAX_CALLS);
        let state = Rc::new(LinkState {
            address: member.address,
            limits: self.limits,
            control: self.control.clone(),
            log: self.log.clone(),
            tracer: self.tracer.clone(),
            open_calls: Cell::new(0),
            reachable: Cell::new(None),
            instance: RefCell::new(None),
        });
        let task = spawn_local(run(state.clone(), calls)).abort_handle();
        Link { member, queue, state, task }
    }
}

/// Returns since when a name has been missing.
fn note_missing(
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

/// Returns the name in the id of a run.
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

/// An open connection.
struct Rpc {
    client: peer::Client,
    /// Set when a call got no answer in time.
    is_hung: Rc<Cell<bool>>,
    driver: AbortHandle,
}

impl Drop for Rpc {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

async fn run(state: Rc<LinkState>, mut calls: mpsc::Receiver<Call>) {
    let mut open: Option<Rc<Rpc>> = None;
    while let Some(call) = calls.recv().await {
        if open.as_ref().is_some_and(|rpc| rpc.is_hung.get() || rpc.driver.is_finished()) {
            open = None;
        }
        if open.is_none() {
            match connect(&state).await {
                Ok(rpc) => open = Some(Rc::new(rpc)),
                Err(error) => {
                    state.note(false, &error);
                    call.fail(error);
                    continue;
                }
            }
        }
        let Some(rpc) = &open else { continue };
        if state.open_calls.get() >= MAX_CALLS {
            let step = call.step();
            call.fail(error::Peer::Busy(step, state.address));
            continue;
        }
        state.open_calls.set(state.open_calls.get() + 1);
        let (state, rpc) = (state.clone(), rpc.clone());
        spawn_local(async move {
            perform(&state, &rpc, call).await;
            state.open_calls.set(state.open_calls.get() - 1);
        });
    }
}

async fn connect(state: &LinkState) -> Result<Rpc, error::Peer> {
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
    Ok(Rpc { client, is_hung: Rc::new(Cell::new(false)), driver })
}

async fn perform(state: &LinkState, rpc: &Rpc, call: Call) {
    let step = call.step();
    meter::message(call.kind());
    match call {
        Call::Report(report) => {
            let answer = state.bounded(step, rpc, None, send_report(&rpc.client, &report)).await;
            if let Ok(report) = answer {
                let previous = state.instance.replace(Some(report.from.clone()));
                if previous.as_ref() != Some(&report.from) {
                    info!(state.log, "peer: new run"; "peer" => %report.from);
                }
                // Fails only after the control thread has ended.
                let _ = state.control.send(Message::Reported(Box::new(report)));
            }
        }
        Call::Fetch(known, reply) => {
            let answer = state.bounded(step, rpc, None, fetch(&rpc.client, &known)).await;
            drop(reply.send(answer));
        }
        Call::Push(offer, reply) => {
            let answer = state.bounded(step, rpc, None, push(&rpc.client, &offer)).await;
            drop(reply.send(answer));
        }
        Call::Ask(question, reply) => {
            let trace = question.trace.as_ref();
            let mut span = state.tracer.child("peer", SpanKind::Client, trace.map(|t| &**t));
            span.set("peer", &state.address);
            let limit = question.wait;
            let call = ask(&rpc.client, &question, span.context(trace));
            let answer = state.bounded(step, rpc, limit, call).await;
            if let Err(error) = &answer {
                span.fail(error);
            }
            drop(reply.send(answer));
        }
    }
}

impl LinkState {
    /// Runs a call for at most the given time, or else for the limit of calls. A call that exceeds
    /// the latter marks its connection as hung.
    async fn bounded<T>(
        &self,
        step: &'static str,
        rpc: &Rpc,
        limit: Option<Duration>,
        call: impl Future<Output = Result<T, capnp::Error>>,
    ) -> Result<T, error::Peer> {
        let result = match timeout(limit.unwrap_or(self.limits.call), call).await {
            Ok(Ok(value)) => Ok(value),
            Ok(Err(error)) => {
                if error.kind == capnp::ErrorKind::Disconnected {
                    rpc.is_hung.set(true);
                }
                Err(error::Peer::Broken(step, self.address, error.to_string()))
            }
            Err(_) => {
                if limit.is_none() {
                    // Ends the other calls on the connection, which would wait in vain.
                    rpc.is_hung.set(true);
                    rpc.driver.abort();
                }
                Err(error::Peer::Silent(step, self.address))
            }
        };
        match &result {
            Ok(_) => self.note(true, &"none"),
            Err(error) => {
                meter::peer_error(step);
                self.note(false, error);
            }
        }
        result
    }

    fn note(&self, reachable: bool, error: &dyn std::fmt::Display) {
        if self.reachable.replace(Some(reachable)) == Some(reachable) {
            if !reachable {
                debug!(self.log, "peer: call failed"; "address" => self.address, "error" => %error);
            }
        } else if reachable {
            info!(self.log, "peer: reachable"; "address" => self.address);
        } else {
            info!(self.log, "peer: not reachable"; "address" => self.address, "error" => %error);
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

async fn ask(
    client: &peer::Client,
    question: &JobRequest,
    trace: Option<Arc<str>>,
) -> Result<Reply, capnp::Error> {
    let job = question.job.to_string();
    let trace = trace.as_deref().unwrap_or_default();
    if question.cancel {
        let mut request = client.cancel_job_request();
        let mut params = request.get();
        params.set_team(question.team.as_str());
        params.set_job(job.as_str());
        params.set_trace(trace);
        return read_answer(request.send().promise.await?.get()?.get_answer()?);
    }
    let mut request = client.query_job_request();
    let mut params = request.get();
    params.set_team(question.team.as_str());
    params.set_job(job.as_str());
    params.set_wait(question.wait.is_some());
    params.set_trace(trace);
    read_answer(request.send().promise.await?.get()?.get_answer()?)
}

/// The part of a [`verbenapass_proto::caller::Answer`] that is read on the way.
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
