//! Stand-in for the platform: table, objects and instance list.
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
    /// New mark of the instance.
    pub mark: Mark,
}

/// Answer of `GET /v1/counts`: counts of requests on all listeners since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Counts {
    /// Transactions, committed or not.
    pub transactions: u64,
    /// Rows written by committed transactions.
    pub writes: u64,
    /// Reads of single rows, and scans; each counts as one.
    pub reads: u64,
    /// Reads of the instance list, also those answered with status 304, or 503 by
    /// `list_unavailable`.
    pub lists: u64,
    /// Requests to read or write an object.
    pub objects: u64,
}

#[derive(Debug, Default)]
struct State {
    table: Table,
    objects: BTreeMap<String, Bytes>,
    list: List,
    frozen_list: Option<List>,
    switches: switch::Platform,
    counts: Counts,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    write_permits: Semaphore,
    sync_duration: Duration,
    listener_states: Vec<(String, watch::Sender<ListenerState>)>,
}

/// Running platform. Dropping it stops it at once, without finishing open requests.
#[derive(Debug)]
pub struct Server {
    shared: Arc<Shared>,
    control_state: watch::Sender<ListenerState>,
    tasks: JoinSet<io::Result<()>>,
    control: SocketAddr,
    addresses: Vec<SocketAddr>,
}

impl Server {
    /// Binds all addresses and serves them on the current runtime. Fails if an address can't be bound.
    pub async fn start(settings: settings::Platform) -> io::Result<Self> {
        let mut table = Table::default();
        for (key, value) in settings.rows {
            let write = verbenapass_proto::platform::Write { key, value: Some(value) };
            table.transact(Transaction { conditions: Vec::new(), writes: vec![write] });
        }
        let list = List { revision: 1, instances: settings.instances };
        let listener_states = settings
            .listeners
            .iter()
            .map(|listener| (listener.name.clone(), watch::Sender::new(ListenerState::Open)));
        let shared = Arc::new(Shared {
            state: Mutex::new(State { table, list, ..State::default() }),
            write_permits: Semaphore::new(settings.parallel_writes as usize),
            sync_duration: Duration::from_millis(settings.sync_ms),
            listener_states: listener_states.collect(),
        });
        let mut tasks = JoinSet::new();
        let mut addresses = Vec::new();
        for (listener, (_, state_sender)) in settings.listeners.iter().zip(&shared.listener_states)
        {
            let bound = http::bind(&listener.name, listener.address).await?;
            addresses.push(bound.local_addr()?);
            let handler = handler(shared.clone(), serve_request);
            tasks.spawn(http::serve(bound, state_sender.subscribe(), Arc::default(), handler));
        }
        let bound = http::bind("control", settings.control).await?;
        let control = bound.local_addr()?;
        let control_state = watch::Sender::new(ListenerState::Open);
        let next_number = Arc::new(AtomicU64::new(0));
        tasks.spawn(http::serve(
            bound,
            control_state.subscribe(),
            next_number,
            handler(shared.clone(), serve_control),
        ));
        Ok(Self { shared, control_state, tasks, control, addresses })
    }

    /// Returns the control address with the port that was bound.
    pub const fn control(&self) -> SocketAddr {
        self.control
    }

    /// Returns the bound addresses of the listeners in the order of the settings.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Replaces all fault switches.
    pub fn set_switches(&self, switches: switch::Platform) {
        self.shared.set_switches(switches);
    }

    /// Finishes open requests, for at most 20 s, and stops.
    pub async fn stop(mut self) {
        for (_, state_sender) in &self.shared.listener_states {
            state_sender.send_replace(ListenerState::Stopped);
        }
        self.control_state.send_replace(ListenerState::Stopped);
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
        match (switches.freeze_list, &state.frozen_list) {
            (true, None) => state.frozen_list = Some(state.list.clone()),
            (true, Some(_)) => {}
            (false, _) => state.frozen_list = None,
        }
        for (name, state_sender) in &self.listener_states {
            let closed = switches.outage == switch::Outage::Refuse || switches.cut.contains(name);
            state_sender.send_replace(if closed {
                ListenerState::Closed
            } else {
                ListenerState::Open
            });
        }
        state.switches = switches;
    }
}

async fn serve_request(
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
                let list = state.frozen_list.as_ref().unwrap_or(&state.list);
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
            Some(name) => serve_object(shared, method, name.to_owned(), request, &connection).await,
            None => http::empty(404),
        },
    };
    Ok(response)
}

/// Waits for a write permit and then for the simulated duration of a sync to disk.
async fn simulate_sync(shared: &Shared) {
    let Ok(_permit) = shared.write_permits.acquire().await else { return };
    tokio::time::sleep(shared.sync_duration).await;
}

async fn transact(
    shared: Arc<Shared>,
    transaction: Transaction,
    connection: &Connection,
) -> Response {
    let next_ending = connection.next_ending.clone();
    // The write runs in its own task, so it takes effect even if the client disconnects.
    let commit_task = tokio::spawn(async move {
        simulate_sync(&shared).await;
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
    commit_task.await.unwrap_or_else(|_| http::empty(500))
}

async fn serve_object(
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
                simulate_sync(&shared).await;
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

async fn serve_control(
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
            update_instance(&shared, name, |_| Some(instance));
            http::empty(204)
        }),
        (Method::DELETE, ["v1", "instances", name]) => {
            update_instance(&shared, name, |_| None);
            Ok(http::empty(204))
        }
        (Method::PUT, ["v1", "instances", name, "mark"]) => {
            http::read(request).await.map(|change: MarkChange| {
                let found = update_instance(&shared, name, |instance| {
                    instance.map(|instance| Instance { mark: change.mark, ..instance })
                });
                http::empty(if found { 204 } else { 404 })
            })
        }
        _ => Ok(http::empty(404)),
    };
    Ok(result.unwrap_or_else(|response| *response))
}

/// Replaces an instance on the list by the result of `change`, where `None` means that it is not on
/// the list. Returns whether it was on the list before.
fn update_instance(
    shared: &Shared,
    name: &str,
    change: impl FnOnce(Option<Instance>) -> Option<Instance>,
) -> bool {
    let mut state = shared.state();
    let index = state.list.instances.iter().position(|instance| instance.name == name);
    let before = index.map(|index| state.list.instances[index].clone());
    let found = before.is_some();
    match (index, change(before)) {
        (Some(index), Some(after)) => state.list.instances[index] = after,
        (Some(index), None) => {
            state.list.instances.remove(index);
        }
        (None, Some(after)) => state.list.instances.push(after),
        (None, None) => {}
    }
    state.list.revision += 1;
    found
}
