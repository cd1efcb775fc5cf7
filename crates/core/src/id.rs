//! Identifiers.
//!
//! Textual identifiers are 1 to 96 characters of `A-Z`, `a-z`, `0-9`, `-`, `_` and `.`, so that they
//! can stand in a URL path, a metric label and a table key without escaping.

use quick_error::quick_error;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

/// The longest textual identifier, in characters.
pub const MAX_LENGTH: usize = 96;

quick_error! {
    /// Why a text is not an identifier.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Error {
        /// The length is not between 1 and [`MAX_LENGTH`].
        Length(found: usize) {
            display("identifier has {} characters, allowed are 1 to {}", found, MAX_LENGTH)
        }
        /// A character is not allowed.
        Character(found: char) {
            display("identifier contains {:?}, allowed are letters, digits, '-', '_' and '.'", found)
        }
        /// The text is not a number where one is needed.
        Number(text: String) {
            display("{:?} is not a number", text)
        }
        /// The text has no `.` between owner and number.
        Separator(text: String) {
            display("{:?} has no '.' between owner and number", text)
        }
    }
}

fn check(text: &str) -> Result<(), Error> {
    let length = text.chars().count();
    if length == 0 || length > MAX_LENGTH {
        return Err(Error::Length(length));
    }
    match text.chars().find(|c| !(c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.'))) {
        Some(found) => Err(Error::Character(found)),
        None => Ok(()),
    }
}

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(serde::Deserialize, serde::Serialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the text of the identifier.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self, Error> {
                check(text)?;
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = Error;

            fn try_from(text: String) -> Result<Self, Error> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> Self {
                id.0.as_ref().into()
            }
        }
    };
}

macro_rules! number_id {
    ($(#[$doc:meta])* $name:ident($repr:ty)) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(serde::Deserialize, serde::Serialize)]
        pub struct $name($repr);

        impl $name {
            /// Wraps a number.
            pub const fn new(number: $repr) -> Self {
                Self(number)
            }

            /// Returns the number.
            pub const fn get(self) -> $repr {
                self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self, Error> {
                text.parse().map(Self).map_err(|_| Error::Number(text.into()))
            }
        }
    };
}

text_id! {
    /// One run of an entry process. A restarted process gets a new one.
    Instance
}
text_id! {
    /// One instance of a target service.
    Target
}
text_id! {
    /// A machine.
    Worker
}
text_id! {
    /// The rack of a worker.
    Rack
}
text_id! {
    /// A failure zone.
    DataCentre
}
text_id! {
    /// A tenant.
    Team
}
text_id! {
    /// A class of task.
    Kind
}
text_id! {
    /// A service whose targets run tasks.
    Service
}
text_id! {
    /// The caller's own name for a job, the same at every resubmission.
    Request
}
text_id! {
    /// One change of settings, chosen by the operator's command.
    Change
}

number_id! {
    /// One attempt to run a task, unique in its instance.
    Start(u64)
}
number_id! {
    /// A version of a settings subtree or of a table row. Versions only rise.
    Version(u64)
}
number_id! {
    /// A random number that marks the writer of a row.
    Nonce(u64)
}
number_id! {
    /// One open call of a caller, unique in its instance.
    Caller(u64)
}
number_id! {
    /// One call of the engine to the platform or to a peer, unique in its instance.
    Call(u64)
}

impl Version {
    /// Returns the version after this one.
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// A job, named after the instance that accepted it. Shown as `<owner>.<sequence>`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct Job {
    /// The instance that accepted the job.
    pub owner: Instance,
    /// The number of the job in its instance.
    pub sequence: u64,
}

impl Job {
    /// Names a job of `owner`.
    pub fn new(owner: Instance, sequence: u64) -> Self {
        Self { owner, sequence }
    }
}

impl fmt::Display for Job {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.owner, self.sequence)
    }
}

impl FromStr for Job {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let (owner, sequence) =
            text.rsplit_once('.').ok_or_else(|| Error::Separator(text.into()))?;
        let sequence = sequence.parse().map_err(|_| Error::Number(sequence.into()))?;
        Ok(Self { owner: owner.parse()?, sequence })
    }
}

impl TryFrom<String> for Job {
    type Error = Error;

    fn try_from(text: String) -> Result<Self, Error> {
        text.parse()
    }
}

impl From<Job> for String {
    fn from(job: Job) -> Self {
        job.to_string()
    }
}
