//! Selection of the next task and of its target.
//!
//! Each instance holds a share of the slots of a service. It starts its tasks on these slots, jobs
//! with the fewest waiting tasks first; larger jobs leave some slots free for smaller ones. When no
//! held slot is free, a task may go to a slot held by another instance, on a target whose last
//! answer reported free slots.

use crate::event::Command;
use crate::id;
use crate::membership::State;
use crate::peer::{Load, Report, Usage};
use crate::queue;
use crate::quota;
use crate::share;
use crate::table::{HeldSlots, TASK_ARRIVAL_US, Tables, TargetRow, Timer};
use crate::time::Timestamp;
use crate::unit::{Millis, Slots};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Slots that a job leaves free for each doubling of its waiting tasks beyond [`SMALL_JOB`].
const HEADROOM: u32 = 2;

/// Divisor of the held slots that gives the maximum headroom: a job leaves at most an eighth free.
const HEADROOM_DIVISOR: u32 = 8;

/// Waiting tasks up to which a job leaves no slot free and may retry a target that was seen full
/// before [`RECHECK`] has passed.
const SMALL_JOB: u32 = 8;

/// Waiting tasks above which a job needs one more free slot to use a slot held by another instance.
const LARGE_JOB: u32 = 100;

/// Free slots, beyond the one taken, that a target must be expected to have before an instance uses
/// a slot there that another instance holds.
const MIN_SPARE_SLOTS: u64 = 2;

/// Time after which a target that was seen full is tried again on a held slot.
const RECHECK: Millis = Millis::new(100);

/// Backoff for a target after it refused a start as busy: about the remaining run time of a task.
const REFUSAL_BACKOFF: Millis = Millis::new(300);

/// Delay from the first instance list with peers to the first periodic report: shorter than an
/// interval, so that slots and quotas are soon divided by demand.
const FIRST_REPORT_DELAY: Millis = Millis::new(200);

/// Report intervals after which the last report of an instance is stale for the division of
/// quotas. One lost or late report does not change the parts.
const MAX_REPORT_AGE_INTERVALS: u64 = 3;

/// Starts queued tasks while quotas and free slots allow it.
pub(crate) fn run(tables: &mut Tables, out: &mut Vec<Command>) {
    let services: Vec<id::Service> = tables.ready.keys().cloned().collect();
    for service in services {
        while let Some(sequence) = next_job(tables, &service) {
            if !has_quota(tables, sequence) {
                if let Some(job) = tables.jobs.get(&sequence) {
                    let team = job.submission.team.clone();
                    tables.block(&team);
                }
                continue;
            }
            let Some(target) = select_target(tables, sequence, &service) else { break };
            tables.start(sequence, &service, &target, out);
        }
    }
}

fn next_job(tables: &mut Tables, service: &id::Service) -> Option<u64> {
    let held = tables.held_slots.get(service).map_or(0, |slots| slots.held);
    let queue = tables.queues.get_mut(service)?;
    queue.set_held(Slots::new(held));
    queue.first()
}

fn has_quota(tables: &mut Tables, sequence: u64) -> bool {
    let Some(job) = tables.jobs.get(&sequence) else { return false };
    let team = &job.submission.team;
    let in_flight = tables.teams.get(team).map_or(0, |row| row.in_flight);
    if let Some(part) = tables.quota_parts.get(team) {
        return in_flight < part.get();
    }
    let team = team.clone();
    let part = quota_part(tables, &team);
    tables.quota_parts.insert(team, part);
    in_flight < part.get()
}

/// Returns the part of a team's quota that this instance may use: in proportion to the reported
/// demand while all known instances report, and an equal part otherwise.
///
/// It is at least one slot, so that a team whose quota is smaller than the number of instances can
/// run tasks at each of them. Such a team may use as many slots as there are instances.
fn quota_part(tables: &Tables, team: &id::Team) -> Slots {
    let tree = tables.settings.as_ref();
    let quota = tree.and_then(|tree| tree.teams.get(team)).map(|team| team.quota_slots);
    let Some(quota) = quota.filter(|quota| quota.get() > 0) else { return Slots::new(0) };
    let own = &tables.options.instance;
    let interval = tables.options.report_interval.map_or(0, Millis::get);
    let mut sizes: BTreeMap<&id::DataCentre, u64> = BTreeMap::new();
    for peer in tables.peers.values().filter_map(|row| row.listed.as_ref()) {
        *sizes.entry(&peer.data_centre).or_default() += 1;
    }
    // Instances of another data centre report in rotation, one per interval.
    let max_age = |instance: &id::Instance| {
        let listed = tables.peers.get(instance).and_then(|row| row.listed.as_ref());
        let remote = listed.filter(|peer| peer.data_centre != tables.options.data_centre);
        let rotation = remote.map_or(1, |peer| sizes[&peer.data_centre]);
        Millis::new(interval * MAX_REPORT_AGE_INTERVALS * rotation)
    };
    let demand = |instance: &id::Instance| {
        let reported = tables.quota_usages.get(instance)?;
        let is_recent = !reported.received_at.plus(max_age(instance)).is_past(tables.now);
        let tasks = reported.demands.get(team).copied().unwrap_or(0);
        // Demand above the quota can't be served and would reduce the parts of the others.
        is_recent.then(|| tasks.min(u64::from(quota.get())))
    };
    let known = tables.peers.keys().chain([own]);
    let mut demands: BTreeMap<_, _> = known.map(|id| (id.clone(), demand(id))).collect();
    // Without a recent report of one instance, the instances may not agree on the demand. All then
    // use equal parts, which do not depend on reports.
    if demands.values().any(Option::is_none) {
        demands.values_mut().for_each(|demand| *demand = None);
    }
    quota::part(quota, own, &demands).max(Slots::new(1))
}

