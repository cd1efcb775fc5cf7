//! A small deployment: the store, workers, the fleet, and a client account's calls.

use crate::fleet::{self, Machine};
use crate::http::{self, Request};
use crate::json::Value;
use crate::record::{Record, Run};
use crate::store::Store;
use crate::worker::Worker;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Host and path prefix of the only route.
const HOST: &str = "nony24.example";
const PREFIX: &str = "/lohu930/";
/// Interval of the workers' liveness reports, `heartbeatMs`.
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// Longest time from the start of the processes until all are ready.
const START_TIMEOUT: Duration = Duration::from_secs(12);
/// Time from readiness to the first job, so that all targets have their owners.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Time after which a client that has no result sends its job again, `retransmitMs`.
const RESEND_DELAY: Duration = Duration::from_millis(1_300);

/// Size of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub zones: &'static [&'static str],
    pub machines_per_zone: usize,
    pub workers_per_zone: usize,
    /// Processors of a worker, in thousandths of a core.
    pub worker_cpu: u64,
    /// The same of the first worker of each zone.
    pub first_cpu: u64,
    /// `stretch` of the route, and the fixed part of its objective.
    pub stretch: f64,
    pub slo_ms: u64,
}

/// A running deployment. Its processes end when it is dropped.
#[derive(Debug)]
pub struct Deployment {
    pub record: Record,
    pub machines: Vec<Machine>,
    pub workers: Vec<Worker>,
    directory: PathBuf,
}

/// A job of like tasks that need not be kept.
#[derive(Clone, Debug)]
pub struct Job {
    pub id: String,
    pub tasks: u64,
    pub cpu: u64,
    pub length_ms: u64,
    pub limit_ms: u64,
}

impl Job {
    fn body(&self) -> String {
        let step = Value::object([
            ("count", self.tasks.into()),
            ("cpu", self.cpu.into()),
            ("memMb", 64.into()),
            ("estimateMs", self.length_ms.into()),
        ]);
        let body = Value::object([
            ("spec", Value::text(format!("{} ms of work for {}", self.length_ms, self.id))),
            ("preemptible", true.into()),
            ("steps", Value::Array(vec![step])),
        ]);
        body.to_string()
    }
}

