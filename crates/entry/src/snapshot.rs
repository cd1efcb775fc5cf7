//! The settings in force, in the form that request checks need.

use sha2::{Digest, Sha256};
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, PoisonError, RwLock};
use verbenapass::id;
use verbenapass::settings::{Kind, Tree};

/// One version of the settings with its index of credentials.
#[derive(Debug)]
pub struct Snapshot {
    /// The settings.
    pub tree: Arc<Tree>,
    /// Teams by the SHA-256 of their credential. The bytes save the hexadecimal text of each request.
    teams: HashMap<[u8; 32], id::Team>,
}

impl Snapshot {
    /// Indexes the settings by credential.
    pub fn new(tree: Arc<Tree>) -> Self {
        let teams = tree
            .teams
            .iter()
            .filter_map(|(team, settings)| {
                Some((digest(&settings.credential_sha256)?, team.clone()))
            })
            .collect();
        Self { tree, teams }
    }

    /// Returns the team that a credential belongs to.
    pub fn team(&self, credential: &str) -> Option<&id::Team> {
        self.teams.get(&<[u8; 32]>::from(Sha256::digest(credential)))
    }

    /// Returns the settings of a kind.
    pub fn kind(&self, team: &id::Team, kind: &id::Kind) -> Option<&Kind> {
        self.tree.teams.get(team)?.kinds.get(kind)
    }
}

/// Reads a digest in hexadecimal, whose form the settings have checked.
fn digest(text: &str) -> Option<[u8; 32]> {
    let mut bytes = [0; 32];
    for (index, byte) in bytes.iter_mut().enumerate() {
        *byte = u8::from_str_radix(text.get(2 * index..2 * index + 2)?, 16).ok()?;
    }
    Some(bytes)
}

/// Holder of the current snapshot, shared between threads.
#[derive(Clone, Debug, Default)]
pub struct Holder {
    snapshot: Arc<RwLock<Option<Arc<Snapshot>>>>,
    has_instance_list: Arc<AtomicBool>,
}

impl Holder {
    /// Returns the current snapshot, if settings have been learnt.
    pub fn get(&self) -> Option<Arc<Snapshot>> {
        self.snapshot.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Replaces the current snapshot.
    pub fn set(&self, snapshot: Arc<Snapshot>) {
        *self.snapshot.write().unwrap_or_else(PoisonError::into_inner) = Some(snapshot);
    }

    /// Tells whether the instance list has been read since the start of the process.
    pub fn has_instance_list(&self) -> bool {
        self.has_instance_list.load(Ordering::Acquire)
    }

    /// Notes that the instance list has been read.
    pub fn record_instance_list(&self) {
        self.has_instance_list.store(true, Ordering::Release);
    }
}
