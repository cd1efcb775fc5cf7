//! UNASKED: a job is cancelled while it runs, and its tasks are started on.

use crate::deployment::{self, Deployment, Job, Size};
use std::io;
use std::path::Path;
use std::time::Duration;

/// `cancel_ms`.
const CANCEL_LIMIT: Duration = Duration::from_millis(3_000);
/// `stopTimeoutMs`, twice, for the stand-ins' own delays.
const STOP_SLACK: Duration = Duration::from_millis(100);
const SIZE: Size = Size {
    zones: &["zone-a", "zone-b", "zone-c"],
    machines_per_zone: 1,
    workers_per_zone: 1,
    worker_cpu: 2_000,
    stretch: 4.0,
    slo_ms: 60,
};

pub fn play(record: &Path, has_trouble: bool) -> io::Result<Vec<String>> {
    let mut deployment = Deployment::start(SIZE, record)?;
    let record = deployment.record.clone();
    // Six tasks run at a time, so the last ones start after five seconds.
    let job = Job {
        id: "5c0e7a21d94b36f8".into(),
        tasks: 36,
        cpu: 1_000,
        length_ms: 1_000,
        limit_ms: 12_000,
    };
    let front = deployment.machines[0].front();
    let call = {
        let (record, job) = (record.clone(), job.clone());
        std::thread::spawn(move || deployment::submit(&record, front, &job, job.patience()))
    };
    std::thread::sleep(Duration::from_millis(1_000));
    let mut acknowledged = None;
    if has_trouble {
        let status = deployment::cancel(&record, front, &job.id);
        acknowledged = status.filter(|s| (200..300).contains(s) || *s == 410).map(|_| record.now());
    }
    let answer = call.join().ok().flatten();
    if deployment.has_ended_process() {
        return Err(io::Error::other("a process has ended by itself"));
    }
    let runs = record.runs();
    if runs.is_empty() || !has_trouble && answer != Some(200) {
        return Err(io::Error::other("the job was not run"));
    }
    let Some(acknowledged) = acknowledged else { return Ok(Vec::new()) };
    let limit = acknowledged + CANCEL_LIMIT;
    let mut broken = Vec::new();
    for run in runs {
        let since = run.began.saturating_sub(acknowledged).as_millis();
        if run.began > limit {
            let (task, worker) = (&run.task, &run.worker);
            broken
                .push(format!("{task} starts on {worker} {since} ms after the ack of the cancel"));
        } else if run.ended.is_none_or(|ended| ended > limit + STOP_SLACK) {
            broken.push(format!(
                "{} still runs {CANCEL_LIMIT:?} after the ack of the cancel",
                run.task
            ));
        }
    }
    record.note(&format!("the rule was broken {} times", broken.len()));
    Ok(broken)
}
