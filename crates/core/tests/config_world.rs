//! Simulation of several settings replicas with a faulty table and a faulty network.
//!
//! The test runs random sequences of steps and checks each state against the log of the commits to
//! the table.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicU64, Ordering};
use verbenapass::config::{
    self, Planned, Poll, Proposal, Replica, Reply, Resolution, Revision, Row,
};
use verbenapass::id::{self, Version};
use verbenapass::peer::InForce;
use verbenapass::settings::{Context, Owner, sha256_hex};
use verbenapass::time::Timestamp;
use verbenapass::unit::Millis;

type Rows = BTreeMap<String, (u64, String)>;

// More subtrees than a digest names.
const OWNERS: [&str; 6] =
    ["/fleet", "/teams/halvern", "/teams/facturacion", "/teams/t1", "/teams/t2", "/teams/t3"];
const DATA_CENTRES: u8 = 3;
const PER_DATA_CENTRE: u8 = 2;
const NODES: u8 = DATA_CENTRES * PER_DATA_CENTRE;

fn yaml(owner: &str, weight: u64) -> String {
    let digest = sha256_hex("secret");
    if owner == "/fleet" {
        let result_retention_ms = 1_000 + weight;
        return format!(
            "credential_sha256: {digest}\nresult_retention_ms: {result_retention_ms}\n\
             data_centres: [dc0, dc1, dc2]\n"
        );
    }
    format!(
        "credential_sha256: {digest}\nweight: {}\nkinds:\n  a:\n    service: s\n    idempotent: \
         true\n",
        1 + weight % 1_000
    )
}

/// The platform's table, with earlier states for stale reads and a log of all commits.
#[derive(Debug, Default)]
struct Table {
    rows: Rows,
    snapshots: Vec<Rows>,
    log: BTreeMap<(String, u64), Revision>,
    delayed: Vec<config::Plan>,
}

impl Table {
    fn row(&self, key: &str, age: u8) -> Row {
        let rows = match age {
            0 => &self.rows,
            _ => self.snapshots.iter().rev().nth(usize::from(age)).unwrap_or(&self.rows),
        };
        rows.get(key).map_or_else(
            || Row::absent(key),
            |(version, value)| Row {
                key: key.into(),
                version: Version::new(*version),
                value: Some(value.clone()),
            },
        )
    }

    fn scan(&self, age: u8) -> Vec<Row> {
        let keys: Vec<String> = OWNERS.iter().map(|owner| format!("settings{owner}")).collect();
        keys.iter().map(|key| self.row(key, age)).filter(|row| row.value.is_some()).collect()
    }

    fn transact(&mut self, plan: &config::Plan) -> Reply {
        let holds = plan.conditions.iter().all(|condition| {
            self.rows.get(&condition.key).map_or(0, |row| row.0) == condition.version.get()
        });
        if !holds {
            return Reply::Failed;
        }
        self.snapshots.push(self.rows.clone());
        if self.snapshots.len() > 8 {
            self.snapshots.remove(0);
        }
        for write in &plan.writes {
            let version = self.rows.get(&write.key).map_or(0, |row| row.0) + 1;
            self.rows.insert(write.key.clone(), (version, write.value.clone()));
        }
        let revision = plan.revision.clone();
        let key = (revision.path.clone(), revision.version.get());
        assert!(
            revision.version.get() == 1 || self.log.contains_key(&(key.0.clone(), key.1 - 1)),
            "a version was skipped"
        );
        assert!(self.log.insert(key, revision).is_none(), "two changes made the same version");
        Reply::Committed
    }
}

#[derive(Clone, Debug)]
enum Message {
    Push(Vec<Revision>),
    Digest(Vec<InForce>),
    Fetch(Vec<InForce>),
    Copies(Vec<Revision>, Vec<InForce>),
}

#[derive(Clone, Debug)]
struct Envelope {
    from: u8,
    sender: id::Instance,
    to: u8,
    message: Message,
}

