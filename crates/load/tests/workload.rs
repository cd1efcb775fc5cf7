//! Tests of the workload generator.

use verbenapass_load::workload::{Options, plan};

fn options() -> Options {
    Options { seed: 3, seconds: 60.0, instances: 4, ..Options::default() }
}

/// Guards against workloads that differ between runs with the same seed, which would make
/// comparisons of runs meaningless.
#[test]
fn plan_depends_on_the_seed_only() {
    assert_eq!(plan(&options()), plan(&options()));
    assert_ne!(plan(&options()), plan(&Options { seed: 4, ..options() }));
}

/// Guards against a workload whose offered load differs from the option.
#[test]
fn plan_offers_the_load() {
    let jobs = plan(&options());
    let work: u64 = jobs.iter().flat_map(|job| &job.tasks).map(|task| task.run_us).sum();
    let offered_us = 60e6 * 384.0 * 0.8;
    // The last job may exceed the offered load by at most the largest job.
    assert!(
        work as f64 >= offered_us && (work as f64) < offered_us * 1.1,
        "{work} of {offered_us}"
    );
    assert!(jobs.iter().all(|job| job.at_us <= 60_000_000));
    assert!(jobs.iter().all(|job| (1..=1_400).contains(&job.tasks.len())));
}

/// Guards against options for skew and for inexact declared run times that have no effect.
#[test]
fn plan_follows_skew_and_declared_factor() {
    let jobs = plan(&Options { skew: 0.4, declared_factor: 3.0, ..options() });
    let first = jobs.iter().filter(|job| job.instance == 0).count() as f64;
    let share = first / jobs.len() as f64;
    assert!((0.3..0.5).contains(&share), "{share}");
    let inexact = jobs
        .iter()
        .flat_map(|job| &job.tasks)
        .filter(|task| task.declared_us > task.run_us * 2 || task.declared_us * 2 < task.run_us);
    assert!(inexact.count() > 0);
}

/// Guards against options for bursts and cancellations that have no effect.
#[test]
fn plan_has_bursts_and_waves() {
    let jobs = plan(&Options { burst_every: 10.0, cancel_every: 5.0, ..options() });
    let burst = jobs.iter().filter(|job| job.at_us == 20_000_000).count();
    assert!(burst > 5, "{burst}");
    assert!(jobs.iter().any(|job| job.cancel_at_us.is_some()));
    assert!(jobs.iter().all(|job| job.cancel_at_us.is_none_or(|at| at > job.at_us)));
}
