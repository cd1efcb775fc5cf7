//! Links between two instances over simulated connections, which the test closes, silences or
//! partitions.

use std::collections::VecDeque;
use verbenapass::id;
use verbenapass::time::Timestamp;
use verbenapass::unit::{Bytes, Micros, Millicores, Millis};
use verbenapass_fleet::message::{Batch, Message};
use verbenapass_fleet::resource::Amount;
use verbenapass_fleet::roster::Member;
use verbenapass_fleet::run::{Job, Number};
use verbenapass_node::link::{Action, Connection, Frame, Hello, Table};

const START: Timestamp = Timestamp::from_micros(1_000_000_000);

fn name(index: usize) -> id::Instance {
    ["a", "b"][index].parse().unwrap()
}

fn member() -> Member {
    Member { data_centre: "dc".parse().unwrap(), cpu: Millicores::new(250) }
}

/// Two tables and the simulated connections between them.
struct Pair {
    now: Timestamp,
    tables: [Table; 2],
    /// All connections so far, each as the numbers that the two sides have for it.
    connections: Vec<[Connection; 2]>,
    /// Indices of connections that drop every frame and never report their end.
    silent: Vec<usize>,
    is_refusing: bool,
    is_partitioned: bool,
    reported: [Vec<Action>; 2],
}

impl Pair {
    fn new() -> Self {
        let table = |index: usize| {
            let address = format!("127.0.0.1:{}", 7_000 + index).parse().unwrap();
            let session = 1_000 * (index as u64 + 1);
            Table::new(name(index), member(), address, session)
        };
        let mut pair = Self {
            now: START,
            tables: [table(0), table(1)],
            connections: Vec::new(),
            silent: Vec::new(),
            is_refusing: false,
            is_partitioned: false,
            reported: [Vec::new(), Vec::new()],
        };
        for index in 0..2 {
            let address = format!("127.0.0.1:{}", 7_000 + 1 - index).parse().unwrap();
            pair.tables[index].add_peer(&name(1 - index), address, START);
        }
        pair.set_partners(true);
        pair.run(Millis::new(100));
        pair
    }

    fn set_partners(&mut self, are_partners: bool) {
        for index in 0..2 {
            let other = are_partners.then(|| name(1 - index));
            self.tables[index].set_partners(&other.into_iter().collect(), self.now);
        }
    }

    /// Advances the time in steps of 10 ms.
    fn run(&mut self, span: Millis) {
        for _ in 0..span.get() / 10 {
            self.now = self.now.plus(Millis::new(10));
            for table in &mut self.tables {
                table.poll(self.now);
            }
            self.run_actions();
        }
    }

    fn run_actions(&mut self) {
        let mut actions: VecDeque<(usize, Action)> = VecDeque::new();
        loop {
            for side in 0..2 {
                actions.extend(self.tables[side].take_actions().into_iter().map(|a| (side, a)));
            }
            let Some((side, action)) = actions.pop_front() else { return };
            self.run_action(side, action);
        }
    }

    fn run_action(&mut self, side: usize, action: Action) {
        match action {
            Action::Dial(connection, _) => {
                if self.is_refusing || self.is_partitioned {
                    self.tables[side].closed(connection, self.is_refusing, self.now);
                    return;
                }
                let accepted = self.tables[1 - side].accept();
                let mut ends = [connection; 2];
                ends[1 - side] = accepted;
                self.connections.push(ends);
                self.tables[side].connected(connection, self.now);
            }
            Action::Send(connection, frame) => {
                let Some(at) = self.connections.iter().position(|ends| ends[side] == connection)
                else {
                    return;
                };
                if !self.silent.contains(&at) && !self.is_partitioned {
                    let other = self.connections[at][1 - side];
                    self.tables[1 - side].receive(other, frame, self.now);
                }
            }
            Action::Close(connection) => {
                let Some(at) = self.connections.iter().position(|ends| ends[side] == connection)
                else {
                    return;
                };
                if !self.silent.contains(&at) && !self.is_partitioned {
                    let other = self.connections[at][1 - side];
                    self.tables[1 - side].closed(other, false, self.now);
                }
            }
            Action::Fetch(connection) => {
                let frame = Frame::Document(b"document".to_vec());
                self.run_action(side, Action::Send(connection, frame));
            }
            other => self.reported[side].push(other),
        }
    }

