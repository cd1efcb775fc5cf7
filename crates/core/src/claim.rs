//! Claims, which keep a job from running twice when it is submitted at several instances.
//!
//! A claim is a row of the platform's table under [`Key`]. The row's text, a [`Record`], is read
//! and written by this module only. [`Transaction`], [`Commit`] and [`Read`] are the requests to
//! the table and their results, which the embedding program carries. [`Tracker`] holds the claims
//! of one instance.
//!
//! A refusal covers a single submission. An earlier submission of the same request at another
//! instance may have run, so a refused caller has to retry with the same request id.
//!
//! # Example
//!
//! ```
//! use verbenapass::claim::{Action, Tracker, Claim, Commit, Key, Options, Row, Verdict};
//! use verbenapass::id;
//! use verbenapass::time::Timestamp;
//! use verbenapass::unit::Millis;
//!
//! let now = Timestamp::from_micros(1_000_000);
//! let mut tracker = Tracker::new(Options::new("entry-1".parse().unwrap()));
//! let key = Key { team: "halvern".parse().unwrap(), request: "intake-7".parse().unwrap() };
//! let deadline = now.plus(Millis::new(500));
//! let claim = Claim { sequence: 1, nonce: id::Nonce::new(42), digest: 0, deadline };
//! assert!(tracker.claim(key, claim, now));
//!
//! let (mut actions, mut verdicts) = (Vec::new(), Vec::new());
//! tracker.poll(now, &mut actions, &mut verdicts);
//! let Some(Action::Commit { call, transaction, .. }) = actions.pop() else { panic!() };
//! let key = transaction.writes[0].key.clone();
//! let row = Row { key, version: id::Version::new(1), value: None };
//! tracker.committed(call, &Commit::Committed(vec![row]), now);
//! tracker.poll(now, &mut actions, &mut verdicts);
//! assert_eq!(verdicts, vec![(1, Verdict::Granted)]);
//! ```

use crate::id;
use crate::job::Submission;
use crate::outcome::{Answer, Failure, Outcome, Step};
use crate::time::Timestamp;
use crate::unit::{Bytes, Millis};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::fmt;
use std::sync::Arc;
use xxhash_rust::xxh3::Xxh3Default;

/// Key of a claim's row, displayed as `claims/<team>/<request>`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    /// The team that submitted the job; request ids are unique within a team.
    pub team: id::Team,
    /// The request id that the caller chose for the job.
    pub request: id::Request,
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "claims/{}/{}", self.team, self.request)
    }
}

/// One row as returned by the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Key in the format of [`Key`].
    pub key: String,
    /// Version, which every write and deletion increments; 0 if the row never existed.
    pub version: id::Version,
    /// Text; `None` if the row does not exist or the result omits the text.
    pub value: Option<String>,
}

/// A condition of a transaction: the row has the given version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Condition {
    /// Key of the row, in the format of [`Key`].
    pub key: String,
    /// Required version; 0 for a row that never existed.
    pub version: id::Version,
}

/// One write of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// Key of the row, in the format of [`Key`].
    pub key: String,
    /// New text. `None` deletes the row, which increments its version even if it does not exist.
    pub value: Option<String>,
}

/// An atomic compare-and-set of several rows: all writes take effect if all conditions hold, none
/// otherwise. Each row has exactly one condition and one write.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// Conditions, one for each row to write.
    pub conditions: Vec<Condition>,
    /// Writes, one for each condition.
    pub writes: Vec<Write>,
}

/// Result of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Commit {
    /// The transaction took effect. Holds the written rows with their new versions; values may be
    /// omitted.
    Committed(Vec<Row>),
    /// The transaction did not take effect. Holds the rows whose conditions failed, with values.
    Conflict(Vec<Row>),
    /// The transaction may have taken effect or may still do so: the reply was lost, truncated or
    /// timed out.
    Ambiguous,
    /// The transaction did not and will not take effect: the connection could not be opened, or the
    /// platform replied that it is unavailable.
    Unavailable,
}

/// Result of reading rows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Read {
    /// One row for each requested key. A row that never existed has version 0.
    Rows(Vec<Row>),
    /// The read failed, for any reason.
    Unavailable,
}

const NEVER_EXISTED: id::Version = id::Version::new(0);

/// Message returned in place of answers that exceed [`Options::max_inline`].
const TOO_LARGE: &str = "it completed, its answers are too large to be kept with the claim";

/// Maximum length of a failure message in a row, in bytes. Longer messages are truncated.
const MAX_MESSAGE: usize = 1_024;

/// Configuration of a [`Tracker`].
#[derive(Clone, Debug)]
pub struct Options {
    /// The instance that owns the claims.
    pub instance: id::Instance,
    /// Minimum time between two transactions, so that claims are batched.
    pub interval: Millis,
    /// Maximum number of rows in one transaction or one read.
    pub max_rows: usize,
    /// Maximum bytes of text in a transaction of several rows. A single row may exceed it.
    pub max_bytes: usize,
    /// Deadline of one call to the platform, from its start.
    pub call_timeout: Millis,
    /// Time between two reads that probe a platform that is down.
    pub probe_interval: Millis,
    /// Time from an inconclusive reply of an owner until the row is read and the owner queried
    /// again.
    pub owner_query_interval: Millis,
    /// Time for which a row is kept after the deadline of its job.
    pub retention: Millis,
    /// Maximum bytes of answers stored in a row, summed over all tasks of the job.
    pub max_inline: Bytes,
}

