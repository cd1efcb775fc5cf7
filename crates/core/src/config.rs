//! Versioned replica of the shared settings at one entry instance.
//!
//! The platform's table stores one row for each subtree, and a [`Revision`] is the content of that
//! row: the version of the subtree, which rises by one with each change, and the ids of the last
//! changes. The row also has a version of its own, which the table assigns and which is used only for
//! optimistic concurrency control. A write is conditional on the row version at which its base
//! revision was read, so at most one of several concurrent writes on the same base takes effect.
//!
//! A change goes through these steps:
//!
//! 1. [`Replica::plan`] checks a [`Proposal`] against the row that was just read and returns a
//!    [`Plan`]: the conditions and writes of one transaction.
//! 2. The caller sends the transaction. [`Plan::resolve`] turns the reply into a [`Resolution`].
//!    After a lost reply or a failed condition the caller reads the rows again, and
//!    [`Replica::resume`] tells whether the change has taken effect, another change took effect
//!    first, or the transaction has to be sent again.
//! 3. [`Replica::commit`] puts the stored revision in force, [`Replica::recipients`] names the peers
//!    to push it to, and [`Replica::status`] tells which data centres have not confirmed it.
//!
//! A replica that missed a push learns of the change from a poll of the index row, see
//! [`Replica::polled`], or from the digest in a report of a peer, see [`Replica::is_behind`].
//!
//! The replica holds one revision of each subtree, which is in force at its instance. Another one
//! replaces it only if its version is higher, whatever the source. A removed team keeps a revision
//! without a value as a tombstone, so a stale copy can't bring it back. A new replica holds nothing,
//! and [`Replica::tree`] returns `None` until a scan of the table or a comparison with a peer has
//! shown that the replica is complete.
//!
//! # Example
//!
//! ```
//! use verbenapass::config::{Planned, Proposal, Replica, Reply, Resolution, Row};
//! use verbenapass::settings::Context;
//! use verbenapass::time::Timestamp;
//!
//! let now = Timestamp::from_micros(0);
//! let mut replica = Replica::new("dc1-a".parse().unwrap(), "dc1".parse().unwrap());
//! replica.scanned(&Row::absent("settings-index"), &[]);
//! assert!(replica.tree().is_none(), "an empty table does not mean default settings");
//!
//! let credential_sha256 = verbenapass::settings::sha256_hex("secret");
//! let proposal = Proposal {
//!     path: "/fleet".parse().unwrap(),
//!     value: Some(format!("credential_sha256: {credential_sha256}")),
//!     expect: None,
//!     change: "c1".parse().unwrap(),
//! };
//! let (row, index) = (Row::absent("settings/fleet"), Row::absent("settings-index"));
//! let Ok(Planned::Write(plan)) = replica.plan(&proposal, &row, &index, &Context::default()) else {
//!     panic!("no write planned");
//! };
//! assert_eq!(plan.resolve(&Reply::Committed), Resolution::Stored);
//! replica.commit(&plan);
//! assert_eq!(replica.tree().unwrap().fleet.credential_sha256, credential_sha256);
//! ```

use crate::id::{self, Version};
use crate::peer::{InForce, Report};
use crate::settings::{self, Context, Owner, Path, Subtree, Tree};
use crate::time::Timestamp;
use crate::unit::Millis;
use quick_error::quick_error;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// Key prefix of all subtree rows, for a scan of the table. It does not match [`INDEX_KEY`].
pub const PREFIX: &str = "settings/";
/// Key of the index row, which lists the last changes and which every instance polls.
pub const INDEX_KEY: &str = "settings-index";
/// Largest number of change ids that a revision keeps.
pub const HISTORY_LENGTH: usize = 32;
/// Largest number of changes that the index row keeps. An instance that has missed more scans the
/// table.
pub const INDEX_LENGTH: usize = 32;
/// Largest number of subtrees that a digest names: the ones that changed last.
///
/// Four are enough: at the design size a change comes every 29 s and spreads in milliseconds, while
/// digests go out several times a second.
pub const DIGEST_LENGTH: usize = 4;
/// Number of instances in each other data centre to which the accepting instance pushes a change.
/// The second one covers the loss of one message or of one instance.
pub const REMOTE_RECIPIENTS: usize = 2;
/// Default time after its last report for which a peer counts as live, see
/// [`Replica::with_liveness_timeout`].
pub const LIVENESS_TIMEOUT: Millis = Millis::new(10_000);

// Bounds the memory of `Replica::ignored_fingerprints`. Clearing the set too early only costs
// further fetches.
const MAX_IGNORED_FINGERPRINTS: usize = 64;
// Path of the digest entry whose version is the fingerprint of all versions.
const ROOT: &str = "/";

