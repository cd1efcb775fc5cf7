//! Claims of jobs that must not run twice.
//!
//! A claim is a row of the platform's table under [`Key`]. Its text is opaque to everyone but this
//! module. The types [`Transaction`], [`Commit`] and [`Read`] state what the embedding program
//! exchanges with the table. [`Tracker`] holds the claims of one instance.
//!
//! A refusal speaks of one submission. An earlier submission of the same request elsewhere may have
//! run, so a caller that was refused submits the request again under the same id.
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
//! let mut book = Tracker::new(Options::new("entry-1".parse().unwrap()));
//! let key = Key { team: "halvern".parse().unwrap(), request: "intake-7".parse().unwrap() };
//! let deadline = now.plus(Millis::new(500));
//! let claim = Claim { sequence: 1, nonce: id::Nonce::new(42), digest: 0, deadline };
//! assert!(book.claim(key, claim, now));
//!
//! let (mut actions, mut verdicts) = (Vec::new(), Vec::new());
//! book.poll(now, &mut actions, &mut verdicts);
//! let Some(Action::Commit { call, transaction, .. }) = actions.pop() else { panic!() };
//! let key = transaction.writes[0].key.clone();
//! let row = Row { key, version: id::Version::new(1), value: None };
//! book.committed(call, &Commit::Committed(vec![row]), now);
//! book.poll(now, &mut actions, &mut verdicts);
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

/// Version of a row that never existed.
const NEVER: id::Version = id::Version::new(0);

/// Told in place of answers that exceed [`Options::max_inline`].
const TOO_LARGE: &str = "it completed, its answers are too large to be kept with the claim";

/// Longest failure message in a row, in bytes.
const MAX_MESSAGE: usize = 1_024;

/// Properties of a [`Tracker`].
#[derive(Clone, Debug)]
pub struct Options {
    /// The instance that owns the claims.
    pub instance: id::Instance,
    /// Least time between two transactions.
    pub interval: Millis,
    /// Most rows in one transaction or one read.
    pub max_rows: usize,
    /// Most bytes of text in one transaction, if it has more than one row.
    pub max_bytes: usize,
    /// Time that one call of the platform may take.
    pub call_timeout: Millis,
    /// Time between two reads that probe a platform that is down.
    pub probe_interval: Millis,
    /// Time between two questions to an owner that can't be reached.
    pub ask_interval: Millis,
    /// Time for which a row stays after the deadline of its job.
    pub retention: Millis,
    /// Most bytes of answers that a row keeps, all tasks together.
    pub max_inline: Bytes,
}

impl Options {
    /// Makes options with the defaults: 4 transactions per second, retention of 24 hours, answers
    /// of up to 16 KiB.
    pub fn new(instance: id::Instance) -> Self {
        Self {
            instance,
            interval: Millis::new(250),
            max_rows: 256,
            max_bytes: 256 * 1_024,
            call_timeout: Millis::new(1_000),
            probe_interval: Millis::new(1_000),
            ask_interval: Millis::new(500),
            retention: Millis::new(24 * 3_600 * 1_000),
            max_inline: Bytes::new(16 * 1_024),
        }
    }

    /// Sets the least time between two transactions.
    pub fn with_interval(mut self, interval: Millis) -> Self {
        self.interval = interval;
        self
    }
}

/// What a claim is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Number of the job at its owner.
    pub sequence: u64,
    /// Random number that marks rows of this claim.
    pub nonce: id::Nonce,
    /// Digest of the tasks, as by [`digest`].
    pub digest: u64,
    /// Deadline of the job.
    pub deadline: Timestamp,
}

