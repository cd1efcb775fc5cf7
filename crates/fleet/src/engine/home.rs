//! Jobs at their home: acceptance, answers, deadlines and the ends of their runs.

use super::{Command, Engine, FORMER_LIFE, MAX_FORMER, Slot};
use crate::admission::{self, Capacity, Decision, Load, Reason};
use crate::job::{Job, Submission, Verdict};
use crate::message::Message;
use crate::record::{Cause, Outcome, Record, Summary};
use crate::run::{self, End, Key};
use std::collections::HashMap;
use verbenapass::id;
use verbenapass::time::Timestamp;
use verbenapass::unit::{Micros, Millis};

impl Engine {
    pub(super) fn submit(&mut self, submission: Submission, now: Timestamp) {
        let mut job = Job::new(submission, now);
        // Ends of runs of an earlier submission may still be on their way here.
        if let Some((number, _)) = self.former.get(&job.submission().id) {
            job = job.with_first_run(*number);
        }
        let load = self.load(&job);
        if self.is_stopping && self.peers.is_empty() && self.owned.is_empty() {
            return self.refuse(&job, Reason::Stopping, load, now);
        }
        if self.jobs.contains_key(&job.submission().id) {
            // Its runs may be under way, so that it cannot be called not run.
            return self.answer(&job, Outcome::GivenUp(Reason::Duplicate), Some(load), now);
        }
        match admission::decide(&load, job.start_by(), now) {
            Decision::Accept => {}
            Decision::Refuse(reason) => return self.refuse(&job, reason, load, now),
            Decision::Fail => {
                let outcome = Outcome::Failed(Cause::NeverFits);
                return self.answer(&job, outcome, Some(load), now);
            }
        }
        let id = job.submission().id;
        self.callers.insert(job.submission().caller, id);
        self.jobs.insert(id, Slot { job, load, queued: None, due: Timestamp::MAX });
        self.update_indexes(id);
    }

    pub(super) fn load(&mut self, job: &Job) -> Load {
        self.update_capacities();
        let submission = job.submission();
        let rank = job.rank();
        let Some(capacity) = self.capacities.get(&submission.service) else {
            return Load::default();
        };
        let mut load = capacity.load(submission.amount);
        let total = capacity.total();
        let (mut ahead, mut own) = (0_u64, 0_u64);
        for (other, id) in &self.queue {
            let Some(slot) = self.jobs.get(id) else { continue };
            if slot.job.submission().service != submission.service {
                continue;
            }
            let work = slot.job.work(total).get();
            own = own.saturating_add(work);
            if *other <= rank {
                ahead = ahead.saturating_add(work);
            }
        }
        let mut all = own;
        for peer in self.peers.values() {
            if let Some(wanted) = peer.wanted.get(&submission.service) {
                all = all.saturating_add(wanted.work.get());
            }
        }
        // Peers tell the sum only; their order is taken to be like the own one.
        let peers_ahead = match own {
            0 => all,
            _ => (all - own).saturating_mul(ahead) / own,
        };
        load.ahead = Micros::new(ahead.saturating_add(peers_ahead));
        load.backlog = Micros::new(all);
        load
    }

    /// Sums up what the targets of each service have, if that may have changed.
    pub(super) fn update_capacities(&mut self) {
        if !std::mem::take(&mut self.is_capacity_stale) {
            return;
        }
        let mut capacities: HashMap<id::Service, Capacity> = HashMap::new();
        for (id, entry) in &self.entries {
            let is_reachable = match self.owned.get(id) {
                Some(target) => !target.is_silent(),
                None => self.is_owned_elsewhere(id),
            };
            let capacity = capacities.entry(entry.service.clone()).or_default();
            capacity.insert(entry.capacity, is_reachable && !entry.is_leaving);
        }
        self.capacities = capacities;
    }

    pub(super) fn refuse(&mut self, job: &Job, reason: Reason, load: Load, now: Timestamp) {
        let retry_after = admission::retry_after(&load, &mut self.random);
        self.answer(job, Outcome::Refused(reason, retry_after), Some(load), now);
    }

    pub(super) fn answer(
        &mut self,
        job: &Job,
        outcome: Outcome,
        load: Option<Load>,
        now: Timestamp,
    ) {
        let submission = job.submission();
        let millis = |from: Timestamp, to: Timestamp| Millis::new(to.since(from).get() / 1_000);
        self.commands.push(Command::Log(Record::Job(Summary {
            job: submission.id,
            kind: submission.kind.clone(),
            version: submission.version,
            tasks: submission.tasks,
            moved: job.moved(),
            waited: job.first_placed_at().map(|at| millis(job.arrived(), at)),
            elapsed: millis(job.arrived(), now),
            outcome,
            load,
        })));
        self.commands.push(Command::Answer { caller: submission.caller, outcome });
    }