quick_error! {
    /// Why a revision can't be put in force.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Error {
        /// The row or message does not hold a valid revision for its path.
        Row(key: String, message: String) {
            display("row {} is not a revision: {}", key, message)
        }
        /// The path or the YAML of the revision is not valid.
        Settings(path: String, version: Version, error: Box<settings::Error>) {
            display("version {} of {} is not valid: {}", version, path, error)
            source(&**error)
        }
    }
}

/// Returns the table key of a subtree.
pub fn key(owner: &Owner) -> String {
    format!("settings{owner}")
}

/// A row as the table returns it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Key in the table: `settings` followed by the path of the subtree, or [`INDEX_KEY`].
    pub key: String,
    /// Version that the table assigned to the row; 0 if the row does not exist.
    pub version: Version,
    /// JSON of a [`Revision`] or the plain YAML of a subtree; `None` if the row does not exist.
    pub value: Option<String>,
}

impl Row {
    /// Returns a row that does not exist, with version 0.
    pub fn absent(key: &str) -> Self {
        Self { key: key.into(), version: Version::new(0), value: None }
    }
}

/// One version of a subtree: the content of its row.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Revision {
    /// Path of the subtree, such as `/teams/halvern`.
    pub path: String,
    /// Version of the subtree, which rises by one with each change.
    pub version: Version,
    /// Ids of the last changes, newest first, at most [`HISTORY_LENGTH`]. The first one made this
    /// version, the second one the version before, and so on.
    pub changes: Vec<id::Change>,
    /// The settings as YAML; `None` if the subtree was removed.
    pub yaml: Option<String>,
}

impl Revision {
    /// Parses the value of a row; returns `None` if the row does not exist.
    ///
    /// A value that is not a revision is treated as the plain YAML of the subtree, which is how a new
    /// installation seeds its settings. It takes the version of the row, which is never below the
    /// version of a revision that the row held before.
    pub fn from_row(row: &Row) -> Result<Option<Self>, Error> {
        let error = |message| Error::Row(row.key.clone(), message);
        let Some(value) = &row.value else { return Ok(None) };
        let path = row.key.strip_prefix("settings").unwrap_or_default();
        if let Err(invalid) = path.parse::<Owner>() {
            return Err(error(invalid.to_string()));
        }
        let Ok(revision) = serde_json::from_str::<Self>(value) else {
            let yaml = Some(value.clone());
            let changes = Vec::new();
            return Ok(Some(Self { path: path.into(), version: row.version, changes, yaml }));
        };
        if revision.path != path {
            return Err(error(format!("its path is {}", revision.path)));
        }
        Ok(Some(revision))
    }

    /// Returns the revision as JSON, the value of its row.
    pub fn to_value(&self) -> String {
        // Serializing strings and numbers to JSON does not fail.
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Builds a revision from the fields of a message between instances. `changes` holds change ids
    /// separated by spaces; an empty `yaml` stands for a removed subtree.
    pub fn from_message(
        path: &str,
        version: Version,
        changes: &str,
        yaml: &str,
    ) -> Result<Self, Error> {
        let changes = changes
            .split_ascii_whitespace()
            .map(str::parse)
            .collect::<Result<Vec<id::Change>, id::Error>>()
            .map_err(|e| Error::Row(path.into(), e.to_string()))?;
        let yaml = if yaml.is_empty() { None } else { Some(yaml.into()) };
        Ok(Self { path: path.into(), version, changes, yaml })
    }

    /// Returns the change ids separated by spaces, as messages between instances carry them.
    pub fn changes_text(&self) -> String {
        let ids: Vec<&str> = self.changes.iter().map(id::Change::as_str).collect();
        ids.join(" ")
    }

    /// Returns the version that a change made, or `None` if the change is not in the history.
    pub fn version_of(&self, change: &id::Change) -> Option<Version> {
        let age = self.changes.iter().position(|known| known == change)?;
        self.version.get().checked_sub(age as u64).map(Version::new)
    }

    /// Returns the last changes with the versions that they made, newest first.
    pub fn history(&self) -> impl Iterator<Item = (&id::Change, Version)> {
        self.changes.iter().enumerate().map(|(age, change)| {
            (change, Version::new(self.version.get().saturating_sub(age as u64)))
        })
    }
}

/// One entry of the index row.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
struct Entry {
    path: String,
    version: Version,
}

/// Content of the index row. Every change writes it in its own transaction.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
struct Index {
    /// Number of changes so far.
    sequence: u64,
    /// The last changes, newest first.
    recent: Vec<Entry>,
}

impl Index {
    fn from_row(row: &Row) -> Result<Self, Error> {
        let Some(value) = &row.value else { return Ok(Self::default()) };
        serde_json::from_str(value).map_err(|e| Error::Row(row.key.clone(), e.to_string()))
    }

