//! Claims, holds and starts of a single target, without an engine.

use crate::world::{START, amount, entry};
use std::sync::Arc;
use verbenapass::time::Timestamp;
use verbenapass::unit::{Micros, Millis};
use verbenapass_fleet::estimate::RunTime;
use verbenapass_fleet::generation::Generation;
use verbenapass_fleet::order::{Action, HoldAnswer, Order, StartAnswer, State, StopAnswer};
use verbenapass_fleet::resource::Amount;
use verbenapass_fleet::run::{End, Job, Key, Number, Task};
use verbenapass_fleet::target::{Entry, Request, Target};

/// Longest age of an answer to a hold that still permits the start of a run.
const MAX_STATE_AGE: Millis = Millis::new(350);

fn hold_number(orders: &[Order]) -> u64 {
    let numbers = orders.iter().filter_map(|order| match order.action {
        Action::Hold { number, .. } => Some(number),
        _ => None,
    });
    numbers.max().unwrap()
}

fn at(millis: u64) -> Timestamp {
    START.plus(Millis::new(millis))
}

fn request() -> Request {
    Request {
        run: Key { task: Task { job: Job::new(1), index: 0 }, number: Number::first(7) },
        home: "e-1".parse().unwrap(),
        kind: "k".parse().unwrap(),
        amount: amount(1_000),
        run_time: RunTime::new(Millis::new(100)),
        spec: Arc::from("spec"),
        send_before: at(60_000),
        is_isolated: false,
    }
}

/// Sends the hold that is due and answers it at once with an idle state.
fn answer_hold(target: &mut Target, incarnation: u64, now: Timestamp) {
    let (mut orders, mut ended) = (Vec::new(), Vec::new());
    target.poll(now, &mut orders, &mut ended);
    let state = State { incarnation, clock_ms: 5, ..State::default() };
    target.hold_answered(hold_number(&orders), HoldAnswer::State(state), now, &mut ended);
}

fn held_target() -> Target {
    let mut target = Target::new(entry(1), Generation::default(), 7, START);
    answer_hold(&mut target, 1, START);
    assert_eq!(target.room(START), entry(1).capacity);
    target
}

#[test]
fn start_idle_target_confirmed_first() {
    let mut target = held_target();
    let mut orders = Vec::new();
    // Another instance may have claimed the target since the last hold. A target that crashed has
    // forgotten that claim.
    let now = at(900);
    assert!(!target.start(request(), now, &mut orders));
    assert_eq!(target.unconfirmed_room(now), entry(1).capacity);
    target.confirm_ownership(now);
    assert!(target.next_deadline().is_past(now), "no hold due at once");
    answer_hold(&mut target, 1, now);
    assert!(target.start(request(), now, &mut orders));
}

#[test]
fn start_restarted_target_after_all_owners_know() {
    let mut target = held_target();
    answer_hold(&mut target, 2, at(1_000));
    // The second hold claims the new incarnation.
    answer_hold(&mut target, 2, at(1_000));
    let mut orders = Vec::new();
    let usable_from = at(1_000).plus(MAX_STATE_AGE);
    for now in [at(1_000), usable_from] {
        // Another owner that was confirmed just before the crash may still start runs.
        assert_eq!(target.room(now), Amount::default());
        assert!(!target.start(request(), now, &mut orders));
    }
    assert!(
        target.next_deadline().is_past(usable_from),
        "no hold due once its answer permits starts"
    );
    answer_hold(&mut target, 2, usable_from);
    // The list still has the capacity of the former incarnation, which may have been larger.
    target.update(Entry { version: 2, ..entry(1) }, usable_from);
    assert!(!target.start(request(), usable_from, &mut orders));
    target.update(Entry { incarnation: 2, version: 3, ..entry(1) }, usable_from);
    assert!(target.start(request(), usable_from, &mut orders));
}

#[test]
fn reserve_confirmed_until_used() {
    let mut target = held_target();
    let now = at(340);
    target.reserve(1, amount(1_000), now.plus(Millis::new(250)));
    // The last answer is too old when the tasks for the reservation arrive.
    assert!(target.next_deadline().is_past(now), "no hold due for the reservation");
}

