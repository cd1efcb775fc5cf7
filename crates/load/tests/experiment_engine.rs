//! Tests of the engines on the simulated fleet.

use verbenapass_load::experiment_engine::{self, End, Options};
use verbenapass_load::fleet::Shape;

fn small() -> Shape {
    Shape {
        instances: 3,
        targets: 6,
        slots: 4,
        largest_job: 60,
        seconds: 20,
        warm_up_seconds: 5,
        ..Shape::default()
    }
}

fn options(shape: Shape) -> Options {
    Options { shape, seed: 1, carries_load: true, separate_services: false, fault: None }
}

/// Guards against tasks that wait for ever although slots are free, against tasks that run twice
/// and against duplicate answers.
#[test]
fn run_every_job_completes_once() {
    let shape = small();
    let jobs = shape.jobs(0, 0.8, 3);
    let trial = experiment_engine::run(&options(shape), &jobs);
    let open = trial.ends.iter().filter(|end| **end == End::Open).count();
    assert_eq!((open, trial.unsuccessful()), (0, (0, 0)));
    assert_eq!((trial.repeated, trial.duplicate_answers), (0, 0));
}
