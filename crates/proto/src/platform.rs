//! JSON bodies of the HTTP protocol between entry instances and the platform, which offers a
//! transactional key-value table and the list of instances.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// One row of the transactional table.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct Row {
    /// Unique key.
    pub key: String,
    /// Rises with each write, deletions included; 0 for a row that never existed.
    pub version: u64,
    /// Value; absent if the row does not exist.
    #[serde(default)]
    pub value: Option<String>,
}

/// A precondition of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct Condition {
    /// Key of the row.
    pub key: String,
    /// Version that the row must have; 0 for a row that never existed.
    pub version: u64,
}

/// One write of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct Write {
    /// Key of the row.
    pub key: String,
    /// New value; absent to delete the row.
    pub value: Option<String>,
}

/// Body of `POST /v1/table/transact`. If all conditions hold, all writes take effect, else none.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct Transaction {
    /// Preconditions; they may name rows that are not written.
    pub conditions: Vec<Condition>,
    /// Writes, applied atomically.
    pub writes: Vec<Write>,
}

/// Answer to a transaction, with HTTP status 200 if it took effect and 409 if not.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct Committed {
    /// Whether the writes took effect.
    pub committed: bool,
    /// If the writes took effect, the written rows without values, else the rows whose conditions
    /// failed.
    pub rows: Vec<Row>,
}

/// Query of `GET /v1/table/row`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct RowQuery {
    /// Key of the row to read.
    pub key: String,
}

/// Query of `GET /v1/table/scan`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct ScanQuery {
    /// Prefix of the keys to return.
    pub prefix: String,
}

/// Answer of `GET /v1/table/scan`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct Rows {
    /// Rows in the order of their keys.
    pub rows: Vec<Row>,
}

/// Type of an instance on the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, JsonSchema, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// An entry instance, which accepts jobs from callers.
    Entry,
    /// A target, which runs tasks.
    Target,
}

/// Availability of an instance on the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, JsonSchema, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Mark {
    /// In service; it may get work.
    Live,
    /// Leaving the fleet; it must not get new work.
    Leaving,
}

/// One instance on the list.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct Instance {
    /// Name, unique on the list. A restarted entry instance keeps it, but gets another suffix in
    /// its id.
    pub name: String,
    /// Whether this is an entry instance or a target.
    pub role: Role,
    /// Data centre it runs in.
    pub data_centre: String,
    /// IP address and port, of the target protocol for a target, else of the peer protocol.
    pub address: String,
    /// Whether it may get new work.
    pub mark: Mark,
    /// Service that the target belongs to; empty for entry instances.
    #[serde(default)]
    pub service: String,
    /// Worker that the target runs on; empty for entry instances.
    #[serde(default)]
    pub worker: String,
    /// Rack of the worker; empty for entry instances.
    #[serde(default)]
    pub rack: String,
    /// Largest number of tasks that the target runs concurrently.
    #[serde(default)]
    pub slots: u32,
    /// Connections that the target accepts from all instances together; 0 if it states no limit.
    #[serde(default)]
    pub connections: u32,
    /// Memory for tasks, in bytes.
    #[serde(default)]
    pub memory_bytes: u64,
    /// Number of accelerators for tasks.
    #[serde(default)]
    pub accelerators: u32,
}

/// Query of `GET /v1/instances`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct ListQuery {
    /// Revision that the client has; absent to get the list in any case. If the list still has this
    /// revision, the answer is HTTP status 304 without a body.
    #[serde(default)]
    pub known: Option<u64>,
}

/// Answer of `GET /v1/instances`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, JsonSchema, Serialize)]
pub struct List {
    /// Rises with each change of the list.
    pub revision: u64,
    /// Entry instances and targets.
    pub instances: Vec<Instance>,
}
