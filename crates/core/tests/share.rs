//! Tests of the division of slots and of quotas.

use std::collections::BTreeMap;
use verbenapass::unit::Slots;
use verbenapass::{id, quota, share};

fn instance(number: usize) -> id::Instance {
    format!("entry-{number}").parse().unwrap()
}

fn targets(count: usize, slots: u32) -> Vec<(id::Target, Slots)> {
    (0..count).map(|n| (format!("target-{n}").parse().unwrap(), Slots::new(slots))).collect()
}

fn demands(demands: &[u16]) -> BTreeMap<id::Instance, u64> {
    demands.iter().enumerate().map(|(n, demand)| (instance(n), u64::from(*demand))).collect()
}

fn moved(before: &share::Division, after: &share::Division) -> u32 {
    let lost = |instance, slots: &Vec<Slots>| {
        let now: &Vec<Slots> = &after[instance];
        slots.iter().zip(now).map(|(a, b)| a.get().saturating_sub(b.get())).sum::<u32>()
    };
    before.iter().map(|(instance, slots)| lost(instance, slots)).sum()
}

/// Guards against a slot with two holders, which leads to refusals, or without one, which stays
/// unused.
#[test]
fn divide_disjoint_and_complete() {
    bolero::check!().with_type::<(u8, u8, Vec<u16>)>().for_each(|(count, slots, wanted)| {
        let targets = targets(usize::from(count % 12), u32::from(slots % 9));
        let wanted = &wanted[..wanted.len().min(9)];
        let division = share::divide(&targets, &demands(wanted));
        for (index, (_, slots)) in targets.iter().enumerate() {
            let held: u32 = division.values().map(|held| held[index].get()).sum();
            assert_eq!(held, if wanted.is_empty() { 0 } else { slots.get() });
        }
    });
}

/// Guards against a division that moves many slots on a small change of demand: a moved slot may
/// still be in use by its previous holder.
#[test]
fn divide_moves_few_slots() {
    let targets = targets(48, 8);
    let mut wanted = [50_u16; 7];
    let before = share::divide(&targets, &demands(&wanted));
    wanted[3] = 60;
    let after = share::divide(&targets, &demands(&wanted));
    let gained = 10;
    assert!(moved(&before, &after) <= 4 * gained, "{} slots moved", moved(&before, &after));
}

/// Guards against shares that are not in proportion to the demand.
#[test]
fn apportion_proportional() {
    bolero::check!().with_type::<(u16, Vec<u16>)>().for_each(|(slots, wanted)| {
        let wanted = &wanted[..wanted.len().min(9)];
        let parts = share::apportion(u32::from(*slots), &demands(wanted));
        let total: u64 = wanted.iter().map(|demand| u64::from(*demand)).sum();
        let sum: u32 = parts.values().sum();
        assert_eq!(sum, if wanted.is_empty() { 0 } else { u32::from(*slots) });
        for (n, demand) in wanted.iter().enumerate().filter(|_| total > 0) {
            let exact = f64::from(*slots) * f64::from(*demand) / total as f64;
            let part = f64::from(parts[&instance(n)]);
            assert!((part - exact).abs() <= wanted.len() as f64 + 1.0, "{part} for {exact}");
        }
    });
}

/// Guards against a reported demand that follows a single burst.
#[test]
fn demand_follows_lasting_change_only() {
    let mut demand = share::Demand::new(50);
    demand.observe(150);
    demand.observe(50);
    assert_eq!(demand.reported(), 50);
    for _ in 0..60 {
        demand.observe(150);
    }
    assert!(demand.reported() > 85, "{}", demand.reported());
}

/// Guards against parts that together exceed the quota when all instances have the same reports,
/// and against an instance without a report that gets nothing.
#[test]
fn part_quota_holds_in_total() {
    bolero::check!().with_type::<(u16, Vec<Option<u16>>)>().for_each(|(slots, reported)| {
        let reported = &reported[..reported.len().min(9)];
        let demands = reported
            .iter()
            .enumerate()
            .map(|(n, demand)| (instance(n), demand.map(u64::from)))
            .collect::<BTreeMap<_, _>>();
        let part = |n| quota::part(Slots::new(u32::from(*slots)), &instance(n), &demands).get();
        let sum: u32 = (0..reported.len()).map(part).sum();
        assert_eq!(sum, if reported.is_empty() { 0 } else { u32::from(*slots) });
        if usize::from(*slots) >= reported.len() {
            assert!((0..reported.len()).all(|n| part(n) > 0));
        }
    });
}
