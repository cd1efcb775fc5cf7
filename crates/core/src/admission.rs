//! Admission control: the checks that accept, refuse or fail a job at its arrival.

use crate::id;
use crate::job::{Resources, Submission};
use crate::outcome::{Failure, Outcome, Refusal, Step};
use crate::settings;
use crate::time::Timestamp;
use crate::unit::{Bytes, Micros, Millis, Slots};
use std::collections::HashMap;

/// Limits of the queue of one instance, all teams together.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Maximum number of queued tasks; 200,000 by default.
    pub max_tasks: u32,
    /// Maximum total size of their payloads; 64 MiB by default.
    pub max_bytes: Bytes,
}

impl Default for Limits {
    fn default() -> Self {
        Self { max_tasks: 200_000, max_bytes: Bytes::new(64 * 1_024 * 1_024) }
    }
}

/// Tasks and bytes that a queue holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Occupancy {
    /// Tasks that wait for a slot or for the claim of their job.
    pub tasks: u32,
    /// Total size of their payloads, in bytes.
    pub bytes: u64,
}

impl Occupancy {
    /// Returns the occupancy of a job whose tasks are all queued.
    pub fn of(submission: &Submission) -> Self {
        let bytes = submission.tasks.iter().map(|task| task.payload.len() as u64).sum();
        Self { tasks: submission.tasks.len() as u32, bytes }
    }
}

/// Capacity of the listed targets of one service.
#[derive(Clone, Debug, Default)]
pub struct Capacity {
    /// Number of targets on the list.
    pub targets: u32,
    /// Number of targets that may get tasks: not leaving, reachable, not ejected and not in an
    /// evacuated data centre.
    pub usable: u32,
    /// Number of targets that would be usable if their data centre were not evacuated.
    pub withheld: u32,
    /// Slots of all targets on the list.
    pub slots: Slots,
    /// Number of targets on the list outside of evacuated data centres.
    pub open_targets: u32,
    /// Slots of the targets on the list outside of evacuated data centres.
    pub open_slots: Slots,
    /// What single targets offer to one task, without offers that another one covers.
    offers: Vec<Resources>,
    /// The same for the targets outside of evacuated data centres.
    open_offers: Vec<Resources>,
}

impl Capacity {
    /// Resets everything except the numbers of usable and of withheld targets.
    pub(crate) fn clear(&mut self) {
        *self = Self { usable: self.usable, withheld: self.withheld, ..Self::default() };
    }

    /// Adds a listed target; the numbers of usable and of withheld targets are unchanged.
    pub fn add(&mut self, slots: Slots, offer: Resources, is_evacuated: bool) {
        self.targets += 1;
        self.slots = Slots::new(self.slots.get() + slots.get());
        add_offer(&mut self.offers, offer);
        if !is_evacuated {
            self.open_targets += 1;
            self.open_slots = Slots::new(self.open_slots.get() + slots.get());
            add_offer(&mut self.open_offers, offer);
        }
    }

    /// Returns why no target can get a task with this demand at present; `None` if one can, or if
    /// the targets that could are expected to be usable again soon.
    ///
    /// A task that only targets of evacuated data centres can run has [`Refusal::Evacuated`], since
    /// an evacuation usually lasts longer than a deadline.
    pub fn obstacle(&self, demand: &Resources) -> Option<Refusal> {
        if self.usable == 0 {
            let is_withheld = self.withheld > 0;
            return Some(if is_withheld { Refusal::Evacuated } else { Refusal::NoTargets });
        }
        let covers = |offer: &Resources| offer.covers(demand);
        let is_evacuated = self.open_targets < self.targets
            && self.offers.iter().any(covers)
            && !self.open_offers.iter().any(covers);
        is_evacuated.then_some(Refusal::Evacuated)
    }

    /// Returns whether any listed target offers the resources that a task needs.
    pub fn can_run(&self, demand: &Resources) -> bool {
        self.offers.iter().any(|offer| offer.covers(demand))
    }
}

fn add_offer(offers: &mut Vec<Resources>, offer: Resources) {
    if offers.iter().any(|known| known.covers(&offer)) {
        return;
    }
    offers.retain(|known| !offer.covers(known));
    offers.push(offer);
}

