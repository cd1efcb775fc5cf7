//! Messages between instances.
//!
//! A link delivers them once and in order, or reports the peer as lost. Clocks of instances differ,
//! so that points in time travel as the time that is left.

use crate::resource::Amount;
use crate::run::{End, Key, Number};
use crate::target::{Generation, Transfer};
use std::sync::Arc;
use verbenapass::id;

/// Tasks of one job that are handed to the owner of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Batch {
    /// The job.
    pub job: crate::run::Job,
    /// Class of the tasks.
    pub kind: id::Kind,
    /// What the tasks are.
    pub spec: Arc<str>,
    /// Resources of one task.
    pub amount: Amount,
    /// Expected duration of one task, in milliseconds.
    pub estimate_ms: u64,
    /// Time in which a start must be sent, in milliseconds.
    pub send_within_ms: u64,
    /// Index and number of each run.
    pub runs: Vec<(u32, Number)>,
}

/// Tasks that wait at an instance for room elsewhere.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Demand {
    /// Waiting tasks, or zero if none waits any more.
    pub tasks: u32,
    /// Expected time in which all targets of the service work them off, in microseconds.
    pub work_us: u64,
    /// Whether the first waiting job has tasks that run already.
    pub is_started: bool,
    /// Priority of the queue of the first waiting job.
    pub priority: u32,
    /// Time until the first waiting job has to start, in milliseconds.
    pub slack_ms: i64,
    /// Resources of one task of that job.
    pub amount: Amount,
    /// Resources of one task of the smallest waiting job.
    pub smallest: Amount,
}

/// A message of one instance to another.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub enum Message {
    /// All targets that the sender owns.
    Owned(Vec<(id::Target, Generation)>),
    /// Tasks of a service that wait at the sender.
    Demand {
        /// The service.
        service: id::Service,
        /// What waits.
        demand: Demand,
    },
    /// Room that the sender reserves for the receiver.
    Grant {
        /// Names the reservation.
        number: u64,
        /// The service.
        service: id::Service,
        /// The target, for the log.
        target: id::Target,
        /// The room.
        room: Amount,
    },
    /// Tasks for reserved room; none gives the room back.
    Place {
        /// The reservation.
        number: u64,
        /// The tasks.
        batches: Vec<Batch>,
    },
    /// Runs that are no longer wanted.
    Cancel(Vec<Key>),
    /// Runs that ended.
    Ended(Vec<(Key, End)>),
    /// A target that the sender no longer owns.
    Handover {
        /// The target.
        target: id::Target,
        /// Generation of the sender.
        generation: Generation,
        /// Number of the last end that was passed on.
        acknowledged: u64,
        /// What runs there.
        runs: Vec<Transfer>,
    },
    /// Runs of the receiver that have gone over to another owner with their target.
    Moved {
        /// The new owner.
        to: id::Instance,
        /// The runs.
        runs: Vec<Key>,
    },
    /// A target that takes no new tasks.
    Leaving(id::Target),
    /// The sender stops: it owns nothing more and is given nothing.
    Stopping,
}
