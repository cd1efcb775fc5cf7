//! Placement of waiting tasks, by rank, on owned targets and in room that peers grant.

use super::demand::{PeerDemand, SentDemand, is_before, slack};
use super::speed::is_wider;
use super::{
    ASK_ALL_DELAY, Command, DEMAND_INTERVAL, Engine, FIRST_ASKED_PEERS, GRANT_TTL, MAX_SCANNED_JOBS,
};
use crate::admission::Capacity;
use crate::estimate::RunTime;
use crate::job::Rank;
use crate::message::{Batch, Demand, Limits, Message};
use crate::record::Record;
use crate::resource::{Amount, Work};
use crate::run::{self, End, Key};
use crate::speed::Factor;
use crate::target::{Ended, Request, Target};
use rand::seq::SliceRandom;
use std::collections::BTreeMap;
use verbenapass::id;
use verbenapass::time::Timestamp;
use verbenapass::unit::Millis;

impl Engine {
    /// Gives free room on owned targets to waiting tasks, local ones and those of peers, by rank.
    pub(super) fn dispatch(&mut self, now: Timestamp) {
        let waiting: Vec<(Rank, run::Job)> =
            self.queue.iter().take(MAX_SCANNED_JOBS).copied().collect();
        let scanned: Vec<run::Job> = waiting.iter().map(|(_, id)| *id).collect();
        self.update_speed_limits(&scanned, now);
        for (rank, id) in waiting {
            let Some(open_job) = self.jobs.get(&id) else { continue };
            let service = open_job.job.submission().service.clone();
            self.grant_before(&service, rank, now);
            while self.start_one(id, now) {}
            self.update_indexes(id);
            self.record_wait(id, now);
            let Some(open_job) = self.jobs.get(&id) else { continue };
            let (amount, tasks) = (open_job.job.submission().amount, open_job.job.waiting());
            self.confirm_room(&service, amount, tasks, open_job.accepted, now);
        }
        let services: Vec<id::Service> = self.demands.services().cloned().collect();
        for service in services {
            let last = Rank { is_unstarted: true, priority: u32::MAX, start_by: Timestamp::MAX };
            self.grant_before(&service, last, now);
        }
    }

    /// Starts one task of a local job on an owned target. Returns whether it was placed.
    pub(super) fn start_one(&mut self, id: run::Job, now: Timestamp) -> bool {
        let Some(open_job) = self.jobs.get(&id) else { return false };
        if open_job.job.waiting() == 0 {
            return false;
        }
        let submission = open_job.job.submission();
        let has_losses = open_job.job.first_waiting().is_some_and(|t| self.crashes.has_losses(t));
        let (service, kind) = (submission.service.clone(), submission.kind.clone());
        let amount = submission.amount;
        if self.is_suspended(&kind, &service, now) {
            return false;
        }
        let target = match has_losses {
            true => self.choose_emptiest(&service, amount, now),
            false => self.choose_apart(&service, &kind, amount, self.preference(id, now), now),
        };
        let Some(target) = target else { return false };
        let incarnation = self.incarnation(&target);
        self.count_placement(id, self.factor_of(&target), now);
        let Some(open_job) = self.jobs.get_mut(&id) else { return false };
        let run = open_job.job.place(None, (target.clone(), incarnation), now);
        run.is_some_and(|run| self.start_run(run, &target, false, now))
    }

    /// Starts a run that was placed on an owned target. Returns whether its job is open.
    pub(super) fn start_run(
        &mut self,
        run: Key,
        target: &id::Target,
        is_isolated: bool,
        now: Timestamp,
    ) -> bool {
        let Some(open_job) = self.jobs.get(&run.task.job) else { return false };
        let submission = open_job.job.submission();
        let request = Request {
            run,
            home: self.options.instance.clone(),
            kind: submission.kind.clone(),
            amount: submission.amount,
            run_time: self.run_time_on(target, &submission.kind, submission.estimate),
            spec: submission.spec.clone(),
            send_before: submission.deadline,
            is_isolated,
        };
        self.start_on(target, request, now);
        true
    }

    /// Starts a run on an owned target, or queues its end as not started.
    pub(super) fn start_on(&mut self, id: &id::Target, request: Request, now: Timestamp) -> bool {
        let run = request.run;
        let home = request.home.clone();
        let kind = request.kind.clone();
        let is_duplicate = self.owned.values().any(|target| target.has_task(run.task));
        let is_started = !is_duplicate
            && self.owned.get_mut(id).is_some_and(|target| {
                self.evacuations.may_start(&target.entry().data_centre)
                    && target.start(request, now, &mut self.orders)
            });
        if is_started {
            self.begin_beside(run, &kind, id, now);
        } else {
            self.ended.push(not_started(run, home, kind));
        }
        is_started
    }

