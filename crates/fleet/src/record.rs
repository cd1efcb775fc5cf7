//! Decisions of the engine, for logs and metrics.

use crate::admission::{Load, Reason};
use crate::crash::Permit;
use crate::evacuation::Mark;
use crate::generation::Generation;
use crate::interference;
use crate::run::{End, Job, Key, Task};
use crate::speed::Factor;
use std::fmt;
use verbenapass::id;
use verbenapass::unit::{Micros, Millis};

/// Final answer to a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// All tasks are complete.
    Succeeded,
    /// A task failed for good, or the job can never run.
    Failed(Cause),
    /// No task has run and none will. The client may submit the job again after the given time.
    Refused(Reason, Millis),
    /// Tasks may have run, but the job is incomplete and ends here. Remaining runs are being
    /// stopped, or end with their lease.
    GivenUp(Reason),
}

/// Cause of the failure of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// A task has used up the attempts that its route allows.
    Attempts,
    /// No listed target of the service is large enough for a task.
    NeverFits,
    /// Several targets have crashed under a task.
    Crashes,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Succeeded => f.write_str("succeeded"),
            Self::Failed(Cause::Attempts) => f.write_str("failed_attempts"),
            Self::Failed(Cause::NeverFits) => f.write_str("failed_never_fits"),
            Self::Failed(Cause::Crashes) => f.write_str("failed_crashes"),
            Self::Refused(reason, _) => write!(f, "refused_{reason}"),
            Self::GivenUp(reason) => write!(f, "given_up_{reason}"),
        }
    }
}

/// What happened to a job until its answer, for its final log line and its metrics.
#[derive(Clone, Debug)]
pub struct Summary {
    /// Name of the job, chosen by its client.
    pub job: Job,
    /// Kind of its tasks.
    pub kind: id::Kind,
    /// Version of the routes in force when it arrived.
    pub version: id::Version,
    /// Number of its tasks.
    pub tasks: u32,
    /// Number of its runs that were placed on targets of peers.
    pub moved: u32,
    /// Time from arrival to the first placement of a task; `None` if none was placed.
    pub waited: Option<Millis>,
    /// Time from arrival to the answer.
    pub elapsed: Millis,
    /// Answer to the client.
    pub outcome: Outcome,
    /// Load of the service when the job arrived, if it was computed.
    pub load: Option<Load>,
}

/// A decision of the engine.
#[derive(Clone, Debug)]
pub enum Record {
    /// A job was answered or refused.
    Job(Summary),
    /// The process was paused for so long that peers may have taken it for lost.
    Resumed {
        /// Length of the pause.
        pause: Micros,
        /// Number of targets that it owned.
        targets: usize,
    },
    /// The client of a job closed its call; the job's runs are being stopped.
    Hangup(Job),
    /// A run ended without success.
    Run {
        /// Task and number of the run.
        run: Key,
        /// Target to which it was sent.
        target: id::Target,
        /// Home of its job; `None` for an unknown run found on a claimed target.
        home: Option<id::Instance>,
        /// How the run ended.
        end: End,
        /// Incarnation of the target to which the start was sent.
        incarnation: u64,
        /// Whether no other run was on the target while this one was.
        was_alone: bool,
    },
    /// A task of a local job may be started only in some places, or not at all, because of its losses.
    Limited {
        /// Task whose runs were lost with their targets.
        task: Task,
        /// Where it may be started from now on.
        permit: Permit,
    },
    /// A kind whose tasks crash targets may take down a part of them only, for a while.
    Contained(id::Kind),
    /// Tasks that a peer sent for a reservation could not be started.
    Rejected {
        /// Instance that sent the tasks.
        peer: id::Instance,
        /// Number of the reservation, which may have expired.
        number: u64,
        /// Number of runs that were reported back as not started.
        runs: usize,
    },
    /// A peer cancelled runs, some of which this instance doesn't have: they have ended or moved.
    Cancelled {
        /// Home of the runs.
        peer: id::Instance,
        /// Number of runs in the request.
        runs: usize,
        /// Number of these that are on no target of this instance.
        missing: usize,
    },
    /// This instance starts to claim a target.
    Claim {
        /// Target that is claimed.
        target: id::Target,
        /// Generation of the claim.
        generation: Generation,
        /// Number of runs taken over from the previous owner.
        runs: usize,
    },
    /// A target accepted a claim.
    Held {
        /// Target that is now owned.
        target: id::Target,
        /// Generation of the claim.
        generation: Generation,
    },
    /// A target rejected an order because another owner has a higher generation.
    Fenced {
        /// Target that is no longer owned.
        target: id::Target,
        /// Generation that the target rejected.
        generation: Generation,
    },
    /// A target was handed over to another instance.
    Handover {
        /// Target that was handed over.
        target: id::Target,
        /// New owner of the target.
        to: id::Instance,
        /// Number of runs that were handed over.
        runs: usize,
    },
    /// A target left a hold unanswered.
    Silent(id::Target),
    /// A silent target answered a hold.
    Answering(id::Target),
    /// A later incarnation answers in the place of a target.
    Crashed {
        /// Target whose process has ended.
        target: id::Target,
        /// Incarnation that has ended.
        incarnation: u64,
        /// Number of its runs whose end had not been known.
        runs: usize,
    },
    /// A target drains and gets no new tasks.
    Leaving(id::Target),
    /// This instance released a target: it is no longer listed, or another instance owns it.
    Released(id::Target),
    /// The rounded factor of an owned target has changed and stayed so for some seconds.
    Speed {
        /// Target that is slower or faster than before.
        target: id::Target,
        /// Run time there relative to the mean owned target, rounded to a power of 1.2.
        factor: Factor,
    },
    /// A target fails more often than others and gets no tasks for a while.
    Ejected(id::Target),
    /// A data centre is evacuated, or taken back.
    Evacuation {
        /// New state of the data centre.
        mark: Mark,
        /// Peer that has told it; `None` if it was read from the store.
        source: Option<id::Instance>,
    },
    /// A kind slows another one down, so that the two are kept apart, or does so no longer.
    Separation(interference::Change),
}
