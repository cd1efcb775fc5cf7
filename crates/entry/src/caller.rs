//! Server for callers and operators.

use crate::answer::Reply;
use crate::check::{self, Invalid};
use crate::clock;
use crate::control::{Figures, Message, Response, Sender};
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

/// Time after which a caller comes back to an instance that has no settings yet.
const NO_SETTINGS_RETRY: Millis = Millis::new(1_000);
const TRACE: HeaderName = HeaderName::from_static("traceparent");

/// State that the handlers share.
#[derive(Debug)]
pub struct Shared {
    /// This run of the process.
    pub instance: id::Instance,
    /// Its data centre.
    pub data_centre: id::DataCentre,
    /// Largest request body, in bytes.
    pub body_limit: usize,
    /// Settings in force.
    pub snapshots: Holder,
    /// The control thread.
    pub control: Sender,
    /// Whether a planned stop has begun.
    pub stopping: AtomicBool,
    /// Number of the next call.
    pub next_caller: Arc<AtomicU64>,
    /// Maker of spans.
    pub tracer: Tracer,
    /// Log output.
    pub log: Logger,
    /// Bound on records about bad jobs.
    pub bad_jobs: Limiter,
}

/// Path of one job.
#[derive(Debug, Deserialize, JsonSchema)]
struct JobPath {
    job: String,
}

/// Settings path, without the leading slash.
#[derive(Debug, Deserialize, JsonSchema)]
struct SettingsPath {
    path: Vec<String>,
}

/// Query of `GET /v1/settings/{path}`.
#[derive(Debug, Deserialize, JsonSchema)]
struct SettingsQuery {
    change: Option<String>,
}

/// Path of one team.
#[derive(Debug, Deserialize, JsonSchema)]
struct TeamPath {
    team: String,
}

/// Body of `GET /v1/status`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct State {
    /// Id of this run of the process.
    pub instance: String,
    /// Its data centre.
    pub data_centre: String,
    /// Whether the balancer may send requests.
    pub ready: bool,
    /// Whether a planned stop has begun.
    pub stopping: bool,
    /// Jobs without a final answer.
    pub open_jobs: usize,
    /// Other entry instances on the platform's list.
    pub peers: Vec<Peer>,
}

/// Another entry instance.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct Peer {
    /// Name.
    pub name: String,
    /// Data centre.
    pub data_centre: String,
    /// Id of its present run, once it has reported.
    pub instance: Option<String>,
    /// Whether the last call to it succeeded.
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

/// Describes the server for callers.
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

/// Describes the server for operators.
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
    let trace = check::trace(request.headers().get(TRACE).map(HeaderValue::as_bytes));
    let mut span = shared.tracer.request("submit", trace.as_deref());
    let trace = span.context(trace.as_ref());
    let reply = match shared.caller_team(request.headers()) {
        Err(reply) => reply,
        Ok((snapshot, team)) => {
            span.set("team", &team);
            let checked = match shared.body(request).await {
                Ok(body) => check::submission(&snapshot, &team, &body, trace.clone(), now),
                Err(invalid) => Err(invalid),
            };
            let reply = match checked {
                Err(invalid) => Reply::invalid(&invalid),
                Ok((submission, wait)) => {
                    let event = |caller| Event::Submit { caller, wait, submission };
                    shared.call(trace.as_deref(), event).await.unwrap_or_else(Ended::reply)
                }
            };
            shared.note(&team, &reply, now);
            reply
        }
    };
    Ok(reply.into_response())
}

/// Ask for the state of a job.
#[endpoint { method = GET, path = "/v1/jobs/{job}" }]
async fn query_job(context: Context, path: Path<JobPath>) -> HttpResult {
    let shared = context.context();
    let (_span, trace) = shared.span("query", &context);
    let reply = match shared.job(&context, &path.into_inner()) {
        Err(reply) => reply,
        Ok((team, job)) if job.owner == shared.instance => {
            let asked = job.clone();
            let event = |caller| Event::Query { caller, team, job, wait: false };
            let reply = shared.call(trace.as_deref(), event).await;
            reply.unwrap_or_else(|_| Reply::unreachable(&asked))
        }
        Ok((team, job)) => shared.forward(team, job, false, trace).await,
    };
    Ok(reply.into_response())
}

