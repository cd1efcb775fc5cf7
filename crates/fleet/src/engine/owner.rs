//! Owned targets: assignment, claims, handovers, and failure detection from the results of runs.

use super::{
    Command, Engine, HANDOVER_GRACE, MIN_OWNERSHIP_TIME, PAIRS_PER_INTERVAL, REPORT_TTL, Report,
    UPDATE_INTERVAL,
};
use crate::generation::Generation;
use crate::message::Message;
use crate::order::{HoldAnswer, StartAnswer, StopAnswer};
use crate::record::Record;
use crate::roster::{self, Member};
use crate::run::{End, Key};
use crate::speed::Factor;
use crate::target::{Ended, Entry, Phase, Target, Transfer};
use std::collections::{BTreeMap, BTreeSet};
use verbenapass::ejection::{self, Detector};
use verbenapass::id;
use verbenapass::time::Timestamp;
use verbenapass::unit::{Millis, Permille};

impl Engine {
    pub(super) fn hold_answered(
        &mut self,
        id: &id::Target,
        number: u64,
        answer: HoldAnswer,
        now: Timestamp,
    ) {
        let Some(target) = self.owned.get_mut(id) else { return };
        let phase = target.phase();
        let was_silent = target.is_silent();
        let incarnation = target.entry().incarnation;
        let was_replaced = target.is_replaced();
        target.hold_answered(number, answer, now, &mut self.ended);
        let has_crashed = target.is_replaced() && !was_replaced;
        if has_crashed || target.entry().incarnation > incarnation {
            let record = Record::Crashed { target: id.clone(), incarnation, runs: target.len() };
            self.commands.push(Command::Log(record));
        }
        let generation = target.generation();
        self.is_ownership_sent &= phase == target.phase();
        self.resolve_losses(id, now);
        let Some(target) = self.owned.get(id) else { return };
        let record = match (phase, target.phase()) {
            (Phase::Claiming, Phase::Held) => Record::Held { target: id.clone(), generation },
            (Phase::Held | Phase::HandingOver, Phase::Fenced { .. }) => {
                return self.log_fence(id, phase);
            }
            _ if !was_silent && target.is_silent() => Record::Silent(id.clone()),
            _ if was_silent && !target.is_silent() => Record::Answering(id.clone()),
            _ => return,
        };
        self.is_capacity_stale = true;
        self.commands.push(Command::Log(record));
    }

    pub(super) fn start_answered(
        &mut self,
        id: &id::Target,
        run: Key,
        answer: StartAnswer,
        clock_ms: Option<u64>,
        now: Timestamp,
    ) {
        let Some(target) = self.owned.get_mut(id) else { return };
        let phase = target.phase();
        target.start_answered(run, answer, clock_ms, now, &mut self.ended);
        self.log_fence(id, phase);
    }

    pub(super) fn stop_answered(
        &mut self,
        id: &id::Target,
        run: Key,
        answer: StopAnswer,
        clock_ms: Option<u64>,
        now: Timestamp,
    ) {
        let Some(target) = self.owned.get_mut(id) else { return };
        let phase = target.phase();
        target.stop_answered(run, answer, clock_ms, now);
        self.log_fence(id, phase);
    }

    /// Logs that another owner has taken a target, if it was in phase `before` before that.
    fn log_fence(&mut self, id: &id::Target, before: Phase) {
        let Some(target) = self.owned.get(id) else { return };
        let was_held = matches!(before, Phase::Held | Phase::HandingOver);
        if was_held && matches!(target.phase(), Phase::Fenced { .. }) {
            let generation = target.generation();
            self.is_capacity_stale = true;
            self.commands.push(Command::Log(Record::Fenced { target: id.clone(), generation }));
        }
    }

    pub(super) fn poll_targets(&mut self, now: Timestamp) {
        let mut released = Vec::new();
        let mut slow = Vec::new();
        for (id, target) in &mut self.owned {
            if target.next_deadline().is_past(now) {
                target.poll(now, &mut self.orders, &mut self.ended);
                slow.extend(target.take_slow().into_iter().map(|kind| (id.clone(), kind)));
            }
            let is_listed = !self.unlisted.contains(id);
            if !is_listed && target.has_expired() {
                target.abandon(&mut self.ended);
            }
            if !target.is_empty() {
                continue;
            }
            match target.phase() {
                Phase::Fenced { until } => {
                    self.claimable_at.insert(id.clone(), until);
                    self.contested.insert(id.clone());
                    self.known_generations.insert(id.clone(), target.generation());
                    released.push(id.clone());
                }
                _ if !is_listed => released.push(id.clone()),
                _ => {}
            }
        }
        for (id, kind) in slow {
            self.record_evidence(&id, kind, true, now);
        }
        for id in released {
            self.remove_owned(&id);
            self.is_rebalance_due = true;
            self.commands.push(Command::Log(Record::Released(id)));
        }
        self.commands.extend(self.orders.drain(..).map(Command::Order));
    }