#[test]
fn hold_answered_of_former_ownership() {
    let (mut orders, mut ended) = (Vec::new(), Vec::new());
    let mut former = Target::new(entry(1), Generation::default(), 7, START);
    former.poll(START, &mut orders, &mut ended);
    let old = hold_number(&orders);
    // Another instance owns the target in between, before the old hold is answered.
    let seen = former.generation().above(1, 8, START);
    let now = START.plus(Millis::new(20));
    let mut target = Target::new(entry(1), seen, 7, now);
    target.poll(now, &mut orders, &mut ended);
    assert_ne!(hold_number(&orders), old);
    let state = State { incarnation: 1, clock_ms: 5, ..State::default() };
    target.hold_answered(old, HoldAnswer::State(state), now, &mut ended);
    assert_eq!(target.room(now), amount(0).minus(amount(0)), "claim confirmed by an old answer");
}

#[test]
fn hold_answered_hedged_either_counts() {
    for is_first in [true, false] {
        let mut target = held_target();
        let (mut orders, mut ended) = (Vec::new(), Vec::new());
        assert!(target.start(request(), START, &mut orders));
        target.start_answered(request().run, StartAnswer::Accepted, None, START, &mut ended);
        // An unanswered hold makes the target suspected.
        target.poll(START, &mut orders, &mut ended);
        target.hold_answered(hold_number(&orders), HoldAnswer::Unknown, START, &mut ended);
        answer_hold(&mut target, 1, START);
        target.poll(START, &mut orders, &mut ended);
        let first = hold_number(&orders);
        // The hedge is sent after a wait of 40 ms and a delay of 20 ms.
        target.poll(at(59), &mut orders, &mut ended);
        assert_eq!(hold_number(&orders), first);
        target.poll(at(60), &mut orders, &mut ended);
        let second = hold_number(&orders);
        assert_ne!(second, first);
        assert!(ended.is_empty());
        let done = State {
            incarnation: 1,
            clock_ms: 70,
            running: Vec::new(),
            ended: vec![(1, request().run, End::Done)],
        };
        let answered = if is_first { first } else { second };
        target.hold_answered(answered, HoldAnswer::State(done), at(61), &mut ended);
        assert_eq!(ended.len(), 1);
    }
}

/// Guards against orders to a target that can't be reached, in a loop or in large numbers.
#[test]
fn stop_target_out_of_reach_few_orders() {
    let mut target = held_target();
    let (mut orders, mut ended) = (Vec::new(), Vec::new());
    assert!(target.start(request(), START, &mut orders));
    target.start_answered(request().run, StartAnswer::Accepted, None, START, &mut ended);
    target.stop(request().run, START);
    let mut now = START;
    let (mut stops, mut polls) = (0, 0);
    while now < at(6_000) {
        orders.clear();
        target.poll(now, &mut orders, &mut ended);
        polls += 1;
        for order in &orders {
            match order.action {
                Action::Stop { run, .. } => {
                    stops += 1;
                    target.stop_answered(run, StopAnswer::Unknown, None, now);
                }
                Action::Hold { number, .. } => {
                    target.hold_answered(number, HoldAnswer::Unknown, now, &mut ended);
                }
                Action::Start { .. } => {}
            }
        }
        // The event loop takes at least 0.1 ms a round.
        now = target.next_deadline().max(now.plus_micros(Micros::new(100)));
    }
    // The lease, which isn't renewed, ends the run.
    assert!(stops <= 3, "{stops} stops");
    assert!(polls <= 100, "{polls} polls");
}