    fn with_revision(mut self, revision: &Revision) -> Self {
        let entry = Entry { path: revision.path.clone(), version: revision.version };
        self.sequence += 1;
        self.recent.insert(0, entry);
        self.recent.truncate(INDEX_LENGTH);
        self
    }
}

/// A change that an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proposal {
    /// The subtree, or the key in it, to change.
    pub path: Path,
    /// The new value as YAML; `None` removes the whole subtree of a team.
    pub value: Option<String>,
    /// Version that the subtree must have, 0 for one that never existed; `None` accepts any.
    pub expect: Option<Version>,
    /// Idempotency key, the same for each repetition of the change.
    pub change: id::Change,
}

/// A condition of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Condition {
    /// Key of the row.
    pub key: String,
    /// Version that the row must have; 0 if it must not exist.
    pub version: Version,
}

/// One write of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// Key of the row.
    pub key: String,
    /// New value of the row.
    pub value: String,
}

/// The transaction that stores a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Conditions that the subtree's row and the index row still have the versions that were read.
    pub conditions: Vec<Condition>,
    /// New values of the subtree's row and of the index row, in this order.
    pub writes: Vec<Write>,
    /// The revision that the change creates.
    pub revision: Revision,
    /// Id of the change, from the proposal.
    pub change: id::Change,
    owner: Owner,
    row_version: Version,
}

/// Reply of the table to a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The transaction took effect.
    Committed,
    /// A condition failed, so the transaction has no effect.
    Failed,
    /// No reply came. The transaction may have taken effect or may still do so.
    Lost,
}

/// What the reply to a transaction means for its change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resolution {
    /// The change is stored; see [`Replica::commit`].
    Stored,
    /// The outcome is unknown: read both rows again and call [`Replica::resume`].
    Reread,
}

/// A concurrent change that took effect instead.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Conflict {
    /// Version that the subtree has now.
    pub version: Version,
    /// The change that made this version; `None` for a subtree without a history, such as plain
    /// YAML.
    pub change: Option<id::Change>,
}

/// How the caller has to proceed with a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Planned {
    /// Send this transaction.
    Write(Box<Plan>),
    /// The change has already taken effect and made this version.
    Done(Version),
    /// Another change took effect first. This one has no effect and never will.
    Conflict(Conflict),
    /// The row is older than the version that the proposal expects; read it again.
    Stale,
    /// The history does not reach back to the version that the proposal expects, so whether the
    /// change took effect in the past is unknown. It is not carried out now.
    HistoryExceeded,
}

/// What to read after a poll of the index row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Poll {
    /// Nothing: the replica holds every change that the index row lists.
    Nothing,
    /// The rows with these keys; pass each one to [`Replica::row_read`].
    Rows(Vec<String>),
    /// All rows; pass them and the index row to [`Replica::scanned`].
    Scan,
}

/// Which of the revisions passed to a replica took effect.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Applied {
    /// Subtrees with a new version in force.
    pub changed: Vec<Owner>,
    /// Why revisions were rejected. The versions held before stay in force.
    pub rejected: Vec<Error>,
}

/// What a credential may do with a subtree.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Access {
    /// Neither read nor change anything in it.
    Denied,
    /// The credential belonged to a removed team. It may only read the state of a change and repeat
    /// the removal if the reply was lost.
    Removal,
    /// Read and change the subtree.
    Full,
}

/// Where a revision came from, which decides the peers that it is pushed to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// A change that an operator made at this instance.
    Operator,
    /// A read of the platform's table.
    Table,
    /// A peer in the given data centre.
    Peer(id::DataCentre),
}

/// State of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Status {
    /// The history has no change with this id.
    NotFound,
    /// The change is stored, but not every data centre has confirmed it.
    Pending {
        /// The version that the change made.
        version: Version,
        /// Data centres that have not confirmed; may be empty while this instance does not yet know
        /// which data centres exist.
        missing: Vec<id::DataCentre>,
    },
    /// The change is in force in every data centre.
    Accepted {
        /// The version that the change made.
        version: Version,
    },
}

#[derive(Clone, Debug)]
struct Held {
    revision: Revision,
    subtree: Option<Subtree>,
    /// SHA-256 of the credential of a removed subtree, if this replica held the subtree before.
    removed_credential: Option<String>,
    /// [`Replica::generation`] just after this revision was put in force.
    generation: u64,
}

#[derive(Clone, Debug)]
struct Peer {
    data_centre: id::DataCentre,
    live_until: Timestamp,
    /// [`Replica::generation`] when the fingerprint of this replica last equalled the peer's.
    matched_generation: u64,
    /// Versions that digests of the peer have named since then.
    versions: BTreeMap<String, Version>,
}

