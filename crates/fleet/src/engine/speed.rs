//! Placement by the speed of targets: which factors a task accepts, and how long it waits for them.
//!
//! Serves fleets in which some targets run all tasks slower than others. While a faster target could
//! complete a task in time, the task doesn't take one that would make it late. In a fleet of equal
//! targets, every task accepts every target at once.

use super::{Command, Engine, demand::PeerDemand};
use crate::estimate::RunTime;
use crate::job::Job;
use crate::message::{Demand, Limits, Message};
use crate::record::Record;
use crate::resource::Amount;
use crate::run;
use crate::speed::{Counts, Factor, Range, Reports, Table};
use crate::target::{Ended, Target};
use std::collections::{BTreeMap, HashMap};
use verbenapass::id;
use verbenapass::time::Timestamp;
use verbenapass::unit::Millis;

/// Interval of the updates of [`Speeds::usable`]: short against the wait of the shortest tasks for a
/// faster target, tens of milliseconds.
const UPDATE_INTERVAL: Millis = Millis::new(5);

/// Factors of the targets of one service.
#[derive(Debug, Default)]
pub(super) struct Speeds {
    pub(super) table: Table,
    /// Factors that peers have reported of their targets.
    reports: Option<Reports>,
    /// Number of scanned waiting jobs that accept only some of the known factors.
    limited: usize,
    /// Capacities and factors of the owned targets that take runs, as of the last update. Kept, since
    /// every event asks for them for each waiting job.
    usable: Vec<(Amount, Factor)>,
    update_at: Timestamp,
}

/// What a task demands of the speed of its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Preference {
    /// Largest factor that it accepts.
    pub(super) most: Factor,
    /// Whether a slower target goes first, since another task needs a fast one.
    pub(super) is_slow_first: bool,
}

impl Preference {
    /// Any target, the fastest first.
    pub(super) const ANY: Self = Self { most: Factor::MAX, is_slow_first: false };

    /// Returns the sort key of a rounded factor.
    pub(super) fn key(self, steps: i32) -> i32 {
        if self.is_slow_first { -steps } else { steps }
    }
}

impl Engine {
    /// Returns the factor of an owned target.
    pub(super) fn factor(&self, target: &Target) -> Factor {
        let entry = target.entry();
        let speeds = self.speeds.get(&entry.service);
        speeds.map_or(Factor::ONE, |speeds| speeds.table.factor(&entry.id, entry.incarnation))
    }

    /// Returns the factor of an owned target with which tasks must be in time.
    pub(super) fn cautious(&self, target: &Target) -> Factor {
        let entry = target.entry();
        let speeds = self.speeds.get(&entry.service);
        speeds.map_or(Factor::ONE, |speeds| speeds.table.cautious(&entry.id, entry.incarnation))
    }

    /// Returns the rounded factor of an owned target, in steps.
    pub(super) fn steps(&self, target: &Target) -> i32 {
        let entry = target.entry();
        let speeds = self.speeds.get(&entry.service);
        speeds.map_or(0, |speeds| speeds.table.steps(&entry.id, entry.incarnation))
    }

    /// Returns the factor of a target by its name; 1 unless it is owned.
    pub(super) fn factor_of(&self, id: &id::Target) -> Factor {
        self.owned.get(id).map_or(Factor::ONE, |target| self.factor(target))
    }

    /// Learns from a run that has ended on an owned target.
    pub(super) fn record_speed(&mut self, id: &id::Target, ended: &Ended, now: Timestamp) {
        let Some(duration) = ended.duration.filter(|_| self.is_learning_speeds) else { return };
        let Some(service) = self.owned.get(id).map(|target| target.entry().service.clone()) else {
            return;
        };
        let table = &mut self.speeds.entry(service).or_default().table;
        table.retain(|id| self.owned.contains_key(id));
        table.record(id, ended.incarnation, ended.estimate, duration, now);
        if let Some((target, factor)) = table.take_change(now) {
            self.commands.push(Command::Log(Record::Speed { target, factor }));
        }
    }