impl Options {
    /// Creates options with the defaults: at most 4 transactions per second, retention of 24 hours,
    /// answers of up to 16 KiB.
    pub fn new(instance: id::Instance) -> Self {
        Self {
            instance,
            interval: Millis::new(250),
            max_rows: 256,
            max_bytes: 256 * 1_024,
            call_timeout: Millis::new(1_000),
            probe_interval: Millis::new(1_000),
            owner_query_interval: Millis::new(500),
            retention: Millis::new(24 * 3_600 * 1_000),
            max_inline: Bytes::new(16 * 1_024),
        }
    }

    /// Sets the minimum time between two transactions.
    pub fn with_interval(mut self, interval: Millis) -> Self {
        self.interval = interval;
        self
    }
}

/// A job's request for the ownership of a row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Sequence number of the job at this instance.
    pub sequence: u64,
    /// Random number that identifies the rows written for this claim.
    pub nonce: id::Nonce,
    /// [`digest`] of the job's tasks.
    pub digest: u64,
    /// Deadline of the job, from which the expiry of the row follows.
    pub deadline: Timestamp,
}

/// A call that the embedding program has to carry out for the tracker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Run a transaction and pass the result to [`Tracker::committed`].
    Commit {
        /// Id to return with the result.
        call: id::Call,
        /// The transaction to run.
        transaction: Transaction,
        /// Time at which the call is abandoned.
        deadline: Timestamp,
    },
    /// Read rows and pass the result to [`Tracker::read`].
    Read {
        /// Id to return with the result.
        call: id::Call,
        /// Keys of the rows, in the format of [`Key`].
        keys: Vec<String>,
        /// Time at which the call is abandoned.
        deadline: Timestamp,
    },
    /// Query the owner of a job for its final outcome and pass the reply to
    /// [`Tracker::owner_replied`].
    QueryOwner {
        /// Id to return with the reply.
        call: id::Call,
        /// The team that submitted the job.
        team: id::Team,
        /// The job, whose id names the owner.
        job: id::Job,
        /// Time at which the call is abandoned: the deadline of the job that waits for the claim.
        deadline: Timestamp,
    },
}

/// Result of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The row is committed; the job may start.
    Granted,
    /// The platform is down; the job must not start.
    Unavailable,
    /// Another job with the same request id has ended with this outcome.
    Duplicate(Arc<Outcome>),
    /// Another job with the same request id may have run. Holds a message that says why its outcome
    /// is not known.
    Unknown(String),
    /// The request id was used for a job with other tasks.
    Reused,
}

/// Reply of an owner to a query about its job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The job ended with this outcome.
    Final(Arc<Outcome>),
    /// The owner doesn't know the job.
    NotFound,
    /// The job has not ended, or the owner is unreachable but not known to be gone. The tracker
    /// queries the owner again after [`Options::owner_query_interval`].
    Inconclusive,
    /// The owner is unreachable and no longer on the instance list.
    Gone,
}

/// Content of a row, stored as JSON text.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Record {
    /// Random number of the claim that wrote the row.
    pub nonce: id::Nonce,
    /// The instance that owns the job.
    pub owner: id::Instance,
    /// The job that holds the claim.
    pub job: id::Job,
    /// [`digest`] of the job's tasks.
    pub digest: u64,
    /// Time from which any instance may overwrite or delete the row.
    pub expires_at: Timestamp,
    /// Whether the job has ended, and with which outcome.
    pub state: State,
}

impl Record {
    /// Parses the text of a row. Fails if the text is not a claim.
    pub fn from_text(text: &str) -> Result<Self, serde_json::Error> {
        serde_json::from_str(text)
    }

    /// Returns the text to store in a row.
    pub fn to_text(&self) -> String {
        serde_json::to_string(self).expect("a record has only string keys")
    }
}

/// State of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The job has no final outcome yet.
    Claimed,
    /// The job ended with this outcome.
    Settled(Stored),
}

/// A final outcome as stored in a row. An outcome that proves that nothing ran is not stored; its
/// row is deleted.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Stored {
    /// Every task answered; the answers in the order of the tasks.
    Complete(Vec<Text>),
    /// Every task answered, but the answers exceed [`Options::max_inline`].
    CompleteOmitted {
        /// Total size of the answers of all tasks, in bytes.
        bytes: u64,
    },
    /// The job failed; holds the task and the step that failed.
    Failed(Fault),
    /// A task may have run.
    Unknown(Fault),
    /// The deadline passed after a task was started.
    Expired,
    /// The caller cancelled after a task was started.
    Cancelled,
}

/// An answer as stored in a row.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Text {
    /// An answer that is valid UTF-8.
    Utf8(String),
    /// Any other answer, encoded in base64.
    Base64(String),
}