/// Records the quota usage that an instance has reported. The instance's own reports pass through
/// here too, so that all instances compute the same parts.
pub(crate) fn record_usages(tables: &mut Tables, instance: &id::Instance, usages: &[Usage]) {
    let now = tables.now;
    let reported = tables.quota_usages.entry(instance.clone()).or_default();
    reported.received_at = now;
    // A report lists only some of the teams; the others keep their last usage.
    for usage in usages {
        let tasks = u64::from(usage.queued) + u64::from(usage.in_flight);
        if tasks == 0 {
            reported.demands.remove(&usage.team);
        } else {
            reported.demands.insert(usage.team.clone(), tasks);
        }
    }
    tables.invalidate_quota_parts();
}

/// Returns the number of slots that a job with `waiting` tasks leaves free.
fn headroom(waiting: u32, held: u32) -> u32 {
    let doublings = waiting.max(1).ilog2().saturating_sub(SMALL_JOB.ilog2());
    (doublings * HEADROOM).min(held / HEADROOM_DIVISOR)
}

fn select_target(tables: &mut Tables, sequence: u64, service: &id::Service) -> Option<id::Target> {
    let entry = tables.queues.get(service)?.get(sequence)?;
    let waiting = entry.tasks;
    let held_slots = tables.held_slots.get(service).copied().unwrap_or_default();
    let is_shared = is_shared(tables, service, held_slots);
    // A job that has aged is ahead of every new job, so slots that it left free would stay unused.
    // An instance that holds all slots needs no headroom: one of them is free again soon.
    let is_aged = entry
        .arrived
        .plus(Millis::new(queue::AGEING_PER_TASK.get() * u64::from(waiting)))
        .is_past(tables.now);
    let headroom = if is_shared && !is_aged { headroom(waiting, held_slots.held) } else { 0 };
    let has_room = held_slots.free > headroom;
    if has_room
        && let Some(target) =
            tables.choose_target(sequence, service, |row| is_likely_free(tables, row))
    {
        return Some(target);
    }
    if is_shared {
        let spare = MIN_SPARE_SLOTS + u64::from(waiting > LARGE_JOB);
        let limit = |row: &TargetRow| u64::from(row.target.slots.get()).saturating_sub(spare);
        if let Some(target) = tables.choose_observed(sequence, service, limit) {
            return Some(target);
        }
    }
    if !has_room {
        return None;
    }
    let may_recheck = |row: &TargetRow| {
        let recheck_at =
            row.observed_load.map_or(Timestamp::default(), |seen| seen.at.plus(RECHECK));
        row.avoid_until.is_past(tables.now)
            && (waiting <= SMALL_JOB || recheck_at.is_past(tables.now))
    };
    if let Some(target) = tables.choose_target(sequence, service, may_recheck) {
        return Some(target);
    }
    // The timer retries the held slots, because no event may arrive before they can be used again.
    let busy_target = tables.choose_target(sequence, service, |_| true)?;
    let row = tables.targets.get(&busy_target)?;
    let recheck_at = row.observed_load.map_or(Timestamp::default(), |seen| seen.at.plus(RECHECK));
    let at = recheck_at.max(row.avoid_until).max(tables.now.plus(Millis::new(1)));
    tables.timers.set(at, Timer::Target(busy_target));
    None
}

/// Returns whether a held slot that is free by this instance's count is probably free on the target
/// as well.
fn is_likely_free(tables: &Tables, row: &TargetRow) -> bool {
    row.avoid_until.is_past(tables.now)
        && row.observed_load.is_none_or(|seen| {
            seen.expected(tables.now) < u64::from(row.target.slots.get()) * TASK_ARRIVAL_US
        })
}

