//! What goes into an engine and what comes out.

use crate::admission;
use crate::claim;
use crate::id;
use crate::job::{Demand, Status, Submission};
use crate::peer;
use crate::settings;
use crate::start::{self, Order};
use crate::time::Timestamp;
use crate::unit::{Bytes, Millis, Slots};
use std::net::SocketAddr;
use std::sync::Arc;

/// Fixed properties of an instance.
#[derive(Clone, Debug)]
pub struct Options {
    /// The instance.
    pub instance: id::Instance,
    /// Its data centre.
    pub data_centre: id::DataCentre,
    /// Seed of the engine's random numbers. It must differ between instances and runs.
    pub seed: u64,
    /// Time for which the balancer may still send requests after the instance reports not ready.
    pub balancer_lag: Millis,
    /// Bounds of the queue.
    pub limits: admission::Limits,
    /// Bound on the size of the final outcomes that are kept. Outcomes that no caller has got yet
    /// are kept for their retention; while they exceed the bound, no job is accepted.
    pub max_finished: Bytes,
    /// Least time between two transactions for claims.
    pub claim_interval: Millis,
    /// Interval of the exchanges of reports with the peers, from which the division of the slots
    /// follows. Without it the engine sends none. In a data centre with few targets a report each second costs 0.05
    /// messages for each task; 10 s is enough for the division.
    pub report_interval: Option<Millis>,
}

impl Options {
    /// Makes options with the defaults for everything but the names and the seed.
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

    /// Sets the least time between two transactions for claims.
    pub fn with_claim_interval(mut self, interval: Millis) -> Self {
        self.claim_interval = interval;
        self
    }

    /// Sets the interval between reports to the peers.
    pub fn with_reports(mut self, interval: Millis) -> Self {
        self.report_interval = Some(interval);
        self
    }

    /// Sets the bounds of the queue.
    pub fn with_limits(mut self, limits: admission::Limits) -> Self {
        self.limits = limits;
        self
    }

    /// Sets the balancer's lag.
    pub fn with_balancer_lag(mut self, lag: Millis) -> Self {
        self.balancer_lag = lag;
        self
    }
}

/// A target as the instance list gives it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Name.
    pub id: id::Target,
    /// The service that it belongs to.
    pub service: id::Service,
    /// Its data centre.
    pub data_centre: id::DataCentre,
    /// Its worker.
    pub worker: id::Worker,
    /// Its rack.
    pub rack: id::Rack,
    /// Where it listens.
    pub address: SocketAddr,
    /// Tasks that it runs at once.
    pub slots: Slots,
    /// Memory that one task may use.
    pub memory: Bytes,
    /// Accelerators that one task may use.
    pub accelerators: u32,
    /// Whether it is leaving.
    pub leaving: bool,
}

impl Target {
    /// Returns what the target offers to one task.
    pub fn offer(&self) -> Demand {
        Demand { memory: self.memory, accelerators: self.accelerators }
    }
}

