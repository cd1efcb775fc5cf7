//! HTTP client that starts tasks on targets and queries the state of starts without an answer.

use crate::clock;
use crate::control::{Message, Sender};
use crate::error;
use crate::meter;
use crate::pool::Pools;
use crate::trace::Tracer;
use crate::wire::{self, Connection};
use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::Full;
use opentelemetry::trace::SpanKind;
use serde_json::value::RawValue;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;
use verbenapass::engine::Event;
use verbenapass::id;
use verbenapass::outcome::Step;
use verbenapass::start::{self, NotRun, Order};
use verbenapass::time::Timestamp;
use verbenapass::unit::Millis;
use verbenapass_proto::target;

/// Time to wait after the deadline for an answer that is still in flight.
const ANSWER_GRACE: Millis = Millis::new(1_000);
/// Most connections tried for one start. Another is tried only if the target closed the connection
/// before any byte of the request was written.
const MAX_SEND_ATTEMPTS: usize = 3;

/// Client for all targets, shared by the traffic threads.
#[derive(Debug)]
pub struct Client {
    instance: id::Instance,
    connect_timeout: Duration,
    control: Sender,
    tracer: Tracer,
    pools: Pools,
    in_flight: Mutex<HashMap<id::Start, Arc<InFlight>>>,
}

/// A start that was sent and has no result yet.
#[derive(Debug)]
struct InFlight {
    max_answer: usize,
    /// Wakes the sender when a query on another connection returned the result.
    settled: Notify,
}

/// A query to a target about the state of a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Query {
    /// The start, sent by this instance.
    pub start: id::Start,
    /// Address of the target that the start was sent to.
    pub address: SocketAddr,
    /// When to stop waiting for the answer, apart from a short grace period.
    pub deadline: Timestamp,
}

impl Client {
    /// Creates a client without connections, which sends results to `control`.
    pub fn new(
        instance: id::Instance,
        connect_timeout: Duration,
        control: Sender,
        tracer: Tracer,
    ) -> Self {
        Self {
            instance,
            connect_timeout,
            control,
            tracer,
            pools: Pools::new(connect_timeout),
            in_flight: Mutex::new(HashMap::new()),
        }
    }

    /// Returns the connection pools, which the caller must update with each new instance list.
    pub const fn pools(&self) -> &Pools {
        &self.pools
    }

    /// Sends the starts concurrently and reports each result to the control thread.
    pub async fn send_all(client: Arc<Self>, mut orders: Vec<Order>) {
        let last = orders.pop();
        for order in orders {
            let client = client.clone();
            tokio::spawn(async move { client.send(order).await });
        }
        if let Some(order) = last {
            client.send(order).await;
        }
    }

    /// Queries a start on a new connection and reports its state to the control thread. A final
    /// result aborts the original exchange, whose connection no longer answers.
    pub async fn query(client: Arc<Self>, query: Query) {
        client.pools.distrust_idle(query.address, clock::now());
        let result = match client.send_query(query).await {
            Ok(result) => result,
            Err(_) => start::Result::Unreachable,
        };
        let is_final = !matches!(result, start::Result::Running | start::Result::Unreachable);
        if is_final && let Some(in_flight) = client.remove(query.start) {
            in_flight.settled.notify_one();
        }
        client.report(query.start, result);
    }

    async fn send(&self, order: Order) {
        let start = order.start;
        let sent_at = clock::now();
        if let Some(result) = self.attempt(&order).await {
            let elapsed = clock::now().since(sent_at).get();
            meter::start(&order.team, &result, elapsed as f64 / 1e6);
            self.report(start, result);
        }
    }

    fn report(&self, start: id::Start, result: start::Result) {
        // Fails only after the control thread has ended.
        let _ = self.control.send(Message::Event(Event::Answered { start, result }));
    }

    /// Reports the number of running tasks in the header [`target::BUSY`] of an answer, if there is
    /// one; call it before the result is reported.
    fn observe(&self, target_id: &id::Target, response: &Response<Bytes>) {
        let busy = response.headers().get(target::BUSY).and_then(|value| value.to_str().ok());
        if let Some(busy) = busy.and_then(|text| text.parse().ok()) {
            let event = Event::Observed { target: target_id.clone(), busy };
            // Fails only after the control thread has ended.
            let _ = self.control.send(Message::Event(event));
        }
    }

    /// Sends a start and returns its result, or `None` if a query returned the result first.
    async fn attempt(&self, order: &Order) -> Option<start::Result> {
        let name = self.name(order.start);
        let mut span = self.tracer.child("start", SpanKind::Client, order.trace.as_deref());
        span.set("target", &order.target);
        span.set("start", &name);
        span.set("team", &order.team);
        span.set("kind", &order.kind);
        let trace = span.context(order.trace.as_ref());
        let request = match request(order, &name, trace.as_deref()) {
            Ok(request) => request,
            Err(error) => return Some(failed(Step::Send, error.to_string())),
        };
        for _ in 0..MAX_SEND_ATTEMPTS {
            let mut lease = match self.pools.lease(order.address, order.start, order.deadline).await
            {
                Ok(Some(lease)) => lease,
                Ok(None) => return Some(start::Result::NotRun(NotRun::Lapsed)),
                Err(_) => return Some(start::Result::NotRun(NotRun::ConnectFailed)),
            };
            // Checks the deadline again directly before the write: it may have passed while the
            // process was suspended.
            if order.deadline.is_past(clock::now()) {
                return Some(start::Result::NotRun(NotRun::Lapsed));
            }
            let in_flight = self.insert(order);
            let deadline = Instant::now() + clock::until(order.deadline.plus(ANSWER_GRACE));
            let limit = in_flight.max_answer;
            let exchange = lease.connection().exchange(request.clone(), limit, deadline);
            let outcome = tokio::select! {
                biased;
                outcome = exchange => outcome,
                () = in_flight.settled.notified() => return None,
            };
            self.remove(order.start)?;
            match outcome {
                Ok(response) => {
                    self.observe(&order.target, &response);
                    let result = classify(&response, &name);
                    // After a mismatched answer, requests and answers on the connection no longer
                    // correspond. After an answer that does not name its start, a duplicate of it
                    // could be taken for the answer to the next start.
                    let is_named = response.headers().contains_key(target::START);
                    if is_named
                        && !matches!(result, start::Result::Failed { step: Step::Receive, .. })
                    {
                        lease.release();
                    }
                    return Some(result);
                }
                Err(wire::Error::Unsent(_)) => {}
                Err(error) => return Some(classify_error(&error)),
            }
        }
        Some(start::Result::NotRun(NotRun::ConnectFailed))
    }