/// Returns whether other instances hold slots of the service.
fn is_shared(tables: &Tables, service: &id::Service, held_slots: HeldSlots) -> bool {
    held_slots.held < tables.open_slots(service).get()
}

/// Records the number of running tasks that a target has reported with an answer.
pub(crate) fn record_busy(tables: &mut Tables, target: &id::Target, busy: u32) {
    let now = tables.now;
    if let Some(row) = tables.targets.get_mut(target) {
        row.observed_load = Some(crate::table::ObservedLoad { busy, at: now });
        tables.index_target(target);
    }
}

/// Records that a target refused a start because it has no free slot, and starts its backoff.
pub(crate) fn record_busy_refusal(tables: &mut Tables, target: &id::Target) {
    let until = tables.now.plus(REFUSAL_BACKOFF);
    // If this instance holds all slots of the target, the refusal says nothing about later starts.
    if let Some(row) = tables.targets.get_mut(target)
        && row.held.is_some()
    {
        let busy = row.target.slots.get();
        row.observed_load = Some(crate::table::ObservedLoad { busy, at: tables.now });
        row.avoid_until = until;
        tables.timers.set(until, Timer::Target(target.clone()));
        tables.index_target(target);
    }
}

/// Returns the load of each service with known targets.
pub(crate) fn loads(tables: &Tables) -> Vec<Load> {
    let queued = |service| tables.queues.get(service).map_or(0, |queue| queue.len() as u32);
    let mut in_flight: BTreeMap<&id::Service, u32> = BTreeMap::new();
    for row in tables.targets.values() {
        *in_flight.entry(&row.target.service).or_default() += row.in_flight();
    }
    in_flight
        .into_iter()
        .map(|(service, in_flight)| Load {
            service: service.clone(),
            queued: queued(service),
            in_flight,
            held: Slots::new(tables.held_slots.get(service).map_or(0, |slots| slots.held)),
        })
        .collect()
}

/// Records the load that an instance of the data centre has reported. The instance's own reports
/// pass through here too, so that all instances compute the same division.
pub(crate) fn record_loads(tables: &mut Tables, instance: &id::Instance, loads: &[Load]) {
    let mut is_changed = false;
    for load in loads {
        let expected = equal_part(tables, &load.service);
        let demands = tables.demands.entry(load.service.clone()).or_default();
        let is_new = !demands.contains_key(instance);
        let demand =
            demands.entry(instance.clone()).or_insert_with(|| share::Demand::new(expected));
        let before = demand.reported();
        demand.observe(share::sustained_demand(load.in_flight, load.queued));
        is_changed |= is_new || before != demand.reported();
    }
    if is_changed {
        divide(tables);
    }
}

/// Returns the instances that share the targets of the data centre: this one and the listed peers
/// that have reported and are not leaving. A peer that never reported may not be running, and its
/// slots would stay unused.
fn local_instances(tables: &Tables) -> Vec<id::Instance> {
    let here = &tables.options.data_centre;
    let peers = tables.peers.iter().filter(|(id, row)| {
        row.reported_at.is_some()
            && row.listed.as_ref().is_some_and(|peer| peer.data_centre == *here && !peer.leaving)
            && tables.view.peer(id, tables.now) != State::Leaving
    });
    let mut instances: Vec<id::Instance> = peers.map(|(id, _)| id.clone()).collect();
    instances.push(tables.options.instance.clone());
    instances.sort();
    instances
}

/// Returns the slots of one instance if all listed instances of the data centre held equally many.
/// It depends only on the instance list, so all instances start from the same value.
fn equal_part(tables: &Tables, service: &id::Service) -> u64 {
    let here = &tables.options.data_centre;
    let listed = tables.peers.values().filter_map(|row| row.listed.as_ref());
    let count = 1 + listed.filter(|peer| peer.data_centre == *here).count() as u64;
    u64::from(tables.slots(service).get()) / count
}