/// What the book wants to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Run a transaction; report it to [`Tracker::committed`].
    Commit {
        /// The call.
        call: id::Call,
        /// Conditions and writes.
        transaction: Transaction,
        /// When to stop waiting.
        deadline: Timestamp,
    },
    /// Read rows; report them to [`Tracker::read`].
    Read {
        /// The call.
        call: id::Call,
        /// Keys of the rows.
        keys: Vec<String>,
        /// When to stop waiting.
        deadline: Timestamp,
    },
    /// Ask the owner of a job for its final outcome; report it to [`Tracker::owner_replied`].
    Ask {
        /// The call.
        call: id::Call,
        /// The team.
        team: id::Team,
        /// The job.
        job: id::Job,
        /// When to stop waiting.
        deadline: Timestamp,
    },
}

/// What became of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The row is committed; the job may start.
    Granted,
    /// The platform is down. Nothing was started.
    Unavailable,
    /// The request belongs to another job, which ended like this.
    Duplicate(Arc<Outcome>),
    /// The request belongs to another job, which may have run. Tells why no more is known.
    Unknown(String),
    /// The request belongs to a job with other tasks.
    Reused,
}

/// What an owner says about its job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The job ended like this.
    Final(Arc<Outcome>),
    /// The owner doesn't know the job.
    NotFound,
    /// The job has not ended, or the owner can't be reached but has not left.
    Later,
    /// The owner can't be reached and is not on the instance list.
    Gone,
}

/// Text of a row.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Record {
    /// Marks the claim that wrote the row.
    pub nonce: id::Nonce,
    /// The instance that owns the job.
    pub owner: id::Instance,
    /// The job.
    pub job: id::Job,
    /// Digest of the tasks, as by [`digest`].
    pub digest: u64,
    /// From then on the row may be overwritten or deleted by anyone.
    pub expires_at: Timestamp,
    /// The state.
    pub state: State,
}

impl Record {
    /// Reads the text of a row.
    pub fn from_text(text: &str) -> Result<Self, serde_json::Error> {
        serde_json::from_str(text)
    }

    /// Writes the text of a row.
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
    /// The job ended like this.
    Settled(Stored),
}

/// A final outcome in a row. Outcomes that say "not run" are not stored; their row is deleted.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Stored {
    /// Every task answered.
    Complete(Vec<Text>),
    /// Every task answered, but the answers exceed [`Options::max_inline`].
    CompleteOmitted {
        /// Size of the answers, all tasks together.
        bytes: u64,
    },
    /// A task failed.
    Failed(Fault),
    /// A task may have run.
    Unknown(Fault),
    /// The deadline passed after a task was started.
    Expired,
    /// The caller cancelled after a task was started.
    Cancelled,
}

/// An answer in a row.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Text {
    /// The answer is UTF-8.
    Utf8(String),
    /// Any other answer, in base64.
    Base64(String),
}

/// A failure in a row.
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
    /// Returns what a row keeps of an outcome, or none if the outcome says "not run".
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

    /// Returns the outcome, or none if the row doesn't hold all of it.
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

/// Returns a digest of the tasks of a submission, which tells a resubmission from another job under
/// the same request id.
pub fn digest(submission: &Submission) -> u64 {
    let mut hasher = Xxh3Default::new();
    for task in &submission.tasks {
        // The lengths keep the border between kind and payload apart.
        hasher.update(&(task.kind.as_str().len() as u64).to_le_bytes());
        hasher.update(task.kind.as_str().as_bytes());
        hasher.update(&(task.payload.len() as u64).to_le_bytes());
        hasher.update(&task.payload);
    }
    hasher.digest()
}

/// Returns a transaction that deletes the expired rows among `rows`, at most `max_rows` of them.
/// Rows that are not claims are left alone.
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

/// What the book wants a row to be.
#[derive(Debug)]
enum Want {
    /// Claimed for a job that waits for it.
    Claim(Claim),
    /// Claimed for a job that runs; nothing to do.
    Hold(Claim),
    /// Settled.
    Settle(Claim, Stored),
    /// Not ours.
    Release,
}

