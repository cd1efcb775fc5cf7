//! Intervals at which instances poll a source that they share.

use rand::SeedableRng;
use rand::rngs::StdRng;
use verbenapass::unit::Millis;
use verbenapass_node::schedule::Schedule;

const BOUND: Millis = Millis::new(2_000);

#[test]
fn next_in_time_without_peers() {
    let mut random = StdRng::seed_from_u64(1);
    let schedule = Schedule::new(Millis::new(700), BOUND);
    for instances in [1, 8, 9, 31, 300, 2_300, u64::MAX] {
        for _ in 0..100 {
            let next = schedule.next(instances, &mut random);
            // Even a read that takes its whole timeout of 800 ms ends at most a fifth after the bound.
            assert!(next.get() + 800 <= BOUND.get() * 12 / 10, "{next} for {instances}");
            assert!(next < BOUND, "{next} for {instances}");
        }
    }
}

#[test]
fn next_of_instances_that_started_together_spread() {
    let schedule = Schedule::new(Millis::new(700), BOUND);
    let mut times: Vec<u64> =
        (0..31).map(|seed| schedule.next(31, &mut StdRng::seed_from_u64(seed)).get()).collect();
    times.sort_unstable();
    times.dedup();
    assert!(times.len() > 20, "{times:?}");
}

#[test]
fn next_shared_by_a_large_fleet() {
    let mut random = StdRng::seed_from_u64(1);
    let schedule = Schedule::new(Millis::new(700), Millis::new(60_000));
    let mean = |instances: u64, random: &mut StdRng| {
        (0..1_000).map(|_| schedule.next(instances, random).get()).sum::<u64>() / 1_000
    };
    assert!(mean(8, &mut random).abs_diff(700) < 20);
    assert!(mean(80, &mut random).abs_diff(7_000) < 200);
}
