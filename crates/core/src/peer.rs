//! Messages between entry instances.

use crate::id;
use crate::time::Timestamp;
use crate::unit::Slots;

/// Demand and use of one service at one instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Load {
    /// The service.
    pub service: id::Service,
    /// Tasks in the queue.
    pub queued: u32,
    /// Starts in flight.
    pub in_flight: u32,
    /// Slots held.
    pub held: Slots,
}

/// Use of the quota of one team at one instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Usage {
    /// The team.
    pub team: id::Team,
    /// Tasks in the queue.
    pub queued: u32,
    /// Starts in flight.
    pub in_flight: u32,
}

/// A target that is known to leave.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Leaving {
    /// The target.
    pub target: id::Target,
    /// When this evidence may be forgotten.
    pub forget_at: Timestamp,
}

/// The version of one settings subtree in force at an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InForce {
    /// Path of the subtree, such as `/teams/halvern`.
    pub subtree: String,
    /// Its version.
    pub version: id::Version,
}

/// What an instance tells its peers, see [`crate::exchange`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// The sender.
    pub from: id::Instance,
    /// The data centre of the sender.
    pub data_centre: id::DataCentre,
    /// When it was made; an older report than one already seen is ignored.
    pub made_at: Timestamp,
    /// Load by service.
    pub loads: Vec<Load>,
    /// Use by team. A team that is left out has about the use that was reported last.
    pub usages: Vec<Usage>,
    /// Targets known to leave.
    pub leaving: Vec<Leaving>,
    /// Digest of the settings in force, see [`crate::config::Replica::digest`].
    pub in_force: Vec<InForce>,
    /// Whether the sender is stopping.
    pub stopping: bool,
}
