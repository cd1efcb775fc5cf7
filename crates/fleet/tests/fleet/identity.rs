//! Runs of different homes, or of different processes of one home, with the same task.

use crate::reports::{Owner, submission};
use crate::world::{amount, entry, instance_id, target_id};
use verbenapass::unit::Millis;
use verbenapass_fleet::engine::{Command, Event};
use verbenapass_fleet::generation::Generation;
use verbenapass_fleet::message::{Batch, Message};
use verbenapass_fleet::order::{Action, HoldAnswer, StartAnswer, State};
use verbenapass_fleet::run::{End, Job, Key, Number, Task};
use verbenapass_fleet::speed::Factor;
use verbenapass_fleet::target::{Entry, Transfer};

/// First run of the first task of a home that counts from 1, as homes of earlier builds do.
const PEER_RUN: Key = Key { task: Task { job: Job::new(1), index: 0 }, number: Number::new(1) };

fn second_entry() -> Entry {
    Entry { id: target_id(2), address: "127.0.0.1:2".parse().unwrap(), ..entry(1) }
}

fn receive(owner: &mut Owner, message: Message) -> Vec<Command> {
    owner.run(Event::Received { peer: instance_id(1), message })
}

/// Hands over the second target with a run of the peer.
fn hand_over(owner: &mut Owner, run: Key) -> Vec<Command> {
    owner.run(Event::Listed(vec![entry(1), second_entry()]));
    let transfer = Transfer {
        run,
        home: instance_id(1),
        kind: "k".parse().unwrap(),
        amount: amount(1_000),
        estimate: Millis::new(3_000),
    };
    let message = Message::Handover {
        target: target_id(2),
        generation: Generation::new(1 << 60),
        acknowledged: 0,
        runs: vec![transfer],
        factor: Factor::ONE,
    };
    let mut commands = receive(owner, message);
    let running = vec![run];
    commands.extend(answer_holds(owner, &commands, "t-2", &State { running, ..State::default() }));
    commands
}

/// Answers the holds of a target among the commands.
fn answer_holds(
    owner: &mut Owner,
    commands: &[Command],
    target: &str,
    state: &State,
) -> Vec<Command> {
    let holds = commands.iter().filter_map(|command| match command {
        Command::Order(order) if order.target.as_str() == target => match order.action {
            Action::Hold { number, .. } => Some(number),
            Action::Start { .. } | Action::Stop { .. } => None,
        },
        _ => None,
    });
    let mut answers = Vec::new();
    for number in holds {
        let state = State { incarnation: 1, clock_ms: 5, ..state.clone() };
        let answer = HoldAnswer::State(state);
        let target = target.parse().unwrap();
        answers.extend(owner.run(Event::HoldAnswered { target, number, answer }));
    }
    answers
}

/// Submits a job and returns the commands and its run on the first target.
fn start_own(owner: &mut Owner) -> (Vec<Command>, Key) {
    let commands = owner.run(Event::Submit(submission(owner.now)));
    let run = started(&commands).expect("a start");
    let (target, answer) = (target_id(1), StartAnswer::Accepted);
    owner.run(Event::StartAnswered { target, run, answer, clock_ms: None });
    (commands, run)
}

fn started(commands: &[Command]) -> Option<Key> {
    commands.iter().find_map(|command| match command {
        Command::Order(order) => match order.action {
            Action::Start { run, .. } => Some(run),
            Action::Stop { .. } | Action::Hold { .. } => None,
        },
        _ => None,
    })
}

/// Returns the names of the targets that are told to stop a run.
fn stopped_on(commands: &[Command]) -> Vec<&str> {
    let stops = commands.iter().filter_map(|command| match command {
        Command::Order(order) if matches!(order.action, Action::Stop { .. }) => {
            Some(order.target.as_str())
        }
        _ => None,
    });
    stops.collect()
}

/// Guards against a cancellation that is lost: the end of a run of another home, with the same task and
/// number, removed the run from an index (review/6).
#[test]
fn cancel_after_end_of_same_key_of_other_home_stopped() {
    let mut owner = Owner::with_switch(false);
    let (commands, run) = start_own(&mut owner);
    hand_over(&mut owner, run);
    let state = State { ended: vec![(1, run, End::Lost)], ..State::default() };
    answer_holds(&mut owner, &commands, "t-1", &state);
    let commands = receive(&mut owner, Message::Cancel(vec![run]));
    assert_eq!(stopped_on(&commands), ["t-2"]);
}

/// Guards against the stop of a run whose home didn't ask for it.
#[test]
fn cancel_same_key_of_two_homes_only_sender_stopped() {
    let mut owner = Owner::with_switch(false);
    hand_over(&mut owner, PEER_RUN);
    owner.run(Event::PeerUp { peer: instance_id(2), member: crate::reports::member() });
    let message = Message::Cancel(vec![PEER_RUN]);
    let commands = owner.run(Event::Received { peer: instance_id(2), message: message.clone() });
    assert_eq!(stopped_on(&commands), Vec::<&str>::new());
    assert_eq!(stopped_on(&receive(&mut owner, message)), ["t-2"]);
}

/// Guards against a cancellation that is lost because a start of the same task and number was refused
/// since.
#[test]
fn cancel_after_refused_start_of_same_key_stopped() {
    let mut owner = Owner::with_switch(false);
    hand_over(&mut owner, PEER_RUN);
    let batch = Batch {
        job: PEER_RUN.task.job,
        kind: "k".parse().unwrap(),
        spec: "spec".into(),
        amount: amount(1_000),
        estimate_ms: 100,
        send_within_ms: 1_000,
        runs: vec![(PEER_RUN.task.index, PEER_RUN.number)],
    };
    // No room is reserved under this number.
    receive(&mut owner, Message::Place { number: 99, batches: vec![batch] });
    let commands = receive(&mut owner, Message::Cancel(vec![PEER_RUN]));
    assert_eq!(stopped_on(&commands), ["t-2"]);
}
