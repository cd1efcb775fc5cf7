//! JSON bodies of the protocol between callers and entry instances.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// One task of a job.
#[derive(Clone, Debug)]
#[derive(Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Task {
    /// Name of the kind in the team's settings.
    pub kind: String,
    /// Any JSON value, sent to the target as it is.
    pub payload: Box<RawValue>,
    /// Declared run time in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub declared_ms: Option<u64>,
    /// Memory in bytes that the task needs.
    #[serde(default)]
    pub memory_bytes: u64,
    /// Accelerators that the task needs.
    #[serde(default)]
    pub accelerators: u32,
}

/// Body of `POST /v1/jobs`.
#[derive(Clone, Debug)]
#[derive(Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Submit {
    /// The caller's own name for the job, the same at every resubmission. Needed for kinds that are
    /// not idempotent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request_id: Option<String>,
    /// Deadline in microseconds since the Unix epoch.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_us: Option<u64>,
    /// Time from arrival to the deadline in milliseconds, in place of `deadline_us`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub timeout_ms: Option<u64>,
    /// Whether to answer when the job is final (the default) or at once with its id.
    #[serde(default = "default_wait")]
    pub wait: bool,
    /// The tasks, at least one.
    pub tasks: Vec<Task>,
}

const fn default_wait() -> bool {
    true
}

/// Machine-readable state of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, JsonSchema, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// Accepted, not final. HTTP status 202.
    Accepted,
    /// Not final. HTTP status 202.
    Running,
    /// Every task answered. HTTP status 200.
    Complete,
    /// A task failed. HTTP status 502.
    Failed,
    /// Nothing ran or will run. HTTP status 503 with `Retry-After`.
    Refused,
    /// A task may have run; nothing will be run again. HTTP status 504.
    Unknown,
    /// The deadline passed. HTTP status 408.
    Expired,
    /// The caller cancelled. HTTP status 410.
    Cancelled,
    /// No such job. HTTP status 404.
    NotFound,
    /// The instance that owned the job is gone; the job may have run. HTTP status 404.
    OwnerGone,
    /// The instance that owns the job can't be reached at the moment; the job may be running. HTTP
    /// status 503 with `Retry-After`.
    OwnerUnreachable,
    /// The request is malformed or not allowed. HTTP status 4xx.
    Invalid,
}

/// Why a job failed or its outcome is unknown.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct Failure {
    /// Index of the task.
    pub task: u32,
    /// Step of the start: `admit`, `connect`, `send`, `receive` or `run`.
    pub step: String,
    /// The target, if one had been chosen.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub target: Option<String>,
    /// A short sentence for people.
    pub message: String,
}

/// Why a request was turned down.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct Refusal {
    /// Machine-readable reason.
    pub reason: String,
    /// When to come back, in microseconds since the Unix epoch.
    pub retry_at_us: u64,
}

/// A request that is malformed or not allowed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct Invalid {
    /// Machine-readable reason, such as `unknown_kind`.
    pub reason: String,
    /// A short sentence for people that names the field, its value and what is allowed.
    pub message: String,
}

/// Body of every answer about a job.
#[derive(Clone, Debug)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct Answer {
    /// The state.
    pub code: Code,
    /// The job, if one was made.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub job: Option<String>,
    /// With `complete`: the answers in the order of the tasks.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answers: Option<Vec<Box<RawValue>>>,
    /// With `failed` and `unknown`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub failure: Option<Failure>,
    /// With `refused`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub refusal: Option<Refusal>,
    /// With `expired` and `cancelled`: whether any task may have run.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub started: Option<bool>,
    /// With `invalid`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub invalid: Option<Invalid>,
}

impl Code {
    /// Returns the HTTP status that goes with the code. `Invalid` has several; this is the default.
    pub const fn http_status(self) -> u16 {
        match self {
            Self::Accepted | Self::Running => 202,
            Self::Complete => 200,
            Self::Failed => 502,
            Self::Refused | Self::OwnerUnreachable => 503,
            Self::Unknown => 504,
            Self::Expired => 408,
            Self::Cancelled => 410,
            Self::NotFound | Self::OwnerGone => 404,
            Self::Invalid => 400,
        }
    }
}

impl Answer {
    /// Makes an answer with only a code.
    pub const fn new(code: Code) -> Self {
        Self {
            code,
            job: None,
            answers: None,
            failure: None,
            refusal: None,
            started: None,
            invalid: None,
        }
    }

    /// Adds the job.
    pub fn with_job(mut self, job: String) -> Self {
        self.job = Some(job);
        self
    }
}
