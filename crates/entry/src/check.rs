//! Validation of requests before they reach the engine. An invalid request starts no task.

use crate::snapshot::Snapshot;
use http::StatusCode;
use std::sync::Arc;
use verbenapass::id;
use verbenapass::job::{Resources, Submission, Task};
use verbenapass::time::Timestamp;
use verbenapass::unit::{Bytes, Millis};
use verbenapass_proto::caller::Submit;

/// Longest time from the arrival of a job to its deadline. Claims are retained for as long after the
/// deadline by default.
pub const MAX_TIMEOUT: Millis = Millis::new(24 * 3_600_000);
/// Length of a `traceparent` header of version 00, in bytes.
const TRACEPARENT_LENGTH: usize = 55;

/// Why a request is invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Invalid {
    /// HTTP status of the reply.
    pub status: StatusCode,
    /// Machine-readable reason, also a label of the metrics.
    pub reason: &'static str,
    /// Sentence for people: the field, its value and what is allowed.
    pub message: String,
}

impl Invalid {
    /// Creates an error with status 400.
    pub fn new(reason: &'static str, message: impl Into<String>) -> Self {
        Self { status: StatusCode::BAD_REQUEST, reason, message: message.into() }
    }

    /// Replaces the status 400 by another one.
    pub const fn with_status(mut self, status: StatusCode) -> Self {
        self.status = status;
        self
    }
}

/// Returns the team whose credential the `Authorization` header contains. Fails with status 401 if
/// there is none.
pub fn team(snapshot: &Snapshot, header: Option<&[u8]>) -> Result<id::Team, Invalid> {
    let unauthorized = |reason, message: &str| {
        Err(Invalid::new(reason, message).with_status(StatusCode::UNAUTHORIZED))
    };
    let Some(credential) = header.and_then(credential) else {
        return unauthorized(
            "missing_credential",
            "the header Authorization must be \"Bearer <credential>\"",
        );
    };
    match snapshot.team(credential) {
        Some(team) => Ok(team.clone()),
        None => unauthorized("unknown_credential", "the credential belongs to no team"),
    }
}

/// Returns the bearer token of an `Authorization` header; `None` for another scheme or an empty
/// token.
pub fn credential(header: &[u8]) -> Option<&str> {
    let (scheme, credential) = std::str::from_utf8(header).ok()?.split_once(' ')?;
    let credential = credential.trim();
    (scheme.eq_ignore_ascii_case("bearer") && !credential.is_empty()).then_some(credential)
}

/// Parses the job id in a request path.
pub fn job(text: &str) -> Result<id::Job, Invalid> {
    text.parse().map_err(|error| Invalid::new("invalid_id", format!("job: {error}")))
}

/// Returns the W3C trace context of a `traceparent` header. An invalid one is ignored, as the
/// standard demands.
pub fn trace(header: Option<&[u8]>) -> Option<Arc<str>> {
    let text = std::str::from_utf8(header?).ok()?;
    let mut parts = text.split('-');
    let mut next_is_hex = |length: usize| {
        parts.next().is_some_and(|part| {
            part.len() == length
                && part.bytes().all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b))
        })
    };
    let is_valid = text.len() == TRACEPARENT_LENGTH
        && next_is_hex(2)
        && next_is_hex(32)
        && next_is_hex(16)
        && next_is_hex(2)
        && !text.starts_with("ff")
        && text[3..35].bytes().any(|b| b != b'0')
        && text[36..52].bytes().any(|b| b != b'0');
    is_valid.then(|| text.into())
}

