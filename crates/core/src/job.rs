//! Jobs as callers submit them.

use crate::id;
use crate::outcome::Outcome;
use crate::time::Timestamp;
use crate::unit::{Bytes, Millis};
use quick_error::quick_error;
use std::sync::Arc;

/// Most tasks of one job.
pub const MAX_TASKS: usize = 20_000;

quick_error! {
    /// Why a submission is malformed or not allowed. Nothing of it ran, and the same submission is
    /// turned down again until it or the settings change.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Invalid {
        /// The settings have no such team.
        UnknownTeam(team: id::Team) {
            display("team {} is not in the settings", team)
        }
        /// The team's settings have no such kind.
        UnknownKind(task: u32, kind: id::Kind) {
            display("task {} has kind {}, which is not in the team's settings", task, kind)
        }
        /// The number of tasks is out of bounds.
        TaskCount(found: usize) {
            display("job has {} tasks, allowed are 1 to {}", found, MAX_TASKS)
        }
        /// A task is of a kind that is not idempotent, but the submission has no request id.
        RequestMissing(task: u32, kind: id::Kind) {
            display("task {} has kind {}, which is not idempotent and needs a request id", task, kind)
        }
        /// The request id belongs to a job with other tasks.
        RequestReused(request: id::Request) {
            display("request id {} was used for a job with other tasks", request)
        }
    }
}

impl Invalid {
    /// Returns the machine-readable code.
    pub const fn code(&self) -> &'static str {
        match self {
            Self::UnknownTeam(_) => "unknown_team",
            Self::UnknownKind(..) => "unknown_kind",
            Self::TaskCount(_) => "task_count",
            Self::RequestMissing(..) => "request_missing",
            Self::RequestReused(_) => "request_reused",
        }
    }
}

/// What a task needs of its target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// Memory.
    pub memory: Bytes,
    /// Accelerators.
    pub accelerators: u32,
}

impl Demand {
    /// Tells whether an offer of this size is enough for a demand.
    pub fn covers(&self, demand: &Self) -> bool {
        self.memory >= demand.memory && self.accelerators >= demand.accelerators
    }
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
    /// The submission is malformed or not allowed; no job was made.
    Invalid(Invalid),
}
