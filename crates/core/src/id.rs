//! Types of identifiers.
//!
//! Textual identifiers have 1 to 96 characters of `A-Z`, `a-z`, `0-9`, `-`, `_` and `.`, so that
//! URL paths, metric labels and table keys can contain them without escaping.

use quick_error::quick_error;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

/// Maximum length of a textual identifier, in characters.
pub const MAX_LENGTH: usize = 96;

quick_error! {
    /// Why a text is not an identifier.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Error {
        /// The length is not between 1 and [`MAX_LENGTH`].
        Length(found: usize) {
            display("identifier has {} characters, allowed are 1 to {}", found, MAX_LENGTH)
        }
        /// The first character that is not allowed in a textual identifier.
        Character(found: char) {
            display("identifier contains {:?}, allowed are letters, digits, '-', '_' and '.'", found)
        }
        /// The text is not a decimal number that fits the type.
        Number(text: String) {
            display("{:?} is not a number", text)
        }
        /// The text of a job id has no `.` between owner and sequence number.
        Separator(text: String) {
            display("{:?} has no '.' between owner and number", text)
        }
    }
}

fn validate(text: &str) -> Result<(), Error> {
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
            /// Returns the text, which has been validated.
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
                validate(text)?;
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
            /// Makes an identifier from its number.
            pub const fn new(number: $repr) -> Self {
                Self(number)
            }

            /// Returns the number of the identifier.
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
    /// An entry instance: one incarnation of an entry process. A restarted process gets a new one.
    Instance
}
text_id! {
    /// A target: one process of a target service. It runs tasks.
    Target
}
text_id! {
    /// A worker, which is a machine that runs targets.
    Worker
}
text_id! {
    /// The rack of a worker.
    Rack
}
text_id! {
    /// A data centre, which is a failure zone.
    DataCentre
}
text_id! {
    /// A team, which is a tenant with its own credential, quota and settings.
    Team
}
text_id! {
    /// A kind of tasks of a team. Its settings name the service, urgency and limits.
    Kind
}
text_id! {
    /// A target service: a set of targets that run the same kinds.
    Service
}
text_id! {
    /// An idempotency key: the name that a caller gives to a job, the same at every resubmission.
    Request
}
text_id! {
    /// One change of settings. The operator's command chooses the identifier, so that a repeated
    /// request is recognised.
    Change
}

number_id! {
    /// One attempt to run a task on a target, unique in its instance.
    Start(u64)
}
number_id! {
    /// A version of a settings subtree or of a table row. It never decreases.
    Version(u64)
}
number_id! {
    /// A random number by which the writer of a row recognises its own write.
    Nonce(u64)
}
number_id! {
    /// One request of a caller that is still open, unique in its instance.
    Caller(u64)
}
number_id! {
    /// One call from the engine to the platform or a peer, unique in its instance.
    Call(u64)
}

impl Version {
    /// Returns the version that the next write gets.
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// A job, identified by the instance that accepted it and a number. Written as
/// `<owner>.<sequence>`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct Job {
    /// The instance that accepted the job.
    pub owner: Instance,
    /// The number of the job, unique in its instance.
    pub sequence: u64,
}

impl Job {
    /// Makes the id of a job that `owner` accepted.
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
