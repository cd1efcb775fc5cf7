//! Ejection of failing targets and their way back.

use verbenapass::ejection::{Class, Detector, Options, State};
use verbenapass::id;
use verbenapass::time::Timestamp;
use verbenapass::unit::{Millis, Permille};

const NOW: Timestamp = Timestamp::from_micros(1_000_000_000);
const TARGETS: usize = 10;

fn target(index: usize) -> id::Target {
    format!("t{index}").parse().unwrap()
}

fn class(kind: &str) -> Class {
    ("halvern".parse().unwrap(), kind.parse().unwrap())
}

fn after(millis: u64) -> Timestamp {
    NOW.plus(Millis::new(millis))
}

/// Sends `rounds` tasks to every target; `fails` tells whether one fails.
fn run(detector: &mut Detector, rounds: u64, kind: &str, fails: impl Fn(usize) -> bool) {
    for round in 0..rounds {
        for index in 0..TARGETS {
            let now = after(round * 10);
            let target = target(index);
            if detector.state(&target, now) == State::Normal {
                detector.record(&target, &class(kind), fails(index), TARGETS, now);
            }
        }
    }
}

fn ejected(detector: &Detector, now: Timestamp) -> Vec<usize> {
    (0..TARGETS).filter(|index| detector.state(&target(*index), now) != State::Normal).collect()
}

// Guards against a target that fails everything and keeps getting tasks.
#[test]
fn record_ejects_failing_target() {
    let mut detector = Detector::new(Options::default());
    run(&mut detector, 10, "seat-hold", |index| index == 3);
    assert_eq!(ejected(&detector, after(100)), vec![3]);
}

// Guards against bad jobs that take healthy targets out of service.
#[test]
fn record_ignores_class_that_fails_everywhere() {
    let mut detector = Detector::new(Options::default());
    run(&mut detector, 50, "seat-hold", |_| false);
    run(&mut detector, 50, "bad", |_| true);
    assert_eq!(ejected(&detector, after(500)), Vec::<usize>::new());
}

// Guards against blaming a target for a bad class that has run nowhere else.
#[test]
fn record_ignores_class_without_peers() {
    let mut detector = Detector::new(Options::default());
    run(&mut detector, 50, "seat-hold", |_| false);
    for _ in 0..50 {
        detector.record(&target(0), &class("bad"), true, TARGETS, after(500));
    }
    assert_eq!(ejected(&detector, after(500)), Vec::<usize>::new());
}

// Guards against ejecting so many targets that the others can't carry the load.
#[test]
fn record_respects_cap() {
    let mut detector = Detector::new(Options::default());
    detector.set_max_ejected(Permille::new(300));
    run(&mut detector, 50, "seat-hold", |index| index < 5);
    assert_eq!(ejected(&detector, after(500)).len(), 3);
    assert_eq!(detector.ejected(), 3);
}

// Guards against a target that is never used again after a passing fault.
#[test]
fn record_readmits_after_trials() {
    let mut detector = Detector::new(Options::default());
    run(&mut detector, 10, "seat-hold", |index| index == 3);
    let State::Ejected(trial_at) = detector.state(&target(3), after(100)) else {
        panic!("target is not ejected");
    };
    assert_eq!(detector.state(&target(3), trial_at), State::Trial);
    for trial in 0..3 {
        assert_eq!(detector.state(&target(3), trial_at), State::Trial, "before trial {trial}");
        detector.record(&target(3), &class("seat-hold"), false, TARGETS, trial_at);
    }
    assert_eq!(detector.state(&target(3), trial_at), State::Normal);
    assert_eq!(detector.ejected(), 0);
}

// Guards against trials at a constant rate on a target that stays broken.
#[test]
fn record_backs_off_after_failed_trial() {
    let mut detector = Detector::new(Options::default());
    run(&mut detector, 10, "seat-hold", |index| index == 3);
    let mut now = after(100);
    let mut waits = Vec::new();
    for _ in 0..8 {
        let State::Ejected(trial_at) = detector.state(&target(3), now) else {
            panic!("target is not ejected");
        };
        waits.push(trial_at.since(now).get());
        now = trial_at;
        detector.record(&target(3), &class("seat-hold"), true, TARGETS, now);
    }
    assert!(waits[1..7].windows(2).all(|pair| pair[1] >= pair[0]), "{waits:?}");
    assert_eq!(waits[7], 30_000_000);
}

// Guards against late results of starts from before the ejection that end or prolong it.
#[test]
fn record_ignores_late_results_of_ejected_target() {
    let mut detector = Detector::new(Options::default());
    run(&mut detector, 10, "seat-hold", |index| index == 3);
    let before = detector.state(&target(3), after(100));
    for _ in 0..5 {
        detector.record(&target(3), &class("seat-hold"), false, TARGETS, after(100));
        detector.record(&target(3), &class("seat-hold"), true, TARGETS, after(100));
    }
    assert_eq!(detector.state(&target(3), after(100)), before);
}
