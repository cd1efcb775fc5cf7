//! Starts: attempts to run a task on a target. A task may be started several times, but only after
//! the earlier starts were proven not to have run.

use crate::id;
use crate::outcome::Step;
use crate::time::Timestamp;
use crate::unit::Bytes;
use std::net::SocketAddr;
use std::sync::Arc;

/// Instruction to send a start to a target, with all that the sender needs.
#[derive(Clone, Debug)]
pub struct Order {
    /// Id of the start, to return with its result.
    pub start: id::Start,
    /// The job of the task.
    pub job: id::Job,
    /// Index of the task in its job.
    pub task: u32,
    /// The target to send the start to.
    pub target: id::Target,
    /// Address at which the target listens.
    pub address: SocketAddr,
    /// The team that submitted the job.
    pub team: id::Team,
    /// The kind of the task.
    pub kind: id::Kind,
    /// Deadline of the job. From then on the start must not be sent, and the target must refuse it.
    pub deadline: Timestamp,
    /// Input of the task, passed to the target unchanged.
    pub payload: Arc<[u8]>,
    /// Maximum answer size of the kind. The sender may stop reading a longer answer; it reports it
    /// as [`Result::Failed`] at [`Step::Receive`].
    pub max_answer: Bytes,
    /// W3C trace context of the job, if it has one.
    pub trace: Option<Arc<str>>,
}

/// Proof that a start did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum NotRun {
    /// The connection could not be opened.
    ConnectFailed,
    /// The deadline passed before the start was sent.
    Lapsed,
    /// The target replied that it has no free slot.
    Busy,
    /// The target replied that it is leaving.
    Draining,
    /// The target replied that the deadline had passed.
    Expired,
}

/// Result of a start, or of a query about it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Result {
    /// The task succeeded; holds the complete answer.
    Answered(Arc<[u8]>),
    /// The start was proven not to have run.
    NotRun(NotRun),
    /// The target ran the task and reported a failure, or its answer is not valid.
    Failed {
        /// The step at which the failure arose.
        step: Step,
        /// A short explanation for people.
        message: String,
    },
    /// The start may have run, which ends the job. Also the result of a query if the target replies
    /// that it doesn't know the start.
    Unknown {
        /// The step at which the start was lost.
        step: Step,
        /// A short explanation for people.
        message: String,
    },
    /// The target replied to a query, on a new connection, that the start still runs. Only the
    /// result of a query.
    Running,
    /// The target could not be queried, or its reply was not usable. Only the result of a query.
    ///
    /// A leaving target accepts no new connections while it finishes its tasks, so for a start
    /// there this result means nothing; for any other start it means the same as [`Self::Unknown`].
    /// A not-run reply to a query is also reported like this: only the reply to the start itself is
    /// a proof.
    Unreachable,
}