impl Deployment {
    /// Starts everything and waits until all machines are ready.
    pub fn start(size: Size, record_path: &Path) -> io::Result<Self> {
        let record = Record::create(record_path)?;
        let directory = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        std::fs::create_dir_all(&directory)?;
        let store = Store::new();
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        store.serve(listener);
        let mut workers = Vec::new();
        for (index, zone) in size.zones.iter().enumerate() {
            for number in 0..size.workers_per_zone {
                let seed = (index * size.workers_per_zone + number) as u64 + 1;
                let id = format!("i-{seed:08x}");
                let seed = seed + u64::from(std::process::id()) * 1_000;
                let cpu = if number == 0 { size.first_cpu } else { size.worker_cpu };
                workers.push(Worker::start(&id, zone, cpu, seed, &record)?);
            }
        }
        store.put("op", "config", &config(size));
        report(&store, &workers);
        let machines =
            fleet::machines(size.zones, size.machines_per_zone, address, &directory, &record)?;
        let mut deployment = Self { record, machines, workers, directory };
        for machine in &mut deployment.machines {
            machine.start()?;
        }
        let until = Instant::now() + START_TIMEOUT;
        while !deployment.machines.iter().all(Machine::is_ready) {
            if Instant::now() >= until {
                return Err(io::Error::other("the machines don't become ready"));
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        std::thread::sleep(SETTLE_TIME);
        deployment.record.note("the deployment is ready");
        Ok(deployment)
    }

    /// Returns the tasks of which two runs were at work at the same time, and for how long.
    pub fn overlaps(&self) -> Vec<String> {
        let now = self.record.now();
        let runs = self.record.runs();
        let mut found = Vec::new();
        for (index, first) in runs.iter().enumerate() {
            for second in runs[index + 1..].iter().filter(|run| run.task == first.task) {
                let until = |run: &Run| run.ended.unwrap_or(now);
                let (begin, end) = (first.began.max(second.began), until(first).min(until(second)));
                if begin < end {
                    found.push(format!(
                        "{} runs as {} on {} and as {} on {} from {:.4} to {:.4}",
                        first.task,
                        first.number,
                        first.worker,
                        second.number,
                        second.worker,
                        begin.as_secs_f64(),
                        end.as_secs_f64(),
                    ));
                }
            }
        }
        found
    }

    /// Returns whether a process has ended by itself.
    pub fn has_ended_process(&mut self) -> bool {
        self.machines.iter_mut().any(Machine::has_ended)
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.machines.clear();
        if std::env::var_os("KEEP_LOGS").is_none() {
            // A folder that stays behind does no harm.
            std::fs::remove_dir_all(&self.directory).ok();
        }
    }
}

fn config(size: Size) -> Value {
    let route = Value::object([
        ("name", "r-wrr6x73".into()),
        ("host", HOST.into()),
        ("pathPrefix", PREFIX.into()),
        ("kind", "non_idempotent".into()),
        ("timeoutMs", 30_000.into()),
        ("sloMs", size.slo_ms.into()),
        ("priority", 0.into()),
        ("service", "svc".into()),
        ("attempts", 2.into()),
        ("stretch", Value::Float(size.stretch)),
    ]);
    let service = Value::object([
        ("name", "svc".into()),
        ("healthPath", "/healthz".into()),
        ("maxConns", 64.into()),
        ("protocol", "h1".into()),
        ("tls", false.into()),
        ("enforceCapacity", false.into()),
    ]);
    let limits = Value::object([
        ("maxHeaderBytes", 16_384.into()),
        ("maxBodyBytes", 262_144.into()),
        ("headerTimeoutMs", 5_000.into()),
        ("idleTimeoutMs", 30_000.into()),
    ]);
    Value::object([
        ("version", 7.into()),
        ("routes", Value::Array(vec![route])),
        ("services", Value::Array(vec![service])),
        ("limits", limits),
    ])
}

/// Writes the workers' entries now and at each liveness report.
fn report(store: &Store, workers: &[Worker]) {
    for worker in workers {
        let (store, worker) = (store.clone(), worker.clone());
        store.put("servers", &worker.id, &worker.entry());
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(HEARTBEAT);
                store.put("servers", &worker.id, &worker.entry());
            }
        });
    }
}

fn request(method: &str, id: &str, limit_ms: u64, body: String) -> Request {
    let header = |name: &str, value: String| (name.to_owned(), value);
    Request {
        method: method.into(),
        path: format!("{PREFIX}{id}"),
        headers: vec![
            header("host", HOST.into()),
            header("content-type", "application/json".into()),
            header("x-deadline-ms", limit_ms.to_string()),
        ],
        body,
        ..Request::default()
    }
}

/// Sends a job once and returns status and body of the answer, or `None` without an answer.
pub fn submit(record: &Record, front: SocketAddr, job: &Job) -> Option<(u16, String)> {
    record.note(&format!("client sends POST {} ({} tasks) to {front}", job.id, job.tasks));
    let request = request("POST", &job.id, job.limit_ms, job.body());
    let answer = http::call(front, &request, Duration::from_millis(job.limit_ms));
    let text = match &answer {
        Ok((status, body)) => format!("{status} {body}"),
        Err(error) => format!("no answer: {error}"),
    };
    record.note(&format!("client gets for POST {}: {text}", job.id));
    answer.ok()
}

/// Sends a job until it has a result, each time to the next of `fronts`.
pub fn submit_until_answered(
    record: &Record,
    fronts: &[SocketAddr],
    job: &Job,
    ended: &AtomicBool,
) {
    for front in fronts {
        match submit(record, *front, job) {
            None | Some((502 | 504, _)) => std::thread::sleep(RESEND_DELAY),
            Some(_) => return,
        }
        if ended.load(Ordering::Relaxed) {
            return;
        }
    }
}

/// Sends a job in the background, see [`submit_until_answered`].
pub fn spawn_submit(
    record: &Record,
    fronts: Vec<SocketAddr>,
    job: Job,
    ended: &Arc<AtomicBool>,
) -> std::thread::JoinHandle<()> {
    let (record, ended) = (record.clone(), ended.clone());
    std::thread::spawn(move || submit_until_answered(&record, &fronts, &job, &ended))
}
