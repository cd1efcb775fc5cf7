//! Claims of jobs that must not run twice.
//!
//! A claim is a row of the platform's table under [`Key`]. Its text is opaque to everyone but this
//! module. The types [`Transaction`], [`Commit`] and [`Read`] state what the embedding program
//! exchanges with the table.

use crate::id;
use std::fmt;

/// Name of a claim's row, shown as `claims/<team>/<request>`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    /// The team.
    pub team: id::Team,
    /// The caller's name for the job.
    pub request: id::Request,
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "claims/{}/{}", self.team, self.request)
    }
}

/// One row as the table gives it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Key, as shown by [`Key`].
    pub key: String,
    /// Version; 0 if the row never existed. Deletions raise it too.
    pub version: id::Version,
    /// Text; none if the row does not exist, or if the table left it out.
    pub value: Option<String>,
}

/// A condition of a transaction: the row has this version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Condition {
    /// Key.
    pub key: String,
    /// Version that the row must have; 0 for a row that never existed.
    pub version: id::Version,
}

/// One write of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// Key.
    pub key: String,
    /// New text; none deletes the row, which raises its version even if it does not exist.
    pub value: Option<String>,
}

/// One transaction. All writes take effect if all conditions hold, else none. Each row has exactly
/// one condition and one write.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// Conditions.
    pub conditions: Vec<Condition>,
    /// Writes.
    pub writes: Vec<Write>,
}

/// What became of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Commit {
    /// It took effect. Holds the written rows with their new versions; values may be left out.
    Committed(Vec<Row>),
    /// It did not take effect. Holds the rows whose conditions failed, with values.
    Conflict(Vec<Row>),
    /// It may have taken effect, or may still do so: the reply was lost, cut or timed out.
    Ambiguous,
    /// It was proven not to have been sent or not to have been taken up, and never will take
    /// effect: the connection could not be opened, or the platform said that it is unavailable.
    Unavailable,
}

/// What became of reading rows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Read {
    /// One row for each key that was asked for. A row that never existed has version 0.
    Rows(Vec<Row>),
    /// No answer, for whatever reason.
    Unavailable,
}
