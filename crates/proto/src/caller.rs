//! JSON bodies of the HTTP protocol between callers and entry instances.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// One task of a job.
#[derive(Clone, Debug)]
#[derive(Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Task {
    /// Name of one of the kinds in the team's settings.
    pub kind: String,
    /// Any JSON value, sent to the target unchanged.
    pub payload: Box<RawValue>,
    /// Run time that the caller expects, in milliseconds; absent if unknown.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub declared_ms: Option<u64>,
    /// Memory that the task needs, in bytes; 0 if it does not matter.
    #[serde(default)]
    pub memory_bytes: u64,
    /// Number of accelerators that the task needs.
    #[serde(default)]
    pub accelerators: u32,
}

/// Body of `POST /v1/jobs`.
#[derive(Clone, Debug)]
#[derive(Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Submit {
    /// Idempotency key chosen by the caller and repeated when it resubmits the job. Required if a
    /// kind is not idempotent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request_id: Option<String>,
    /// Deadline of the job in microseconds since the Unix epoch.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_us: Option<u64>,
    /// Time from the arrival of the request to the deadline in milliseconds, instead of
    /// `deadline_us`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub timeout_ms: Option<u64>,
    /// Whether the answer waits for the final outcome (the default) or is sent at once, with the
    /// id.
    #[serde(default = "default_wait")]
    pub wait: bool,
    /// The tasks; at least one. Answers come in the same order.
    pub tasks: Vec<Task>,
}

const fn default_wait() -> bool {
    true
}

/// Machine-readable state of a job, or why there is no job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, JsonSchema, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// Submitted without waiting; the job has no outcome yet. HTTP status 202.
    Accepted,
    /// The job has no outcome yet. HTTP status 202.
    Running,
    /// All tasks ran and returned an answer. HTTP status 200.
    Complete,
    /// A task failed. HTTP status 502.
    Failed,
    /// No task ran or will run; the caller may retry later. HTTP status 503 with `Retry-After`.
    Refused,
    /// It is unknown whether a task ran; no task will be started again. HTTP status 504.
    Unknown,
    /// The deadline passed before the job was complete. HTTP status 408.
    Expired,
    /// The caller cancelled the job. HTTP status 410.
    Cancelled,
    /// The owner knows no such job of the team. HTTP status 404.
    NotFound,
    /// The process that owned the job has ended; its tasks may have run. HTTP status 404.
    OwnerGone,
    /// The instance that owns the job cannot be reached at present; its tasks may be running. HTTP
    /// status 503 with `Retry-After`.
    OwnerUnreachable,
    /// The request is malformed or not allowed. HTTP status 4xx.
    Invalid,
}

/// Why a job failed or its outcome is unknown.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct Failure {
    /// Index of the task in the submission, from 0.
    pub task: u32,
    /// Step of the start that failed: `admit`, `connect`, `send`, `receive` or `run`.
    pub step: String,
    /// Name of the target; absent if the task failed before one was chosen.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub target: Option<String>,
    /// Description of the failure for people.
    pub message: String,
}

/// Why a job was refused, and when to retry it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct Refusal {
    /// Machine-readable reason, such as `queue_full`.
    pub reason: String,
    /// Earliest useful time for a retry, in microseconds since the Unix epoch.
    pub retry_at_us: u64,
}

/// Why a request is invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct Invalid {
    /// Machine-readable reason, such as `unknown_kind`.
    pub reason: String,
    /// Description for people, with the field, its value and what is allowed.
    pub message: String,
}

/// Body of each response to a submission, query or cancellation.
#[derive(Clone, Debug)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct Answer {
    /// State of the job; it determines which other fields are present.
    pub code: Code,
    /// Id of the job; absent if none was created.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub job: Option<String>,
    /// With `complete`: the answers of the targets, in the order of the tasks.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answers: Option<Vec<Box<RawValue>>>,
    /// With `failed` and `unknown`: the task that decided the outcome.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub failure: Option<Failure>,
    /// With `refused`: the reason and when to retry.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub refusal: Option<Refusal>,
    /// With `expired` and `cancelled`: whether any task may have run.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub started: Option<bool>,
    /// With `invalid`: what is wrong with the request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub invalid: Option<Invalid>,
}

impl Code {
    /// Returns the HTTP status of an answer with this code. `Invalid` has several; this returns
    /// 400.
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
    /// Creates an answer whose other fields are absent.
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

    /// Sets the id of the job.
    pub fn with_job(mut self, job: String) -> Self {
        self.job = Some(job);
        self
    }
}