/// What is known of a row.
#[derive(Debug)]
enum Present {
    /// It does not exist, or its owner proved that its job did not run.
    Free,
    /// Written by the claim of this job here.
    Ours { sequence: u64, settled: bool },
    /// Written by another instance, or by a claim here that is long forgotten.
    Foreign(Box<Record>),
    /// Written by something else.
    Unreadable,
}

/// State of the question to the owner of a foreign row.
#[derive(Debug)]
enum Ask {
    /// Not asked yet.
    Idle,
    /// Asked.
    Pending(id::Call),
    /// To be asked again after reading the row again.
    Later(Timestamp),
    /// The owner is gone or has forgotten the job. The row is read again, because the owner may have
    /// settled it after the last read.
    Hopeless(id::Job, &'static str),
}

/// Where an entry waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Lane {
    None,
    Claim,
    Write,
    Read,
}

/// Where the row of an entry is being dealt with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Pending {
    None,
    Commit,
    Read,
}

#[derive(Debug)]
struct Entry {
    want: Want,
    /// Version of the row; none if it has to be read first.
    version: Option<id::Version>,
    present: Present,
    pending: Pending,
    lane: Lane,
    ask: Ask,
    /// Whether the row was ever seen to belong to another instance.
    seen_foreign: bool,
    /// Claims of this row by jobs here.
    mine: Vec<(u64, id::Nonce)>,
    /// Whether a write was sent that may have taken effect.
    written: bool,
    /// Highest condition of an ambiguous write, which may still take effect.
    loose: Option<id::Version>,
}

/// What to do next with an entry.
#[derive(Debug)]
enum Move {
    Wait,
    Queue(Lane),
    Grant,
    Ask(id::Job),
    Decide(Verdict),
    Drop,
}

impl Entry {
    fn new(claim: Claim) -> Self {
        Self {
            mine: vec![(claim.sequence, claim.nonce)],
            want: Want::Claim(claim),
            version: Some(NEVER),
            present: Present::Free,
            pending: Pending::None,
            lane: Lane::None,
            ask: Ask::Idle,
            seen_foreign: false,
            written: false,
            loose: None,
        }
    }