/// Cancel a job.
#[endpoint { method = DELETE, path = "/v1/jobs/{job}" }]
async fn cancel_job(context: Context, path: Path<JobPath>) -> HttpResult {
    let shared = context.context();
    let (_span, trace) = shared.span("cancel", &context);
    let reply = match shared.job(&context, &path.into_inner()) {
        Err(reply) => reply,
        Ok((team, job)) if job.owner == shared.instance => {
            let asked = job.clone();
            let event = |caller| Event::Cancel { caller, team, job };
            let reply = shared.call(trace.as_deref(), event).await;
            reply.unwrap_or_else(|_| Reply::unreachable(&asked))
        }
        Ok((team, job)) => shared.forward(team, job, true, trace).await,
    };
    Ok(reply.into_response())
}

/// Read settings, or the state of a change.
#[endpoint { method = GET, path = "/v1/settings/{path:.*}", unpublished = true }]
async fn get_settings(
    context: Context,
    path: Path<SettingsPath>,
    query: Query<SettingsQuery>,
) -> HttpResult {
    let ask = match query.into_inner().change {
        Some(change) => operator::Ask::State(change),
        None => operator::Ask::Get,
    };
    let path = format!("/{}", path.into_inner().path.join("/"));
    let header = context.request.headers().get(AUTHORIZATION).cloned();
    context.context().operate(path, header.as_ref(), ask).await
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
    match shared.body(request).await {
        Ok(body) => shared.operate(path, header.as_ref(), operator::Ask::Put(body.to_vec())).await,
        Err(invalid) => Ok(Reply::invalid(&invalid).into_response()),
    }
}

/// Read all that the installation keeps of a team.
#[endpoint { method = GET, path = "/v1/export/{team}" }]
async fn export_team(context: Context, path: Path<TeamPath>) -> HttpResult {
    let path = format!("/teams/{}", path.into_inner().team);
    let header = context.request.headers().get(AUTHORIZATION).cloned();
    context.context().operate(path, header.as_ref(), operator::Ask::Export).await
}

/// Tell whether the process lives.
#[endpoint { method = GET, path = "/healthz" }]
async fn health(_: Context) -> HttpResult {
    text(StatusCode::OK, "ok\n")
}

/// Tell whether the balancer may send requests.
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
    meter::record_stats(&context.context().figures().await);
    text(StatusCode::OK, meter::handle().render())
}

/// Read the state of the instance.
#[endpoint { method = GET, path = "/v1/status" }]
async fn state(context: Context) -> HttpResult {
    let shared = context.context();
    let Figures { open_jobs, links, .. } = shared.figures().await;
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
    let kind = HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    Ok(response)
}

impl Shared {
    fn caller_team(&self, headers: &HeaderMap) -> Result<(Arc<Snapshot>, id::Team), Reply> {
        let Some(snapshot) = self.snapshots.get() else {
            let retry_at = clock::now().plus(NO_SETTINGS_RETRY);
            let outcome = Outcome::Refused { reason: Refusal::NoSettings, retry_at };
            return Err(Reply::new(None, &Status::Final(outcome.into())));
        };
        let header = headers.get(AUTHORIZATION).map(HeaderValue::as_bytes);
        match check::team(&snapshot, header) {
            Ok(team) => Ok((snapshot, team)),
            Err(invalid) => Err(Reply::invalid(&invalid)),
        }
    }

    fn job(&self, context: &Context, path: &JobPath) -> Result<(id::Team, id::Job), Reply> {
        let (_, team) = self.caller_team(context.request.headers())?;
        let job = check::job(&path.job).map_err(|invalid| Reply::invalid(&invalid))?;
        Ok((team, job))
    }

