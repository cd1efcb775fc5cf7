//! Acceptance or refusal of jobs at their arrival.

use crate::id;
use crate::job::{Demand, Submission};
use crate::outcome::{Failure, Outcome, Refusal, Step};
use crate::settings;
use crate::time::Timestamp;
use crate::unit::{Bytes, Micros, Millis, Slots};
use std::collections::HashMap;

/// Bounds of the queue of one instance, all teams together.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Most tasks.
    pub max_tasks: u32,
    /// Most bytes of payload.
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
    /// Bytes of their payloads.
    pub bytes: u64,
}

impl Occupancy {
    /// Returns what all tasks of a job take up.
    pub fn of(submission: &Submission) -> Self {
        let bytes = submission.tasks.iter().map(|task| task.payload.len() as u64).sum();
        Self { tasks: submission.tasks.len() as u32, bytes }
    }
}

/// What the listed targets of one service offer.
#[derive(Clone, Debug, Default)]
pub struct Capacity {
    /// Targets on the list.
    pub targets: u32,
    /// Targets that may get tasks: not leaving, reachable and not ejected.
    pub usable: u32,
    /// Slots of all targets on the list.
    pub slots: Slots,
    /// Offers of memory and accelerators for one task, without those that another one exceeds.
    offers: Vec<Demand>,
}

impl Capacity {
    /// Removes all targets but leaves the count of usable ones.
    pub(crate) fn clear(&mut self) {
        *self = Self { usable: self.usable, ..Self::default() };
    }

    /// Adds a target.
    pub fn add(&mut self, slots: Slots, offer: Demand) {
        self.targets += 1;
        self.slots = Slots::new(self.slots.get() + slots.get());
        if self.offers.iter().any(|known| known.covers(&offer)) {
            return;
        }
        self.offers.retain(|known| !offer.covers(known));
        self.offers.push(offer);
    }

    /// Tells whether any target could run a task with this demand.
    pub fn can_run(&self, demand: &Demand) -> bool {
        self.offers.iter().any(|offer| offer.covers(demand))
    }
}

/// Tells whether a job exceeds what its team or the fleet can ever offer. `service_of` names the
/// service of each task.
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
        // Without any target on the list nothing is known about what the service offers.
        let Some(capacity) = capacities.get(service).filter(|capacity| capacity.targets > 0) else {
            continue;
        };
        if !capacity.can_run(&task.demand) {
            let Demand { memory, accelerators } = task.demand;
            let message = format!(
                "task needs {memory} of memory and {accelerators} accelerators, \
                 no target of service {service} offers that"
            );
            return failed(index as u32, message);
        }
    }
    None
}

/// Tells which bound a job would exceed in a queue.
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

/// Tells whether a job can't end in time even if it had all slots to itself: `work` is the sum of
/// the learnt run times of its tasks, `longest` the longest of them.
pub fn is_too_late(
    deadline: Timestamp,
    work: Micros,
    longest: Micros,
    slots: Slots,
    now: Timestamp,
) -> bool {
    let shared = work.get() / u64::from(slots.get().max(1));
    now.plus_micros(Micros::new(shared.max(longest.get()))) > deadline
}

/// Results from which on a learnt run time counts.
const MIN_RESULTS: u32 = 20;

/// Least silence after which a target is asked about a start. Each question costs a connection, and
/// most tasks end within a second.
const MIN_SILENCE: Millis = Millis::new(1_000);

/// Silence after which a target is asked about a start of which nothing is known.
const UNKNOWN_SILENCE: Millis = Millis::new(5_000);

/// Weight of a new run time against the learnt one, as a divisor.
const SMOOTHING: u64 = 16;

/// Learnt run time of one class of task.
#[derive(Clone, Copy, Debug, Default)]
struct Learnt {
    results: u32,
    mean: u64,
    deviation: u64,
}

/// Learnt run times by team and kind.
#[derive(Debug, Default)]
pub(crate) struct Runtimes(HashMap<id::Team, HashMap<id::Kind, Learnt>>);

impl Runtimes {
    pub(crate) fn record(&mut self, team: &id::Team, kind: &id::Kind, run: Micros) {
        if !self.0.contains_key(team) {
            self.0.insert(team.clone(), HashMap::new());
        }
        let Some(kinds) = self.0.get_mut(team) else { return };
        if !kinds.contains_key(kind) {
            kinds.insert(kind.clone(), Learnt::default());
        }
        let Some(learnt) = kinds.get_mut(kind) else { return };
        let run = run.get();
        if learnt.results == 0 {
            learnt.mean = run;
            learnt.deviation = run / 2;
        } else {
            let apart = run.abs_diff(learnt.mean);
            learnt.mean = (learnt.mean * (SMOOTHING - 1) + run) / SMOOTHING;
            learnt.deviation = (learnt.deviation * (SMOOTHING - 1) + apart) / SMOOTHING;
        }
        learnt.results = learnt.results.saturating_add(1);
    }

    pub(crate) fn retain(&mut self, is_known: impl Fn(&id::Team) -> bool) {
        self.0.retain(|team, _| is_known(team));
    }

    fn learnt(&self, team: &id::Team, kind: &id::Kind) -> Option<&Learnt> {
        self.0.get(team)?.get(kind).filter(|learnt| learnt.results >= MIN_RESULTS)
    }

    /// Returns a run time that most tasks of the class exceed.
    pub(crate) fn lower_estimate(&self, team: &id::Team, kind: &id::Kind) -> Option<Micros> {
        let learnt = self.learnt(team, kind)?;
        Some(Micros::new(learnt.mean.saturating_sub(2 * learnt.deviation)))
    }

    /// Returns how long a start of the class may stay silent before its target is asked about it.
    pub(crate) fn silence_timeout(
        &self,
        team: &id::Team,
        kind: &id::Kind,
        declared: Option<Millis>,
    ) -> Micros {
        let usual = match (self.learnt(team, kind), declared) {
            (Some(learnt), _) => learnt.mean.saturating_add(8 * learnt.deviation),
            (None, Some(declared)) => declared.to_micros().get().saturating_mul(4),
            (None, None) => UNKNOWN_SILENCE.to_micros().get(),
        };
        Micros::new(usual.max(MIN_SILENCE.to_micros().get()))
    }
}
