//! Evacuated data centres: news of them from the store and from peers, and the peers that are asked for
//! room meanwhile.

use super::{Command, Engine};
use crate::evacuation::{Report, Table};
use crate::message::Message;
use crate::record::Record;
use crate::roster::{self, Member};
use std::collections::{BTreeMap, BTreeSet};
use verbenapass::id;

impl Engine {
    /// Returns what is known of evacuated data centres.
    pub fn evacuations(&self) -> &Table {
        &self.evacuations
    }

    /// Applies what the store tells, and passes changes on to all peers.
    pub(super) fn evacuations_read(&mut self, report: &Report) {
        let was_known = self.evacuations.is_known();
        let has_changed = self.apply_evacuations(report, None);
        // Peers that can't read the store wait for the first complete list.
        if has_changed || self.evacuations.is_known() != was_known {
            let peers: Vec<id::Instance> = self.peers.keys().cloned().collect();
            peers.iter().for_each(|peer| self.send_evacuations(peer));
        }
    }

    /// Applies what a peer tells, and answers with the own knowledge if that is newer.
    pub(super) fn evacuations_received(&mut self, peer: &id::Instance, report: &Report) {
        self.apply_evacuations(report, Some(peer));
        if self.evacuations.is_newer_than(report) {
            self.send_evacuations(peer);
        }
    }

    pub(super) fn send_evacuations(&mut self, peer: &id::Instance) {
        if let Some(report) = self.evacuations.report() {
            let message = Message::Evacuations(report);
            self.commands.push(Command::Send { peer: peer.clone(), message });
        }
    }

    fn apply_evacuations(&mut self, report: &Report, source: Option<&id::Instance>) -> bool {
        let changed = self.evacuations.apply(report);
        if changed.is_empty() {
            return false;
        }
        self.is_capacity_stale = true;
        self.is_assignment_stale = true;
        // Each order is returned in the call that has created it, so none is left to be taken back.
        debug_assert!(self.orders.is_empty(), "orders are pending between events");
        for mark in &changed {
            let (mark, source) = (mark.clone(), source.cloned());
            self.commands.push(Command::Log(Record::Evacuation { mark, source }));
        }
        true
    }

    /// Returns the peers with which this instance exchanges tasks: those that are near in the whole fleet,
    /// whose links must stay fast while runs are there, and those that it asks for room.
    pub(super) fn choose_partners(
        &mut self,
        live: &BTreeMap<id::Instance, Member>,
    ) -> BTreeSet<id::Instance> {
        let (own, member) = (&self.options.instance, &self.options.member);
        let mut partners = roster::partners(own, &member.data_centre, live);
        self.peers_without_room.clear();
        if self.evacuations.is_empty() || self.has_unserved_targets(live) {
            return partners;
        }
        let mut with_room = live.clone();
        with_room.retain(|_, peer| self.evacuations.may_start(&peer.data_centre));
        partners.extend(roster::partners(own, &member.data_centre, &with_room));
        let without_room = partners.iter().filter(|name| !with_room.contains_key(*name));
        self.peers_without_room = without_room.cloned().collect();
        partners
    }

    /// Returns whether some data centre that isn't evacuated has targets and no live instance. Those of
    /// all other data centres own its targets.
    fn has_unserved_targets(&self, live: &BTreeMap<id::Instance, Member>) -> bool {
        let mut served: BTreeSet<&id::DataCentre> =
            live.values().map(|member| &member.data_centre).collect();
        served.insert(&self.options.member.data_centre);
        let is_usable = |name: &id::DataCentre| self.evacuations.may_start(name);
        let mut names = self.entries.values().map(|entry| &entry.data_centre);
        names.any(|name| !served.contains(name) && is_usable(name))
    }
}