    /// Passes the ends of runs to their homes.
    pub(super) fn forward_ended(&mut self, now: Timestamp) {
        while !self.ended.is_empty() {
            let ended = std::mem::take(&mut self.ended);
            // Homes must know of the loss when they decide whether to restart the task.
            self.report_lost(&ended, now);
            for ended in ended {
                let Some(home) = ended.home.clone() else { continue };
                let mut factor = Factor::ONE;
                if let Some(target) = &ended.target {
                    self.record_result(target, &ended, now);
                    self.record_speed(target, &ended, now);
                    self.end_beside(target, &ended, now);
                    factor = self.factor_of(target);
                }
                if home == self.options.instance {
                    self.run_ended(ended.run, None, ended.end, factor, now);
                } else {
                    self.reports.entry(home).or_default().push((ended.run, ended.end, factor));
                }
            }
        }
    }

    /// Feeds the end of a run to the failure detector of its target.
    pub(super) fn record_result(&mut self, id: &id::Target, ended: &Ended, now: Timestamp) {
        if ended.end != End::Done {
            self.commands.push(Command::Log(Record::Run {
                run: ended.run,
                target: id.clone(),
                home: ended.home.clone(),
                end: ended.end,
                incarnation: ended.incarnation,
                was_alone: ended.was_alone,
            }));
        }
        let is_failure = match ended.end {
            // Slow runs were counted as failures when they became slow.
            End::Done | End::Stalled if ended.was_slow => return,
            End::Done => false,
            End::Failed | End::Stalled | End::NotStarted => true,
            End::Stopped | End::Lost | End::Outdated | End::Crashed | End::Unreachable => return,
        };
        self.record_evidence(id, ended.kind.clone(), is_failure, now);
    }

    /// Counts a result of a target for or against it.
    fn record_evidence(
        &mut self,
        id: &id::Target,
        kind: id::Kind,
        is_failure: bool,
        now: Timestamp,
    ) {
        let Some(entry) = self.owned.get(id).map(Target::entry) else { return };
        let Ok(team) = entry.service.as_str().parse() else { return };
        let targets = self.listed_counts.get(&entry.service).copied().unwrap_or_default();
        let detector = self
            .detectors
            .entry(entry.service.clone())
            .or_insert_with(|| Detector::new(detector_options()));
        let class = (team, kind);
        if detector.record(id, &class, is_failure, targets, now)
            && matches!(detector.state(id, now), ejection::State::Ejected(_))
        {
            self.commands.push(Command::Log(Record::Ejected(id.clone())));
        }
    }

    pub(super) fn update_entries(&mut self, entries: Vec<Entry>, now: Timestamp) {
        let mut listed = BTreeMap::new();
        self.has_list = true;
        self.listed_counts.clear();
        for mut entry in entries {
            // The own list may be older than what a peer has seen.
            let reported = self.reported_leaving.get(&entry.id);
            entry.is_leaving |= reported.is_some_and(|reported| *reported >= entry.incarnation);
            *self.listed_counts.entry(entry.service.clone()).or_default() += 1;
            let known = self.entries.get(&entry.id);
            let begins_to_leave = entry.is_leaving && known.is_some_and(|known| !known.is_leaving);
            let is_resized = known.is_some_and(|known| {
                known.incarnation == entry.incarnation && known.capacity != entry.capacity
            });
            if begins_to_leave {
                self.commands.push(Command::Log(Record::Leaving(entry.id.clone())));
                let (target, incarnation) = (entry.id.clone(), entry.incarnation);
                self.tell_owner(&entry.id, &Message::Leaving { target, incarnation });
            }
            if is_resized {
                let Entry { id: target, incarnation, version, capacity, .. } = entry.clone();
                let message = Message::Capacity { target, incarnation, version, capacity };
                self.tell_owner(&entry.id, &message);
            }
            self.apply_report(&mut entry, now);
            self.record_nominal_capacity(&entry);
            if let Some(target) = self.owned.get_mut(&entry.id) {
                target.update(entry.clone(), now);
            }
            listed.insert(entry.id.clone(), entry);
        }
        self.entries = listed;
        self.reported_leaving.retain(|id, _| self.entries.contains_key(id));
        self.reported_capacities.retain(|id, _| self.entries.contains_key(id));
        self.nominal_capacities.retain(|id, _| self.entries.contains_key(id));
        self.contested.retain(|id| self.entries.contains_key(id));
        self.is_capacity_stale = true;
        self.unlisted.clear();
        for (id, target) in &mut self.owned {
            if !self.entries.contains_key(id) {
                target.set_leaving();
                self.unlisted.insert(id.clone());
            }
        }
        self.is_assignment_stale = true;
    }