/// Replica of the settings at one instance.
///
/// It does no I/O: the caller reads and writes the table, exchanges messages with peers and passes
/// the results to the methods.
#[derive(Clone, Debug)]
pub struct Replica {
    instance: id::Instance,
    data_centre: id::DataCentre,
    liveness_timeout: Millis,
    held: BTreeMap<Owner, Held>,
    recent: VecDeque<Owner>,
    complete: bool,
    tree: Option<Arc<Tree>>,
    fingerprint: Version,
    /// Fingerprints of peers from which a fetch brought nothing. Cleared when the fingerprint of this
    /// replica changes.
    ignored_fingerprints: BTreeSet<Version>,
    /// Number of revisions that this replica has put in force.
    generation: u64,
    index_version: Version,
    index_sequence: u64,
    list_revision: Option<u64>,
    listed: BTreeSet<id::DataCentre>,
    peers: BTreeMap<id::Instance, Peer>,
}

impl Replica {
    /// Creates a replica that holds nothing.
    pub fn new(instance: id::Instance, data_centre: id::DataCentre) -> Self {
        let mut replica = Self {
            instance,
            data_centre,
            liveness_timeout: LIVENESS_TIMEOUT,
            held: BTreeMap::new(),
            recent: VecDeque::new(),
            complete: false,
            tree: None,
            fingerprint: Version::new(0),
            ignored_fingerprints: BTreeSet::new(),
            generation: 0,
            index_version: Version::new(0),
            index_sequence: 0,
            list_revision: None,
            listed: BTreeSet::new(),
            peers: BTreeMap::new(),
        };
        replica.rebuild();
        replica
    }

    /// Sets the time after its last report for which a peer counts as live. It should span several
    /// report intervals.
    pub const fn with_liveness_timeout(mut self, timeout: Millis) -> Self {
        self.liveness_timeout = timeout;
        self
    }

    /// Returns the settings in force, or `None` until the replica is complete and holds the fleet's
    /// subtree.
    pub fn tree(&self) -> Option<&Arc<Tree>> {
        self.tree.as_ref()
    }

    /// Returns what `credential` may do with the subtree of `owner`, see [`Tree::allows`].
    pub fn access(&self, credential: &str, owner: &Owner) -> Access {
        let Some(tree) = &self.tree else { return Access::Denied };
        if tree.allows(credential, owner) {
            return Access::Full;
        }
        let digest = settings::sha256_hex(credential);
        let removed = self.held.get(owner).and_then(|held| held.removed_credential.as_ref());
        match removed {
            Some(expected) if settings::digest_matches(&digest, expected) => Access::Removal,
            _ => Access::Denied,
        }
    }

    /// Returns the revision of a subtree that this replica holds; for a removed subtree, the revision
    /// of the removal.
    pub fn revision(&self, owner: &Owner) -> Option<&Revision> {
        self.held.get(owner).map(|held| &held.revision)
    }

    /// Returns the version of a subtree that this replica holds; 0 if it holds none.
    pub fn version(&self, owner: &Owner) -> Version {
        self.revision(owner).map_or(Version::new(0), |revision| revision.version)
    }

    /// Returns the digest that reports carry: a fingerprint of all versions, at path `/`, and the
    /// versions of the subtrees that changed last. It is empty while the replica is incomplete.
    pub fn digest(&self) -> Vec<InForce> {
        if !self.complete {
            return Vec::new();
        }
        let root = InForce { subtree: ROOT.into(), version: self.fingerprint };
        let entry =
            |owner: &Owner| InForce { subtree: owner.to_string(), version: self.version(owner) };
        std::iter::once(root).chain(self.recent.iter().map(entry)).collect()
    }

    /// Returns the version of every subtree held, for a fetch from a peer.
    pub fn versions(&self) -> Vec<InForce> {
        self.held
            .iter()
            .map(|(owner, held)| InForce {
                subtree: owner.to_string(),
                version: held.revision.version,
            })
            .collect()
    }

    /// Returns the revisions that are newer than the versions in `known`.
    pub fn newer_than(&self, known: &[InForce]) -> Vec<Revision> {
        let known: BTreeMap<&str, Version> =
            known.iter().map(|entry| (entry.subtree.as_str(), entry.version)).collect();
        self.held
            .values()
            .map(|held| &held.revision)
            .filter(|revision| {
                known.get(revision.path.as_str()).is_none_or(|known| revision.version > *known)
            })
            .cloned()
            .collect()
    }

