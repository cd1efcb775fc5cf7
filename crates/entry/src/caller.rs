//! HTTP server for callers and operators.

use crate::answer::Reply;
use crate::check::{self, Invalid};
use crate::clock;
use crate::control::{Message, Response, Sender, Stats};
use crate::log::Limiter;
use crate::meter;
use crate::operator;
use crate::peer::{JobRequest, LinkStatus};
use crate::snapshot::{Holder, Snapshot};
use crate::trace::{Span, Tracer};
use dropshot::{
    ApiDescription, ApiDescriptionRegisterError, Body, HttpError, Path, Query, RawRequest,
    RequestContext, endpoint,
};
use http::header::{AUTHORIZATION, CONTENT_TYPE};
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use http_body_util::{BodyExt, Limited};
use opentelemetry::trace::SpanKind;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use slog::{Logger, info};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use tokio::sync::oneshot;
use verbenapass::engine::Event;
use verbenapass::id;
use verbenapass::job::Status;
use verbenapass::outcome::{Failure, Outcome, Refusal, Step};
use verbenapass::time::Timestamp;
use verbenapass::unit::Millis;
use verbenapass_proto::caller::Code;

/// Delay after which a caller may retry at an instance that has no settings yet or whose control
/// thread has ended.
const REFUSAL_RETRY_DELAY: Millis = Millis::new(1_000);
const TRACEPARENT: HeaderName = HeaderName::from_static("traceparent");

/// State that all request handlers share.
#[derive(Debug)]
pub struct Shared {
    /// Id of this instance: its name and a random suffix for this process.
    pub instance: id::Instance,
    /// Data centre of this instance.
    pub data_centre: id::DataCentre,
    /// Largest request body, in bytes.
    pub body_limit: usize,
    /// Settings in force, published by the control thread; empty until they are first known.
    pub snapshots: Holder,
    /// Channel to the control thread.
    pub control: Sender,
    /// Set when a planned stop begins, never cleared.
    pub stopping: AtomicBool,
    /// Next unused [`id::Caller`], shared with the server for peers.
    pub next_caller: Arc<AtomicU64>,
    /// Creates the trace spans of requests.
    pub tracer: Tracer,
    /// Logger of the instance.
    pub log: Logger,
    /// Rate limit on log records about failed and unknown jobs.
    pub failure_log_limiter: Limiter,
}

/// Path parameters of the requests about one job.
#[derive(Debug, Deserialize, JsonSchema)]
struct JobPath {
    job: String,
}

/// Segments of a settings path, which lacks the leading slash.
#[derive(Debug, Deserialize, JsonSchema)]
struct SettingsPath {
    path: Vec<String>,
}

/// Query parameters of `GET /v1/settings/{path}`.
#[derive(Debug, Deserialize, JsonSchema)]
struct SettingsQuery {
    change: Option<String>,
}

/// Path parameters of `GET /v1/export/{team}`.
#[derive(Debug, Deserialize, JsonSchema)]
struct TeamPath {
    team: String,
}

/// Body of `GET /v1/status`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct State {
    /// Id of this instance: its name and a random suffix for this process.
    pub instance: String,
    /// Data centre of this instance.
    pub data_centre: String,
    /// Whether the load balancer may send requests: settings and instance list are known and no
    /// planned stop has begun.
    pub ready: bool,
    /// Whether a planned stop has begun.
    pub stopping: bool,
    /// Jobs of this instance that have no final outcome yet.
    pub open_jobs: usize,
    /// The other entry instances on the platform's instance list.
    pub peers: Vec<Peer>,
}

/// State of the link to another entry instance.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct Peer {
    /// Name on the instance list, which stays the same across restarts.
    pub name: String,
    /// Data centre of the peer.
    pub data_centre: String,
    /// Id of the peer's current incarnation; `None` until it has sent a report.
    pub instance: Option<String>,
    /// Whether the last call to the peer succeeded; false before the first call.
    pub reachable: bool,
}

impl From<LinkStatus> for Peer {
    fn from(link: LinkStatus) -> Self {
        Self {
            name: link.name.to_string(),
            data_centre: link.data_centre.to_string(),
            instance: link.instance.map(|instance| instance.to_string()),
            reachable: link.reachable,
        }
    }
}

type Context = RequestContext<Arc<Shared>>;
type HttpResult = Result<http::Response<Body>, HttpError>;

/// Returns the API for callers, which includes that for operators. Fails if two endpoints collide.
pub fn api() -> Result<ApiDescription<Arc<Shared>>, ApiDescriptionRegisterError> {
    let mut api = admin_api()?;
    api.register(submit_job)?;
    api.register(query_job)?;
    api.register(cancel_job)?;
    api.register(get_settings)?;
    api.register(put_settings)?;
    api.register(export_team)?;
    Ok(api)
}

