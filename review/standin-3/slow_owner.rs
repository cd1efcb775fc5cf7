//! TWICE: the machine that took the jobs freezes while a machine that runs their tasks is slow.

use crate::deployment::{self, Deployment, Job, Size};
use std::io;
use std::path::Path;
use std::time::{Duration, Instant};

const SIZE: Size = Size {
    zones: &["zone-a", "zone-b", "zone-c"],
    machines_per_zone: 1,
    workers_per_zone: 4,
    worker_cpu: 4_000,
    stretch: 1.6,
    slo_ms: 60,
};
const JOBS: u64 = 10;
/// Time after which clients leave: less than half of the objective.
const PATIENCE: Duration = Duration::from_millis(1_500);
/// Time after which they send their jobs again, `retransmitMs`.
const RESEND_DELAY: Duration = Duration::from_millis(1_300);
/// Time from the jobs to the trouble, and its length.
const START_TIME: Duration = Duration::from_millis(600);
const FREEZE_TIME: Duration = Duration::from_millis(4_000);
/// The slow machine runs for the second time after each first one: it is five times slower.
const PAUSE: Duration = Duration::from_millis(500);
const TURN: Duration = Duration::from_millis(125);

pub fn play(record: &Path, has_trouble: bool) -> io::Result<Vec<String>> {
    let mut deployment = Deployment::start(SIZE, record)?;
    let record = deployment.record.clone();
    let fronts: Vec<_> = deployment.machines.iter().map(|machine| machine.front()).collect();
    let mut calls = Vec::new();
    for number in 0..JOBS {
        let job = Job {
            id: format!("{:016x}", 0x5c0e_7a21_0000_0000 + number),
            tasks: 4,
            cpu: 1_000,
            length_ms: 4_000,
            limit_ms: 12_000,
        };
        let (record, first, second) = (record.clone(), fronts[0], fronts[2]);
        calls.push(std::thread::spawn(move || {
            if deployment::submit(&record, first, &job, PATIENCE).is_none() {
                std::thread::sleep(RESEND_DELAY);
                deployment::submit(&record, second, &job, job.patience());
            }
        }));
    }
    std::thread::sleep(START_TIME);
    if has_trouble {
        let until = Instant::now() + FREEZE_TIME;
        deployment.machines[0].signal("STOP")?;
        while Instant::now() < until {
            deployment.machines[1].signal("STOP")?;
            std::thread::sleep(PAUSE);
            deployment.machines[1].signal("CONT")?;
            std::thread::sleep(TURN);
        }
        deployment.machines[0].signal("CONT")?;
    }
    for call in calls {
        call.join().ok();
    }
    if deployment.has_ended_process() {
        return Err(io::Error::other("a process has ended by itself"));
    }
    let broken = deployment.overlaps();
    for line in &broken {
        record.note(&format!("broken: {line}"));
    }
    Ok(broken)
}
