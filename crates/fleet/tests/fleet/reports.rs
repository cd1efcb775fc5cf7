//! What peers report of targets before the own list has it: that they leave, and their capacity. Guards
//! against older copies of the list.

use crate::world::{START, amount, entry, instance_id, target_id};
use verbenapass::time::Timestamp;
use verbenapass::unit::{Millicores, Millis};
use verbenapass_fleet::admission::Reason;
use verbenapass_fleet::engine::{Command, Engine, Event, Options};
use verbenapass_fleet::generation::Generation;
use verbenapass_fleet::job::Submission;
use verbenapass_fleet::message::Message;
use verbenapass_fleet::order::{Action, HoldAnswer, Order, State};
use verbenapass_fleet::record::Outcome;
use verbenapass_fleet::roster::Member;
use verbenapass_fleet::run::Job;
use verbenapass_fleet::target::Entry;

pub fn member() -> Member {
    Member { data_centre: "dc".parse().unwrap(), cpu: Millicores::new(250) }
}

/// Returns the entry with another capacity, in a list of the given version.
fn resized(cpu: u64, version: u64) -> Entry {
    Entry { capacity: amount(cpu), version, ..entry(1) }
}

fn report(cpu: u64, version: u64) -> Message {
    Message::Capacity { target: target_id(1), incarnation: 1, version, capacity: amount(cpu) }
}

pub fn submission(now: Timestamp) -> Submission {
    Submission {
        caller: verbenapass::id::Caller::new(1),
        id: Job::new(1),
        kind: "k".parse().unwrap(),
        service: "s".parse().unwrap(),
        spec: "spec".into(),
        priority: 0,
        tasks: 1,
        amount: amount(1_000),
        estimate: Millis::new(100),
        attempts: 1,
        stretch: verbenapass::unit::Permille::new(1_600),
        slack: Millis::new(60),
        arrived: now,
        deadline: now.plus(Millis::new(1_500)),
        resubmit_after: Millis::new(1_300),
        version: verbenapass::id::Version::new(1),
    }
}

/// An instance that owns its only target and is linked to a peer that owns none.
pub struct Owner {
    pub engine: Engine,
    pub now: Timestamp,
}

impl Owner {
    fn new() -> Self {
        Self::with_switch(false)
    }

    /// Creates the owner with or without evacuations of data centres.
    pub fn with_switch(can_evacuate: bool) -> Self {
        let options = Options {
            instance: instance_id(0),
            member: member(),
            process: 7,
            seed: 1,
            can_evacuate,
            separates_kinds: false,
        };
        let mut owner = Self { engine: Engine::new(options, START), now: START };
        owner.handle(Event::Listed(vec![entry(1)]));
        owner.handle(Event::PeerUp { peer: instance_id(1), member: member() });
        // The assignment depends on hashes of names, so the peer leaves it to this instance.
        owner.receive(Message::Stopping);
        owner.now = START.plus(Millis::new(2_000));
        let orders = owner.tick();
        owner.answer(orders, 1);
        owner
    }

    pub fn run(&mut self, event: Event) -> Vec<Command> {
        let mut commands = Vec::new();
        self.engine.handle(event, self.now, &mut commands);
        commands
    }

    fn handle(&mut self, event: Event) -> Vec<Order> {
        orders(self.run(event))
    }

    fn receive(&mut self, message: Message) -> Vec<Order> {
        self.handle(Event::Received { peer: instance_id(1), message })
    }

    fn tick(&mut self) -> Vec<Order> {
        let mut commands = Vec::new();
        self.engine.tick(self.now, &mut commands);
        orders(commands)
    }

    /// Answers holds with an idle state.
    fn answer(&mut self, orders: Vec<Order>, incarnation: u64) {
        for order in orders {
            if let Action::Hold { number, .. } = order.action {
                let state = State { incarnation, clock_ms: 5, ..State::default() };
                let (target, answer) = (order.target, HoldAnswer::State(state));
                self.handle(Event::HoldAnswered { target, number, answer });
            }
        }
    }

    /// Submits a job and returns whether a task of it is started.
    fn starts_job(&mut self) -> bool {
        let orders = self.handle(Event::Submit(submission(self.now)));
        orders.iter().any(|order| matches!(order.action, Action::Start { .. }))
    }
}

fn orders(commands: Vec<Command>) -> Vec<Order> {
    let order = |command| match command {
        Command::Order(order) => Some(order),
        _ => None,
    };
    commands.into_iter().filter_map(order).collect()
}