#[derive(Clone, Debug)]
enum Stage {
    Read,
    Send(Box<config::Plan>),
    Resume(Box<config::Plan>),
}

#[derive(Clone, Debug)]
struct Operation {
    proposal: Proposal,
    stage: Stage,
}

#[derive(Debug)]
struct Node {
    instance: id::Instance,
    data_centre: id::DataCentre,
    replica: Replica,
    operation: Option<Operation>,
    seen: BTreeMap<Owner, Version>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Outcome {
    Made(u64),
    Conflict,
    Refused,
}

#[derive(Debug)]
struct Simulation {
    table: Table,
    nodes: Vec<Node>,
    incarnations: u64,
    in_transit: Vec<Envelope>,
    replayable: Vec<Envelope>,
    partitioned_links: BTreeSet<(u8, u8)>,
    table_partitioned: BTreeSet<u8>,
    now: Timestamp,
    changes: u64,
    unanswered: Vec<Proposal>,
    outcomes: Vec<(Owner, id::Change, Outcome)>,
    highest: BTreeMap<(u8, Owner), Version>,
    accepted: BTreeMap<Owner, Version>,
    steps: u64,
}

fn owner(index: u8) -> Owner {
    OWNERS[usize::from(index) % OWNERS.len()].parse().unwrap()
}

impl Simulation {
    fn new() -> Self {
        let mut simulation = Self {
            table: Table::default(),
            nodes: Vec::new(),
            incarnations: 0,
            in_transit: Vec::new(),
            replayable: Vec::new(),
            partitioned_links: BTreeSet::new(),
            table_partitioned: BTreeSet::new(),
            now: Timestamp::from_micros(0),
            changes: 0,
            unanswered: Vec::new(),
            outcomes: Vec::new(),
            highest: BTreeMap::new(),
            accepted: BTreeMap::new(),
            steps: 0,
        };
        for index in 0..NODES {
            let node = simulation.start(index);
            simulation.nodes.push(node);
        }
        for owner in 0..OWNERS.len() as u8 {
            simulation.propose(0, owner, 0);
            for _ in 0..2 {
                simulation.advance(0, 0);
            }
        }
        // Stale reads must not return a table in which subtrees are missing.
        simulation.table.snapshots.clear();
        simulation
    }

    fn start(&mut self, index: u8) -> Node {
        self.incarnations += 1;
        let instance: id::Instance = format!("n{index}-{}", self.incarnations).parse().unwrap();
        let data_centre: id::DataCentre = format!("dc{}", index / PER_DATA_CENTRE).parse().unwrap();
        let replica = Replica::new(instance.clone(), data_centre.clone());
        assert!(replica.tree().is_none(), "a new replica must not have settings");
        Node { instance, data_centre, replica, operation: None, seen: BTreeMap::new() }
    }

    fn node(&mut self, index: u8) -> &mut Node {
        &mut self.nodes[usize::from(index % NODES)]
    }

    fn table_reachable(&self, index: u8) -> bool {
        !self.table_partitioned.contains(&((index % NODES) / PER_DATA_CENTRE))
    }

    fn peers(&self) -> Vec<(id::Instance, id::DataCentre)> {
        self.nodes.iter().map(|n| (n.instance.clone(), n.data_centre.clone())).collect()
    }

    fn send(&mut self, from: u8, to: u8, message: Message) {
        let sender = self.nodes[usize::from(from)].instance.clone();
        self.in_transit.push(Envelope { from, sender, to, message });
    }

    fn send_to(&mut self, from: u8, recipients: &[id::Instance], message: &Message) {
        for to in 0..NODES {
            if recipients.contains(&self.nodes[usize::from(to)].instance) {
                self.send(from, to, message.clone());
            }
        }
    }