/// Divides the slots of every service between the instances of the data centre.
///
/// An instance that has not reported on a service counts with the equal part as its demand. One
/// that stops reporting counts with its last demand until it leaves the list. Targets of other data
/// centres are used only while no local target of the service is listed, or while the data centre
/// is evacuated.
pub(crate) fn divide(tables: &mut Tables) {
    tables.forget_quota_usages();
    let instances = local_instances(tables);
    let here = tables.options.data_centre.clone();
    let own = tables.options.instance.clone();
    let mut services: BTreeMap<id::Service, Vec<(id::Target, Slots)>> = BTreeMap::new();
    let mut held: Vec<(id::Target, Option<Slots>)> = Vec::new();
    for row in tables.targets.values().filter(|row| row.is_divided()) {
        let targets = services.entry(row.target.service.clone()).or_default();
        if row.target.data_centre == here {
            targets.push((row.target.id.clone(), row.target.slots));
        }
    }
    for row in tables.targets.values().filter(|row| row.is_divided()) {
        let is_local = row.target.data_centre == here;
        let has_local = !services[&row.target.service].is_empty();
        if !is_local || instances.len() == 1 {
            // No slot of a remote target is used while a local one is listed. Otherwise, all are.
            let limit = (!is_local && has_local).then_some(Slots::new(0));
            held.push((row.target.id.clone(), limit));
        }
    }
    for (service, targets) in services.iter().filter(|_| instances.len() > 1) {
        let known = tables.demands.get(service);
        let expected = equal_part(tables, service);
        let demand = |instance: &id::Instance| {
            known.and_then(|known| known.get(instance)).map_or(expected, share::Demand::reported)
        };
        let demands = instances.iter().map(|id| (id.clone(), demand(id).max(1))).collect();
        let division = share::divide(targets, &demands);
        let parts = targets.iter().zip(&division[&own]);
        held.extend(parts.map(|((target, _), slots)| (target.clone(), Some(*slots))));
    }
    for (target, held) in held {
        if let Some(row) = tables.targets.get_mut(&target)
            && row.held != held
        {
            row.held = held;
            tables.index_target(&target);
        }
    }
}

/// Sets the timer for the next report, if there are peers and none is set.
pub(crate) fn plan_report(tables: &mut Tables) {
    let Some(interval) = tables.options.report_interval else { return };
    if !tables.is_report_planned && !tables.peers.is_empty() {
        tables.is_report_planned = true;
        let span = if tables.has_reported { interval } else { FIRST_REPORT_DELAY };
        tables.timers.set(tables.now.plus(span), Timer::Report);
    }
}

/// Creates the periodic report and schedules its exchange with the peers.
pub(crate) fn report(tables: &mut Tables, stopping: bool) {
    tables.is_report_planned = false;
    tables.has_reported = true;
    plan_report(tables);
    make_report(tables, stopping);
    let now = tables.now;
    if let Some(schedule) = &mut tables.schedule {
        schedule.reported(now);
    }
}

/// Sends the report to the peers whose exchange is due.
pub(crate) fn exchange(tables: &mut Tables, stopping: bool, out: &mut Vec<Command>) {
    let now = tables.now;
    let Some(schedule) = &mut tables.schedule else { return };
    if !schedule.next_deadline().is_some_and(|at| at.is_past(now)) {
        return;
    }
    let is_broadcast = schedule.is_broadcast_due(now);
    let to: Vec<id::Instance> = schedule.due(now).into_iter().collect();
    if to.is_empty() {
        return;
    }
    if is_broadcast {
        make_report(tables, stopping);
    }
    let report = current_report(tables, stopping);
    out.push(Command::SendReport { to, report });
}

/// Returns the last report with the current leaving marks. Before the first report, the result has
/// no loads and no usages.
pub(crate) fn current_report(tables: &Tables, stopping: bool) -> Arc<Report> {
    let bare = bare_report(tables, stopping);
    let Some(made) = &tables.report else { return Arc::new(bare) };
    let (loads, usages) = (made.loads.clone(), made.usages.clone());
    Arc::new(Report { made_at: made.made_at, loads, usages, ..bare })
}

fn bare_report(tables: &Tables, stopping: bool) -> Report {
    Report {
        from: tables.options.instance.clone(),
        data_centre: tables.options.data_centre.clone(),
        made_at: tables.now,
        loads: Vec::new(),
        usages: Vec::new(),
        leaving: tables.view.marks(tables.now),
        in_force: Vec::new(),
        stopping,
    }
}

/// Creates a report with loads and usages and records it like a report of a peer. All peers of the
/// data centre get the same reports, so all compute the same division.
fn make_report(tables: &mut Tables, stopping: bool) {
    let loads = loads(tables);
    let used = tables.teams.iter().filter(|(_, row)| row.occupancy.tasks > 0 || row.in_flight > 0);
    let usages = used
        .map(|(team, row)| Usage {
            team: team.clone(),
            queued: row.occupancy.tasks,
            in_flight: row.in_flight,
        })
        .collect();
    let usages = tables.selection.choose(usages);
    let own = tables.options.instance.clone();
    record_usages(tables, &own, &usages);
    record_loads(tables, &own, &loads);
    tables.report = Some(Report { loads, usages, ..bare_report(tables, stopping) });
}
