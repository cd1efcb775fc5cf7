//! Targets of unequal speed: the table of factors, and fleets in virtual time of which a third of
//! the targets is slow. Guards against long tasks on slow targets that make their jobs late although
//! faster targets are free.

use crate::world::{START, Shape, Size, World, target_id};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::HashMap;
use verbenapass::time::Timestamp;
use verbenapass::unit::{Micros, Millis};
use verbenapass_fleet::engine::Engine;
use verbenapass_fleet::record::Outcome;
use verbenapass_fleet::run::Job;
use verbenapass_fleet::speed::{Factor, Table};

const DATA_CENTRES: usize = 3;
const INSTANCES: usize = 6;
const TARGETS: usize = 48;
const CAPACITY: u64 = 64_000;
/// Time in which the speeds are learnt; each target has about 30 runs until then.
const LEARNING_MS: u64 = 8_000;

/// A kind of job: name, share of the arrivals, mean task duration in milliseconds.
struct Kind {
    name: &'static str,
    share: f64,
    millis: f64,
}

const KINDS: [Kind; 3] = [
    Kind { name: "short", share: 0.245, millis: 51.0 },
    Kind { name: "long", share: 0.044, millis: 760.0 },
    Kind { name: "middle", share: 0.711, millis: 170.0 },
];

/// Draws a job of the load that the work plan describes, and whether it takes far longer than its kind.
fn shape(random: &mut StdRng) -> (Shape, bool) {
    let mut draw: f64 = random.random();
    let kind = KINDS.iter().find(|kind| {
        draw -= kind.share;
        draw < 0.0
    });
    let kind = kind.unwrap_or(&KINDS[2]);
    let spread = |random: &mut StdRng, share: f64| 1.0 + random.random_range(-share..share);
    let millis = kind.millis * spread(random, 0.4);
    let is_tail = random.random_bool(0.03);
    let tail = if is_tail { 7.0 } else { 1.0 };
    let shape = Shape {
        kind: kind.name,
        priority: 0,
        cpu: random.random_range(22_000..43_000),
        estimate_ms: (millis * spread(random, 0.4)) as u64,
        slack_ms: 60,
        durations_ms: (0..random.random_range(1..=6))
            .map(|_| (millis * tail * spread(random, 0.1)) as u64)
            .collect(),
    };
    (shape, is_tail)
}

/// Speeds of the targets of a play, in thousandths of the nominal run time.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Speeds {
    Equal,
    /// A third takes 1.7 times the nominal run time, the others 0.7 times.
    Unequal,
}

