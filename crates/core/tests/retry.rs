//! Budget of retries and spread of come-back times.

use rand::SeedableRng;
use rand::rngs::StdRng;
use verbenapass::retry::{Budget, History, jittered};
use verbenapass::time::Timestamp;
use verbenapass::unit::{Millis, Permille};

const NOW: Timestamp = Timestamp::from_micros(1_000_000_000);

fn spend_all(budget: &mut Budget) -> usize {
    (0..100_000).take_while(|_| budget.try_spend()).count()
}

// Guards against retries beyond the fraction while everything fails.
#[test]
fn budget_bounds_retries_by_traffic() {
    let mut budget = Budget::new(Permille::new(100), NOW);
    spend_all(&mut budget);
    let mut retries = 0;
    for start in 0..10_000 {
        budget.earn(NOW.plus(Millis::new(start)));
        retries += spend_all(&mut budget);
    }
    assert_eq!(retries, 1_000);
}

// Guards against a long time without retries that pays for a burst of them.
#[test]
fn budget_forgets_old_earnings() {
    let mut budget = Budget::new(Permille::new(100), NOW);
    for _ in 0..100_000 {
        budget.earn(NOW);
    }
    let later = NOW.plus(Millis::new(60_000));
    budget.earn(later);
    assert_eq!(spend_all(&mut budget), 10);
}

// Guards against a quiet instance that can't repeat a single refused start.
#[test]
fn budget_has_reserve() {
    let mut budget = Budget::new(Permille::new(100), NOW);
    assert_eq!(spend_all(&mut budget), 10);
}

// Guards against callers that were turned down together and come back together.
#[test]
fn jittered_covers_range() {
    let mut rng = StdRng::seed_from_u64(1);
    let span = Millis::new(1_000);
    let times: Vec<u64> =
        (0..1_000).map(|_| jittered(&mut rng, NOW, span).since(NOW).get()).collect();
    assert!(times.iter().all(|time| (1_000_000..=2_000_000).contains(time)));
    for tenth in 0..10 {
        let from = 1_000_000 + tenth * 100_000;
        let count = times.iter().filter(|time| (from..from + 100_000).contains(*time)).count();
        assert!(count >= 50, "{count} of 1000 times in tenth {tenth}");
    }
}

// Guards against a retry on the worker that has just failed while another rack is free.
#[test]
fn history_prefers_other_rack_then_worker() {
    let history = History {
        attempts: 1,
        waits: 0,
        target: "t1".parse().unwrap(),
        worker: "w1".parse().unwrap(),
        rack: "r1".parse().unwrap(),
    };
    let rank = |target: &str, worker: &str, rack: &str| {
        history.rank(&target.parse().unwrap(), &worker.parse().unwrap(), &rack.parse().unwrap())
    };
    assert!(rank("t4", "w3", "r2") < rank("t3", "w2", "r1"));
    assert!(rank("t3", "w2", "r1") < rank("t2", "w1", "r1"));
    assert!(rank("t2", "w1", "r1") < rank("t1", "w1", "r1"));
}