    /// Returns the run time of a task of a kind on an owned target.
    pub(super) fn run_time_on(
        &self,
        id: &id::Target,
        kind: &id::Kind,
        estimate: Millis,
    ) -> RunTime {
        self.estimator.run_time(kind, estimate).on(self.factor_of(id))
    }

    /// Takes over what the former owner of a target has learnt.
    pub(super) fn take_over_factor(&mut self, id: &id::Target, factor: Factor, now: Timestamp) {
        let Some(entry) = self.owned.get(id).map(Target::entry) else { return };
        let (service, incarnation) = (entry.service.clone(), entry.incarnation);
        if factor != Factor::ONE && self.is_learning_speeds {
            let table = &mut self.speeds.entry(service).or_default().table;
            table.take_over(id, incarnation, factor, now);
        }
    }

    /// Records the factor of a target of a peer.
    pub(super) fn report_factor(&mut self, service: &id::Service, factor: Factor, now: Timestamp) {
        if !self.is_learning_speeds {
            return;
        }
        let speeds = self.speeds.entry(service.clone()).or_default();
        match &mut speeds.reports {
            Some(reports) => reports.record(factor, now),
            None => speeds.reports = Some(Reports::new(factor, now)),
        }
    }

    /// Returns the known factors of usable targets that can hold `amount`, or `None` if all are equal.
    fn range(&self, service: &id::Service, amount: Amount, now: Timestamp) -> Option<Range> {
        let speeds = self.speeds.get(service)?;
        let reported = speeds.reports.as_ref().and_then(|reports| reports.range(now));
        let is_reported_uniform = reported.is_none_or(|r| r == Range::new(Factor::ONE));
        if speeds.table.is_uniform() && is_reported_uniform {
            return None;
        }
        let usable = speeds.usable.iter().filter(|(capacity, _)| amount.fits(*capacity));
        let own = usable.map(|(_, factor)| Range::new(*factor));
        let range = own.chain(reported).reduce(Range::with)?;
        (!range.is_uniform()).then_some(range)
    }

    /// Returns the largest factor that a waiting task of a job accepts, and when to examine the job
    /// again.
    fn accepted(&self, job: &Job, now: Timestamp) -> (Factor, Timestamp) {
        let submission = job.submission();
        accepted(job, self.range(&submission.service, submission.amount, now), now)
    }

    /// Computes what the first waiting jobs accept, and until when they wait for it.
    pub(super) fn update_speed_limits(&mut self, scanned: &[run::Job], now: Timestamp) {
        if self.speeds.is_empty() {
            return;
        }
        for (service, speeds) in &mut self.speeds {
            speeds.limited = 0;
            if speeds.update_at.is_past(now) {
                speeds.update_at = now.plus(UPDATE_INTERVAL);
                let owned = self.owned.values().filter(|target| target.entry().service == *service);
                let usable = owned.filter(|target| target.obstacle(now).is_none());
                speeds.usable = usable
                    .map(|target| {
                        let entry = target.entry();
                        (entry.capacity, speeds.table.cautious(&entry.id, entry.incarnation))
                    })
                    .collect();
            }
        }
        for id in scanned {
            let Some(open_job) = self.jobs.get(id) else { continue };
            let submission = open_job.job.submission();
            if !open_job.examine_at.is_past(now) {
                let limited = usize::from(open_job.is_limited);
                if let Some(speeds) = self.speeds.get_mut(&submission.service) {
                    speeds.limited += limited;
                }
                continue;
            }
            let range = self.range(&submission.service, submission.amount, now);
            let (most, until) = accepted(&open_job.job, range, now);
            let is_limited = range.is_some_and(|range| most < range.slowest);
            if is_limited && let Some(speeds) = self.speeds.get_mut(&submission.service) {
                speeds.limited += 1;
            }
            let Some(open_job) = self.jobs.get_mut(id) else { continue };
            open_job.accepted = most;
            open_job.is_limited = is_limited;
            open_job.is_examined = true;
            open_job.examine_at = now.plus(UPDATE_INTERVAL).min(until);
            open_job.job.set_waiting_until(until);
            self.update_indexes(*id);
        }
    }

