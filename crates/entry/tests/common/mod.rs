//! HTTP servers and clients over plain sockets, for tests that need faults at the byte level.

#![allow(dead_code, missing_docs)]

use std::collections::{BTreeMap, HashMap};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};
use verbenapass::settings::sha256_hex;
use verbenapass_entry::daemon::Daemon;
use verbenapass_entry::settings::Settings;

/// Timeout of every wait, far above what any step needs, so that reaching it is a failure.
pub const WAIT_LIMIT: Duration = Duration::from_secs(30);

pub const CREDENTIAL: &str = "halvern-secret";
pub const FLEET_CREDENTIAL: &str = "fleet-secret";

#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

/// What a fake server does with a request.
#[derive(Clone, Debug)]
pub enum Action {
    /// Writes the bytes and keeps the connection open.
    Reply(Vec<u8>),
    /// Writes the bytes and closes the connection.
    ReplyAndClose(Vec<u8>),
    /// Neither answers nor closes the connection.
    Silence,
}

pub fn response(status: u16, headers: &[(&str, &str)], body: &str) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} X\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    text.push_str(body);
    text.into_bytes()
}

/// A server that handles each request with an [`Action`], chosen by a function of the request and
/// its number, from 0.
pub struct Server {
    pub address: SocketAddr,
    seen: Arc<Mutex<Vec<Request>>>,
}

impl Server {
    pub fn start(handle: impl Fn(&Request, usize) -> Action + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let seen = Arc::new(Mutex::new(Vec::new()));
        let handle = Arc::new(handle);
        let log = seen.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let (handle, log) = (handle.clone(), log.clone());
                std::thread::spawn(move || serve(stream.unwrap(), &*handle, &log));
            }
        });
        Self { address, seen }
    }

    /// Returns the requests received so far.
    pub fn seen(&self) -> Vec<Request> {
        self.seen.lock().unwrap().clone()
    }
}

fn serve(stream: TcpStream, handle: &dyn Fn(&Request, usize) -> Action, log: &Mutex<Vec<Request>>) {
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        let number = {
            let mut log = log.lock().unwrap();
            log.push(request.clone());
            log.len() - 1
        };
        match handle(&request, number) {
            Action::Reply(bytes) => {
                if reader.get_mut().write_all(&bytes).is_err() {
                    return;
                }
            }
            Action::ReplyAndClose(bytes) => {
                let _ = reader.get_mut().write_all(&bytes);
                return;
            }
            Action::Silence => {}
        }
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let (method, path) = (words.next()?.into(), words.next()?.into());
    let (headers, body) = read_rest(reader)?;
    Some(Request { method, path, headers, body })
}

fn read_rest(reader: &mut BufReader<TcpStream>) -> Option<(HashMap<String, String>, Vec<u8>)> {
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    let length = headers.get("content-length").map_or(0, |text| text.parse().unwrap());
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((headers, body))
}

#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body)
            .unwrap_or_else(|e| panic!("{e}: {:?}", String::from_utf8_lossy(&self.body)))
    }

    pub fn code(&self) -> String {
        self.json()["code"].as_str().unwrap().into()
    }
}

/// Sends one request on a new connection and reads the answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Answer {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
    let mut head = format!(
        "{method} {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    stream.write_all(head.as_bytes()).unwrap();
    // A server that rejects the request may close before it has read the whole body.
    let _ = stream.write_all(body);
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).unwrap();
    let status = line.split_whitespace().nth(1).unwrap().parse().unwrap();
    let (headers, body) = read_rest(&mut reader).unwrap();
    Answer { status, headers, body }
}

pub fn authorization() -> String {
    format!("Bearer {CREDENTIAL}")
}

pub fn submit(address: SocketAddr, body: &str) -> Answer {
    call(address, "POST", "/v1/jobs", &[("authorization", &authorization())], body.as_bytes())
}