    /// Returns whether the sender of a digest holds, or may hold, revisions that this replica lacks.
    pub fn is_behind(&self, digest: &[InForce]) -> bool {
        let mut theirs = BTreeMap::new();
        for entry in digest {
            theirs.insert(entry.subtree.as_str(), entry.version);
        }
        let Some(root) = theirs.remove(ROOT) else { return false };
        if !self.complete {
            return true;
        }
        if root == self.fingerprint || self.ignored_fingerprints.contains(&root) {
            return false;
        }
        let held = |path: &str| {
            path.parse::<Owner>().map_or(Version::new(0), |owner| self.version(&owner))
        };
        if theirs.iter().any(|(path, version)| held(path) < *version) {
            return true;
        }
        // If the sender names an older version of one of our recent subtrees, that explains the
        // different fingerprint, and the sender will fetch from us. Otherwise the difference is in a
        // subtree that the digest does not name.
        !self.recent.iter().any(|owner| {
            theirs.get(owner.to_string().as_str()).is_some_and(|v| *v < self.version(owner))
        })
    }

    /// Applies the rows of a scan of the table. `index` is the index row, which must be read before
    /// the scan. If it were read afterwards, it could list changes that the scan missed, and
    /// [`polled`](Self::polled) would not return them.
    pub fn scanned(&mut self, index: &Row, rows: &[Row]) -> Applied {
        let mut applied = Applied::default();
        for row in rows {
            self.apply_row(row, &mut applied);
        }
        if index.version >= self.index_version
            && let Ok(content) = Index::from_row(index)
        {
            self.index_version = index.version;
            self.index_sequence = content.sequence;
        }
        self.complete = true;
        self.rebuild();
        applied
    }

    /// Applies one row that was read from the table.
    pub fn row_read(&mut self, row: &Row) -> Applied {
        let mut applied = Applied::default();
        self.apply_row(row, &mut applied);
        self.rebuild();
        applied
    }

    /// Returns what to read from the table after a poll of the index row.
    ///
    /// The replica records the version of the index row only when it holds every change that the row
    /// lists, so a failed read is repeated after the next poll.
    pub fn polled(&mut self, index: &Row) -> Poll {
        if !self.complete {
            return Poll::Scan;
        }
        if index.version <= self.index_version {
            return Poll::Nothing;
        }
        let Ok(content) = Index::from_row(index) else { return Poll::Scan };
        let Some(missed) = content.sequence.checked_sub(self.index_sequence) else {
            return Poll::Scan;
        };
        if missed > content.recent.len() as u64 {
            return Poll::Scan;
        }
        let mut keys: Vec<String> = content.recent[..missed as usize]
            .iter()
            .filter(|entry| {
                entry.path.parse::<Owner>().is_ok_and(|owner| self.version(&owner) < entry.version)
            })
            .map(|entry| format!("settings{}", entry.path))
            .collect();
        keys.sort();
        keys.dedup();
        if keys.is_empty() {
            self.index_version = index.version;
            self.index_sequence = content.sequence;
            return Poll::Nothing;
        }
        Poll::Rows(keys)
    }

    /// Applies the revisions that a fetch from a peer returned. `digest` is the peer's digest, from the
    /// report that led to the fetch or from the reply.
    ///
    /// If none of them could be put in force, [`is_behind`](Self::is_behind) ignores this digest until
    /// the peer or this replica has changed. Without this rule, an instance that rejects a revision,
    /// for example because it runs an older version of the program, would fetch after each report.
    pub fn fetched(&mut self, digest: &[InForce], revisions: &[Revision]) -> Applied {
        let applied = self.received(revisions);
        let root = digest.iter().find(|entry| entry.subtree == ROOT);
        if let Some(root) = root.filter(|_| self.complete && applied.changed.is_empty()) {
            if self.ignored_fingerprints.len() >= MAX_IGNORED_FINGERPRINTS {
                self.ignored_fingerprints.clear();
            }
            self.ignored_fingerprints.insert(root.version);
        }
        applied
    }

    /// Applies revisions that a peer pushed.
    pub fn received(&mut self, revisions: &[Revision]) -> Applied {
        let mut applied = Applied::default();
        for revision in revisions {
            self.apply(revision, &mut applied);
        }
        self.rebuild();
        applied
    }

    /// Records the digest in a peer's report, or forgets the peer if it is stopping.
    pub fn reported(&mut self, report: &Report, now: Timestamp) {
        if report.stopping {
            self.peers.remove(&report.from);
            return;
        }
        self.confirmed(&report.from, &report.data_centre, &report.in_force, now);
    }

