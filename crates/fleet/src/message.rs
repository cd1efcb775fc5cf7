//! Messages between instances.
//!
//! A link delivers them exactly once and in order, or reports the peer as lost. Clocks of instances
//! differ, so messages carry remaining times instead of timestamps.

use crate::crash::Loss;
use crate::evacuation;
use crate::generation::Generation;
use crate::resource::{Amount, Work};
use crate::run::{End, Key, Number};
use crate::speed::Factor;
use crate::target::Transfer;
use std::sync::Arc;
use verbenapass::id;

/// Runs of one job, sent to the owner of a target to be started there.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Batch {
    /// Job of all runs; the sender is its home.
    pub job: crate::run::Job,
    /// Kind of the tasks, under which the receiver counts failures of targets.
    pub kind: id::Kind,
    /// Description of the tasks, passed on to the target unchanged.
    pub spec: Arc<str>,
    /// Resources that one task takes.
    pub amount: Amount,
    /// Expected duration of one task, in milliseconds.
    pub estimate_ms: u64,
    /// Time left to send the starts, in milliseconds.
    pub send_within_ms: u64,
    /// Index of each task in its job and number of its run.
    pub runs: Vec<(u32, Number)>,
}

/// Largest factors of targets that waiting jobs accept at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Limits {
    /// Limit of the first waiting job.
    pub first: Factor,
    /// Limit of the job whose tasks take the fewest processors.
    pub smallest: Factor,
    /// Largest limit of any waiting job.
    pub loosest: Factor,
    /// Resources of one task of the job with the largest limit.
    pub loosest_amount: Amount,
}

impl Limits {
    /// Limits of jobs that accept every target, with tasks of `amount`.
    pub fn none(amount: Amount) -> Self {
        let any = Factor::MAX;
        Self { first: any, smallest: any, loosest: any, loosest_amount: amount }
    }
}

/// Tasks of one service that wait at an instance for capacity elsewhere.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Demand {
    /// Number of waiting tasks; zero withdraws the demand.
    pub tasks: u32,
    /// Estimated work of the tasks, whichever targets the sender can reach.
    pub work: Work,
    /// Whether tasks of the first waiting job run already.
    pub is_started: bool,
    /// Priority of the first waiting job; zero is the highest.
    pub priority: u32,
    /// Time until the first waiting job must start, in milliseconds; negative if it is late.
    pub slack_ms: i64,
    /// Resources of one task of the first waiting job.
    pub amount: Amount,
    /// Kind of the first waiting job; `None` if nothing waits.
    pub kind: Option<id::Kind>,
    /// Resources of one task of the waiting job whose tasks take the fewest processors.
    pub smallest: Amount,
    /// Speeds of the targets that the jobs accept.
    pub limits: Limits,
}

impl Demand {
    /// Demand without tasks, which withdraws the previous one.
    pub fn none() -> Self {
        Self {
            tasks: 0,
            work: Work::default(),
            is_started: false,
            priority: 0,
            slack_ms: 0,
            amount: Amount::default(),
            kind: None,
            smallest: Amount::default(),
            limits: Limits::none(Amount::default()),
        }
    }
}

/// A message from one instance to another.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub enum Message {
    /// All targets that the sender owns, with its generations. Replaces the previous list.
    Owned(Vec<(id::Target, Generation)>),
    /// Tasks that wait at the sender for capacity on targets of the receiver.
    Demand {
        /// Service whose targets run the tasks.
        service: id::Service,
        /// Number, urgency and size of the waiting tasks. Replaces the previous demand.
        demand: Demand,
    },
    /// Capacity that the sender reserves for the receiver for a short time.
    Grant {
        /// Number of the reservation, to be returned in [`Message::Place`].
        number: u64,
        /// Service of the target.
        service: id::Service,
        /// Target with the capacity; the receiver doesn't use it.
        target: id::Target,
        /// Resources that are reserved.
        room: Amount,
        /// Speed of the target.
        factor: Factor,
    },
    /// Tasks for reserved capacity.
    Place {
        /// Number of the reservation, from [`Message::Grant`].
        number: u64,
        /// Tasks to start; empty to release the reservation.
        batches: Vec<Batch>,
    },
    /// Runs of the sender's jobs that the receiver must stop.
    Cancel(Vec<Key>),
    /// Runs of the receiver's jobs that ended on targets of the sender, with the speeds of these.
    Ended(Vec<(Key, End, Factor)>),
    /// A target that the sender hands over to the receiver.
    Handover {
        /// Target that the receiver must claim.
        target: id::Target,
        /// Generation of the sender; the receiver claims with a higher one.
        generation: Generation,
        /// Sequence number of the target's last ended run that the sender has processed.
        acknowledged: u64,
        /// Runs on the target.
        runs: Vec<Transfer>,
        /// Speed of the target.
        factor: Factor,
    },
    /// Runs of the receiver's jobs that were handed over to another owner with their target.
    Moved {
        /// New owner of the target.
        to: id::Instance,
        /// Runs on the target.
        runs: Vec<Key>,
    },
    /// A target of the receiver that gets no new tasks, as the sender has learned from the list.
    Leaving {
        /// Target that leaves.
        target: id::Target,
        /// Incarnation that leaves; a later one is another process.
        incarnation: u64,
    },
    /// The sender stops: it hands over its targets and must be given none.
    Stopping,
    /// The capacity of a target of the receiver has changed, as the sender has learned from the list.
    Capacity {
        /// Target whose capacity has changed.
        target: id::Target,
        /// Incarnation that has this capacity.
        incarnation: u64,
        /// Version of the list in which the sender has read it.
        version: u64,
        /// All resources of the target, used or free.
        capacity: Amount,
    },
    /// Runs that were lost with their targets, or news of such losses.
    Losses(Vec<Loss>),
    /// All that the sender knows of evacuated data centres.
    Evacuations(evacuation::Report),
}

impl Message {
    /// Returns whether the message is about tasks, whose ends depend on the failure detection of the
    /// link. News that go to all peers don't: they would keep all links of a large fleet fast.
    pub fn needs_fast_link(&self) -> bool {
        match self {
            Self::Demand { .. }
            | Self::Grant { .. }
            | Self::Place { .. }
            | Self::Cancel(_)
            | Self::Ended(_)
            | Self::Handover { .. }
            | Self::Moved { .. } => true,
            Self::Owned(_)
            | Self::Leaving { .. }
            | Self::Capacity { .. }
            | Self::Stopping
            | Self::Losses(_)
            | Self::Evacuations(_) => false,
        }
    }
}
