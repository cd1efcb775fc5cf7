//! Starts of tasks on targets.

use crate::clock;
use crate::control::{Message, Sender};
use crate::snapshot::Holder;
use crate::wire::{self, Connection};
use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::Full;
use serde_json::value::RawValue;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::Instant;
use verbenapass::engine::Event;
use verbenapass::id;
use verbenapass::outcome::Step;
use verbenapass::start::{self, NotRun, Order};
use verbenapass::unit::Millis;
use verbenapass_proto::target;

/// Time after the deadline for an answer that is on its way.
const ANSWER_GRACE: Millis = Millis::new(1_000);
/// Idle connections kept for each target, the number that a target accepts.
const MAX_IDLE: usize = 64;
/// Times that a start moves on to another connection because one closed before the first byte.
const MAX_UNSENT: usize = 3;

/// Client of all targets, with a pool of idle connections.
#[derive(Debug)]
pub struct Client {
    instance: id::Instance,
    connect_timeout: Duration,
    snapshots: Holder,
    control: Sender,
    idle: Mutex<HashMap<SocketAddr, Vec<Connection>>>,
}

impl Client {
    /// Makes a client without connections.
    pub fn new(
        instance: id::Instance,
        connect_timeout: Duration,
        snapshots: Holder,
        control: Sender,
    ) -> Self {
        let idle = Mutex::new(HashMap::new());
        Self { instance, connect_timeout, snapshots, control, idle }
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

    async fn send(&self, order: Order) {
        let start = order.start;
        let result = self.attempt(&order).await;
        // Fails only after the control thread has ended.
        let _ = self.control.send(Message::Event(Event::Answered { start, result }));
    }

    async fn attempt(&self, order: &Order) -> start::Result {
        let name = format!("{}.{}", self.instance, order.start);
        let request = match request(order, &name) {
            Ok(request) => request,
            Err(error) => return failed(Step::Send, error.to_string()),
        };
        let limit = self.answer_limit(order);
        for _ in 0..MAX_UNSENT {
            let mut connection = match self.connection(order.address).await {
                Ok(connection) => connection,
                Err(_) => return start::Result::NotRun(NotRun::ConnectFailed),
            };
            // The clock is read directly before the write, so that a start that lapsed while the
            // process was paused is not sent.
            if order.deadline.is_past(clock::now()) {
                self.put_back(connection);
                return start::Result::NotRun(NotRun::Lapsed);
            }
            let timeout = clock::until(order.deadline.plus(ANSWER_GRACE));
            let deadline = Instant::now() + timeout;
            match connection.exchange(request.clone(), limit, deadline).await {
                Ok(response) => {
                    let result = classify(&response, &name);
                    if !matches!(result, start::Result::Failed { step: Step::Receive, .. }) {
                        self.put_back(connection);
                    }
                    return result;
                }
                Err(wire::Error::Unsent(_)) => {}
                Err(error) => return classify_error(&error),
            }
        }
        start::Result::NotRun(NotRun::ConnectFailed)
    }

    fn answer_limit(&self, order: &Order) -> usize {
        let snapshot = self.snapshots.get();
        let kind = snapshot.as_ref().and_then(|s| s.kind(&order.team, &order.kind));
        // A kind that was removed meanwhile gets the smallest limit.
        kind.map_or(0, |kind| kind.max_answer_bytes.get() as usize)
    }

    async fn connection(&self, address: SocketAddr) -> Result<Connection, wire::Error> {
        while let Some(mut connection) = self.take_idle(address) {
            if connection.is_usable().await {
                return Ok(connection);
            }
        }
        Connection::open(address, self.connect_timeout).await
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.get_mut(&address)?.pop()
    }

    fn put_back(&self, connection: Connection) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(connection.address()).or_default();
        if connections.len() < MAX_IDLE {
            connections.push(connection);
        }
    }
}

fn request(order: &Order, name: &str) -> Result<Request<Full<Bytes>>, http::Error> {
    let mut builder = Request::post(format!("/v1/tasks/{name}"))
        .header(http::header::HOST, order.address.to_string())
        .header(http::header::CONTENT_TYPE, HeaderValue::from_static("application/json"))
        .header(target::DEADLINE, order.deadline.as_micros())
        .header(target::TEAM, order.team.as_str())
        .header(target::KIND, order.kind.as_str());
    if let Some(trace) = &order.trace {
        builder = builder.header(target::TRACE, trace.as_ref());
    }
    builder.body(Full::new(Bytes::from_owner(order.payload.clone())))
}

fn classify(response: &Response<Bytes>, name: &str) -> start::Result {
    let header = |key| response.headers().get(key).and_then(|value| value.to_str().ok());
    // An answer that does not name the start says nothing about it.
    if header(target::START) != Some(name) {
        let found = header(target::START).unwrap_or("none");
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
        wire::Error::Broken(..) | wire::Error::Silent(_) => {
            start::Result::Unknown { step: Step::Receive, message }
        }
        wire::Error::Truncated(..) | wire::Error::Oversized(..) => failed(Step::Receive, message),
    }
}

const fn failed(step: Step, message: String) -> start::Result {
    start::Result::Failed { step, message }
}