#[test]
fn receive_leaving_nothing_starts_despite_older_list() {
    assert!(Owner::new().starts_job(), "the target is in use");
    let mut owner = Owner::new();
    owner.receive(Message::Leaving { target: target_id(1), incarnation: 1 });
    owner.handle(Event::Listed(vec![entry(1)]));
    assert!(!owner.starts_job(), "a start on a leaving target");
}

#[test]
fn receive_leaving_former_incarnation_target_in_use() {
    let mut owner = Owner::new();
    let orders = owner.handle(Event::Listed(vec![entry(2)]));
    owner.answer(orders, 2);
    owner.receive(Message::Leaving { target: target_id(1), incarnation: 1 });
    // A new incarnation is used once all instances know it.
    owner.now = owner.now.plus(Millis::new(360));
    let orders = owner.tick();
    owner.answer(orders, 2);
    assert!(owner.starts_job(), "the new incarnation does not leave");
}

#[test]
fn receive_capacity_shrunk_despite_older_list() {
    let mut owner = Owner::new();
    owner.receive(report(500, 5));
    owner.handle(Event::Listed(vec![resized(2_000, 4)]));
    assert!(!owner.starts_job(), "a start beyond the capacity");
    owner.handle(Event::Listed(vec![resized(2_000, 6)]));
    assert!(owner.starts_job(), "not grown again");
}

#[test]
fn receive_capacity_older_report_or_incarnation_ignored() {
    for message in [
        report(500, 4),
        Message::Capacity {
            target: target_id(1),
            incarnation: 0,
            version: 9,
            capacity: amount(500),
        },
    ] {
        let mut owner = Owner::new();
        owner.handle(Event::Listed(vec![resized(2_000, 5)]));
        owner.receive(message);
        assert!(owner.starts_job());
    }
}

#[test]
fn receive_capacity_grown_used_at_once() {
    let mut owner = Owner::new();
    owner.handle(Event::Listed(vec![resized(500, 2)]));
    owner.receive(report(500, 3));
    owner.receive(report(2_000, 4));
    // A peer with an older list reports late.
    owner.receive(report(500, 3));
    assert!(owner.starts_job());
}

#[test]
fn listed_shrunk_capacity_owner_told() {
    let mut owner = Owner::new();
    owner.handle(Event::PeerUp { peer: instance_id(1), member: member() });
    owner.receive(Message::Owned(vec![(target_id(1), Generation::new(1 << 60))]));
    let mut commands = Vec::new();
    let listed = Event::Listed(vec![resized(500, 2)]);
    owner.engine.handle(listed, owner.now, &mut commands);
    let sent = commands.iter().any(
        |command| matches!(command, Command::Send { message, .. } if *message == report(500, 2)),
    );
    assert!(sent, "{commands:?}");
}

/// Guards against failing for good a job that only a shrunk target is too small for.
#[test]
fn submit_larger_than_shrunk_target_refused() {
    let mut owner = Owner::new();
    owner.handle(Event::Listed(vec![resized(500, 2)]));
    let mut commands = Vec::new();
    owner.engine.handle(Event::Submit(submission(owner.now)), owner.now, &mut commands);
    let outcome = commands.iter().find_map(|command| match command {
        Command::Answer { outcome, .. } => Some(*outcome),
        _ => None,
    });
    assert!(matches!(outcome, Some(Outcome::Refused(Reason::NoTarget, _))), "{outcome:?}");
}

/// Guards against a new owner whose list doesn't show yet that the target leaves or has shrunk.
#[test]
fn handover_new_owner_told_first() {
    let leaving = Message::Leaving { target: target_id(1), incarnation: 1 };
    for news in [leaving, report(500, 5)] {
        let mut owner = Owner::new();
        owner.handle(Event::PeerUp { peer: instance_id(2), member: member() });
        owner.receive(news.clone());
        let mut commands = Vec::new();
        owner.engine.handle(Event::Stop, owner.now, &mut commands);
        owner.engine.tick(owner.now.plus(Millis::new(100)), &mut commands);
        let sent = commands.into_iter().filter_map(|command| match command {
            Command::Send { peer, message } if peer == instance_id(2) => Some(message),
            _ => None,
        });
        let sent: Vec<Message> = sent.collect();
        let handover = sent.iter().position(|m| matches!(m, Message::Handover { .. })).unwrap();
        assert!(sent[..handover].contains(&news), "{sent:?}");
    }
}
