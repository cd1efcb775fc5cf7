//! Final outcomes of jobs.
//!
//! The set of outcomes is closed. Each outcome and each refusal has one machine-readable code.

use crate::id;
use crate::time::Timestamp;
use std::fmt;
use std::sync::Arc;

/// The answer of one task, as the bytes that the target sent.
pub type Answer = Arc<[u8]>;

/// The step of a start at which an error arose.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// Admitting the job, before any target is chosen.
    Admit,
    /// Claiming the job in the platform's table.
    Claim,
    /// Opening a connection.
    Connect,
    /// Sending the start.
    Send,
    /// Waiting for the answer or reading it.
    Receive,
    /// Running the task on the target.
    Run,
}

impl Step {
    /// Returns the machine-readable code, equal to the serialized and the displayed form.
    pub const fn code(self) -> &'static str {
        match self {
            Self::Admit => "admit",
            Self::Claim => "claim",
            Self::Connect => "connect",
            Self::Send => "send",
            Self::Receive => "receive",
            Self::Run => "run",
        }
    }
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.code())
    }
}

/// Reason for refusing a job of which nothing ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The instance is stopping and accepts no new jobs.
    Stopping,
    /// The instance has received no settings since it started.
    NoSettings,
    /// The job would exceed a queue limit of the team or of the instance.
    QueueFull,
    /// The job can't meet its deadline at the current load.
    Overloaded,
    /// The platform is unreachable and the job needs a claim.
    PlatformUnavailable,
    /// No target of the service is usable.
    NoTargets,
    /// Only targets of evacuated data centres could run a task of the job.
    Evacuated,
    /// All starts were proven not to have run, and the attempts are used up.
    AttemptsExhausted,
}

impl Refusal {
    /// Returns the machine-readable code, equal to the serialized and the displayed form.
    pub const fn code(self) -> &'static str {
        match self {
            Self::Stopping => "stopping",
            Self::NoSettings => "no_settings",
            Self::QueueFull => "queue_full",
            Self::Overloaded => "overloaded",
            Self::PlatformUnavailable => "platform_unavailable",
            Self::NoTargets => "no_targets",
            Self::Evacuated => "evacuated",
            Self::AttemptsExhausted => "attempts_exhausted",
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.code())
    }
}

/// The failure of one task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Index of the task in its job.
    pub task: u32,
    /// The step at which it failed.
    pub step: Step,
    /// The target of the failed start; `None` if the failure concerns no target.
    pub target: Option<id::Target>,
    /// A short explanation for people.
    pub message: String,
}

/// The final outcome of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Every task succeeded. Holds the answers in the order of the tasks.
    Complete(Vec<Answer>),
    /// A task failed; holds the first failure. Other tasks may have run.
    Failed(Failure),
    /// No task of the job ran or will run.
    Refused {
        /// Why the job was refused.
        reason: Refusal,
        /// Earliest time at which the caller should submit the job again.
        retry_at: Timestamp,
    },
    /// It is not known whether a task ran. No task will be started again.
    Unknown(Failure),
    /// The deadline of the job passed.
    Expired {
        /// Whether any task may have run.
        started: bool,
    },
    /// The caller cancelled the job.
    Cancelled {
        /// Whether any task may have run.
        started: bool,
    },
}

impl Outcome {
    /// Returns the machine-readable code, which depends on the variant only.
    pub const fn code(&self) -> &'static str {
        match self {
            Self::Complete(_) => "complete",
            Self::Failed(_) => "failed",
            Self::Refused { .. } => "refused",
            Self::Unknown(_) => "unknown",
            Self::Expired { .. } => "expired",
            Self::Cancelled { .. } => "cancelled",
        }
    }
}
