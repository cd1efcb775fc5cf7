//! Tests of the routing simulation on small fleets.

use verbenapass_load::experiment::{self, Options, Strategy};
use verbenapass_load::fleet::Shape;
use verbenapass_load::report;

fn small() -> Shape {
    Shape {
        instances: 3,
        targets: 6,
        slots: 4,
        largest_job: 60,
        seconds: 40,
        warm_up_seconds: 5,
        ..Shape::default()
    }
}

/// Guards against decisions that depend on hash order, wall time or thread order.
#[test]
fn run_same_seed_same_result() {
    for strategy in Strategy::ALL {
        let options = Options::new(small(), strategy, 7);
        let lines = || report::make_lines(80, 0, &[(strategy, experiment::run(&options))]);
        assert_eq!(lines(), lines(), "{strategy}");
    }
}

/// Guards against jobs that stay queued for ever and against tasks that run twice.
#[test]
fn run_every_job_ends_once() {
    for strategy in Strategy::ALL {
        for skew in [0.0, 0.4] {
            let shape = Shape { skew, ..small() };
            let measurement = experiment::run(&Options::new(shape, strategy, 3));
            assert!(measurement.complete > 100, "{strategy}");
            assert_eq!(measurement.repeated, 0, "{strategy}");
            // With the fixed equal division, the skewed load overloads the first instance.
            if skew == 0.0 || !matches!(strategy, Strategy::Fixed) {
                assert_eq!(measurement.unfinished, 0, "{strategy} at skew {skew}");
            }
        }
    }
}

/// Guards against a load generator whose offered load differs from the requested one.
#[test]
fn jobs_offered_load() {
    let shape = Shape { seconds: 2_000, ..small() };
    let work: u64 = shape.jobs(0, 0.8, 5).iter().flat_map(|job| &job.run_times).sum();
    let offered = work as f64 / (shape.seconds as f64 * 1e6 * f64::from(shape.capacity()));
    assert!((offered - 0.8).abs() < 0.04, "offered {offered}");
}

/// Guards against an ideal response time that no schedule can reach and against one that is too
/// long.
#[test]
fn ideal_longest_task_and_round_trip() {
    let shape = small();
    for job in shape.jobs(0, 0.5, 1) {
        let longest = job.run_times.iter().max().copied().unwrap_or(0);
        let floor = longest + 2 * shape.hop_us;
        assert!(job.ideal >= floor);
        if job.run_times.len() <= shape.capacity() as usize {
            assert_eq!(job.ideal, floor);
        }
    }
}
