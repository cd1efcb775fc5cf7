//! Names of jobs, tasks and their runs.

use quick_error::quick_error;
use std::fmt;
use std::str::FromStr;

quick_error! {
    /// Why a text could not be parsed.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Error {
        /// The text of a job is not 16 lower-case hexadecimal digits.
        Job(text: String) {
            display("{:?} is not a job, expected 16 hexadecimal digits", text)
        }
        /// The text of a run number is not an unsigned 64-bit integer.
        Number(text: String) {
            display("{:?} is not a run number", text)
        }
    }
}

/// Name of a job, chosen by its client; written as 16 lower-case hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Job(u64);

impl Job {
    /// Makes a name from the number that its digits stand for.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the number that the digits stand for.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Job {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for Job {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let is_digit = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
        if text.len() != 16 || !text.bytes().all(is_digit) {
            return Err(Error::Job(text.into()));
        }
        u64::from_str_radix(text, 16).map(Self).map_err(|_| Error::Job(text.into()))
    }
}

/// Number of low bits of a run number that hold the number of the home's process.
const PROCESS_BITS: u32 = 32;

/// Number of a run of a task. Its high bits count the runs of the task by one process of its home, from
/// 1, and its low bits hold the number of that process.
///
/// A client may submit a job again at another instance, or at the next process of the same one, which
/// knows nothing of the former runs. Ends and cancellations of these must not match the new runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Number(u64);

impl Number {
    /// Returns the number of the first run of a task by a process of its home.
    pub const fn first(process: u32) -> Self {
        Self(1 << PROCESS_BITS | process as u64)
    }

    /// Makes a run number from an integer; zero is below all runs.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the integer, as targets and peers see it.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the number of the run `step` runs after this one, by the same process; at most
    /// `u64::MAX`.
    pub const fn plus(self, step: u64) -> Self {
        Self(self.0.saturating_add(step.saturating_mul(1 << PROCESS_BITS)))
    }
}

impl fmt::Display for Number {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for Number {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        text.parse().map(Self).map_err(|_| Error::Number(text.into()))
    }
}

/// Name of a task. Jobs with several steps aren't supported, so the index identifies it in its job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Task {
    /// Job to which the task belongs.
    pub job: Job,
    /// Position of the task in its job, from 0.
    pub index: u32,
}

impl fmt::Display for Task {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

/// A run, identified by its task and its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Key {
    /// Task that is run.
    pub task: Task,
    /// Number of the run, unique within the task unless a home is of an earlier build: these count from
    /// 1 without the number of the process.
    pub number: Number,
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.task, self.number)
    }
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub enum End {
    /// The task is complete.
    Done,
    /// The task or its target failed.
    Failed,
    /// The run was stopped on request.
    Stopped,
    /// The run took far longer than estimated and was stopped.
    Stalled,
    /// The target reports that its lease expired, or no longer lists the run.
    Lost,
    /// The run was not started and will not start.
    NotStarted,
    /// The target did not start the run: it has seen this number or a higher one for the task.
    Outdated,
    /// The process of the target has ended: a later one has taken its place.
    Crashed,
    /// The target does not answer and its lease has expired; it may have crashed or be cut off.
    Unreachable,
}

impl fmt::Display for End {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Done => "done",
            Self::Failed => "failed",
            Self::Stopped => "stopped",
            Self::Stalled => "stalled",
            Self::Lost => "lost",
            Self::NotStarted => "not_started",
            Self::Outdated => "outdated",
            Self::Crashed => "crashed",
            Self::Unreachable => "unreachable",
        })
    }
}
