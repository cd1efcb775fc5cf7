//! The platform: table, objects and instance list.
//!
//! The platform protocol is served on each listener. The control address serves
//! `GET|PUT /v1/switches` with [`switch::Platform`], `PUT|DELETE /v1/instances/{name}` with
//! [`Instance`], `PUT /v1/instances/{name}/mark` with [`Mark`] and `GET /v1/counts` with [`Counts`].

use crate::http::{self, Connection, Dropped, ListenerState, Request, Response};
use crate::settings;
use crate::store::Table;
use crate::switch;
use crate::wire::Ending;
use ::http::Method;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::{Semaphore, watch};
use tokio::task::JoinSet;
use verbenapass_proto::platform::{
    Instance, List, ListQuery, Mark, RowQuery, Rows, ScanQuery, Transaction,
};

/// Body of `PUT /v1/instances/{name}/mark`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct MarkChange {
    /// The new mark.
    pub mark: Mark,
}

/// Counts of requests, as answered by `GET /v1/counts`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Counts {
    /// Transactions.
    pub transactions: u64,
    /// Writes within transactions that took effect.
    pub writes: u64,
    /// Reads of rows and scans.
    pub reads: u64,
    /// Reads of the instance list.
    pub lists: u64,
    /// Reads and writes of objects.
    pub objects: u64,
}

#[derive(Debug, Default)]
struct State {
    table: Table,
    objects: BTreeMap<String, Bytes>,
    list: List,
    frozen: Option<List>,
    switches: switch::Platform,
    counts: Counts,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    writers: Semaphore,
    sync: Duration,
    gates: Vec<(String, watch::Sender<ListenerState>)>,
}

/// A running platform. It stops at once when dropped.
#[derive(Debug)]
pub struct Server {
    shared: Arc<Shared>,
    stop: watch::Sender<ListenerState>,
    tasks: JoinSet<io::Result<()>>,
    control: SocketAddr,
    addresses: Vec<SocketAddr>,
}

impl Server {
    /// Binds all addresses and serves them on the current runtime.
    pub async fn start(settings: settings::Platform) -> io::Result<Self> {
        let mut table = Table::default();
        for (key, value) in settings.rows {
            let write = verbenapass_proto::platform::Write { key, value: Some(value) };
            table.transact(Transaction { conditions: Vec::new(), writes: vec![write] });
        }
        let list = List { revision: 1, instances: settings.instances };
        let gates = settings
            .listeners
            .iter()
            .map(|listener| (listener.name.clone(), watch::Sender::new(ListenerState::Open)));
        let shared = Arc::new(Shared {
            state: Mutex::new(State { table, list, ..State::default() }),
            writers: Semaphore::new(settings.parallel_writes as usize),
            sync: Duration::from_millis(settings.sync_ms),
            gates: gates.collect(),
        });
        let mut tasks = JoinSet::new();
        let mut addresses = Vec::new();
        for (listener, (_, gate)) in settings.listeners.iter().zip(&shared.gates) {
            let bound = http::bind(&listener.name, listener.address).await?;
            addresses.push(bound.local_addr()?);
            let handler = handler(shared.clone(), serve);
            tasks.spawn(http::serve(bound, gate.subscribe(), Arc::default(), handler));
        }
        let bound = http::bind("control", settings.control).await?;
        let control = bound.local_addr()?;
        let stop = watch::Sender::new(ListenerState::Open);
        let numbers = Arc::new(AtomicU64::new(0));
        tasks.spawn(http::serve(
            bound,
            stop.subscribe(),
            numbers,
            handler(shared.clone(), command),
        ));
        Ok(Self { shared, stop, tasks, control, addresses })
    }

    /// Returns the control address.
    pub const fn control(&self) -> SocketAddr {
        self.control
    }

    /// Returns the addresses of the listeners in the order of the settings.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Sets all switches.
    pub fn set_switches(&self, switches: switch::Platform) {
        self.shared.set_switches(switches);
    }

    /// Finishes open requests and stops.
    pub async fn stop(mut self) {
        for (_, gate) in &self.shared.gates {
            gate.send_replace(ListenerState::Stopped);
        }
        self.stop.send_replace(ListenerState::Stopped);
        while self.tasks.join_next().await.is_some() {}
    }
}

fn handler<F>(
    shared: Arc<Shared>,
    serve: fn(Arc<Shared>, Request, Connection) -> F,
) -> impl Fn(Request, Connection) -> F + Clone + Send + 'static
where
    F: Future<Output = Result<Response, Dropped>> + Send + 'static,
{
    move |request, connection| serve(shared.clone(), request, connection)
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn set_switches(&self, switches: switch::Platform) {
        let mut state = self.state();
        match (switches.freeze_list, &state.frozen) {
            (true, None) => state.frozen = Some(state.list.clone()),
            (true, Some(_)) => {}
            (false, _) => state.frozen = None,
        }
        for (name, gate) in &self.gates {
            let closed = switches.outage == switch::Outage::Refuse || switches.cut.contains(name);
            gate.send_replace(if closed { ListenerState::Closed } else { ListenerState::Open });
        }
        state.switches = switches;
    }
}