    fn send(&mut self, from: usize, target: &str) {
        let message = Message::Leaving { target: target.parse().unwrap(), incarnation: 1 };
        self.tables[from].send(&name(1 - from), message, self.now);
        self.tables[from].poll(self.now);
        self.run_actions();
    }

    /// Makes all open connections drop every frame from now on.
    fn silence_all(&mut self) {
        self.silent = (0..self.connections.len()).collect();
    }

    /// Reports to one side that all its connections have ended.
    fn close_all(&mut self, side: usize) {
        for ends in self.connections.clone() {
            self.tables[side].closed(ends[side], false, self.now);
        }
        self.run_actions();
    }

    fn delivered(&self, side: usize) -> Vec<String> {
        self.reported[side]
            .iter()
            .filter_map(|action| match action {
                Action::Deliver(_, Message::Leaving { target, .. }) => Some(target.to_string()),
                _ => None,
            })
            .collect()
    }

    fn downs(&self, side: usize) -> usize {
        self.reported[side].iter().filter(|action| matches!(action, Action::Down(_))).count()
    }

    fn ups(&self, side: usize) -> usize {
        self.reported[side].iter().filter(|action| matches!(action, Action::Up(..))).count()
    }
}

#[test]
fn connected_both_sides_up_once() {
    let pair = Pair::new();
    assert_eq!([pair.ups(0), pair.ups(1)], [1, 1]);
    assert_eq!([pair.downs(0), pair.downs(1)], [0, 0]);
}

#[test]
fn send_in_order() {
    let mut pair = Pair::new();
    for target in ["x", "y", "z"] {
        pair.send(0, target);
        pair.send(1, target);
    }
    assert_eq!(pair.delivered(0), ["x", "y", "z"]);
    assert_eq!(pair.delivered(1), ["x", "y", "z"]);
}

#[test]
fn closed_messages_resent() {
    let mut pair = Pair::new();
    pair.silence_all();
    pair.send(0, "x");
    pair.close_all(0);
    pair.close_all(1);
    pair.run(Millis::new(500));
    pair.send(0, "y");
    assert_eq!(pair.delivered(1), ["x", "y"]);
    assert_eq!([pair.downs(0), pair.downs(1)], [0, 0]);
}

#[test]
fn silent_connection_replaced() {
    let mut pair = Pair::new();
    pair.silence_all();
    pair.send(0, "x");
    pair.send(1, "y");
    pair.run(Millis::new(800));
    assert_eq!(pair.delivered(1), ["x"]);
    assert_eq!(pair.delivered(0), ["y"]);
    assert_eq!([pair.downs(0), pair.downs(1)], [0, 0]);
}

#[test]
fn partition_both_sides_down_and_up_again() {
    let mut pair = Pair::new();
    pair.is_partitioned = true;
    pair.send(0, "lost");
    pair.run(Millis::new(2_000));
    assert_eq!([pair.downs(0), pair.downs(1)], [1, 1]);
    pair.is_partitioned = false;
    pair.run(Millis::new(2_000));
    assert_eq!([pair.ups(0), pair.ups(1)], [2, 2]);
    pair.send(0, "x");
    assert_eq!(pair.delivered(1), ["x"]);
}

#[test]
fn closed_refused_down_at_once() {
    let mut pair = Pair::new();
    pair.is_refusing = true;
    pair.close_all(0);
    assert_eq!(pair.downs(0), 1);
}

