//! Events that an engine handles, commands that it emits, and its options.

use crate::admission;
use crate::claim;
use crate::id;
use crate::job::{Resources, Status, Submission};
use crate::peer;
use crate::settings;
use crate::start::{self, Order};
use crate::time::Timestamp;
use crate::unit::{Bytes, Millis, Slots};
use std::net::SocketAddr;
use std::sync::Arc;

/// Options of an engine, fixed for its lifetime.
#[derive(Clone, Debug)]
pub struct Options {
    /// Name of this instance; the owner in the ids of its jobs.
    pub instance: id::Instance,
    /// Data centre in which the instance runs.
    pub data_centre: id::DataCentre,
    /// Seed of the engine's random numbers. It must differ between instances and restarts.
    pub seed: u64,
    /// Time for which the load balancer may still send requests after the instance reports not
    /// ready.
    pub balancer_lag: Millis,
    /// Limits of the queue, over all teams.
    pub limits: admission::Limits,
    /// Maximum total size of the retained final outcomes. Outcomes that no caller has fetched stay
    /// for their whole retention; while the total exceeds the maximum, no job is accepted.
    pub max_finished: Bytes,
    /// Minimum time between two transactions for claims.
    pub claim_interval: Millis,
    /// Interval between report exchanges with the peers, on which the division of slots and quotas
    /// is based; `None` disables them. In a data centre with few targets, a report each second
    /// costs 0.05 messages per task; 10 s is enough for the division.
    pub report_interval: Option<Millis>,
}

impl Options {
    /// Creates options with defaults for everything else: a balancer lag of 5 s, 64 MiB of retained
    /// outcomes, a claim interval of 250 ms and no reports.
    pub fn new(instance: id::Instance, data_centre: id::DataCentre, seed: u64) -> Self {
        Self {
            instance,
            data_centre,
            seed,
            balancer_lag: Millis::new(5_000),
            limits: admission::Limits::default(),
            max_finished: Bytes::new(64 * 1_024 * 1_024),
            claim_interval: Millis::new(250),
            report_interval: None,
        }
    }

    /// Sets the minimum time between two transactions for claims.
    pub fn with_claim_interval(mut self, interval: Millis) -> Self {
        self.claim_interval = interval;
        self
    }

    /// Enables report exchanges with the peers at this interval.
    pub fn with_reports(mut self, interval: Millis) -> Self {
        self.report_interval = Some(interval);
        self
    }

    /// Sets the limits of the queue, over all teams.
    pub fn with_limits(mut self, limits: admission::Limits) -> Self {
        self.limits = limits;
        self
    }

    /// Sets the time for which requests are still accepted after [`Event::Drain`].
    pub fn with_balancer_lag(mut self, lag: Millis) -> Self {
        self.balancer_lag = lag;
        self
    }
}

/// A target as described by the instance list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Name on the list.
    pub id: id::Target,
    /// Service that the target belongs to.
    pub service: id::Service,
    /// Data centre in which the target runs.
    pub data_centre: id::DataCentre,
    /// Worker that hosts the target; a retry prefers another one.
    pub worker: id::Worker,
    /// Rack of the worker; a retry prefers another one.
    pub rack: id::Rack,
    /// Address at which the target accepts starts.
    pub address: SocketAddr,
    /// Maximum number of tasks that run at once.
    pub slots: Slots,
    /// Maximum memory of one task.
    pub memory: Bytes,
    /// Maximum accelerators of one task.
    pub accelerators: u32,
    /// Whether the target is shutting down and accepts no new tasks.
    pub leaving: bool,
}

impl Target {
    /// Returns the resources that the target offers to a single task.
    pub fn offer(&self) -> Resources {
        Resources { memory: self.memory, accelerators: self.accelerators }
    }
}

/// An entry instance as described by the instance list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Name on the list.
    pub id: id::Instance,
    /// Data centre in which the instance runs.
    pub data_centre: id::DataCentre,
    /// Address at which the instance accepts calls of its peers.
    pub address: SocketAddr,
    /// Whether the instance is shutting down.
    pub leaving: bool,
}

/// Result of a query to the instance that owns a claimed job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnerReply {
    /// The owner answered with the status of the job.
    Status(Status),
    /// The owner no longer runs: it has been missing from the platform's list for longer than the
    /// list may lag.
    Gone,
    /// There was no answer by the deadline of the command or no connection, or the list does not
    /// name the owner yet. The owner may still run.
    Unreachable,
}

