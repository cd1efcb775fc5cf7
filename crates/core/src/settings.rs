//! Shared settings, by path, with one subtree for the fleet and one for each team.

use crate::id;
use crate::unit::{Bytes, Millis, Permille, Slots};
use std::collections::BTreeMap;

/// How urgent the tasks of a kind are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Urgency {
    /// Ahead of others.
    High,
    /// The default.
    #[default]
    Normal,
    /// After others.
    Low,
}

/// Settings of a kind, at `/teams/<team>/kinds/<kind>`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// The target service that runs the kind.
    pub service: id::Service,
    /// Whether a task may run again after a resubmission.
    pub idempotent: bool,
    /// Urgency.
    #[serde(default)]
    pub urgency: Urgency,
    /// Deadline of a job that gives none, from its arrival on.
    #[serde(default = "default_timeout")]
    pub default_timeout_ms: Millis,
    /// Largest answer of a task.
    #[serde(default = "default_max_answer")]
    pub max_answer_bytes: Bytes,
}

/// Settings of a team, at `/teams/<team>`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// SHA-256 of the team's credential, in lower-case hexadecimal.
    pub credential_sha256: String,
    /// Weight of the team against other teams.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Most slots that the team may use at once, in all data centres together.
    #[serde(default = "default_quota")]
    pub quota_slots: Slots,
    /// Most tasks of the team in the queue of one instance.
    #[serde(default = "default_max_queued")]
    pub max_queued_tasks: u32,
    /// Most bytes of the team in the queue of one instance.
    #[serde(default = "default_max_queued_bytes")]
    pub max_queued_bytes: Bytes,
    /// Kinds by name.
    pub kinds: BTreeMap<id::Kind, Kind>,
}

/// Settings of the fleet, at `/fleet`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// SHA-256 of the fleet operators' credential, in lower-case hexadecimal.
    pub credential_sha256: String,
    /// Retries as a fraction of starts.
    #[serde(default = "default_retry_permille")]
    pub retry_permille: Permille,
    /// Largest share of the targets of a service that may be ejected.
    #[serde(default = "default_ejected_permille")]
    pub max_ejected_permille: Permille,
    /// How long a final outcome can be fetched.
    #[serde(default = "default_retention")]
    pub result_retention_ms: Millis,
}

/// The whole tree.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Tree {
    /// The fleet's subtree.
    pub fleet: Fleet,
    /// The subtrees of the teams.
    pub teams: BTreeMap<id::Team, Team>,
}

const fn default_timeout() -> Millis {
    Millis::new(10_000)
}

const fn default_max_answer() -> Bytes {
    Bytes::new(65_536)
}

const fn default_weight() -> u32 {
    1
}

const fn default_quota() -> Slots {
    Slots::new(100_000)
}

const fn default_max_queued() -> u32 {
    20_000
}

const fn default_max_queued_bytes() -> Bytes {
    Bytes::new(8 * 1_024 * 1_024)
}

const fn default_retry_permille() -> Permille {
    Permille::new(100)
}

const fn default_ejected_permille() -> Permille {
    Permille::new(300)
}

const fn default_retention() -> Millis {
    Millis::new(60_000)
}
