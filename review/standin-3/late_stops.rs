//! TWICE: a process is killed while workers leave a share of their orders unanswered and carry them out
//! late.

use crate::deployment::{self, Deployment, Job, Size};
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

const SIZE: Size = Size {
    zones: &["zone-a", "zone-b", "zone-c"],
    machines_per_zone: 2,
    workers_per_zone: 8,
    worker_cpu: 16_000,
    first_cpu: 16_000,
    stretch: 1.6,
    slo_ms: 60,
};
/// Share of the orders that get no answer and are carried out late, in thousandths.
const LATE_PERMILLE: u64 = 500;
/// Length of the trouble at the workers.
const LATE_TIME: Duration = Duration::from_millis(2_500);
const CYCLES: u64 = 13;
const JOBS: u64 = 18;

pub fn play(record: &Path, has_trouble: bool) -> io::Result<Vec<String>> {
    let mut deployment = Deployment::start(SIZE, record)?;
    let record = deployment.record.clone();
    let ended = Arc::new(AtomicBool::new(false));
    for cycle in 0..CYCLES {
        // One machine of each zone, half of the fleet.
        let is_victim = |index: usize| index % 2 == cycle as usize % 2;
        let mut calls = Vec::new();
        for number in 0..JOBS {
            let count = deployment.machines.len();
            let fronts = (0..6).map(|attempt| {
                deployment.machines[(number as usize + attempt * 5) % count].front()
            });
            let job = Job {
                id: format!("{:015x}f", 0x5c0_e7a2_1000_0000_u64 + cycle * 0x100 + number),
                tasks: 32,
                cpu: 500,
                length_ms: 3_000,
                limit_ms: 12_000,
            };
            calls.push(deployment::spawn_submit(&record, fronts.collect(), job, &ended));
        }
        std::thread::sleep(Duration::from_millis(700));
        if has_trouble {
            record.note("workers leave orders unanswered");
            deployment.workers.iter().for_each(|worker| worker.set_late(LATE_PERMILLE));
            for index in (0..deployment.machines.len()).filter(|index| is_victim(*index)) {
                deployment.machines[index].kill();
            }
            std::thread::sleep(Duration::from_millis(500));
            for index in (0..deployment.machines.len()).filter(|index| is_victim(*index)) {
                deployment.machines[index].start()?;
            }
            std::thread::sleep(LATE_TIME - Duration::from_millis(500));
            record.note("workers answer all orders");
            deployment.workers.iter().for_each(|worker| worker.set_late(0));
        } else {
            std::thread::sleep(LATE_TIME);
        }
        std::thread::sleep(Duration::from_millis(4_300));
        if cycle + 1 == CYCLES {
            ended.store(true, Ordering::Relaxed);
        }
        if deployment.has_ended_process() {
            return Err(io::Error::other("a process has ended by itself"));
        }
    }
    let broken = deployment.overlaps();
    for line in &broken {
        record.note(&format!("broken: {line}"));
    }
    Ok(broken)
}