    fn push(&mut self, from: u8, source: &config::Source, changed: &[Owner]) {
        if changed.is_empty() {
            return;
        }
        let node = &self.nodes[usize::from(from)];
        let revisions: Vec<Revision> =
            changed.iter().filter_map(|owner| node.replica.revision(owner)).cloned().collect();
        let recipients = node.replica.recipients(source, &self.peers(), self.steps);
        self.send_to(from, &recipients, &Message::Push(revisions));
    }

    fn propose(&mut self, index: u8, owner_index: u8, what: u8) {
        let index = index % NODES;
        let owner = owner(owner_index);
        let version = self.node(index).replica.version(&owner);
        self.changes += 1;
        let remove = what % 8 == 7 && owner != Owner::Fleet;
        let value = (!remove).then(|| yaml(&owner.to_string(), self.changes));
        let proposal = Proposal {
            path: owner.to_string().parse().unwrap(),
            value,
            expect: (what & 16 == 0).then_some(version),
            change: format!("c{}", self.changes).parse().unwrap(),
        };
        self.begin(index, proposal);
    }

    fn begin(&mut self, index: u8, proposal: Proposal) {
        let before = self.node(index).operation.replace(Operation { proposal, stage: Stage::Read });
        self.unanswered.extend(before.map(|operation| operation.proposal));
    }

    // Repeats a change without an answer at any instance, as an operator does.
    fn retry(&mut self, index: u8, which: u8) {
        let candidates: Vec<usize> =
            (0..self.unanswered.len()).filter(|i| self.unanswered[*i].expect.is_some()).collect();
        if candidates.is_empty() {
            return;
        }
        let proposal = self.unanswered.remove(candidates[usize::from(which) % candidates.len()]);
        self.begin(index % NODES, proposal);
    }

    /// Performs the next stage of the change at a node. `fault` selects the fault of the table call.
    fn advance(&mut self, index: u8, fault: u8) {
        let index = index % NODES;
        if !self.table_reachable(index) {
            return;
        }
        let Some(operation) = self.node(index).operation.take() else { return };
        let owner = operation.proposal.path.owner.clone();
        let age = if fault % 5 == 4 { fault / 5 % 8 } else { 0 };
        let row = self.table.row(&config::key(&owner), age);
        let index_row = self.table.row(config::INDEX_KEY, age);
        let replica = &mut self.nodes[usize::from(index)].replica;
        let planned = match &operation.stage {
            Stage::Read => {
                match replica.plan(&operation.proposal, &row, &index_row, &Context::default()) {
                    Ok(planned) => planned,
                    Err(_) => return self.finish(&operation.proposal, Outcome::Refused),
                }
            }
            Stage::Resume(plan) => replica.resume(plan, &row, &index_row),
            Stage::Send(plan) => return self.transact(index, &operation, plan, fault),
        };
        match planned {
            Planned::Write(plan) => {
                let stage = Stage::Send(plan);
                self.node(index).operation = Some(Operation { stage, ..operation });
            }
            Planned::Done(version) => {
                self.finish(&operation.proposal, Outcome::Made(version.get()));
            }
            Planned::Conflict(_) => self.finish(&operation.proposal, Outcome::Conflict),
            Planned::Stale => self.unanswered.push(operation.proposal),
            Planned::HistoryExceeded => {}
        }
    }

    fn transact(&mut self, index: u8, operation: &Operation, plan: &config::Plan, fault: u8) {
        let reply = match fault % 4 {
            // The reply is lost after the write took effect.
            1 => {
                self.table.transact(plan);
                Reply::Lost
            }
            // The request is lost.
            2 => Reply::Lost,
            // The request takes effect after a long delay.
            3 => {
                self.table.delayed.push(plan.clone());
                Reply::Lost
            }
            _ => self.table.transact(plan),
        };
        match plan.resolve(&reply) {
            Resolution::Stored => {
                let applied = self.node(index).replica.commit(plan);
                assert_eq!(applied.rejected, []);
                self.finish(&operation.proposal, Outcome::Made(plan.revision.version.get()));
                self.push(index, &config::Source::Operator, &applied.changed);
            }
            Resolution::Reread => {
                let stage = Stage::Resume(Box::new(plan.clone()));
                let proposal = operation.proposal.clone();
                self.node(index).operation = Some(Operation { proposal, stage });
            }
        }
    }