    async fn body(&self, request: http::Request<Body>) -> Result<bytes::Bytes, Invalid> {
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

    /// Passes a request of an operator to the control thread.
    async fn operate(
        &self,
        path: String,
        header: Option<&HeaderValue>,
        ask: operator::Ask,
    ) -> HttpResult {
        let authorization = header.map(|value| value.as_bytes().to_vec());
        let request = operator::Request { path, authorization, ask };
        let (reply, answer) = oneshot::channel();
        // A control thread that has ended drops the message and thereby closes the channel.
        let _ = self.control.send(Message::Operator(Box::new(request), reply));
        let operator::Reply { status, body } = answer
            .await
            .map_err(|_| HttpError::for_unavail(None, "the instance has stopped".into()))?;
        let mut response = http::Response::new(Body::from(body));
        *response.status_mut() = status;
        let kind = HeaderValue::from_static("application/json");
        response.headers_mut().insert(CONTENT_TYPE, kind);
        Ok(response)
    }

    async fn figures(&self) -> Figures {
        let (reply, figures) = oneshot::channel();
        // A control thread that has ended shows as default figures.
        let _ = self.control.send(Message::Inspect(reply));
        figures.await.unwrap_or_default()
    }

    /// Starts the span of a request and returns it with the trace context for the next hop.
    fn span(&self, name: &'static str, context: &Context) -> (Span, Option<Arc<str>>) {
        let header = context.request.headers().get(TRACE);
        let trace = check::trace(header.map(HeaderValue::as_bytes));
        let span = self.tracer.request(name, trace.as_deref());
        let trace = span.context(trace.as_ref());
        (span, trace)
    }

    /// Counts the answer to a submission and logs a bad one.
    fn note(&self, team: &id::Team, reply: &Reply, arrived_at: Timestamp) {
        let now = clock::now();
        let elapsed = now.since(arrived_at).get();
        meter::job(team, reply.code, elapsed as f64 / 1e6);
        let is_bad = matches!(reply.code, Code::Failed | Code::Unknown);
        if is_bad && let Some(dropped) = self.bad_jobs.admit(now) {
            let body = String::from_utf8_lossy(&reply.body);
            info!(self.log, "job: failed or unknown";
                "team" => %team, "answer" => %body, "dropped_before" => dropped);
        }
    }

    async fn call(
        &self,
        trace: Option<&str>,
        event: impl FnOnce(id::Caller) -> Event,
    ) -> Result<Reply, Ended> {
        let span = self.tracer.child("control", SpanKind::Internal, trace);
        let caller = id::Caller::new(self.next_caller.fetch_add(1, Ordering::Relaxed));
        let (reply, response) = oneshot::channel();
        let message = Message::Call { caller, event: event(caller), reply, span };
        if self.control.send(message).is_err() {
            return Err(Ended::Before);
        }
        let mut hangup = Hangup { caller, control: &self.control, is_answered: false };
        let response = response.await;
        hangup.is_answered = true;
        let Response { job, status } = response.map_err(|_| Ended::After)?;
        Ok(Reply::new(job.as_ref(), &status))
    }

    /// Asks the owner of a job at another instance.
    async fn forward(
        &self,
        team: id::Team,
        job: id::Job,
        cancel: bool,
        trace: Option<Arc<str>>,
    ) -> Reply {
        let asked = job.clone();
        let question = JobRequest { team, job, cancel, wait: None, trace };
        let (reply, response) = oneshot::channel();
        // A control thread that has ended drops the message and thereby closes the channel.
        let _ = self.control.send(Message::Ask(Box::new(question), reply));
        response.await.unwrap_or_else(|_| Reply::unreachable(&asked))
    }
}

/// Tells the control thread when the caller goes away before its answer.
struct Hangup<'a> {
    caller: id::Caller,
    control: &'a Sender,
    is_answered: bool,
}

impl Drop for Hangup<'_> {
    fn drop(&mut self) {
        if !self.is_answered {
            // Fails only after the control thread has ended.
            let _ = self.control.send(Message::Hangup(self.caller));
        }
    }
}

/// The control thread has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ended {
    /// It did not get the call.
    Before,
    /// It may have got the call.
    After,
}

impl Ended {
    /// Returns the reply to a submission.
    fn reply(self) -> Reply {
        let outcome = match self {
            Self::Before => {
                let retry_at = clock::now().plus(NO_SETTINGS_RETRY);
                Outcome::Refused { reason: Refusal::Stopping, retry_at }
            }
            // Its tasks may have been started, so that "not run" would be false.
            Self::After => Outcome::Unknown(Failure {
                task: 0,
                step: Step::Admit,
                target: None,
                message: "the instance failed while it had the job".into(),
            }),
        };
        Reply::new(None, &Status::Final(outcome.into()))
    }
}
