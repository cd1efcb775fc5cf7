//! The scripted cases of the review: starts the program's processes and the stand-ins, brings one
//! disruption about, and checks the rule.
//!
//! `case NAME RECORD` exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not
//! run. With `TROUBLE=0` the disruption is left out.

mod cases;
mod fleet;
mod http;
mod json;
mod network;
mod record;
mod store;
mod worker;

use crate::http::Outcome;
use crate::json::Json;
use std::net::SocketAddr;
use std::time::Duration;

/// Time after which a case that has not ended can't run.
const TIME_LIMIT: Duration = Duration::from_secs(110);
pub const HOST: &str = "jobs.example";
pub const PREFIX: &str = "/jobs/";
/// Time after which a client submits a job again (`retransmitMs`).
pub const RESEND: Duration = Duration::from_millis(1_300);

/// The limits on open files of this process, at present and at most.
#[repr(C)]
struct Limit {
    present: u64,
    most: u64,
}

unsafe extern "C" {
    fn getrlimit(resource: i32, limit: *mut Limit) -> i32;
    fn setrlimit(resource: i32, limit: *const Limit) -> i32;
}

const OPEN_FILES: i32 = 7;

/// Allows as many open files as the process may have: it holds both ends of many connections.
fn raise_file_limit() {
    let mut limit = Limit { present: 0, most: 0 };
    // Both calls get a pointer to a structure of the size that they expect.
    unsafe {
        if getrlimit(OPEN_FILES, &mut limit) == 0 {
            limit.present = limit.most;
            setrlimit(OPEN_FILES, &limit);
        }
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, record] = arguments.as_slice() else {
        eprintln!("usage: case NAME RECORD");
        std::process::exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    raise_file_limit();
    record::log(format!("case {name}, {}", if has_trouble { "with trouble" } else { "TROUBLE=0" }));
    let (ended, watched) = std::sync::mpsc::channel::<()>();
    let (case, path) = (name.clone(), record.clone());
    let worker = std::thread::spawn(move || {
        let _ended = ended;
        cases::run(&case, has_trouble);
    });
    // The sender is dropped when the case returns or panics, after its processes were ended.
    let is_over =
        watched.recv_timeout(TIME_LIMIT) == Err(std::sync::mpsc::RecvTimeoutError::Disconnected);
    if !is_over {
        record::log("the case takes too long");
        record::finish(&path);
        std::process::exit(2);
    }
    let has_run = worker.join().is_ok();
    let broken = record::finish(&path);
    let code = match (has_run, broken.is_empty()) {
        (false, _) => 2,
        (true, true) => 0,
        (true, false) => 1,
    };
    println!("{name}: broken rules {broken:?}, exit code {code}");
    std::process::exit(code);
}

/// Ends the case, since it can't run.
pub fn cannot_run(why: &str) -> ! {
    record::log(format!("cannot run: {why}"));
    panic!("{why}");
}

/// A job of one step that is answered when it has ended.
#[derive(Clone)]
pub struct Job {
    pub id: String,
    /// How long each task works, and what the client estimates.
    pub work_ms: u64,
    pub estimate_ms: u64,
    pub tasks: u64,
    pub cpu: u64,
    pub limit: Duration,
}

impl Job {
    pub fn new(id: u64, work_ms: u64, tasks: u64, cpu: u64, limit: Duration) -> Self {
        Self { id: format!("{id:016x}"), work_ms, estimate_ms: work_ms, tasks, cpu, limit }
    }

    pub fn task(&self, index: u64) -> String {
        format!("{}.0.0.{index}", self.id)
    }

    pub fn path(&self) -> String {
        format!("{PREFIX}{}", self.id)
    }

    fn body(&self) -> String {
        let step = json::table([
            ("count", Json::Number(self.tasks)),
            ("cpu", Json::Number(self.cpu)),
            ("memMb", Json::Number(64)),
            ("estimateMs", Json::Number(self.estimate_ms)),
        ]);
        let body = json::table([
            ("spec", json::text(format!("work {}", self.work_ms))),
            ("preemptible", Json::Bool(true)),
            ("steps", Json::List(vec![step])),
        ]);
        body.to_string()
    }

    /// Submits the job and waits for the answer, until its time limit at most.
    pub fn submit(&self, front: SocketAddr) -> Outcome {
        self.submit_until(front, self.limit)
    }

    /// Submits the job and waits for the answer; the client leaves after `wait`.
    pub fn submit_until(&self, front: SocketAddr, wait: Duration) -> Outcome {
        let headers = [
            ("Host", HOST.to_owned()),
            ("Content-Type", "application/json".to_owned()),
            ("X-Deadline-Ms", self.limit.as_millis().to_string()),
        ];
        record::log(format!("client: POST {} to {front}", self.path()));
        let outcome = http::call(front, "POST", &self.path(), &headers, &self.body(), wait);
        record::log(format!("client: POST {}: {outcome}", self.path()));
        outcome
    }

    /// Asks for the job with another method than POST.
    pub fn ask(&self, front: SocketAddr, method: &str) -> Outcome {
        let headers = [("Host", HOST.to_owned())];
        record::log(format!("client: {method} {} to {front}", self.path()));
        let wait = Duration::from_secs(4);
        let outcome = http::call(front, method, &self.path(), &headers, "", wait);
        record::log(format!("client: {method} {}: {outcome}", self.path()));
        outcome
    }
}

/// Writes a configuration with one route.
pub fn put_config(store: &store::Store, version: u64, slo_ms: u64) {
    let number = Json::Number;
    let route = json::table([
        ("name", json::text("jobs")),
        ("host", json::text(HOST)),
        ("pathPrefix", json::text(PREFIX)),
        ("service", json::text("svc")),
        ("sloMs", number(slo_ms)),
        ("attempts", number(2)),
        ("stretch", Json::Real(1.6)),
        ("timeoutMs", number(60_000)),
    ]);
    let config = json::table([
        ("version", number(version)),
        ("routes", Json::List(vec![route])),
        ("services", Json::List(vec![json::table([("name", json::text("svc"))])])),
        ("limits", json::table([("maxBodyBytes", number(262_144))])),
    ]);
    store.put("op", "config", Some(&config));
}

pub fn sleep_ms(millis: u64) {
    std::thread::sleep(Duration::from_millis(millis));
}
