//! Tasks that crash the targets that start them, and the tasks beside them.

use crate::world::{Answer, START, Shape, Size, World};
use verbenapass::unit::Millis;
use verbenapass_fleet::containment;
use verbenapass_fleet::crash::{Evidence, Loss};
use verbenapass_fleet::message::Message;
use verbenapass_fleet::record::{Cause, Outcome};
use verbenapass_fleet::run::{Job, Task};

/// Limit of a client that waits until any number of crashed targets is back.
const LONG_LIMIT: Millis = Millis::new(60_000);

fn world(instances: usize, targets: usize) -> World {
    let size = Size { data_centres: 2, instances, targets, capacity: 2_000, seed: 20_261_204 };
    let mut world = World::new(size);
    world.run_for(Millis::new(2_000));
    world
}

/// Returns tasks whose answer is useful for long after several crashes.
fn patient(tasks: usize, millis: u64) -> Shape {
    Shape { slack_ms: 12_000, ..Shape::equal(tasks, millis) }
}

const DEADLY: Task = Task { job: Job::new(1), index: 0 };

/// Guards against nine starts of a task that crashes its targets.
#[test]
fn deadly_task_job_failed_within_budget() {
    for is_renaming in [false, true] {
        let mut world = world(4, 8);
        world.is_renaming = is_renaming;
        world.deadly.insert(DEADLY);
        world.submit(0, DEADLY.job, &patient(4, 60), LONG_LIMIT);
        world.run_for(LONG_LIMIT);
        world.check();
        assert_eq!(world.outcomes(), [Outcome::Failed(Cause::Crashes)], "renaming {is_renaming}");
    }
}

/// Guards against a count of crashes that is lost with the home of the job.
#[test]
fn deadly_task_home_killed_within_budget() {
    for (is_renaming, seconds) in [(false, 1), (false, 3), (true, 2), (true, 4)] {
        let mut world = world(4, 12);
        world.is_renaming = is_renaming;
        world.is_resubmitting = true;
        world.deadly.insert(DEADLY);
        world.submit(0, DEADLY.job, &patient(4, 60), LONG_LIMIT);
        for home in 0..3 {
            world.run_for(Millis::new(seconds * 1_000));
            world.kill(home);
        }
        world.run_for(LONG_LIMIT);
        world.check();
    }
}

/// Guards against a stalled run that outlives the lease of its crashed target.
#[test]
fn crash_target_stalled_run_restarted_when_lease_expires() {
    let mut world = world(4, 8);
    world.submit(0, Job::new(1), &patient(16, 100), LONG_LIMIT);
    world.run_for(Millis::new(20));
    world.crash_target(3);
    world.run_for(LONG_LIMIT);
    world.check();
    assert_eq!(world.answers[0].outcome, Outcome::Succeeded);
    // The lease on a clock that is 2 % slow and a run, each with a round trip.
    let elapsed = world.answers[0].elapsed.get();
    assert!(elapsed < 1_300_000, "took {elapsed} us");
}

/// Guards against a count of crashes that is lost with the owner of the target.
#[test]
fn deadly_task_owners_killed_within_budget() {
    let mut world = world(4, 12);
    world.deadly.insert(DEADLY);
    // The home has too few targets for all tasks and keeps its own ones busy.
    world.submit(0, Job::new(2), &patient(6, 60_000), LONG_LIMIT);
    world.run_for(Millis::new(50));
    world.submit(0, DEADLY.job, &patient(1, 60), LONG_LIMIT);
    for count in 1..=6 {
        if !world.run_until_crashes(DEADLY, count, Millis::new(10_000)) {
            break;
        }
        let owner = world.last_starter;
        if owner != 0 {
            world.boot(owner);
        }
    }
    world.check();
}

/// Guards against accepting a job that is known to crash targets when it is submitted elsewhere.
#[test]
fn submit_again_after_crashes_failed_at_once() {
    let mut world = world(4, 8);
    world.deadly.insert(DEADLY);
    world.submit(0, DEADLY.job, &patient(4, 60), LONG_LIMIT);
    world.run_for(Millis::new(10_000));
    let started = world.started[&DEADLY.job];
    world.submit(1, DEADLY.job, &patient(4, 60), LONG_LIMIT);
    assert_eq!(world.outcomes(), [Outcome::Failed(Cause::Crashes); 2]);
    assert_eq!(world.started[&DEADLY.job], started);
}

