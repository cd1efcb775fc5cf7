//! The platform's store: rows, a change feed and transactions, without any disruption.

use crate::http::{Reply, Request};
use crate::json::{self, Value};
use std::collections::BTreeMap;
use std::sync::{Condvar, Mutex};
use std::time::{Duration, Instant};

const MAX_ROWS: usize = 500;

#[derive(Default)]
struct State {
    version: u64,
    /// Content and version by table and key.
    rows: BTreeMap<(String, String), (String, u64)>,
    /// Versions of removed rows.
    removed: BTreeMap<(String, String), u64>,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    started: Instant,
}

impl Store {
    pub fn new() -> Self {
        Self { state: Mutex::default(), changed: Condvar::new(), started: Instant::now() }
    }

    /// Writes a row on behalf of the operator or of a worker.
    pub fn put(&self, table: &str, key: &str, content: &str) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let row = (json::base64(content.as_bytes()), state.version);
        state.removed.remove(&(table.into(), key.into()));
        state.rows.insert((table.into(), key.into()), row);
        self.changed.notify_all();
    }

    pub fn handle(&self, request: &Request) -> Reply {
        std::thread::sleep(Duration::from_millis(4));
        match request.path.as_str() {
            "/verbenapass/rows-get" => self.get(request),
            "/verbenapass/rows-feed" => self.feed(request),
            "/verbenapass/rows-tx" => self.transact(request),
            _ => Reply(400, "{}".into()),
        }
    }

    fn now_ms(&self) -> u128 {
        self.started.elapsed().as_millis()
    }

    fn get(&self, request: &Request) -> Reply {
        let parameter = |name| request.parameter(name).unwrap_or("").to_owned();
        let (table, from, target) = (parameter("table"), parameter("from"), parameter("target"));
        let limit = parameter("limit").parse().unwrap_or(MAX_ROWS).min(MAX_ROWS);
        let state = self.state.lock().unwrap();
        let mut rows = Vec::new();
        let mut has_more = false;
        for ((_, key), (value, version)) in
            state.rows.range((table.clone(), from)..).take_while(|((name, _), _)| *name == table)
        {
            if !target.is_empty() && *key >= target {
                break;
            }
            if rows.len() == limit {
                has_more = true;
                break;
            }
            rows.push(row(&table, key, value, *version));
        }
        Reply(
            200,
            format!(
                "{{\"rows\":[{}],\"hasMore\":{has_more},\"ver\":{},\"nowMs\":{}}}",
                rows.join(","),
                state.version,
                self.now_ms()
            ),
        )
    }

    fn feed(&self, request: &Request) -> Reply {
        let table = request.parameter("table").unwrap_or("").to_owned();
        let after = request.parameter("after").and_then(|v| v.parse().ok()).unwrap_or(0);
        let wait = request.parameter("waitMs").and_then(|v| v.parse().ok()).unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state.lock().unwrap();
        loop {
            let mut changes: Vec<(u64, String)> = Vec::new();
            for ((name, key), (value, version)) in &state.rows {
                if *name == table && *version > after {
                    changes.push((*version, row(&table, key, value, *version)));
                }
            }
            for ((name, key), version) in &state.removed {
                if *name == table && *version > after {
                    let key = json::quote(key);
                    let text = format!(
                        "{{\"table\":\"{table}\",\"part\":\"\",\"key\":{key},\"deleted\":true,\
                         \"ver\":{version}}}"
                    );
                    changes.push((*version, text));
                }
            }
            changes.sort();
            let left = until.saturating_duration_since(Instant::now());
            if changes.is_empty() && !left.is_zero() {
                state = self.changed.wait_timeout(state, left).unwrap().0;
                continue;
            }
            let is_cut = changes.len() > MAX_ROWS;
            changes.truncate(MAX_ROWS);
            let last = changes.last().map(|(version, _)| *version).filter(|_| is_cut);
            let rows: Vec<String> = changes.into_iter().map(|(_, row)| row).collect();
            let version = last.unwrap_or(state.version);
            return Reply(
                200,
                format!(
                    "{{\"rows\":[{}],\"ver\":{version},\"nowMs\":{}}}",
                    rows.join(","),
                    self.now_ms()
                ),
            );
        }
    }

    fn transact(&self, request: &Request) -> Reply {
        let Some(body) = json::parse(&request.body) else { return Reply(400, "{}".into()) };
        let mut state = self.state.lock().unwrap();
        let name = |row: &Value| {
            let part = |key| row.text(key).unwrap_or("").to_owned();
            (part("table"), part("key"))
        };
        for expected in body.list("expectRev") {
            let known = state.rows.get(&name(expected)).map_or(0, |(_, version)| *version);
            if known != expected.number("ver").unwrap_or(0) {
                return Reply(412, format!("{{\"rows\":[],\"ver\":{}}}", state.version));
            }
        }
        let all = body.list("writes").iter().chain(body.list("remove"));
        if all.clone().any(|row| matches!(row.text("table"), Some("op" | "servers"))) {
            return Reply(403, "{}".into());
        }
        state.version += 1;
        let version = state.version;
        for write in body.list("writes") {
            let value = write.text("value").unwrap_or("").to_owned();
            state.removed.remove(&name(write));
            state.rows.insert(name(write), (value, version));
        }
        for remove in body.list("remove") {
            if state.rows.remove(&name(remove)).is_some() {
                state.removed.insert(name(remove), version);
            }
        }
        self.changed.notify_all();
        Reply(200, format!("{{\"ver\":{version},\"nowMs\":{}}}", self.now_ms()))
    }
}

fn row(table: &str, key: &str, value: &str, version: u64) -> String {
    let key = json::quote(key);
    format!(
        "{{\"table\":\"{table}\",\"part\":\"\",\"key\":{key},\"value\":\"{value}\",\"ver\":{version}}}"
    )
}