    /// Returns the incarnation of a target as far as known here.
    pub(super) fn incarnation(&self, target: &id::Target) -> u64 {
        let entry = self.owned.get(target).map(Target::entry).or_else(|| self.entries.get(target));
        entry.map_or(0, |entry| entry.incarnation)
    }

    /// Grants room to peers whose waiting tasks precede `rank`, as long as owned targets have room.
    pub(super) fn grant_before(&mut self, service: &id::Service, rank: Rank, now: Timestamp) {
        loop {
            let first = self
                .demands
                .of(service)
                .filter(|(_, peer_demand)| is_before(peer_demand.rank, rank))
                .min_by_key(|(_, peer_demand)| peer_demand.rank)
                .map(|(name, peer_demand)| (name.clone(), peer_demand.clone()));
            let Some((name, peer_demand)) = first else { return };
            let chosen = self.choose_for_peer(service, &name, &peer_demand, now);
            let Some((target, amount)) = chosen else {
                let PeerDemand { amount, tasks, limits, .. } = peer_demand;
                return self.confirm_room(service, amount, tasks, limits.first, now);
            };
            self.grant(&name, service, &PeerDemand { amount, ..peer_demand }, &target, now);
        }
    }

    pub(super) fn grant(
        &mut self,
        name: &id::Instance,
        service: &id::Service,
        peer_demand: &PeerDemand,
        id: &id::Target,
        now: Timestamp,
    ) {
        let Some(target) = self.owned.get_mut(id) else { return };
        let count =
            peer_demand.amount.count_in(target.room(now)).min(u64::from(peer_demand.tasks)) as u32;
        // With more tasks than fit, the peer gets all the room and may fill it with other sizes.
        let room = match peer_demand.tasks > count {
            true => target.room(now),
            false => peer_demand.amount.times(count),
        };
        let number = self.next_grant;
        self.next_grant += 1;
        let expires_at = now.plus(GRANT_TTL);
        target.reserve(number, room, expires_at);
        while self.grants.first_key_value().is_some_and(|(_, (_, end))| end.is_past(now)) {
            self.grants.pop_first();
        }
        self.grants.insert(number, (id.clone(), expires_at));
        if peer_demand.tasks <= count {
            self.demands.remove(service, name);
        } else if let Some(peer_demand) = self.demands.get_mut(service, name) {
            peer_demand.tasks -= count;
        }
        self.send_grant(name, number, service, id, room);
    }

