//! Starts of tasks on targets, and questions about silent ones.

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

/// Time after the deadline for an answer that is on its way.
const ANSWER_GRACE: Millis = Millis::new(1_000);
/// Times that a start moves on to another connection because one closed before the first byte.
const MAX_UNSENT: usize = 3;

/// Client of all targets.
#[derive(Debug)]
pub struct Client {
    instance: id::Instance,
    connect_timeout: Duration,
    control: Sender,
    tracer: Tracer,
    pools: Pools,
    flights: Mutex<HashMap<id::Start, Arc<Flight>>>,
}

/// A start that was sent and has no answer.
#[derive(Debug)]
struct Flight {
    max_answer: usize,
    /// Wakes the sender when a question on a new connection brought the result.
    settled: Notify,
}

/// A start to ask about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Query {
    /// The start.
    pub start: id::Start,
    /// Address of the target.
    pub address: SocketAddr,
    /// When to stop waiting.
    pub deadline: Timestamp,
}

impl Client {
    /// Makes a client without connections.
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
            flights: Mutex::new(HashMap::new()),
        }
    }

    /// Returns the pools of connections.
    pub const fn pools(&self) -> &Pools {
        &self.pools
    }

    /// Sends each start and reports what became of it.
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

    /// Asks about a start on a new connection and reports what became of it. A result ends the
    /// original exchange, whose connection has gone silent.
    pub async fn query(client: Arc<Self>, question: Query) {
        client.pools.doubt(question.address, clock::now());
        let result = match client.send_query(question).await {
            Ok(result) => result,
            Err(_) => start::Result::Unreachable,
        };
        let is_final = !matches!(result, start::Result::Running | start::Result::Unreachable);
        if is_final && let Some(flight) = client.remove(question.start) {
            flight.settled.notify_one();
        }
        client.report(question.start, result);
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

    /// Reports the load that an answer carries, before the result of the start.
    fn observe(&self, of: &id::Target, response: &Response<Bytes>) {
        let busy = response.headers().get(target::BUSY).and_then(|value| value.to_str().ok());
        if let Some(busy) = busy.and_then(|text| text.parse().ok()) {
            let event = Event::Observed { target: of.clone(), busy };
            // Fails only after the control thread has ended.
            let _ = self.control.send(Message::Event(event));
        }
    }

    /// Returns nothing if a question brought the result first.
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
        for _ in 0..MAX_UNSENT {
            let mut lease = match self.pools.lease(order.address, order.start, order.deadline).await
            {
                Ok(Some(lease)) => lease,
                Ok(None) => return Some(start::Result::NotRun(NotRun::Lapsed)),
                Err(_) => return Some(start::Result::NotRun(NotRun::ConnectFailed)),
            };
            // The clock is read directly before the write, so that a start that lapsed while the
            // process was paused is not sent.
            if order.deadline.is_past(clock::now()) {
                return Some(start::Result::NotRun(NotRun::Lapsed));
            }
            let flight = self.insert(order);
            let deadline = Instant::now() + clock::until(order.deadline.plus(ANSWER_GRACE));
            let limit = flight.max_answer;
            let exchange = lease.connection().exchange(request.clone(), limit, deadline);
            let outcome = tokio::select! {
                biased;
                outcome = exchange => outcome,
                () = flight.settled.notified() => return None,
            };
            self.remove(order.start)?;
            match outcome {
                Ok(response) => {
                    self.observe(&order.target, &response);
                    let result = classify(&response, &name);
                    // After a mismatched answer the connection is out of step. After one that does
                    // not name its start, a copy of it could pass for the answer to the next start.
                    let is_named = response.headers().contains_key(target::START);
                    if is_named
                        && !matches!(result, start::Result::Failed { step: Step::Receive, .. })
                    {
                        lease.give_back();
                    }
                    return Some(result);
                }
                Err(wire::Error::Unsent(_)) => {}
                Err(error) => return Some(classify_error(&error)),
            }
        }
        Some(start::Result::NotRun(NotRun::ConnectFailed))
    }

    /// Returns an error if the target gives no usable answer.
    async fn send_query(&self, question: Query) -> Result<start::Result, error::Question> {
        let name = self.name(question.start);
        let limit = {
            let flights = self.flights.lock().unwrap_or_else(PoisonError::into_inner);
            flights.get(&question.start).map_or(0, |flight| flight.max_answer)
        };
        let request = Request::get(format!("/v1/tasks/{name}"))
            .header(http::header::HOST, question.address.to_string())
            .body(Full::default())?;
        let deadline = Instant::now() + clock::until(question.deadline.plus(ANSWER_GRACE));
        let mut connection = Connection::open(question.address, self.connect_timeout).await?;
        let response = connection.exchange(request, limit, deadline).await?;
        match response.status() {
            StatusCode::ACCEPTED => Ok(start::Result::Running),
            StatusCode::NOT_FOUND => Ok(start::Result::Unknown {
                step: Step::Receive,
                message: "the target does not know the start".into(),
            }),
            StatusCode::OK | StatusCode::INTERNAL_SERVER_ERROR => Ok(classify(&response, &name)),
            // Only the answer to the start itself is a proof that it did not run.
            other => Err(error::Question::Status(question.address, other)),
        }
    }

    fn name(&self, start: id::Start) -> String {
        format!("{}.{start}", self.instance)
    }

    fn insert(&self, order: &Order) -> Arc<Flight> {
        let flight = Arc::new(Flight {
            max_answer: order.max_answer.get() as usize,
            settled: Notify::new(),
        });
        let mut flights = self.flights.lock().unwrap_or_else(PoisonError::into_inner);
        flights.insert(order.start, flight.clone());
        flight
    }

    fn remove(&self, start: id::Start) -> Option<Arc<Flight>> {
        self.flights.lock().unwrap_or_else(PoisonError::into_inner).remove(&start)
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
    // An answer that names another start says nothing about this one. Only answers of status 200
    // must name their start.
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
