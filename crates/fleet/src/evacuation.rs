//! Evacuated data centres: nothing is started on their targets until the request is removed.
//!
//! The load that this answers: an operator empties a data centre for work there, while its clients
//! and running tasks go on. The requests are in the platform's store, and each instance holds what it
//! knows of them with the version of the store, so that knowledge may arrive late, twice and from
//! any instance.

use std::collections::BTreeMap;
use verbenapass::id;

/// Version of the store; rises with each change of it.
pub type Version = u64;

/// State of a data centre at a version of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Mark {
    /// Data centre that the mark describes.
    pub data_centre: id::DataCentre,
    /// Version of the store at which the state was known.
    pub version: Version,
    /// Whether the data centre is evacuated.
    pub is_evacuated: bool,
}

/// What the store or a peer tells about evacuations.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Report {
    /// Version at which all data centres without a mark were not evacuated; `None` if the report tells
    /// nothing about them.
    pub complete_at: Option<Version>,
    /// Data centres whose state is told, in any order. Their versions are not below `complete_at`.
    pub marks: Vec<Mark>,
}

#[derive(Clone, Copy, Debug)]
struct State {
    version: Version,
    is_evacuated: bool,
}

/// What is known of the evacuation of each data centre.
#[derive(Debug)]
pub struct Table {
    is_enabled: bool,
    /// Version at which all data centres without a state here were not evacuated.
    complete_at: Option<Version>,
    /// Data centres that are evacuated, or that are not since a higher version than `complete_at`. No
    /// version is below `complete_at`.
    states: BTreeMap<id::DataCentre, State>,
}

impl Table {
    /// Creates a table without knowledge. One that isn't enabled ignores all reports and permits all
    /// starts.
    pub fn new(is_enabled: bool) -> Self {
        Self { is_enabled, complete_at: None, states: BTreeMap::new() }
    }

    /// Applies what is newer than the own knowledge. Returns the marks that have changed the state of a
    /// data centre.
    pub fn apply(&mut self, report: &Report) -> Vec<Mark> {
        if !self.is_enabled {
            return Vec::new();
        }
        let changed = self.newer_states(report);
        for mark in &report.marks {
            if self.version_of(&mark.data_centre).is_none_or(|known| known < mark.version) {
                let state = State { version: mark.version, is_evacuated: mark.is_evacuated };
                self.states.insert(mark.data_centre.clone(), state);
            }
        }
        if report.complete_at > self.complete_at {
            self.complete_at = report.complete_at;
        }
        // All marks of a complete report have its version or a higher one.
        let complete_at = self.complete_at;
        self.states.retain(|_, state| match state.is_evacuated {
            true => Some(state.version) >= complete_at,
            false => Some(state.version) > complete_at,
        });
        changed
    }

    /// Returns the marks by which data centres would be in another state than here, each with a higher
    /// version than the own knowledge.
    fn newer_states(&self, report: &Report) -> Vec<Mark> {
        let told = report.marks.iter().filter(|mark| {
            self.version_of(&mark.data_centre).is_none_or(|known| known < mark.version)
        });
        let ended = report.complete_at.into_iter().flat_map(|version| {
            let unnamed = self.states.iter().filter(move |(name, state)| {
                state.version < version && report.marks.iter().all(|m| m.data_centre != **name)
            });
            unnamed.map(move |(name, _)| Mark {
                data_centre: name.clone(),
                version,
                is_evacuated: false,
            })
        });
        let is_change = |mark: &Mark| mark.is_evacuated != self.is_evacuated(&mark.data_centre);
        told.cloned().chain(ended).filter(is_change).collect()
    }

    /// Returns the version of what is known about a data centre.
    fn version_of(&self, data_centre: &id::DataCentre) -> Option<Version> {
        self.states.get(data_centre).map(|state| state.version).max(self.complete_at)
    }

    /// Returns whether a complete list of the evacuations is known, from the store or from a peer.
    pub fn is_known(&self) -> bool {
        self.complete_at.is_some()
    }

    /// Returns whether nothing may be started on the targets of a data centre until further notice.
    pub fn is_evacuated(&self, data_centre: &id::DataCentre) -> bool {
        self.states.get(data_centre).is_some_and(|state| state.is_evacuated)
    }

    /// Returns whether runs may be started on the targets of a data centre. Without a complete list
    /// none may: a process that restarts during an evacuation doesn't know of it.
    pub fn may_start(&self, data_centre: &id::DataCentre) -> bool {
        !self.is_enabled || self.is_known() && !self.is_evacuated(data_centre)
    }

    /// Returns the number of evacuated data centres.
    pub fn len(&self) -> usize {
        self.states.values().filter(|state| state.is_evacuated).count()
    }

    /// Returns whether no data centre is evacuated, as far as known.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns all knowledge, or `None` without a complete list.
    pub fn report(&self) -> Option<Report> {
        self.complete_at?;
        let marks = self.states.iter().map(|(name, state)| Mark {
            data_centre: name.clone(),
            version: state.version,
            is_evacuated: state.is_evacuated,
        });
        Some(Report { complete_at: self.complete_at, marks: marks.collect() })
    }

    /// Returns whether a report tells another state of a data centre with a lower version than known here.
    pub fn is_newer_than(&self, report: &Report) -> bool {
        let mut other = Self::new(true);
        other.apply(report);
        self.report().is_some_and(|own| !other.newer_states(&own).is_empty())
    }
}
