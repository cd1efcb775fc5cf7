//! What the engine decided, for the log.

use crate::admission::{Load, Reason};
use crate::run::{End, Job, Key};
use crate::target::Generation;
use std::fmt;
use verbenapass::id;
use verbenapass::unit::Millis;

/// Final answer to a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Every task is done.
    Succeeded,
    /// The job can never succeed.
    Failed(Cause),
    /// Nothing has run, and nothing will.
    Refused(Reason, Millis),
    /// Some of it has run, it is not complete, and it is not continued. What still runs is being
    /// stopped, or ends with its lease.
    GivenUp(Reason),
}

/// Why a job has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// A task has failed as often as it may.
    Attempts,
    /// No target is large enough.
    NeverFits,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Succeeded => f.write_str("succeeded"),
            Self::Failed(Cause::Attempts) => f.write_str("failed_attempts"),
            Self::Failed(Cause::NeverFits) => f.write_str("failed_never_fits"),
            Self::Refused(reason, _) => write!(f, "refused_{reason}"),
            Self::GivenUp(reason) => write!(f, "given_up_{reason}"),
        }
    }
}

/// How a job went, for its final log line.
#[derive(Clone, Debug)]
pub struct Summary {
    /// The job.
    pub job: Job,
    /// Class of its tasks.
    pub kind: id::Kind,
    /// Version of the routes by which it was accepted.
    pub version: id::Version,
    /// Number of tasks.
    pub tasks: u32,
    /// Runs that were handed to peers.
    pub moved: u32,
    /// Time from arrival to the first placement.
    pub waited: Option<Millis>,
    /// Time from arrival to the answer.
    pub elapsed: Millis,
    /// What the client is told.
    pub outcome: Outcome,
    /// Load at arrival or at the decision to refuse.
    pub load: Option<Load>,
}

/// One decision.
#[derive(Clone, Debug)]
pub enum Record {
    /// A job was answered or refused.
    Job(Summary),
    /// The client of a job has gone; its runs are stopped.
    Hangup(Job),
    /// A run ended other than by success.
    Run {
        /// The run.
        run: Key,
        /// Where it was.
        target: id::Target,
        /// Owner of its job.
        home: Option<id::Instance>,
        /// How it ended.
        end: End,
    },
    /// Room could not be used by the tasks that were sent for it.
    Rejected {
        /// The instance that sent them.
        peer: id::Instance,
        /// Number of the reservation.
        number: u64,
        /// Number of runs that were sent back.
        runs: usize,
    },
    /// A target is claimed.
    Claim {
        /// The target.
        target: id::Target,
        /// Generation of the claim.
        generation: Generation,
        /// Runs taken over with it.
        runs: usize,
    },
    /// A claim was confirmed by the target.
    Held {
        /// The target.
        target: id::Target,
        /// Generation of the claim.
        generation: Generation,
    },
    /// Another owner has a higher generation.
    Fenced {
        /// The target.
        target: id::Target,
        /// Generation that is no longer accepted.
        generation: Generation,
    },
    /// A target was given to another instance.
    Handover {
        /// The target.
        target: id::Target,
        /// The new owner.
        to: id::Instance,
        /// Runs that went with it.
        runs: usize,
    },
    /// A target does not answer.
    Silent(id::Target),
    /// A target answers again.
    Answering(id::Target),
    /// A target takes no new tasks.
    Leaving(id::Target),
    /// A target is no longer listed, and nothing runs there.
    Released(id::Target),
    /// A target fails more often than others and gets no tasks for a while.
    Ejected(id::Target),
}