#[test]
fn restart_new_session() {
    let mut pair = Pair::new();
    pair.send(1, "old");
    let address = "127.0.0.1:7001".parse().unwrap();
    pair.tables[1] = Table::new(name(1), member(), address, 9_000);
    pair.close_all(0);
    pair.run(Millis::new(1_000));
    assert_eq!([pair.downs(0), pair.ups(0)], [1, 2]);
    pair.send(1, "new");
    assert_eq!(pair.delivered(0), ["old", "new"]);
}

#[test]
fn version_newer_fetched() {
    let mut pair = Pair::new();
    pair.tables[1].set_version(id::Version::new(7), Bytes::new(2_000), pair.now);
    pair.run_actions();
    pair.run(Millis::new(300));
    let is_document = |action: &Action| *action == Action::Document(b"document".to_vec());
    assert!(pair.reported[0].iter().any(is_document));
    assert!(!pair.reported[1].iter().any(is_document));
}

#[test]
fn partition_idle_pair_down_after_slow_limit() {
    let mut pair = Pair::new();
    pair.set_partners(false);
    pair.run(Millis::new(6_000));
    pair.is_partitioned = true;
    pair.run(Millis::new(1_500));
    assert_eq!([pair.downs(0), pair.downs(1)], [0, 0]);
    pair.run(Millis::new(2_500));
    assert_eq!([pair.downs(0), pair.downs(1)], [1, 1]);
}

#[test]
fn partition_partner_down_soon() {
    let mut pair = Pair::new();
    pair.set_partners(false);
    pair.run(Millis::new(6_000));
    pair.tables[0].set_partners(&[name(1)].into(), pair.now);
    pair.run(Millis::new(2_000));
    // Only one side counts the other as a partner; the other answers probes all the same.
    assert_eq!([pair.downs(0), pair.downs(1)], [0, 0]);
    pair.is_partitioned = true;
    pair.run(Millis::new(1_100));
    assert_eq!(pair.downs(0), 1);
}

/// Guards against an instance that was paused and takes its own absence for the silence of its peers.
#[test]
fn resume_after_pause_peer_not_lost() {
    for are_partners in [true, false] {
        let mut pair = Pair::new();
        pair.set_partners(are_partners);
        pair.run(Millis::new(2_000));
        pair.reported = [Vec::new(), Vec::new()];
        let pause = Millis::new(4_000);
        pair.now = pair.now.plus(pause);
        pair.tables[0].resume(Micros::new(pause.get() * 1_000), pair.now);
        pair.tables[0].poll(pair.now);
        assert!(!pair.tables[0].take_actions().iter().any(is_verdict));
    }
}

/// The links are cut during the pause: the silence of the peer counts from the return on.
#[test]
fn resume_after_pause_silent_peer_lost() {
    let mut pair = Pair::new();
    pair.run(Millis::new(2_000));
    pair.is_partitioned = true;
    let pause = Millis::new(4_000);
    pair.now = pair.now.plus(pause);
    pair.tables[0].resume(Micros::new(pause.get() * 1_000), pair.now);
    pair.run(Millis::new(1_000));
    assert!(pair.reported[0].contains(&Action::Down(name(1))));
}

/// Returns whether an action tells that a peer is lost, or may be.
fn is_verdict(action: &Action) -> bool {
    matches!(action, Action::Down(_) | Action::Send(_, Frame::Suspect(_)))
}

#[test]
fn suspect_probed() {
    let mut pair = Pair::new();
    pair.set_partners(false);
    pair.run(Millis::new(6_000));
    let suspect = |pair: &mut Pair| {
        // The table ignores frames on all but the current connection.
        for ends in pair.connections.clone() {
            pair.tables[0].receive(ends[0], Frame::Suspect(name(1)), pair.now);
        }
        pair.run(Millis::new(700));
    };
    suspect(&mut pair);
    assert_eq!(pair.downs(0), 0);
    pair.is_partitioned = true;
    suspect(&mut pair);
    assert_eq!(pair.downs(0), 1);
}

