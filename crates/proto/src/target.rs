//! Headers and JSON bodies of the HTTP protocol between entry instances and targets.
//!
//! `POST /v1/tasks/{start}` starts a task. `{start}` is `<instance>.<number>`, unique for each
//! attempt to run a task. The status is
//!
//! - 200 with the answer in the body and the start in the header [`START`],
//! - 503 with [`NOT_RUN`], which proves that the task did not run,
//! - 500 if the task ran and failed.
//!
//! `GET /v1/tasks/{start}` queries a start. The status is 200 with the answer if the task has
//! finished, 500 if it has failed, 202 while it runs, and 404 if the target does not know the
//! start.

use serde::{Deserialize, Serialize};

/// Deadline in microseconds since the Unix epoch. The target must not begin the task then or later.
pub const DEADLINE: &str = "x-deadline-us";
/// Name of the team that submitted the task.
pub const TEAM: &str = "x-team";
/// Name of the kind of task in the team's settings.
pub const KIND: &str = "x-kind";
/// The start that an answer belongs to, required with status 200.
pub const START: &str = "x-start";
/// Reason why the task did not run: `busy`, `draining` or `expired`.
pub const NOT_RUN: &str = "x-not-run";
/// Number of tasks that the target runs, including the answered one. Optional in answers and
/// refusals; it lets entry instances find idle targets without extra messages.
pub const BUSY: &str = "x-busy";
/// W3C trace context of the start.
pub const TRACE: &str = "traceparent";

/// Payload that the stand-in target understands.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Payload {
    /// Simulated run time in microseconds.
    #[serde(default)]
    pub run_us: u64,
    /// Length of [`Answer::padding`] in bytes.
    #[serde(default)]
    pub answer_bytes: usize,
    /// Whether the task reports a failure.
    #[serde(default)]
    pub fail: bool,
    /// Text returned in [`Answer::echo`].
    #[serde(default)]
    pub echo: String,
}

/// Answer of the stand-in target.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Answer {
    /// The text in [`Payload::echo`].
    pub echo: String,
    /// Filler that gives the answer the requested size.
    #[serde(default)]
    pub padding: String,
}