    /// Returns the verdict on a further claim if a job here holds the row and may have run.
    fn ran_here(&self, claim: &Claim) -> Option<Verdict> {
        let (old, stored) = match &self.want {
            Want::Claim(_) | Want::Release => return None,
            Want::Hold(old) => (old, None),
            Want::Settle(old, stored) => (old, Some(stored)),
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

    fn next(&self, now: Timestamp) -> Move {
        if self.pending != Pending::None {
            return Move::Wait;
        }
        match &self.want {
            Want::Hold(_) => Move::Wait,
            Want::Claim(claim) => self.next_claim(claim, now),
            Want::Settle(claim, _) => match (self.version, &self.present) {
                (None, _) => Move::Queue(Lane::Read),
                (_, Present::Ours { sequence, settled: false }) if *sequence == claim.sequence => {
                    Move::Queue(Lane::Write)
                }
                _ => Move::Drop,
            },
            Want::Release => match (self.version, &self.present) {
                _ if !self.written => Move::Drop,
                (None, _) => Move::Queue(Lane::Read),
                (_, Present::Ours { settled: false, .. }) => Move::Queue(Lane::Write),
                // A write that may still be on its way is fenced off by raising the version.
                (Some(version), Present::Free)
                    if self.loose.is_some_and(|loose| loose >= version) =>
                {
                    Move::Queue(Lane::Write)
                }
                _ => Move::Drop,
            },
        }
    }

    fn next_claim(&self, claim: &Claim, now: Timestamp) -> Move {
        match &self.ask {
            Ask::Pending(_) | Ask::Later(_) => return Move::Wait,
            Ask::Idle | Ask::Hopeless(..) => {}
        }
        if self.version.is_none() {
            return Move::Queue(Lane::Read);
        }
        match &self.present {
            Present::Free => Move::Queue(Lane::Claim),
            Present::Ours { sequence, .. } if *sequence == claim.sequence => Move::Grant,
            Present::Ours { settled: false, .. } => Move::Queue(Lane::Claim),
            Present::Ours { settled: true, .. } | Present::Unreadable => {
                Move::Decide(Verdict::Unknown("the row of the claim can't be read".into()))
            }
            Present::Foreign(record) => self.next_foreign(claim, record, now),
        }
    }

    fn next_foreign(&self, claim: &Claim, record: &Record, now: Timestamp) -> Move {
        if record.expires_at.is_past(now) {
            return Move::Queue(Lane::Claim);
        }
        if record.digest != claim.digest {
            return Move::Decide(Verdict::Reused);
        }
        let outcome = match &record.state {
            State::Settled(stored) => stored.outcome(),
            State::Claimed => None,
        };
        if let Some(outcome) = outcome {
            return Move::Decide(Verdict::Duplicate(outcome.into()));
        }
        match (&self.ask, &record.state) {
            (Ask::Hopeless(job, why), State::Claimed) if *job == record.job => {
                Move::Decide(Verdict::Unknown(format!("job {job} may have run; {why}")))
            }
            (Ask::Hopeless(job, why), State::Settled(Stored::CompleteOmitted { bytes }))
                if *job == record.job =>
            {
                let message = format!("job {job}: {TOO_LARGE} ({bytes} bytes), and {why}");
                Move::Decide(Verdict::Unknown(message))
            }
            _ => Move::Ask(record.job.clone()),
        }
    }

    /// Takes over a row as read, or as a conflict returned it.
    fn learn(&mut self, row: &Row, instance: &id::Instance) {
        self.version = Some(row.version);
        self.present = match row.value.as_deref().map(Record::from_text) {
            None => Present::Free,
            Some(Err(_)) => Present::Unreadable,
            Some(Ok(record)) => {
                let own = self.mine.iter().find(|(sequence, nonce)| {
                    record.owner == *instance
                        && record.nonce == *nonce
                        && record.job.sequence == *sequence
                });
                match own {
                    Some((sequence, _)) => Present::Ours {
                        sequence: *sequence,
                        settled: matches!(record.state, State::Settled(_)),
                    },
                    None => {
                        self.seen_foreign = true;
                        Present::Foreign(Box::new(record))
                    }
                }
            }
        };
    }
}

/// The row that a transaction writes.
#[derive(Clone, Copy, Debug)]
enum Written {
    Claim(u64),
    Settle(u64),
    Delete,
}

#[derive(Debug)]
struct Batch {
    call: id::Call,
    deadline: Timestamp,
    rows: Vec<(Key, id::Version, Written)>,
}

#[derive(Debug)]
struct Reading {
    call: id::Call,
    deadline: Timestamp,
    keys: Vec<Key>,
}

/// The claims of one instance.
///
/// Each row is brought to the state that is wanted of it by compare-and-set: the book never writes
/// without a condition on the version that it knows, and after an ambiguous write it reads first.
/// [`Tracker::poll`] emits what is due; at most one transaction and one read are outstanding.
#[derive(Debug)]
pub struct Tracker {
    options: Options,
    entries: BTreeMap<Key, Entry>,
    by_sequence: HashMap<u64, Key>,
    claims: VecDeque<Key>,
    writes: VecDeque<Key>,
    reads: VecDeque<Key>,
    batch: Option<Batch>,
    reading: Option<Reading>,
    asks: HashMap<id::Call, Key>,
    wakeups: BTreeSet<(Timestamp, Key)>,
    actions: Vec<Action>,
    verdicts: Vec<(u64, Verdict)>,
    commit_at: Timestamp,
    /// When to probe the platform, if it is down.
    probe_at: Option<Timestamp>,
    /// A row to probe with if there is nothing else to read.
    probe: Option<Key>,
    next_call: u64,
}

impl Tracker {
    /// Makes an empty book. The platform counts as up.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            entries: BTreeMap::new(),
            by_sequence: HashMap::new(),
            claims: VecDeque::new(),
            writes: VecDeque::new(),
            reads: VecDeque::new(),
            batch: None,
            reading: None,
            asks: HashMap::new(),
            wakeups: BTreeSet::new(),
            actions: Vec::new(),
            verdicts: Vec::new(),
            commit_at: Timestamp::default(),
            probe_at: None,
            probe: None,
            next_call: 1,
        }
    }