/// A failure as stored in a row.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Fault {
    task: u32,
    step: Step,
    target: Option<id::Target>,
    message: String,
}

impl Text {
    fn new(answer: &[u8]) -> Self {
        match std::str::from_utf8(answer) {
            Ok(text) => Self::Utf8(text.into()),
            Err(_) => Self::Base64(STANDARD.encode(answer)),
        }
    }

    fn to_answer(&self) -> Option<Answer> {
        match self {
            Self::Utf8(text) => Some(text.as_bytes().into()),
            Self::Base64(text) => STANDARD.decode(text).ok().map(Into::into),
        }
    }
}

impl From<&Failure> for Fault {
    fn from(failure: &Failure) -> Self {
        let mut message = failure.message.clone();
        message.truncate(message.floor_char_boundary(MAX_MESSAGE));
        Self { task: failure.task, step: failure.step, target: failure.target.clone(), message }
    }
}

impl From<&Fault> for Failure {
    fn from(fault: &Fault) -> Self {
        Self {
            task: fault.task,
            step: fault.step,
            target: fault.target.clone(),
            message: fault.message.clone(),
        }
    }
}

impl Stored {
    /// Returns the form of an outcome that a row stores, or `None` if the outcome proves that
    /// nothing ran. Answers of more than `max_inline` bytes in total are omitted.
    pub fn new(outcome: &Outcome, max_inline: Bytes) -> Option<Self> {
        match outcome {
            Outcome::Complete(answers) => {
                let bytes = answers.iter().map(|answer| answer.len() as u64).sum();
                Some(if bytes <= max_inline.get() {
                    Self::Complete(answers.iter().map(|answer| Text::new(answer)).collect())
                } else {
                    Self::CompleteOmitted { bytes }
                })
            }
            Outcome::Failed(failure) => Some(Self::Failed(failure.into())),
            Outcome::Unknown(failure) => Some(Self::Unknown(failure.into())),
            Outcome::Expired { started: true } => Some(Self::Expired),
            Outcome::Cancelled { started: true } => Some(Self::Cancelled),
            Outcome::Refused { .. }
            | Outcome::Expired { started: false }
            | Outcome::Cancelled { started: false } => None,
        }
    }

    /// Returns the outcome, or `None` if its answers are omitted or can't be decoded.
    pub fn outcome(&self) -> Option<Outcome> {
        Some(match self {
            Self::Complete(answers) => {
                Outcome::Complete(answers.iter().map(Text::to_answer).collect::<Option<_>>()?)
            }
            Self::CompleteOmitted { .. } => return None,
            Self::Failed(fault) => Outcome::Failed(fault.into()),
            Self::Unknown(fault) => Outcome::Unknown(fault.into()),
            Self::Expired => Outcome::Expired { started: true },
            Self::Cancelled => Outcome::Cancelled { started: true },
        })
    }
}

/// Returns a digest of the tasks of a submission. It distinguishes a resubmission from a different
/// job that reuses the request id.
pub fn digest(submission: &Submission) -> u64 {
    let mut hasher = Xxh3Default::new();
    for task in &submission.tasks {
        // The length prefixes keep ("a", "bc") and ("ab", "c") from hashing alike.
        hasher.update(&(task.kind.as_str().len() as u64).to_le_bytes());
        hasher.update(task.kind.as_str().as_bytes());
        hasher.update(&(task.payload.len() as u64).to_le_bytes());
        hasher.update(&task.payload);
    }
    hasher.digest()
}

/// Returns a transaction that deletes the expired rows among `rows`, at most `max_rows` of them.
/// Rows that can't be parsed as claims are kept.
pub fn expiry(rows: &[Row], max_rows: usize, now: Timestamp) -> Transaction {
    let is_expired = |row: &&Row| {
        let record = row.value.as_deref().map(Record::from_text);
        matches!(record, Some(Ok(record)) if record.expires_at.is_past(now))
    };
    let mut transaction = Transaction::default();
    for row in rows.iter().filter(is_expired).take(max_rows) {
        transaction.push(row.key.clone(), row.version, None);
    }
    transaction
}

impl Transaction {
    fn push(&mut self, key: String, version: id::Version, value: Option<String>) {
        self.conditions.push(Condition { key: key.clone(), version });
        self.writes.push(Write { key, value });
    }
}

/// Desired state of a row.
#[derive(Debug)]
enum Desired {
    /// Claimed for a job here that waits for the claim.
    Claim(Claim),
    /// Claimed for a job here that runs; nothing to do.
    Hold(Claim),
    /// Settled with the outcome of a job here that has ended.
    Settle(Claim, Stored),
    /// Not claimed by a job here; the row is deleted if this instance wrote it.
    Release,
}

/// Last known state of a row.
#[derive(Debug)]
enum Observed {
    /// The row does not exist, or its owner proved that its job did not run.
    Free,
    /// Written for the claim of this job of the own instance.
    Own { sequence: u64, settled: bool },
    /// Written by another instance, or for a claim of this instance whose entry was dropped.
    Foreign(Box<Record>),
    /// The text of the row is not a claim.
    Unreadable,
}

