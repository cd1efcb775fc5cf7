//! Tests of the ejection of failing targets and of the trials that end it.

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

/// Records `rounds` results for each target that is not ejected. `fails` tells whether the target
/// of that index fails.
fn record_rounds(detector: &mut Detector, rounds: u64, kind: &str, fails: impl Fn(usize) -> bool) {
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

fn ejected_indices(detector: &Detector, now: Timestamp) -> Vec<usize> {
    (0..TARGETS).filter(|index| detector.state(&target(*index), now) != State::Normal).collect()
}

// Guards against a target that keeps getting tasks while it fails all of them.
#[test]
fn record_failing_target() {
    let mut detector = Detector::new(Options::default());
    record_rounds(&mut detector, 10, "seat-hold", |index| index == 3);
    assert_eq!(ejected_indices(&detector, after(100)), vec![3]);
}

// Guards against ejecting healthy targets because all tasks of one class fail.
#[test]
fn record_class_failing_everywhere() {
    let mut detector = Detector::new(Options::default());
    record_rounds(&mut detector, 50, "seat-hold", |_| false);
    record_rounds(&mut detector, 50, "bad", |_| true);
    assert_eq!(ejected_indices(&detector, after(500)), Vec::<usize>::new());
}

// Guards against ejecting a target for a failing class that ran on no other target.
#[test]
fn record_class_on_one_target() {
    let mut detector = Detector::new(Options::default());
    record_rounds(&mut detector, 50, "seat-hold", |_| false);
    for _ in 0..50 {
        detector.record(&target(0), &class("bad"), true, TARGETS, after(500));
    }
    assert_eq!(ejected_indices(&detector, after(500)), Vec::<usize>::new());
}

// Guards against ejecting so many targets that the others can't carry the load.
#[test]
fn record_max_ejected() {
    let mut detector = Detector::new(Options::default());
    detector.set_max_ejected(Permille::new(300));
    record_rounds(&mut detector, 50, "seat-hold", |index| index < 5);
    assert_eq!(ejected_indices(&detector, after(500)).len(), 3);
    assert_eq!(detector.ejected(), 3);
}

// Guards against a target that stays ejected after a temporary fault.
#[test]
fn record_successful_trials() {
    let mut detector = Detector::new(Options::default());
    record_rounds(&mut detector, 10, "seat-hold", |index| index == 3);
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

// Guards against trials at a constant rate on a target that keeps failing.
#[test]
fn record_failed_trials() {
    let mut detector = Detector::new(Options::default());
    record_rounds(&mut detector, 10, "seat-hold", |index| index == 3);
    let mut now = after(100);
    let mut backoffs = Vec::new();
    for _ in 0..8 {
        let State::Ejected(trial_at) = detector.state(&target(3), now) else {
            panic!("target is not ejected");
        };
        backoffs.push(trial_at.since(now).get());
        now = trial_at;
        detector.record(&target(3), &class("seat-hold"), true, TARGETS, now);
    }
    assert!(backoffs[1..7].windows(2).all(|pair| pair[1] >= pair[0]), "{backoffs:?}");
    assert_eq!(backoffs[7], 30_000_000);
}

// Guards against results of starts from before the ejection that end or prolong it.
#[test]
fn record_late_results() {
    let mut detector = Detector::new(Options::default());
    record_rounds(&mut detector, 10, "seat-hold", |index| index == 3);
    let before = detector.state(&target(3), after(100));
    for _ in 0..5 {
        detector.record(&target(3), &class("seat-hold"), false, TARGETS, after(100));
        detector.record(&target(3), &class("seat-hold"), true, TARGETS, after(100));
    }
    assert_eq!(detector.state(&target(3), after(100)), before);
}
