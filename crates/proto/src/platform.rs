//! JSON bodies of the protocol between entry instances and the platform.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// One row of the transactional table. The version is 0 while the row does not exist, and rises
/// with each write, deletions included.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct Row {
    /// Key.
    pub key: String,
    /// Version.
    pub version: u64,
    /// Value; absent if the row does not exist.
    #[serde(default)]
    pub value: Option<String>,
}

/// A condition of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct Condition {
    /// Key.
    pub key: String,
    /// Version that the row must have; 0 for a row that never existed.
    pub version: u64,
}

/// One write of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct Write {
    /// Key.
    pub key: String,
    /// New value; absent to delete the row.
    pub value: Option<String>,
}

/// Body of `POST /v1/table/transact`. All writes take effect if all conditions hold, else none.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct Transaction {
    /// Conditions.
    pub conditions: Vec<Condition>,
    /// Writes.
    pub writes: Vec<Write>,
}

/// Answer to a transaction, with status 200 if it took effect and 409 if not.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct Committed {
    /// Whether the writes took effect.
    pub committed: bool,
    /// The written rows without values, or the rows whose conditions failed.
    pub rows: Vec<Row>,
}

/// Query of `GET /v1/table/row`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct RowQuery {
    /// Key.
    pub key: String,
}

/// Query of `GET /v1/table/scan`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct ScanQuery {
    /// Prefix of the keys.
    pub prefix: String,
}

/// Answer of `GET /v1/table/scan`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct Rows {
    /// Rows in the order of their keys.
    pub rows: Vec<Row>,
}

/// What an instance on the list is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, JsonSchema, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// An entry instance.
    Entry,
    /// A target.
    Target,
}

/// Mark of an instance on the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, JsonSchema, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Mark {
    /// In service.
    Live,
    /// Leaving; it must get no new work.
    Leaving,
}

/// One instance on the list.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct Instance {
    /// Name. An entry instance that restarts gets a new one.
    pub name: String,
    /// Role.
    pub role: Role,
    /// Data centre.
    pub data_centre: String,
    /// IP address and port: of the target protocol, or of the peer protocol.
    pub address: String,
    /// Mark.
    pub mark: Mark,
    /// Target service; empty for entry instances.
    #[serde(default)]
    pub service: String,
    /// Worker; empty for entry instances.
    #[serde(default)]
    pub worker: String,
    /// Rack; empty for entry instances.
    #[serde(default)]
    pub rack: String,
    /// Tasks that the target runs at once.
    #[serde(default)]
    pub slots: u32,
    /// Connections that the target accepts.
    #[serde(default)]
    pub connections: u32,
    /// Memory for tasks, in bytes.
    #[serde(default)]
    pub memory_bytes: u64,
    /// Accelerators.
    #[serde(default)]
    pub accelerators: u32,
}

/// Query of `GET /v1/instances`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct ListQuery {
    /// Revision that the caller has. If the list has the same one, the answer is status 304 without
    /// a body.
    #[serde(default)]
    pub known: Option<u64>,
}

/// Answer of `GET /v1/instances`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct List {
    /// Rises with each change of the list.
    pub revision: u64,
    /// Instances.
    pub instances: Vec<Instance>,
}
