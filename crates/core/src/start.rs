//! Starts: single attempts to run a task on a target.

use crate::id;
use crate::outcome::Step;
use crate::time::Timestamp;
use crate::unit::Bytes;
use std::net::SocketAddr;
use std::sync::Arc;

/// All that is needed to send a start.
#[derive(Clone, Debug)]
pub struct Order {
    /// The start.
    pub start: id::Start,
    /// The job.
    pub job: id::Job,
    /// Index of the task in its job.
    pub task: u32,
    /// The chosen target.
    pub target: id::Target,
    /// Address of the target.
    pub address: SocketAddr,
    /// The team.
    pub team: id::Team,
    /// The kind.
    pub kind: id::Kind,
    /// The start must not be sent at or after this time, and the target must refuse it then.
    pub deadline: Timestamp,
    /// The bytes for the target.
    pub payload: Arc<[u8]>,
    /// Largest answer of the kind. A longer answer needs not be read to its end; it is reported as
    /// [`Result::Failed`] at step [`Step::Receive`].
    pub max_answer: Bytes,
    /// W3C trace context.
    pub trace: Option<Arc<str>>,
}

/// Proof that a start did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum NotRun {
    /// The connection could not be opened.
    ConnectFailed,
    /// The deadline had passed directly before the write.
    Lapsed,
    /// The target answered that it has no free slot.
    Busy,
    /// The target answered that it is leaving.
    Draining,
    /// The target answered that the deadline had passed.
    Expired,
}

/// What became of a start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Result {
    /// The whole answer.
    Answered(Arc<[u8]>),
    /// Proven not to have run.
    NotRun(NotRun),
    /// The target ran the task and reported a failure, or its answer is not valid.
    Failed {
        /// Where.
        step: Step,
        /// A short sentence for people.
        message: String,
    },
    /// The start may have run. This ends the job. A query is reported like this if the target says
    /// that it doesn't know the start.
    Unknown {
        /// Where.
        step: Step,
        /// A short sentence for people.
        message: String,
    },
    /// The target says, on a new connection, that the start still runs. Only follows a query.
    Running,
    /// The target could not be asked, or gave no usable answer to the question. Only follows a
    /// query. A target that is leaving accepts no new connections while it ends its tasks, so this
    /// says nothing about a start there; about any other start it says as much as [`Self::Unknown`].
    /// A not-run answer to a query is reported like this: only the answer to the start itself is a
    /// proof.
    Unreachable,
}
