//! Runs that are lost with their targets: reports to all instances, and limits on further starts.

use super::{Command, Engine};
use crate::crash::{Evidence, Loss, Permit};
use crate::message::Message;
use crate::record::{Cause, Outcome, Record};
use crate::run::{End, Task};
use crate::target::{Ended, Phase};
use std::collections::{BTreeMap, BTreeSet};
use verbenapass::id;
use verbenapass::time::Timestamp;

/// Most losses that a newly linked peer is told; bounds the size of the message to about 100 kB.
const MAX_SENT_LOSSES: usize = 1_000;
/// Part of the listed targets of a service that a kind which crashes targets may take down before its
/// tasks wait. About as many again have crashed within the last second and aren't known yet.
const MAX_DOWN_PERMILLE: usize = 250;

impl Engine {
    /// Reports the runs that ended because their targets crashed or don't answer.
    pub(super) fn report_lost(&mut self, ended: &[Ended], now: Timestamp) {
        let losses = ended.iter().filter(|ended| ended.home.is_some()).filter_map(|ended| {
            let evidence = match ended.end {
                End::Crashed => Evidence::Crashed,
                End::Unreachable => Evidence::Suspected,
                End::Done
                | End::Failed
                | End::Stopped
                | End::Stalled
                | End::Lost
                | End::NotStarted
                | End::Outdated => return None,
            };
            Some(Loss {
                task: ended.run.task,
                kind: ended.kind.clone(),
                target: ended.target.clone()?,
                incarnation: ended.incarnation,
                evidence,
                was_alone: ended.was_alone,
            })
        });
        let losses: Vec<Loss> = losses.collect();
        self.spread_losses(&losses, now);
    }

    /// Reports a run whose owner was lost, and with it the knowledge of whether its target crashed.
    pub(super) fn report_orphan(&mut self, task: Task, now: Timestamp) {
        let Some(open_job) = self.jobs.get(&task.job) else { return };
        let Some((target, incarnation)) = open_job.job.target(task) else { return };
        let kind = open_job.job.submission().kind.clone();
        let evidence = Evidence::Suspected;
        let loss = Loss { task, kind, target, incarnation, evidence, was_alone: false };
        self.spread_losses(&[loss], now);
    }

    /// Records what an answer from a target, or in its place, tells about earlier losses there.
    pub(super) fn resolve_losses(&mut self, target: &id::Target, now: Timestamp) {
        let Some(owned) = self.owned.get(target) else { return };
        let is_answering = matches!(owned.phase(), Phase::Held | Phase::HandingOver);
        let incarnation = owned.entry().incarnation;
        let resolved = match (owned.is_replaced(), is_answering && !owned.is_silent()) {
            (true, _) => self.crashes.resolve(target, incarnation.saturating_add(1)),
            (false, true) => self.crashes.resolve(target, incarnation),
            (false, false) => return,
        };
        self.spread_losses(&resolved, now);
    }

    /// Returns what a newly linked peer must know about earlier losses, if there were any: it may have
    /// restarted, or may have been cut off when they were reported.
    pub(super) fn known_losses(&self) -> Option<Message> {
        let losses: Vec<Loss> = self.crashes.losses().take(MAX_SENT_LOSSES).collect();
        (!losses.is_empty()).then_some(Message::Losses(losses))
    }

    fn spread_losses(&mut self, losses: &[Loss], now: Timestamp) {
        if losses.is_empty() {
            return;
        }
        for peer in self.peers.keys() {
            let message = Message::Losses(losses.to_vec());
            self.commands.push(Command::Send { peer: peer.clone(), message });
        }
        self.apply_losses(losses, now);
    }

    /// Records losses and applies the new limits to the tasks of local jobs.
    pub(super) fn apply_losses(&mut self, losses: &[Loss], now: Timestamp) {
        self.count_kinds(losses, now);
        for loss in losses {
            if !self.crashes.record(loss, now) {
                continue;
            }
            let permit = self.crashes.permit(loss.task);
            self.limit_task(loss.task, permit, now);
            // The owner may know already whether the target has crashed.
            if loss.evidence == Evidence::Suspected {
                self.resolve_losses(&loss.target, now);
            }
        }
    }

    /// Counts the lost targets on which only one kind ran. Later reports of a loss don't count.
    fn count_kinds(&mut self, losses: &[Loss], now: Timestamp) {
        let mut kinds: BTreeMap<(&id::Target, u64), BTreeSet<&id::Kind>> = BTreeMap::new();
        for loss in losses {
            if loss.evidence != Evidence::Alive && !self.crashes.has_losses(loss.task) {
                let process = (&loss.target, loss.incarnation);
                kinds.entry(process).or_default().insert(&loss.kind);
            }
        }
        for kinds in kinds.into_values() {
            if let (Some(kind), 1) = (kinds.first(), kinds.len()) {
                let was_contained = self.containment.contains(kind, now);
                self.containment.record(kind, now);
                if !was_contained && self.containment.contains(kind, now) {
                    self.commands.push(Command::Log(Record::Contained((*kind).clone())));
                }
            }
        }
    }

    /// Returns whether the tasks of a kind wait: it crashes targets, and a large part of the listed ones
    /// has not answered since tasks of it were lost there.
    pub(super) fn is_suspended(
        &self,
        kind: &id::Kind,
        service: &id::Service,
        now: Timestamp,
    ) -> bool {
        if !self.containment.contains(kind, now) {
            return false;
        }
        let is_listed = |target: &&id::Target| {
            self.entries.get(*target).is_some_and(|entry| entry.service == *service)
        };
        let down = self.crashes.unresolved(kind).filter(is_listed).count();
        let listed = self.listed_counts.get(service).copied().unwrap_or_default();
        down > 0 && down * 1_000 >= listed * MAX_DOWN_PERMILLE
    }

    fn limit_task(&mut self, task: Task, permit: Permit, now: Timestamp) {
        let Some(open_job) = self.jobs.get_mut(&task.job) else { return };
        if permit != Permit::Anywhere {
            self.commands.push(Command::Log(Record::Limited { task, permit }));
        }
        if permit == Permit::Never {
            return self.finish(task.job, Outcome::Failed(Cause::Crashes), now);
        }
        open_job.job.set_permit(task.index, permit);
        self.update_indexes(task.job);
    }
}