/// Input of an engine: a request, the result of a command, or a change of its environment.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller submits a job. Answered by one [`Command::Respond`]: with the final outcome, with
    /// [`Status::Accepted`] if the caller doesn't wait, or with [`Status::Invalid`].
    Submit {
        /// Id of the call, returned with the response.
        caller: id::Caller,
        /// Whether the caller waits for the final outcome.
        wait: bool,
        /// Job to run.
        submission: Submission,
    },
    /// A caller or a peer queries the status of a job. Answered by one [`Command::Respond`].
    Query {
        /// Id of the call.
        caller: id::Caller,
        /// Team of the caller; jobs of other teams are reported as not found.
        team: id::Team,
        /// Job to query.
        job: id::Job,
        /// Whether to respond only once the job is final.
        wait: bool,
    },
    /// A caller or a peer cancels a job. Answered by one [`Command::Respond`] with the outcome.
    Cancel {
        /// Id of the call.
        caller: id::Caller,
        /// Team of the caller; jobs of other teams are reported as not found.
        team: id::Team,
        /// Job to cancel.
        job: id::Job,
    },
    /// A caller has disconnected; no response is sent to it. Its job continues.
    Hangup {
        /// Id of the call that ended.
        caller: id::Caller,
    },
    /// Result of a [`Command::Start`] or of a [`Command::QueryStart`]. The first final result of a
    /// start is used, whichever command brought it; later ones are only counted.
    Answered {
        /// Id of the start, from the command.
        start: id::Start,
        /// Whether the task ran, and its answer.
        result: start::Result,
    },
    /// An answer reported the number of tasks that its target runs. Pass it in before the
    /// [`Event::Answered`] of that answer. Optional: without it, tasks use only the slots that the
    /// instance holds.
    Observed {
        /// Target that sent the answer.
        target: id::Target,
        /// Tasks running on the target, including the answered one.
        busy: u32,
    },
    /// Result of a [`Command::CommitClaims`].
    ClaimCommitted {
        /// Id of the call, from the command.
        call: id::Call,
        /// Whether the transaction took effect, as far as known.
        result: claim::Commit,
    },
    /// Result of a [`Command::ReadClaims`].
    ClaimRead {
        /// Id of the call, from the command.
        call: id::Call,
        /// Rows that were read, if the platform answered.
        result: claim::Read,
    },
    /// Result of a [`Command::QueryOwner`].
    OwnerReplied {
        /// Id of the call, from the command.
        call: id::Call,
        /// Reply of the owner, or why there is none.
        reply: OwnerReply,
    },
    /// The platform's instance list was read.
    Listed {
        /// Increases with each change of the list, starting at 1; 0 as long as no list has been
        /// read. A list older than the last one is ignored.
        revision: u64,
        /// All targets on the list.
        targets: Vec<Target>,
        /// All entry instances on the list, possibly including this one.
        peers: Vec<Peer>,
    },
    /// A report of a peer arrived, as a call or as the reply to one. A call is answered with
    /// [`Engine::report`](crate::engine::Engine::report).
    Reported(peer::Report),
    /// New settings are in force.
    Configured(Arc<settings::Tree>),
    /// The instance shuts down: it reports not ready from now on.
    Drain,
}

/// Action that the embedding program must execute.
///
/// Each command with a `start` or a `call` is answered by exactly one event with the same id. If
/// none comes within reasonable time after the deadline, the engine assumes that the start may have
/// run, that the transaction may have taken effect or that the read failed.
#[derive(Clone, Debug)]
pub enum Command {
    /// Send a start, unless the clock shows directly before the write that its deadline has passed.
    /// Answered by [`Event::Answered`].
    Start(Box<Order>),
    /// Respond to a call. Every call gets exactly one response, except after [`Event::Hangup`].
    Respond {
        /// Id of the call.
        caller: id::Caller,
        /// Job that the status is about; `None` if no job was created.
        job: Option<id::Job>,
        /// Status to send.
        status: Status,
    },
    /// Run a transaction on the platform's table. Answered by [`Event::ClaimCommitted`]; without a
    /// reply by the deadline, the result is [`claim::Commit::Ambiguous`].
    CommitClaims {
        /// Id to return with the result.
        call: id::Call,
        /// Conditions and writes, all or none of which take effect.
        transaction: claim::Transaction,
        /// Time to stop waiting for the reply.
        deadline: Timestamp,
    },
    /// Read rows of the platform's table. Answered by [`Event::ClaimRead`]. The rows must be read
    /// after this command was emitted, not taken from a cache.
    ReadClaims {
        /// Id to return with the result.
        call: id::Call,
        /// Keys of the rows.
        keys: Vec<String>,
        /// Time to stop waiting for the reply.
        deadline: Timestamp,
    },
    /// Query the final outcome of a job from the instance that owns it, by the peer protocol.
    /// Answered by [`Event::OwnerReplied`].
    QueryOwner {
        /// Id to return with the result.
        call: id::Call,
        /// Team of the job.
        team: id::Team,
        /// Job to query; its id names the owner.
        job: id::Job,
        /// Time to stop waiting for the reply.
        deadline: Timestamp,
    },
    /// Query a target, on a new connection, for the result of a start. Answered by
    /// [`Event::Answered`].
    QueryStart {
        /// Start to query.
        start: id::Start,
        /// Target to which the start was sent.
        target: id::Target,
        /// Address of the target.
        address: SocketAddr,
        /// Time to stop waiting for the reply.
        deadline: Timestamp,
    },
    /// Send a report to peers. Each peer replies with its
    /// [`Engine::report`](crate::engine::Engine::report), which is passed in as
    /// [`Event::Reported`]. A peer that does not reply causes no event.
    SendReport {
        /// Peers to send the report to.
        to: Vec<id::Instance>,
        /// Report to send.
        report: Arc<peer::Report>,
    },
}

/// Totals since the engine was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Starts emitted, including retries.
    pub starts: u64,
    /// Results of starts whose job was already final.
    pub late_answers: u64,
    /// Further results of starts that already had a final one.
    pub duplicate_answers: u64,
    /// Results of starts that were never emitted.
    pub mismatched_answers: u64,
    /// Starts given up without a result, long after their deadline.
    pub lost_starts: u64,
    /// Tasks queued again after a start that did not run.
    pub retries: u64,
    /// Answers larger than their kind allows.
    pub oversized_answers: u64,
    /// Queries to targets about starts without a result.
    pub queries: u64,
}