#[test]
fn version_newer_fetched_once() {
    let mut pair = Pair::new();
    let connection = pair.connections.iter().map(|ends| ends[0]).collect::<Vec<_>>();
    for round in 0..5 {
        for connection in &connection {
            let frame = Frame::Heartbeat {
                received: 0,
                version: id::Version::new(7),
                size: Bytes::new(2_000),
                is_probe: false,
            };
            pair.tables[0].receive(*connection, frame, pair.now.plus(Millis::new(round * 100)));
        }
    }
    let actions = pair.tables[0].take_actions();
    let fetches = actions.iter().filter(|a| matches!(a, Action::Send(_, Frame::Fetch))).count();
    assert_eq!(fetches, 1);
}

#[test]
fn version_newer_large_left_to_its_source() {
    let mut pair = Pair::new();
    pair.tables[1].set_version(id::Version::new(7), Bytes::new(400_000), pair.now);
    pair.run_actions();
    pair.run(Millis::new(700));
    let is_document = |action: &Action| *action == Action::Document(b"document".to_vec());
    assert!(!pair.reported[0].iter().any(is_document));
    // The source does not deliver the document in time.
    pair.run(Millis::new(700));
    assert!(pair.reported[0].iter().any(is_document));
}

#[test]
fn is_discovery_complete_all_up_or_refused() {
    let mut table = Table::new(name(0), member(), "127.0.0.1:7000".parse().unwrap(), 1);
    let now = START;
    assert!(!table.is_discovery_complete());
    let address = |port| format!("127.0.0.1:{port}").parse().unwrap();
    table.add_peers(&[(name(0), address(7_000)), (name(1), address(7_001))], now);
    table.poll(now);
    assert!(!table.is_discovery_complete());
    let dialed = table.take_actions().into_iter().find_map(|action| match action {
        Action::Dial(connection, _) => Some(connection),
        _ => None,
    });
    // An attempt that times out does not show whether the process runs.
    table.closed(dialed.unwrap(), false, now);
    assert!(!table.is_discovery_complete());
    let later = now.plus(Millis::new(1_000));
    table.poll(later);
    let dialed = table.take_actions().into_iter().find_map(|action| match action {
        Action::Dial(connection, _) => Some(connection),
        _ => None,
    });
    table.closed(dialed.unwrap(), true, later);
    assert!(table.is_discovery_complete());
}

/// A table whose peers are all up, without the processes behind them.
struct Fleet {
    now: Timestamp,
    table: Table,
    connections: Vec<Connection>,
}

impl Fleet {
    fn new(peers: usize) -> Self {
        let address = "127.0.0.1:7000".parse().unwrap();
        let table = Table::new("e-0".parse().unwrap(), member(), address, 1_000);
        let mut fleet = Self { now: START, table, connections: Vec::new() };
        let list: Vec<_> = (1..=peers).map(|index| (peer(index), address_of(index))).collect();
        fleet.table.add_peers(&list, START);
        for index in 1..=peers {
            let connection = fleet.table.accept();
            fleet.connections.push(connection);
            fleet.hello(index, 0, false);
            let session = fleet.hellos().pop().unwrap().session;
            fleet.hello(index, session, false);
        }
        fleet.table.poll(START);
        fleet.table.take_actions();
        assert_eq!(peers, fleet.table.reachable_peers());
        fleet
    }

    fn receive(&mut self, index: usize, frame: Frame) {
        self.table.receive(self.connections[index - 1], frame, self.now);
    }

    fn hello(&mut self, index: usize, peer_session: u64, wants_known: bool) {
        let hello = Hello {
            instance: peer(index),
            member: member(),
            address: address_of(index),
            session: 7,
            peer_session,
            received: 0,
            wants_known,
            known: Vec::new(),
        };
        self.receive(index, Frame::Hello(hello));
    }

    fn hellos(&mut self) -> Vec<Hello> {
        let hello = |action| match action {
            Action::Send(_, Frame::Hello(hello)) => Some(hello),
            _ => None,
        };
        self.table.take_actions().into_iter().filter_map(hello).collect()
    }

