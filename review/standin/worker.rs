//! Stand-in for a worker: starts, stops and holds, leases on its own clock, and generation numbers.
//!
//! The spec of a task is `work MS`: it works for so many milliseconds and ends `done`.

use crate::http::{self, Message, Reply};
use crate::json::{self, Json};
use crate::record;
use crate::store::Store;
use std::collections::{BTreeMap, HashMap};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Longest lease (`maxHoldMs`).
const MAX_LEASE: Duration = Duration::from_millis(1_000);
/// Time that a stop takes; `stopTimeoutMs` is 50.
const STOP_TIME: Duration = Duration::from_millis(20);
/// Processor share of a task on the workers of one core.
const TASK_CPU: u64 = 900;
/// Time between two liveness reports (`heartbeatMs`).
const HEARTBEAT: Duration = Duration::from_millis(1_500);
const TICK: Duration = Duration::from_millis(2);

struct Run {
    ends_at: Instant,
    how: &'static str,
}

/// One life of the worker.
struct Life {
    born: u64,
    began: Instant,
    fence: u64,
    lease_until: Instant,
    runs: BTreeMap<(String, u64), Run>,
    /// Highest number of a run of each task that was stopped or has ended.
    highest: HashMap<String, u64>,
    ended: Vec<(u64, String, u64, &'static str)>,
    next_end: u64,
}

struct State {
    /// `None` while the worker is down.
    life: Option<Life>,
    seq: u64,
    /// Until when stop orders get no answer, and how much later they are carried out.
    late_stops: Option<(Instant, Duration)>,
    /// Number of orders, and of those that got no answer.
    orders: u64,
    late_orders: u64,
    /// When the last hold with a generation arrived, and whether its owner was new.
    last_hold: Option<(Instant, bool)>,
}

#[derive(Clone)]
pub struct Worker {
    pub id: String,
    pub zone: String,
    pub address: SocketAddr,
    cpu: u64,
    checks_room: bool,
    connections: Arc<OnceLock<http::Connections>>,
    state: Arc<Mutex<State>>,
}

impl Worker {
    /// Starts a worker with `cpu` thousandths of a core and lists it in the store.
    pub fn new(id: &str, zone: &str, cpu: u64, store: &Store) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
        let worker = Self {
            id: id.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr().expect("a bound address"),
            cpu,
            checks_room: cpu == 1_000,
            connections: Arc::default(),
            state: Arc::new(Mutex::new(State {
                life: Some(Life::new()),
                seq: 0,
                late_stops: None,
                orders: 0,
                late_orders: 0,
                last_hold: None,
            })),
        };
        store.network.add(id, zone, worker.address, false);
        let shared = worker.clone();
        let connections = http::serve(listener, move |request| shared.handle(request));
        worker.connections.set(connections).expect("set once");
        let shared = worker.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(TICK);
                shared.tick();
            }
        });
        let (shared, store) = (worker.clone(), store.clone());
        std::thread::spawn(move || {
            loop {
                shared.report(&store);
                std::thread::sleep(HEARTBEAT);
            }
        });
        worker
    }

    /// Writes the worker's entry into the store, unless it is down.
    pub fn report(&self, store: &Store) {
        let mut state = self.lock();
        state.seq += 1;
        let Some(life) = &state.life else { return };
        let number = Json::Number;
        let entry = json::table([
            ("service", json::text("svc")),
            ("addr", json::text(self.address.to_string())),
            ("zone", json::text(&self.zone)),
            ("version", json::text("1")),
            ("slots", number(8)),
            ("state", json::text("ready")),
            ("coldLeftMs", number(0)),
            ("seq", number(state.seq)),
            ("born", number(life.born)),
            (
                "capacity",
                json::table([
                    ("cpu", number(self.cpu)),
                    ("memMb", number(65_536)),
                    ("gpu", number(0)),
                ]),
            ),
            ("labels", Json::List(vec![json::text("a"), json::text("r1")])),
        ]);
        store.put("servers", &self.id, Some(&entry));
    }

    /// From now on, stop orders get no answer for `span` and are carried out `delay` later.
    pub fn delay_stops(&self, span: Duration, delay: Duration) {
        record::log(format!("{}: leaves stop orders unanswered for {span:?}", self.id));
        self.lock().late_stops = Some((Instant::now() + span, delay));
    }

    /// Crashes, and starts again under the same id after `down`: it holds and knows nothing of before.
    pub fn restart(&self, down: Duration) {
        let former = self.lock().life.take();
        for (task, run) in former.iter().flat_map(|life| life.runs.keys()) {
            record::run_ended(&self.id, task, *run, "with its worker");
        }
        if let Some(connections) = self.connections.get() {
            connections.close();
        }
        record::log(format!("{}: crashes", self.id));
        std::thread::sleep(down);
        let life = Life::new();
        record::log(format!("{}: starts again, born {}", self.id, life.born));
        let mut state = self.lock();
        state.life = Some(life);
        state.seq = 0;
        state.last_hold = None;
    }

    /// Waits for the next hold, at most for `limit`. Returns whether its owner was new.
    pub fn wait_for_hold(&self, limit: Duration) -> Option<bool> {
        let (begin, before) = (Instant::now(), self.lock().last_hold);
        while begin.elapsed() < limit {
            let last = self.lock().last_hold;
            if last != before {
                return last.map(|(_, is_new)| is_new);
            }
            std::thread::sleep(Duration::from_millis(1));
        }
        None
    }

    /// Returns the number of orders so far.
    pub fn orders(&self) -> u64 {
        self.lock().orders
    }

    /// Returns the number of orders that got no answer.
    pub fn late_orders(&self) -> u64 {
        self.lock().late_orders
    }

    fn handle(&self, request: &Message) -> Reply {
        let (_, path, _) = request.target();
        let Some(order) = Json::parse(&request.body) else {
            return Reply::Answer(400, String::new());
        };
        let expected = request.header("x-expect-instance");
        let name = path.rsplit('/').next().unwrap_or_default().to_owned();
        if let Some(delay) = self.late_by(&name) {
            record::log(format!("{}: no answer to the {}", self.id, describe(&name, &order)));
            let worker = self.clone();
            std::thread::spawn(move || {
                std::thread::sleep(delay);
                if let Some(life) = &mut worker.lock().life
                    && order.get("fenceToken").number().unwrap_or(0) >= life.fence
                {
                    record::log(format!(
                        "{}: carries out late a {}",
                        worker.id,
                        describe(&name, &order)
                    ));
                    life.stop(&order);
                }
            });
            return Reply::Silence(Duration::from_secs(2));
        }
        {
            let mut state = self.lock();
            let state = &mut *state;
            let Some(life) = &mut state.life else { return Reply::Silence(Duration::ZERO) };
            if !expected.is_empty() && expected != self.id {
                return Reply::Answer(421, life.reply("life").to_string());
            }
            let fence = order.get("fenceToken").number().unwrap_or(0);
            if fence < life.fence {
                return Reply::Answer(409, life.reply("fence").to_string());
            }
            if name == "hold" && fence > 0 {
                state.last_hold = Some((Instant::now(), fence > life.fence));
            }
            if fence > life.fence && name == "hold" {
                record::log(format!("{}: has a new owner, generation {fence}", self.id));
            }
            life.fence = fence;
            match name.as_str() {
                "run-start" => return self.start(life, &order),
                "run-stop" => {
                    record::log(format!("{}: {}", self.id, describe(&name, &order)));
                    life.stop(&order);
                    return Reply::Answer(200, life.reply("").to_string());
                }
                "hold" => {}
                _ => return Reply::Answer(404, String::new()),
            }
            life.renew(&order);
            let acknowledged = order.get("ackSeq").number().unwrap_or(0);
            life.ended.retain(|(number, ..)| *number > acknowledged);
        }
        let wait = Duration::from_millis(order.get("waitMs").number().unwrap_or(0));
        let until = Instant::now() + wait;
        loop {
            {
                let state = self.lock();
                let Some(life) = &state.life else { return Reply::Silence(Duration::ZERO) };
                if !life.ended.is_empty() || Instant::now() >= until {
                    return Reply::Answer(200, life.lists().to_string());
                }
            }
            std::thread::sleep(TICK);
        }
    }

    /// Counts an order, and returns how much later it is carried out if it gets no answer.
    fn late_by(&self, name: &str) -> Option<Duration> {
        let mut state = self.lock();
        state.orders += 1;
        let (until, delay) = state.late_stops?;
        let is_late = name == "run-stop" && Instant::now() < until;
        state.late_orders += u64::from(is_late);
        is_late.then_some(delay)
    }

    fn start(&self, life: &mut Life, order: &Json) -> Reply {
        let task = order.get("task").text().to_owned();
        let run = order.get("run").number().unwrap_or(0);
        if life.runs.contains_key(&(task.clone(), run)) {
            return Reply::Answer(200, life.reply("").to_string());
        }
        if life.highest.get(&task).is_some_and(|highest| *highest >= run) {
            life.renew(order);
            return Reply::Answer(409, life.reply("old").to_string());
        }
        if order.get("deadlineMs").number().is_none_or(|deadline| deadline <= life.clock_ms()) {
            return Reply::Answer(409, life.reply("late").to_string());
        }
        life.renew(order);
        let spec = order.get("spec").text();
        let work = spec.strip_prefix("work ").and_then(|text| text.parse().ok()).unwrap_or(0);
        record::run_started(&self.id, &task, run);
        // All tasks of the cases take the same room.
        if (life.runs.len() as u64 + 1) * TASK_CPU > self.cpu && self.checks_room {
            let what = format!("run {run} of {task} brings {} over its capacity", self.id);
            record::broken("LIMIT", what);
        }
        let ends_at = Instant::now() + Duration::from_millis(work);
        life.runs.insert((task, run), Run { ends_at, how: "done" });
        Reply::Answer(200, life.reply("").to_string())
    }

    /// Ends the runs that are over, and all of them if the lease has lapsed.
    fn tick(&self) {
        let now = Instant::now();
        let mut state = self.lock();
        let Some(life) = &mut state.life else { return };
        let has_lapsed = life.lease_until <= now;
        let over: Vec<(String, u64)> = life
            .runs
            .iter()
            .filter(|(_, run)| has_lapsed || run.ends_at <= now)
            .map(|(key, _)| key.clone())
            .collect();
        for (task, number) in over {
            let Some(run) = life.runs.remove(&(task.clone(), number)) else { continue };
            let how = if run.ends_at <= now { run.how } else { "lapsed" };
            record::run_ended(&self.id, &task, number, how);
            life.note(&task, number);
            life.ended.push((life.next_end, task, number, how));
            life.next_end += 1;
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Life {
    fn new() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let now = Instant::now();
        Self {
            born: since_epoch.as_millis() as u64,
            began: now,
            fence: 0,
            lease_until: now,
            runs: BTreeMap::new(),
            highest: HashMap::new(),
            ended: Vec::new(),
            next_end: 1,
        }
    }

    fn clock_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    fn renew(&mut self, order: &Json) {
        if let Some(deadline) = order.get("deadlineMs").number() {
            let until = self.began + Duration::from_millis(deadline);
            self.lease_until = self.lease_until.max(until.min(Instant::now() + MAX_LEASE));
        }
    }

    fn note(&mut self, task: &str, run: u64) {
        let highest = self.highest.entry(task.to_owned()).or_default();
        *highest = (*highest).max(run);
    }

    fn stop(&mut self, order: &Json) {
        let task = order.get("task").text().to_owned();
        let number = order.get("run").number().unwrap_or(0);
        self.note(&task, number);
        if let Some(run) = self.runs.get_mut(&(task, number)) {
            let end = Instant::now() + STOP_TIME;
            if run.ends_at > end {
                *run = Run { ends_at: end, how: "stopped" };
            }
        }
    }

    fn reply(&self, reason: &str) -> Json {
        let mut reply = json::table([("clockMs", Json::Number(self.clock_ms()))]);
        if let (Json::Table(members), false) = (&mut reply, reason.is_empty()) {
            members.insert("reason".into(), json::text(reason));
        }
        reply
    }

    fn lists(&self) -> Json {
        let running = self.runs.keys().map(|(task, run)| {
            let (task, run) = (json::text(task), Json::Number(*run));
            Json::List(vec![task, run, json::text(""), Json::Number(100), Json::Number(0)])
        });
        let ended = self.ended.iter().take(500).map(|(number, task, run, how)| {
            let (number, run) = (Json::Number(*number), Json::Number(*run));
            Json::List(vec![number, json::text(task), run, json::text(*how), json::text("")])
        });
        json::table([
            ("clockMs", Json::Number(self.clock_ms())),
            ("born", Json::Number(self.born)),
            ("running", Json::List(running.collect())),
            ("endedRuns", Json::List(ended.collect())),
        ])
    }
}

fn describe(name: &str, order: &Json) -> String {
    format!("{name} of run {} of {}", order.get("run"), order.get("task").text())
}