/// Returns the API for operators: health, readiness, metrics and status. Fails if two endpoints
/// collide.
pub fn admin_api() -> Result<ApiDescription<Arc<Shared>>, ApiDescriptionRegisterError> {
    let mut api = ApiDescription::new();
    api.register(health)?;
    api.register(ready)?;
    api.register(metrics)?;
    api.register(state)?;
    Ok(api)
}

/// Submit a job.
#[endpoint { method = POST, path = "/v1/jobs" }]
async fn submit_job(context: Context, request: RawRequest) -> HttpResult {
    let shared = context.context();
    let now = clock::now();
    let request = request.into_inner();
    let trace = check::trace(request.headers().get(TRACEPARENT).map(HeaderValue::as_bytes));
    let mut span = shared.tracer.request("submit", trace.as_deref());
    let trace = span.context(trace.as_ref());
    let reply = match shared.authenticate(request.headers()) {
        Err(reply) => reply,
        Ok((snapshot, team)) => {
            span.set("team", &team);
            let checked = match shared.read_body(request).await {
                Ok(body) => check::submission(&snapshot, &team, &body, trace.clone(), now),
                Err(invalid) => Err(invalid),
            };
            let reply = match checked {
                Err(invalid) => Reply::invalid(&invalid),
                Ok((submission, wait)) => {
                    let event = |caller| Event::Submit { caller, wait, submission };
                    shared.call(trace.as_deref(), event).await.unwrap_or_else(CallError::reply)
                }
            };
            shared.record_reply(&team, &reply, now);
            reply
        }
    };
    Ok(reply.into_response())
}

/// Query the state of a job.
#[endpoint { method = GET, path = "/v1/jobs/{job}" }]
async fn query_job(context: Context, path: Path<JobPath>) -> HttpResult {
    let shared = context.context();
    let (_span, trace) = shared.start_span("query", &context);
    let reply = match shared.team_and_job(&context, &path.into_inner()) {
        Err(reply) => reply,
        Ok((team, job)) if job.owner == shared.instance => {
            let job_id = job.clone();
            let event = |caller| Event::Query { caller, team, job, wait: false };
            let reply = shared.call(trace.as_deref(), event).await;
            reply.unwrap_or_else(|_| Reply::owner_unreachable(&job_id))
        }
        Ok((team, job)) => shared.forward(team, job, false, trace).await,
    };
    Ok(reply.into_response())
}

/// Cancel a job.
#[endpoint { method = DELETE, path = "/v1/jobs/{job}" }]
async fn cancel_job(context: Context, path: Path<JobPath>) -> HttpResult {
    let shared = context.context();
    let (_span, trace) = shared.start_span("cancel", &context);
    let reply = match shared.team_and_job(&context, &path.into_inner()) {
        Err(reply) => reply,
        Ok((team, job)) if job.owner == shared.instance => {
            let job_id = job.clone();
            let event = |caller| Event::Cancel { caller, team, job };
            let reply = shared.call(trace.as_deref(), event).await;
            reply.unwrap_or_else(|_| Reply::owner_unreachable(&job_id))
        }
        Ok((team, job)) => shared.forward(team, job, true, trace).await,
    };
    Ok(reply.into_response())
}

/// Read settings, or the state of a settings change.
#[endpoint { method = GET, path = "/v1/settings/{path:.*}", unpublished = true }]
async fn get_settings(
    context: Context,
    path: Path<SettingsPath>,
    query: Query<SettingsQuery>,
) -> HttpResult {
    let operation = match query.into_inner().change {
        Some(change) => operator::Operation::State(change),
        None => operator::Operation::Get,
    };
    let path = format!("/{}", path.into_inner().path.join("/"));
    let header = context.request.headers().get(AUTHORIZATION).cloned();
    context.context().request_operation(path, header.as_ref(), operation).await
}

/// Change settings.
#[endpoint { method = PUT, path = "/v1/settings/{path:.*}", unpublished = true }]
async fn put_settings(
    context: Context,
    path: Path<SettingsPath>,
    request: RawRequest,
) -> HttpResult {
    let shared = context.context();
    let request = request.into_inner();
    let header = request.headers().get(AUTHORIZATION).cloned();
    let path = format!("/{}", path.into_inner().path.join("/"));
    match shared.read_body(request).await {
        Ok(body) => {
            shared
                .request_operation(path, header.as_ref(), operator::Operation::Put(body.to_vec()))
                .await
        }
        Err(invalid) => Ok(Reply::invalid(&invalid).into_response()),
    }
}

