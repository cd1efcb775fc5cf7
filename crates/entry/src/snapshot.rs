//! The settings in force, in the form that request checks need.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, PoisonError, RwLock};
use verbenapass::id;
use verbenapass::settings::{Kind, Tree, sha256_hex};

/// One version of the settings with its index of credentials.
#[derive(Debug)]
pub struct Snapshot {
    /// The settings.
    pub tree: Arc<Tree>,
    teams: HashMap<String, id::Team>,
}

impl Snapshot {
    /// Indexes the settings by credential.
    pub fn new(tree: Arc<Tree>) -> Self {
        let teams = tree
            .teams
            .iter()
            .map(|(team, settings)| (settings.credential_sha256.clone(), team.clone()))
            .collect();
        Self { tree, teams }
    }

    /// Returns the team that a credential belongs to.
    pub fn team(&self, credential: &str) -> Option<&id::Team> {
        self.teams.get(&sha256_hex(credential))
    }

    /// Returns the settings of a kind.
    pub fn kind(&self, team: &id::Team, kind: &id::Kind) -> Option<&Kind> {
        self.tree.teams.get(team)?.kinds.get(kind)
    }
}

/// Holder of the current snapshot, shared between threads.
#[derive(Clone, Debug, Default)]
pub struct Holder {
    snapshot: Arc<RwLock<Option<Arc<Snapshot>>>>,
    is_listed: Arc<AtomicBool>,
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
    pub fn is_listed(&self) -> bool {
        self.is_listed.load(Ordering::Acquire)
    }

    /// Notes that the instance list has been read.
    pub fn set_listed(&self) {
        self.is_listed.store(true, Ordering::Release);
    }
}