    fn finish(&mut self, proposal: &Proposal, outcome: Outcome) {
        let owner = proposal.path.owner.clone();
        self.outcomes.push((owner, proposal.change.clone(), outcome));
    }

    fn take_message(&mut self, which: u8) -> Option<Envelope> {
        if self.in_transit.is_empty() {
            return None;
        }
        let envelope = self.in_transit.swap_remove(usize::from(which) % self.in_transit.len());
        self.replayable.push(envelope.clone());
        if self.replayable.len() > 64 {
            self.replayable.remove(0);
        }
        Some(envelope)
    }

    fn deliver(&mut self, envelope: Envelope) {
        let Envelope { from, sender, to, message } = envelope;
        let (a, b) = (from / PER_DATA_CENTRE, to / PER_DATA_CENTRE);
        if self.partitioned_links.contains(&(a.min(b), a.max(b))) {
            return;
        }
        let now = self.now;
        let data_centre = self.nodes[usize::from(from)].data_centre.clone();
        let replica = &mut self.nodes[usize::from(to)].replica;
        let (revisions, digest) = match message {
            Message::Push(revisions) => (revisions, Vec::new()),
            Message::Copies(revisions, digest) => (revisions, digest),
            Message::Fetch(known) => {
                let reply = Message::Copies(replica.newer_than(&known), replica.digest());
                return self.send(to, from, reply);
            }
            Message::Digest(digest) => {
                replica.confirmed(&sender, &data_centre, &digest, now);
                if replica.is_behind(&digest) {
                    let known = replica.versions();
                    self.send(to, from, Message::Fetch(known));
                }
                return;
            }
        };
        let push = digest.is_empty();
        let applied = replica.fetched(&digest, &revisions);
        assert_eq!(applied.rejected, []);
        replica.confirmed(&sender, &data_centre, &digest, now);
        if push {
            let reply = Message::Digest(replica.digest());
            self.send(to, from, reply);
        }
        self.push(to, &config::Source::Peer(data_centre), &applied.changed);
    }

    fn poll(&mut self, index: u8, age: u8, lost: bool) {
        let index = index % NODES;
        if !self.table_reachable(index) {
            return;
        }
        let index_row = self.table.row(config::INDEX_KEY, age);
        let poll = self.nodes[usize::from(index)].replica.polled(&index_row);
        if lost {
            return;
        }
        let replica = &mut self.nodes[usize::from(index)].replica;
        match poll {
            Poll::Nothing => {}
            Poll::Scan => {
                let rows = self.table.scan(age);
                replica.scanned(&index_row, &rows);
            }
            Poll::Rows(keys) => {
                for key in keys {
                    let row = self.table.row(&key, age);
                    replica.row_read(&row);
                }
            }
        }
    }

    fn report(&mut self, index: u8) {
        let index = index % NODES;
        let node = &self.nodes[usize::from(index)];
        let partners = node.replica.partners(&self.peers(), self.steps, 1);
        let digest = Message::Digest(node.replica.digest());
        self.send_to(index, &partners, &digest);
    }

    fn restart(&mut self, index: u8) {
        let index = index % NODES;
        let node = self.start(index);
        let before = std::mem::replace(self.node(index), node);
        self.unanswered.extend(before.operation.map(|operation| operation.proposal));
    }

