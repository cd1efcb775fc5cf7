//! Division of a team's quota between the instances of all data centres, without a coordinator.
//!
//! Every instance computes its part from the demand that the others report. An instance that
//! hears from all others takes its share of the demand. One that does not hear from some counts
//! them with their last reported demand, and with an equal part if they never reported. Two halves
//! of a partition thus go on with the last division, so that the quota holds in total.
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

/// Demand that every instance counts at least with, so that a first job of the team can start.
const MIN_DEMAND: u64 = 1;

/// Returns the part of a quota that an instance may use.
///
/// `demands` holds the last reported demand of every known instance, the own one included; nothing
/// for instances that never reported. Their part is that of the mean demand.
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
