//! Client of the platform: its instance list and its table.

use crate::clock;
use crate::control::{Message, Sender};
use crate::meter;
use crate::peer;
use crate::trace::Tracer;
use crate::wire::{self, Connection};
use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use quick_error::quick_error;
use serde::de::DeserializeOwned;
use slog::{Logger, info, warn};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::time::{Instant, MissedTickBehavior, interval};
use verbenapass::claim::{self, Commit, Read};
use verbenapass::config::Plan;
use verbenapass::engine;
use verbenapass::id;
use verbenapass::time::Timestamp;
use verbenapass::unit::{Bytes as Capacity, Slots};
pub use verbenapass_proto::platform::Committed as Transacted;
use verbenapass_proto::platform::{
    Condition, Instance, List, Mark, Role, Row, Rows, Transaction, Write,
};

/// Calls that may be open at once; more wait.
const MAX_CALLS: usize = 8;
/// Largest answer, room for the list of 2,300 workers.
const MAX_ANSWER_BYTES: usize = 16 * 1_024 * 1_024;

quick_error! {
    /// Why a platform call failed.
    #[derive(Debug)]
    pub enum Error {
        /// The exchange failed.
        Wire(source: wire::Error) {
            display("platform: {}", source)
            source(source)
            from()
        }
        /// The request could not be formed.
        Form(source: http::Error) {
            display("platform: {}", source)
            source(source)
            from()
        }
        /// The status is not the expected one.
        Status(status: StatusCode) {
            display("platform: unexpected status {}", status)
        }
        /// The body has not the expected shape.
        Body(source: serde_json::Error) {
            display("platform: malformed body: {}", source)
            source(source)
            from()
        }
        /// The answer lacks a row, or the process is stopping.
        Missing {
            display("platform: no row in the answer")
        }
        /// Too many calls are open.
        Busy {
            display("platform: too many open calls")
        }
    }
}

/// The instance list in typed form.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listed {
    /// Rises with each change of the list.
    pub revision: u64,
    /// Targets.
    pub targets: Vec<engine::Target>,
    /// Connections that each target accepts, in the order of the targets.
    pub connections: Vec<u32>,
    /// Entry instances.
    pub entries: Vec<peer::Member>,
}

/// Client of the platform. Calls are bounded in number and time and are never repeated.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    timeout: Duration,
    permits: Semaphore,
    /// Permits of calls for claims, which a flood of other calls must not hold up.
    claim_permits: Semaphore,
    tracer: Tracer,
}

impl Client {
    /// Makes a client.
    pub fn new(address: SocketAddr, timeout: Duration, tracer: Tracer) -> Self {
        let (permits, claim_permits) = (Semaphore::new(MAX_CALLS), Semaphore::new(MAX_CALLS));
        Self { address, timeout, permits, claim_permits, tracer }
    }