    pub(super) fn hang_up(&mut self, caller: id::Caller, now: Timestamp) {
        if let Some(id) = self.callers.get(&caller).copied() {
            self.commands.push(Command::Log(Record::Hangup(id)));
            self.remove(id, now);
        }
    }

    /// Answers a job and stops what is left of it.
    pub(super) fn finish(&mut self, id: run::Job, outcome: Outcome, now: Timestamp) {
        if let Some(slot) = self.remove(id, now) {
            self.answer(&slot.job, outcome, Some(slot.load), now);
        }
    }

    pub(super) fn remove(&mut self, id: run::Job, now: Timestamp) -> Option<Slot> {
        let slot = self.jobs.remove(&id)?;
        if slot.job.may_have_run() && !slot.job.is_complete() {
            if self.former.len() >= MAX_FORMER {
                self.former.retain(|_, (_, until)| !until.is_past(now));
            }
            self.former.insert(id, (slot.job.next_run(), now.plus(FORMER_LIFE)));
        }
        self.callers.remove(&slot.job.submission().caller);
        self.due.remove(&(slot.due, id));
        if let Some(rank) = slot.queued {
            self.queue.remove(&(rank, id));
        }
        self.stop_runs(&slot.job.placed_at(None), now);
        for owner in slot.job.owners() {
            let keys = slot.job.placed_at(Some(&owner));
            self.commands.push(Command::Send { peer: owner, message: Message::Cancel(keys) });
        }
        Some(slot)
    }

    pub(super) fn stop_runs(&mut self, keys: &[Key], now: Timestamp) {
        for key in keys {
            if let Some(target) = self.locations.get(key).and_then(|id| self.owned.get_mut(id)) {
                target.stop(*key, now);
            }
        }
    }

    /// Puts a job where its rank and its next deadline belong.
    pub(super) fn update_indexes(&mut self, id: run::Job) {
        let Some(slot) = self.jobs.get_mut(&id) else { return };
        let queued = (slot.job.waiting() > 0).then(|| slot.job.rank());
        if queued != slot.queued {
            if let Some(rank) = slot.queued {
                self.queue.remove(&(rank, id));
            }
            if let Some(rank) = queued {
                self.queue.insert((rank, id));
            }
            slot.queued = queued;
        }
        let due = slot.job.next_deadline();
        if due != slot.due {
            self.due.remove(&(slot.due, id));
            self.due.insert((due, id));
            slot.due = due;
        }
    }

    pub(super) fn run_ended(&mut self, key: Key, end: End, now: Timestamp) {
        let id = key.task.job;
        let Some(slot) = self.jobs.get_mut(&id) else { return };
        match slot.job.ended(key, end, now) {
            Verdict::Unknown => {}
            Verdict::Continue => self.update_indexes(id),
            Verdict::Complete => self.finish(id, Outcome::Succeeded, now),
            Verdict::Failed => self.finish(id, Outcome::Failed(Cause::Attempts), now),
            Verdict::GiveUp => self.give_up(id, Reason::Lost, now),
        }
    }

    /// Ends a job that cannot be of use any more, with an answer that says whether any of it ran.
    pub(super) fn give_up(&mut self, id: run::Job, reason: Reason, now: Timestamp) {
        let Some(slot) = self.jobs.get(&id) else { return };
        if !slot.job.may_have_run() {
            let retry_after = admission::retry_after(&slot.load, &mut self.random);
            return self.finish(id, Outcome::Refused(reason, retry_after), now);
        }
        self.finish(id, Outcome::GivenUp(reason), now);
    }

    pub(super) fn run_due(&mut self, now: Timestamp) {
        while let Some(&(due, id)) = self.due.first() {
            if !due.is_past(now) {
                return;
            }
            let Some(slot) = self.jobs.get_mut(&id) else {
                self.due.pop_first();
                continue;
            };
            slot.job.resume(now);
            let settled = slot.job.settled(now);
            let submission = slot.job.submission();
            if submission.deadline.is_past(now) {
                self.give_up(id, Reason::Expired, now);
                continue;
            }
            let is_late = slot.job.start_by().is_past(now) && !slot.job.may_have_run();
            let is_useless = slot.job.useful_until().is_past(now) && slot.job.unplaced() > 0;
            if slot.job.unplaced() > 0 && is_late || is_useless {
                self.give_up(id, Reason::TooLate, now);
                continue;
            }
            if slot.job.hopeless_at().is_past(now) {
                self.give_up(id, Reason::Lost, now);
                continue;
            }
            for key in settled {
                self.run_ended(key, End::Lost, now);
            }
            self.update_indexes(id);
        }
    }
}
