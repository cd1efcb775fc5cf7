//! Choice of the next task and of its target.
//!
//! Each instance holds some of the slots of a service and starts its tasks there, jobs with the
//! fewest waiting tasks first. Larger jobs leave some slots free for smaller ones. When no held slot
//! is free, a task goes to a target that its last answer has shown to be idle, whoever holds it.

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

/// Slots left free for each doubling of the waiting tasks of a job beyond [`SMALL_JOB`].
const HEADROOM: u32 = 2;

/// Largest part of the held slots that is left free.
const MAX_HEADROOM: u32 = 8;

/// Waiting tasks of a job that leaves no slot free and that does not wait for a sure slot.
const SMALL_JOB: u32 = 8;

/// Waiting tasks from which a job takes only the idlest targets of others.
const LARGE_JOB: u32 = 100;

/// Free slots, beyond the one taken, that a target must have shown before others use it.
const SPARE: u64 = 2;

/// Time after which a held slot on a target that was seen full is tried again.
const RECHECK: Millis = Millis::new(100);

/// Time for which a target is left alone after it refused a start: about the rest of a task.
const SHUN: Millis = Millis::new(300);

/// Time from the first list with peers to the first report.
const FIRST_REPORT: Millis = Millis::new(200);

/// Report intervals for which the last report of an instance counts in the division of quotas. One
/// lost or late report does not move the parts.
const KEPT_REPORTS: u64 = 3;

/// Starts queued tasks while there are slots for them.
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
            let Some(target) = choose(tables, sequence, &service) else { break };
            tables.start(sequence, &service, &target, out);
        }
    }
}

fn next_job(tables: &mut Tables, service: &id::Service) -> Option<u64> {
    let held = tables.held_slots.get(service).map_or(0, |idle| idle.held);
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

/// Returns the part of a team's quota that this instance may use. It follows the reported demand
/// while all known instances report, and is an equal part otherwise.
///
/// It is at least one slot, so that a team with a smaller quota than there are instances can run
/// tasks at each of them. Such a team may use as many slots as there are instances.
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
    // Instances of another data centre are heard in turn, one in an interval.
    let kept = |instance: &id::Instance| {
        let listed = tables.peers.get(instance).and_then(|row| row.listed.as_ref());
        let remote = listed.filter(|peer| peer.data_centre != tables.options.data_centre);
        let turns = remote.map_or(1, |peer| sizes[&peer.data_centre]);
        Millis::new(interval * KEPT_REPORTS * turns)
    };
    let demand = |instance: &id::Instance| {
        let uses = tables.quota_uses.get(instance)?;
        let is_kept = !uses.learnt_at.plus(kept(instance)).is_past(tables.now);
        let tasks = uses.demands.get(team).copied().unwrap_or(0);
        // A larger demand can't be served, and would leave little to the others.
        is_kept.then(|| tasks.min(u64::from(quota.get())))
    };
    let known = tables.peers.keys().chain([own]);
    let mut demands: BTreeMap<_, _> = known.map(|id| (id.clone(), demand(id))).collect();
    // The others may not hear from a silent instance either, or it may not hear from them. All use
    // the equal part then, which does not depend on reports.
    if demands.values().any(Option::is_none) {
        demands.values_mut().for_each(|demand| *demand = None);
    }
    quota::part(quota, own, &demands).max(Slots::new(1))
}

/// Takes in the use of the quotas that an instance has reported. The own reports count like those
/// of the others, so that all compute the same parts.
pub(crate) fn learn_usages(tables: &mut Tables, instance: &id::Instance, usages: &[Usage]) {
    let now = tables.now;
    let learnt = tables.quota_uses.entry(instance.clone()).or_default();
    learnt.learnt_at = now;
    // A team that a report leaves out has about the use that was reported last.
    for usage in usages {
        let tasks = u64::from(usage.queued) + u64::from(usage.in_flight);
        if tasks == 0 {
            learnt.demands.remove(&usage.team);
        } else {
            learnt.demands.insert(usage.team.clone(), tasks);
        }
    }
    tables.invalidate_quota_parts();
}