async fn serve(
    shared: Arc<Shared>,
    request: Request,
    connection: Connection,
) -> Result<Response, Dropped> {
    let switches = shared.state().switches.clone();
    if switches.hang {
        return std::future::pending().await;
    }
    if switches.delay_ms > 0 {
        tokio::time::sleep(Duration::from_millis(switches.delay_ms)).await;
    }
    if switches.outage == switch::Outage::Unavailable {
        return Ok(http::empty(503));
    }
    let path = request.uri().path().to_owned();
    let response = match (request.method().clone(), path.as_str()) {
        (Method::POST, "/v1/table/transact") => match http::read(request).await {
            Ok(transaction) => transact(shared, transaction, &connection).await,
            Err(response) => *response,
        },
        (Method::GET, "/v1/table/row") => {
            shared.state().counts.reads += 1;
            http::query(&request).map_or_else(
                |response| *response,
                |query: RowQuery| http::json(200, &shared.state().table.row(&query.key)),
            )
        }
        (Method::GET, "/v1/table/scan") => {
            shared.state().counts.reads += 1;
            http::query(&request).map_or_else(
                |response| *response,
                |query: ScanQuery| {
                    let rows = shared.state().table.scan(&query.prefix);
                    http::json(200, &Rows { rows })
                },
            )
        }
        (Method::GET, "/v1/instances") => {
            let mut state = shared.state();
            state.counts.lists += 1;
            if state.switches.list_unavailable {
                http::empty(503)
            } else {
                let list = state.frozen.as_ref().unwrap_or(&state.list);
                http::query(&request).map_or_else(
                    |response| *response,
                    |query: ListQuery| match query.known {
                        Some(known) if known == list.revision => http::empty(304),
                        _ => http::json(200, list),
                    },
                )
            }
        }
        (method, path) => match path.strip_prefix("/v1/objects/") {
            Some(name) => object(shared, method, name.to_owned(), request, &connection).await,
            None => http::empty(404),
        },
    };
    Ok(response)
}

/// Makes the sync take its time, whether or not the client stays.
async fn sync(shared: &Shared) {
    let Ok(_permit) = shared.writers.acquire().await else { return };
    tokio::time::sleep(shared.sync).await;
}

async fn transact(
    shared: Arc<Shared>,
    transaction: Transaction,
    connection: &Connection,
) -> Response {
    let next_ending = connection.next_ending.clone();
    // A write in progress takes effect even if its client is gone, so it runs in its own task.
    let written = tokio::spawn(async move {
        sync(&shared).await;
        let mut state = shared.state();
        let writes = transaction.writes.len() as u64;
        let committed = state.table.transact(transaction);
        state.counts.transactions += 1;
        if committed.committed {
            state.counts.writes += writes;
        }
        if committed.committed && state.switches.lose_replies > 0 {
            state.switches.lose_replies -= 1;
            next_ending.set(Ending::Reset);
        }
        http::json(if committed.committed { 200 } else { 409 }, &committed)
    });
    written.await.unwrap_or_else(|_| http::empty(500))
}

async fn object(
    shared: Arc<Shared>,
    method: Method,
    name: String,
    request: Request,
    connection: &Connection,
) -> Response {
    shared.state().counts.objects += 1;
    match method {
        Method::GET => {
            let object = shared.state().objects.get(&name).cloned();
            object.map_or_else(
                || http::empty(404),
                |bytes| {
                    let mut response = http::empty(200);
                    *response.body_mut() = bytes.into();
                    response
                },
            )
        }
        Method::PUT => match http::body(request).await {
            Ok(bytes) => {
                sync(&shared).await;
                let mut state = shared.state();
                state.objects.insert(name, bytes);
                if state.switches.lose_replies > 0 {
                    state.switches.lose_replies -= 1;
                    connection.next_ending.set(Ending::Reset);
                }
                http::empty(204)
            }
            Err(response) => *response,
        },
        _ => http::empty(405),
    }
}

async fn command(
    shared: Arc<Shared>,
    request: Request,
    _connection: Connection,
) -> Result<Response, Dropped> {
    let path = request.uri().path().to_owned();
    let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
    let result = match (request.method().clone(), parts.as_slice()) {
        (Method::GET, ["healthz"]) => Ok(http::empty(200)),
        (Method::GET, ["v1", "switches"]) => Ok(http::json(200, &shared.state().switches)),
        (Method::GET, ["v1", "counts"]) => Ok(http::json(200, &shared.state().counts)),
        (Method::PUT, ["v1", "switches"]) => http::read(request).await.map(|switches| {
            shared.set_switches(switches);
            http::empty(204)
        }),
        (Method::PUT, ["v1", "instances", name]) => http::read(request).await.map(|instance| {
            edit(&shared, name, |_| Some(instance));
            http::empty(204)
        }),
        (Method::DELETE, ["v1", "instances", name]) => {
            edit(&shared, name, |_| None);
            Ok(http::empty(204))
        }
        (Method::PUT, ["v1", "instances", name, "mark"]) => {
            http::read(request).await.map(|change: MarkChange| {
                let found = edit(&shared, name, |instance| {
                    instance.map(|instance| Instance { mark: change.mark, ..instance })
                });
                http::empty(if found { 204 } else { 404 })
            })
        }
        _ => Ok(http::empty(404)),
    };
    Ok(result.unwrap_or_else(|response| *response))
}

/// Replaces one entry of the list and tells whether it was there before.
fn edit(
    shared: &Shared,
    name: &str,
    change: impl FnOnce(Option<Instance>) -> Option<Instance>,
) -> bool {
    let mut state = shared.state();
    let at = state.list.instances.iter().position(|instance| instance.name == name);
    let before = at.map(|at| state.list.instances[at].clone());
    let found = before.is_some();
    match (at, change(before)) {
        (Some(at), Some(after)) => state.list.instances[at] = after,
        (Some(at), None) => {
            state.list.instances.remove(at);
        }
        (None, Some(after)) => state.list.instances.push(after),
        (None, None) => {}
    }
    state.list.revision += 1;
    found
}