/// Export the settings, claims and retained results of a team.
#[endpoint { method = GET, path = "/v1/export/{team}" }]
async fn export_team(context: Context, path: Path<TeamPath>) -> HttpResult {
    let path = format!("/teams/{}", path.into_inner().team);
    let header = context.request.headers().get(AUTHORIZATION).cloned();
    context.context().request_operation(path, header.as_ref(), operator::Operation::Export).await
}

/// Report that the process is alive.
#[endpoint { method = GET, path = "/healthz" }]
async fn health(_: Context) -> HttpResult {
    text(StatusCode::OK, "ok\n")
}

/// Report whether the load balancer may send requests.
#[endpoint { method = GET, path = "/readyz" }]
async fn ready(context: Context) -> HttpResult {
    let shared = context.context();
    if shared.stopping.load(Ordering::Acquire) {
        return text(StatusCode::SERVICE_UNAVAILABLE, "stopping\n");
    }
    if shared.snapshots.get().is_none() {
        return text(StatusCode::SERVICE_UNAVAILABLE, "no settings\n");
    }
    if !shared.snapshots.has_instance_list() {
        return text(StatusCode::SERVICE_UNAVAILABLE, "no instance list\n");
    }
    text(StatusCode::OK, "ready\n")
}

/// Read the metrics in the Prometheus text format.
#[endpoint { method = GET, path = "/metrics" }]
async fn metrics(context: Context) -> HttpResult {
    meter::record_stats(&context.context().stats().await);
    text(StatusCode::OK, meter::handle().render())
}

/// Read the status of the instance.
#[endpoint { method = GET, path = "/v1/status" }]
async fn state(context: Context) -> HttpResult {
    let shared = context.context();
    let Stats { open_jobs, links, .. } = shared.stats().await;
    let stopping = shared.stopping.load(Ordering::Acquire);
    let state = State {
        instance: shared.instance.to_string(),
        data_centre: shared.data_centre.to_string(),
        ready: !stopping
            && shared.snapshots.get().is_some()
            && shared.snapshots.has_instance_list(),
        stopping,
        open_jobs,
        peers: links.into_iter().map(Peer::from).collect(),
    };
    let body = serde_json::to_vec(&state)
        .map_err(|error| HttpError::for_internal_error(error.to_string()))?;
    let mut response = http::Response::new(Body::from(body));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    Ok(response)
}

fn text(status: StatusCode, body: impl Into<String>) -> HttpResult {
    let mut response = http::Response::new(Body::from(body.into()));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    Ok(response)
}

impl Shared {
    fn authenticate(&self, headers: &HeaderMap) -> Result<(Arc<Snapshot>, id::Team), Reply> {
        let Some(snapshot) = self.snapshots.get() else {
            let retry_at = clock::now().plus(REFUSAL_RETRY_DELAY);
            let outcome = Outcome::Refused { reason: Refusal::NoSettings, retry_at };
            return Err(Reply::new(None, &Status::Final(outcome.into())));
        };
        let header = headers.get(AUTHORIZATION).map(HeaderValue::as_bytes);
        match check::team(&snapshot, header) {
            Ok(team) => Ok((snapshot, team)),
            Err(invalid) => Err(Reply::invalid(&invalid)),
        }
    }

    fn team_and_job(
        &self,
        context: &Context,
        path: &JobPath,
    ) -> Result<(id::Team, id::Job), Reply> {
        let (_, team) = self.authenticate(context.request.headers())?;
        let job = check::job(&path.job).map_err(|invalid| Reply::invalid(&invalid))?;
        Ok((team, job))
    }

    async fn read_body(&self, request: http::Request<Body>) -> Result<bytes::Bytes, Invalid> {
        let body = Limited::new(request.into_body(), self.body_limit);
        match body.collect().await {
            Ok(body) => Ok(body.to_bytes()),
            Err(error) if error.is::<http_body_util::LengthLimitError>() => {
                let message = format!("body: more than {} bytes", self.body_limit);
                Err(Invalid::new("oversized_body", message)
                    .with_status(StatusCode::PAYLOAD_TOO_LARGE))
            }
            Err(error) => Err(Invalid::new("malformed_body", format!("body: {error}"))),
        }
    }