    /// Reads the instance list, or nothing if it still has the known revision.
    pub async fn instances(&self, known: Option<u64>) -> Result<Option<List>, Error> {
        let path = match known {
            Some(revision) => format!("/v1/instances?known={revision}"),
            None => "/v1/instances".into(),
        };
        match self.get(&path).await {
            Ok(list) => Ok(Some(list)),
            Err(Error::Status(StatusCode::NOT_MODIFIED)) if known.is_some() => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Reads the rows whose keys start with `prefix`, which is not escaped.
    pub async fn scan(&self, prefix: &str) -> Result<Rows, Error> {
        self.get(&format!("/v1/table/scan?prefix={prefix}")).await
    }

    /// Runs a transaction of claims. Waits until the deadline at most.
    pub async fn commit(&self, transaction: claim::Transaction, deadline: Timestamp) -> Commit {
        let mut span = self.tracer.request("platform commit", None);
        let result =
            self.transact_with(&self.claim_permits, &wire_transaction(transaction), deadline).await;
        if let Err(error) = &result {
            meter::platform_error("commit");
            span.fail(error);
        }
        match result {
            Ok(Transacted { committed: true, rows }) => Commit::Committed(claim_rows(rows)),
            Ok(Transacted { committed: false, rows }) => Commit::Conflict(claim_rows(rows)),
            Err(error) if error.is_unsent() => Commit::Unavailable,
            Err(_) => Commit::Ambiguous,
        }
    }

    /// Reads rows of claims. Waits until the deadline at most.
    pub async fn read(&self, keys: &[String], deadline: Timestamp) -> Read {
        let mut span = self.tracer.request("platform read", None);
        match self.read_rows_with(&self.claim_permits, keys, deadline).await {
            Ok(rows) => Read::Rows(claim_rows(rows)),
            Err(error) => {
                meter::platform_error("read");
                span.fail(&error);
                Read::Unavailable
            }
        }
    }

    /// Reads rows one after the other. Waits until the deadline at most.
    pub async fn read_rows(&self, keys: &[String], deadline: Timestamp) -> Result<Vec<Row>, Error> {
        self.read_rows_with(&self.permits, keys, deadline).await
    }

    async fn read_rows_with(
        &self,
        permits: &Semaphore,
        keys: &[String],
        deadline: Timestamp,
    ) -> Result<Vec<Row>, Error> {
        let _permit = permits.try_acquire().map_err(|_| Error::Busy)?;
        let limit = clock::until(deadline).min(self.timeout);
        let mut connection = Connection::open(self.address, limit).await?;
        let mut rows = Vec::with_capacity(keys.len());
        for key in keys {
            let path = format!("/v1/table/row?key={key}");
            rows.push(self.get_on(&mut connection, &path, clock::until(deadline)).await?);
        }
        Ok(rows)
    }

    /// Runs a transaction. Waits until the deadline at most.
    pub async fn transact(
        &self,
        transaction: &Transaction,
        deadline: Timestamp,
    ) -> Result<Transacted, Error> {
        self.transact_with(&self.permits, transaction, deadline).await
    }

    async fn transact_with(
        &self,
        permits: &Semaphore,
        transaction: &Transaction,
        deadline: Timestamp,
    ) -> Result<Transacted, Error> {
        let _permit = permits.try_acquire().map_err(|_| Error::Busy)?;
        let body = serde_json::to_vec(transaction)?;
        let limit = clock::until(deadline);
        let deadline = Instant::now() + limit;
        let request = Request::post("/v1/table/transact")
            .header(http::header::HOST, self.address.to_string())
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))?;
        let mut connection = Connection::open(self.address, limit).await?;
        let response = connection.exchange(request, MAX_ANSWER_BYTES, deadline).await?;
        match response.status() {
            StatusCode::OK | StatusCode::CONFLICT => Ok(serde_json::from_slice(response.body())?),
            other => Err(Error::Status(other)),
        }
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        let _permit = self.permits.try_acquire().map_err(|_| Error::Busy)?;
        let mut connection = Connection::open(self.address, self.timeout).await?;
        self.get_on(&mut connection, path, self.timeout).await
    }

    async fn get_on<T: DeserializeOwned>(
        &self,
        connection: &mut Connection,
        path: &str,
        limit: Duration,
    ) -> Result<T, Error> {
        let request = Request::get(path)
            .header(http::header::HOST, self.address.to_string())
            .body(Full::default())?;
        let deadline = Instant::now() + limit;
        let response = connection.exchange(request, MAX_ANSWER_BYTES, deadline).await?;
        if response.status() != StatusCode::OK {
            return Err(Error::Status(response.status()));
        }
        Ok(serde_json::from_slice(response.body())?)
    }
}

impl Error {
    /// Tells whether the request was proven not to have been taken up.
    fn is_unsent(&self) -> bool {
        match self {
            Self::Wire(error) => matches!(error, wire::Error::Connect(..) | wire::Error::Unsent(_)),
            Self::Form(_) | Self::Busy => true,
            Self::Status(status) => *status == StatusCode::SERVICE_UNAVAILABLE,
            Self::Body(_) | Self::Missing => false,
        }
    }
}

