//! Jobs at their home instance: admission, answers, deadlines and the ends of their runs.

use super::{
    Command, Engine, FIRST_CLAIMS_TIMEOUT, MAX_RETAINED_RUN_NUMBERS, OpenJob, PEERS_KNOWN_GRACE,
    RUN_NUMBER_RETENTION,
};
use crate::admission::{self, Capacity, Decision, Load, Reason};
use crate::crash::Permit;
use crate::job::{Job, Submission, Verdict};
use crate::message::Message;
use crate::record::{Cause, Outcome, Record, Summary};
use crate::run::{self, End, Key, Number};
use crate::speed::Factor;
use crate::target::Phase;
use std::collections::{HashMap, HashSet};
use verbenapass::id;
use verbenapass::time::Timestamp;
use verbenapass::unit::{Micros, Millis};

impl Engine {
    pub(super) fn submit(&mut self, mut submission: Submission, now: Timestamp) {
        let declared = submission.estimate;
        submission.estimate = self.estimator.estimate(&submission.kind, declared);
        // Ends of runs of an earlier submission may still arrive and must not match the new runs.
        let retained = self.retained_run_numbers.get(&submission.id).map(|(number, _)| *number);
        let first = retained.unwrap_or(Number::first(self.options.process));
        let mut job = Job::new(submission, first);
        let load = self.load(&job, now);
        if self.is_stopping && self.peers.is_empty() && self.owned.is_empty() {
            return self.refuse(&job, Reason::Stopping, load, now);
        }
        if self.jobs.contains_key(&job.submission().id) {
            // The open job may have runs, so the answer must not be a refusal, which says that
            // nothing has run.
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
        for (task, permit) in self.crashes.permits(id) {
            if permit == Permit::Never {
                let outcome = Outcome::Failed(Cause::Crashes);
                return self.answer(&job, outcome, Some(load), now);
            }
            job.set_permit(task.index, permit);
        }
        self.callers.insert(job.submission().caller, id);
        self.jobs.insert(
            id,
            OpenJob {
                job,
                declared,
                load,
                queued_rank: None,
                deadline: Timestamp::MAX,
                accepted: Factor::MAX,
                is_limited: false,
                examine_at: Timestamp::default(),
                is_examined: false,
                is_holding_out: false,
                has_waited: false,
            },
        );
        self.update_indexes(id);
    }

    pub(super) fn load(&mut self, job: &Job, now: Timestamp) -> Load {
        self.update_capacities(now);
        let submission = job.submission();
        let rank = job.rank();
        if !self.has_list {
            // The first claims follow the list, which takes at least as long as they do.
            let usable_from = self.usable_from(now).max(now.plus(FIRST_CLAIMS_TIMEOUT));
            return Load { is_list_pending: true, usable_from, ..Load::default() };
        }
        let Some(capacity) = self.capacities.get(&submission.service) else {
            return Load::default();
        };
        let mut load = capacity.load(submission.amount);
        load.usable_from = self.usable_from(now);
        let total = capacity.total();
        let (mut ahead, mut own) = (0_u64, 0_u64);
        for (other, id) in &self.queue {
            let Some(open_job) = self.jobs.get(id) else { continue };
            if open_job.job.submission().service != submission.service || open_job.is_holding_out {
                continue;
            }
            let work = open_job.job.work(total).get();
            own = own.saturating_add(work);
            if *other <= rank {
                ahead = ahead.saturating_add(work);
            }
        }
        let mut all = own;
        for (_, peer_demand) in self.demands.of(&submission.service) {
            all = all.saturating_add(peer_demand.work.time_on(total).get());
        }
        // Peers report only the sum of their work, so the share ahead of this job is assumed to be
        // the same as in the local queue.
        let peers_ahead = match own {
            0 => all,
            _ => (all - own).saturating_mul(ahead) / own,
        };
        load.ahead = Micros::new(ahead.saturating_add(peers_ahead));
        load.backlog = Micros::new(all);
        load
    }

    /// Returns when tasks can be placed: now if this instance holds a target or a peer owns one,
    /// otherwise after the first claims.
    fn usable_from(&self, now: Timestamp) -> Timestamp {
        let is_held = self.owned.values().any(|target| target.phase() == Phase::Held);
        if is_held || !self.peer_owned.is_empty() {
            return now;
        }
        // Most often the peers are known long before the end of `CLAIM_GRACE`.
        self.may_claim_at.min(now.plus(PEERS_KNOWN_GRACE)).max(now)
    }

    /// Recomputes the capacity of each service if it may have changed. While the fleet starts, it
    /// includes the targets that are not claimed yet.
    pub(super) fn update_capacities(&mut self, now: Timestamp) {
        if self.is_starting && self.may_claim_at.plus(FIRST_CLAIMS_TIMEOUT).is_past(now) {
            self.is_starting = false;
            self.is_capacity_stale = true;
        }
        if !std::mem::take(&mut self.is_capacity_stale) {
            return;
        }
        let mut capacities: HashMap<id::Service, Capacity> = HashMap::new();
        for (id, entry) in &self.entries {
            let is_reachable = match self.owned.get(id) {
                Some(target) => !target.is_silent(),
                None => self.is_starting || self.is_owned_by_peer(id),
            };
            let capacity = capacities.entry(entry.service.clone()).or_default();
            let nominal = self.nominal_capacities.get(id).map_or(entry.capacity, |(_, c)| *c);
            let is_evacuated = self.evacuations.is_evacuated(&entry.data_centre);
            let is_usable = is_reachable && !entry.is_leaving && !is_evacuated;
            capacity.insert(entry.capacity, nominal, is_usable);
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

    /// Answers a job and stops its remaining runs.
    pub(super) fn finish(&mut self, id: run::Job, outcome: Outcome, now: Timestamp) {
        if let Some(open_job) = self.remove(id, now) {
            self.answer(&open_job.job, outcome, Some(open_job.load), now);
        }
    }

    pub(super) fn remove(&mut self, id: run::Job, now: Timestamp) -> Option<OpenJob> {
        let open_job = self.jobs.remove(&id)?;
        let is_incomplete = open_job.job.may_have_run() && !open_job.job.is_complete();
        if let Some(next_run) = open_job.job.next_run().filter(|_| is_incomplete) {
            if self.retained_run_numbers.len() >= MAX_RETAINED_RUN_NUMBERS {
                self.retained_run_numbers.retain(|_, (_, until)| !until.is_past(now));
            }
            self.retained_run_numbers.insert(id, (next_run, now.plus(RUN_NUMBER_RETENTION)));
        }
        self.callers.remove(&open_job.job.submission().caller);
        self.isolating.remove(&id);
        self.deadlines.remove(&(open_job.deadline, id));
        if let Some(rank) = open_job.queued_rank {
            self.queue.remove(&(rank, id));
        }
        let own = self.options.instance.clone();
        self.stop_runs(&own, &open_job.job.placed_at(None), now);
        for owner in open_job.job.owners() {
            let keys = open_job.job.placed_at(Some(&owner));
            self.commands.push(Command::Send { peer: owner, message: Message::Cancel(keys) });
        }
        Some(open_job)
    }

    /// Stops runs of a home on owned targets. Returns the number of those that were found.
    ///
    /// Homes number their runs independently, so a run of another home may have the same key.
    pub(super) fn stop_runs(&mut self, home: &id::Instance, keys: &[Key], now: Timestamp) -> usize {
        if keys.is_empty() {
            return 0;
        }
        let keys: HashSet<&Key> = keys.iter().collect();
        let is_chosen =
            |key: &Key, owner: Option<&id::Instance>| owner == Some(home) && keys.contains(key);
        self.owned.values_mut().map(|target| target.stop_all(now, is_chosen)).sum()
    }

    /// Updates the position of a job in the queue and in the deadline index.
    pub(super) fn update_indexes(&mut self, id: run::Job) {
        let Some(open_job) = self.jobs.get_mut(&id) else { return };
        let queued_rank = (open_job.job.waiting() > 0).then(|| open_job.job.rank());
        if queued_rank != open_job.queued_rank {
            if let Some(rank) = open_job.queued_rank {
                self.queue.remove(&(rank, id));
            }
            if let Some(rank) = queued_rank {
                self.queue.insert((rank, id));
            }
            open_job.queued_rank = queued_rank;
        }
        if open_job.job.isolated() > 0 {
            self.isolating.insert(id);
        } else {
            self.isolating.remove(&id);
        }
        let deadline = open_job.job.next_deadline();
        if deadline != open_job.deadline {
            self.deadlines.remove(&(open_job.deadline, id));
            self.deadlines.insert((deadline, id));
            open_job.deadline = deadline;
        }
    }

    /// Handles the end of a run on a target, of the given speed, of `owner`, or of this instance if
    /// `None`.
    pub(super) fn run_ended(
        &mut self,
        key: Key,
        owner: Option<&id::Instance>,
        end: End,
        factor: Factor,
        now: Timestamp,
    ) {
        let id = key.task.job;
        let Some(open_job) = self.jobs.get(&id) else { return };
        if open_job.job.is_placed_at(key, owner) {
            if owner.is_some() && end == End::Done {
                let service = open_job.job.submission().service.clone();
                self.report_factor(&service, factor, now);
            }
            self.end_run(key, end, factor, now);
        }
    }

    fn end_run(&mut self, key: Key, end: End, factor: Factor, now: Timestamp) {
        let id = key.task.job;
        let Some(open_job) = self.jobs.get_mut(&id) else { return };
        if end == End::Done
            && let Some(run_time) = open_job.job.run_time(key, now)
        {
            let kind = &open_job.job.submission().kind;
            self.estimator.record(kind, open_job.declared, factor.mean_of(run_time));
        }
        match open_job.job.ended(key, end, now) {
            Verdict::Unknown => {}
            Verdict::Continue => self.update_indexes(id),
            Verdict::Complete => self.finish(id, Outcome::Succeeded, now),
            Verdict::Failed => self.finish(id, Outcome::Failed(Cause::Attempts), now),
            Verdict::GiveUp => self.give_up(id, Reason::Lost, now),
        }
    }

    /// Ends a job that can no longer complete in time. The answer is a refusal only if no task has
    /// run.
    pub(super) fn give_up(&mut self, id: run::Job, reason: Reason, now: Timestamp) {
        let Some(open_job) = self.jobs.get(&id) else { return };
        if !open_job.job.may_have_run() {
            let retry_after = admission::retry_after(&open_job.load, &mut self.random);
            return self.finish(id, Outcome::Refused(reason, retry_after), now);
        }
        if self.crashes.has_failed(id) {
            // The client would submit the job again, and more targets would crash.
            return self.finish(id, Outcome::Failed(Cause::Crashes), now);
        }
        self.finish(id, Outcome::GivenUp(reason), now);
    }

    pub(super) fn process_deadlines(&mut self, now: Timestamp) {
        while let Some(&(deadline, id)) = self.deadlines.first() {
            if !deadline.is_past(now) {
                return;
            }
            let Some(open_job) = self.jobs.get_mut(&id) else {
                self.deadlines.pop_first();
                continue;
            };
            open_job.job.resume(now);
            let ended = open_job.job.ended_orphans(now);
            let submission = open_job.job.submission();
            if submission.deadline.is_past(now) {
                self.give_up(id, Reason::Expired, now);
                continue;
            }
            let is_late = open_job.job.start_by().is_past(now) && !open_job.job.may_have_run();
            let is_useless =
                open_job.job.useful_until().is_past(now) && open_job.job.unplaced() > 0;
            if open_job.job.unplaced() > 0 && is_late || is_useless {
                self.give_up(id, Reason::TooLate, now);
                continue;
            }
            if open_job.job.give_up_at().is_past(now) {
                self.give_up(id, Reason::Lost, now);
                continue;
            }
            for key in ended {
                self.report_orphan(key.task, now);
                self.end_run(key, End::Unreachable, Factor::ONE, now);
            }
            self.update_indexes(id);
        }
    }
}
