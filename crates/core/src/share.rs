//! Division of the slots of a service between the instances of a data centre.
//!
//! The division is a pure function of the targets and of each instance's demand. Instances that
//! have the same reports therefore compute the same division without further messages. Every slot
//! has exactly one holder, and a small change of demand moves few slots.
//!
//! # Example
//!
//! ```
//! use std::collections::BTreeMap;
//! use verbenapass::share;
//! use verbenapass::unit::Slots;
//!
//! let targets = vec![("target-1".parse()?, Slots::new(8)), ("target-2".parse()?, Slots::new(8))];
//! let demands = BTreeMap::from([("entry-1".parse()?, 30), ("entry-2".parse()?, 10)]);
//! let division = share::divide(&targets, &demands);
//! let first: u32 = division[&"entry-1".parse()?].iter().map(|slots| slots.get()).sum();
//! assert_eq!(first, 12);
//! # Ok::<(), verbenapass::id::Error>(())
//! ```

use crate::id;
use crate::unit::Slots;
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// Number of slots that each instance holds on each target, in the order of the targets.
pub type Division = BTreeMap<id::Instance, Vec<Slots>>;

/// Weight of a new observation in the exponentially smoothed demand.
const SMOOTHING: f64 = 0.1;

/// Factor by which the smoothed demand must differ from the reported demand to replace it. Under a
/// steady load, large jobs alone make the smoothed demand vary by about a quarter.
const HYSTERESIS: f64 = 1.7;

/// Returns the number of slots that an instance can use for some time, from its running and queued
/// tasks. Queued tasks count at most as many as running ones: a longer queue is usually due to a
/// single large job.
pub fn sustained_demand(in_flight: u32, queued: u32) -> u64 {
    u64::from(in_flight) + u64::from(queued.min(in_flight))
}

/// Smoothed demand of one instance with hysteresis, so that only lasting changes move slots.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    smoothed: f64,
    reported: f64,
}

impl Demand {
    /// Creates a demand with an initial value, in slots.
    pub const fn new(expected: u64) -> Self {
        Self { smoothed: expected as f64, reported: expected as f64 }
    }

    /// Adds an observation, in tasks; see [`sustained_demand`].
    pub fn observe(&mut self, tasks: u64) {
        self.smoothed += (tasks as f64 - self.smoothed) * SMOOTHING;
        let smoothed = self.smoothed.max(1.0);
        if smoothed > self.reported * HYSTERESIS || smoothed * HYSTERESIS < self.reported {
            self.reported = smoothed;
        }
    }

    /// Returns the demand that the division uses, at least 1.
    pub const fn reported(&self) -> u64 {
        if self.reported < 1.0 { 1 } else { self.reported as u64 }
    }
}

/// Apportions a number of slots to demand by the largest remainder method. Every instance gets at
/// least one slot if there are enough, so that an idle instance can run its first job.
pub fn apportion(slots: u32, demands: &BTreeMap<id::Instance, u64>) -> BTreeMap<id::Instance, u32> {
    let count = demands.len() as u64;
    if count == 0 {
        return BTreeMap::new();
    }
    let floor = u64::from(u64::from(slots) >= count);
    let divisible = u64::from(slots) - floor * count;
    let total: u64 = demands.values().sum();
    // Without any demand, all instances have equal weight.
    let weight = |demand: u64| if total == 0 { 1 } else { demand };
    let total = if total == 0 { count } else { total };
    let mut parts: BTreeMap<_, _> = demands
        .iter()
        .map(|(instance, demand)| {
            (instance.clone(), (floor + divisible * weight(*demand) / total) as u32)
        })
        .collect();
    let unassigned = slots - parts.values().sum::<u32>();
    let mut remainders: Vec<_> = demands
        .iter()
        .map(|(instance, demand)| (divisible * weight(*demand) % total, instance))
        .collect();
    remainders.sort_by(|a, b| b.0.cmp(&a.0).then(a.1.cmp(b.1)));
    for (_, instance) in remainders.into_iter().take(unassigned as usize) {
        *parts.get_mut(instance).expect("same keys") += 1;
    }
    parts
}

/// Divides the slots of the targets in proportion to demand.
///
/// Each slot ranks the instances by rendezvous hashing and goes to the first one that has not yet
/// got all the slots apportioned to it.
pub fn divide(targets: &[(id::Target, Slots)], demands: &BTreeMap<id::Instance, u64>) -> Division {
    let total = targets.iter().map(|(_, slots)| slots.get()).sum();
    let mut remaining = apportion(total, demands);
    let mut division: Division = demands
        .keys()
        .map(|instance| (instance.clone(), vec![Slots::new(0); targets.len()]))
        .collect();
    if demands.is_empty() {
        return division;
    }
    let mut slots: Vec<(u64, usize, u32)> = targets
        .iter()
        .enumerate()
        .flat_map(|(index, (target, slots))| {
            (0..slots.get())
                .map(move |slot| (xxh3_64(format!("{target}/{slot}").as_bytes()), index, slot))
        })
        .collect();
    slots.sort_unstable();
    for (hash, index, _) in slots {
        let holder = remaining
            .iter()
            .filter(|(_, part)| **part > 0)
            .map(|(instance, _)| instance)
            .max_by_key(|instance| {
                xxh3_64(&[&hash.to_le_bytes()[..], instance.as_str().as_bytes()].concat())
            })
            .cloned();
        let Some(holder) = holder else { break };
        *remaining.get_mut(&holder).expect("listed above") -= 1;
        let held = &mut division.get_mut(&holder).expect("same keys")[index];
        *held = Slots::new(held.get() + 1);
    }
    division
}

/// Returns the instance that owns a whole target, by rendezvous hashing; `None` without instances.
pub fn owner<'a>(
    target: &id::Target,
    instances: impl IntoIterator<Item = &'a id::Instance>,
) -> Option<&'a id::Instance> {
    instances.into_iter().max_by_key(|instance| xxh3_64(format!("{target}/{instance}").as_bytes()))
}