/// Parses and checks the body of a submission. The returned flag is true if the caller waits for
/// the final outcome.
pub fn submission(
    snapshot: &Snapshot,
    team: &id::Team,
    body: &[u8],
    trace: Option<Arc<str>>,
    now: Timestamp,
) -> Result<(Submission, bool), Invalid> {
    let submit = parse(body)?;
    let deadline = deadline(&submit, now)?;
    let request = submit
        .request_id
        .as_deref()
        .map(str::parse)
        .transpose()
        .map_err(|error| Invalid::new("invalid_id", format!("request_id: {error}")))?;
    if submit.tasks.is_empty() {
        return Err(Invalid::new("no_tasks", "tasks: at least 1 is needed"));
    }
    let max_tasks = snapshot.tree.teams.get(team).map_or(0, |team| team.max_job_tasks);
    if submit.tasks.len() > max_tasks as usize {
        let message = format!("tasks: {} given, allowed are 1 to {max_tasks}", submit.tasks.len());
        return Err(Invalid::new("too_many_tasks", message));
    }
    let mut tasks: Vec<Task> = Vec::with_capacity(submit.tasks.len());
    for (index, task) in submit.tasks.into_iter().enumerate() {
        let kind = match tasks.last() {
            Some(last) if last.kind.as_str() == task.kind => last.kind.clone(),
            _ => check_kind(snapshot, team, index, &task.kind, request.as_ref())?,
        };
        tasks.push(Task {
            kind,
            payload: task.payload.get().as_bytes().into(),
            declared: task.declared_ms.map(Millis::new),
            demand: Resources {
                memory: Bytes::new(task.memory_bytes),
                accelerators: task.accelerators,
            },
        });
    }
    Ok((Submission { team: team.clone(), request, deadline, tasks, trace }, submit.wait))
}

fn parse(body: &[u8]) -> Result<Submit, Invalid> {
    // The JSON library also accepts a list of the fields' values in place of an object.
    if body.trim_ascii_start().first() == Some(&b'[') {
        return Err(Invalid::new("malformed_body", "body: expected a JSON object, found a list"));
    }
    serde_json::from_slice(body)
        .map_err(|error| Invalid::new("malformed_body", format!("body: {error}")))
}

fn deadline(submit: &Submit, now: Timestamp) -> Result<Timestamp, Invalid> {
    let deadline = match (submit.deadline_us, submit.timeout_ms) {
        (Some(_), Some(_)) => {
            return Err(Invalid::new(
                "two_deadlines",
                "deadline_us and timeout_ms: both given, exactly one is needed",
            ));
        }
        (None, None) => {
            return Err(Invalid::new(
                "no_deadline",
                "deadline_us and timeout_ms: neither given, exactly one is needed",
            ));
        }
        (Some(micros), None) => Timestamp::from_micros(micros),
        (None, Some(millis)) => now.plus(Millis::new(millis)),
    };
    if deadline.is_past(now) {
        let message = format!("deadline: {deadline} has passed, the time here is {now}");
        return Err(Invalid::new("deadline_past", message));
    }
    if deadline > now.plus(MAX_TIMEOUT) {
        let message = format!("deadline: {deadline} is more than {MAX_TIMEOUT} away");
        return Err(Invalid::new("deadline_too_far", message));
    }
    Ok(deadline)
}

fn check_kind(
    snapshot: &Snapshot,
    team: &id::Team,
    index: usize,
    text: &str,
    request: Option<&id::Request>,
) -> Result<id::Kind, Invalid> {
    let kind: id::Kind = text
        .parse()
        .map_err(|error| Invalid::new("invalid_id", format!("tasks[{index}].kind: {error}")))?;
    let Some(settings) = snapshot.kind(team, &kind) else {
        let known = snapshot
            .tree
            .teams
            .get(team)
            .map(|team| team.kinds.keys().map(id::Kind::as_str).collect::<Vec<_>>().join(", "));
        let message = format!(
            "tasks[{index}].kind: {text:?} is not a kind of the team, allowed are: {}",
            known.unwrap_or_default()
        );
        return Err(Invalid::new("unknown_kind", message));
    };
    if !settings.idempotent && request.is_none() {
        let message = format!("request_id: needed because the kind {text:?} is not idempotent");
        return Err(Invalid::new("missing_request_id", message));
    }
    Ok(kind)
}