    /// Returns an error if the target gives no answer or an unexpected status.
    async fn send_query(&self, query: Query) -> Result<start::Result, error::StartQuery> {
        let name = self.name(query.start);
        let limit = {
            let in_flight = self.in_flight.lock().unwrap_or_else(PoisonError::into_inner);
            in_flight.get(&query.start).map_or(0, |sent| sent.max_answer)
        };
        let request = Request::get(format!("/v1/tasks/{name}"))
            .header(http::header::HOST, query.address.to_string())
            .body(Full::default())?;
        let deadline = Instant::now() + clock::until(query.deadline.plus(ANSWER_GRACE));
        let mut connection = Connection::open(query.address, self.connect_timeout).await?;
        let response = connection.exchange(request, limit, deadline).await?;
        match response.status() {
            StatusCode::ACCEPTED => Ok(start::Result::Running),
            StatusCode::NOT_FOUND => Ok(start::Result::Unknown {
                step: Step::Receive,
                message: "the target does not know the start".into(),
            }),
            StatusCode::OK | StatusCode::INTERNAL_SERVER_ERROR => Ok(classify(&response, &name)),
            // A 503 does not prove here that the start did not run; only an answer to the start
            // itself does.
            other => Err(error::StartQuery::Status(query.address, other)),
        }
    }

    fn name(&self, start: id::Start) -> String {
        format!("{}.{start}", self.instance)
    }

    fn insert(&self, order: &Order) -> Arc<InFlight> {
        let sent = Arc::new(InFlight {
            max_answer: order.max_answer.get() as usize,
            settled: Notify::new(),
        });
        let mut in_flight = self.in_flight.lock().unwrap_or_else(PoisonError::into_inner);
        in_flight.insert(order.start, sent.clone());
        sent
    }

    fn remove(&self, start: id::Start) -> Option<Arc<InFlight>> {
        self.in_flight.lock().unwrap_or_else(PoisonError::into_inner).remove(&start)
    }
}

fn request(
    order: &Order,
    name: &str,
    trace: Option<&str>,
) -> Result<Request<Full<Bytes>>, http::Error> {
    let mut builder = Request::post(format!("/v1/tasks/{name}"))
        .header(http::header::HOST, order.address.to_string())
        .header(http::header::CONTENT_TYPE, HeaderValue::from_static("application/json"))
        .header(target::DEADLINE, order.deadline.as_micros())
        .header(target::TEAM, order.team.as_str())
        .header(target::KIND, order.kind.as_str());
    if let Some(trace) = trace {
        builder = builder.header(target::TRACE, trace);
    }
    builder.body(Full::new(Bytes::from_owner(order.payload.clone())))
}

fn classify(response: &Response<Bytes>, name: &str) -> start::Result {
    let header = |key| response.headers().get(key).and_then(|value| value.to_str().ok());
    // An answer that names another start says nothing about this one. Only answers with status 200
    // have to name their start.
    let found = header(target::START);
    let must_name = response.status() == StatusCode::OK;
    if found != Some(name) && (must_name || found.is_some()) {
        let found = found.unwrap_or("none");
        let message = format!("mismatched answer: expected start {name}, found {found}");
        return failed(Step::Receive, message);
    }
    match response.status() {
        StatusCode::OK => match serde_json::from_slice::<&RawValue>(response.body()) {
            Ok(_) => start::Result::Answered(response.body().as_ref().into()),
            Err(error) => failed(Step::Receive, format!("the answer is not JSON: {error}")),
        },
        StatusCode::SERVICE_UNAVAILABLE => match header(target::NOT_RUN) {
            Some("busy") => start::Result::NotRun(NotRun::Busy),
            Some("draining") => start::Result::NotRun(NotRun::Draining),
            Some("expired") => start::Result::NotRun(NotRun::Expired),
            _ => failed(Step::Run, "status 503 without a known not-run reason".into()),
        },
        StatusCode::INTERNAL_SERVER_ERROR => {
            failed(Step::Run, "the target reports a failure".into())
        }
        other => failed(Step::Run, format!("unexpected status {other}")),
    }
}

fn classify_error(error: &wire::Error) -> start::Result {
    let message = error.to_string();
    match error {
        wire::Error::Connect(..) | wire::Error::Unsent(_) => {
            start::Result::NotRun(NotRun::ConnectFailed)
        }
        wire::Error::Broken(..) | wire::Error::Timeout(_) => {
            start::Result::Unknown { step: Step::Receive, message }
        }
        wire::Error::Truncated(..) | wire::Error::Oversized(..) => failed(Step::Receive, message),
    }
}

const fn failed(step: Step, message: String) -> start::Result {
    start::Result::Failed { step, message }
}