    /// Tells whether the platform counts as up.
    pub fn is_available(&self) -> bool {
        self.probe_at.is_none()
    }

    /// Tells whether no row needs further work.
    pub fn is_idle(&self) -> bool {
        self.entries.is_empty() && self.batch.is_none() && self.reading.is_none()
    }

    /// Returns the number of rows that the book works on or holds.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether the book works on or holds no row.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Tells whether the request of a job that waits for its claim was seen to belong to another
    /// job, which may have run.
    pub fn is_contested(&self, sequence: u64) -> bool {
        self.entry_of(sequence).is_some_and(|entry| entry.seen_foreign)
    }

    /// Asks for a claim. Its verdict comes out of [`Tracker::poll`]. Returns false, and does nothing,
    /// if the platform is down.
    ///
    /// A job here that runs, or that ran and has not been settled in the table yet, decides the claim
    /// at once, whether or not the platform is up.
    pub fn claim(&mut self, key: Key, claim: Claim, now: Timestamp) -> bool {
        if let Some(verdict) = self.entries.get(&key).and_then(|entry| entry.ran_here(&claim)) {
            self.verdicts.push((claim.sequence, verdict));
            return true;
        }
        if !self.is_available() {
            self.probe = Some(key);
            return false;
        }
        self.by_sequence.insert(claim.sequence, key.clone());
        match self.entries.get_mut(&key) {
            Some(entry) => {
                entry.mine.push((claim.sequence, claim.nonce));
                entry.want = Want::Claim(claim);
                entry.ask = Ask::Idle;
            }
            None => {
                self.entries.insert(key.clone(), Entry::new(claim));
            }
        }
        self.advance(&key, now);
        true
    }

    /// Ends the claim of a job with its final outcome: releases the row if the job did not run,
    /// settles it otherwise. Does nothing if the job has no claim.
    pub fn end(&mut self, sequence: u64, outcome: &Outcome, now: Timestamp) {
        let Some(key) = self.by_sequence.remove(&sequence) else { return };
        let Some(entry) = self.entries.get_mut(&key) else { return };
        let stored = Stored::new(outcome, self.options.max_inline);
        entry.want = match (std::mem::replace(&mut entry.want, Want::Release), stored) {
            (Want::Hold(claim), Some(stored)) => Want::Settle(claim, stored),
            _ => Want::Release,
        };
        if let Ask::Pending(call) = entry.ask {
            self.asks.remove(&call);
        }
        entry.ask = Ask::Idle;
        self.advance(&key, now);
    }

