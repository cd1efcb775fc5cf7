//! Tests of the retry budget, of jitter and of the ranking of targets for a retry.

use rand::SeedableRng;
use rand::rngs::StdRng;
use verbenapass::retry::{Budget, History, jittered};
use verbenapass::time::Timestamp;
use verbenapass::unit::{Millis, Permille};

const NOW: Timestamp = Timestamp::from_micros(1_000_000_000);

fn spend_all(budget: &mut Budget) -> usize {
    (0..100_000).take_while(|_| budget.try_spend()).count()
}

// Guards against more retries than the fraction allows while all starts fail.
#[test]
fn budget_fraction_of_traffic() {
    let mut budget = Budget::new(Permille::new(100), NOW);
    spend_all(&mut budget);
    let mut retries = 0;
    for start in 0..10_000 {
        budget.earn(NOW.plus(Millis::new(start)));
        retries += spend_all(&mut budget);
    }
    assert_eq!(retries, 1_000);
}

// Guards against a burst of retries after a long time without any.
#[test]
fn budget_old_earnings() {
    let mut budget = Budget::new(Permille::new(100), NOW);
    for _ in 0..100_000 {
        budget.earn(NOW);
    }
    let later = NOW.plus(Millis::new(60_000));
    budget.earn(later);
    assert_eq!(spend_all(&mut budget), 10);
}

// Guards against an idle instance that can't retry a single refused start.
#[test]
fn budget_without_traffic() {
    let mut budget = Budget::new(Permille::new(100), NOW);
    assert_eq!(spend_all(&mut budget), 10);
}

// Guards against callers that were refused at the same time and retry at the same time.
#[test]
fn jittered_range() {
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

// Guards against a retry on the worker of the last start while another rack has a free target.
#[test]
fn rank_other_rack_first() {
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