    /// Records the digest of a peer, from its report or from its reply to a push.
    ///
    /// An incomplete replica becomes complete when its fingerprint equals that of a complete peer.
    /// After a fetch, call this again with the digest that led to the fetch.
    pub fn confirmed(
        &mut self,
        from: &id::Instance,
        data_centre: &id::DataCentre,
        in_force: &[InForce],
        now: Timestamp,
    ) {
        if *from == self.instance {
            return;
        }
        let equal = self.complete_if_equal(in_force);
        let peer = self.peers.entry(from.clone()).or_insert_with(|| Peer {
            data_centre: data_centre.clone(),
            live_until: now,
            matched_generation: 0,
            versions: BTreeMap::new(),
        });
        peer.live_until = peer.live_until.max(now.plus(self.liveness_timeout));
        if equal {
            peer.matched_generation = self.generation;
            peer.versions.clear();
            return;
        }
        // Versions at one instance only rise, so messages may arrive in any order.
        for entry in in_force.iter().filter(|entry| entry.subtree != ROOT) {
            let version = peer.versions.entry(entry.subtree.clone()).or_default();
            *version = (*version).max(entry.version);
        }
    }

    /// Marks this replica as complete if it holds the same versions as the sender of a digest, and
    /// returns whether it does.
    ///
    /// The digest of an incomplete peer is empty and never equal.
    pub fn complete_if_equal(&mut self, digest: &[InForce]) -> bool {
        let root = digest.iter().find(|entry| entry.subtree == ROOT);
        let equal = root.is_some_and(|root| root.version == self.fingerprint);
        if equal && !self.complete {
            self.complete = true;
            self.rebuild();
        }
        equal
    }

    /// Records the data centres that the instance list names. A list with a lower `revision` than
    /// the last one is ignored.
    pub fn listed(&mut self, revision: u64, data_centres: BTreeSet<id::DataCentre>) {
        if self.list_revision.is_none_or(|seen| revision >= seen) {
            self.list_revision = Some(revision);
            self.listed = data_centres;
        }
    }

    /// Forgets peers that have sent no report within the liveness timeout.
    pub fn tick(&mut self, now: Timestamp) {
        self.peers.retain(|_, peer| !peer.live_until.is_past(now));
    }

    /// Plans a change. `row` is the row of the subtree and `index` the index row, both just read.
    /// Fails if the resulting settings are not valid.
    pub fn plan(
        &mut self,
        proposal: &Proposal,
        row: &Row,
        index: &Row,
        context: &Context,
    ) -> Result<Planned, settings::Error> {
        self.row_read(row);
        let owner = &proposal.path.owner;
        let held = self.held.get(owner);
        let base = held.map(|held| &held.revision);
        if let Some(version) = base.and_then(|base| base.version_of(&proposal.change)) {
            return Ok(Planned::Done(version));
        }
        let version = self.version(owner);
        match proposal.expect {
            Some(expect) if expect > version => return Ok(Planned::Stale),
            Some(expect) if version.get() - expect.get() > HISTORY_LENGTH as u64 => {
                return Ok(Planned::HistoryExceeded);
            }
            Some(expect) if expect < version => {
                return Ok(Planned::Conflict(self.conflict(owner)));
            }
            _ => {}
        }
        let current = held.and_then(|held| held.subtree.as_ref());
        let yaml = match &proposal.value {
            Some(value) => {
                Some(Subtree::replace(current, &proposal.path, value, context)?.to_yaml())
            }
            None => {
                check_removal(&proposal.path, current)?;
                None
            }
        };
        let older = base.map_or(&[][..], |base| &base.changes);
        let changes =
            std::iter::once(&proposal.change).chain(older).take(HISTORY_LENGTH).cloned().collect();
        let revision = Revision { path: owner.to_string(), version: version.next(), changes, yaml };
        let plan = Plan {
            conditions: Vec::new(),
            writes: Vec::new(),
            revision,
            change: proposal.change.clone(),
            owner: owner.clone(),
            row_version: row.version,
        };
        Ok(Planned::Write(Box::new(plan.with_index(index))))
    }

    /// Continues a change after [`Resolution::Reread`], with both rows read again.
    ///
    /// The same revision is sent again as long as no other one has taken its version. An earlier copy
    /// of the write may still be in flight, but it is conditional on the same or an older row version,
    /// so only one of them can take effect.
    pub fn resume(&mut self, plan: &Plan, row: &Row, index: &Row) -> Planned {
        self.row_read(row);
        let revision = self.revision(&plan.owner);
        if let Some(version) = revision.and_then(|revision| revision.version_of(&plan.change)) {
            return Planned::Done(version);
        }
        let version = self.version(&plan.owner);
        if version.get() >= plan.revision.version.get().saturating_add(HISTORY_LENGTH as u64) {
            return Planned::HistoryExceeded;
        }
        if version >= plan.revision.version {
            return Planned::Conflict(self.conflict(&plan.owner));
        }
        let mut plan = plan.clone();
        plan.row_version = plan.row_version.max(row.version);
        Planned::Write(Box::new(plan.with_index(index)))
    }