/// Returns a world of 8 targets in which one task of 20 s runs on each of `busy` ones, with room for
/// another one.
fn half_busy_world(instances: usize, busy: usize) -> World {
    let mut world = world(instances, 8);
    let shape = Shape { cpu: 1_100, ..patient(busy, 20_000) };
    world.submit(0, Job::new(2), &shape, LONG_LIMIT);
    world.run_for(Millis::new(100));
    world
}

/// Guards against an answer after which the client submits a job that crashes targets again.
#[test]
fn deadly_task_given_up_late_job_failed() {
    let mut world = half_busy_world(4, 8);
    world.deadly.insert(DEADLY);
    // The answer is useless after 5.5 s. By then two of the crashed targets are back, not the third.
    let shape = Shape { cpu: 800, slack_ms: 1_720, ..Shape::equal(1, 60) };
    world.submit(1, DEADLY.job, &shape, LONG_LIMIT);
    world.run_for(Millis::new(6_000));
    assert_eq!(world.outcomes(), [Outcome::Failed(Cause::Crashes)]);
}

/// Guards against a restart beside others, while a target is empty, of a task that may crash it.
#[test]
fn deadly_task_restarted_on_empty_target() {
    let mut world = half_busy_world(1, 4);
    world.deadly.insert(DEADLY);
    world.submit(0, DEADLY.job, &Shape { cpu: 800, ..patient(1, 60) }, LONG_LIMIT);
    world.run_for(Millis::new(15_000));
    assert_eq!(world.answers[0].outcome, Outcome::Failed(Cause::Crashes));
    // Nothing ran beside the second run, so a third one isn't needed.
    assert_eq!(world.crashes[&DEADLY].0, 2);
}

/// Guards against giving up tasks that ran beside deadly ones.
#[test]
fn deadly_tasks_neighbours_complete() {
    const DEADLY_JOBS: u64 = 8;
    for seed in 1..=8 {
        let size = Size { data_centres: 2, instances: 4, targets: 12, capacity: 8_000, seed };
        let mut world = World::new(size);
        world.run_for(Millis::new(2_000));
        for job in 1..=DEADLY_JOBS {
            world.deadly.insert(Task { job: Job::new(job), index: 0 });
        }
        for job in 1..=20 {
            let shape = Shape { slack_ms: 20_000, ..Shape::equal(4, 900) };
            world.submit(job as usize % 4, Job::new(job), &shape, LONG_LIMIT);
        }
        world.run_for(LONG_LIMIT);
        world.check();
        assert_eq!(world.answers.len(), 20);
        for answer in &world.answers {
            let expected = match answer.job.get() {
                1..=DEADLY_JOBS => Outcome::Failed(Cause::Crashes),
                _ => Outcome::Succeeded,
            };
            assert_eq!(answer.outcome, expected, "seed {seed}: {}", answer.job);
        }
    }
}

/// Guards against a third start beside others where no target is empty.
#[test]
fn lost_twice_task_runs_alone_in_busy_fleet() {
    let mut world = world(1, 8);
    let suspect = Task { job: Job::new(1), index: 0 };
    let losses = ["t-98", "t-99"].map(|target| Loss {
        task: suspect,
        kind: "k".parse().unwrap(),
        target: target.parse().unwrap(),
        incarnation: 1,
        evidence: Evidence::Crashed,
        was_alone: false,
    });
    world.receive(0, Message::Losses(losses.to_vec()));
    let mut ran_ms = 0;
    for step in 0..2_000 {
        // About 12 of the 16 tasks that fit run at any time.
        if step % 8 == 0 {
            world.submit(0, Job::new(10 + step), &patient(1, 100), LONG_LIMIT);
        }
        if step == 200 {
            world.submit(0, suspect.job, &patient(1, 400), LONG_LIMIT);
        }
        world.run_for(Millis::new(1));
        let neighbours = world.neighbours(suspect);
        ran_ms += u64::from(neighbours.is_some());
        assert_eq!(neighbours.unwrap_or(0), 0, "at step {step}");
    }
    assert!((390..=410).contains(&ran_ms), "ran for {ran_ms} ms");
    world.check();
    assert!(world.answers.iter().all(|answer| answer.outcome == Outcome::Succeeded));
}

