//! Stand-in for the platform's store: rows, ranges, changes and transactions.

use crate::http::{self, Message, Reply, parameter};
use crate::json::{self, Json, base64, base64_decode};
use crate::network::Network;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Time that an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Default)]
struct State {
    /// Values in base64 and versions by table and key. A removed row has no value.
    rows: BTreeMap<(String, String), (Option<String>, u64)>,
    version: u64,
}

#[derive(Clone, Default)]
pub struct Store {
    state: Arc<Mutex<State>>,
    pub network: Network,
}

impl Store {
    /// Opens the store for readers in a zone and returns its address. The rows of instances and
    /// workers have the addresses that this zone uses.
    pub fn listen(&self, zone: &str) -> SocketAddr {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let (store, zone) = (self.clone(), zone.to_owned());
        http::serve(listener, move |request| store.handle(request, &zone));
        address
    }

    /// Writes a row, or removes it.
    pub fn put(&self, table: &str, key: &str, value: Option<&Json>) {
        self.lock().put(table, key, value.map(|value| base64(value.to_string().as_bytes())));
    }

    fn handle(&self, request: &Message, zone: &str) -> Reply {
        std::thread::sleep(ANSWER_TIME);
        let (_, path, query) = request.target();
        match path {
            "/verbenapass/rows-get" => self.get(query, zone),
            "/verbenapass/rows-feed" => self.feed(query, zone),
            "/verbenapass/rows-tx" => self.transact(&request.body),
            _ => Reply::Answer(404, String::new()),
        }
    }

    fn get(&self, query: &str, zone: &str) -> Reply {
        let text = |name| parameter(query, name).unwrap_or_default();
        let (table, from, end) = (text("table"), text("from"), parameter(query, "target"));
        let limit = text("limit").parse().unwrap_or(500_usize).min(500);
        let state = self.lock();
        let mut rows: Vec<Json> = state
            .rows
            .range((table.clone(), from)..)
            .take_while(|((name, key), _)| {
                *name == table && end.as_ref().is_none_or(|end| key < end)
            })
            .filter(|(_, (value, _))| value.is_some())
            .take(limit + 1)
            .map(|(name, row)| self.encode(name, row, zone))
            .collect();
        let has_more = rows.len() > limit;
        rows.truncate(limit);
        answer(200, rows, Some(has_more), state.version)
    }

    fn feed(&self, query: &str, zone: &str) -> Reply {
        let table = parameter(query, "table").unwrap_or_default();
        let after: u64 = parameter(query, "after").and_then(|text| text.parse().ok()).unwrap_or(0);
        let state = self.lock();
        let mut changed: Vec<_> = state
            .rows
            .iter()
            .filter(|((name, _), (_, version))| *name == table && *version > after)
            .collect();
        changed.sort_by_key(|(_, (_, version))| *version);
        let rows = changed.into_iter().map(|(name, row)| self.encode(name, row, zone)).collect();
        answer(200, rows, None, state.version)
    }

    fn transact(&self, body: &str) -> Reply {
        let Some(body) = Json::parse(body) else { return Reply::Answer(400, String::new()) };
        let mut state = self.lock();
        for row in body.get("writes").list() {
            let value = row.get("value").text().to_owned();
            state.put(row.get("table").text(), row.get("key").text(), Some(value));
        }
        for row in body.get("remove").list() {
            state.put(row.get("table").text(), row.get("key").text(), None);
        }
        answer(200, Vec::new(), None, state.version)
    }

    fn encode(
        &self,
        (table, key): &(String, String),
        (value, version): &(Option<String>, u64),
        zone: &str,
    ) -> Json {
        let content = match value {
            Some(value) => ("value", json::text(self.translate(key, value, zone))),
            None => ("deleted", Json::Bool(true)),
        };
        json::table([
            ("table", json::text(table)),
            ("part", json::text("")),
            ("key", json::text(key)),
            ("ver", Json::Number(*version)),
            content,
        ])
    }

    fn translate(&self, key: &str, value: &str, zone: &str) -> String {
        let Some(mut row) = Json::parse(&base64_decode(value)) else { return value.to_owned() };
        self.network.translate_row(zone, key, &mut row);
        base64(row.to_string().as_bytes())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn put(&mut self, table: &str, key: &str, value: Option<String>) {
        self.version += 1;
        self.rows.insert((table.to_owned(), key.to_owned()), (value, self.version));
    }
}

fn answer(status: u16, rows: Vec<Json>, has_more: Option<bool>, version: u64) -> Reply {
    let now_ms = crate::record::now().as_millis() as u64;
    let mut body = json::table([
        ("rows", Json::List(rows)),
        ("ver", Json::Number(version)),
        ("nowMs", Json::Number(now_ms)),
    ]);
    if let (Json::Table(members), Some(has_more)) = (&mut body, has_more) {
        members.insert("hasMore".into(), Json::Bool(has_more));
    }
    Reply::Answer(status, body.to_string())
}
