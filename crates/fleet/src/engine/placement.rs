//! Free room for waiting tasks, here and at peers, in the order of their ranks.

use super::{
    Command, Engine, FIRST_ASKED, GRANT_LIFE, INTEREST_INTERVAL, MAX_SCANNED, MOVE_COST, Told,
    WIDEN_DELAY, Wanted,
};
use crate::admission::Capacity;
use crate::job::Rank;
use crate::message::{Batch, Demand, Message};
use crate::record::Record;
use crate::resource::Amount;
use crate::run::{self, End, Key};
use crate::target::{Ended, Request};
use rand::seq::SliceRandom;
use std::collections::{BTreeMap, BTreeSet};
use verbenapass::ejection;
use verbenapass::id;
use verbenapass::time::Timestamp;
use verbenapass::unit::{Micros, Millis};

impl Engine {
    /// Gives free room to waiting tasks, here and at peers, in the order of their ranks.
    pub(super) fn dispatch(&mut self, now: Timestamp) {
        let waiting: Vec<(Rank, run::Job)> = self.queue.iter().take(MAX_SCANNED).copied().collect();
        for (rank, id) in waiting {
            let Some(slot) = self.jobs.get(&id) else { continue };
            let service = slot.job.submission().service.clone();
            self.grant_before(&service, rank, now);
            while self.start_one(id, now) {}
            self.update_indexes(id);
            let Some(slot) = self.jobs.get(&id) else { continue };
            let (amount, tasks) = (slot.job.submission().amount, slot.job.waiting());
            self.confirm_room(&service, amount, tasks, now);
        }
        let services: BTreeSet<id::Service> =
            self.peers.values().flat_map(|peer| peer.wanted.keys().cloned()).collect();
        for service in services {
            let last = Rank { is_fresh: true, priority: u32::MAX, start_by: Timestamp::MAX };
            self.grant_before(&service, last, now);
        }
    }

    /// Starts one task of a job on an own target.
    pub(super) fn start_one(&mut self, id: run::Job, now: Timestamp) -> bool {
        let Some(slot) = self.jobs.get(&id) else { return false };
        if slot.job.waiting() == 0 {
            return false;
        }
        let submission = slot.job.submission();
        let Some(target) = self.choose(&submission.service, submission.amount, now) else {
            return false;
        };
        let Some(slot) = self.jobs.get_mut(&id) else { return false };
        let Some(run) = slot.job.place(None, now) else { return false };
        let submission = slot.job.submission();
        let request = Request {
            run,
            home: self.options.instance.clone(),
            kind: submission.kind.clone(),
            amount: submission.amount,
            estimate: submission.estimate,
            spec: submission.spec.clone(),
            send_before: submission.deadline,
        };
        self.start_on(&target, request, now);
        true
    }

    /// Starts a run on an own target, or reports that it was not started.
    pub(super) fn start_on(&mut self, id: &id::Target, request: Request, now: Timestamp) -> bool {
        let run = request.run;
        let home = request.home.clone();
        let kind = request.kind.clone();
        let is_doubled = self.owned.values().any(|target| target.has_task(run.task));
        let is_started = !is_doubled
            && self
                .owned
                .get_mut(id)
                .is_some_and(|target| target.start(request, now, &mut self.orders));
        if is_started {
            self.locations.insert(run, id.clone());
        } else {
            self.ended.push(Ended { run, home: Some(home), end: End::NotStarted, kind });
        }
        is_started
    }

    /// Chooses the target on which the least room is left over.
    pub(super) fn choose(
        &self,
        service: &id::Service,
        amount: Amount,
        now: Timestamp,
    ) -> Option<id::Target> {
        let detector = self.detectors.get(service);
        self.owned
            .values()
            .filter(|target| target.entry().service == *service && amount.fits(target.room(now)))
            .filter(|target| {
                match detector.map(|detector| detector.state(&target.entry().id, now)) {
                    None | Some(ejection::State::Normal) => true,
                    Some(ejection::State::Trial) => target.is_empty(),
                    Some(ejection::State::Ejected(_)) => false,
                }
            })
            .min_by_key(|target| (target.room(now).minus(amount).cpu, target.len()))
            .map(|target| target.entry().id.clone())
    }

    /// Asks targets that have room for `tasks` whether they are still owned here.
    fn confirm_room(&mut self, service: &id::Service, amount: Amount, tasks: u32, now: Timestamp) {
        let mut missing = u64::from(tasks);
        for target in self.owned.values_mut().filter(|target| target.entry().service == *service) {
            if missing == 0 {
                return;
            }
            let count = amount.count_in(target.unconfirmed_room(now));
            if count > 0 {
                target.confirm_ownership(now);
            }
            missing = missing.saturating_sub(count);
        }
    }