/// State of the query to the owner of a foreign row.
#[derive(Debug)]
enum OwnerQuery {
    /// No query is in flight or planned.
    Idle,
    /// Sent, without a reply so far.
    Pending(id::Call),
    /// To be sent again at this time, after reading the row again.
    RetryAt(Timestamp),
    /// The owner can't tell the outcome of the job, for the given reason. The row is read once
    /// more, because the owner may have settled it after the last read.
    Failed(id::Job, &'static str),
}

/// The queue of the tracker in which an entry waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Queue {
    None,
    Claim,
    Write,
    Read,
}

/// The platform call in flight that includes the row of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Pending {
    None,
    Commit,
    Read,
}

#[derive(Debug)]
struct Entry {
    desired: Desired,
    /// Version of the row; `None` if the row has to be read before the next write.
    version: Option<id::Version>,
    observed: Observed,
    pending: Pending,
    queue: Queue,
    owner_query: OwnerQuery,
    /// Whether any read or conflict has shown a foreign row.
    seen_foreign: bool,
    /// Sequence number and nonce of each claim of this row by a job here.
    own_claims: Vec<(u64, id::Nonce)>,
    /// Whether any write of this instance took effect or may have done so.
    may_be_written: bool,
    /// Highest version that an ambiguous write was conditioned on. The write may still take effect
    /// while the row has this version.
    ambiguous_version: Option<id::Version>,
}

/// The next step for an entry.
#[derive(Debug)]
enum Transition {
    Wait,
    Enqueue(Queue),
    Grant,
    QueryOwner(id::Job),
    Resolve(Verdict),
    Drop,
}

impl Entry {
    fn new(claim: Claim) -> Self {
        Self {
            own_claims: vec![(claim.sequence, claim.nonce)],
            desired: Desired::Claim(claim),
            version: Some(NEVER_EXISTED),
            observed: Observed::Free,
            pending: Pending::None,
            queue: Queue::None,
            owner_query: OwnerQuery::Idle,
            seen_foreign: false,
            may_be_written: false,
            ambiguous_version: None,
        }
    }

    /// Returns the verdict on another claim if a job here holds the row and may have run.
    fn local_verdict(&self, claim: &Claim) -> Option<Verdict> {
        let (old, stored) = match &self.desired {
            Desired::Claim(_) | Desired::Release => return None,
            Desired::Hold(old) => (old, None),
            Desired::Settle(old, stored) => (old, Some(stored)),
        };
        if old.digest != claim.digest {
            return Some(Verdict::Reused);
        }
        Some(match stored.map(Stored::outcome) {
            Some(Some(outcome)) => Verdict::Duplicate(outcome.into()),
            Some(None) => Verdict::Unknown(TOO_LARGE.into()),
            None => Verdict::Unknown("the job is running".into()),
        })
    }

    fn next(&self, now: Timestamp) -> Transition {
        if self.pending != Pending::None {
            return Transition::Wait;
        }
        match &self.desired {
            Desired::Hold(_) => Transition::Wait,
            Desired::Claim(claim) => self.next_claim(claim, now),
            Desired::Settle(claim, _) => match (self.version, &self.observed) {
                (None, _) => Transition::Enqueue(Queue::Read),
                (_, Observed::Own { sequence, settled: false }) if *sequence == claim.sequence => {
                    Transition::Enqueue(Queue::Write)
                }
                _ => Transition::Drop,
            },
            Desired::Release => match (self.version, &self.observed) {
                _ if !self.may_be_written => Transition::Drop,
                (None, _) => Transition::Enqueue(Queue::Read),
                (_, Observed::Own { settled: false, .. }) => Transition::Enqueue(Queue::Write),
                // Deleting the row increments its version, which fences an ambiguous write that
                // may still arrive.
                (Some(version), Observed::Free)
                    if self.ambiguous_version.is_some_and(|ambiguous| ambiguous >= version) =>
                {
                    Transition::Enqueue(Queue::Write)
                }
                _ => Transition::Drop,
            },
        }
    }

    fn next_claim(&self, claim: &Claim, now: Timestamp) -> Transition {
        match &self.owner_query {
            OwnerQuery::Pending(_) | OwnerQuery::RetryAt(_) => return Transition::Wait,
            OwnerQuery::Idle | OwnerQuery::Failed(..) => {}
        }
        if self.version.is_none() {
            return Transition::Enqueue(Queue::Read);
        }
        match &self.observed {
            Observed::Free => Transition::Enqueue(Queue::Claim),
            Observed::Own { sequence, .. } if *sequence == claim.sequence => Transition::Grant,
            Observed::Own { settled: false, .. } => Transition::Enqueue(Queue::Claim),
            Observed::Own { settled: true, .. } | Observed::Unreadable => {
                Transition::Resolve(Verdict::Unknown("the row of the claim can't be read".into()))
            }
            Observed::Foreign(record) => self.next_foreign(claim, record, now),
        }
    }

