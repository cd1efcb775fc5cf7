//! Targets: run tasks for the time that their payload gives.
//!
//! Each target serves the target protocol and `GET /v1/runs` with [`Runs`] on its own address. The
//! control address serves `GET /v1/runs` and `PUT /v1/switches` for all hosted targets, and
//! `GET /v1/targets/{name}/runs` and `PUT /v1/targets/{name}/switches` for one. `?records=true`
//! adds the records of runs.

use crate::http::{self, Connection, Dropped, ListenerState, Request, Response};
use crate::run::{Counts, Record, Runs};
use crate::settings;
use crate::switch::{self, Delivery, Silence};
use crate::wire::Ending;
use ::http::{HeaderMap, HeaderValue, Method};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::watch;
use tokio::task::JoinSet;
use verbenapass_proto::target::{Answer, BUSY, DEADLINE, KIND, NOT_RUN, Payload, START, TEAM};

/// Outcomes kept for queries. An entry instance asks within its trust time for a connection, a few
/// seconds, in which a target of 8 slots ends far fewer tasks.
const KEPT_OUTCOMES: usize = 4_096;
/// Size of an oversized answer; the default limit of a kind is 65,536 bytes.
const OVERSIZED_BYTES: usize = 4 * 1_024 * 1_024;

/// Query of `GET /v1/runs`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RunsQuery {
    /// Whether to list every run.
    pub records: bool,
}

#[derive(Clone, Debug)]
enum Outcome {
    Running,
    Finished(Bytes),
    Failed,
}

#[derive(Debug, Default)]
struct State {
    switches: switch::Target,
    silent_below: u64,
    running: u32,
    counts: Counts,
    records: Vec<Record>,
    outcomes: HashMap<String, Outcome>,
    order: VecDeque<String>,
}

#[derive(Debug)]
struct Host {
    options: settings::Target,
    state: Mutex<State>,
    gate: watch::Sender<ListenerState>,
    numbers: Arc<AtomicU64>,
}

/// Running targets. They stop at once when dropped.
#[derive(Debug)]
pub struct Server {
    hosts: Arc<Vec<Arc<Host>>>,
    stop: watch::Sender<ListenerState>,
    tasks: JoinSet<io::Result<()>>,
    control: SocketAddr,
    addresses: Vec<SocketAddr>,
}

impl Server {
    /// Binds all addresses and serves them on the current runtime.
    pub async fn start(settings: settings::Targets) -> io::Result<Self> {
        let mut tasks = JoinSet::new();
        let mut hosts = Vec::new();
        let mut addresses = Vec::new();
        for options in settings.targets {
            let bound = http::bind(&options.name, options.address).await?;
            addresses.push(bound.local_addr()?);
            let host = Arc::new(Host {
                options,
                state: Mutex::default(),
                gate: watch::Sender::new(ListenerState::Open),
                numbers: Arc::default(),
            });
            let shared = host.clone();
            let handler = move |request, connection| serve(shared.clone(), request, connection);
            tasks.spawn(http::serve(bound, host.gate.subscribe(), host.numbers.clone(), handler));
            hosts.push(host);
        }
        let hosts = Arc::new(hosts);
        let bound = http::bind("control", settings.control).await?;
        let control = bound.local_addr()?;
        let stop = watch::Sender::new(ListenerState::Open);
        let shared = hosts.clone();
        let handler = move |request, _| command(shared.clone(), request);
        tasks.spawn(http::serve(bound, stop.subscribe(), Arc::default(), handler));
        Ok(Self { hosts, stop, tasks, control, addresses })
    }

    /// Returns the control address.
    pub const fn control(&self) -> SocketAddr {
        self.control
    }

    /// Returns the addresses of the targets in the order of the settings.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Sets all switches of one target, or of all if `name` is `None`.
    pub fn set_switches(&self, name: Option<&str>, switches: &switch::Target) {
        for host in select(&self.hosts, name) {
            host.set_switches(switches.clone());
        }
    }

    /// Returns what all targets ran, with records.
    pub fn runs(&self) -> Runs {
        Runs::merge(self.hosts.iter().map(|host| host.runs()))
    }

    /// Refuses new tasks, finishes those that run, and stops.
    pub async fn stop(mut self) {
        for host in self.hosts.iter() {
            host.state().switches.draining = true;
            host.gate.send_replace(ListenerState::Stopped);
        }
        self.stop.send_replace(ListenerState::Stopped);
        while self.tasks.join_next().await.is_some() {}
    }
}