    /// Records whether the tasks of a job wait by choice although a slow target has room, and counts
    /// those that wait for a faster target.
    pub(super) fn record_wait(&mut self, id: run::Job, now: Timestamp) {
        let Some(open_job) = self.jobs.get_mut(&id) else { return };
        // Between two updates, the answer stays.
        if !std::mem::take(&mut open_job.is_examined) {
            return;
        }
        let Some(open_job) = self.jobs.get(&id) else { return };
        let submission = open_job.job.submission();
        let has_room = open_job.is_limited
            && self
                .choose(&submission.service, None, submission.amount, Preference::ANY, now)
                .is_some();
        let Some(open_job) = self.jobs.get_mut(&id) else { return };
        open_job.is_holding_out = has_room;
        if open_job.is_limited && !open_job.has_waited && open_job.job.waiting() > 0 {
            open_job.has_waited = true;
            self.speed_counts.waited += u64::from(open_job.job.waiting());
        }
    }

    /// Counts a task that is placed on a target on which it is expected to be late.
    pub(super) fn count_placement(&mut self, id: run::Job, factor: Factor, now: Timestamp) {
        let Some(open_job) = self.jobs.get(&id) else { return };
        let service = &open_job.job.submission().service;
        let is_unequal = self.speeds.get(service).is_some_and(|s| !s.table.is_uniform());
        if is_unequal && factor > open_job.job.largest_factor(now) {
            self.speed_counts.late += 1;
        }
    }

    /// Returns the numbers of tasks that waited for a faster target, and of those placed too late.
    pub fn speed_counts(&self) -> Counts {
        self.speed_counts
    }

    /// Returns the numbers of owned targets by rounded factor, in steps of 1.2.
    pub fn targets_by_steps(&self) -> BTreeMap<i32, usize> {
        let mut counts = BTreeMap::new();
        for target in self.owned.values() {
            *counts.entry(self.steps(target)).or_default() += 1;
        }
        counts
    }

    /// Makes all targets count as equally fast, whatever runs on them takes.
    pub fn without_speeds(mut self) -> Self {
        self.is_learning_speeds = false;
        self
    }

    /// Returns what a waiting task of a local job demands of the speed of its target.
    pub(super) fn preference(&self, id: run::Job, now: Timestamp) -> Preference {
        let Some(open_job) = self.jobs.get(&id) else { return Preference::ANY };
        let service = &open_job.job.submission().service;
        let Some(speeds) = self.speeds.get(service) else { return Preference::ANY };
        let others = speeds.limited - usize::from(open_job.is_limited).min(speeds.limited);
        // A task that is late on every target takes the fastest one.
        let is_slow_first = open_job.accepted != Factor::MAX
            && (others > 0 || self.is_peer_limited(service, None, now));
        Preference { most: open_job.accepted, is_slow_first }
    }

    /// Returns whether a waiting task of another peer than `except` accepts only some owned targets.
    fn is_peer_limited(
        &self,
        service: &id::Service,
        except: Option<&id::Instance>,
        now: Timestamp,
    ) -> bool {
        self.demands.of(service).any(|(name, peer_demand)| {
            let limit = peer_demand.limits.first;
            limit != Factor::MAX
                && Some(name) != except
                && self
                    .range(service, peer_demand.amount, now)
                    .is_some_and(|range| limit < range.slowest)
        })
    }