    fn next_foreign(&self, claim: &Claim, record: &Record, now: Timestamp) -> Transition {
        if record.expires_at.is_past(now) {
            return Transition::Enqueue(Queue::Claim);
        }
        if record.digest != claim.digest {
            return Transition::Resolve(Verdict::Reused);
        }
        let outcome = match &record.state {
            State::Settled(stored) => stored.outcome(),
            State::Claimed => None,
        };
        if let Some(outcome) = outcome {
            return Transition::Resolve(Verdict::Duplicate(outcome.into()));
        }
        match (&self.owner_query, &record.state) {
            (OwnerQuery::Failed(job, why), State::Claimed) if *job == record.job => {
                Transition::Resolve(Verdict::Unknown(format!("job {job} may have run; {why}")))
            }
            (OwnerQuery::Failed(job, why), State::Settled(Stored::CompleteOmitted { bytes }))
                if *job == record.job =>
            {
                let message = format!("job {job}: {TOO_LARGE} ({bytes} bytes), and {why}");
                Transition::Resolve(Verdict::Unknown(message))
            }
            _ => Transition::QueryOwner(record.job.clone()),
        }
    }

    /// Updates the entry from a row that was read or returned with a conflict.
    fn observe(&mut self, row: &Row, instance: &id::Instance) {
        self.version = Some(row.version);
        self.observed = match row.value.as_deref().map(Record::from_text) {
            None => Observed::Free,
            Some(Err(_)) => Observed::Unreadable,
            Some(Ok(record)) => {
                let own = self.own_claims.iter().find(|(sequence, nonce)| {
                    record.owner == *instance
                        && record.nonce == *nonce
                        && record.job.sequence == *sequence
                });
                match own {
                    Some((sequence, _)) => Observed::Own {
                        sequence: *sequence,
                        settled: matches!(record.state, State::Settled(_)),
                    },
                    None => {
                        self.seen_foreign = true;
                        Observed::Foreign(Box::new(record))
                    }
                }
            }
        };
    }
}

/// What a transaction writes to a row, with the sequence number of the job.
#[derive(Clone, Copy, Debug)]
enum WriteKind {
    Claim(u64),
    Settle(u64),
    Delete,
}

#[derive(Debug)]
struct Batch {
    call: id::Call,
    deadline: Timestamp,
    rows: Vec<(Key, id::Version, WriteKind)>,
}

#[derive(Debug)]
struct Reading {
    call: id::Call,
    deadline: Timestamp,
    keys: Vec<Key>,
}

/// The claims of one instance.
///
/// The tracker brings each row to its desired state by compare-and-set: every write is conditional
/// on the last known version, and after an ambiguous write the row is read first.
/// [`Tracker::poll`] emits the calls that are due; at most one transaction and one read are in
/// flight.
#[derive(Debug)]
pub struct Tracker {
    options: Options,
    entries: BTreeMap<Key, Entry>,
    by_sequence: HashMap<u64, Key>,
    claim_queue: VecDeque<Key>,
    write_queue: VecDeque<Key>,
    read_queue: VecDeque<Key>,
    batch: Option<Batch>,
    reading: Option<Reading>,
    owner_queries: HashMap<id::Call, Key>,
    wakeups: BTreeSet<(Timestamp, Key)>,
    actions: Vec<Action>,
    verdicts: Vec<(u64, Verdict)>,
    /// Earliest time of the next transaction.
    commit_at: Timestamp,
    /// Time of the next probe of the platform; `None` while it is up.
    probe_at: Option<Timestamp>,
    /// Row to read as a probe if no read is queued.
    probe_key: Option<Key>,
    next_call: u64,
}

