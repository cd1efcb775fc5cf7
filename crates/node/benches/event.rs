//! Benchmark of one event at several fleet sizes: a frame of a peer, and an answered hold of a target.
//!
//! `cargo bench -p verbenapass-node --bench event` prints one line for each size. The cost must not grow
//! with the numbers of peers and targets.

use std::hint::black_box;
use std::net::SocketAddr;
use std::time::Instant;
use verbenapass::id;
use verbenapass::time::Timestamp;
use verbenapass::unit::{Accelerators, Bytes, Mebibytes, Micros, Millicores, Millis};
use verbenapass_fleet::engine::{Command, Engine, Event, Options};
use verbenapass_fleet::order::{Action, HoldAnswer, State};
use verbenapass_fleet::resource::Amount;
use verbenapass_fleet::roster::Member;
use verbenapass_fleet::target::Entry;
use verbenapass_node::link::{Frame, Hello, Table};

const START: Timestamp = Timestamp::from_micros(1_800_000_000_000_000);
const EVENTS: u32 = 20_000;
const DATA_CENTRES: usize = 6;

fn main() {
    println!("{:>7} {:>8} {:>14} {:>14}", "peers", "targets", "us per frame", "us per hold");
    for (peers, targets) in [(6, 50), (50, 500), (150, 1_000), (300, 3_000), (1_000, 10_000)] {
        let (frame, hold) = (measure_frame(peers), measure_hold(peers, targets));
        println!("{peers:>7} {targets:>8} {frame:>14.2} {hold:>14.2}");
    }
}

fn instance(index: usize) -> id::Instance {
    format!("instance-{index}").parse().expect("valid")
}

fn member(index: usize) -> Member {
    let data_centre = format!("dc-{}", index % DATA_CENTRES).parse().expect("valid");
    Member { data_centre, cpu: Millicores::new(250) }
}

fn address(index: usize) -> SocketAddr {
    format!("127.{}.{}.1:7000", index / 200, index % 200).parse().expect("valid")
}

fn micros_per_event(begun: Instant) -> f64 {
    begun.elapsed().as_secs_f64() * 1e6 / f64::from(EVENTS)
}

/// Returns the time to handle a heartbeat of one of the peers and to send what is due.
fn measure_frame(peers: usize) -> f64 {
    let mut table = Table::new(instance(0), member(0), address(0), 1_000);
    let mut connections = Vec::new();
    for index in 1..=peers {
        let connection = table.accept();
        for peer_session in [0, 999 + index as u64] {
            let hello = Hello {
                instance: instance(index),
                member: member(index),
                address: address(index),
                session: 7,
                peer_session,
                received: 0,
                wants_known: false,
                known: Vec::new(),
            };
            table.receive(connection, Frame::Hello(hello), START);
        }
        connections.push(connection);
    }
    assert_eq!(peers, table.reachable_peers(), "all peers are up");
    table.set_partners(&(1..=8.min(peers)).map(instance).collect(), START);
    let mut now = START;
    let begun = Instant::now();
    for event in 0..EVENTS as usize {
        now = now.plus_micros(Micros::new(2_000_000 / peers as u64));
        let heartbeat = Frame::Heartbeat {
            received: 0,
            version: id::Version::default(),
            size: Bytes::default(),
            is_probe: false,
        };
        table.receive(connections[event % peers], heartbeat, now);
        table.poll(now);
        black_box((table.next_deadline(), table.take_actions()));
    }
    micros_per_event(begun)
}

/// Returns the time to handle the answer to a hold of one of the owned targets.
fn measure_hold(peers: usize, targets: usize) -> f64 {
    let options = Options {
        instance: instance(0),
        member: member(0),
        process: 7,
        seed: 1,
        separates_kinds: true,
        can_evacuate: false,
    };
    let mut engine = Engine::new(options, START);
    let mut commands = Vec::new();
    let entries = (0..targets).map(|index| Entry {
        id: format!("i-{index}").parse().expect("valid"),
        address: address(index),
        data_centre: member(index).data_centre,
        service: "enrol".parse().expect("valid"),
        capacity: Amount {
            cpu: Millicores::new(64_000),
            memory: Mebibytes::new(131_072),
            accelerators: Accelerators::new(0),
        },
        incarnation: 1,
        version: 1,
        is_leaving: false,
    });
    engine.handle(Event::Listed(entries.collect()), START, &mut commands);
    for index in 1..=peers {
        let event = Event::PeerUp { peer: instance(index), member: member(index) };
        engine.handle(event, START, &mut commands);
    }
    let mut now = START.plus(Millis::new(2_000));
    engine.tick(now, &mut commands);
    let mut answered = 0;
    let begun = Instant::now();
    while answered < EVENTS {
        let mut holds = Vec::new();
        for command in commands.drain(..) {
            if let Command::Order(order) = command
                && let Action::Hold { number, .. } = order.action
            {
                holds.push((order.target, number));
            }
        }
        for (target, number) in holds {
            answered += 1;
            let state = State { incarnation: 1, clock_ms: 1_000, ..State::default() };
            let answer = HoldAnswer::State(state);
            engine.handle(Event::HoldAnswered { target, number, answer }, now, &mut commands);
        }
        now = now.max(engine.next_deadline());
        engine.tick(now, &mut commands);
        black_box(engine.is_ready());
    }
    micros_per_event(begun)
}
