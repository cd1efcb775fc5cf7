//! LOST: a machine starts while the largest workers have less room than usual, and answers that jobs
//! have failed which no worker has started.

use crate::deployment::{self, Deployment, Job, Size};
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

const SIZE: Size = Size {
    zones: &["zone-a", "zone-b", "zone-c"],
    machines_per_zone: 1,
    workers_per_zone: 4,
    worker_cpu: 16_000,
    first_cpu: 24_000,
    stretch: 1.6,
    slo_ms: 60,
};
/// Room of the largest workers while it has shrunk: 0.55 of it.
const SHRUNK_CPU: u64 = 13_200;
const SHRINK_TIME: Duration = Duration::from_secs(14);
/// Time from the change of the room to the SIGTERM.
const STOP_DELAY: Duration = Duration::from_secs(3);
/// `graceS`, and the delay after which an ended process starts again.
const GRACE: Duration = Duration::from_secs(6);
const RESTART_DELAY: Duration = Duration::from_millis(300);
const START_TIMEOUT: Duration = Duration::from_secs(5);

pub fn play(record: &Path, has_trouble: bool) -> io::Result<Vec<String>> {
    let mut deployment = Deployment::start(SIZE, record)?;
    let record = deployment.record.clone();
    let fronts: Vec<SocketAddr> = deployment.machines.iter().map(|m| m.front()).collect();
    let mut next_id = 0x5c0_e7a2_1000_0000_u64;
    let mut states = Vec::new();
    let mut submit = |what: &str, front: SocketAddr| {
        next_id += 1;
        let id = format!("{next_id:015x}f");
        let job = Job { id: id.clone(), tasks: 1, cpu: 20_000, length_ms: 400, limit_ms: 5_000 };
        record.note(what);
        let answer = deployment::submit(&record, front, &job);
        let text = answer.map_or_else(String::new, |(status, body)| format!("{status} {body}"));
        states.push((id, what.to_owned(), text));
    };

    submit("before the change of the room", fronts[0]);
    let began = Instant::now();
    let largest = || deployment.workers.iter().step_by(SIZE.workers_per_zone);
    if has_trouble {
        largest().for_each(|worker| worker.resize(SHRUNK_CPU));
    }
    std::thread::sleep(STOP_DELAY);
    let machine = &mut deployment.machines[0];
    machine.signal("TERM")?;
    let stopped = Instant::now();
    while !machine.has_ended() {
        if stopped.elapsed() > GRACE {
            machine.kill();
            break;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    std::thread::sleep(RESTART_DELAY);
    machine.start()?;
    let started = Instant::now();
    while !machine.is_ready() {
        if started.elapsed() > START_TIMEOUT {
            return Err(io::Error::other("the machine doesn't become ready"));
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    for round in 1..=3 {
        std::thread::sleep(Duration::from_millis(500));
        submit(&format!("round {round}, at the machine that has started"), fronts[0]);
        submit(&format!("round {round}, at another machine"), fronts[1]);
    }
    std::thread::sleep(SHRINK_TIME.saturating_sub(began.elapsed()));
    largest().for_each(|worker| worker.resize(SIZE.first_cpu));
    std::thread::sleep(Duration::from_secs(4));
    submit("after the change back", fronts[0]);
    if deployment.has_ended_process() {
        return Err(io::Error::other("a process has ended by itself"));
    }

    let is_done = |text: &str| text.contains("succeeded");
    let (first, last) = (&states[0].2, &states[states.len() - 1].2);
    if !is_done(first) || !is_done(last) {
        return Err(io::Error::other("the largest workers don't run the jobs"));
    }
    // All tasks of the stand-ins end well, so that no cause is left.
    let failed = states.iter().filter(|(_, _, text)| text.contains("failed"));
    let broken: Vec<String> = failed
        .map(|(id, what, text)| {
            let runs = record.runs().iter().filter(|run| run.task.starts_with(id)).count();
            format!("{id}, {what}: answered {text} after {runs} runs")
        })
        .collect();
    broken.iter().for_each(|line| record.note(&format!("broken: {line}")));
    Ok(broken)
}
