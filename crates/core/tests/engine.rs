//! Life cycle of jobs in one engine.

use std::collections::BTreeMap;
use std::sync::Arc;
use verbenapass::engine::{Command, Engine, Event, Options, Target};
use verbenapass::id;
use verbenapass::job::{Demand, Invalid, Status, Submission, Task};
use verbenapass::outcome::Outcome;
use verbenapass::settings;
use verbenapass::start;
use verbenapass::time::Timestamp;
use verbenapass::unit::{Bytes, Millis, Slots};

const NOW: Timestamp = Timestamp::from_micros(1_000_000_000);

fn tree() -> Arc<settings::Tree> {
    let text = "
fleet: {credential_sha256: f}
teams:
  halvern:
    credential_sha256: h
    kinds:
      seat-hold: {service: enrol, idempotent: true}
";
    Arc::new(serde_yaml_ng::from_str(text).unwrap())
}

fn target(name: &str, slots: u32) -> Target {
    Target {
        id: name.parse().unwrap(),
        service: "enrol".parse().unwrap(),
        data_centre: "dc1".parse().unwrap(),
        worker: format!("w-{name}").parse().unwrap(),
        rack: "r1".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        slots: Slots::new(slots),
        memory: Bytes::new(1 << 30),
        accelerators: 0,
        leaving: false,
    }
}

fn engine(targets: Vec<Target>) -> Engine {
    let options = Options::new("e1".parse().unwrap(), "dc1".parse().unwrap(), 1);
    let mut engine = Engine::new(options);
    let mut out = Vec::new();
    engine.handle(Event::Configured(tree()), NOW, &mut out);
    engine.handle(Event::Listed { targets, peers: Vec::new() }, NOW, &mut out);
    engine
}

fn submission(kinds: &[&str]) -> Submission {
    let task = |kind: &&str| Task {
        kind: kind.parse().unwrap(),
        payload: Arc::from(&b"{}"[..]),
        declared: None,
        demand: Demand::default(),
    };
    Submission {
        team: "halvern".parse().unwrap(),
        request: None,
        deadline: NOW.plus(Millis::new(1_000)),
        tasks: kinds.iter().map(task).collect(),
        trace: None,
    }
}

fn submit(engine: &mut Engine, caller: u64, submission: Submission) -> Vec<Command> {
    let mut out = Vec::new();
    let caller = id::Caller::new(caller);
    engine.handle(Event::Submit { caller, wait: true, submission }, NOW, &mut out);
    out
}

fn starts(commands: &[Command]) -> Vec<(id::Start, id::Target)> {
    let start = |command: &Command| match command {
        Command::Start(order) => Some((order.start, order.target.clone())),
        _ => None,
    };
    commands.iter().filter_map(start).collect()
}

fn statuses(commands: &[Command]) -> Vec<Status> {
    let status = |command: &Command| match command {
        Command::Respond { status, .. } => Some(status.clone()),
        _ => None,
    };
    commands.iter().filter_map(status).collect()
}

// Guards against answers in the order of arrival in place of the order of the tasks.
#[test]
fn submit_answers_in_task_order() {
    let mut engine = engine(vec![target("t1", 2)]);
    let commands = submit(&mut engine, 1, submission(&["seat-hold", "seat-hold"]));
    let started = starts(&commands);
    assert_eq!(started.len(), 2);
    let mut out = Vec::new();
    for (index, (start, _)) in started.iter().enumerate().rev() {
        let answer: Arc<[u8]> = Arc::from([index as u8].as_slice());
        let result = start::Result::Answered(answer);
        engine.handle(Event::Answered { start: *start, result }, NOW, &mut out);
    }
    let answers = vec![Arc::from([0_u8].as_slice()), Arc::from([1_u8].as_slice())];
    assert_eq!(statuses(&out), vec![Status::Final(Outcome::Complete(answers).into())]);
    assert_eq!(engine.open_jobs(), 0);
}

// Guards against more starts on a target than it has slots.
#[test]
fn submit_respects_slots() {
    let mut engine = engine(vec![target("t1", 1), target("t2", 2)]);
    let commands = submit(&mut engine, 1, submission(&["seat-hold"; 5]));
    let mut count = BTreeMap::new();
    for (_, target) in starts(&commands) {
        *count.entry(target.to_string()).or_insert(0) += 1;
    }
    assert_eq!(count, BTreeMap::from([("t1".into(), 1), ("t2".into(), 2)]));
}

// Guards against a job that is accepted although it can never run.
#[test]
fn submit_unknown_kind() {
    let mut engine = engine(vec![target("t1", 1)]);
    let commands = submit(&mut engine, 1, submission(&["seat-hold", "other"]));
    let invalid = Invalid::UnknownKind(1, "other".parse().unwrap());
    assert_eq!(statuses(&commands), vec![Status::Invalid(invalid)]);
    assert_eq!(engine.open_jobs(), 0);
}