/// Another entry instance as the instance list gives it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Name.
    pub id: id::Instance,
    /// Its data centre.
    pub data_centre: id::DataCentre,
    /// Where it listens for peers.
    pub address: SocketAddr,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// What the owner of a claimed job says about it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnerReply {
    /// Its answer to a query for the job.
    Status(Status),
    /// The instance has been missing from the platform's list for longer than the list may lag.
    Gone,
    /// No answer by the deadline of the command, or no connection, or the list does not show the
    /// instance yet. It may still run.
    Unreachable,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller submits a job. Answered by one [`Command::Respond`]: with the final outcome, or with
    /// [`Status::Accepted`] if the caller doesn't wait, or with [`Status::Invalid`].
    Submit {
        /// The call.
        caller: id::Caller,
        /// Whether the caller waits for the final answer.
        wait: bool,
        /// The job.
        submission: Submission,
    },
    /// A caller or a peer asks for a job. Answered by one [`Command::Respond`].
    Query {
        /// The call.
        caller: id::Caller,
        /// The team of the caller.
        team: id::Team,
        /// The job.
        job: id::Job,
        /// Whether to answer only when the job is final.
        wait: bool,
    },
    /// A caller or a peer cancels a job. Answered by one [`Command::Respond`] with the outcome.
    Cancel {
        /// The call.
        caller: id::Caller,
        /// The team of the caller.
        team: id::Team,
        /// The job.
        job: id::Job,
    },
    /// A caller's connection is gone; nothing will be sent to it. The job goes on.
    Hangup {
        /// The call.
        caller: id::Caller,
    },
    /// Result of a [`Command::Start`] or of a [`Command::QueryStart`]. The first final result of a
    /// start counts, whichever command brought it; later ones are counted and dropped.
    Answered {
        /// The start.
        start: id::Start,
        /// What became of it.
        result: start::Result,
    },
    /// An answer carried the number of tasks that its target runs. Handed in before the
    /// [`Event::Answered`] of that answer. Optional: without it, tasks stay on the slots that the
    /// instance holds.
    Observed {
        /// The target.
        target: id::Target,
        /// Tasks that run on it, the answered one included.
        busy: u32,
    },
    /// Result of a [`Command::CommitClaims`].
    ClaimCommitted {
        /// The call.
        call: id::Call,
        /// What became of the transaction.
        result: claim::Commit,
    },
    /// Result of a [`Command::ReadClaims`].
    ClaimRead {
        /// The call.
        call: id::Call,
        /// The rows.
        result: claim::Read,
    },
    /// Result of a [`Command::QueryOwner`].
    OwnerReplied {
        /// The call.
        call: id::Call,
        /// What the owner said.
        reply: OwnerReply,
    },
    /// The platform's instance list was read.
    Listed {
        /// Rises with each change of the list, from 1 on; 0 as long as none has been read. An older
        /// list than the last one has no effect.
        revision: u64,
        /// The targets on the list.
        targets: Vec<Target>,
        /// The entry instances on the list. The receiver itself may be among them.
        peers: Vec<Peer>,
    },
    /// A report of a peer arrived, as a call or as a reply. A call is replied to with
    /// [`Engine::report`].
    Reported(peer::Report),
    /// New settings are in force.
    Configured(Arc<settings::Tree>),
    /// The instance stops: it reports not ready from now on.
    Drain,
}

/// What the embedding program has to do.
///
/// Each command with a `start` or a `call` is answered by exactly one event with the same id. If it
/// is not answered within reasonable time after its deadline, the engine assumes the worst case.
#[derive(Clone, Debug)]
pub enum Command {
    /// Send a start, unless the clock read directly before the write shows that its deadline has
    /// passed. Answered by [`Event::Answered`].
    Start(Box<Order>),
    /// Answer a call. Every caller gets exactly one, except after [`Event::Hangup`].
    Respond {
        /// The call.
        caller: id::Caller,
        /// The job, if there is one.
        job: Option<id::Job>,
        /// Its state.
        status: Status,
    },
    /// Run a transaction on the platform's table. Answered by [`Event::ClaimCommitted`]; silence
    /// until the deadline is [`claim::Commit::Ambiguous`].
    CommitClaims {
        /// The call.
        call: id::Call,
        /// Conditions and writes.
        transaction: claim::Transaction,
        /// When to stop waiting.
        deadline: Timestamp,
    },
    /// Read rows of the platform's table. Answered by [`Event::ClaimRead`]. The rows must have been
    /// read after this command was emitted, not taken from a cache.
    ReadClaims {
        /// The call.
        call: id::Call,
        /// Keys of the rows.
        keys: Vec<String>,
        /// When to stop waiting.
        deadline: Timestamp,
    },
    /// Ask another instance for the final outcome of its job, by the peer protocol. Answered by
    /// [`Event::OwnerReplied`].
    QueryOwner {
        /// The call.
        call: id::Call,
        /// The team.
        team: id::Team,
        /// The job; it names its owner.
        job: id::Job,
        /// When to stop waiting.
        deadline: Timestamp,
    },
    /// Ask a target on a new connection what became of a start. Answered by [`Event::Answered`].
    QueryStart {
        /// The start.
        start: id::Start,
        /// The target.
        target: id::Target,
        /// Address of the target.
        address: SocketAddr,
        /// When to stop waiting.
        deadline: Timestamp,
    },
    /// Send a report to peers. Each of them replies with its [`Engine::report`], which is handed in
    /// by [`Event::Reported`]; without a reply nothing is.
    SendReport {
        /// The receivers.
        to: Vec<id::Instance>,
        /// The report.
        report: Arc<peer::Report>,
    },
}

/// Counts since the start of the instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Starts emitted.
    pub starts: u64,
    /// Results of starts whose job was already final.
    pub late_answers: u64,
    /// Further results of starts that already had one.
    pub duplicate_answers: u64,
    /// Results of starts that were never emitted.
    pub mismatched_answers: u64,
    /// Starts without any result long after their deadline.
    pub lost_starts: u64,
    /// Starts of a task that had been started before.
    pub retries: u64,
    /// Answers larger than their kind allows.
    pub oversized_answers: u64,
    /// Starts that a target was asked about.
    pub queries: u64,
}