impl Host {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn set_switches(&self, switches: switch::Target) {
        let mut state = self.state();
        state.silent_below = match switches.silence {
            Silence::None => 0,
            Silence::Existing => self.numbers.load(Ordering::Acquire),
            Silence::All => u64::MAX,
        };
        self.gate.send_replace(if switches.refuse {
            ListenerState::Closed
        } else {
            ListenerState::Open
        });
        state.switches = switches;
    }

    fn runs(&self) -> Runs {
        let state = self.state();
        let mut counts = state.counts.clone();
        counts.connections = self.numbers.load(Ordering::Acquire);
        Runs::new(state.records.clone(), counts)
    }
}

/// Time in microseconds since the Unix epoch.
fn now_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |span| span.as_micros() as u64)
}

fn select<'a>(
    hosts: &'a [Arc<Host>],
    name: Option<&'a str>,
) -> impl Iterator<Item = &'a Arc<Host>> {
    hosts.iter().filter(move |host| name.is_none_or(|name| host.options.name == name))
}

async fn command(hosts: Arc<Vec<Arc<Host>>>, request: Request) -> Result<Response, Dropped> {
    let path = request.uri().path().to_owned();
    let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
    let (name, action) = match parts.as_slice() {
        ["healthz"] => return Ok(http::empty(200)),
        ["v1", action] => (None, *action),
        ["v1", "targets", name, action] => (Some(*name), *action),
        _ => return Ok(http::empty(404)),
    };
    if select(&hosts, name).next().is_none() {
        return Ok(http::empty(404));
    }
    let result = match (request.method().clone(), action) {
        (Method::GET, "runs") => http::query(&request).map(|query: RunsQuery| {
            let mut runs = Runs::merge(select(&hosts, name).map(|host| host.runs()));
            runs.records.truncate(if query.records { usize::MAX } else { 0 });
            http::json(200, &runs)
        }),
        (Method::PUT, "switches") => http::read(request).await.map(|switches: switch::Target| {
            for host in select(&hosts, name) {
                host.set_switches(switches.clone());
            }
            http::empty(204)
        }),
        _ => Ok(http::empty(404)),
    };
    Ok(result.unwrap_or_else(|response| *response))
}

async fn serve(
    host: Arc<Host>,
    request: Request,
    connection: Connection,
) -> Result<Response, Dropped> {
    let silent = connection.number < host.state().silent_below;
    if silent {
        return std::future::pending().await;
    }
    if connection.open > u64::from(host.options.connections) {
        host.state().counts.refused_connections += 1;
        let mut response = not_run("busy", host.options.slots);
        response
            .headers_mut()
            .insert(::http::header::CONNECTION, HeaderValue::from_static("close"));
        return Ok(response);
    }
    let path = request.uri().path().to_owned();
    match (request.method().clone(), path.strip_prefix("/v1/tasks/")) {
        (Method::POST, Some(start)) => run(host, start.into(), request, connection).await,
        (Method::GET, Some(start)) => {
            let mut state = host.state();
            state.counts.queries += 1;
            Ok(match state.outcomes.get(start) {
                Some(Outcome::Running) => http::empty(202),
                Some(Outcome::Finished(body)) => answer(start, body.clone()),
                Some(Outcome::Failed) => failed(start),
                None => http::empty(404),
            })
        }
        (Method::GET, None) if path == "/v1/runs" => Ok(http::query(&request).map_or_else(
            |response| *response,
            |query: RunsQuery| {
                let mut runs = host.runs();
                runs.records.truncate(if query.records { usize::MAX } else { 0 });
                http::json(200, &runs)
            },
        )),
        _ => Ok(http::empty(404)),
    }
}

fn header(headers: &HeaderMap, name: &str) -> String {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default().into()
}

fn not_run(reason: &'static str, busy: u32) -> Response {
    let mut response = http::empty(503);
    response.headers_mut().insert(NOT_RUN, HeaderValue::from_static(reason));
    with_busy(response, busy)
}

fn with_busy(mut response: Response, busy: u32) -> Response {
    response.headers_mut().insert(BUSY, busy.into());
    response
}

