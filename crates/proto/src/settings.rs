//! JSON bodies of `/v1/settings/{path}` and of the export of a team.
//!
//! `GET /v1/settings/{path}` returns [`Value`], with status 404 and without a value if there is
//! nothing at the path; with the query `?change=<id>` it returns [`Answer`]
//! with the state of that change. `PUT /v1/settings/{path}` takes [`Put`] and returns [`Answer`].
//! `GET /v1/export/{team}` returns [`Export`]. All need the credential of the subtree as bearer. The
//! credential of a removed team still reads the state of a change and repeats the removal, at
//! instances that have held the team's settings.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Body of `PUT /v1/settings/{path}`.
///
/// A caller that repeats a request because the answer was lost sends the same body again. With
/// `expect` the repetition is safe however long it takes: the change id tells whether the change has
/// taken effect, and a version beyond `expect` without that id is a conflict.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Put {
    /// The new value as YAML; absent to remove the whole subtree of a team.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub value: Option<String>,
    /// Version that the subtree must have; 0 for one that never existed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub expect: Option<u64>,
    /// Id of the change, the same at each repetition. It has the syntax of an identifier.
    pub change: String,
}

/// Body of the answer to `GET /v1/settings/{path}`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct Value {
    /// The path.
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
    /// Id of the change.
    pub change: String,
    /// Version that it made.
    pub version: u64,
}

/// State of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Deserialize, JsonSchema, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    /// In force in every data centre. HTTP status 200.
    Accepted,
    /// Committed; some data centres have not confirmed. It is never withdrawn. HTTP status 202.
    Pending,
    /// Another change won; this one has no effect. HTTP status 409.
    Conflict,
    /// Not allowed; this change has no effect. HTTP status 400, or 403 for a wrong credential.
    Refused,
    /// The platform can't be reached, so that it is open whether the change has taken effect. Send
    /// it again with the same change id. HTTP status 503.
    Unsettled,
    /// No change of this id is in the history. HTTP status 404.
    NotFound,
}

impl Status {
    /// Returns the HTTP status that goes with this state. `Refused` has several; this is the default.
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

/// Why a change was turned down.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct Fault {
    /// Path of the value.
    pub path: String,
    /// The value.
    pub value: String,
    /// What is allowed.
    pub allowed: String,
}

/// Body of the answer to a change and to the query of one.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct Answer {
    /// The state.
    pub status: Status,
    /// With `accepted` and `pending`: the version that the change made.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<u64>,
    /// With `conflict`: the version in the table.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub winner_version: Option<u64>,
    /// With `conflict`: the id of the change that made that version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub winner_change: Option<String>,
    /// With `pending`: data centres that have not confirmed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub pending: Vec<String>,
    /// With `refused`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub error: Option<Fault>,
}

impl Answer {
    /// Makes an answer with only a state.
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

/// A claim record of a team.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct Claim {
    /// The caller's name for the job.
    pub request: String,
    /// The row as it stands in the table.
    pub row: String,
}

/// The final outcome of a job that can still be fetched at the answering instance.
#[derive(Clone, Debug)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct JobResult {
    /// The job.
    pub job: String,
    /// The answer.
    pub answer: crate::caller::Answer,
}

/// Body of the answer to `GET /v1/export/{team}`: all that the installation keeps of a team.
#[derive(Clone, Debug)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct Export {
    /// The team.
    pub team: String,
    /// Its settings.
    pub settings: Value,
    /// Its claim records.
    pub claims: Vec<Claim>,
    /// Recent results of the answering instance. Other instances keep their own.
    #[serde(default)]
    pub results: Vec<JobResult>,
    /// Jobs of the team without a final answer at the answering instance.
    #[serde(default)]
    pub open_jobs: u64,
}