/// Guards against blaming a task whose targets were cut off and are alive.
#[test]
fn cut_targets_repeatedly_task_not_blamed() {
    let mut world = world(4, 8);
    world.submit(0, Job::new(1), &patient(1, 800), LONG_LIMIT);
    for _ in 0..4 {
        world.run_for(Millis::new(100));
        let running: Vec<usize> = (0..8).filter(|target| world.runs_on(*target) > 0).collect();
        for target in &running {
            (0..4).for_each(|instance| world.cut_target(instance, *target));
        }
        world.run_for(Millis::new(1_900));
        for target in running {
            (0..4).for_each(|instance| world.heal_target(instance, target));
        }
    }
    world.run_for(LONG_LIMIT);
    world.check();
    assert_eq!(world.answers[0].outcome, Outcome::Succeeded);
}

/// Guards against a kind with many deadly tasks that takes down the targets of all others.
#[test]
fn deadly_kind_others_served() {
    for seed in 1..=3 {
        let size = Size { data_centres: 2, instances: 4, targets: 32, capacity: 2_000, seed };
        let mut world = World::new(size);
        world.run_for(Millis::new(2_000));
        let limit = Millis::new(1_500);
        // One deadly task every 0.1 s, each of which takes a target down for 3 s; of the other kinds,
        // about 24 of 64 tasks that fit run at any time.
        for step in 0..1_500 {
            let (home, job) = (step as usize % 4, 10 * step);
            if step % 10 == 0 {
                world.deadly.insert(Task { job: Job::new(job), index: 0 });
            }
            let deadly = Shape { kind: "d", ..Shape::equal(1, 80) };
            world.submit(home, Job::new(job), &deadly, limit);
            world.submit(home, Job::new(job + 1), &Shape::equal(1, 160), limit);
            world.run_for(Millis::new(10));
        }
        world.run_for(Millis::new(2_000));
        world.check();
        // The first targets are known to have crashed after a second; half a second passes between
        // two that count.
        let late = |answer: &&Answer| answer.job.get() > 4_000 && answer.job.get() % 10 == 1;
        let others: Vec<&Answer> = world.answers.iter().filter(late).collect();
        let served = others.iter().filter(|answer| answer.outcome == Outcome::Succeeded).count();
        // A task of another kind runs on every fourth target that crashes: 2.5 of 100 a second.
        assert!(served * 100 >= others.len() * 95, "seed {seed}: {served} of {}", others.len());
    }
}

#[test]
fn record_kind_contained_after_separate_losses() {
    let at = |millis: u64| START.plus(Millis::new(millis));
    let kind = "k".parse().unwrap();
    for (losses_at, is_contained) in [
        (&[0, 600, 1_200][..], true),
        // Targets that are cut off together are lost together.
        (&[0, 10, 20, 300, 400, 600][..], false),
        (&[0, 6_000, 12_000][..], false),
    ] {
        let mut table = containment::Table::default();
        for loss_at in losses_at {
            table.record(&kind, at(*loss_at));
        }
        let last = at(*losses_at.last().unwrap());
        assert_eq!(table.contains(&kind, last), is_contained, "{losses_at:?}");
        assert!(!table.contains(&kind, last.plus(Millis::new(5_000))), "{losses_at:?}");
    }
}

/// Guards against a kind that is contained and released in turn, and takes targets down each time.
#[test]
fn record_contained_kind_released_after_its_losses_have_halved() {
    let at = |millis: u64| START.plus(Millis::new(millis));
    let kind = "k".parse().unwrap();
    let mut table = containment::Table::default();
    [0, 600, 1_200].iter().for_each(|loss_at| table.record(&kind, at(*loss_at)));
    assert!(table.contains(&kind, at(4_000)));
    assert!(!table.contains(&kind, at(12_000)));
    table.record(&kind, at(12_000));
    assert!(!table.contains(&kind, at(12_000)));
}
