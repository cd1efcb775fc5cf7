//! Contents of the reports that entry instances send to each other.

use crate::id;
use crate::time::Timestamp;
use crate::unit::Slots;

/// Demand for one service and use of it at one instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Load {
    /// Service whose targets run the tasks.
    pub service: id::Service,
    /// Tasks that wait in the instance's queue.
    pub queued: u32,
    /// Starts in flight from the instance to targets.
    pub in_flight: u32,
    /// Slots of the service that the instance holds.
    pub held: Slots,
}

/// Use of the quota of one team at one instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Usage {
    /// Team that the quota belongs to.
    pub team: id::Team,
    /// Tasks of the team that wait in the instance's queue.
    pub queued: u32,
    /// Starts in flight for tasks of the team.
    pub in_flight: u32,
}

/// A leaving mark: the target is shutting down and gets no new work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Leaving {
    /// Target that is leaving.
    pub target: id::Target,
    /// When the mark expires.
    pub forget_at: Timestamp,
}

/// The version of one settings subtree in force at an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InForce {
    /// Path of the subtree, such as `/teams/halvern`, or `/` in a digest.
    pub subtree: String,
    /// Version of the subtree; for the path `/` of a digest, the fingerprint of all versions.
    pub version: id::Version,
}

/// State that an instance sends to its peers; [`crate::exchange`] schedules the messages.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Instance that sends the report.
    pub from: id::Instance,
    /// Data centre of the sender.
    pub data_centre: id::DataCentre,
    /// When the sender created the report. Receivers ignore a report older than one already seen.
    pub made_at: Timestamp,
    /// Load of the sender, one entry for each service.
    pub loads: Vec<Load>,
    /// Quota use at the sender. A team that is omitted has about the use that was reported last.
    pub usages: Vec<Usage>,
    /// Leaving marks that the sender knows.
    pub leaving: Vec<Leaving>,
    /// Digest of the settings in force, see [`crate::config::Replica::digest`].
    pub in_force: Vec<InForce>,
    /// Whether the sender is stopping; receivers then treat it as leaving.
    pub stopping: bool,
}