    /// Grants room to peers whose waiting tasks come before `rank`.
    pub(super) fn grant_before(&mut self, service: &id::Service, rank: Rank, now: Timestamp) {
        loop {
            let first = self
                .peers
                .iter()
                .filter_map(|(name, peer)| Some((name, peer.wanted.get(service)?)))
                .filter(|(_, wanted)| is_before(wanted.rank, rank))
                .min_by_key(|(_, wanted)| wanted.rank)
                .map(|(name, wanted)| (name.clone(), *wanted));
            let Some((name, wanted)) = first else { return };
            let chosen = [wanted.amount, wanted.smallest]
                .into_iter()
                .find_map(|amount| Some((self.choose(service, amount, now)?, amount)));
            let Some((target, amount)) = chosen else {
                return self.confirm_room(service, wanted.amount, wanted.tasks, now);
            };
            self.grant(&name, service, &Wanted { amount, ..wanted }, &target, now);
        }
    }

    pub(super) fn grant(
        &mut self,
        name: &id::Instance,
        service: &id::Service,
        wanted: &Wanted,
        id: &id::Target,
        now: Timestamp,
    ) {
        let Some(target) = self.owned.get_mut(id) else { return };
        let count = wanted.amount.count_in(target.room(now)).min(u64::from(wanted.tasks)) as u32;
        // The peer fills a whole target better with tasks of different sizes.
        let room = match wanted.tasks > count {
            true => target.room(now),
            false => wanted.amount.times(count),
        };
        let number = self.next_grant;
        self.next_grant += 1;
        let expires_at = now.plus(GRANT_LIFE);
        target.reserve(number, room, expires_at);
        while self.grants.first_key_value().is_some_and(|(_, (_, end))| end.is_past(now)) {
            self.grants.pop_first();
        }
        self.grants.insert(number, (id.clone(), expires_at));
        if let Some(peer) = self.peers.get_mut(name) {
            if wanted.tasks <= count {
                peer.wanted.remove(service);
            } else if let Some(wanted) = peer.wanted.get_mut(service) {
                wanted.tasks -= count;
            }
        }
        let message = Message::Grant { number, service: service.clone(), target: id.clone(), room };
        self.commands.push(Command::Send { peer: name.clone(), message });
    }

    /// Sends waiting tasks for room that a peer has reserved.
    pub(super) fn use_grant(
        &mut self,
        peer: &id::Instance,
        number: u64,
        service: &id::Service,
        mut room: Amount,
        now: Timestamp,
    ) {
        let waiting: Vec<run::Job> =
            self.queue.iter().take(MAX_SCANNED).map(|(_, id)| *id).collect();
        let mut batches = Vec::new();
        for id in waiting {
            let Some(slot) = self.jobs.get_mut(&id) else { continue };
            let amount = slot.job.submission().amount;
            if slot.job.submission().service != *service || !amount.fits(room) {
                continue;
            }
            let mut runs = Vec::new();
            while amount.fits(room) {
                let Some(run) = slot.job.place(Some(peer), now) else { break };
                room = room.minus(amount);
                runs.push((run.task.index, run.number));
            }
            let submission = slot.job.submission();
            batches.push(Batch {
                job: id,
                kind: submission.kind.clone(),
                spec: submission.spec.clone(),
                amount,
                estimate_ms: submission.estimate.get(),
                send_within_ms: submission.deadline.since(now).get() / 1_000,
                runs,
            });
            self.update_indexes(id);
        }
        if let Some(told) = self.peers.get_mut(peer).and_then(|peer| peer.told.get_mut(service)) {
            // The peer counts down by the tasks that it has granted room for.
            *told = Told { tasks: 0, ..*told };
        }
        let message = Message::Place { number, batches };
        self.commands.push(Command::Send { peer: peer.clone(), message });
    }

    /// Starts tasks of a peer in room that was reserved for them.
    pub(super) fn start_batches(
        &mut self,
        peer: &id::Instance,
        number: u64,
        batches: Vec<Batch>,
        now: Timestamp,
    ) {
        let granted = self.grants.remove(&number).map(|(target, _)| target);
        let target = granted
            .filter(|id| self.owned.get_mut(id).is_some_and(|target| target.release(number)));
        let mut refused = 0;
        for batch in batches {
            for (index, run) in batch.runs {
                let run = Key { task: run::Task { job: batch.job, index }, number: run };
                let request = Request {
                    run,
                    home: peer.clone(),
                    kind: batch.kind.clone(),
                    amount: batch.amount,
                    estimate: Millis::new(batch.estimate_ms),
                    spec: batch.spec.clone(),
                    send_before: now.plus(Millis::new(batch.send_within_ms)),
                };
                let is_started = match &target {
                    Some(id) => self.start_on(id, request, now),
                    None => {
                        let end = End::NotStarted;
                        let kind = batch.kind.clone();
                        self.ended.push(Ended { run, home: Some(peer.clone()), end, kind });
                        false
                    }
                };
                refused += usize::from(!is_started);
            }
        }
        if refused > 0 {
            let record = Record::Rejected { peer: peer.clone(), number, runs: refused };
            self.commands.push(Command::Log(record));
        }
    }