    fn step(&mut self, (what, a, b, c): (u8, u8, u8, u8)) {
        self.steps += 1;
        self.now = self.now.plus(Millis::new(100));
        match what % 32 {
            0..=2 => self.propose(a, b, c),
            3..=9 => self.advance(a, c),
            10..=16 => {
                if let Some(envelope) = self.take_message(a) {
                    self.deliver(envelope);
                }
            }
            17 => {
                self.take_message(a);
            }
            18 if !self.replayable.is_empty() => {
                let envelope = self.replayable[usize::from(a) % self.replayable.len()].clone();
                self.deliver(envelope);
            }
            19..=21 => self.poll(a, if b % 4 == 0 { b / 4 % 8 } else { 0 }, c % 4 == 0),
            22..=24 => self.report(a),
            25 => self.restart(a),
            26 => {
                let (a, b) = (a % DATA_CENTRES, b % DATA_CENTRES);
                let link = (a.min(b), a.max(b));
                if a != b && !self.partitioned_links.remove(&link) {
                    self.partitioned_links.insert(link);
                }
            }
            27 => {
                let data_centre = a % DATA_CENTRES;
                if !self.table_partitioned.remove(&data_centre) {
                    self.table_partitioned.insert(data_centre);
                }
            }
            28 if !self.table.delayed.is_empty() => {
                let which = usize::from(a) % self.table.delayed.len();
                let plan = self.table.delayed.remove(which);
                self.table.transact(&plan);
            }
            29 | 30 => self.retry(a, b),
            _ => {
                self.partitioned_links.clear();
                self.table_partitioned.clear();
            }
        }
        self.check();
    }

    fn check(&mut self) {
        for (index, node) in self.nodes.iter_mut().enumerate() {
            let data_centre = index as u8 / PER_DATA_CENTRE;
            for owner in OWNERS.iter().map(|owner| owner.parse::<Owner>().unwrap()) {
                let Some(revision) = node.replica.revision(&owner) else {
                    assert!(node.replica.tree().is_none(), "{} lacks {owner}", node.instance);
                    continue;
                };
                let seen = node.seen.entry(owner.clone()).or_default();
                assert!(revision.version >= *seen, "{owner} reverted at {}", node.instance);
                *seen = revision.version;
                let committed = self.table.log.get(&(owner.to_string(), revision.version.get()));
                assert_eq!(committed, Some(revision), "{owner} was never committed");
                let highest = self.highest.entry((data_centre, owner.clone())).or_default();
                *highest = (*highest).max(revision.version);
                if let Some(tree) = node.replica.tree() {
                    assert_eq!(tree.subtree(&owner).is_some(), revision.yaml.is_some());
                }
            }
        }
        for (owner, change, outcome) in &self.outcomes {
            let Outcome::Made(made) = outcome else { continue };
            for node in &self.nodes {
                let status = node.replica.status(owner, change, self.now);
                if let config::Status::Accepted { version } = status {
                    assert_eq!(version.get(), *made);
                    for data_centre in 0..DATA_CENTRES {
                        let highest = self.highest.get(&(data_centre, owner.clone()));
                        assert!(
                            highest.is_some_and(|highest| *highest >= version),
                            "{change} was accepted but is not in force in dc{data_centre}"
                        );
                    }
                    let accepted = self.accepted.entry(owner.clone()).or_default();
                    *accepted = (*accepted).max(version);
                }
            }
        }
    }

    /// Removes all faults and lets the replicas exchange digests until they converge.
    fn converge(&mut self) {
        self.partitioned_links.clear();
        self.table_partitioned.clear();
        for plan in std::mem::take(&mut self.table.delayed) {
            self.table.transact(&plan);
        }
        for index in 0..NODES {
            for _ in 0..8 {
                self.advance(index, 0);
            }
            assert!(self.node(index).operation.is_none(), "a change got no answer");
        }
        // Depending on the number of changes, replicas catch up from both table and peers (0), outside
        // the first data centre from peers only (1), or at first from the table only (2).
        let catch_up = self.changes % 3;
        if catch_up == 2 {
            self.in_transit.clear();
        }
        for round in 0..16 {
            self.steps += 1;
            self.now = self.now.plus(Millis::new(1_000));
            for index in 0..NODES {
                let first = index < PER_DATA_CENTRE;
                if catch_up != 1 && round % 2 == 1 || first {
                    self.poll(index, 0, false);
                }
                if catch_up != 2 || round >= 8 {
                    self.report(index);
                }
            }
            while let Some(envelope) = self.take_message(0) {
                self.deliver(envelope);
            }
            self.check();
            if catch_up == 2 && round == 7 {
                self.verify_replicas();
            }
        }
    }

