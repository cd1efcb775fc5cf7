//! Stand-in for a worker: starts, stops and holds as the protocol describes them.

use crate::http::{self, Reply, Request};
use crate::json::Value;
use crate::record::Record;
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Longest lease, `maxHoldMs`.
const MAX_LEASE: Duration = Duration::from_millis(1_000);
/// Time that a stop takes, less than `stopTimeoutMs`.
const STOP_TIME: Duration = Duration::from_millis(20);
/// Interval of the checks for ended runs and expired leases.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Longest wait of a hold.
const MAX_WAIT: Duration = Duration::from_millis(2_000);
/// Most ends in one answer.
const MAX_ENDS: usize = 500;
/// Time for which the connection of an order without an answer stays open.
const SILENCE: Duration = Duration::from_millis(2_000);
/// Delay with which an unanswered order is carried out.
const LATE: std::ops::Range<u64> = 2_000..12_000;

#[derive(Debug)]
struct Run {
    ends_at: Instant,
    how: &'static str,
}

#[derive(Debug)]
struct State {
    /// Processors, in thousandths of a core.
    cpu: u64,
    highest_fence: u64,
    lease_until: Instant,
    runs: BTreeMap<(String, u64), Run>,
    /// Highest run of each task that was stopped or has ended.
    closed_runs: HashMap<String, u64>,
    ended: Vec<(u64, String, u64, &'static str)>,
    next_end: u64,
    seq: u64,
    /// Share of the orders that get no answer and are carried out late, in thousandths.
    late_permille: u64,
    random: u64,
}

/// A worker; clones share its state.
#[derive(Clone, Debug)]
pub struct Worker {
    pub id: String,
    pub zone: String,
    pub address: SocketAddr,
    born: u64,
    began: Instant,
    state: Arc<Mutex<State>>,
    record: Record,
}

impl Worker {
    /// Starts a worker with room for `cpu` thousandths of a core. The spec of a task begins with its
    /// run time in milliseconds.
    pub fn start(id: &str, zone: &str, cpu: u64, seed: u64, record: &Record) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let state = State {
            cpu,
            highest_fence: 0,
            lease_until: Instant::now(),
            runs: BTreeMap::new(),
            closed_runs: HashMap::new(),
            ended: Vec::new(),
            next_end: 1,
            seq: 0,
            late_permille: 0,
            random: seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1,
        };
        let worker = Self {
            id: id.into(),
            zone: zone.into(),
            address: listener.local_addr()?,
            born: since_epoch.as_millis() as u64,
            began: Instant::now(),
            state: Arc::new(Mutex::new(state)),
            record: record.clone(),
        };
        let shared = worker.clone();
        http::serve(listener, move |request| shared.handle(&request));
        let polled = worker.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(POLL_INTERVAL);
                polled.poll();
            }
        });
        Ok(worker)
    }

    /// Returns the entry of the worker in the store. Its sequence number rises with each call.
    pub fn entry(&self) -> Value {
        let mut state = self.lock();
        state.seq += 1;
        Value::object([
            ("service", "svc".into()),
            ("addr", Value::text(self.address.to_string())),
            ("zone", Value::text(&self.zone)),
            ("version", "1".into()),
            ("slots", 8.into()),
            ("state", "ready".into()),
            ("coldLeftMs", 0.into()),
            ("seq", state.seq.into()),
            ("born", self.born.into()),
            (
                "capacity",
                Value::object([
                    ("cpu", state.cpu.into()),
                    ("memMb", 65_536.into()),
                    ("gpu", 0.into()),
                ]),
            ),
            ("labels", Value::Array(vec!["a".into(), "r1".into()])),
        ])
    }

    /// Changes the processors, as the next liveness report says.
    pub fn resize(&self, cpu: u64) {
        self.record.note(&format!("{} has room for {cpu} from now on", self.id));
        self.lock().cpu = cpu;
    }

    /// Sets the share of the orders that get no answer and are carried out late, in thousandths.
    pub fn set_late(&self, permille: u64) {
        self.lock().late_permille = permille;
    }

    fn handle(&self, request: &Request) -> Reply {
        if request.header("x-expect-instance").is_some_and(|id| id != self.id) {
            return Reply::Answer(421, String::new());
        }
        let Some(order) = Value::parse(&request.body) else {
            return Reply::Answer(400, String::new());
        };
        let late = {
            let mut state = self.lock();
            let is_late = state.draw(0..1_000) < state.late_permille;
            is_late.then(|| Duration::from_millis(state.draw(LATE)))
        };
        let Some(late) = late else { return self.execute(&request.path, &order, true) };
        let (worker, path) = (self.clone(), request.path.clone());
        std::thread::spawn(move || {
            std::thread::sleep(late);
            worker.execute(&path, &order, false);
        });
        Reply::Silence(SILENCE)
    }

    fn execute(&self, path: &str, order: &Value, may_wait: bool) -> Reply {
        let mut state = self.lock();
        let fence = order.u64_of("fenceToken");
        if fence < state.highest_fence {
            return self.refusal("fence");
        }
        state.highest_fence = fence;
        let (task, run) = (order.str_of("task"), order.u64_of("run"));
        match path {
            "/verbenapass/run-start" => self.begin(&mut state, order, task, run),
            "/verbenapass/run-stop" => {
                state.close(&task, run);
                let stopped = Instant::now() + STOP_TIME;
                if let Some(run) = state.runs.get_mut(&(task, run))
                    && run.ends_at > stopped
                {
                    *run = Run { ends_at: stopped, how: "stopped" };
                }
                self.accepted()
            }
            "/verbenapass/hold" => {
                self.renew(&mut state, order);
                let seen = order.u64_of("ackSeq");
                state.ended.retain(|(number, ..)| *number > seen);
                drop(state);
                let wait = Duration::from_millis(order.u64_of("waitMs")).min(MAX_WAIT);
                self.wait_for_end(if may_wait { wait } else { Duration::ZERO })
            }
            _ => Reply::Answer(404, String::new()),
        }
    }

    fn begin(&self, state: &mut State, order: &Value, task: String, run: u64) -> Reply {
        if state.runs.contains_key(&(task.clone(), run)) {
            return self.accepted();
        }
        let deadline_ms = order.u64_of("deadlineMs");
        if state.closed_runs.get(&task).is_some_and(|closed| *closed >= run) {
            self.renew(state, order);
            return self.refusal("old");
        }
        if deadline_ms <= self.clock_ms() {
            return self.refusal("late");
        }
        self.renew(state, order);
        let spec = order.str_of("spec");
        let length = spec.split(' ').next().and_then(|text| text.parse().ok()).unwrap_or(100);
        let ends_at = Instant::now() + Duration::from_millis(length);
        self.record.begin(&self.id, &task, run, &spec);
        state.runs.insert((task, run), Run { ends_at, how: "done" });
        self.accepted()
    }

    fn renew(&self, state: &mut State, order: &Value) {
        let Some(deadline_ms) = order.get("deadlineMs").and_then(Value::as_u64) else { return };
        let longest = Instant::now() + MAX_LEASE;
        let until = self.began.checked_add(Duration::from_millis(deadline_ms)).unwrap_or(longest);
        state.lease_until = state.lease_until.max(until.min(longest));
    }

    fn wait_for_end(&self, wait: Duration) -> Reply {
        let until = Instant::now() + wait;
        loop {
            let state = self.lock();
            if !state.ended.is_empty() || Instant::now() >= until {
                let running = state.runs.keys().map(|(task, run)| {
                    Value::Array(vec![
                        Value::text(task),
                        (*run).into(),
                        "".into(),
                        100.into(),
                        0.into(),
                    ])
                });
                let running = Value::Array(running.collect());
                let ended = state.ended.iter().take(MAX_ENDS).map(|(number, task, run, how)| {
                    Value::Array(vec![
                        (*number).into(),
                        Value::text(task),
                        (*run).into(),
                        (*how).into(),
                        "".into(),
                    ])
                });
                let ended = Value::Array(ended.collect());
                let body = Value::object([
                    ("clockMs", self.clock_ms().into()),
                    ("born", self.born.into()),
                    ("running", running),
                    ("endedRuns", ended),
                ]);
                return Reply::Answer(200, body.to_string());
            }
            drop(state);
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Ends the runs whose time is over, and all runs if the lease has expired.
    fn poll(&self) {
        let mut state = self.lock();
        let now = Instant::now();
        let has_lapsed = state.lease_until <= now;
        let is_over = |run: &Run| has_lapsed || run.ends_at <= now;
        let over = state.runs.iter().filter(|(_, run)| is_over(run));
        let over: Vec<(String, u64)> = over.map(|(key, _)| key.clone()).collect();
        for (task, number) in over {
            let Some(run) = state.runs.remove(&(task.clone(), number)) else { continue };
            let how = if run.ends_at <= now { run.how } else { "lapsed" };
            self.record.end(&self.id, &task, number, how);
            state.close(&task, number);
            let end = state.next_end;
            state.next_end += 1;
            state.ended.push((end, task, number, how));
        }
    }

    fn clock_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    fn accepted(&self) -> Reply {
        let body = Value::object([("clockMs", self.clock_ms().into()), ("born", self.born.into())]);
        Reply::Answer(200, body.to_string())
    }

    fn refusal(&self, reason: &str) -> Reply {
        let body = Value::object([
            ("clockMs", self.clock_ms().into()),
            ("born", self.born.into()),
            ("reason", reason.into()),
        ]);
        Reply::Answer(409, body.to_string())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn close(&mut self, task: &str, run: u64) {
        let closed = self.closed_runs.entry(task.to_owned()).or_default();
        *closed = (*closed).max(run);
    }

    /// Draws a number from a range, with the xorshift generator.
    fn draw(&mut self, range: std::ops::Range<u64>) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        range.start + self.random % (range.end - range.start)
    }
}
