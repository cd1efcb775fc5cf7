//! Stand-in targets. They run each task for the time given in its payload.
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

/// Number of outcomes kept for queries. An entry instance queries a start within a few seconds after
/// its answer is overdue. A target of 8 slots finishes far fewer tasks in that time.
const MAX_KEPT_OUTCOMES: usize = 4_096;
/// Padding of an oversized answer. The default limit of a kind is 65,536 bytes.
const OVERSIZED_BYTES: usize = 4 * 1_024 * 1_024;

/// Query of `GET /v1/runs`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RunsQuery {
    /// Whether the answer has the records of all runs, not only counts.
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
    /// Connections with a lower number get no answers.
    silent_below: u64,
    running: u32,
    counts: Counts,
    records: Vec<Record>,
    outcomes: HashMap<String, Outcome>,
    outcome_order: VecDeque<String>,
}

#[derive(Debug)]
struct HostedTarget {
    options: settings::Target,
    state: Mutex<State>,
    listener_state: watch::Sender<ListenerState>,
    next_number: Arc<AtomicU64>,
}

/// Running targets. Dropping the server stops them at once, without finishing tasks.
#[derive(Debug)]
pub struct Server {
    targets: Arc<Vec<Arc<HostedTarget>>>,
    control_state: watch::Sender<ListenerState>,
    tasks: JoinSet<io::Result<()>>,
    control: SocketAddr,
    addresses: Vec<SocketAddr>,
}

impl Server {
    /// Binds all addresses and serves them on the current runtime. Fails if an address can't be bound.
    pub async fn start(settings: settings::Targets) -> io::Result<Self> {
        let mut tasks = JoinSet::new();
        let mut targets = Vec::new();
        let mut addresses = Vec::new();
        for options in settings.targets {
            let bound = http::bind(&options.name, options.address).await?;
            addresses.push(bound.local_addr()?);
            let target = Arc::new(HostedTarget {
                options,
                state: Mutex::default(),
                listener_state: watch::Sender::new(ListenerState::Open),
                next_number: Arc::default(),
            });
            let shared = target.clone();
            let handler =
                move |request, connection| serve_request(shared.clone(), request, connection);
            tasks.spawn(http::serve(
                bound,
                target.listener_state.subscribe(),
                target.next_number.clone(),
                handler,
            ));
            targets.push(target);
        }
        let targets = Arc::new(targets);
        let bound = http::bind("control", settings.control).await?;
        let control = bound.local_addr()?;
        let control_state = watch::Sender::new(ListenerState::Open);
        let shared = targets.clone();
        let handler = move |request, _| serve_control(shared.clone(), request);
        tasks.spawn(http::serve(bound, control_state.subscribe(), Arc::default(), handler));
        Ok(Self { targets, control_state, tasks, control, addresses })
    }

    /// Returns the control address with the port that was bound.
    pub const fn control(&self) -> SocketAddr {
        self.control
    }

    /// Returns the bound addresses of the targets in the order of the settings.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Replaces all fault switches of one target, or of all targets if `name` is `None`. An unknown
    /// name has no effect.
    pub fn set_switches(&self, name: Option<&str>, switches: &switch::Target) {
        for target in select(&self.targets, name) {
            target.set_switches(switches.clone());
        }
    }

    /// Returns the runs of all targets, with records.
    pub fn runs(&self) -> Runs {
        Runs::merge(self.targets.iter().map(|target| target.runs()))
    }

    /// Refuses new tasks, finishes running ones, for at most 20 s, and stops.
    pub async fn stop(mut self) {
        for target in self.targets.iter() {
            target.state().switches.draining = true;
            target.listener_state.send_replace(ListenerState::Stopped);
        }
        self.control_state.send_replace(ListenerState::Stopped);
        while self.tasks.join_next().await.is_some() {}
    }
}

impl HostedTarget {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn set_switches(&self, switches: switch::Target) {
        let mut state = self.state();
        state.silent_below = match switches.silence {
            Silence::None => 0,
            Silence::Existing => self.next_number.load(Ordering::Acquire),
            Silence::All => u64::MAX,
        };
        self.listener_state.send_replace(if switches.refuse {
            ListenerState::Closed
        } else {
            ListenerState::Open
        });
        state.switches = switches;
    }

    fn runs(&self) -> Runs {
        let state = self.state();
        let mut counts = state.counts.clone();
        counts.connections = self.next_number.load(Ordering::Acquire);
        Runs::new(state.records.clone(), counts)
    }
}

/// Returns the time in microseconds since the Unix epoch.
fn now_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |span| span.as_micros() as u64)
}

fn select<'a>(
    targets: &'a [Arc<HostedTarget>],
    name: Option<&'a str>,
) -> impl Iterator<Item = &'a Arc<HostedTarget>> {
    targets.iter().filter(move |target| name.is_none_or(|name| target.options.name == name))
}