/// Results of a play by kind: jobs, and those not answered within the objective.
#[derive(Debug, Default)]
struct Results(HashMap<&'static str, (u32, u32)>);

impl Results {
    fn late_share(&self, kind: &str) -> f64 {
        let (jobs, late) = self.0[kind];
        f64::from(late) / f64::from(jobs.max(1))
    }

    fn all_late_share(&self) -> f64 {
        let (jobs, late) =
            self.0.values().fold((0, 0), |sum, kind| (sum.0 + kind.0, sum.1 + kind.1));
        f64::from(late) / f64::from(jobs.max(1))
    }
}

/// A play of 20 s of jobs. The load of each data centre swings by 55 % in 17 s.
#[derive(Clone, Copy)]
struct Play {
    /// Arriving work as a share of all processors at nominal speed.
    load: f64,
    speeds: Speeds,
    /// Whether an owner is killed halfway and comes back after a second.
    is_killing: bool,
    /// Whether engines learn speeds.
    is_learning: bool,
}

/// Returns the results of the jobs that arrive after [`LEARNING_MS`].
/// Those that take seven times as long as their kind don't count: their runs are stopped as stalled,
/// on targets of any speed.
fn play(seed: u64, play: Play) -> Results {
    run(seed, play, false).0
}

/// Like [`play`], with the commands of all instances if `is_traced`.
fn run(seed: u64, play: Play, is_traced: bool) -> (Results, Vec<String>) {
    let Play { load, speeds, is_killing, is_learning } = play;
    let size = Size {
        data_centres: DATA_CENTRES,
        instances: INSTANCES,
        targets: TARGETS,
        capacity: CAPACITY,
        seed,
    };
    let adapt = if is_learning { std::convert::identity } else { Engine::without_speeds };
    let mut world = World::with_engines(size, adapt);
    world.trace = is_traced.then(Vec::new);
    if speeds == Speeds::Unequal {
        for index in 0..TARGETS {
            // Each data centre has the same number of slow targets.
            let is_slow = (index / DATA_CENTRES).is_multiple_of(3);
            world.slow_target(index, if is_slow { 1_700 } else { 700 });
        }
    }
    world.run_for(Millis::new(2_000));
    let mut random = StdRng::seed_from_u64(seed);
    let mut shapes = HashMap::new();
    let mut arrived = [0.0; DATA_CENTRES];
    let mut next = 0;
    let per_ms = load * (TARGETS as u64 * CAPACITY) as f64 / DATA_CENTRES as f64;
    for millis in 0..20_000 {
        world.run_for(Millis::new(1));
        if is_killing && millis == 10_000 {
            world.kill(1);
        }
        if is_killing && millis == 11_000 {
            world.boot(1);
        }
        for (data_centre, arrived) in arrived.iter_mut().enumerate() {
            let phase = millis as f64 / 17_000.0 + data_centre as f64 / DATA_CENTRES as f64;
            let swing = 1.0 + 0.55 * (phase * std::f64::consts::TAU).sin();
            *arrived += per_ms * swing;
            while *arrived > 0.0 {
                let (shape, is_tail) = shape(&mut random);
                next += 1;
                let home = data_centre + DATA_CENTRES * random.random_range(0..2);
                *arrived -= (shape.cpu * shape.durations_ms.iter().sum::<u64>()) as f64;
                if is_killing && home == 1 && (9_000..12_000).contains(&millis) {
                    continue;
                }
                let limit = Millis::new(1_500 + 20 * shape.estimate_ms);
                world.submit(home, Job::new(next), &shape, limit);
                if millis >= LEARNING_MS && !is_tail {
                    shapes.insert(Job::new(next), shape);
                }
            }
        }
    }
    world.run_for(Millis::new(20_000));
    world.check();
    let mut results = Results::default();
    let answers: HashMap<Job, _> = world.answers.iter().map(|a| (a.job, a)).collect();
    for (job, shape) in &shapes {
        let longest = *shape.durations_ms.iter().max().unwrap_or(&0);
        let objective_us = 1_600 * longest + 60_000;
        let is_in_time = answers.get(job).is_some_and(|answer| {
            answer.outcome == Outcome::Succeeded && answer.elapsed.get() <= objective_us
        });
        let (jobs, late) = results.0.entry(shape.kind).or_default();
        *jobs += 1;
        *late += u32::from(!is_in_time);
    }
    (results, world.trace.unwrap_or_default())
}

/// Returns the sum of the results of several seeds.
fn plays(play_options: Play) -> Results {
    let mut total = Results::default();
    for seed in 1..=3 {
        for (kind, (jobs, late)) in play(seed, play_options).0 {
            let sum = total.0.entry(kind).or_default();
            *sum = (sum.0 + jobs, sum.1 + late);
        }
    }
    total
}

const HALF_LOAD: Play =
    Play { load: 0.5, speeds: Speeds::Unequal, is_killing: false, is_learning: true };

/// Guards against long tasks on slow targets that make their jobs late although faster targets are
/// free, also after the loss of an owner. Without factors, more than a quarter of them is late.
#[test]
fn slow_third_few_long_jobs_late() {
    for is_killing in [false, true] {
        let options = Play { is_killing, ..HALF_LOAD };
        let learnt = plays(options);
        let blind = plays(Play { is_learning: false, ..options });
        println!("half load, killing {is_killing}: learnt {learnt:?}, blind {blind:?}");
        assert!(blind.late_share("long") > 0.25, "{blind:?}");
        assert!(learnt.late_share("long") * 3.0 <= blind.late_share("long"), "{learnt:?}");
        assert!(learnt.all_late_share() <= blind.all_late_share(), "{learnt:?}, {blind:?}");
    }
}

/// Guards against slow targets that make long jobs later than the users accept: 2 % more than on
/// equal targets.
#[test]
fn slow_third_long_jobs_as_on_equal_targets() {
    let learnt = plays(HALF_LOAD);
    let equal = plays(Play { speeds: Speeds::Equal, ..HALF_LOAD });
    assert!(learnt.late_share("long") <= equal.late_share("long") + 0.02, "{learnt:?}, {equal:?}");
}

/// The same when an owner is killed, whose targets' factors are learnt anew.
#[test]
fn slow_third_owner_killed_as_on_equal_targets() {
    let options = Play { is_killing: true, ..HALF_LOAD };
    let learnt = plays(options);
    let equal = plays(Play { speeds: Speeds::Equal, ..options });
    assert!(learnt.late_share("long") <= equal.late_share("long") + 0.02, "{learnt:?}, {equal:?}");
}

/// Guards against slow targets that stay unused under full load while tasks wait for fast ones.
#[test]
fn slow_third_full_load_no_fewer_jobs_in_time() {
    let options = Play { load: 1.0, ..HALF_LOAD };
    let learnt = plays(options);
    let blind = plays(Play { is_learning: false, ..options });
    println!("full load: learnt {learnt:?}, blind {blind:?}");
    assert!(learnt.all_late_share() <= blind.all_late_share(), "{learnt:?}, {blind:?}");
}

/// Guards against noise of run times that changes the placement in a fleet of equal targets: all
/// commands are the same with and without the table.
#[test]
fn equal_targets_same_commands() {
    for (seed, load) in [(1, 0.3), (2, 0.5), (3, 0.8), (4, 1.1)] {
        let options =
            Play { load, speeds: Speeds::Equal, is_killing: seed % 2 == 0, is_learning: true };
        let (_, learnt) = run(seed, options, true);
        let (_, blind) = run(seed, Play { is_learning: false, ..options }, true);
        let same = learnt.iter().zip(&blind).take_while(|(a, b)| a == b).count();
        assert_eq!(learnt.len(), blind.len());
        assert_eq!(same, blind.len(), "seed {seed}: {:?} {:?}", learnt[same], blind[same]);
    }
}

/// Feeds runs with declared times that are wrong by up to 40 % to a table.
struct Feed {
    table: Table,
    random: StdRng,
    now: Timestamp,
}

impl Feed {
    fn new(seed: u64) -> Self {
        Self { table: Table::default(), random: StdRng::seed_from_u64(seed), now: START }
    }

    /// Adds `count` runs on each target, whose slowness `factor` gives; 100 ms pass between them.
    fn run(&mut self, count: usize, factor: impl Fn(usize) -> f64) {
        for _ in 0..count {
            self.now = self.now.plus(Millis::new(100));
            for index in 0..12 {
                let error = 1.0 + self.random.random_range(-0.4..0.4);
                let duration = Micros::new((100_000.0 * factor(index) * error) as u64);
                self.table.record(&target_id(index), 1, Millis::new(100), duration, self.now);
            }
        }
    }

    fn factor(&self, index: usize) -> Factor {
        self.table.factor(&target_id(index), 1)
    }
}

fn slow_third(index: usize) -> f64 {
    if index.is_multiple_of(3) { 1.7 } else { 0.7 }
}

/// Guards against factors that follow the errors of declared times on equal targets.
#[test]
fn table_equal_targets_factor_one() {
    for seed in 0..50 {
        let mut feed = Feed::new(seed);
        for _ in 0..300 {
            feed.run(1, |_| 1.0);
            let factors: Vec<Factor> = (0..12).map(|i| feed.factor(i)).collect();
            assert!(factors.iter().all(|f| *f == Factor::ONE), "seed {seed}: {factors:?}");
        }
    }
}

/// Guards against a slow third that is found too late to matter.
#[test]
fn table_slow_third_found_within_10_runs() {
    for seed in 0..50 {
        let mut feed = Feed::new(seed);
        feed.run(10, slow_third);
        for index in 0..12 {
            let factor = feed.factor(index);
            if index % 3 == 0 {
                assert!(factor > Factor::new(1_200), "seed {seed}: {index} {factor}");
            } else {
                assert!(factor <= Factor::ONE, "seed {seed}: {index} {factor}");
            }
        }
    }
}

/// Guards against an averaged factor that hides a target which is slow for seconds, and against one
/// that stays when the target is as fast as before.
#[test]
fn table_slow_for_seconds_found_and_forgotten() {
    for seed in 0..50 {
        let mut feed = Feed::new(seed);
        feed.run(50, |_| 1.0);
        let slow = |index: usize| if index == 0 { 3.0 } else { 1.0 };
        feed.run(10, slow);
        assert!(feed.factor(0) > Factor::new(1_200), "seed {seed}: {}", feed.factor(0));
        feed.run(20, slow);
        feed.run(60, |_| 1.0);
        assert!(feed.factor(0) <= Factor::new(1_300), "seed {seed}: {}", feed.factor(0));
        assert_eq!(feed.factor(1), Factor::ONE);
    }
}

/// Guards against the factor of a former process on a restarted target, and against late evidence of
/// the former one.
#[test]
fn table_new_incarnation_forgets() {
    let mut feed = Feed::new(1);
    feed.run(50, slow_third);
    let (id, estimate) = (target_id(0), Millis::new(100));
    assert!(feed.table.factor(&id, 1) > Factor::new(1_400));
    assert_eq!(feed.table.factor(&id, 2), Factor::ONE);
    feed.table.record(&id, 2, estimate, Micros::new(100_000), feed.now);
    assert_eq!(feed.table.factor(&id, 2), Factor::ONE);
    feed.table.record(&id, 1, estimate, Micros::new(300_000), feed.now);
    assert_eq!(feed.table.factor(&id, 2), Factor::ONE);
}

/// Guards against wrong estimates of all tasks that make all targets slow.
#[test]
fn table_common_error_normalised() {
    let mut feed = Feed::new(1);
    feed.run(50, |_| 2.5);
    assert!((0..12).all(|index| feed.factor(index) == Factor::ONE));
    feed.run(100, |index| 2.5 * slow_third(index));
    let mean = (0..12).map(|i| f64::from(feed.factor(i).get()).ln()).sum::<f64>() / 12.0;
    assert!((mean.exp() / 1_000.0 - 1.0).abs() < 0.05, "mean {}", mean.exp());
}

/// Guards against old evidence that outweighs the prior.
#[test]
fn table_unused_target_ages() {
    let mut feed = Feed::new(1);
    feed.run(50, slow_third);
    feed.now = feed.now.plus(Millis::new(600_000));
    feed.table.update(feed.now);
    assert!((0..12).all(|index| feed.factor(index) == Factor::ONE));
}

#[test]
fn factor_texts() {
    for text in ["0.001", "1.000", "1.728", "4.300"] {
        assert_eq!(text.parse::<Factor>().unwrap().to_string(), text);
    }
    assert_eq!("1.2".parse(), Ok(Factor::new(1_200)));
    for text in ["", "0", "1.", ".5", "1.2345", "-1", "+1", "5000000"] {
        assert!(text.parse::<Factor>().is_err(), "{text}");
    }
}