    /// Lets each peer send heartbeats and announce its targets every half second, and returns the
    /// number of frames that the table sent in `seconds`.
    fn run(&mut self, seconds: u64) -> usize {
        let mut sent = 0;
        for round in 0..2 * seconds {
            for index in 1..=self.connections.len() {
                let heartbeat = Frame::Heartbeat {
                    received: 0,
                    version: id::Version::default(),
                    size: Bytes::default(),
                    is_probe: false,
                };
                let news = Frame::Data {
                    first: round + 1,
                    received: 0,
                    messages: vec![Message::Owned(Vec::new())],
                };
                self.receive(index, heartbeat);
                self.receive(index, news);
            }
            for _ in 0..50 {
                self.now = self.now.plus(Millis::new(10));
                self.table.poll(self.now);
                let actions = self.table.take_actions();
                sent += actions.iter().filter(|a| matches!(a, Action::Send(..))).count();
            }
        }
        sent
    }
}

fn peer(index: usize) -> id::Instance {
    format!("e-{index}").parse().unwrap()
}

fn address_of(index: usize) -> std::net::SocketAddr {
    format!("127.0.{}.{}:7000", index / 200, index % 200 + 1).parse().unwrap()
}

/// Load: in a fleet of hundreds, some instance announces its targets at every moment. Such news must
/// not make all links as expensive as those to partners.
#[test]
fn receive_news_of_hundreds_links_stay_slow() {
    let mut fleet = Fleet::new(299);
    let partners = (1..=8).map(peer).collect();
    fleet.table.set_partners(&partners, fleet.now);
    let frames = fleet.run(10);
    // Partners are due seven heartbeats a second, all others together fifty. Each gets one at first.
    let most = 10 * (8 * 7 + 50) + 299;
    assert!(frames <= most, "{frames} frames sent, at most {most} are due");
}

/// Load: a process of a large fleet whose links have gone silent, and which is nobody's partner.
#[test]
fn silent_in_fleet_of_hundreds_down_after_its_interval() {
    let mut fleet = Fleet::new(299);
    fleet.run(2);
    fleet.connections.pop();
    let mut seconds = 0;
    while fleet.table.reachable_peers() == 299 {
        seconds += 1;
        assert!(seconds <= 9, "still up after {seconds} s");
        fleet.run(1);
    }
    assert!(seconds >= 7, "down after {seconds} s, before two heartbeats were due");
}

#[test]
fn next_deadline_nothing_changed_next_heartbeat() {
    let mut fleet = Fleet::new(299);
    assert!(fleet.table.next_deadline() > fleet.now, "nothing is due at once");
    let message = Message::Leaving { target: "t".parse().unwrap(), incarnation: 1 };
    fleet.table.send(&peer(17), message, fleet.now);
    assert!(fleet.table.next_deadline().is_past(fleet.now), "the message is due at once");
    fleet.table.poll(fleet.now);
    let sent = fleet.table.take_actions();
    assert!(matches!(&sent[..], [Action::Send(_, Frame::Data { .. })]), "{sent:?}");
}

/// Load: a fleet of hundreds starts at once. Addresses of all in each hello would add up to the cube
/// of its size.
#[test]
fn hello_addresses_only_if_wanted() {
    let mut fleet = Fleet::new(299);
    for (index, wants_known, known) in [(300, false, 0), (301, true, 301)] {
        let connection = fleet.table.accept();
        fleet.connections.push(connection);
        fleet.hello(index, 0, wants_known);
        let known_in: Vec<usize> = fleet.hellos().iter().map(|h| h.known.len()).collect();
        assert_eq!(vec![known], known_in);
    }
}

