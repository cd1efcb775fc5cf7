//! Waiting work of peers, and what they were told of the waiting work here.
//!
//! Only the peers that exchange tasks with this instance have entries, so that the cost of an event
//! doesn't grow with the fleet.

use super::MOVE_DELAY;
use crate::job::Rank;
use crate::message::Limits;
use crate::resource::{Amount, Work};
use std::collections::BTreeMap;
use verbenapass::id;
use verbenapass::time::Timestamp;
use verbenapass::unit::Micros;

/// Waiting tasks of one service at a peer, as the peer last reported them.
#[derive(Clone, Debug)]
pub(super) struct PeerDemand {
    pub(super) tasks: u32,
    pub(super) work: Work,
    pub(super) rank: Rank,
    pub(super) amount: Amount,
    pub(super) kind: id::Kind,
    pub(super) smallest: Amount,
    pub(super) limits: Limits,
}

/// Waiting tasks of one service as this instance last reported them to a peer.
#[derive(Clone, Copy, Debug)]
pub(super) struct SentDemand {
    /// Number of tasks; zero once the peer has granted room for some of them.
    pub(super) tasks: u32,
    pub(super) work: Micros,
    pub(super) at: Timestamp,
    pub(super) limits: Limits,
}

/// Values by service and peer; empty services are removed.
#[derive(Debug)]
pub(super) struct Table<T>(BTreeMap<id::Service, BTreeMap<id::Instance, T>>);

impl<T> Table<T> {
    pub(super) fn new() -> Self {
        Self(BTreeMap::new())
    }

    /// Returns the services that have a value of at least one peer.
    pub(super) fn services(&self) -> impl Iterator<Item = &id::Service> {
        self.0.keys()
    }

    /// Returns the values of one service.
    pub(super) fn of(&self, service: &id::Service) -> impl Iterator<Item = (&id::Instance, &T)> {
        self.0.get(service).into_iter().flatten()
    }

    pub(super) fn get(&self, service: &id::Service, peer: &id::Instance) -> Option<&T> {
        self.0.get(service)?.get(peer)
    }

    pub(super) fn get_mut(&mut self, service: &id::Service, peer: &id::Instance) -> Option<&mut T> {
        self.0.get_mut(service)?.get_mut(peer)
    }

    pub(super) fn insert(&mut self, service: id::Service, peer: id::Instance, value: T) {
        self.0.entry(service).or_default().insert(peer, value);
    }

    pub(super) fn remove(&mut self, service: &id::Service, peer: &id::Instance) {
        if let Some(peers) = self.0.get_mut(service) {
            peers.remove(peer);
            if peers.is_empty() {
                self.0.remove(service);
            }
        }
    }

    /// Removes the values of a peer.
    pub(super) fn remove_peer(&mut self, peer: &id::Instance) {
        self.0.retain(|_, peers| {
            peers.remove(peer);
            !peers.is_empty()
        });
    }

    /// Removes the services that `is_kept` rejects and returns their peers.
    pub(super) fn remove_services(
        &mut self,
        is_kept: impl Fn(&id::Service) -> bool,
    ) -> Vec<(id::Service, id::Instance)> {
        let mut removed = Vec::new();
        self.0.retain(|service, peers| {
            let is_kept = is_kept(service);
            if !is_kept {
                removed.extend(peers.keys().map(|peer| (service.clone(), peer.clone())));
            }
            is_kept
        });
        removed
    }
}

/// Returns whether a peer's task precedes a local one, given the cost of moving it.
pub(super) fn is_before(peer: Rank, own: Rank) -> bool {
    let own_start = own.start_by;
    (peer.is_unstarted, peer.priority) < (own.is_unstarted, own.priority)
        || (peer.is_unstarted, peer.priority) == (own.is_unstarted, own.priority)
            && peer.start_by.plus(MOVE_DELAY) <= own_start
}

/// Returns the time until a job must start, in milliseconds; negative if it is late.
pub(super) fn slack(start_by: Timestamp, now: Timestamp) -> i64 {
    let millis = |later: Timestamp, earlier: Timestamp| (later.since(earlier).get() / 1_000) as i64;
    if start_by >= now { millis(start_by, now) } else { -millis(now, start_by) }
}