fn wire_transaction(transaction: claim::Transaction) -> Transaction {
    let conditions = transaction.conditions.into_iter();
    let writes = transaction.writes.into_iter();
    Transaction {
        conditions: conditions
            .map(|condition| Condition { key: condition.key, version: condition.version.get() })
            .collect(),
        writes: writes.map(|write| Write { key: write.key, value: write.value }).collect(),
    }
}

/// Returns rows in the form of the library.
pub fn claim_rows(rows: Vec<Row>) -> Vec<claim::Row> {
    let row = |row: Row| claim::Row {
        key: row.key,
        version: id::Version::new(row.version),
        value: row.value,
    };
    rows.into_iter().map(row).collect()
}

/// Polls the instance list for as long as the control thread runs.
pub async fn poll(client: Arc<Client>, control: Sender, every: Duration, log: Logger) {
    let mut timer = interval(every);
    timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut is_reachable = true;
    let mut known = None;
    loop {
        timer.tick().await;
        let list = client.instances(known).await;
        meter::message(meter::Kind::List);
        if list.is_err() {
            meter::platform_error("list");
        }
        let error = list.as_ref().err();
        meter::platform_up(error.is_none());
        match error {
            Some(error) if is_reachable => {
                warn!(log, "platform: not reachable"; "error" => %error);
            }
            None if !is_reachable => info!(log, "platform: reachable again"),
            _ => {}
        }
        is_reachable = error.is_none();
        let message = match list {
            Ok(Some(list)) => {
                known = Some(list.revision);
                Message::Listed(Box::new(listed(&list, &log)))
            }
            Ok(None) => Message::ListUnchanged,
            Err(_) => continue,
        };
        if control.send(message).is_err() {
            return;
        }
    }
}

fn listed(list: &List, log: &Logger) -> Listed {
    let mut listed = Listed { revision: list.revision, ..Listed::default() };
    for instance in &list.instances {
        let known = match instance.role {
            Role::Target => target(instance).map(|target| {
                listed.connections.push(instance.connections);
                listed.targets.push(target);
            }),
            Role::Entry => entry(instance).map(|entry| listed.entries.push(entry)),
        };
        if known.is_none() {
            warn!(log, "platform: invalid instance on the list"; "name" => &instance.name);
        }
    }
    listed
}

fn entry(instance: &Instance) -> Option<peer::Member> {
    Some(peer::Member {
        name: instance.name.parse().ok()?,
        data_centre: instance.data_centre.parse().ok()?,
        address: instance.address.parse().ok()?,
        leaving: instance.mark == Mark::Leaving,
    })
}

fn target(instance: &Instance) -> Option<engine::Target> {
    Some(engine::Target {
        id: instance.name.parse().ok()?,
        service: instance.service.parse().ok()?,
        data_centre: instance.data_centre.parse().ok()?,
        worker: instance.worker.parse().ok()?,
        rack: instance.rack.parse().ok()?,
        address: instance.address.parse().ok()?,
        slots: Slots::new(instance.slots),
        memory: Capacity::new(instance.memory_bytes),
        accelerators: instance.accelerators,
        leaving: instance.mark == Mark::Leaving,
    })
}

/// Returns the transaction that stores a change of settings.
pub fn settings_transaction(plan: &Plan) -> Transaction {
    let conditions = plan.conditions.iter();
    let writes = plan.writes.iter();
    Transaction {
        conditions: conditions
            .map(|condition| Condition {
                key: condition.key.clone(),
                version: condition.version.get(),
            })
            .collect(),
        writes: writes
            .map(|write| Write { key: write.key.clone(), value: Some(write.value.clone()) })
            .collect(),
    }
}

/// Returns the prefix of the keys of a team's claims.
pub fn claim_prefix(team: &id::Team) -> String {
    format!("claims/{team}/")
}