    /// Takes the result of [`Action::Commit`].
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
        let no_rows = rows.is_empty();
        for (key, condition, written) in &batch.rows {
            let Some(entry) = self.entries.get_mut(key) else { continue };
            entry.pending = Pending::None;
            let row = rows.get(key.to_string().as_str());
            match result {
                Commit::Committed(_) => {
                    entry.written = true;
                    entry.version = row.map(|row| row.version);
                    entry.present = match *written {
                        Written::Claim(sequence) => Present::Ours { sequence, settled: false },
                        Written::Settle(sequence) => Present::Ours { sequence, settled: true },
                        Written::Delete => Present::Free,
                    };
                }
                Commit::Conflict(_) => match row {
                    Some(row) if row.value.is_some() => entry.learn(row, &self.options.instance),
                    Some(_) => entry.version = None,
                    None if no_rows => entry.version = None,
                    None => {}
                },
                Commit::Ambiguous => {
                    entry.written = true;
                    entry.loose = entry.loose.max(Some(*condition));
                    entry.version = None;
                }
                Commit::Unavailable => {}
            }
        }
        if *result == Commit::Unavailable {
            self.go_down(now);
        }
        for (key, ..) in batch.rows {
            self.advance(&key, now);
        }
    }

    /// Takes the result of [`Action::Read`].
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
            // An entry that knows a version was made after this read was sent.
            if entry.version.is_none()
                && let Some(row) = rows.get(key.to_string().as_str())
            {
                entry.learn(row, &self.options.instance);
            }
        }
        if *result == Read::Unavailable {
            self.go_down(now);
        }
        for key in reading.keys {
            self.advance(&key, now);
        }
    }

    /// Takes the result of [`Action::Ask`].
    pub fn owner_replied(&mut self, call: id::Call, reply: &Reply, now: Timestamp) {
        let Some(key) = self.asks.remove(&call) else { return };
        let Some(entry) = self.entries.get_mut(&key) else { return };
        if !matches!(entry.ask, Ask::Pending(pending) if pending == call) {
            return;
        }
        let Present::Foreign(record) = &entry.present else { return };
        let hopeless = |why| Ask::Hopeless(record.job.clone(), why);
        entry.ask = match reply {
            Reply::Final(outcome) if Stored::new(outcome, Bytes::new(0)).is_none() => {
                if record.state == State::Claimed {
                    // The owner proved that its job did not run and will not run.
                    entry.present = Present::Free;
                    entry.seen_foreign = false;
                    Ask::Idle
                } else {
                    hopeless("its owner contradicts the table")
                }
            }
            Reply::Final(outcome) => {
                self.decide(&key, Verdict::Duplicate(outcome.clone()), now);
                return;
            }
            Reply::NotFound => hopeless("its owner has forgotten it"),
            Reply::Gone => hopeless("its owner is gone"),
            Reply::Later => Ask::Later(now.plus(self.options.ask_interval)),
        };
        match entry.ask {
            Ask::Later(at) => {
                self.wakeups.insert((at, key.clone()));
            }
            Ask::Hopeless(..) => entry.version = None,
            Ask::Idle | Ask::Pending(_) => {}
        }
        self.advance(&key, now);
    }

    /// Appends what is due to `actions` and the verdicts, with the number of the job, to `verdicts`.
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
                && matches!(entry.ask, Ask::Later(later) if later == at)
            {
                entry.ask = Ask::Idle;
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

    /// Returns when [`Tracker::poll`] has something to do.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        let is_up = self.probe_at.is_none();
        let writes = is_up && !(self.claims.is_empty() && self.writes.is_empty());
        let can_probe = self.probe.is_some() || !self.entries.is_empty();
        let times = [
            self.batch.as_ref().map(|batch| batch.deadline.plus(self.options.call_timeout)),
            self.reading.as_ref().map(|reading| reading.deadline.plus(self.options.call_timeout)),
            self.wakeups.first().map(|(at, _)| *at),
            (writes && self.batch.is_none()).then_some(self.commit_at),
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

    /// Takes the next step with an entry, if there is one to take.
    fn advance(&mut self, key: &Key, now: Timestamp) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        match entry.next(now) {
            Move::Wait => entry.lane = Lane::None,
            Move::Queue(lane) => {
                if entry.lane != lane {
                    entry.lane = lane;
                    match lane {
                        Lane::Claim => self.claims.push_back(key.clone()),
                        Lane::Write => self.writes.push_back(key.clone()),
                        Lane::Read => self.reads.push_back(key.clone()),
                        Lane::None => {}
                    }
                }
            }
            Move::Grant => {
                entry.lane = Lane::None;
                if let Want::Claim(claim) = &entry.want {
                    self.verdicts.push((claim.sequence, Verdict::Granted));
                    entry.want = Want::Hold(claim.clone());
                }
            }
            Move::Ask(job) => {
                let Want::Claim(claim) = &entry.want else { return };
                let deadline = claim.deadline;
                let call = self.next_call();
                self.asks.insert(call, key.clone());
                if let Some(entry) = self.entries.get_mut(key) {
                    entry.lane = Lane::None;
                    entry.ask = Ask::Pending(call);
                }
                let team = key.team.clone();
                self.actions.push(Action::Ask { call, team, job, deadline });
            }
            Move::Decide(verdict) => self.decide(key, verdict, now),
            Move::Drop => {
                self.entries.remove(key);
            }
        }
    }

    /// Ends the claim that waits for a row without granting it.
    fn decide(&mut self, key: &Key, verdict: Verdict, now: Timestamp) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        let Want::Claim(claim) = &entry.want else { return };
        self.by_sequence.remove(&claim.sequence);
        self.verdicts.push((claim.sequence, verdict));
        if let Ask::Pending(call) = entry.ask {
            self.asks.remove(&call);
        }
        entry.want = Want::Release;
        entry.ask = Ask::Idle;
        self.advance(key, now);
    }

    /// Marks the platform as down and ends the claims that wait for it.
    fn go_down(&mut self, now: Timestamp) {
        self.probe_at = Some(now.plus(self.options.probe_interval));
        let is_waiting = |entry: &Entry| {
            matches!(entry.want, Want::Claim(_)) && !matches!(entry.ask, Ask::Pending(_))
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
            self.decide(&key, verdict, now);
        }
    }

    /// Gives up on calls that were not answered long after their deadline.
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
            && let Some(key) = self.reads.pop_front()
        {
            if let Some(entry) = self.entries.get_mut(&key)
                && entry.lane == Lane::Read
            {
                entry.lane = Lane::None;
                entry.pending = Pending::Read;
                keys.push(key);
            }
        }
        if keys.is_empty() && self.probe_at.is_some() {
            keys.extend(self.probe.take().or_else(|| self.entries.keys().next().cloned()));
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
            let (key, lane) = match (self.claims.pop_front(), &mut self.writes) {
                (Some(key), _) => (key, Lane::Claim),
                (None, writes) => match writes.pop_front() {
                    Some(key) => (key, Lane::Write),
                    None => break,
                },
            };
            let Some(entry) = self.entries.get_mut(&key) else { continue };
            let Some(version) = entry.version.filter(|_| entry.lane == lane) else { continue };
            let (value, written) = entry.text(&self.options);
            let length = value.as_ref().map_or(0, String::len);
            if !rows.is_empty() && bytes + length > self.options.max_bytes {
                match lane {
                    Lane::Claim => self.claims.push_front(key),
                    _ => self.writes.push_front(key),
                }
                break;
            }
            bytes += length;
            entry.lane = Lane::None;
            entry.pending = Pending::Commit;
            transaction.push(key.to_string(), version, value);
            rows.push((key, version, written));
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
    /// Returns the text that the row is to have.
    fn text(&self, options: &Options) -> (Option<String>, Written) {
        let (claim, state, written) = match &self.want {
            Want::Claim(claim) | Want::Hold(claim) => {
                (claim, State::Claimed, Written::Claim(claim.sequence))
            }
            Want::Settle(claim, stored) => {
                (claim, State::Settled(stored.clone()), Written::Settle(claim.sequence))
            }
            Want::Release => return (None, Written::Delete),
        };
        let record = Record {
            nonce: claim.nonce,
            owner: options.instance.clone(),
            job: id::Job::new(options.instance.clone(), claim.sequence),
            digest: claim.digest,
            expires_at: claim.deadline.plus(options.retention),
            state,
        };
        (Some(record.to_text()), written)
    }
}