/// Returns the slots that a job of so many waiting tasks leaves free.
fn headroom(waiting: u32, held: u32) -> u32 {
    let doublings = waiting.max(1).ilog2().saturating_sub(SMALL_JOB.ilog2());
    (doublings * HEADROOM).min(held / MAX_HEADROOM)
}

fn choose(tables: &mut Tables, sequence: u64, service: &id::Service) -> Option<id::Target> {
    let entry = tables.queues.get(service)?.get(sequence)?;
    let waiting = entry.tasks;
    let idle = tables.held_slots.get(service).copied().unwrap_or_default();
    let is_shared = is_shared(tables, service, idle);
    // A job that has aged before all new ones would hold them up while it leaves slots free. An
    // instance that holds all slots has one free again soon enough.
    let is_aged = entry
        .arrived
        .plus(Millis::new(queue::AGEING_PER_TASK.get() * u64::from(waiting)))
        .is_past(tables.now);
    let headroom = if is_shared && !is_aged { headroom(waiting, idle.held) } else { 0 };
    let has_room = idle.free > headroom;
    if has_room
        && let Some(target) = tables.choose_target(sequence, service, |row| is_sure(tables, row))
    {
        return Some(target);
    }
    if is_shared {
        let spare = SPARE + u64::from(waiting > LARGE_JOB);
        let limit = |row: &TargetRow| u64::from(row.target.slots.get()).saturating_sub(spare);
        if let Some(target) = tables.choose_observed(sequence, service, limit) {
            return Some(target);
        }
    }
    if !has_room {
        return None;
    }
    let is_due = |row: &TargetRow| {
        let recheck_at =
            row.observed_load.map_or(Timestamp::default(), |seen| seen.at.plus(RECHECK));
        row.avoid_until.is_past(tables.now)
            && (waiting <= SMALL_JOB || recheck_at.is_past(tables.now))
    };
    if let Some(target) = tables.choose_target(sequence, service, is_due) {
        return Some(target);
    }
    // No event may come before the held slots can be tried again.
    let unsure = tables.choose_target(sequence, service, |_| true)?;
    let row = tables.targets.get(&unsure)?;
    let recheck_at = row.observed_load.map_or(Timestamp::default(), |seen| seen.at.plus(RECHECK));
    let at = recheck_at.max(row.avoid_until).max(tables.now.plus(Millis::new(1)));
    tables.timers.set(at, Timer::Target(unsure));
    None
}

/// Tells whether a free held slot on a target is most probably free at the target too.
fn is_sure(tables: &Tables, row: &TargetRow) -> bool {
    row.avoid_until.is_past(tables.now)
        && row.observed_load.is_none_or(|seen| {
            seen.expected(tables.now) < u64::from(row.target.slots.get()) * TASK_ARRIVAL_US
        })
}

/// Tells whether slots of the service are held by others.
fn is_shared(tables: &Tables, service: &id::Service, idle: HeldSlots) -> bool {
    idle.held < tables.slots(service).get()
}

/// Takes in the number of tasks that a target runs, as its answer has shown it.
pub(crate) fn observe(tables: &mut Tables, target: &id::Target, busy: u32) {
    let now = tables.now;
    if let Some(row) = tables.targets.get_mut(target) {
        row.observed_load = Some(crate::table::ObservedLoad { busy, at: now });
        tables.index_target(target);
    }
}

/// Takes in that a target refused a start because it has no free slot.
pub(crate) fn refused(tables: &mut Tables, target: &id::Target) {
    let until = tables.now.plus(SHUN);
    // Without other holders the refusal says nothing about the time after it.
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

/// Returns the load of each service with tasks or slots here.
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
            held: Slots::new(tables.held_slots.get(service).map_or(0, |idle| idle.held)),
        })
        .collect()
}