/// Load: machines that were removed for good stay listed, and each of hundreds of instances dials them.
#[test]
fn dial_peer_away_for_long_rarely() {
    let mut fleet = Fleet::new(20);
    let connection = fleet.connections.pop().unwrap();
    fleet.table.closed(connection, false, fleet.now);
    let mut dials = Vec::new();
    for _ in 0..6_000 {
        fleet.now = fleet.now.plus(Millis::new(10));
        fleet.table.poll(fleet.now);
        for action in fleet.table.take_actions() {
            if let Action::Dial(connection, address) = action
                && address == address_of(20)
            {
                dials.push(fleet.now);
                fleet.table.closed(connection, false, fleet.now);
            }
        }
    }
    assert!(dials.len() <= 40, "{} attempts in a minute", dials.len());
    // A data centre that was cut off for seconds is linked again within a second.
    let first_seconds = dials.iter().filter(|at| at.since(START).get() <= 8_000_000).count();
    assert!(first_seconds >= 8, "{first_seconds} attempts in 8 s");
}

/// Load: a peer that acknowledges nothing for a while and is sent all messages again on a new
/// connection, with the largest descriptions of tasks. A receiver rejects frames of 32 MiB.
#[test]
fn send_backlog_frames_stay_small() {
    let mut fleet = Fleet::new(1);
    for number in 0..10_000 {
        let batch = Batch {
            job: Job::new(number),
            kind: "k".parse().unwrap(),
            spec: "x".repeat(4_000).into(),
            amount: Amount::default(),
            estimate_ms: 100,
            send_within_ms: 100,
            runs: vec![(0, Number::first(7))],
        };
        let message = Message::Place { number, batches: vec![batch] };
        fleet.table.send(&peer(1), message, fleet.now);
    }
    fleet.table.poll(fleet.now);
    let mut messages = 0;
    for action in fleet.table.take_actions() {
        if let Action::Send(_, frame) = action {
            let size = postcard::to_stdvec(&frame).unwrap().len();
            assert!(size <= 32 * 1_024 * 1_024, "frame of {size} bytes");
            if let Frame::Data { first, messages: part, .. } = frame {
                assert_eq!(messages + 1, first, "messages are numbered without gaps");
                messages += part.len() as u64;
            }
        }
    }
    assert_eq!(10_000, messages);
}

/// Load: all instances of a fleet start within some milliseconds and read the same list. Two
/// connections a pair, of which one is closed again, would double the work of a slow processor.
#[test]
fn add_peers_all_start_at_once_one_connection_a_pair() {
    const FLEET: usize = 60;
    let list: Vec<_> = (0..FLEET).map(|index| (peer(index + 100), address_of(index))).collect();
    let mut tables: Vec<Table> = list
        .iter()
        .map(|(name, address)| Table::new(name.clone(), member(), *address, 1_000))
        .collect();
    let mut now = START;
    let (mut dials, mut in_flight) = (0, Vec::new());
    // Ends of the open connections, by the side and its number.
    let mut ends = std::collections::HashMap::new();
    for milli in 0..400 {
        now = now.plus(Millis::new(1));
        for (side, action) in std::mem::take(&mut in_flight) {
            match action {
                Action::Dial(connection, address) => {
                    dials += 1;
                    let other = list.iter().position(|(_, of)| *of == address).unwrap();
                    let accepted = tables[other].accept();
                    ends.insert((side, connection), (other, accepted));
                    ends.insert((other, accepted), (side, connection));
                    tables[side].connected(connection, now);
                }
                Action::Send(connection, frame) => {
                    if let Some(&(other, accepted)) = ends.get(&(side, connection)) {
                        tables[other].receive(accepted, frame, now);
                    }
                }
                Action::Close(connection) => {
                    if let Some((other, accepted)) = ends.remove(&(side, connection)) {
                        tables[other].closed(accepted, false, now);
                    }
                }
                _ => {}
            }
        }
        for (side, table) in tables.iter_mut().enumerate() {
            if milli == side as u64 % 10 {
                table.add_peers(&list, now);
            }
            table.poll(now);
            in_flight.extend(table.take_actions().into_iter().map(|action| (side, action)));
        }
    }
    assert!(tables.iter().all(|table| table.reachable_peers() == FLEET - 1), "all are linked");
    let pairs = FLEET * (FLEET - 1) / 2;
    assert!(dials <= pairs * 11 / 10, "{dials} connections for {pairs} pairs");
}
