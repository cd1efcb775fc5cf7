//! Division of the slots of a service between the instances of a data centre.
//!
//! The division is a pure function of the slots and of each instance's demand: instances that have
//! the same reports compute the same division without a further message. Every slot has exactly
//! one holder, and a small change of demand moves few slots.
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

/// Slots held by each instance, in the order of the targets.
pub type Division = BTreeMap<id::Instance, Vec<Slots>>;

/// Weight of a new observation in the smoothed demand.
const SMOOTHING: f64 = 0.1;

/// Reported demand changes only when the smoothed demand differs from it by this factor. Large jobs
/// alone make the smoothed demand of a steady load vary by about a quarter.
const STEP: f64 = 1.7;

/// Returns the slots that an instance can use for longer, from its running and waiting tasks. The
/// queue counts up to the running tasks: a longer one is mostly a single large job.
pub fn sustained_demand(in_flight: u32, queued: u32) -> u64 {
    u64::from(in_flight) + u64::from(queued.min(in_flight))
}

/// The demand of one instance as it is reported: it follows lasting changes only.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    smoothed: f64,
    reported: f64,
}

impl Demand {
    /// Makes a demand that starts at an expected value.
    pub const fn new(expected: u64) -> Self {
        Self { smoothed: expected as f64, reported: expected as f64 }
    }

    /// Takes in the present number of running and waiting tasks.
    pub fn observe(&mut self, tasks: u64) {
        self.smoothed += (tasks as f64 - self.smoothed) * SMOOTHING;
        let smoothed = self.smoothed.max(1.0);
        if smoothed > self.reported * STEP || smoothed * STEP < self.reported {
            self.reported = smoothed;
        }
    }

    /// Returns the demand to report.
    pub const fn reported(&self) -> u64 {
        if self.reported < 1.0 { 1 } else { self.reported as u64 }
    }
}

/// Divides a number of slots in proportion to demand, by largest remainder. Every instance gets at
/// least one slot if there are enough, so that an idle instance can serve its first job.
pub fn apportion(slots: u32, demands: &BTreeMap<id::Instance, u64>) -> BTreeMap<id::Instance, u32> {
    let count = demands.len() as u64;
    if count == 0 {
        return BTreeMap::new();
    }
    let floor = u64::from(u64::from(slots) >= count);
    let rest = u64::from(slots) - floor * count;
    let total: u64 = demands.values().sum();
    // Without any demand the slots are divided equally.
    let weight = |demand: u64| if total == 0 { 1 } else { demand };
    let total = if total == 0 { count } else { total };
    let mut quotas: BTreeMap<_, _> = demands
        .iter()
        .map(|(instance, demand)| {
            (instance.clone(), (floor + rest * weight(*demand) / total) as u32)
        })
        .collect();
    let missing = slots - quotas.values().sum::<u32>();
    let mut remainders: Vec<_> = demands
        .iter()
        .map(|(instance, demand)| (rest * weight(*demand) % total, instance))
        .collect();
    remainders.sort_by(|a, b| b.0.cmp(&a.0).then(a.1.cmp(b.1)));
    for (_, instance) in remainders.into_iter().take(missing as usize) {
        *quotas.get_mut(instance).expect("same keys") += 1;
    }
    quotas
}

/// Divides the slots of the targets in proportion to demand.
///
/// Each slot ranks the instances by rendezvous hashing and goes to the first that has quota left.
pub fn divide(targets: &[(id::Target, Slots)], demands: &BTreeMap<id::Instance, u64>) -> Division {
    let total = targets.iter().map(|(_, slots)| slots.get()).sum();
    let mut left = apportion(total, demands);
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
        .flat_map(|(place, (target, slots))| {
            (0..slots.get())
                .map(move |slot| (xxh3_64(format!("{target}/{slot}").as_bytes()), place, slot))
        })
        .collect();
    slots.sort_unstable();
    for (hash, place, _) in slots {
        let holder = left
            .iter()
            .filter(|(_, quota)| **quota > 0)
            .map(|(instance, _)| instance)
            .max_by_key(|instance| {
                xxh3_64(&[&hash.to_le_bytes()[..], instance.as_str().as_bytes()].concat())
            })
            .cloned();
        let Some(holder) = holder else { break };
        *left.get_mut(&holder).expect("listed above") -= 1;
        let held = &mut division.get_mut(&holder).expect("same keys")[place];
        *held = Slots::new(held.get() + 1);
    }
    division
}

/// Returns the instance that owns a whole target, by rendezvous hashing.
pub fn owner<'a>(
    target: &id::Target,
    instances: impl IntoIterator<Item = &'a id::Instance>,
) -> Option<&'a id::Instance> {
    instances.into_iter().max_by_key(|instance| xxh3_64(format!("{target}/{instance}").as_bytes()))
}