/// Polls until the condition holds; panics with `what` after [`WAIT_LIMIT`].
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + WAIT_LIMIT;
    while !condition() {
        assert!(Instant::now() < end, "gave up waiting: {what}");
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// A latch: threads wait at it until it is opened, and never after that.
#[derive(Clone, Default)]
pub struct Gate(Arc<(Mutex<bool>, Condvar)>);

impl Gate {
    pub fn open(&self) {
        *self.0.0.lock().unwrap() = true;
        self.0.1.notify_all();
    }

    pub fn wait(&self) {
        let (open, changed) = &*self.0;
        let guard = open.lock().unwrap();
        let (guard, _) = changed.wait_timeout_while(guard, WAIT_LIMIT, |open| !*open).unwrap();
        assert!(*guard, "the gate was not opened");
    }
}

/// A fake platform whose table contains the settings of the fleet and of one team.
pub struct Platform {
    pub server: Server,
    state: Arc<Mutex<PlatformState>>,
}

#[derive(Default)]
struct PlatformState {
    instances: Vec<serde_json::Value>,
    rows: BTreeMap<String, (u64, Option<String>)>,
    fault: Option<Action>,
    transactions: usize,
    lost_replies: usize,
}

/// Starts a fake platform with the given targets on its list.
pub fn platform(targets: &[SocketAddr]) -> Platform {
    let state = Arc::new(Mutex::new(PlatformState::default()));
    {
        let mut state = state.lock().unwrap();
        state.instances = targets.iter().enumerate().map(|(i, a)| target_entry(i, *a)).collect();
        for (path, yaml) in [("/fleet", fleet_yaml()), ("/teams/halvern", team_yaml())] {
            state.rows.insert(format!("settings{path}"), (1, Some(revision(path, 1, &yaml))));
        }
    }
    let shared = state.clone();
    let server = Server::start(move |request, _| shared.lock().unwrap().handle(request));
    Platform { server, state }
}

impl Platform {
    /// Adds an entry instance to the list, or replaces the one of that name.
    pub fn list_entry(&self, name: &str, address: SocketAddr) {
        self.unlist(name);
        self.state.lock().unwrap().instances.push(serde_json::json!({
            "name": name, "role": "entry", "data_centre": "north",
            "address": address.to_string(), "mark": "live",
        }));
    }

    pub fn unlist(&self, name: &str) {
        self.state.lock().unwrap().instances.retain(|instance| instance["name"] != name);
    }

    /// Answers every call with the action; `None` restores normal service.
    pub fn set_fault(&self, fault: Option<Action>) {
        self.state.lock().unwrap().fault = fault;
    }

    /// Runs the next `count` transactions, but closes their connections without an answer.
    pub fn lose_replies(&self, count: usize) {
        self.state.lock().unwrap().lost_replies = count;
    }

    /// Writes a row directly, without an entry instance.
    pub fn write(&self, key: &str, value: Option<String>) {
        let mut state = self.state.lock().unwrap();
        let row = state.rows.entry(key.into()).or_default();
        *row = (row.0 + 1, value);
    }

    /// Removes a row together with its version, as if it had never existed.
    pub fn remove(&self, key: &str) {
        self.state.lock().unwrap().rows.remove(key);
    }

    pub fn row(&self, key: &str) -> Option<(u64, Option<String>)> {
        self.state.lock().unwrap().rows.get(key).cloned()
    }

    pub fn transactions(&self) -> usize {
        self.state.lock().unwrap().transactions
    }
}

impl PlatformState {
    fn handle(&mut self, request: &Request) -> Action {
        if request.method == "POST" {
            self.transactions += 1;
        }
        if let Some(fault) = &self.fault {
            return fault.clone();
        }
        let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
        let argument = query.split_once('=').map_or("", |(_, argument)| argument);
        let argument = argument.replace("%2F", "/");
        match path {
            "/v1/instances" => reply(
                200,
                &serde_json::json!({
                    "revision": 1, "instances": self.instances,
                }),
            ),
            "/v1/table/scan" => {
                let keys: Vec<_> = self.rows.keys().filter(|k| k.starts_with(&argument)).collect();
                let rows: Vec<_> = keys.into_iter().map(|key| self.json(key)).collect();
                reply(200, &serde_json::json!({"rows": rows}))
            }
            "/v1/table/row" => reply(200, &self.json(&argument)),
            "/v1/table/transact" => {
                let reply = self.transact(&request.body);
                if self.lost_replies > 0 {
                    self.lost_replies -= 1;
                    return Action::ReplyAndClose(Vec::new());
                }
                reply
            }
            _ => reply(404, &serde_json::json!({})),
        }
    }

    fn json(&self, key: &str) -> serde_json::Value {
        let (version, value) = self.rows.get(key).cloned().unwrap_or_default();
        serde_json::json!({"key": key, "version": version, "value": value})
    }

    fn transact(&mut self, body: &[u8]) -> Action {
        let body: serde_json::Value = serde_json::from_slice(body).unwrap();
        let failed: Vec<_> = body["conditions"]
            .as_array()
            .unwrap()
            .iter()
            .map(|condition| (condition["key"].as_str().unwrap(), condition["version"].as_u64()))
            .filter(|(key, version)| self.rows.get(*key).map_or(0, |row| row.0) != version.unwrap())
            .map(|(key, _)| self.json(key))
            .collect();
        if !failed.is_empty() {
            return reply(409, &serde_json::json!({"committed": false, "rows": failed}));
        }
        let mut rows = Vec::new();
        for write in body["writes"].as_array().unwrap() {
            let key = write["key"].as_str().unwrap();
            let row = self.rows.entry(key.into()).or_default();
            *row = (row.0 + 1, write["value"].as_str().map(String::from));
            rows.push(serde_json::json!({"key": key, "version": row.0}));
        }
        reply(200, &serde_json::json!({"committed": true, "rows": rows}))
    }
}

fn reply(status: u16, body: &serde_json::Value) -> Action {
    Action::Reply(response(status, &[], &body.to_string()))
}

fn target_entry(index: usize, address: SocketAddr) -> serde_json::Value {
    serde_json::json!({
        "name": format!("target-{index}"), "role": "target", "data_centre": "north",
        "address": address.to_string(), "mark": "live", "service": "enrolment",
        "worker": format!("worker-{index}"), "rack": "rack-0", "slots": 8, "connections": 64,
    })
}

/// Returns the value of the row of a settings subtree.
pub fn revision(path: &str, version: u64, yaml: &str) -> String {
    serde_json::json!({"path": path, "version": version, "changes": [], "yaml": yaml}).to_string()
}

pub fn fleet_yaml() -> String {
    format!("credential_sha256: {}\n", sha256_hex(FLEET_CREDENTIAL))
}

pub fn team_yaml() -> String {
    format!(
        "credential_sha256: {}\n\
         kinds:\n\
         \x20 seat-hold: {{service: enrolment, idempotent: true, max_answer_bytes: 1000}}\n\
         \x20 intake-confirmation: {{service: enrolment, idempotent: false}}\n",
        sha256_hex(CREDENTIAL)
    )
}

pub fn settings(platform: SocketAddr, extra: &str) -> Settings {
    let text = format!(
        "name: entry-1\ndata_centre: north\ncaller_address: 127.0.0.1:0\n\
         peer_address: 127.0.0.1:0\nplatform_address: {platform}\npoll_interval_ms: 10\n\
         stop: {{balancer_lag_ms: 0}}\n{extra}"
    );
    Settings::from_yaml("test.yaml", &text).unwrap()
}

pub fn logger() -> slog::Logger {
    slog::Logger::root(slog::Discard, slog::o!())
}

/// Starts a daemon and waits until it is ready.
pub fn start(platform: &Platform, extra: &str) -> Daemon {
    start_named("entry-1", platform, extra)
}

/// Starts a daemon with the given instance name and waits until it is ready.
pub fn start_named(name: &str, platform: &Platform, extra: &str) -> Daemon {
    let mut settings = settings(platform.server.address, extra);
    settings.name = name.parse().unwrap();
    let daemon = Daemon::start(&settings, &logger()).unwrap();
    let address = daemon.caller_address();
    wait_until("ready", || call(address, "GET", "/readyz", &[], &[]).status == 200);
    daemon
}

/// Returns the response of a target that ran the task.
pub fn success_response(request: &Request) -> Vec<u8> {
    let start = request.path.rsplit('/').next().unwrap();
    response(200, &[("x-start", start)], "{\"seat\":12}")
}

pub const ONE_TASK: &str =
    r#"{"timeout_ms": 60000, "tasks": [{"kind": "seat-hold", "payload": {"seat": 12}}]}"#;

/// Starts two instances, lists both and waits until the second reaches the first.
pub fn start_pair(platform: &Platform, extra: &str) -> (Daemon, Daemon) {
    let one = start_named("entry-1", platform, extra);
    let two = start_named("entry-2", platform, extra);
    platform.list_entry("entry-1", one.peer_address());
    platform.list_entry("entry-2", two.peer_address());
    wait_reachable(&two, "entry-1");
    (one, two)
}

pub fn peers(daemon: &Daemon) -> Vec<serde_json::Value> {
    let status = call(daemon.caller_address(), "GET", "/v1/status", &[], &[]).json();
    status["peers"].as_array().unwrap().clone()
}

pub fn wait_reachable(daemon: &Daemon, name: &str) {
    wait_until("the peer is reachable", || {
        peers(daemon).iter().any(|peer| peer["name"] == name && peer["reachable"] == true)
    });
}

/// Forwards all connections of a listener to an address. Does not return.
pub fn forward(listener: &TcpListener, to: SocketAddr) {
    for stream in listener.incoming() {
        let client = stream.unwrap();
        let upstream = TcpStream::connect(to).unwrap();
        for (mut from, mut to) in [
            (client.try_clone().unwrap(), upstream.try_clone().unwrap()),
            (upstream.try_clone().unwrap(), client.try_clone().unwrap()),
        ] {
            from.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
            std::thread::spawn(move || std::io::copy(&mut from, &mut to));
        }
    }
}
