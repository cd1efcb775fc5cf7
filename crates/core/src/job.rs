//! Jobs as submitted by callers, and the status that callers get.

use crate::id;
use crate::outcome::Outcome;
use crate::time::Timestamp;
use crate::unit::{Bytes, Millis};
use quick_error::quick_error;
use std::sync::Arc;

/// Maximum number of tasks of a job.
pub const MAX_TASKS: usize = 20_000;

quick_error! {
    /// Reason why a submission is malformed or not allowed. Nothing of it ran, and the same
    /// submission is rejected again until it or the settings change.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Invalid {
        /// The team is not in the settings.
        UnknownTeam(team: id::Team) {
            display("team {} is not in the settings", team)
        }
        /// The kind of a task, given by its index, is not in the team's settings.
        UnknownKind(task: u32, kind: id::Kind) {
            display("task {} has kind {}, which is not in the team's settings", task, kind)
        }
        /// The number of tasks is 0 or above [`MAX_TASKS`].
        TaskCount(found: usize) {
            display("job has {} tasks, allowed are 1 to {}", found, MAX_TASKS)
        }
        /// The kind of a task, given by its index, is not idempotent, but the submission has no
        /// request id.
        RequestMissing(task: u32, kind: id::Kind) {
            display("task {} has kind {}, which is not idempotent and needs a request id", task, kind)
        }
        /// The request id was already used for a job with other tasks.
        RequestReused(request: id::Request) {
            display("request id {} was used for a job with other tasks", request)
        }
    }
}

impl Invalid {
    /// Returns the machine-readable code that is sent to the caller.
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

/// Resources that a task needs, or that a target offers to one task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Resources {
    /// Memory in bytes; zero if the task declares none.
    pub memory: Bytes,
    /// Number of accelerators.
    pub accelerators: u32,
}

impl Resources {
    /// Returns whether an offer of this size satisfies a demand.
    pub fn covers(&self, demand: &Self) -> bool {
        self.memory >= demand.memory && self.accelerators >= demand.accelerators
    }
}

/// One task of a submission.
#[derive(Clone, Debug)]
pub struct Task {
    /// Kind of the task; the team's settings name its service.
    pub kind: id::Kind,
    /// Bytes sent to the target, not interpreted by the dispatcher.
    pub payload: Arc<[u8]>,
    /// Run time that the caller declares, if any.
    pub declared: Option<Millis>,
    /// Resources that the task needs.
    pub demand: Resources,
}

/// One job as submitted.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Team that submits the job and whose quota it uses.
    pub team: id::Team,
    /// Id by which resubmissions of the job are recognised; required if a kind is not idempotent.
    pub request: Option<id::Request>,
    /// Time from which the answer is of no use to the caller; no task is started after it.
    pub deadline: Timestamp,
    /// Tasks, 1 to [`MAX_TASKS`] of them; the answers have the same order.
    pub tasks: Vec<Task>,
    /// W3C trace context, passed on to targets.
    pub trace: Option<Arc<str>>,
}

/// Status of a job in a response to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Status {
    /// The job was accepted; the caller does not wait for its outcome.
    Accepted,
    /// The job has no final outcome yet.
    Running,
    /// The job has ended.
    Final(Arc<Outcome>),
    /// This instance has no such job, or the job belongs to another team.
    NotFound,
    /// The submission is malformed or not allowed; no job was created.
    Invalid(Invalid),
}