    fn verify_replicas(&self) {
        for node in &self.nodes {
            assert!(node.replica.tree().is_some(), "{} is not complete", node.instance);
            for owner in OWNERS.iter().map(|owner| owner.parse::<Owner>().unwrap()) {
                let row = self.table.row(&config::key(&owner), 0);
                let stored = Revision::from_row(&row).unwrap();
                assert_eq!(node.replica.revision(&owner), stored.as_ref(), "{}", node.instance);
                let accepted = self.accepted.get(&owner).copied().unwrap_or_default();
                assert!(node.replica.version(&owner) >= accepted, "an accepted change is lost");
            }
        }
    }

    fn verify(&self) {
        self.verify_replicas();
        for node in &self.nodes {
            for (owner, change, outcome) in &self.outcomes {
                let Outcome::Made(made) = outcome else { continue };
                if node.replica.version(owner).get() - made < config::HISTORY_LENGTH as u64 {
                    let version = Version::new(*made);
                    assert_eq!(
                        node.replica.status(owner, change, self.now),
                        config::Status::Accepted { version }
                    );
                }
            }
        }
        for (owner, change, outcome) in &self.outcomes {
            let path = owner.to_string();
            let versions: Vec<u64> = self
                .table
                .log
                .iter()
                .filter(|((p, _), revision)| *p == path && revision.changes[0] == *change)
                .map(|((_, version), _)| *version)
                .collect();
            match outcome {
                Outcome::Made(version) => assert_eq!(versions, [*version], "{change}"),
                Outcome::Conflict | Outcome::Refused => {
                    assert!(
                        versions.is_empty(),
                        "{change} took effect but was reported as a conflict or refused"
                    );
                }
            }
        }
    }
}

// Guards against settings that revert, changes that are lost or applied twice, two changes that make
// the same version, and accepted changes that are not in force. The faults are lost replies, delayed
// writes, stale reads, stale copies, concurrent operators, restarts and partitions.
// CONFIG_FUZZ_ITERATIONS sets the number of sequences.
#[test]
fn world_fuzz() {
    static STEPS: AtomicU64 = AtomicU64::new(0);
    static MADE: AtomicU64 = AtomicU64::new(0);
    static CONFLICTS: AtomicU64 = AtomicU64::new(0);
    let wanted = std::env::var("CONFIG_FUZZ_ITERATIONS").ok().and_then(|text| text.parse().ok());
    let steps = bolero::generator::produce::<Vec<(u8, u8, u8, u8)>>().with().len(0_usize..=300);
    bolero::check!()
        .with_iterations(wanted.unwrap_or(200))
        .with_max_len(16_384)
        .with_generator(steps)
        .for_each(|steps| {
            let mut simulation = Simulation::new();
            for step in steps {
                simulation.step(*step);
            }
            simulation.converge();
            simulation.verify();
            STEPS.fetch_add(simulation.steps, Ordering::Relaxed);
            for (_, _, outcome) in &simulation.outcomes {
                match outcome {
                    Outcome::Made(_) => MADE.fetch_add(1, Ordering::Relaxed),
                    Outcome::Conflict => CONFLICTS.fetch_add(1, Ordering::Relaxed),
                    Outcome::Refused => 0,
                };
            }
        });
    let (steps, made) = (STEPS.load(Ordering::Relaxed), MADE.load(Ordering::Relaxed));
    let conflicts = CONFLICTS.load(Ordering::Relaxed);
    println!("config: {steps} steps, {made} changes made, {conflicts} conflicts, 0 violations");
    // Without changes and conflicts the run would test nothing.
    assert!(made > 0 && conflicts > 0);
}
