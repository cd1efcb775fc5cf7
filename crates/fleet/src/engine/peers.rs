//! Peers: links that come up or go down, and messages.

use super::demand::PeerDemand;
use super::{Command, Engine, LOST_RUN_TIMEOUT, Peer, RELEASE_PAUSE, Report, UPDATE_INTERVAL};
use crate::generation::Generation;
use crate::job::Rank;
use crate::message::{Demand, Message};
use crate::record::Record;
use crate::roster::Member;
use crate::run::{self, Key};
use crate::speed::Factor;
use crate::target::{Target, Transfer};
use std::collections::BTreeMap;
use verbenapass::id;
use verbenapass::time::Timestamp;
use verbenapass::unit::Millis;

impl Engine {
    pub(super) fn peer_up(&mut self, peer: id::Instance, member: Member, now: Timestamp) {
        // A new session ends the former one, also if its loss wasn't reported.
        self.peer_down(&peer, now);
        let state = Peer { member, up_since: now, is_stopping: false, owned: Vec::new() };
        self.send_evacuations(&peer);
        self.commands.push(Command::Send { peer: peer.clone(), message: self.ownership() });
        if let Some(message) = self.known_losses() {
            self.commands.push(Command::Send { peer: peer.clone(), message });
        }
        if self.is_stopping {
            self.commands.push(Command::Send { peer: peer.clone(), message: Message::Stopping });
        }
        self.lost_peers.remove(&peer);
        self.peers.insert(peer, state);
        self.is_assignment_stale = true;
    }

    pub(super) fn peer_down(&mut self, peer: &id::Instance, now: Timestamp) {
        let Some(state) = self.peers.remove(peer) else { return };
        self.forget_demands(peer);
        if self.relinked_by.is_past(now) {
            self.lost_peers.insert(peer.clone());
        }
        let latest_end = now.plus(LOST_RUN_TIMEOUT);
        let ids: Vec<run::Job> = self.jobs.keys().copied().collect();
        for id in ids {
            let Some(open_job) = self.jobs.get_mut(&id) else { continue };
            if open_job.job.lose_peer(peer, latest_end) {
                self.update_indexes(id);
            }
        }
        for target in self.owned.values_mut() {
            target.stop_all(now, |_, home| home == Some(peer));
        }
        self.contested.extend(state.owned.iter().map(|(target, _)| target.clone()));
        self.update_peer_owned(&state.owned, &[]);
        self.is_assignment_stale = true;
    }

    fn forget_demands(&mut self, peer: &id::Instance) {
        self.demands.remove_peer(peer);
        self.sent_demands.remove_peer(peer);
    }

    pub(super) fn receive(&mut self, peer: &id::Instance, message: Message, now: Timestamp) {
        match message {
            Message::Owned(owned) => self.update_peer_ownership(peer, &owned, now),
            Message::Demand { service, demand } => {
                let Some(kind) = demand.kind.filter(|_| demand.tasks > 0) else {
                    return self.demands.remove(&service, peer);
                };
                if !self.peers.contains_key(peer) {
                    return self.demands.remove(&service, peer);
                }
                let rank = Rank {
                    is_unstarted: !demand.is_started,
                    priority: demand.priority,
                    start_by: after(now, demand.slack_ms),
                };
                let Demand { tasks, work, amount, smallest, limits, .. } = demand;
                let peer_demand = PeerDemand { tasks, work, rank, amount, kind, smallest, limits };
                self.demands.insert(service, peer.clone(), peer_demand);
            }
            Message::Grant { number, service, target, room, factor } => {
                self.use_grant(peer, number, &service, (&target, factor), room, now);
            }
            Message::Place { number, batches } => self.start_batches(peer, number, batches, now),
            Message::Cancel(keys) => self.cancel(peer, &keys, now),
            Message::Ended(runs) => {
                for (run, end, factor) in runs {
                    self.run_ended(run, Some(peer), end, factor, now);
                }
            }
            Message::Handover { target, generation, acknowledged, runs, factor } => {
                self.accept_handover(&target, generation, acknowledged, &runs, factor, now);
            }
            Message::Moved { to, runs } => self.runs_moved(&to, &runs, now),
            Message::Leaving { target, incarnation } => self.set_leaving(target, incarnation),
            Message::Capacity { target, incarnation, version, capacity } => {
                self.set_capacity(target, Report { incarnation, version, capacity }, now);
            }
            Message::Losses(losses) => self.apply_losses(&losses, now),
            Message::Evacuations(report) => self.evacuations_received(peer, &report),
            Message::Stopping => {
                if let Some(peer) = self.peers.get_mut(peer) {
                    peer.is_stopping = true;
                }
                self.is_assignment_stale = true;
            }
        }
    }

    pub(super) fn update_peer_ownership(
        &mut self,
        peer: &id::Instance,
        owned: &[(id::Target, Generation)],
        now: Timestamp,
    ) {
        for (target, generation) in owned {
            let known = self.known_generations.entry(target.clone()).or_default();
            *known = (*known).max(*generation);
            self.contested.remove(target);
        }
        let Some(state) = self.peers.get_mut(peer) else { return };
        if state.owned == owned {
            return;
        }
        let before = std::mem::replace(&mut state.owned, owned.to_vec());
        for (target, _) in &before {
            if !owned.iter().any(|(owned, _)| owned == target) {
                let until = self.claimable_at.entry(target.clone()).or_default();
                *until = (*until).max(now.plus(RELEASE_PAUSE));
            }
        }
        self.update_peer_owned(&before, owned);
    }