impl Tracker {
    /// Creates a tracker without claims. The platform is assumed to be up.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            entries: BTreeMap::new(),
            by_sequence: HashMap::new(),
            claim_queue: VecDeque::new(),
            write_queue: VecDeque::new(),
            read_queue: VecDeque::new(),
            batch: None,
            reading: None,
            owner_queries: HashMap::new(),
            wakeups: BTreeSet::new(),
            actions: Vec::new(),
            verdicts: Vec::new(),
            commit_at: Timestamp::default(),
            probe_at: None,
            probe_key: None,
            next_call: 1,
        }
    }

    /// Returns whether the platform is considered up, judged by the results of earlier calls.
    pub fn is_available(&self) -> bool {
        self.probe_at.is_none()
    }

    /// Returns whether there is no claim and no row left to write or read, and no transaction or
    /// read is in flight.
    pub fn is_idle(&self) -> bool {
        self.entries.is_empty() && self.batch.is_none() && self.reading.is_none()
    }

    /// Returns the number of rows that are claimed or still have to be written or read.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether [`Tracker::len`] is 0; unlike with [`Tracker::is_idle`], a transaction or
    /// read may be in flight.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns whether a job waits for its claim and the row was found to belong to another job
    /// with the same request id, which may have run.
    pub fn is_contested(&self, sequence: u64) -> bool {
        self.entry_of(sequence).is_some_and(|entry| entry.seen_foreign)
    }

    /// Requests a claim, whose verdict [`Tracker::poll`] returns. Returns false, and drops the
    /// claim, if the platform is down.
    ///
    /// If a job here with the same key runs, or has ended and is not settled in the table yet, the
    /// verdict follows from that job, whether or not the platform is up.
    pub fn claim(&mut self, key: Key, claim: Claim, now: Timestamp) -> bool {
        if let Some(verdict) = self.entries.get(&key).and_then(|entry| entry.local_verdict(&claim))
        {
            self.verdicts.push((claim.sequence, verdict));
            return true;
        }
        if !self.is_available() {
            self.probe_key = Some(key);
            return false;
        }
        self.by_sequence.insert(claim.sequence, key.clone());
        match self.entries.get_mut(&key) {
            Some(entry) => {
                entry.own_claims.push((claim.sequence, claim.nonce));
                entry.desired = Desired::Claim(claim);
                entry.owner_query = OwnerQuery::Idle;
            }
            None => {
                self.entries.insert(key.clone(), Entry::new(claim));
            }
        }
        self.advance(&key, now);
        true
    }

    /// Ends the claim of a job: deletes the row if the outcome proves that the job did not run, and
    /// stores the outcome in it otherwise. Does nothing if the job has no claim.
    pub fn end(&mut self, sequence: u64, outcome: &Outcome, now: Timestamp) {
        let Some(key) = self.by_sequence.remove(&sequence) else { return };
        let Some(entry) = self.entries.get_mut(&key) else { return };
        let stored = Stored::new(outcome, self.options.max_inline);
        entry.desired = match (std::mem::replace(&mut entry.desired, Desired::Release), stored) {
            (Desired::Hold(claim), Some(stored)) => Desired::Settle(claim, stored),
            _ => Desired::Release,
        };
        if let OwnerQuery::Pending(call) = entry.owner_query {
            self.owner_queries.remove(&call);
        }
        entry.owner_query = OwnerQuery::Idle;
        self.advance(&key, now);
    }

    /// Handles the result of [`Action::Commit`]. Ignores a call that is no longer in flight.
    pub fn committed(&mut self, call: id::Call, result: &Commit, now: Timestamp) {
        let Some(batch) = self.batch.take_if(|batch| batch.call == call) else { return };
        let rows = match result {
            Commit::Committed(rows) | Commit::Conflict(rows) => {
                self.probe_at = None;
                rows.as_slice()
            }
            Commit::Ambiguous | Commit::Unavailable => &[],
        };
        let rows: HashMap<&str, &Row> = rows.iter().map(|row| (row.key.as_str(), row)).collect();
        let has_no_rows = rows.is_empty();
        for (key, condition, kind) in &batch.rows {
            let Some(entry) = self.entries.get_mut(key) else { continue };
            entry.pending = Pending::None;
            let row = rows.get(key.to_string().as_str());
            match result {
                Commit::Committed(_) => {
                    entry.may_be_written = true;
                    entry.version = row.map(|row| row.version);
                    entry.observed = match *kind {
                        WriteKind::Claim(sequence) => Observed::Own { sequence, settled: false },
                        WriteKind::Settle(sequence) => Observed::Own { sequence, settled: true },
                        WriteKind::Delete => Observed::Free,
                    };
                }
                Commit::Conflict(_) => match row {
                    Some(row) if row.value.is_some() => entry.observe(row, &self.options.instance),
                    Some(_) => entry.version = None,
                    None if has_no_rows => entry.version = None,
                    None => {}
                },
                Commit::Ambiguous => {
                    entry.may_be_written = true;
                    entry.ambiguous_version = entry.ambiguous_version.max(Some(*condition));
                    entry.version = None;
                }
                Commit::Unavailable => {}
            }
        }
        if *result == Commit::Unavailable {
            self.mark_unavailable(now);
        }
        for (key, ..) in batch.rows {
            self.advance(&key, now);
        }
    }

    /// Handles the result of [`Action::Read`]. Ignores a call that is no longer in flight.
    pub fn read(&mut self, call: id::Call, result: &Read, now: Timestamp) {
        let Some(reading) = self.reading.take_if(|reading| reading.call == call) else { return };
        let rows: HashMap<&str, &Row> = match result {
            Read::Rows(rows) => {
                self.probe_at = None;
                rows.iter().map(|row| (row.key.as_str(), row)).collect()
            }
            Read::Unavailable => HashMap::new(),
        };
        for key in &reading.keys {
            let Some(entry) = self.entries.get_mut(key) else { continue };
            if entry.pending == Pending::Read {
                entry.pending = Pending::None;
            }
            // An entry that has a version was created after this read was sent.
            if entry.version.is_none()
                && let Some(row) = rows.get(key.to_string().as_str())
            {
                entry.observe(row, &self.options.instance);
            }
        }
        if *result == Read::Unavailable {
            self.mark_unavailable(now);
        }
        for key in reading.keys {
            self.advance(&key, now);
        }
    }

    /// Handles the reply to [`Action::QueryOwner`]. Ignores a call that is no longer in flight.
    pub fn owner_replied(&mut self, call: id::Call, reply: &Reply, now: Timestamp) {
        let Some(key) = self.owner_queries.remove(&call) else { return };
        let Some(entry) = self.entries.get_mut(&key) else { return };
        if !matches!(entry.owner_query, OwnerQuery::Pending(pending) if pending == call) {
            return;
        }
        let Observed::Foreign(record) = &entry.observed else { return };
        let failed = |why| OwnerQuery::Failed(record.job.clone(), why);
        entry.owner_query = match reply {
            Reply::Final(outcome) if Stored::new(outcome, Bytes::new(0)).is_none() => {
                if record.state == State::Claimed {
                    // The outcome proves that the owner's job did not and will not run.
                    entry.observed = Observed::Free;
                    entry.seen_foreign = false;
                    OwnerQuery::Idle
                } else {
                    failed("its owner contradicts the table")
                }
            }
            Reply::Final(outcome) => {
                self.resolve(&key, Verdict::Duplicate(outcome.clone()), now);
                return;
            }
            Reply::NotFound => failed("its owner has forgotten it"),
            Reply::Gone => failed("its owner is gone"),
            Reply::Inconclusive => OwnerQuery::RetryAt(now.plus(self.options.owner_query_interval)),
        };
        match entry.owner_query {
            OwnerQuery::RetryAt(at) => {
                self.wakeups.insert((at, key.clone()));
            }
            OwnerQuery::Failed(..) => entry.version = None,
            OwnerQuery::Idle | OwnerQuery::Pending(_) => {}
        }
        self.advance(&key, now);
    }

    /// Appends the calls that are due to `actions`, and new verdicts, each with the sequence number
    /// of its job, to `verdicts`.
    pub fn poll(
        &mut self,
        now: Timestamp,
        actions: &mut Vec<Action>,
        verdicts: &mut Vec<(u64, Verdict)>,
    ) {
        self.time_out(now);
        while let Some((at, key)) = self.wakeups.first().cloned()
            && at.is_past(now)
        {
            self.wakeups.remove(&(at, key.clone()));
            if let Some(entry) = self.entries.get_mut(&key)
                && matches!(entry.owner_query, OwnerQuery::RetryAt(later) if later == at)
            {
                entry.owner_query = OwnerQuery::Idle;
                entry.version = None;
                self.advance(&key, now);
            }
        }
        if self.reading.is_none() {
            self.send_read(now);
        }
        if self.batch.is_none() && self.probe_at.is_none() && self.commit_at.is_past(now) {
            self.send_batch(now);
        }
        actions.append(&mut self.actions);
        verdicts.append(&mut self.verdicts);
    }

    /// Returns when to call [`Tracker::poll`] next; `None` if nothing is due before the next event.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        let is_up = self.probe_at.is_none();
        let has_writes = is_up && !(self.claim_queue.is_empty() && self.write_queue.is_empty());
        let can_probe = self.probe_key.is_some() || !self.entries.is_empty();
        let times = [
            self.batch.as_ref().map(|batch| batch.deadline.plus(self.options.call_timeout)),
            self.reading.as_ref().map(|reading| reading.deadline.plus(self.options.call_timeout)),
            self.wakeups.first().map(|(at, _)| *at),
            (has_writes && self.batch.is_none()).then_some(self.commit_at),
            self.probe_at.filter(|_| can_probe && self.reading.is_none()),
        ];
        times.into_iter().flatten().min()
    }

    fn entry_of(&self, sequence: u64) -> Option<&Entry> {
        self.entries.get(self.by_sequence.get(&sequence)?)
    }

    fn next_call(&mut self) -> id::Call {
        let call = id::Call::new(self.next_call);
        self.next_call += 1;
        call
    }

    /// Takes the next step for an entry.
    fn advance(&mut self, key: &Key, now: Timestamp) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        match entry.next(now) {
            Transition::Wait => entry.queue = Queue::None,
            Transition::Enqueue(queue) => {
                if entry.queue != queue {
                    entry.queue = queue;
                    match queue {
                        Queue::Claim => self.claim_queue.push_back(key.clone()),
                        Queue::Write => self.write_queue.push_back(key.clone()),
                        Queue::Read => self.read_queue.push_back(key.clone()),
                        Queue::None => {}
                    }
                }
            }
            Transition::Grant => {
                entry.queue = Queue::None;
                if let Desired::Claim(claim) = &entry.desired {
                    self.verdicts.push((claim.sequence, Verdict::Granted));
                    entry.desired = Desired::Hold(claim.clone());
                }
            }
            Transition::QueryOwner(job) => {
                let Desired::Claim(claim) = &entry.desired else { return };
                let deadline = claim.deadline;
                let call = self.next_call();
                self.owner_queries.insert(call, key.clone());
                if let Some(entry) = self.entries.get_mut(key) {
                    entry.queue = Queue::None;
                    entry.owner_query = OwnerQuery::Pending(call);
                }
                let team = key.team.clone();
                self.actions.push(Action::QueryOwner { call, team, job, deadline });
            }
            Transition::Resolve(verdict) => self.resolve(key, verdict, now),
            Transition::Drop => {
                self.entries.remove(key);
            }
        }
    }

    /// Ends a waiting claim with a verdict other than [`Verdict::Granted`].
    fn resolve(&mut self, key: &Key, verdict: Verdict, now: Timestamp) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        let Desired::Claim(claim) = &entry.desired else { return };
        self.by_sequence.remove(&claim.sequence);
        self.verdicts.push((claim.sequence, verdict));
        if let OwnerQuery::Pending(call) = entry.owner_query {
            self.owner_queries.remove(&call);
        }
        entry.desired = Desired::Release;
        entry.owner_query = OwnerQuery::Idle;
        self.advance(key, now);
    }

    /// Marks the platform as down and ends the waiting claims, except those whose owner is being
    /// queried.
    fn mark_unavailable(&mut self, now: Timestamp) {
        self.probe_at = Some(now.plus(self.options.probe_interval));
        let is_waiting = |entry: &Entry| {
            matches!(entry.desired, Desired::Claim(_))
                && !matches!(entry.owner_query, OwnerQuery::Pending(_))
        };
        let waiting: Vec<(Key, bool)> = self
            .entries
            .iter()
            .filter(|(_, entry)| is_waiting(entry))
            .map(|(key, entry)| (key.clone(), entry.seen_foreign))
            .collect();
        for (key, seen_foreign) in waiting {
            let verdict = if seen_foreign {
                Verdict::Unknown("another instance owns the job, and the platform is down".into())
            } else {
                Verdict::Unavailable
            };
            self.resolve(&key, verdict, now);
        }
    }

    /// Fails calls whose result is still missing one [`Options::call_timeout`] after their
    /// deadline.
    fn time_out(&mut self, now: Timestamp) {
        let grace = self.options.call_timeout;
        if let Some(batch) = &self.batch
            && batch.deadline.plus(grace).is_past(now)
        {
            self.committed(batch.call, &Commit::Ambiguous, now);
        }
        if let Some(reading) = &self.reading
            && reading.deadline.plus(grace).is_past(now)
        {
            self.read(reading.call, &Read::Unavailable, now);
        }
    }

    fn send_read(&mut self, now: Timestamp) {
        if let Some(probe_at) = self.probe_at {
            if !probe_at.is_past(now) {
                return;
            }
            self.probe_at = Some(now.plus(self.options.probe_interval));
        }
        let mut keys = Vec::new();
        while keys.len() < self.options.max_rows
            && let Some(key) = self.read_queue.pop_front()
        {
            if let Some(entry) = self.entries.get_mut(&key)
                && entry.queue == Queue::Read
            {
                entry.queue = Queue::None;
                entry.pending = Pending::Read;
                keys.push(key);
            }
        }
        if keys.is_empty() && self.probe_at.is_some() {
            keys.extend(self.probe_key.take().or_else(|| self.entries.keys().next().cloned()));
        }
        if keys.is_empty() {
            return;
        }
        let call = self.next_call();
        let deadline = now.plus(self.options.call_timeout);
        let names = keys.iter().map(Key::to_string).collect();
        self.actions.push(Action::Read { call, keys: names, deadline });
        self.reading = Some(Reading { call, deadline, keys });
    }

    fn send_batch(&mut self, now: Timestamp) {
        let mut transaction = Transaction::default();
        let mut rows = Vec::new();
        let mut bytes = 0;
        while rows.len() < self.options.max_rows {
            let (key, queue) = match (self.claim_queue.pop_front(), &mut self.write_queue) {
                (Some(key), _) => (key, Queue::Claim),
                (None, writes) => match writes.pop_front() {
                    Some(key) => (key, Queue::Write),
                    None => break,
                },
            };
            let Some(entry) = self.entries.get_mut(&key) else { continue };
            let Some(version) = entry.version.filter(|_| entry.queue == queue) else { continue };
            let (value, kind) = entry.text(&self.options);
            let length = value.as_ref().map_or(0, String::len);
            if !rows.is_empty() && bytes + length > self.options.max_bytes {
                match queue {
                    Queue::Claim => self.claim_queue.push_front(key),
                    _ => self.write_queue.push_front(key),
                }
                break;
            }
            bytes += length;
            entry.queue = Queue::None;
            entry.pending = Pending::Commit;
            transaction.push(key.to_string(), version, value);
            rows.push((key, version, kind));
        }
        if rows.is_empty() {
            return;
        }
        let call = self.next_call();
        let deadline = now.plus(self.options.call_timeout);
        self.commit_at = now.plus(self.options.interval);
        self.actions.push(Action::Commit { call, transaction, deadline });
        self.batch = Some(Batch { call, deadline, rows });
    }
}

impl Entry {
    /// Returns the text to write to the row; `None` to delete it.
    fn text(&self, options: &Options) -> (Option<String>, WriteKind) {
        let (claim, state, kind) = match &self.desired {
            Desired::Claim(claim) | Desired::Hold(claim) => {
                (claim, State::Claimed, WriteKind::Claim(claim.sequence))
            }
            Desired::Settle(claim, stored) => {
                (claim, State::Settled(stored.clone()), WriteKind::Settle(claim.sequence))
            }
            Desired::Release => return (None, WriteKind::Delete),
        };
        let record = Record {
            nonce: claim.nonce,
            owner: options.instance.clone(),
            job: id::Job::new(options.instance.clone(), claim.sequence),
            digest: claim.digest,
            expires_at: claim.deadline.plus(options.retention),
            state,
        };
        (Some(record.to_text()), kind)
    }
}