/// Returns a failure if a job can never run: it exceeds what its team may use or what any listed
/// target offers. `service_of` returns the service of a task, given its index.
pub fn never_runs<'a>(
    submission: &Submission,
    team: &settings::Team,
    bytes: u64,
    service_of: impl Fn(usize) -> &'a id::Service,
    capacities: &HashMap<id::Service, Capacity>,
) -> Option<Outcome> {
    let failed = |task, message| {
        Some(Outcome::Failed(Failure { task, step: Step::Admit, target: None, message }))
    };
    let tasks = submission.tasks.len();
    if team.quota_slots.get() == 0 {
        return failed(0, "the quota of the team is 0 slots".into());
    }
    if tasks > team.max_queued_tasks as usize {
        let bound = team.max_queued_tasks;
        return failed(0, format!("job has {tasks} tasks, the team may queue {bound}"));
    }
    if bytes > team.max_queued_bytes.get() {
        let bound = team.max_queued_bytes;
        return failed(0, format!("job has {bytes}B of payload, the team may queue {bound}"));
    }
    for (index, task) in submission.tasks.iter().enumerate() {
        let service = service_of(index);
        // Without a listed target, what the service offers is unknown.
        let Some(capacity) = capacities.get(service).filter(|capacity| capacity.targets > 0) else {
            continue;
        };
        if !capacity.can_run(&task.demand) {
            let Resources { memory, accelerators } = task.demand;
            let message = format!(
                "task needs {memory} of memory and {accelerators} accelerators, \
                 no target of service {service} offers that"
            );
            return failed(index as u32, message);
        }
    }
    None
}

/// Returns a refusal if the queue has no room for a job.
pub fn exceeds(
    occupancy: Occupancy,
    job: Occupancy,
    max_tasks: u32,
    max_bytes: Bytes,
) -> Option<Refusal> {
    let tasks = u64::from(occupancy.tasks) + u64::from(job.tasks);
    let is_full = tasks > u64::from(max_tasks) || occupancy.bytes + job.bytes > max_bytes.get();
    is_full.then_some(Refusal::QueueFull)
}

/// Returns whether a job can't meet its deadline even with all slots to itself. `work` is the sum
/// of the estimated run times of its tasks, `longest` the longest of them.
pub fn misses_deadline(
    deadline: Timestamp,
    work: Micros,
    longest: Micros,
    slots: Slots,
    now: Timestamp,
) -> bool {
    let work_per_slot = work.get() / u64::from(slots.get().max(1));
    now.plus_micros(Micros::new(work_per_slot.max(longest.get()))) > deadline
}

/// Minimum number of results of a kind before its measured run times are used.
const MIN_RESULTS: u32 = 20;

/// Minimum time without a result before a target is queried about a start. Each query costs a
/// connection, and most tasks end within a second.
const MIN_SILENCE: Millis = Millis::new(1_000);

/// Time without a result before a target is queried, if the run time is neither measured nor
/// declared.
const UNKNOWN_SILENCE: Millis = Millis::new(5_000);

/// Divisor that gives the weight of a new run time in the moving averages.
const SMOOTHING: u64 = 16;

/// Moving averages of the run time of a kind, in microseconds.
#[derive(Clone, Copy, Debug, Default)]
struct Statistics {
    results: u32,
    mean: u64,
    /// Mean absolute deviation.
    deviation: u64,
}

/// Measured run times by team and kind.
#[derive(Debug, Default)]
pub(crate) struct Runtimes(HashMap<id::Team, HashMap<id::Kind, Statistics>>);

impl Runtimes {
    pub(crate) fn record(&mut self, team: &id::Team, kind: &id::Kind, run: Micros) {
        if !self.0.contains_key(team) {
            self.0.insert(team.clone(), HashMap::new());
        }
        let Some(kinds) = self.0.get_mut(team) else { return };
        if !kinds.contains_key(kind) {
            kinds.insert(kind.clone(), Statistics::default());
        }
        let Some(stats) = kinds.get_mut(kind) else { return };
        let run = run.get();
        if stats.results == 0 {
            stats.mean = run;
            stats.deviation = run / 2;
        } else {
            let difference = run.abs_diff(stats.mean);
            stats.mean = (stats.mean * (SMOOTHING - 1) + run) / SMOOTHING;
            stats.deviation = (stats.deviation * (SMOOTHING - 1) + difference) / SMOOTHING;
        }
        stats.results = stats.results.saturating_add(1);
    }

    pub(crate) fn retain(&mut self, is_known: impl Fn(&id::Team) -> bool) {
        self.0.retain(|team, _| is_known(team));
    }

    fn stats(&self, team: &id::Team, kind: &id::Kind) -> Option<&Statistics> {
        self.0.get(team)?.get(kind).filter(|stats| stats.results >= MIN_RESULTS)
    }

    /// Returns a run time that most tasks of the kind exceed; `None` with too few results.
    pub(crate) fn lower_estimate(&self, team: &id::Team, kind: &id::Kind) -> Option<Micros> {
        let stats = self.stats(team, kind)?;
        Some(Micros::new(stats.mean.saturating_sub(2 * stats.deviation)))
    }

    /// Returns the time without a result after which the target of a start is queried about it.
    pub(crate) fn silence_timeout(
        &self,
        team: &id::Team,
        kind: &id::Kind,
        declared: Option<Millis>,
    ) -> Micros {
        let usual = match (self.stats(team, kind), declared) {
            (Some(stats), _) => stats.mean.saturating_add(8 * stats.deviation),
            (None, Some(declared)) => declared.to_micros().get().saturating_mul(4),
            (None, None) => UNKNOWN_SILENCE.to_micros().get(),
        };
        Micros::new(usual.max(MIN_SILENCE.to_micros().get()))
    }
}
