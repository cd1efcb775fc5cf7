//! Runs of different homes, or of different processes of one home, with the same task.

use crate::reports::{Owner, member, submission};
use crate::world::{START, Shape, Size, World, amount, entry, instance_id, target_id};
use verbenapass::unit::Millis;
use verbenapass_fleet::engine::{Command, Engine, Event, Options};
use verbenapass_fleet::generation::Generation;
use verbenapass_fleet::message::{Batch, Message};
use verbenapass_fleet::order::{Action, HoldAnswer, StartAnswer, State};
use verbenapass_fleet::record::Outcome;
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
    owner.run(Event::PeerUp { peer: instance_id(2), member: member() });
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

/// Creates a process of a home without targets and submits a job there, whose task it places on the target
/// of a peer. Returns the home and the run.
fn place_at_peer(process: u32) -> (Owner, Key) {
    let options = Options {
        instance: instance_id(0),
        member: member(),
        process,
        seed: 1,
        can_evacuate: false,
        separates_kinds: false,
    };
    let mut home = Owner { engine: Engine::new(options, START), now: START };
    home.run(Event::Listed(vec![entry(1)]));
    home.run(Event::PeerUp { peer: instance_id(1), member: member() });
    home.run(Event::PeerUp { peer: instance_id(2), member: member() });
    receive(&mut home, Message::Owned(vec![(target_id(1), Generation::new(1 << 60))]));
    home.run(Event::Submit(submission(home.now)));
    let runs = grant(&mut home, 1);
    (home, runs[0])
}

/// Grants room for a task and returns the runs that the home places there.
fn grant(home: &mut Owner, number: u64) -> Vec<Key> {
    let message = Message::Grant {
        number,
        service: "s".parse().unwrap(),
        target: target_id(1),
        room: amount(1_000),
        factor: Factor::ONE,
    };
    let commands = receive(home, message);
    let batches = commands.into_iter().filter_map(|command| match command {
        Command::Send { message: Message::Place { batches, .. }, .. } => Some(batches),
        _ => None,
    });
    let keys = |batch: Batch| {
        let Batch { job, runs, .. } = batch;
        runs.into_iter().map(move |(index, number)| Key { task: Task { job, index }, number })
    };
    batches.flatten().flat_map(keys).collect()
}

/// Guards against the end of a run of a killed process that is taken for the end of its successor's run,
/// so that the task is started again beside it (review/9).
#[test]
fn ended_run_of_former_process_present_run_kept() {
    let (_, former) = place_at_peer(7);
    let (mut home, _) = place_at_peer(8);
    receive(&mut home, Message::Ended(vec![(former, End::Lost, Factor::ONE)]));
    assert_eq!(grant(&mut home, 2), []);
}

/// Guards against a run that is sought at the owner of a run of a killed process.
#[test]
fn moved_run_of_former_process_present_run_kept() {
    let (_, former) = place_at_peer(7);
    let (mut home, present) = place_at_peer(8);
    receive(&mut home, Message::Moved { to: instance_id(2), runs: vec![former] });
    let commands = receive(&mut home, Message::Ended(vec![(present, End::Done, Factor::ONE)]));
    let is_answered = commands
        .iter()
        .any(|command| matches!(command, Command::Answer { outcome: Outcome::Succeeded, .. }));
    assert!(is_answered, "{commands:?}");
}

/// Guards against numbers that a target which reads them as floating-point numbers confuses.
#[test]
fn number_after_many_runs_exact_as_float() {
    let number = Number::first(u32::MAX).plus(1_000_000).get();
    assert!(number < 1 << f64::MANTISSA_DIGITS, "{number}");
}

/// Guards against tasks that run twice when their home is killed and started again while an owner of their
/// targets is paused, and the clients submit the jobs again (review/9).
#[test]
fn restart_home_beside_paused_owner_no_task_twice() {
    for seed in 1..=10 {
        let size = Size { data_centres: 3, instances: 6, targets: 48, capacity: 2_000, seed };
        let mut world = World::new(size);
        world.run_for(Millis::new(3_000));
        // Keeps the tasks of the home in its data centre, whose other instance is 3.
        for job in 0..16 {
            let home = [1, 2, 4, 5][job as usize % 4];
            let shape = Shape::equal(4, 14_000);
            world.submit(home, Job::new(100 + job), &shape, Millis::new(30_000));
        }
        world.run_for(Millis::new(300));
        let shape = Shape { estimate_ms: 2_500, ..Shape::equal(4, 5_000) };
        let submit = |world: &mut World, jobs: [u64; 8]| {
            for job in jobs {
                world.submit(0, Job::new(job), &shape, Millis::new(9_000));
                world.run_for(Millis::new(4));
            }
        };
        submit(&mut world, [0, 1, 2, 3, 4, 5, 6, 7]);
        world.run_for(Millis::new(1_000));
        world.freeze(3);
        world.run_for(Millis::new(100));
        world.kill(0);
        world.run_for(Millis::new(300));
        world.boot(0);
        world.run_for(Millis::new(1_000));
        // The last four jobs get other targets than before, which would refuse a former number.
        submit(&mut world, [0, 1, 2, 3, 5, 6, 7, 4]);
        world.run_for(Millis::new(1_200 + 80 * seed));
        world.thaw(3);
        world.run_for(Millis::new(12_000));
        world.check();
    }
}