#[test]
fn next_deadline_fenced_end_of_lease() {
    let mut target = held_target();
    let (mut orders, mut ended) = (Vec::new(), Vec::new());
    assert!(target.start(request(), START, &mut orders));
    target.start_answered(request().run, StartAnswer::Accepted, None, START, &mut ended);
    target.poll(START, &mut orders, &mut ended);
    target.hold_answered(hold_number(&orders), HoldAnswer::Fenced, START, &mut ended);
    // The run becomes slow before that, which no longer matters.
    assert_eq!(target.next_deadline(), at(1_100));
    target.poll(at(1_100), &mut orders, &mut ended);
    assert_eq!(ended.len(), 1);
    assert_eq!(target.next_deadline(), Timestamp::MAX);
}

/// A clock at the end of its range, as a broken target may report it.
#[test]
fn hold_answered_clock_at_its_end_lease_saturates() {
    let mut target = Target::new(entry(1), Generation::default(), 7, START);
    let (mut orders, mut ended) = (Vec::new(), Vec::new());
    target.poll(START, &mut orders, &mut ended);
    let Some(Action::Hold { number, .. }) = orders.pop().map(|order| order.action) else {
        panic!("a claim begins with a hold")
    };
    let state = State { incarnation: 1, clock_ms: u64::MAX, ..State::default() };
    target.hold_answered(number, HoldAnswer::State(state), START, &mut ended);
    assert!(target.start(request(), START, &mut orders));
    let Some(Action::Start { lease_until_ms, .. }) = orders.pop().map(|order| order.action) else {
        panic!("a start is sent")
    };
    assert_eq!(u64::MAX, lease_until_ms, "the lease must not end in the past");
}

/// A process that is paused after it has decided on a start may have lost the target meanwhile.
#[test]
fn start_sent_only_while_ownership_is_confirmed() {
    let mut target = Target::new(entry(1), Generation::default(), 7, START);
    answer_hold(&mut target, 1, START);
    let mut orders = Vec::new();
    assert!(target.start(request(), at(100), &mut orders));
    let Some(Action::Start { send_before, .. }) = orders.pop().map(|order| order.action) else {
        panic!("a start is sent")
    };
    assert_eq!(START.plus(MAX_STATE_AGE), send_before);
}

/// Guards against runs that outlive a target in whose place another one answers.
#[test]
fn hold_answered_replaced_runs_end_at_once() {
    let mut target = held_target();
    let (mut orders, mut ended) = (Vec::new(), Vec::new());
    assert!(target.start(request(), START, &mut orders));
    target.start_answered(request().run, StartAnswer::Unknown, None, at(20), &mut ended);
    target.poll(at(20), &mut orders, &mut ended);
    let number = hold_number(&orders);
    target.hold_answered(number, HoldAnswer::Replaced, at(30), &mut ended);
    let ends: Vec<End> = ended.iter().map(|ended| ended.end).collect();
    assert_eq!(ends, [End::Crashed]);
    assert!(target.is_empty() && target.has_expired());
    // The id may come back, but the process at its address is asked only as often as an idle one.
    assert_eq!(target.next_deadline(), at(1_030));
}

/// Guards against filling a target that grows beside a run of unknown size.
#[test]
fn update_grown_beside_unknown_run_no_room() {
    let mut target = Target::new(entry(1), Generation::default(), 7, START);
    let (mut orders, mut ended) = (Vec::new(), Vec::new());
    target.poll(START, &mut orders, &mut ended);
    let running = vec![request().run];
    let state = State { incarnation: 1, clock_ms: 5, running, ..State::default() };
    target.hold_answered(hold_number(&orders), HoldAnswer::State(state), START, &mut ended);
    target.update(Entry { capacity: amount(1_000), version: 2, ..entry(1) }, START);
    target.update(Entry { capacity: amount(4_000), version: 3, ..entry(1) }, START);
    assert_eq!(target.room(START).cpu, amount(0).cpu);
    let state = State { incarnation: 1, clock_ms: 6, ..State::default() };
    target.stop_answered(request().run, StopAnswer::Accepted, None, START);
    target.poll(START, &mut orders, &mut ended);
    target.hold_answered(hold_number(&orders), HoldAnswer::State(state), START, &mut ended);
    assert_eq!(target.room(START), amount(4_000).min(target.entry().capacity));
}
