//! Final answers to a job.
//!
//! The set is closed. Each outcome and each refusal has one machine-readable code.

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
    /// Before any target was chosen.
    Admit,
    /// Reserving the job in the platform's table.
    Claim,
    /// Opening a connection.
    Connect,
    /// Sending the start.
    Send,
    /// Waiting for or reading the answer.
    Receive,
    /// Running on the target.
    Run,
}

impl Step {
    /// Returns the machine-readable code.
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

/// Why a job was refused as not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The instance is stopping.
    Stopping,
    /// No settings have been learnt since the start of the instance.
    NoSettings,
    /// A queue bound of the team or of the instance is reached.
    QueueFull,
    /// The job can't meet its deadline at the present load.
    Overloaded,
    /// The platform is unreachable and the job needs a claim.
    PlatformUnavailable,
    /// No target of the service is usable.
    NoTargets,
    /// All starts were proven not to have run and no further attempt is allowed.
    AttemptsExhausted,
}

impl Refusal {
    /// Returns the machine-readable code.
    pub const fn code(self) -> &'static str {
        match self {
            Self::Stopping => "stopping",
            Self::NoSettings => "no_settings",
            Self::QueueFull => "queue_full",
            Self::Overloaded => "overloaded",
            Self::PlatformUnavailable => "platform_unavailable",
            Self::NoTargets => "no_targets",
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
    /// The target, if one had been chosen.
    pub target: Option<id::Target>,
    /// A short sentence for people.
    pub message: String,
}

/// The final answer to a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Every task answered, in the order of submission.
    Complete(Vec<Answer>),
    /// A task failed.
    Failed(Failure),
    /// Nothing of the job ran or will run.
    Refused {
        /// Why.
        reason: Refusal,
        /// When to come back.
        retry_at: Timestamp,
    },
    /// A task may have run; nothing will be run again.
    Unknown(Failure),
    /// The deadline passed.
    Expired {
        /// Whether any task may have run.
        started: bool,
    },
    /// The caller cancelled.
    Cancelled {
        /// Whether any task may have run.
        started: bool,
    },
}

impl Outcome {
    /// Returns the machine-readable code.
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
