//! The settings in force, indexed for the validation of requests.

use sha2::{Digest, Sha256};
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, PoisonError, RwLock};
use verbenapass::id;
use verbenapass::settings::{Kind, Tree};

/// An immutable version of the settings with an index by credential.
#[derive(Debug)]
pub struct Snapshot {
    /// The settings of the fleet and of all teams.
    pub tree: Arc<Tree>,
    /// Teams by the SHA-256 of their credential. Bytes instead of hexadecimal text save formatting
    /// the digest for each request.
    teams: HashMap<[u8; 32], id::Team>,
}

impl Snapshot {
    /// Indexes validated settings by credential.
    pub fn new(tree: Arc<Tree>) -> Self {
        let teams = tree
            .teams
            .iter()
            .filter_map(|(team, settings)| {
                Some((parse_digest(&settings.credential_sha256)?, team.clone()))
            })
            .collect();
        Self { tree, teams }
    }

    /// Returns the team that a credential belongs to, or `None` for an unknown credential.
    pub fn team(&self, credential: &str) -> Option<&id::Team> {
        self.teams.get(&<[u8; 32]>::from(Sha256::digest(credential)))
    }

    /// Returns the settings of a kind of task, or `None` if the team or the kind is unknown.
    pub fn kind(&self, team: &id::Team, kind: &id::Kind) -> Option<&Kind> {
        self.tree.teams.get(team)?.kinds.get(kind)
    }
}

/// Parses a hexadecimal digest, whose form was validated with the settings.
fn parse_digest(text: &str) -> Option<[u8; 32]> {
    let mut bytes = [0; 32];
    for (index, byte) in bytes.iter_mut().enumerate() {
        *byte = u8::from_str_radix(text.get(2 * index..2 * index + 2)?, 16).ok()?;
    }
    Some(bytes)
}

/// The current snapshot, shared between threads and replaced as a whole.
#[derive(Clone, Debug, Default)]
pub struct Holder {
    snapshot: Arc<RwLock<Option<Arc<Snapshot>>>>,
    has_instance_list: Arc<AtomicBool>,
}

impl Holder {
    /// Returns the current snapshot, or `None` until the first settings are in force.
    pub fn get(&self) -> Option<Arc<Snapshot>> {
        self.snapshot.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Replaces the current snapshot. Requests that hold the previous one keep it.
    pub fn set(&self, snapshot: Arc<Snapshot>) {
        *self.snapshot.write().unwrap_or_else(PoisonError::into_inner) = Some(snapshot);
    }

    /// Tells whether the instance list was read since the process started.
    pub fn has_instance_list(&self) -> bool {
        self.has_instance_list.load(Ordering::Acquire)
    }

    /// Records that the instance list was read; it cannot be undone.
    pub fn record_instance_list(&self) {
        self.has_instance_list.store(true, Ordering::Release);
    }
}
