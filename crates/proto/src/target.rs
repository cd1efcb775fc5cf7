//! Headers and JSON bodies of the protocol between entry instances and targets.
//!
//! `POST /v1/tasks/{start}` starts a task, where `{start}` is `<instance>.<number>`. An answer has
//! status 200 and echoes [`START`]. Status 503 with [`NOT_RUN`] proves that the task did not run.
//! Status 500 means that it ran and failed. `GET /v1/tasks/{start}` has status 200 with the answer
//! if the task has finished, 500 if it has failed, 202 while it runs, and 404 if the target does not
//! know the start.

use serde::{Deserialize, Serialize};

/// Deadline in microseconds since the Unix epoch. The target must not run the task from then on.
pub const DEADLINE: &str = "x-deadline-us";
/// Name of the team.
pub const TEAM: &str = "x-team";
/// Name of the kind.
pub const KIND: &str = "x-kind";
/// The start, echoed in the answer.
pub const START: &str = "x-start";
/// Reason of an explicit not-run answer: `busy`, `draining` or `expired`.
pub const NOT_RUN: &str = "x-not-run";
/// Number of tasks that the target runs, the answered one included. Optional in answers and
/// refusals; with it, entry instances find idle targets without extra messages.
pub const BUSY: &str = "x-busy";
/// W3C trace context.
pub const TRACE: &str = "traceparent";

/// Payload that the stand-in target understands.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Payload {
    /// Run time in microseconds.
    #[serde(default)]
    pub run_us: u64,
    /// Bytes of padding in the answer.
    #[serde(default)]
    pub answer_bytes: usize,
    /// Whether the task reports a failure.
    #[serde(default)]
    pub fail: bool,
    /// Text echoed in the answer.
    #[serde(default)]
    pub echo: String,
}

/// Answer of the stand-in target.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Answer {
    /// Text of the payload.
    pub echo: String,
    /// Padding.
    #[serde(default)]
    pub padding: String,
}
