//! Benchmark of one engine on one core, in events per second: jobs of up to 1,400 tasks, 300
//! targets with 8 slots each and 700 teams.
//!
//! `cargo bench -p verbenapass --bench engine` prints one line for each case.

use std::collections::VecDeque;
use std::fmt::Write;
use std::sync::Arc;
use std::time::Instant;
use verbenapass::engine::{Command, Engine, Event, Options, Target};
use verbenapass::id;
use verbenapass::job::{Resources, Submission, Task};
use verbenapass::settings;
use verbenapass::start;
use verbenapass::time::Timestamp;
use verbenapass::unit::{Bytes, Micros, Millis, Slots};

const TEAMS: usize = 700;
const TARGETS: usize = 300;
const TASKS: usize = 1_400;
const EVENTS: usize = 1_000_000;

fn tree(quota: u32) -> Arc<settings::Tree> {
    let mut text =
        String::from("fleet: {credential_sha256: f, result_retention_ms: 1000}\nteams:\n");
    for team in 0..TEAMS {
        writeln!(
            text,
            "  team{team}: {{credential_sha256: x, quota_slots: {quota}, kinds: \
             {{k: {{service: s, idempotent: true}}}}}}"
        )
        .expect("writing to a string does not fail");
    }
    Arc::new(serde_yaml_ng::from_str(&text).expect("the settings are valid"))
}

fn target(index: usize) -> Target {
    Target {
        id: format!("t{index}").parse().expect("valid"),
        service: "s".parse().expect("valid"),
        data_centre: "dc1".parse().expect("valid"),
        worker: format!("w{index}").parse().expect("valid"),
        rack: format!("r{}", index / 6).parse().expect("valid"),
        address: "127.0.0.1:1".parse().expect("valid"),
        slots: Slots::new(8),
        memory: Bytes::new(1 << 30),
        accelerators: 0,
        leaving: false,
    }
}

fn submission(team: usize, tasks: usize, deadline: Timestamp) -> Submission {
    let payload: Arc<[u8]> = Arc::from(&b"{\"seat\": 1}"[..]);
    let task = Task {
        kind: "k".parse().expect("valid"),
        payload,
        declared: None,
        demand: Resources::default(),
    };
    Submission {
        team: format!("team{team}").parse().expect("valid"),
        request: None,
        deadline,
        tasks: vec![task; tasks],
        trace: None,
    }
}

/// Keeps `open` jobs of `tasks` tasks in the engine and answers starts in the order in which they
/// were emitted. If `cancel_every` is not 0, about one event in `cancel_every` cancels a job.
fn run(case: &str, tasks: usize, open: usize, quota: u32, cancel_every: usize) {
    let options = Options::new("e1".parse().expect("valid"), "dc1".parse().expect("valid"), 1);
    let mut engine = Engine::new(options);
    let mut now = Timestamp::from_micros(1_000_000_000);
    let mut out = Vec::new();
    engine.handle(Event::Configured(tree(quota)), now, &mut out);
    let targets = (0..TARGETS).map(target).collect();
    engine.handle(Event::Listed { revision: 1, targets, peers: Vec::new() }, now, &mut out);
    let answer: Arc<[u8]> = Arc::from(&b"{\"ok\": true}"[..]);
    let mut in_flight: VecDeque<id::Start> = VecDeque::new();
    let mut events = 0;
    let mut sequence = 0;
    let begin = Instant::now();
    while events < EVENTS {
        now = now.plus_micros(Micros::new(50));
        let event = if engine.open_jobs() < open {
            sequence += 1;
            let deadline = now.plus(Millis::new(600_000));
            let submission = submission(sequence % TEAMS, tasks, deadline);
            let caller = id::Caller::new(sequence as u64);
            Event::Submit { caller, wait: true, submission }
        } else if cancel_every > 0 && events % cancel_every == 0 {
            // The newest job is still queued.
            let job = id::Job::new("e1".parse().expect("valid"), sequence as u64);
            let team = format!("team{}", sequence % TEAMS).parse().expect("valid");
            Event::Cancel { caller: id::Caller::new(0), team, job }
        } else {
            let start = in_flight.pop_front().expect("a start is in flight");
            Event::Answered { start, result: start::Result::Answered(answer.clone()) }
        };
        engine.handle(event, now, &mut out);
        engine.tick(now, &mut out);
        events += 1;
        for command in out.drain(..) {
            if let Command::Start(order) = command {
                in_flight.push_back(order.start);
            }
        }
    }
    let seconds = begin.elapsed().as_secs_f64();
    let starts = engine.counters().starts;
    println!(
        "{case}: {:.0} events/s, {:.0} starts/s, {sequence} jobs",
        events as f64 / seconds,
        starts as f64 / seconds
    );
}

fn main() {
    run("1,400 tasks, 10 jobs open", TASKS, 10, 100_000, 0);
    run("1,400 tasks, 100 jobs open", TASKS, 100, 100_000, 0);
    run("1,400 tasks, 1 in 100 events cancels", TASKS, 100, 100_000, 100);
    run("10 tasks, 10,000 jobs open", 10, 10_000, 100_000, 0);
    run("1 task, 2,000 jobs open", 1, 2_000, 100_000, 0);
    run("1,400 tasks, 100 jobs open, quota of 4 slots", TASKS, 100, 4, 0);
}
