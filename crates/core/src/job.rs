//! Jobs as callers submit them.

use crate::id;
use crate::outcome::Outcome;
use crate::time::Timestamp;
use crate::unit::{Bytes, Millis};
use std::sync::Arc;

/// What a task needs of its target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// Memory.
    pub memory: Bytes,
    /// Accelerators.
    pub accelerators: u32,
}

/// One task of a submission.
#[derive(Clone, Debug)]
pub struct Task {
    /// The class of the task.
    pub kind: id::Kind,
    /// The bytes sent to the target.
    pub payload: Arc<[u8]>,
    /// The run time that the caller declares.
    pub declared: Option<Millis>,
    /// What the task needs.
    pub demand: Demand,
}

/// One job as submitted.
#[derive(Clone, Debug)]
pub struct Submission {
    /// The owner of the job.
    pub team: id::Team,
    /// The caller's name for the job, needed for kinds that are not idempotent.
    pub request: Option<id::Request>,
    /// When the answer is of no more use.
    pub deadline: Timestamp,
    /// The tasks, at least one.
    pub tasks: Vec<Task>,
    /// W3C trace context, passed on to targets.
    pub trace: Option<Arc<str>>,
}

/// The state of a job as told to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Status {
    /// Accepted; the caller did not want to wait.
    Accepted,
    /// Not final yet.
    Running,
    /// Final.
    Final(Arc<Outcome>),
    /// No such job here, or it belongs to another team.
    NotFound,
}