    /// Passes an operator's request to the control thread and waits for the reply.
    async fn request_operation(
        &self,
        path: String,
        header: Option<&HeaderValue>,
        operation: operator::Operation,
    ) -> HttpResult {
        let authorization = header.map(|value| value.as_bytes().to_vec());
        let request = operator::Request { path, authorization, operation };
        let (reply, answer) = oneshot::channel();
        // A control thread that has ended drops the message and thereby closes the channel.
        let _ = self.control.send(Message::Operator(Box::new(request), reply));
        let operator::Reply { status, body } = answer
            .await
            .map_err(|_| HttpError::for_unavail(None, "the instance has stopped".into()))?;
        let mut response = http::Response::new(Body::from(body));
        *response.status_mut() = status;
        let content_type = HeaderValue::from_static("application/json");
        response.headers_mut().insert(CONTENT_TYPE, content_type);
        Ok(response)
    }

    async fn stats(&self) -> Stats {
        let (reply, stats) = oneshot::channel();
        // If the control thread has ended, the statistics are all zero.
        let _ = self.control.send(Message::ReadStats(reply));
        stats.await.unwrap_or_default()
    }

    /// Starts the span of a request. Returns it with the trace context for the next hop.
    fn start_span(&self, name: &'static str, context: &Context) -> (Span, Option<Arc<str>>) {
        let header = context.request.headers().get(TRACEPARENT);
        let trace = check::trace(header.map(HeaderValue::as_bytes));
        let span = self.tracer.request(name, trace.as_deref());
        let trace = span.context(trace.as_ref());
        (span, trace)
    }

    /// Counts the reply to a submission, and logs it if the job failed or its outcome is unknown.
    fn record_reply(&self, team: &id::Team, reply: &Reply, arrived_at: Timestamp) {
        let now = clock::now();
        let elapsed = now.since(arrived_at).get();
        meter::job(team, reply.code, elapsed as f64 / 1e6);
        let is_failure = matches!(reply.code, Code::Failed | Code::Unknown);
        if is_failure && let Some(dropped) = self.failure_log_limiter.admit(now) {
            let body = String::from_utf8_lossy(&reply.body);
            info!(self.log, "job: failed or unknown";
                "team" => %team, "answer" => %body, "dropped_before" => dropped);
        }
    }

    async fn call(
        &self,
        trace: Option<&str>,
        event: impl FnOnce(id::Caller) -> Event,
    ) -> Result<Reply, CallError> {
        let span = self.tracer.child("control", SpanKind::Internal, trace);
        let caller = id::Caller::new(self.next_caller.fetch_add(1, Ordering::Relaxed));
        let (reply, response) = oneshot::channel();
        let message = Message::Call { caller, event: event(caller), reply, span };
        if self.control.send(message).is_err() {
            return Err(CallError::Undelivered);
        }
        let mut hangup_guard = HangupGuard { caller, control: &self.control, is_answered: false };
        let response = response.await;
        hangup_guard.is_answered = true;
        let Response { job, status } = response.map_err(|_| CallError::Unanswered)?;
        Ok(Reply::new(job.as_ref(), &status))
    }

    /// Sends a query or cancellation to the instance that owns the job.
    async fn forward(
        &self,
        team: id::Team,
        job: id::Job,
        cancel: bool,
        trace: Option<Arc<str>>,
    ) -> Reply {
        let job_id = job.clone();
        let request = JobRequest { team, job, cancel, wait: None, trace };
        let (reply, response) = oneshot::channel();
        // A control thread that has ended drops the message and thereby closes the channel.
        let _ = self.control.send(Message::QueryJob(Box::new(request), reply));
        response.await.unwrap_or_else(|_| Reply::owner_unreachable(&job_id))
    }
}

/// Sends [`Message::Hangup`] when the handler is cancelled before the response arrives.
struct HangupGuard<'a> {
    caller: id::Caller,
    control: &'a Sender,
    is_answered: bool,
}

impl Drop for HangupGuard<'_> {
    fn drop(&mut self) {
        if !self.is_answered {
            // Fails only after the control thread has ended.
            let _ = self.control.send(Message::Hangup(self.caller));
        }
    }
}

/// The control thread ended before it responded to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallError {
    /// The call was not delivered.
    Undelivered,
    /// The call was sent, and the control thread may have handled it.
    Unanswered,
}

impl CallError {
    /// Returns the reply to a submission.
    fn reply(self) -> Reply {
        let outcome = match self {
            Self::Undelivered => {
                let retry_at = clock::now().plus(REFUSAL_RETRY_DELAY);
                Outcome::Refused { reason: Refusal::Stopping, retry_at }
            }
            // Tasks of the job may have started, so a refusal would be wrong.
            Self::Unanswered => Outcome::Unknown(Failure {
                task: 0,
                step: Step::Admit,
                target: None,
                message: "the instance failed while it had the job".into(),
            }),
        };
        Reply::new(None, &Status::Final(outcome.into()))
    }
}