    /// Handles that a peer has seen that an incarnation of a target leaves.
    pub(super) fn set_leaving(&mut self, id: id::Target, incarnation: u64) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        if entry.incarnation > incarnation {
            return;
        }
        entry.is_leaving = true;
        self.is_capacity_stale = true;
        if let Some(target) = self.owned.get_mut(&id) {
            target.set_leaving();
        }
        self.reported_leaving.insert(id, incarnation);
    }

    /// Handles that a peer has read a capacity that the own list may not have yet.
    pub(super) fn set_capacity(&mut self, id: id::Target, report: Report, now: Timestamp) {
        let Some(mut entry) = self.entries.get(&id).cloned() else { return };
        let known = self.reported_capacities.get(&id);
        if known.is_some_and(|(known, _)| known.version > report.version) {
            return;
        }
        self.reported_capacities.insert(id, (report, now.plus(REPORT_TTL)));
        self.apply_report(&mut entry, now);
        self.record_nominal_capacity(&entry);
        self.is_capacity_stale = true;
        if let Some(target) = self.owned.get_mut(&entry.id) {
            target.update(entry.clone(), now);
        }
        self.entries.insert(entry.id.clone(), entry);
    }

    /// Gives a list entry the capacity that a peer has reported, if that is newer.
    fn apply_report(&mut self, entry: &mut Entry, now: Timestamp) {
        if let Some((report, until)) = self.reported_capacities.get(&entry.id).copied() {
            if until.is_past(now) || report.version <= entry.version {
                self.reported_capacities.remove(&entry.id);
            } else if report.incarnation == entry.incarnation {
                entry.capacity = report.capacity;
            }
        }
    }

    fn record_nominal_capacity(&mut self, entry: &Entry) {
        match self.nominal_capacities.get_mut(&entry.id) {
            Some((incarnation, capacity)) if *incarnation == entry.incarnation => {
                *capacity = capacity.max(entry.capacity);
            }
            _ => {
                let nominal = (entry.incarnation, entry.capacity);
                self.nominal_capacities.insert(entry.id.clone(), nominal);
            }
        }
    }

    /// Tells a peer, before it takes a target over, what its own list may not have yet.
    fn tell_new_owner(&mut self, id: &id::Target, to: &id::Instance) {
        let leaving = self.entries.get(id).filter(|entry| entry.is_leaving);
        let leaving = leaving
            .map(|entry| Message::Leaving { target: id.clone(), incarnation: entry.incarnation });
        let capacity = self.reported_capacities.get(id).map(|(report, _)| {
            let Report { incarnation, version, capacity } = *report;
            Message::Capacity { target: id.clone(), incarnation, version, capacity }
        });
        let messages = leaving.into_iter().chain(capacity);
        self.commands.extend(messages.map(|message| Command::Send { peer: to.clone(), message }));
    }

    /// Sends news of a target to the peers that own it.
    fn tell_owner(&mut self, id: &id::Target, message: &Message) {
        for (name, peer) in &self.peers {
            if peer.owned.iter().any(|(owned, _)| owned == id) {
                self.commands.push(Command::Send { peer: name.clone(), message: message.clone() });
            }
        }
    }

    /// Claims unowned targets that are assigned to this instance, and begins the handover of owned
    /// ones that are assigned to a peer.
    pub(super) fn rebalance(&mut self, now: Timestamp) {
        if !self.is_assignment_stale && !self.is_rebalance_due && !self.rebalance_at.is_past(now) {
            return;
        }
        if !self.earliest_rebalance.is_past(now) {
            self.rebalance_at = self.rebalance_at.min(self.earliest_rebalance);
            return;
        }
        let pairs = (self.peers.len() + 1) * self.entries.len();
        let scale = (pairs / PAIRS_PER_INTERVAL).max(1) as u64;
        self.earliest_rebalance = now.plus(Millis::new(UPDATE_INTERVAL.get() * scale));
        self.is_rebalance_due = false;
        let may_claim = self.may_claim_at.is_past(now);
        self.rebalance_at = if may_claim { Timestamp::MAX } else { self.may_claim_at };
        if !self.start_grace_ends_at.is_past(now) {
            self.rebalance_at = self.rebalance_at.min(self.start_grace_ends_at);
        }
        // After `START_GRACE`, instances that aren't linked no longer count as live.
        if std::mem::take(&mut self.is_assignment_stale) || self.has_unlinked_members {
            self.assign(now);
        }
        self.drop_probes();
        let own = &self.options.instance;
        let assigned = self.assigned.iter().filter(|(_, owner)| *owner == own).map(|(id, _)| id);
        let mut ids: BTreeSet<id::Target> = assigned.cloned().collect();
        ids.extend(self.owned.keys().filter(|id| !self.unlisted.contains(*id)).cloned());
        for id in ids {
            let is_own = match self.assigned.get(&id) {
                Some(owner) => *owner == self.options.instance,
                // Leaving targets are not assigned; they keep their owner.
                None => self.owned.contains_key(&id) && !self.is_stopping,
            };
            match self.owned.get_mut(&id) {
                Some(target) if is_own => target.cancel_handover(),
                Some(target) => {
                    let new_owner = self.assigned.get(&id).and_then(|owner| self.peers.get(owner));
                    match new_owner {
                        Some(peer) if !self.is_stopping => {
                            let kept_until = target.owned_since().plus(MIN_OWNERSHIP_TIME);
                            let handover_at = peer.up_since.plus(HANDOVER_GRACE).max(kept_until);
                            if handover_at.is_past(now) {
                                target.begin_handover();
                            } else {
                                self.rebalance_at = self.rebalance_at.min(handover_at);
                            }
                        }
                        _ if self.is_stopping && !self.peers.is_empty() => target.begin_handover(),
                        _ => {}
                    }
                }
                None if is_own && may_claim => self.claim(&id, now),
                None => {}
            }
        }
    }

    /// Computes the partners of this instance and the assigned owner of each target that it may
    /// have to claim or to hand over: those in its own data centre, in data centres without a live
    /// instance, and in those of its owned targets.
    pub(super) fn assign(&mut self, now: Timestamp) {
        let mut live: BTreeMap<id::Instance, Member> = self
            .peers
            .iter()
            .filter(|(_, peer)| !peer.is_stopping)
            .map(|(name, peer)| (name.clone(), peer.member.clone()))
            .collect();
        let partners = self.choose_partners(&live);
        self.has_new_partners |= partners != self.partners;
        self.partners = partners;
        let (own, member) = (&self.options.instance, &self.options.member);
        self.has_unlinked_members = !self.start_grace_ends_at.is_past(now);
        if self.has_unlinked_members {
            let expected = self.members.iter().filter(|(name, _)| !self.lost_peers.contains(*name));
            for (name, member) in expected.filter(|(name, _)| **name != *own) {
                live.entry(name.clone()).or_insert_with(|| member.clone());
            }
        }
        // Without a peer to hand over to, an instance that shuts down keeps serving until it exits.
        if !self.is_stopping || live.is_empty() {
            live.insert(own.clone(), member.clone());
        }
        let served: BTreeSet<&id::DataCentre> =
            live.values().map(|member| &member.data_centre).collect();
        let owned: BTreeSet<&id::DataCentre> =
            self.owned.values().map(|target| &target.entry().data_centre).collect();
        let own_data_centre = &self.options.member.data_centre;
        let targets = self.entries.values().filter(|entry| {
            let data_centre = &entry.data_centre;
            let may_be_own = data_centre == own_data_centre
                || owned.contains(data_centre)
                || !served.contains(data_centre);
            !entry.is_leaving && may_be_own
        });
        self.assigned = roster::assign(targets.map(|e| (&e.id, &e.data_centre)), &live);
    }

    /// Removes targets that are only probed and that a peer owns or is assigned to.
    pub(super) fn drop_probes(&mut self) {
        let dropped: Vec<id::Target> = self
            .owned
            .iter()
            .filter(|(id, target)| {
                let is_own = self.assigned.get(*id) == Some(&self.options.instance);
                target.is_probing() && (!is_own || self.is_owned_by_peer(id))
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in dropped {
            self.remove_owned(&id);
            self.commands.push(Command::Log(Record::Released(id)));
        }
    }

    pub(super) fn is_owned_by_peer(&self, id: &id::Target) -> bool {
        self.peer_owned.contains_key(id)
    }

    /// Updates the owner counts after a peer's set of targets has changed.
    pub(super) fn update_peer_owned(
        &mut self,
        before: &[(id::Target, Generation)],
        after: &[(id::Target, Generation)],
    ) {
        for (target, _) in after {
            *self.peer_owned.entry(target.clone()).or_default() += 1;
        }
        for (target, _) in before {
            if let Some(owners) = self.peer_owned.get_mut(target) {
                *owners -= 1;
                if *owners == 0 {
                    self.peer_owned.remove(target);
                }
            }
        }
        self.is_capacity_stale = true;
        self.is_rebalance_due = true;
    }

    /// Returns the peers with which this instance exchanges tasks, or `None` if they haven't
    /// changed since the last call.
    pub fn take_partners(&mut self) -> Option<BTreeSet<id::Instance>> {
        std::mem::take(&mut self.has_new_partners).then(|| self.partners.clone())
    }

    pub(super) fn claim(&mut self, id: &id::Target, now: Timestamp) {
        if self.is_owned_by_peer(id) {
            return;
        }
        if let Some(until) = self.claimable_at.get(id).copied() {
            if !until.is_past(now) {
                self.rebalance_at = self.rebalance_at.min(until);
                return;
            }
            self.claimable_at.remove(id);
        }
        let Some(entry) = self.entries.get(id).cloned() else { return };
        let known = self.known_generations.get(id).copied().unwrap_or_default();
        let target = Target::new(entry, known, self.options.process, now);
        let is_contested = self.contested.remove(id);
        self.insert_owned(if is_contested { target.with_contender() } else { target }, &[]);
    }

    pub(super) fn insert_owned(&mut self, target: Target, transfers: &[Transfer]) {
        let id = target.entry().id.clone();
        self.commands.push(Command::Log(Record::Claim {
            target: id.clone(),
            generation: target.generation(),
            runs: transfers.len(),
        }));
        self.owned.insert(id, target);
        self.is_capacity_stale = true;
        self.is_ownership_sent = false;
    }

    fn remove_owned(&mut self, id: &id::Target) {
        self.owned.remove(id);
        self.forget_beside(id);
        self.unlisted.remove(id);
        self.is_capacity_stale = true;
        self.is_ownership_sent = false;
    }

    /// Hands over targets on which no start or stop is in flight.
    pub(super) fn hand_over(&mut self, now: Timestamp) {
        let mut handovers = Vec::new();
        for (id, target) in &self.owned {
            let Some((runs, acknowledged)) = target.transfers() else { continue };
            let fallback = || self.peers.iter().find(|(_, p)| !p.is_stopping).map(|(name, _)| name);
            let to = self.assigned.get(id).filter(|to| self.peers.contains_key(*to));
            let Some(to) = to.or_else(fallback) else { continue };
            let factor = self.factor(target);
            handovers.push((
                id.clone(),
                to.clone(),
                target.generation(),
                acknowledged,
                runs,
                factor,
            ));
        }
        for (target, to, generation, acknowledged, runs, factor) in handovers {
            self.remove_owned(&target);
            self.known_generations.insert(target.clone(), generation);
            let record =
                Record::Handover { target: target.clone(), to: to.clone(), runs: runs.len() };
            self.commands.push(Command::Log(record));
            self.announce_move(&to, &runs, now);
            self.tell_new_owner(&target, &to);
            let message = Message::Handover { target, generation, acknowledged, runs, factor };
            self.commands.push(Command::Send { peer: to, message });
        }
    }
}

/// Uses a low minimum of results: a target holds only two or three tasks at a time, and one that
/// fails them at once looks idle and attracts more. The half-life is that of a few tasks, so that a
/// long good record doesn't hide a target that has turned bad.
fn detector_options() -> ejection::Options {
    ejection::Options {
        min_results: 2.0,
        max_ejected: Permille::new(300),
        half_life: Millis::new(1_000),
        ..ejection::Options::default()
    }
}
