//! Targets that leave, as peers report it before the own list does. They guard against an older copy
//! of the list that brings such a target into use again.

use crate::world::{START, amount, instance_id, target_id};
use verbenapass::time::Timestamp;
use verbenapass::unit::{Millicores, Millis};
use verbenapass_fleet::engine::{Command, Engine, Event, Options};
use verbenapass_fleet::job::Submission;
use verbenapass_fleet::message::Message;
use verbenapass_fleet::roster::Member;
use verbenapass_fleet::run::Job;
use verbenapass_fleet::target::{Action, Entry, HoldAnswer, Order, State};

fn member() -> Member {
    Member { data_centre: "dc".parse().unwrap(), cpu: Millicores::new(250) }
}

fn entry(incarnation: u64) -> Entry {
    Entry {
        id: target_id(1),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: "dc".parse().unwrap(),
        service: "s".parse().unwrap(),
        capacity: amount(2_000),
        incarnation,
        is_leaving: false,
    }
}

fn submission(now: Timestamp) -> Submission {
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
struct Owner {
    engine: Engine,
    now: Timestamp,
}

impl Owner {
    fn new() -> Self {
        let options = Options { instance: instance_id(0), member: member(), process: 7, seed: 1 };
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

    fn handle(&mut self, event: Event) -> Vec<Order> {
        let mut commands = Vec::new();
        self.engine.handle(event, self.now, &mut commands);
        orders(commands)
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