/// Takes in the load that an instance of the data centre has reported. The own reports count like
/// those of the others, so that all compute the same division.
pub(crate) fn learn(tables: &mut Tables, instance: &id::Instance, loads: &[Load]) {
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
/// that have reported. A peer that was never heard of may not run, and its slots would lie idle.
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

/// Returns the part of one instance if all listed ones had the same. It depends on the list alone,
/// so that all instances start from the same value.
fn equal_part(tables: &Tables, service: &id::Service) -> u64 {
    let here = &tables.options.data_centre;
    let listed = tables.peers.values().filter_map(|row| row.listed.as_ref());
    let count = 1 + listed.filter(|peer| peer.data_centre == *here).count() as u64;
    u64::from(tables.slots(service).get()) / count
}

/// Divides the slots of every service between the instances of the data centre. An instance that
/// has not reported on a service counts as using its equal part, a silent one with its last demand
/// until it is no longer listed. Targets of other data centres are used only while no local one is
/// listed.
pub(crate) fn divide(tables: &mut Tables) {
    tables.forget_quota_uses();
    let instances = local_instances(tables);
    let here = tables.options.data_centre.clone();
    let own = tables.options.instance.clone();
    let mut services: BTreeMap<id::Service, Vec<(id::Target, Slots)>> = BTreeMap::new();
    let mut held: Vec<(id::Target, Option<Slots>)> = Vec::new();
    // A leaving target takes no tasks, so that its slots would be of no use to their holder.
    for row in tables.targets.values().filter(|row| row.listed && !row.leaving) {
        let targets = services.entry(row.target.service.clone()).or_default();
        if row.target.data_centre == here {
            targets.push((row.target.id.clone(), row.target.slots));
        }
    }
    for row in tables.targets.values().filter(|row| row.listed && !row.leaving) {
        let is_local = row.target.data_centre == here;
        let has_local = !services[&row.target.service].is_empty();
        if !is_local || instances.len() == 1 {
            let none = (!is_local && has_local).then_some(Slots::new(0));
            held.push((row.target.id.clone(), none));
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

/// Plans the next report if there are peers.
pub(crate) fn plan_report(tables: &mut Tables) {
    let Some(interval) = tables.options.report_interval else { return };
    if !tables.has_report && !tables.peers.is_empty() {
        tables.has_report = true;
        let span = if tables.has_reported { interval } else { FIRST_REPORT };
        tables.timers.set(tables.now.plus(span), Timer::Report);
    }
}

/// Makes the periodic report.
pub(crate) fn report(tables: &mut Tables, stopping: bool) {
    tables.has_report = false;
    tables.has_reported = true;
    plan_report(tables);
    make_report(tables, stopping);
    let now = tables.now;
    if let Some(schedule) = &mut tables.schedule {
        schedule.reported(now);
    }
}

/// Starts the exchanges of reports that are due.
pub(crate) fn exchange(tables: &mut Tables, stopping: bool, out: &mut Vec<Command>) {
    let now = tables.now;
    let Some(schedule) = &mut tables.schedule else { return };
    if !schedule.next_deadline().is_some_and(|at| at.is_past(now)) {
        return;
    }
    let has_news = schedule.is_broadcast_due(now);
    let to: Vec<id::Instance> = schedule.due(now).into_iter().collect();
    if to.is_empty() {
        return;
    }
    if has_news {
        make_report(tables, stopping);
    }
    let report = current_report(tables, stopping);
    out.push(Command::SendReport { to, report });
}

/// Returns the report that was made last, with the present marks. Before the first one, it is a
/// report without load and use.
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

/// Makes a report of load and use, and counts it like those of the peers. All peers of the data
/// centre get the same reports, so that all compute the same division.
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
    learn_usages(tables, &own, &usages);
    learn(tables, &own, &loads);
    tables.report = Some(Report { loads, usages, ..bare_report(tables, stopping) });
}
