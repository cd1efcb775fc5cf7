//! Tests of the division of a team's quota between engines that exchange reports.

mod engine_support;

use engine_support::{Driver, job, peer, target};
use std::sync::Arc;
use verbenapass::engine::{Command, Event, Options, Peer};
use verbenapass::id;
use verbenapass::peer::Report;
use verbenapass::settings::Tree;
use verbenapass::start::Order;
use verbenapass::unit::{Millis, Slots};

const NAMES: [&str; 3] = ["e1", "e2", "e3"];
const INTERVAL: u64 = 1_000;
const DEADLINE: u64 = 100_000;

struct Node {
    driver: Driver,
    in_flight: Vec<Order>,
}

impl Node {
    fn collect_starts(&mut self) {
        let starts = self.driver.starts();
        self.in_flight.extend(starts);
    }
}

/// Engines in two data centres, each with more free slots than the quota.
struct Fleet {
    nodes: Vec<Node>,
    /// Node that neither sends nor receives reports.
    isolated: Option<usize>,
}

impl Fleet {
    fn new(quota: u32) -> Self {
        let mut tree: Tree = (*engine_support::tree()).clone();
        let team: id::Team = "halvern".parse().unwrap();
        tree.teams.get_mut(&team).unwrap().quota_slots = Slots::new(quota);
        let tree = Arc::new(tree);
        let peers: Vec<Peer> = NAMES.iter().map(|name| peer_in_fleet(name)).collect();
        let node = |own: &Peer| {
            let options = Options::new(own.id.clone(), own.data_centre.clone(), 1)
                .with_reports(Millis::new(INTERVAL));
            let targets = vec![target("t1", 1_000)];
            let mut driver = Driver::with_options(options, targets.clone());
            driver.handle(Event::Configured(tree.clone()));
            driver.handle(Event::Listed { targets, peers: peers.clone(), revision: 1 });
            Node { driver, in_flight: Vec::new() }
        };
        Self { nodes: peers.iter().map(node).collect(), isolated: None }
    }

    fn submit(&mut self, node: usize, tasks: usize) {
        let node = &mut self.nodes[node];
        let submission = job(&vec!["seat-hold"; tasks], node.driver.after(DEADLINE));
        node.driver.submit_with(false, submission);
        node.collect_starts();
    }

    /// Completes all tasks in flight at a node, so that queued ones start.
    fn complete(&mut self, node: usize) {
        let node = &mut self.nodes[node];
        for order in std::mem::take(&mut node.in_flight) {
            node.driver.complete(order.start);
        }
        node.collect_starts();
    }

    /// Advances the clocks by one interval, in which every node reports.
    fn round(&mut self) {
        let mut reports: Vec<(usize, Arc<Report>)> = Vec::new();
        for (index, node) in self.nodes.iter_mut().enumerate() {
            node.driver.pass(INTERVAL);
            node.driver.out.retain(|command| {
                let Command::SendReport { report, .. } = command else { return true };
                reports.push((index, report.clone()));
                false
            });
        }
        for (from, report) in reports {
            for (to, node) in self.nodes.iter_mut().enumerate() {
                if from != to && self.isolated != Some(from) && self.isolated != Some(to) {
                    node.driver.handle(Event::Reported((*report).clone()));
                }
            }
        }
        self.nodes.iter_mut().for_each(Node::collect_starts);
    }

    /// Runs enough rounds for the parts to follow the current demand, and completes the tasks that
    /// were started under earlier parts.
    fn stabilise(&mut self) {
        for _ in 0..6 {
            self.round();
            (0..self.nodes.len()).for_each(|node| self.complete(node));
        }
    }

    fn in_flight(&self) -> Vec<usize> {
        self.nodes.iter().map(|node| node.in_flight.len()).collect()
    }
}

fn peer_in_fleet(name: &str) -> Peer {
    let mut peer = peer(name);
    if name == "e3" {
        peer.data_centre = "dc2".parse().unwrap();
    }
    peer
}

// Guards against instances that together exceed the quota, before and after the first reports.
#[test]
fn quota_holds_in_total() {
    let mut fleet = Fleet::new(20);
    (0..3).for_each(|node| fleet.submit(node, 400));
    assert_eq!(fleet.in_flight().iter().sum::<usize>(), 20, "before the first report");
    for _ in 0..3 {
        fleet.stabilise();
        assert_eq!(fleet.in_flight().iter().sum::<usize>(), 20, "{:?}", fleet.in_flight());
        assert!(fleet.in_flight().iter().all(|count| *count >= 6), "{:?}", fleet.in_flight());
    }
}

// Guards against parts that stay at instances without demand or do not return when demand rises.
#[test]
fn quota_follows_demand() {
    let mut fleet = Fleet::new(20);
    fleet.submit(0, 1_000);
    fleet.stabilise();
    // Each of the others keeps one slot as its minimum part and one for its minimum demand of 1.
    assert_eq!(fleet.in_flight(), [16, 0, 0]);
    fleet.submit(2, 1_000);
    assert_eq!(fleet.in_flight(), [16, 0, 2]);
    fleet.stabilise();
    // The idle instance keeps two slots, the other two share the rest.
    assert_eq!(fleet.in_flight(), [9, 0, 9]);
}

// Guards against an instance that keeps a large part indefinitely while a peer's reports are
// missing, and against a change of the parts at the first missing report.
#[test]
fn quota_silent_peer_leads_to_equal_parts() {
    let mut fleet = Fleet::new(21);
    fleet.submit(0, 1_000);
    fleet.stabilise();
    assert_eq!(fleet.in_flight(), [17, 0, 0]);
    fleet.isolated = Some(2);
    fleet.round();
    fleet.complete(0);
    assert_eq!(fleet.in_flight(), [17, 0, 0], "last part is kept");
    fleet.submit(2, 400);
    fleet.submit(1, 400);
    fleet.stabilise();
    assert_eq!(fleet.in_flight(), [7, 7, 7]);
}

// Guards against a team that can't run tasks at some instances because its quota is smaller than
// their number.
#[test]
fn quota_smaller_than_fleet() {
    for quota in [1, 2] {
        let mut fleet = Fleet::new(quota);
        (0..3).for_each(|node| fleet.submit(node, 100));
        for _ in 0..3 {
            let in_flight = fleet.in_flight();
            assert!(in_flight.iter().all(|count| *count >= 1), "{in_flight:?}");
            fleet.stabilise();
            assert_eq!(fleet.in_flight().iter().sum::<usize>(), 3);
        }
    }
}
