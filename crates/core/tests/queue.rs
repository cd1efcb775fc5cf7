//! Tests of the order of waiting tasks, the choice of targets and the estimates of run times.

use verbenapass::estimate::Estimator;
use verbenapass::id;
use verbenapass::job::Resources;
use verbenapass::placement::{Candidate, Pool};
use verbenapass::queue::{Entry, Options, Order, Queue};
use verbenapass::settings::Urgency;
use verbenapass::time::Timestamp;
use verbenapass::unit::{Bytes, Micros, Millis, Slots};

fn team(name: &str) -> id::Team {
    name.parse().unwrap()
}

fn entry(job: u64, name: &str, tasks: u32, arrived_ms: u64) -> Entry {
    Entry {
        job,
        team: team(name),
        urgency: Urgency::Normal,
        arrived: Timestamp::from_micros(arrived_ms * 1_000),
        deadline: Timestamp::MAX,
        tasks,
        work: Millis::new(100),
    }
}

// Guards against small jobs that wait behind large ones.
#[test]
fn first_fewest_tasks() {
    let mut queue = Queue::new(Options::default());
    queue.insert(entry(1, "a", 1_400, 0));
    queue.insert(entry(2, "a", 1, 500));
    assert_eq!(queue.first(), Some(2));
    queue.insert(entry(1, "a", 1, 0));
    assert_eq!(queue.first(), Some(1));
}

// Guards against large jobs that starve under a steady load of small ones.
#[test]
fn first_aged_job() {
    let mut queue = Queue::new(Options::default());
    queue.insert(entry(1, "a", 20, 0));
    queue.insert(entry(2, "a", 1, 18_000));
    assert_eq!(queue.first(), Some(2));
    queue.insert(entry(2, "a", 1, 20_000));
    assert_eq!(queue.first(), Some(1));
}

// Guards against urgency that has no effect or starves other kinds.
#[test]
fn first_urgent_job() {
    let mut queue = Queue::new(Options::default());
    queue.insert(entry(1, "a", 5, 0));
    queue.insert(Entry { urgency: Urgency::High, ..entry(2, "a", 10, 0) });
    assert_eq!(queue.first(), Some(2));
    queue.insert(Entry { urgency: Urgency::High, ..entry(2, "a", 10, 60_000) });
    assert_eq!(queue.first(), Some(1));
}

// Guards against a team that takes the slots of another. A team that uses its weighted share goes
// last, regardless of the size of its jobs.
#[test]
fn first_team_below_share() {
    let mut queue = Queue::new(Options::default());
    queue.set_held(Slots::new(12));
    queue.set_weight(&team("b"), 2);
    queue.insert(entry(1, "a", 1, 0));
    queue.insert(entry(2, "b", 100, 0));
    for _ in 0..4 {
        assert_eq!(queue.first(), Some(1));
        queue.begin(&team("a"));
    }
    assert_eq!(queue.first(), Some(2));
    queue.end(&team("a"));
    assert_eq!(queue.first(), Some(1));
}

// Guards against a team that has used up its quota and keeps other teams from starting tasks.
#[test]
fn first_blocked_team() {
    let mut queue = Queue::new(Options::default());
    queue.insert(entry(1, "a", 1, 0));
    queue.insert(entry(2, "b", 50, 0));
    queue.set_blocked(&team("a"), true);
    assert_eq!(queue.first(), Some(2));
    queue.set_blocked(&team("a"), false);
    assert_eq!(queue.first(), Some(1));
}

// Guards against counts that differ from the entries after any sequence of calls.
#[test]
fn counts_match_entries() {
    bolero::check!().with_type::<Vec<(u8, u8, bool)>>().for_each(|calls| {
        let mut queue = Queue::new(Options { order: Order::Remaining, is_fair: true });
        let mut model = std::collections::BTreeMap::new();
        for (job, tasks, is_removed) in calls {
            // Each job belongs to one team only.
            let name = ["a", "b", "c"][usize::from(job % 3)];
            if *is_removed {
                queue.remove(u64::from(*job));
                model.remove(job);
            } else {
                queue.insert(entry(u64::from(*job), name, u32::from(*tasks), 0));
                model.insert(*job, usize::from(*tasks));
            }
            model.retain(|_, tasks| *tasks > 0);
            assert_eq!(queue.len(), model.values().sum::<usize>());
            assert_eq!(queue.first().is_none(), model.is_empty());
        }
    });
}

// Guards against tasks on targets that lack the memory or accelerators for them.
#[test]
fn choose_fits_demand() {
    let mut pool = Pool::default();
    let small =
        Candidate { memory: Bytes::new(10), ..Candidate::new(Micros::new(0), Slots::new(4)) };
    pool.insert(small);
    let large = pool.insert(Candidate { memory: Bytes::new(100), ..small });
    let demand = Resources { memory: Bytes::new(60), accelerators: 0 };
    assert_eq!(pool.choose(demand, Micros::new(0)), Some(large));
    pool.begin(large, demand);
    assert_eq!(pool.choose(demand, Micros::new(0)), None);
    assert!(!pool.can_run(Resources { memory: Bytes::new(101), accelerators: 0 }));
}

// Guards against a wrong declared run time that results never outweigh.
#[test]
fn mean_corrects_declaration() {
    let (team, kind) = (team("a"), "balance-query".parse().unwrap());
    let mut estimator = Estimator::default();
    for index in 0..400 {
        estimator.record(&team, &kind, Micros::new(90_000 + index % 20 * 1_000));
    }
    let mean = estimator.mean(&team, &kind, Some(Millis::new(5_000))).get();
    assert!((90_000..220_000).contains(&mean), "{mean}");
    let p99 = estimator.quantile(&team, &kind, 0.99).unwrap().get();
    assert!((109_000..=165_000).contains(&p99), "{p99}");
}