fn with_start(mut response: Response, start: &str) -> Response {
    if let Ok(value) = HeaderValue::from_str(start) {
        response.headers_mut().insert(START, value);
    }
    response
}

fn answer(start: &str, body: Bytes) -> Response {
    let mut response = with_start(http::empty(200), start);
    *response.body_mut() = body.into();
    response
}

fn failed(start: &str) -> Response {
    with_start(http::json(500, &"the task failed"), start)
}

async fn run(
    host: Arc<Host>,
    start: String,
    request: Request,
    connection: Connection,
) -> Result<Response, Dropped> {
    let headers = request.headers().clone();
    host.state().counts.starts += 1;
    if host.state().switches.reset {
        connection.next_ending.set(Ending::Reset);
        return Ok(http::empty(500));
    }
    let payload: Payload = match http::read(request).await {
        Ok(payload) => payload,
        Err(response) => return Ok(*response),
    };
    if let Some(reason) = host.begin(&start, &headers, &payload) {
        let busy = host.state().running;
        return Ok(not_run(reason, busy));
    }
    // A task that began runs to its end even if the connection goes away.
    let running = tokio::spawn(work(host, start, payload, connection));
    running.await.map_err(|_| Dropped::Closed)
}

impl Host {
    /// Takes a slot, or returns the reason of a refusal.
    fn begin(&self, start: &str, headers: &HeaderMap, payload: &Payload) -> Option<&'static str> {
        let begun_us = now_us();
        let deadline_us = header(headers, DEADLINE).parse().unwrap_or(u64::MAX);
        let mut state = self.state();
        if state.switches.draining {
            state.counts.draining += 1;
            return Some("draining");
        }
        if begun_us >= deadline_us {
            state.counts.expired += 1;
            return Some("expired");
        }
        if state.running >= self.options.slots {
            state.counts.busy += 1;
            return Some("busy");
        }
        state.running += 1;
        state.records.push(Record {
            start: start.into(),
            target: self.options.name.clone(),
            team: header(headers, TEAM),
            kind: header(headers, KIND),
            echo: payload.echo.clone(),
            begun_us,
            deadline_us,
        });
        state.outcomes.insert(start.into(), Outcome::Running);
        state.order.push_back(start.into());
        if state.order.len() > KEPT_OUTCOMES
            && let Some(oldest) = state.order.pop_front()
        {
            state.outcomes.remove(&oldest);
        }
        None
    }

    /// Frees a slot. Returns the number of tasks that ran until now, this one included.
    fn end(&self, start: &str, outcome: Outcome) -> u32 {
        let mut state = self.state();
        let busy = state.running;
        state.running -= 1;
        if let Some(kept) = state.outcomes.get_mut(start) {
            *kept = outcome;
        }
        busy
    }
}

async fn work(
    host: Arc<Host>,
    start: String,
    payload: Payload,
    connection: Connection,
) -> Response {
    let before = host.state().switches.clone();
    let run_us = payload.run_us * (100 + before.slower_percent) / 100;
    if !before.fail && run_us > 0 {
        tokio::time::sleep(Duration::from_micros(run_us)).await;
    }
    let switches = host.state().switches.clone();
    let failing = payload.fail || before.fail;
    let oversized = switches.delivery == Delivery::Oversized;
    let padding = if oversized { OVERSIZED_BYTES } else { payload.answer_bytes };
    let body = Answer { echo: payload.echo, padding: "x".repeat(padding) };
    let body = Bytes::from(serde_json::to_vec(&body).unwrap_or_default());
    let outcome = if failing { Outcome::Failed } else { Outcome::Finished(body.clone()) };
    let busy = host.end(&start, outcome);
    if switches.late_ms > 0 {
        tokio::time::sleep(Duration::from_millis(switches.late_ms)).await;
    }
    match switches.delivery {
        Delivery::Twice => connection.next_ending.set(Ending::Twice),
        Delivery::Truncated => connection.next_ending.set(Ending::Truncated),
        Delivery::Lost => connection.next_ending.set(Ending::Reset),
        Delivery::Whole | Delivery::WrongStart | Delivery::Oversized => {}
    }
    let echoed = match switches.delivery {
        Delivery::WrongStart => format!("{start}0"),
        _ => start,
    };
    let response = if failing { failed(&echoed) } else { answer(&echoed, body) };
    with_busy(response, busy)
}
