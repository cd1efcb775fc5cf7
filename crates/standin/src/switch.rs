//! Fault switches of the stand-ins. A `PUT` replaces all switches; a switch left out is off.

use serde::{Deserialize, Serialize};

/// Outage of the platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// No outage.
    #[default]
    None,
    /// New connections are refused and open ones closed.
    Refuse,
    /// Requests are answered with status 503.
    Unavailable,
}

/// Fault switches of the platform. None affects the control address.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Platform {
    /// Outage of all listeners.
    pub outage: Outage,
    /// Names of the listeners that refuse connections, as in a network partition.
    pub cut: Vec<String>,
    /// Whether requests are accepted but neither carried out nor answered.
    pub hang: bool,
    /// Delay of each answer in milliseconds.
    pub delay_ms: u64,
    /// Number of next writes that take effect but whose reply is replaced by a connection reset.
    pub lose_replies: u32,
    /// Whether the instance list stays as it was when the switch was set. Later changes show when it
    /// is off again.
    pub freeze_list: bool,
    /// Whether the instance list is answered with status 503.
    pub list_unavailable: bool,
}

/// Connections of a target that get no answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Silence {
    /// No connection.
    #[default]
    None,
    /// All connections accepted before the switch was set.
    Existing,
    /// All connections, also new ones.
    All,
}

/// How the answer of a task that ran is delivered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Delivery {
    /// The answer is sent once and unchanged.
    #[default]
    Whole,
    /// The answer is sent twice.
    Twice,
    /// The connection closes in the middle of the body.
    Truncated,
    /// The connection is reset before the answer.
    Lost,
    /// The answer carries the id of another start.
    WrongStart,
    /// The answer is padded to 4 MiB, far above the usual limit.
    Oversized,
}

/// Fault switches of a target.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Target {
    /// Connections that get no answers. A request on them is not run, and it stays unanswered even
    /// after the switch is off.
    pub silence: Silence,
    /// Whether new connections are refused and open ones closed.
    pub refuse: bool,
    /// Whether every task fails at once with status 500.
    pub fail: bool,
    /// Additional run time in percent of the payload's run time; 400 makes tasks take five times as
    /// long.
    pub slower_percent: u64,
    /// Delay between the end of a task and its answer, in milliseconds. The slot is free meanwhile.
    pub late_ms: u64,
    /// How answers of tasks that ran are delivered.
    pub delivery: Delivery,
    /// Whether a request to start a task resets the connection and does not run the task.
    pub reset: bool,
    /// Whether new tasks are refused as not run with reason `draining`.
    pub draining: bool,
}