async fn serve_control(
    targets: Arc<Vec<Arc<HostedTarget>>>,
    request: Request,
) -> Result<Response, Dropped> {
    let path = request.uri().path().to_owned();
    let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
    let (name, action) = match parts.as_slice() {
        ["healthz"] => return Ok(http::empty(200)),
        ["v1", action] => (None, *action),
        ["v1", "targets", name, action] => (Some(*name), *action),
        _ => return Ok(http::empty(404)),
    };
    if select(&targets, name).next().is_none() {
        return Ok(http::empty(404));
    }
    let result = match (request.method().clone(), action) {
        (Method::GET, "runs") => http::query(&request).map(|query: RunsQuery| {
            let mut runs = Runs::merge(select(&targets, name).map(|target| target.runs()));
            runs.records.truncate(if query.records { usize::MAX } else { 0 });
            http::json(200, &runs)
        }),
        (Method::PUT, "switches") => http::read(request).await.map(|switches: switch::Target| {
            for target in select(&targets, name) {
                target.set_switches(switches.clone());
            }
            http::empty(204)
        }),
        _ => Ok(http::empty(404)),
    };
    Ok(result.unwrap_or_else(|response| *response))
}

async fn serve_request(
    target: Arc<HostedTarget>,
    request: Request,
    connection: Connection,
) -> Result<Response, Dropped> {
    let silent = connection.number < target.state().silent_below;
    if silent {
        return std::future::pending().await;
    }
    if connection.open > u64::from(target.options.connections) {
        target.state().counts.refused_connections += 1;
        let mut response = not_run("busy", target.options.slots);
        response
            .headers_mut()
            .insert(::http::header::CONNECTION, HeaderValue::from_static("close"));
        return Ok(response);
    }
    let path = request.uri().path().to_owned();
    match (request.method().clone(), path.strip_prefix("/v1/tasks/")) {
        (Method::POST, Some(start)) => start_task(target, start.into(), request, connection).await,
        (Method::GET, Some(start)) => {
            let mut state = target.state();
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
                let mut runs = target.runs();
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

async fn start_task(
    target: Arc<HostedTarget>,
    start: String,
    request: Request,
    connection: Connection,
) -> Result<Response, Dropped> {
    let headers = request.headers().clone();
    target.state().counts.starts += 1;
    if target.state().switches.reset {
        connection.next_ending.set(Ending::Reset);
        return Ok(http::empty(500));
    }
    let payload: Payload = match http::read(request).await {
        Ok(payload) => payload,
        Err(response) => return Ok(*response),
    };
    if let Some(reason) = target.reserve_slot(&start, &headers, &payload) {
        let busy = target.state().running;
        return Ok(not_run(reason, busy));
    }
    // A running task finishes even if its connection is closed, so it gets its own Tokio task.
    let task = tokio::spawn(run_task(target, start, payload, connection));
    task.await.map_err(|_| Dropped::Closed)
}

impl HostedTarget {
    /// Reserves a slot and records the run, or returns the reason why the task is not run.
    fn reserve_slot(
        &self,
        start: &str,
        headers: &HeaderMap,
        payload: &Payload,
    ) -> Option<&'static str> {
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
        state.outcome_order.push_back(start.into());
        if state.outcome_order.len() > MAX_KEPT_OUTCOMES
            && let Some(oldest) = state.outcome_order.pop_front()
        {
            state.outcomes.remove(&oldest);
        }
        None
    }

    /// Releases a slot and stores the outcome. Returns the number of tasks that were running, this one
    /// included.
    fn release_slot(&self, start: &str, outcome: Outcome) -> u32 {
        let mut state = self.state();
        let busy = state.running;
        state.running -= 1;
        if let Some(kept) = state.outcomes.get_mut(start) {
            *kept = outcome;
        }
        busy
    }
}

async fn run_task(
    target: Arc<HostedTarget>,
    start: String,
    payload: Payload,
    connection: Connection,
) -> Response {
    let switches_at_start = target.state().switches.clone();
    let run_us = payload.run_us * (100 + switches_at_start.slower_percent) / 100;
    if !switches_at_start.fail && run_us > 0 {
        tokio::time::sleep(Duration::from_micros(run_us)).await;
    }
    let switches = target.state().switches.clone();
    let failing = payload.fail || switches_at_start.fail;
    let oversized = switches.delivery == Delivery::Oversized;
    let padding = if oversized { OVERSIZED_BYTES } else { payload.answer_bytes };
    let body = Answer { echo: payload.echo, padding: "x".repeat(padding) };
    let body = Bytes::from(serde_json::to_vec(&body).unwrap_or_default());
    let outcome = if failing { Outcome::Failed } else { Outcome::Finished(body.clone()) };
    let busy = target.release_slot(&start, outcome);
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
