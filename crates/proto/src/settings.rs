//! JSON bodies of `/v1/settings/{path}` and of the export of a team.
//!
//! The settings are a tree with one subtree for the fleet and one for each team.
//!
//! - `GET /v1/settings/{path}` returns [`Value`], with status 404 and without a value if there is
//!   nothing at the path.
//! - `GET /v1/settings/{path}?change=<id>` returns [`Answer`] with the state of that change.
//! - `PUT /v1/settings/{path}` takes [`Put`] and returns [`Answer`].
//! - `GET /v1/export/{team}` returns [`Export`].
//!
//! All need the credential of the subtree as bearer token. After a team was removed, instances that
//! held its settings still accept its credential to read the state of a change and to repeat the
//! removal.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Body of `PUT /v1/settings/{path}`.
///
/// A caller that did not receive the answer sends the same body again. With `expect` such a retry
/// is safe at any time: the change id shows whether the change took effect already, and a version
/// above `expect` without that id is a conflict.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Put {
    /// The new value as YAML; absent to remove the whole subtree of a team.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub value: Option<String>,
    /// Version that the subtree must have; 0 for one that never existed, absent for any version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub expect: Option<u64>,
    /// Id of the change, chosen by the caller and repeated with each retry. It has the syntax of an
    /// identifier.
    pub change: String,
}

/// Body of the answer to `GET /v1/settings/{path}`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct Value {
    /// The path in the request.
    pub path: String,
    /// Version of the subtree in force at the instance; 0 if it never existed.
    pub version: u64,
    /// The value as YAML; absent if the subtree does not exist.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub value: Option<String>,
    /// The last changes of the subtree, newest first.
    #[serde(default)]
    pub history: Vec<Change>,
}

/// One change in the history of a subtree.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct Change {
    /// Id that the caller chose for the change.
    pub change: String,
    /// Version of the subtree that the change created.
    pub version: u64,
}

/// State of a change to the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, JsonSchema, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    /// In force in every data centre. HTTP status 200.
    Accepted,
    /// Committed for good, but some data centres have not confirmed it yet. HTTP status 202.
    Pending,
    /// Another change was committed first; this one has no effect. HTTP status 409.
    Conflict,
    /// Not allowed; this change has no effect. HTTP status 400, or 403 for a wrong credential.
    Refused,
    /// It is unknown whether the change took effect, because the platform cannot be reached. Retry
    /// with the same change id. HTTP status 503.
    Unsettled,
    /// The history of the subtree contains no change with this id. HTTP status 404.
    NotFound,
}

impl Status {
    /// Returns the HTTP status of an answer with this state. `Refused` has several; this returns
    /// 400.
    pub const fn http_status(self) -> u16 {
        match self {
            Self::Accepted => 200,
            Self::Pending => 202,
            Self::Conflict => 409,
            Self::Refused => 400,
            Self::Unsettled => 503,
            Self::NotFound => 404,
        }
    }
}

/// Why a change was refused.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct Fault {
    /// Path of the invalid value in the settings.
    pub path: String,
    /// The invalid value as text.
    pub value: String,
    /// What is allowed in its place.
    pub allowed: String,
}

/// Body of the answer to a change and to the query of its state.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct Answer {
    /// State of the change; it determines which other fields are present.
    pub status: Status,
    /// With `accepted` and `pending`: the version that the change created.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<u64>,
    /// With `conflict`: the version in the table.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub winner_version: Option<u64>,
    /// With `conflict`: the id of the change that created that version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub winner_change: Option<String>,
    /// With `pending`: data centres that have not confirmed the change yet.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub pending: Vec<String>,
    /// With `refused`: what is not allowed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub error: Option<Fault>,
}

impl Answer {
    /// Creates an answer whose other fields are absent.
    pub const fn new(status: Status) -> Self {
        Self {
            status,
            version: None,
            winner_version: None,
            winner_change: None,
            pending: Vec::new(),
            error: None,
        }
    }
}

/// A claim record of a team, which prevents a second run of a job that is submitted again.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct Claim {
    /// The idempotency key of the job, `request_id` in [`Submit`](crate::caller::Submit).
    pub request: String,
    /// Value of the row in the table, unchanged.
    pub row: String,
}

/// The final outcome of a job that the answering instance still retains.
#[derive(Clone, Debug)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct JobResult {
    /// Id of the job.
    pub job: String,
    /// The answer to a query of the job.
    pub answer: crate::caller::Answer,
}

/// Body of the answer to `GET /v1/export/{team}`: the stored data of a team.
#[derive(Clone, Debug)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct Export {
    /// Name of the team.
    pub team: String,
    /// Settings of the team.
    pub settings: Value,
    /// Claim records of the team, from the platform's table.
    pub claims: Vec<Claim>,
    /// Results that the answering instance retains. Other instances have their own.
    #[serde(default)]
    pub results: Vec<JobResult>,
    /// Number of jobs of the team that have no outcome yet at the answering instance.
    #[serde(default)]
    pub open_jobs: u64,
}