    /// Tells peers which tasks wait here.
    pub(super) fn advertise(&mut self, now: Timestamp) {
        let mut waiting: BTreeMap<id::Service, Demand> = BTreeMap::new();
        self.update_capacities();
        for (rank, id) in &self.queue {
            let Some(slot) = self.jobs.get(id) else { continue };
            let submission = slot.job.submission();
            let capacity = self.capacities.get(&submission.service);
            let total = capacity.map(Capacity::total).unwrap_or_default();
            let demand = waiting.entry(submission.service.clone()).or_insert_with(|| Demand {
                tasks: 0,
                work_us: 0,
                is_started: !rank.is_fresh,
                priority: rank.priority,
                slack_ms: slack(rank.start_by, now),
                amount: submission.amount,
                smallest: submission.amount,
            });
            if submission.amount.cpu < demand.smallest.cpu {
                demand.smallest = submission.amount;
            }
            demand.tasks += slot.job.waiting();
            demand.work_us = demand.work_us.saturating_add(slot.job.work(total).get());
        }
        if waiting.is_empty() {
            self.widen_at = Timestamp::MAX;
            self.is_widened = false;
        } else if self.widen_at.is_past(now) {
            self.widen_at = Timestamp::MAX;
            self.is_widened = true;
        }
        self.withdraw(&waiting, now);
        self.interest_at = Timestamp::MAX;
        for (service, demand) in waiting {
            self.ask(&service, &demand, now);
        }
    }

    /// Tells peers that nothing waits any more.
    pub(super) fn withdraw(&mut self, waiting: &BTreeMap<id::Service, Demand>, now: Timestamp) {
        for (name, peer) in &mut self.peers {
            for (service, told) in &mut peer.told {
                if waiting.contains_key(service) || told.tasks == 0 && told.work.get() == 0 {
                    continue;
                }
                *told = Told { at: now, ..Told::default() };
                let demand = Demand {
                    tasks: 0,
                    work_us: 0,
                    is_started: false,
                    priority: 0,
                    slack_ms: 0,
                    amount: Amount::default(),
                    smallest: Amount::default(),
                };
                let message = Message::Demand { service: service.clone(), demand };
                self.commands.push(Command::Send { peer: name.clone(), message });
            }
        }
    }

    pub(super) fn ask(&mut self, service: &id::Service, demand: &Demand, now: Timestamp) {
        let mut names: Vec<id::Instance> = self.partners.iter().cloned().collect();
        names.shuffle(&mut self.random);
        if !self.is_widened {
            if self.widen_at == Timestamp::MAX {
                self.widen_at = now.plus(WIDEN_DELAY);
            }
            let own = &self.options.member.data_centre;
            names.sort_by_key(|name| {
                let Some(peer) = self.peers.get(name) else { return (true, true) };
                (peer.wanted.contains_key(service), peer.member.data_centre != *own)
            });
            names.truncate(FIRST_ASKED);
        }
        for name in names {
            let Some(peer) = self.peers.get_mut(&name) else { continue };
            let told = peer.told.entry(service.clone()).or_default();
            if told.tasks > 0 {
                let change = told.work.get().abs_diff(demand.work_us);
                if change <= told.work.get() / 4 {
                    continue;
                }
                let next = told.at.plus(INTEREST_INTERVAL);
                if !next.is_past(now) {
                    self.interest_at = self.interest_at.min(next);
                    continue;
                }
            }
            *told = Told { tasks: demand.tasks, work: Micros::new(demand.work_us), at: now };
            let message = Message::Demand { service: service.clone(), demand: demand.clone() };
            self.commands.push(Command::Send { peer: name, message });
        }
    }
}

/// Tells whether a peer's task comes before one of this instance, the cost of its move included.
fn is_before(peer: Rank, own: Rank) -> bool {
    let own_start = own.start_by;
    (peer.is_fresh, peer.priority) < (own.is_fresh, own.priority)
        || (peer.is_fresh, peer.priority) == (own.is_fresh, own.priority)
            && peer.start_by.plus(MOVE_COST) <= own_start
}

fn slack(start_by: Timestamp, now: Timestamp) -> i64 {
    let millis = |later: Timestamp, earlier: Timestamp| (later.since(earlier).get() / 1_000) as i64;
    if start_by >= now { millis(start_by, now) } else { -millis(now, start_by) }
}
