//! Orders to targets, and the answers to them.

use crate::generation::Generation;
use crate::run::{End, Key};
use std::net::SocketAddr;
use std::sync::Arc;
use verbenapass::id;
use verbenapass::time::Timestamp;
use verbenapass::unit::Millis;

/// One order to a target.
#[derive(Clone, Debug)]
pub struct Order {
    /// Recipient of the order.
    pub target: id::Target,
    /// Address to which the order is sent.
    pub address: SocketAddr,
    /// Fencing token of the owner; zero for a hold that only probes.
    pub generation: Generation,
    /// Content of the order.
    pub action: Action,
}

/// The action that an order requests.
#[derive(Clone, Debug)]
pub enum Action {
    /// Start a run.
    Start {
        /// Task and number of the run.
        run: Key,
        /// Description of the task, passed on unchanged.
        spec: Arc<str>,
        /// New end of the target's lease, in milliseconds on the clock of the target.
        lease_until_ms: u64,
        /// Time from which the order must not be sent any more.
        send_before: Timestamp,
        /// Time at which the request times out.
        deadline: Timestamp,
    },
    /// Stop a run, or prevent it from starting.
    Stop {
        /// Task and number of the run.
        run: Key,
        /// Time at which the request times out.
        deadline: Timestamp,
    },
    /// Renew the lease and list running and ended runs.
    Hold {
        /// Number that [`crate::target::Target::hold_answered`] expects with the answer.
        number: u64,
        /// New end of the lease, in milliseconds on the clock of the target; `None` renews nothing.
        lease_until_ms: Option<u64>,
        /// Sequence number up to which the target may forget ended runs.
        acknowledged: u64,
        /// Longest time for which the target may delay its answer until a run ends.
        wait: Millis,
        /// Time at which the request times out.
        deadline: Timestamp,
    },
}

/// Answer to a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartAnswer {
    /// The target has the run.
    Accepted,
    /// The target has seen a higher generation of another owner.
    Fenced,
    /// The target has seen this number or a higher one for a run of the task.
    Outdated,
    /// The target did not start the run for another reason.
    Refused,
    /// The order did not leave this process, so the run cannot start.
    NotSent,
    /// No usable answer: the run may have started or may still start.
    Unknown,
}

/// Answer to a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopAnswer {
    /// The run is being stopped, or will not start.
    Accepted,
    /// The target has seen a higher generation of another owner.
    Fenced,
    /// No answer, or one that says nothing about the run.
    Unknown,
}

/// Answer to a hold.
#[derive(Clone, Debug)]
pub enum HoldAnswer {
    /// The target accepted the hold and reports its state.
    State(State),
    /// The target has seen a higher generation of another owner.
    Fenced,
    /// Another incarnation of the target answers in its place, so this one has ended.
    Replaced,
    /// No answer, or one that cannot be used.
    Unknown,
}

/// State of a target, from its answer to a hold.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// Start time of its process, in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Reading of its clock, in milliseconds; ends of leases refer to this clock.
    pub clock_ms: u64,
    /// All runs that are running.
    pub running: Vec<Key>,
    /// Ended runs that were not acknowledged yet, each with a sequence number of the target.
    pub ended: Vec<(u64, Key, End)>,
}
