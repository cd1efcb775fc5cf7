//! Division of a team's quota between the instances of all data centres, without a coordinator.
//!
//! Every instance computes its part from the demand that all instances have reported, so instances
//! with the same reports compute parts that add up to the quota. An instance whose reports no
//! longer arrive counts with its last reported demand, one that never reported with the mean demand
//! of the others. Both sides of a network partition thus keep the last division, and the quota
//! holds in total. How long a report counts is up to the caller.
//!
//! # Example
//!
//! ```
//! use std::collections::BTreeMap;
//! use verbenapass::quota;
//! use verbenapass::unit::Slots;
//!
//! let demands = BTreeMap::from([
//!     ("entry-1".parse()?, Some(30)),
//!     ("entry-2".parse()?, Some(10)),
//! ]);
//! assert_eq!(quota::part(Slots::new(20), &"entry-1".parse()?, &demands), Slots::new(15));
//! # Ok::<(), verbenapass::id::Error>(())
//! ```

use crate::id;
use crate::share;
use crate::unit::Slots;
use std::collections::BTreeMap;

/// Minimum demand with which an instance counts, so that the first job of a team can start there.
const MIN_DEMAND: u64 = 1;

/// Returns the part of a quota that an instance may use; 0 if `demands` does not contain it.
///
/// `demands` holds the last reported demand of every known instance including `instance` itself, in
/// tasks, and `None` for instances without a report. These count with the mean of the others.
pub fn part(
    quota: Slots,
    instance: &id::Instance,
    demands: &BTreeMap<id::Instance, Option<u64>>,
) -> Slots {
    let reported: Vec<u64> = demands.values().flatten().copied().collect();
    let mean = reported.iter().sum::<u64>() / (reported.len() as u64).max(1);
    let demands = demands
        .iter()
        .map(|(id, demand)| (id.clone(), demand.unwrap_or(mean).max(MIN_DEMAND)))
        .collect();
    Slots::new(share::apportion(quota.get(), &demands).get(instance).copied().unwrap_or(0))
}