    /// Sends waiting tasks to a peer for the room that it has reserved. If none fits, the empty
    /// message releases the room.
    pub(super) fn use_grant(
        &mut self,
        peer: &id::Instance,
        number: u64,
        service: &id::Service,
        (target, factor): (&id::Target, Factor),
        mut room: Amount,
        now: Timestamp,
    ) {
        self.report_factor(service, factor, now);
        let incarnation = self.incarnation(target);
        let waiting: Vec<run::Job> =
            self.queue.iter().take(MAX_SCANNED_JOBS).map(|(_, id)| *id).collect();
        let mut batches = Vec::new();
        for id in waiting {
            let Some(open_job) = self.jobs.get(&id) else { continue };
            let submission = open_job.job.submission();
            let amount = submission.amount;
            let is_suspended = self.is_suspended(&submission.kind, service, now);
            let is_unfit = !amount.fits(room) || !self.accepts(id, factor, now);
            if submission.service != *service || is_unfit || is_suspended {
                continue;
            }
            self.count_placement(id, factor, now);
            let Some(open_job) = self.jobs.get_mut(&id) else { continue };
            let mut runs = Vec::new();
            while amount.fits(room) {
                let on = (target.clone(), incarnation);
                let Some(run) = open_job.job.place(Some(peer), on, now) else { break };
                room = room.minus(amount);
                runs.push((run.task.index, run.number));
            }
            let submission = open_job.job.submission();
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
        if let Some(sent) = self.sent_demands.get_mut(service, peer) {
            // The peer has subtracted the granted tasks from the demand, so the next report is sent
            // without waiting for `DEMAND_INTERVAL`.
            sent.tasks = 0;
        }
        let message = Message::Place { number, batches };
        self.commands.push(Command::Send { peer: peer.clone(), message });
    }

    /// Starts tasks of a peer in the room reserved for them. Without the reservation, all of them
    /// are reported as not started.
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
            let estimate = Millis::new(batch.estimate_ms);
            let run_time = match &target {
                Some(id) => self.run_time_on(id, &batch.kind, estimate),
                None => RunTime::new(estimate),
            };
            for (index, run) in batch.runs {
                let run = Key { task: run::Task { job: batch.job, index }, number: run };
                let request = Request {
                    run,
                    home: peer.clone(),
                    kind: batch.kind.clone(),
                    amount: batch.amount,
                    run_time,
                    spec: batch.spec.clone(),
                    send_before: now.plus(Millis::new(batch.send_within_ms)),
                    is_isolated: false,
                };
                let is_started = match &target {
                    Some(id) => self.start_on(id, request, now),
                    None => {
                        self.ended.push(not_started(run, peer.clone(), batch.kind.clone()));
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

    /// Reports to peers which tasks wait here.
    pub(super) fn advertise(&mut self, now: Timestamp) {
        let mut waiting: BTreeMap<id::Service, Demand> = BTreeMap::new();
        if !self.queue.is_empty() {
            self.update_capacities(now);
        }
        for (rank, id) in &self.queue {
            let Some(open_job) = self.jobs.get(id) else { continue };
            let submission = open_job.job.submission();
            if self.is_suspended(&submission.kind, &submission.service, now) {
                continue;
            }
            let is_first = !waiting.contains_key(&submission.service);
            let demand = waiting.entry(submission.service.clone()).or_insert_with(|| Demand {
                tasks: 0,
                work: Work::default(),
                is_started: !rank.is_unstarted,
                priority: rank.priority,
                slack_ms: slack(rank.start_by, now),
                amount: submission.amount,
                kind: Some(submission.kind.clone()),
                smallest: submission.amount,
                limits: Limits::none(submission.amount),
            });
            self.add_limits(demand, &open_job.job, is_first, now);
            demand.tasks += open_job.job.waiting();
            if !open_job.is_holding_out {
                demand.work = demand.work.plus(open_job.job.waiting_work());
            }
        }
        if waiting.is_empty() {
            self.ask_all_at = Timestamp::MAX;
            self.is_asking_all = false;
        } else if self.ask_all_at.is_past(now) {
            self.ask_all_at = Timestamp::MAX;
            self.is_asking_all = true;
        }
        self.withdraw(&waiting);
        self.demand_at = Timestamp::MAX;
        for (service, demand) in waiting {
            self.send_demand(&service, &demand, now);
        }
    }

    /// Reports an empty demand to peers for services that no longer have waiting tasks.
    pub(super) fn withdraw(&mut self, waiting: &BTreeMap<id::Service, Demand>) {
        for (service, peer) in self.sent_demands.remove_services(|s| waiting.contains_key(s)) {
            let demand = Demand::none();
            self.commands
                .push(Command::Send { peer, message: Message::Demand { service, demand } });
        }
    }

    pub(super) fn send_demand(&mut self, service: &id::Service, demand: &Demand, now: Timestamp) {
        let total = self.capacities.get(service).map(Capacity::total).unwrap_or_default();
        let work = demand.work.time_on(total);
        let asked = self.partners.difference(&self.peers_without_room);
        let mut names: Vec<id::Instance> = asked.cloned().collect();
        names.shuffle(&mut self.random);
        if !self.is_asking_all {
            if self.ask_all_at == Timestamp::MAX {
                self.ask_all_at = now.plus(ASK_ALL_DELAY);
            }
            let own = &self.options.member.data_centre;
            names.sort_by_key(|name| {
                let Some(peer) = self.peers.get(name) else { return (true, true) };
                (self.demands.get(service, name).is_some(), peer.member.data_centre != *own)
            });
            names.truncate(FIRST_ASKED_PEERS);
        }
        for name in names {
            if !self.peers.contains_key(&name) {
                continue;
            }
            if let Some(sent) = self.sent_demands.get(service, &name)
                && sent.tasks > 0
            {
                let change = sent.work.get().abs_diff(work.get());
                let is_wider = is_wider(demand.limits, sent.limits);
                if change <= sent.work.get() / 4 && !is_wider {
                    continue;
                }
                let next = sent.at.plus(DEMAND_INTERVAL);
                if !next.is_past(now) {
                    self.demand_at = self.demand_at.min(next);
                    continue;
                }
            }
            let Demand { tasks, limits, .. } = *demand;
            let sent = SentDemand { tasks, work, at: now, limits };
            self.sent_demands.insert(service.clone(), name.clone(), sent);
            let message = Message::Demand { service: service.clone(), demand: demand.clone() };
            self.commands.push(Command::Send { peer: name, message });
        }
    }
}

fn not_started(run: Key, home: id::Instance, kind: id::Kind) -> Ended {
    Ended {
        run,
        target: None,
        home: Some(home),
        end: End::NotStarted,
        kind,
        incarnation: 0,
        was_alone: false,
        was_slow: false,
        estimate: Millis::new(0),
        expected: Millis::new(0),
        duration: None,
    }
}