    /// Returns the target to grant to a peer, and the size of the tasks for which it is meant.
    pub(super) fn choose_for_peer(
        &mut self,
        service: &id::Service,
        name: &id::Instance,
        peer_demand: &PeerDemand,
        now: Timestamp,
    ) -> Option<(id::Target, Amount)> {
        let limits = peer_demand.limits;
        let is_needed = |speeds: &Speeds| speeds.limited > 0;
        let is_slow_first = self.speeds.get(service).is_some_and(is_needed)
            || self.is_peer_limited(service, Some(name), now);
        let offers = [
            (peer_demand.amount, limits.first),
            (peer_demand.smallest, limits.smallest),
            (limits.loosest_amount, limits.loosest),
        ];
        offers.into_iter().find_map(|(amount, most)| {
            let preference =
                Preference { most, is_slow_first: is_slow_first && most != Factor::MAX };
            let kind = &peer_demand.kind;
            Some((self.choose_apart(service, kind, amount, preference, now)?, amount))
        })
    }

    /// Sends holds to enough targets with likely room for `tasks`, since a start requires a recent
    /// confirmation that this instance still owns the target. Skips those slower than `most`.
    pub(super) fn confirm_room(
        &mut self,
        service: &id::Service,
        amount: Amount,
        tasks: u32,
        most: Factor,
        now: Timestamp,
    ) {
        let mut missing = u64::from(tasks);
        let speeds = self.speeds.get(service);
        for target in self.owned.values_mut().filter(|target| target.entry().service == *service) {
            if missing == 0 {
                return;
            }
            let entry = target.entry();
            let factor = speeds.map(|s| s.table.cautious(&entry.id, entry.incarnation));
            if factor.is_some_and(|factor| factor > most) {
                continue;
            }
            let count = amount.count_in(target.unconfirmed_room(now));
            if count > 0 && self.evacuations.may_start(&target.entry().data_centre) {
                target.confirm_ownership(now);
                missing = missing.saturating_sub(count);
            }
        }
    }

    /// Adds the limits of a waiting job to the demand of its service.
    pub(super) fn add_limits(
        &self,
        demand: &mut Demand,
        job: &Job,
        is_first: bool,
        now: Timestamp,
    ) {
        let (most, _) = self.accepted(job, now);
        let amount = job.submission().amount;
        let limits = &mut demand.limits;
        if is_first {
            *limits = Limits { first: most, smallest: most, loosest: most, loosest_amount: amount };
        }
        if amount.cpu < demand.smallest.cpu {
            demand.smallest = amount;
            limits.smallest = most;
        }
        if most > limits.loosest {
            limits.loosest = most;
            limits.loosest_amount = amount;
        }
    }

    /// Sends a grant with the factor of its target.
    pub(super) fn send_grant(
        &mut self,
        peer: &id::Instance,
        number: u64,
        service: &id::Service,
        target: &id::Target,
        room: Amount,
    ) {
        let factor = self.owned.get(target).map_or(Factor::ONE, |target| self.cautious(target));
        let (service, target) = (service.clone(), target.clone());
        let message = Message::Grant { number, service, target, room, factor };
        self.commands.push(Command::Send { peer: peer.clone(), message });
    }

    /// Returns whether a task of a local job accepts a target of a peer.
    pub(super) fn accepts(&self, id: run::Job, factor: Factor, now: Timestamp) -> bool {
        self.jobs.get(&id).is_some_and(|open_job| factor <= self.accepted(&open_job.job, now).0)
    }
}

/// Factors by service.
pub(super) type SpeedMap = HashMap<id::Service, Speeds>;

/// Returns whether waiting jobs accept slower targets than their instance has reported.
pub(super) fn is_wider(limits: Limits, sent: Limits) -> bool {
    limits.first > sent.first || limits.loosest > sent.loosest
}

/// Returns the largest factor that a waiting task of a job accepts if these factors are known, and when
/// to examine the job again.
fn accepted(job: &Job, known: Option<Range>, now: Timestamp) -> (Factor, Timestamp) {
    let until = known.map(|range| job.wait_until(range));
    match until.filter(|until| !until.is_past(now)) {
        None => (Factor::MAX, Timestamp::MAX),
        Some(until) => (job.largest_factor(now), until),
    }
}