    /// Puts the revision of a plan in force after [`Resolution::Stored`].
    pub fn commit(&mut self, plan: &Plan) -> Applied {
        self.received(std::slice::from_ref(&plan.revision))
    }

    /// Returns the peers to which to push a revision that has just been put in force.
    ///
    /// The instance that accepted the change pushes to all peers in its data centre and to
    /// [`REMOTE_RECIPIENTS`] in each other one, which forward it within their data centre. `round`
    /// rotates the remote recipients.
    pub fn recipients(
        &self,
        source: &Source,
        peers: &[(id::Instance, id::DataCentre)],
        round: u64,
    ) -> Vec<id::Instance> {
        match source {
            Source::Operator => self.partners(peers, round, REMOTE_RECIPIENTS),
            Source::Peer(data_centre) if *data_centre != self.data_centre => {
                self.partners(peers, round, 0)
            }
            Source::Peer(_) | Source::Table => Vec::new(),
        }
    }

    /// Returns the peers that get a report in this round, see the function [`partners`].
    pub fn partners(
        &self,
        peers: &[(id::Instance, id::DataCentre)],
        round: u64,
        remote: usize,
    ) -> Vec<id::Instance> {
        partners(&self.instance, &self.data_centre, peers, round, remote)
    }

    /// Returns the data centres that have to confirm a change.
    ///
    /// These are the ones that the fleet's settings name, or, if the settings name none, all on the
    /// instance list, even without a live peer. Data centres with live peers and this instance's own
    /// are always included.
    pub fn data_centres(&self, now: Timestamp) -> BTreeSet<id::DataCentre> {
        let declared = match self.held.get(&Owner::Fleet).and_then(|held| held.subtree.as_ref()) {
            Some(Subtree::Fleet(fleet)) => &fleet.data_centres,
            _ => &BTreeSet::new(),
        };
        let named = if declared.is_empty() { &self.listed } else { declared };
        let live = self.peers.values().filter(|peer| !peer.live_until.is_past(now));
        std::iter::once(&self.data_centre)
            .chain(named)
            .chain(live.map(|peer| &peer.data_centre))
            .cloned()
            .collect()
    }

    /// Returns the state of a change to the subtree of `owner`.
    pub fn status(&self, owner: &Owner, change: &id::Change, now: Timestamp) -> Status {
        let Some(held) = self.held.get(owner) else { return Status::NotFound };
        let Some(version) = held.revision.version_of(change) else { return Status::NotFound };
        let path = owner.to_string();
        let confirming: BTreeSet<&id::DataCentre> = self
            .peers
            .values()
            .filter(|peer| !peer.live_until.is_past(now))
            .filter(|peer| {
                peer.matched_generation >= held.generation
                    || peer.versions.get(&path).is_some_and(|named| *named >= version)
            })
            .map(|peer| &peer.data_centre)
            .chain(std::iter::once(&self.data_centre))
            .collect();
        let missing: Vec<id::DataCentre> = self
            .data_centres(now)
            .into_iter()
            .filter(|data_centre| !confirming.contains(data_centre))
            .collect();
        if missing.is_empty() && self.knows_data_centres() {
            Status::Accepted { version }
        } else {
            Status::Pending { version, missing }
        }
    }

    // An instance that has just started knows only its own data centre, whose confirmation alone must
    // not count as acceptance.
    fn knows_data_centres(&self) -> bool {
        self.tree.as_ref().is_some_and(|tree| !tree.fleet.data_centres.is_empty())
            || (self.tree.is_some() && self.list_revision.is_some())
    }

    fn conflict(&self, owner: &Owner) -> Conflict {
        let change = self.revision(owner).and_then(|revision| revision.changes.first().cloned());
        Conflict { version: self.version(owner), change }
    }

    fn apply_row(&mut self, row: &Row, applied: &mut Applied) {
        match Revision::from_row(row) {
            Ok(Some(revision)) => self.apply(&revision, applied),
            Ok(None) => {}
            Err(error) => applied.rejected.push(error),
        }
    }

    fn apply(&mut self, revision: &Revision, applied: &mut Applied) {
        let invalid =
            |error| Error::Settings(revision.path.clone(), revision.version, Box::new(error));
        let owner: Owner = match revision.path.parse() {
            Ok(owner) => owner,
            Err(error) => return applied.rejected.push(invalid(error)),
        };
        if revision.version <= self.version(&owner) {
            return;
        }
        let subtree = match &revision.yaml {
            Some(yaml) => match Subtree::parse(&owner, yaml) {
                Ok(subtree) => Some(subtree),
                Err(error) => return applied.rejected.push(invalid(error)),
            },
            None => None,
        };
        self.generation += 1;
        let removed_credential = match (&subtree, self.held.get(&owner)) {
            (None, Some(Held { subtree: Some(before), .. })) => {
                Some(before.credential_sha256().into())
            }
            (None, Some(before)) => before.removed_credential.clone(),
            _ => None,
        };
        let held = Held {
            revision: revision.clone(),
            subtree,
            removed_credential,
            generation: self.generation,
        };
        self.held.insert(owner.clone(), held);
        self.recent.retain(|recent| *recent != owner);
        self.recent.push_front(owner.clone());
        self.recent.truncate(DIGEST_LENGTH);
        applied.changed.push(owner);
    }

