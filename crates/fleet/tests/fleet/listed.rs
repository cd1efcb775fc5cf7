//! Entries of other writers in the list of targets, with values at the ends of their ranges.

use crate::reports::{Owner, submission};
use crate::world::{entry, target_id};
use verbenapass::unit::{Accelerators, Mebibytes, Millicores, Millis};
use verbenapass_fleet::engine::{Command, Event};
use verbenapass_fleet::order::{Action, HoldAnswer, State};
use verbenapass_fleet::resource::Amount;
use verbenapass_fleet::target::Entry;

fn capacity(value: u32) -> Amount {
    let wide = if value == 0 { 0 } else { u64::MAX };
    Amount {
        cpu: Millicores::new(wide),
        memory: Mebibytes::new(wide),
        accelerators: Accelerators::new(value),
    }
}

/// Returns entries that name no target in use: nobody answers at their addresses.
fn odd_entries() -> Vec<Entry> {
    let odd = |index, capacity, number| Entry {
        id: target_id(index),
        address: "0.0.0.0:0".parse().unwrap(),
        capacity,
        incarnation: number,
        version: number,
        ..entry(1)
    };
    vec![
        odd(2, capacity(u32::MAX), u64::MAX),
        odd(3, capacity(u32::MAX), 0),
        odd(4, capacity(0), u64::MAX),
    ]
}

/// Answers the holds of the first target as its first incarnation; others get no answer. Returns the
/// commands that follow.
fn answer_first(owner: &mut Owner, commands: Vec<Command>) -> Vec<Command> {
    let mut following = Vec::new();
    for command in commands {
        let Command::Order(order) = command else { continue };
        let Action::Hold { number, .. } = order.action else { continue };
        let answer = match order.target == target_id(1) {
            true => HoldAnswer::State(State { incarnation: 1, clock_ms: 5, ..State::default() }),
            false => HoldAnswer::Unknown,
        };
        following.extend(owner.run(Event::HoldAnswered { target: order.target, number, answer }));
    }
    following
}

/// Runs an owner of the listed targets for 5 s, in which an answer takes 10 ms. Returns the number of orders.
fn run_with(owner: &mut Owner, entries: Vec<Entry>) -> usize {
    let mut commands = owner.run(Event::Listed(entries));
    let mut orders = 0;
    for _ in 0..500 {
        orders += commands.iter().filter(|command| matches!(command, Command::Order(_))).count();
        owner.now = owner.now.plus(Millis::new(10));
        commands = answer_first(owner, commands);
        owner.engine.tick(owner.now, &mut commands);
    }
    orders
}

/// Guards against an odd entry that ends the process, by an overflow, or that keeps it from the use of the
/// other targets.
#[test]
fn listed_odd_entries_others_in_use() {
    let mut owner = Owner::with_switch(false);
    let orders = run_with(&mut owner, [entry(1)].into_iter().chain(odd_entries()).collect());
    // Three entries that don't answer are asked three times a second each, the first target once.
    assert!(orders < 75, "{orders} orders in 5 s");
    let commands = owner.run(Event::Submit(submission(owner.now)));
    // The ownership may have to be confirmed first.
    let following = answer_first(&mut owner, commands.clone());
    let is_start = |command: &Command| match command {
        Command::Order(order) => matches!(order.action, Action::Start { .. }),
        _ => false,
    };
    assert!(commands.iter().chain(&following).any(is_start), "{commands:?} {following:?}");
}

/// Guards against a loop of holds to a target that the list gives a later incarnation than it has.
#[test]
fn listed_incarnation_too_large_few_holds() {
    let orders = run_with(&mut Owner::with_switch(false), vec![entry(u64::MAX)]);
    // A target that doesn't answer is asked three times a second.
    assert!(orders < 25, "{orders} orders in 5 s");
}