    pub(super) fn accept_handover(
        &mut self,
        id: &id::Target,
        generation: Generation,
        acknowledged: u64,
        runs: &[Transfer],
        factor: Factor,
        now: Timestamp,
    ) {
        let Some(entry) = self.entries.get(id).cloned() else { return };
        if self.owned.get(id).is_some_and(|former| !former.is_disputed()) {
            return;
        }
        let former = self.owned.remove(id);
        let seen = former.as_ref().map_or(generation, |former| generation.max(former.generation()));
        let mut target = Target::new(entry, seen, self.options.process, now).with_transfers(
            runs,
            acknowledged,
            |run| self.estimator.run_time(&run.kind, run.estimate).on(factor),
            now,
        );
        if let Some(former) = former {
            target = target.with_leftovers(&former, now);
        }
        self.insert_owned(target, runs);
        self.take_over_factor(id, factor, now);
        self.take_over_beside(id, runs, now);
        // The homes are told by both owners: the former one may have lost its link to a home.
        let own = self.options.instance.clone();
        self.announce_move(&own, runs, now);
        // Stops runs whose home isn't linked here: it could neither learn of their end nor stop
        // them.
        let peers = &self.peers;
        if let Some(target) = self.owned.get_mut(id) {
            let is_lost = |home: &id::Instance| *home != own && !peers.contains_key(home);
            target.stop_all(now, |_, home| home.is_some_and(is_lost));
        }
    }

    /// Stops runs of a peer's jobs.
    fn cancel(&mut self, peer: &id::Instance, keys: &[Key], now: Timestamp) {
        let (runs, found) = (keys.len(), self.stop_runs(peer, keys, now));
        if found < runs {
            let record = Record::Cancelled { peer: peer.clone(), runs, missing: runs - found };
            self.commands.push(Command::Log(record));
        }
    }

    /// Tells the homes of runs that these have moved, with their target, to another owner.
    pub(super) fn announce_move(&mut self, to: &id::Instance, runs: &[Transfer], now: Timestamp) {
        let mut homes: BTreeMap<id::Instance, Vec<Key>> = BTreeMap::new();
        for run in runs {
            homes.entry(run.home.clone()).or_default().push(run.run);
        }
        for (home, runs) in homes {
            if home == self.options.instance {
                self.runs_moved(to, &runs, now);
            } else {
                let message = Message::Moved { to: to.clone(), runs };
                self.commands.push(Command::Send { peer: home, message });
            }
        }
    }

    /// Records that runs of local jobs have moved, with their target, to another owner. Cancels those
    /// that are no longer needed.
    pub(super) fn runs_moved(&mut self, to: &id::Instance, runs: &[Key], now: Timestamp) {
        let owner = (*to != self.options.instance).then_some(to);
        let is_reachable = owner.is_none_or(|owner| self.peers.contains_key(owner));
        let mut unneeded = Vec::new();
        for key in runs {
            let id = key.task.job;
            let open_job = self.jobs.get_mut(&id).filter(|open_job| open_job.job.is_placed(*key));
            let Some(open_job) = open_job else {
                unneeded.push(*key);
                continue;
            };
            open_job.job.set_owner(*key, owner);
            if !is_reachable {
                open_job.job.lose_peer(to, now.plus(LOST_RUN_TIMEOUT));
            }
            self.update_indexes(id);
        }
        match owner {
            None => {
                let own = self.options.instance.clone();
                self.stop_runs(&own, &unneeded, now);
            }
            Some(owner) if !unneeded.is_empty() => {
                let message = Message::Cancel(unneeded);
                self.commands.push(Command::Send { peer: owner.clone(), message });
            }
            Some(_) => {}
        }
    }

    pub(super) fn stop(&mut self) {
        self.is_stopping = true;
        self.is_assignment_stale = true;
        for peer in self.peers.keys() {
            let message = Message::Stopping;
            self.commands.push(Command::Send { peer: peer.clone(), message });
        }
    }

    pub(super) fn ownership(&self) -> Message {
        // Targets that are only probed may have another owner.
        let owned = self.owned.iter().filter(|(_, target)| !target.is_probing());
        Message::Owned(owned.map(|(id, target)| (id.clone(), target.generation())).collect())
    }

    /// Sends the ends of peers' runs, and the list of owned targets if it has changed.
    pub(super) fn report(&mut self, now: Timestamp) {
        for (peer, runs) in std::mem::take(&mut self.reports) {
            let message = Message::Ended(runs);
            self.commands.push(Command::Send { peer, message });
        }
        if !self.is_ownership_sent && self.earliest_ownership_update.is_past(now) {
            self.is_ownership_sent = true;
            self.earliest_ownership_update = now.plus(UPDATE_INTERVAL);
            let message = self.ownership();
            for peer in self.peers.keys() {
                let message = message.clone();
                self.commands.push(Command::Send { peer: peer.clone(), message });
            }
        }
    }
}

fn after(now: Timestamp, slack_ms: i64) -> Timestamp {
    match u64::try_from(slack_ms) {
        Ok(millis) => now.plus(Millis::new(millis)),
        Err(_) => {
            let past = slack_ms.unsigned_abs().saturating_mul(1_000);
            Timestamp::from_micros(now.as_micros().saturating_sub(past))
        }
    }
}
