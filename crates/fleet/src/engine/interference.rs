//! Separation of kinds that slow each other down: evidence from owned targets, and the criterion for
//! the choice of a target.

use super::speed::Preference;
use super::{Command, Engine};
use crate::interference::{Sample, Table};
use crate::neighbour;
use crate::record::Record;
use crate::resource::Amount;
use crate::run::Key;
use crate::target::{Ended, Target, Transfer};
use std::collections::{BTreeSet, HashMap};
use verbenapass::id;
use verbenapass::time::Timestamp;

/// Evidence by service, and the runs on each owned target.
#[derive(Debug, Default)]
pub(super) struct Separation {
    tables: HashMap<id::Service, Table>,
    neighbours: HashMap<id::Target, neighbour::Set>,
    /// Number of placements that avoided a pair.
    avoided: u64,
}

impl Engine {
    /// Returns the number of pairs of kinds that are kept apart.
    pub fn separated_pairs(&self) -> usize {
        self.separation.tables.values().map(Table::pairs_in_force).sum()
    }

    /// Returns the number of placements that avoided a pair and weren't the best fit.
    pub fn avoided_pairs(&self) -> u64 {
        self.separation.avoided
    }

    /// Records that a run begins on an owned target.
    pub(super) fn begin_beside(
        &mut self,
        run: Key,
        kind: &id::Kind,
        target: &id::Target,
        now: Timestamp,
    ) {
        if self.options.separates_kinds {
            let neighbours = self.separation.neighbours.entry(target.clone()).or_default();
            neighbours.begin(run, kind, now);
        }
    }

    /// Records the runs that are taken over with a target.
    pub(super) fn take_over_beside(
        &mut self,
        target: &id::Target,
        runs: &[Transfer],
        now: Timestamp,
    ) {
        for transfer in runs {
            self.begin_beside(transfer.run, &transfer.kind, target, now);
        }
    }

    /// Learns from the end of a run.
    pub(super) fn end_beside(&mut self, id: &id::Target, ended: &Ended, now: Timestamp) {
        let neighbours = self.separation.neighbours.get_mut(id);
        let neighbours = neighbours.and_then(|neighbours| neighbours.end(ended.run, now));
        let Some(neighbours) = neighbours else { return };
        let Some(target) = self.owned.get(id) else { return };
        let Some(duration) = ended.duration else { return };
        let service = target.entry().service.clone();
        let sample = Sample {
            kind: &ended.kind,
            target: id,
            expected: ended.expected,
            duration,
            neighbours: &neighbours,
        };
        let changes = self.separation.tables.entry(service).or_default().record(&sample, now);
        let records = changes.into_iter().map(Record::Separation);
        self.commands.extend(records.map(Command::Log));
    }

    /// Forgets the runs on a target that is no longer owned, and the evidence of its service if it was
    /// the last one.
    pub(super) fn forget_beside(&mut self, id: &id::Target) {
        self.separation.neighbours.remove(id);
        let Separation { tables, .. } = &mut self.separation;
        let owned = &self.owned;
        tables.retain(|service, _| owned.values().any(|t| t.entry().service == *service));
    }

    /// Returns the kinds beside which a task of a kind should not be placed.
    pub(super) fn disturbing_kinds(
        &self,
        service: &id::Service,
        kind: &id::Kind,
    ) -> Option<&BTreeSet<id::Kind>> {
        self.separation.tables.get(service)?.partners(kind)
    }

    /// Returns whether a run on a target is of one of the kinds.
    pub(super) fn is_beside(
        &self,
        target: &id::Target,
        partners: Option<&BTreeSet<id::Kind>>,
    ) -> bool {
        let Some(partners) = partners else { return false };
        let neighbours = self.separation.neighbours.get(target);
        neighbours.is_some_and(|set| set.kinds().any(|kind| partners.contains(kind)))
    }

    /// Chooses a target as [`Self::choose`] does, and counts whether it avoided a pair. If it could
    /// not, an undisturbed target that needs a hold first gets one for a later task.
    pub(super) fn choose_apart(
        &mut self,
        service: &id::Service,
        kind: &id::Kind,
        amount: Amount,
        preference: Preference,
        now: Timestamp,
    ) -> Option<id::Target> {
        let chosen = self.choose(service, Some(kind), amount, preference, now)?;
        let Some(partners) = self.disturbing_kinds(service, kind).cloned() else {
            return Some(chosen);
        };
        if self.is_beside(&chosen, Some(&partners)) {
            let is_apart = |target: &Target| {
                target.entry().service == *service
                    && amount.fits(target.unconfirmed_room(now))
                    && !amount.fits(target.room(now))
                    && !self.is_beside(&target.entry().id, Some(&partners))
            };
            let spare = self.owned.values().find(|target| is_apart(target));
            let spare = spare.map(|target| target.entry().id.clone());
            if let Some(target) = spare.and_then(|id| self.owned.get_mut(&id)) {
                target.confirm_ownership(now);
            }
        } else if self.choose(service, None, amount, preference, now).as_ref() != Some(&chosen) {
            self.separation.avoided += 1;
        }
        Some(chosen)
    }
}
