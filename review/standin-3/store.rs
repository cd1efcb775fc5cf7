//! Stand-in for the platform's metadata store: rows, transactions and the feed of changes.

use crate::http::{self, Reply, Request};
use crate::json::Value;
use std::collections::BTreeMap;
use std::net::TcpListener;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Time that an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Most rows in one answer.
const MAX_ROWS: usize = 500;

/// Table, part and key.
type Name = (String, String, String);

#[derive(Debug, Default)]
struct State {
    /// Value in base64 and version; `None` as the value of a dropped row.
    rows: BTreeMap<Name, (Option<String>, u64)>,
    version: u64,
}

/// The store; clones share its rows.
#[derive(Clone, Debug)]
pub struct Store(Arc<Mutex<State>>, Instant);

impl Store {
    pub fn new() -> Self {
        Self(Arc::default(), Instant::now())
    }

    /// Serves the store's interface on a listener.
    pub fn serve(&self, listener: TcpListener) {
        let store = self.clone();
        http::serve(listener, move |request| {
            std::thread::sleep(ANSWER_TIME);
            store.handle(&request)
        });
    }

    /// Writes a row of the operator or of a worker.
    pub fn put(&self, table: &str, key: &str, value: &Value) {
        let value = base64(value.to_string().as_bytes());
        self.lock().put((table.into(), String::new(), key.into()), Some(value));
    }

    fn handle(&self, request: &Request) -> Reply {
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/verbenapass/rows-get") => self.read(request),
            ("GET", "/verbenapass/rows-feed") => self.changes(request),
            ("POST", "/verbenapass/rows-tx") => self.transact(&request.body),
            _ => Reply::Answer(404, String::new()),
        }
    }

    fn read(&self, request: &Request) -> Reply {
        let text = |name: &str| request.parameter(name).unwrap_or_default();
        let (table, part, from, end) = (text("table"), text("part"), text("from"), text("target"));
        let limit = text("limit").parse().unwrap_or(MAX_ROWS).min(MAX_ROWS);
        let state = self.lock();
        let is_in = |(found, in_part, key): &Name| {
            *found == table && *in_part == part && *key >= from && (end.is_empty() || *key < end)
        };
        let found = state.rows.iter().filter(|(name, (value, _))| is_in(name) && value.is_some());
        let mut rows: Vec<Value> = found.map(|(name, row)| encode(name, row)).collect();
        let has_more = rows.len() > limit;
        rows.truncate(limit);
        self.answer(state.version, rows, has_more)
    }

    fn changes(&self, request: &Request) -> Reply {
        let number = |name: &str| request.parameter(name).and_then(|text| text.parse().ok());
        let table = request.parameter("table").unwrap_or_default();
        let after: u64 = number("after").unwrap_or_default();
        let until = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or_default());
        loop {
            let state = self.lock();
            let newer = |((found, ..), (_, ver)): &(&Name, &(Option<String>, u64))| {
                *found == table && *ver > after
            };
            let mut changed: Vec<_> = state.rows.iter().filter(newer).collect();
            if !changed.is_empty() || Instant::now() >= until {
                changed.sort_by_key(|(_, (_, ver))| *ver);
                let is_cut = changed.len() > MAX_ROWS;
                changed.truncate(MAX_ROWS);
                let last = changed.last().map(|(_, (_, ver))| *ver).filter(|_| is_cut);
                let rows = changed.into_iter().map(|(name, row)| encode(name, row)).collect();
                return self.answer(last.unwrap_or(state.version), rows, is_cut);
            }
            drop(state);
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    fn transact(&self, body: &str) -> Reply {
        let Some(body) = Value::parse(body) else { return Reply::Answer(400, String::new()) };
        let entries = |name: &str| body.get(name).map(Value::as_array).unwrap_or_default();
        let name = |row: &Value| (row.str_of("table"), row.str_of("part"), row.str_of("key"));
        let mut state = self.lock();
        for row in entries("writes").iter().chain(entries("remove")) {
            if matches!(row.str_of("table").as_str(), "op" | "servers") {
                return Reply::Answer(403, String::new());
            }
        }
        let expected = entries("expectRev");
        let present = |row: &Value| {
            state.rows.get(&name(row)).map_or(
                0,
                |(value, ver)| {
                    if value.is_some() { *ver } else { 0 }
                },
            )
        };
        if expected.iter().any(|row| present(row) != row.u64_of("ver")) {
            let rows = expected.iter().filter_map(|row| state.rows.get_key_value(&name(row)));
            let rows = rows.map(|(name, row)| encode(name, row)).collect();
            let Reply::Answer(_, body) = self.answer(state.version, rows, false) else {
                return Reply::Answer(412, String::new());
            };
            return Reply::Answer(412, body);
        }
        for row in entries("writes") {
            state.put(name(row), Some(row.str_of("value")));
        }
        for row in entries("remove") {
            state.put(name(row), None);
        }
        self.answer(state.version, Vec::new(), false)
    }

    fn answer(&self, version: u64, rows: Vec<Value>, has_more: bool) -> Reply {
        let mut members = vec![
            ("rows".to_owned(), Value::Array(rows)),
            ("ver".to_owned(), version.into()),
            ("nowMs".to_owned(), (self.1.elapsed().as_millis() as u64).into()),
        ];
        if has_more {
            members.push(("hasMore".to_owned(), true.into()));
        }
        Reply::Answer(200, Value::Object(members).to_string())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn put(&mut self, name: Name, value: Option<String>) {
        self.version += 1;
        self.rows.insert(name, (value, self.version));
    }
}

fn encode((table, part, key): &Name, (value, ver): &(Option<String>, u64)) -> Value {
    let mut members = vec![
        ("table".to_owned(), Value::text(table)),
        ("part".to_owned(), Value::text(part)),
        ("key".to_owned(), Value::text(key)),
        ("ver".to_owned(), (*ver).into()),
    ];
    members.push(match value {
        Some(value) => ("value".to_owned(), Value::text(value)),
        None => ("deleted".to_owned(), true.into()),
    });
    Value::Object(members)
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let bits = chunk.iter().fold(0, |bits, byte| bits << 8 | u32::from(*byte));
        let bits = bits << (8 * (3 - chunk.len()));
        for digit in 0..4 {
            match digit <= chunk.len() {
                true => text.push(char::from(DIGITS[(bits >> (18 - 6 * digit) & 63) as usize])),
                false => text.push('='),
            }
        }
    }
    text
}