    fn rebuild(&mut self) {
        let mut bytes = Vec::new();
        for (owner, held) in &self.held {
            bytes.extend_from_slice(owner.to_string().as_bytes());
            bytes.extend_from_slice(&held.revision.version.get().to_le_bytes());
        }
        let fingerprint = Version::new(xxhash_rust::xxh3::xxh3_64(&bytes));
        if fingerprint != self.fingerprint {
            self.fingerprint = fingerprint;
            self.ignored_fingerprints.clear();
        }
        let fleet = match self.held.get(&Owner::Fleet).and_then(|held| held.subtree.as_ref()) {
            Some(Subtree::Fleet(fleet)) if self.complete => fleet.clone(),
            _ => {
                self.tree = None;
                return;
            }
        };
        let teams = self
            .held
            .values()
            .filter_map(|held| match &held.subtree {
                Some(Subtree::Team(name, team)) => Some((name.clone(), team.clone())),
                _ => None,
            })
            .collect();
        self.tree = Some(Arc::new(Tree { fleet, teams }));
    }
}

impl Plan {
    /// Returns what the reply to the transaction means for the change.
    ///
    /// After a failed condition the outcome is still unknown: an earlier copy of the same write may
    /// have taken effect and changed the row.
    pub const fn resolve(&self, reply: &Reply) -> Resolution {
        match reply {
            Reply::Committed => Resolution::Stored,
            Reply::Failed | Reply::Lost => Resolution::Reread,
        }
    }

    fn with_index(mut self, index: &Row) -> Self {
        let key = key(&self.owner);
        // An unreadable index is replaced by one that starts at sequence 0. Instances that poll it
        // see the lower sequence and scan the table.
        let content = Index::from_row(index).unwrap_or_default().with_revision(&self.revision);
        self.conditions = vec![
            Condition { key: key.clone(), version: self.row_version },
            Condition { key: INDEX_KEY.into(), version: index.version },
        ];
        self.writes = vec![
            Write { key, value: self.revision.to_value() },
            Write {
                key: INDEX_KEY.into(),
                // Serializing strings and numbers to JSON does not fail.
                value: serde_json::to_string(&content).unwrap_or_default(),
            },
        ];
        self
    }
}

/// Returns the peers to which an instance sends its report in a round: all peers in its data centre
/// and `remote` in each other one, rotated by `round`.
///
/// `own` and `own_data_centre` are the instance and its data centre.
pub fn partners(
    own: &id::Instance,
    own_data_centre: &id::DataCentre,
    peers: &[(id::Instance, id::DataCentre)],
    round: u64,
    remote: usize,
) -> Vec<id::Instance> {
    let mut by_data_centre: BTreeMap<&id::DataCentre, Vec<&id::Instance>> = BTreeMap::new();
    for (instance, data_centre) in peers.iter().filter(|(peer, _)| peer != own) {
        by_data_centre.entry(data_centre).or_default().push(instance);
    }
    let mut partners = Vec::new();
    for (data_centre, mut instances) in by_data_centre {
        if data_centre == own_data_centre {
            partners.extend(instances.into_iter().cloned());
            continue;
        }
        instances.sort();
        // The rotation starts at a hash of the instance's name, so that instances do not all choose
        // the same peer.
        let start = xxhash_rust::xxh3::xxh3_64(own.as_str().as_bytes());
        let length = instances.len();
        let first = (start.wrapping_add(round) % length as u64) as usize;
        let chosen = (0..remote.min(length)).map(|step| instances[(first + step) % length]);
        partners.extend(chosen.cloned());
    }
    partners
}

fn check_removal(path: &Path, current: Option<&Subtree>) -> Result<(), settings::Error> {
    let allowed = match (&path.owner, path.keys.is_empty(), current) {
        (Owner::Team(_), true, Some(_)) => return Ok(()),
        (Owner::Fleet, ..) => "a value, the subtree of the fleet can't be removed",
        (_, false, _) => "a value, only a whole subtree can be removed",
        (_, _, None) => "the subtree of an existing team",
    };
    Err(settings::Error::Invalid(settings::Fault {
        file: None,
        path: path.to_string(),
        value: "absent".into(),
        allowed: allowed.into(),
    }))
}
