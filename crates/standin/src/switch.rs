//! Fault switches. A `PUT` replaces all switches; absent fields take their default, which is off.

use serde::{Deserialize, Serialize};

/// How the platform is out of service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// In service.
    #[default]
    None,
    /// Connections are refused, open ones are closed.
    Refuse,
    /// Requests are answered with status 503.
    Unavailable,
}

/// Switches of the platform.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Platform {
    /// Outage on all listeners.
    pub outage: Outage,
    /// Names of listeners that refuse connections, as in a partition.
    pub cut: Vec<String>,
    /// Whether requests are accepted and never answered.
    pub hang: bool,
    /// Delay of each answer in milliseconds.
    pub delay_ms: u64,
    /// Number of next writes that take effect and whose replies are lost.
    pub lose_replies: u32,
    /// Whether the instance list is served as it was when the switch was set.
    pub freeze_list: bool,
    /// Whether the instance list is answered with status 503.
    pub list_unavailable: bool,
}

/// Which connections of a target are silent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Silence {
    /// None.
    #[default]
    None,
    /// Those that were open when the switch was set.
    Existing,
    /// All.
    All,
}

/// What becomes of the answer of a task that ran.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Delivery {
    /// It is sent whole.
    #[default]
    Whole,
    /// It is sent twice.
    Twice,
    /// The connection closes in the middle of the body.
    Truncated,
    /// The connection is reset before the answer.
    Lost,
    /// It carries the id of another start.
    WrongStart,
    /// It is padded far beyond any allowed size.
    Oversized,
}

/// Switches of a target.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Target {
    /// Silent connections. A request on them is neither run nor answered, and a silent connection
    /// stays silent.
    pub silence: Silence,
    /// Whether connections are refused and open ones closed.
    pub refuse: bool,
    /// Whether every task fails at once with status 500.
    pub fail: bool,
    /// Added run time in percent of the given run time; 400 makes a target five times slower.
    pub slower_percent: u64,
    /// Delay of each answer after the task ended, in milliseconds.
    pub late_ms: u64,
    /// What becomes of answers.
    pub delivery: Delivery,
    /// Whether the connection is reset after the request, without running the task.
    pub reset: bool,
    /// Whether new tasks are refused as not run with reason `draining`.
    pub draining: bool,
}
