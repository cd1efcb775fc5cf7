//! Client of the platform: reads its instance list, and reads and writes its table.

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
pub use verbenapass_proto::platform::Committed as TransactionResult;
use verbenapass_proto::platform::{
    Condition, Instance, List, Mark, Role, Row, Rows, Transaction, Write,
};

/// Limit on the open calls about claims, and separately on all other open calls. Further calls fail.
const MAX_OPEN_CALLS: usize = 8;
/// Largest response body that is accepted; enough for the list of 2,300 workers.
const MAX_ANSWER_BYTES: usize = 16 * 1_024 * 1_024;

quick_error! {
    /// Why a platform call failed.
    #[derive(Debug)]
    pub enum Error {
        /// The HTTP exchange failed.
        Wire(source: wire::Error) {
            display("platform: {}", source)
            source(source)
            from()
        }
        /// The HTTP request could not be built.
        Request(source: http::Error) {
            display("platform: {}", source)
            source(source)
            from()
        }
        /// The response has an unexpected status.
        Status(status: StatusCode) {
            display("platform: unexpected status {}", status)
        }
        /// The response body is malformed.
        Body(source: serde_json::Error) {
            display("platform: malformed body: {}", source)
            source(source)
            from()
        }
        /// The response contains no row, or the process is stopping.
        Missing {
            display("platform: no row in the answer")
        }
        /// Too many calls of this group are open; the request was not sent.
        Busy {
            display("platform: too many open calls")
        }
    }
}

/// The parsed instance list; invalid instances are left out.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct InstanceList {
    /// Revision of the list; increases with each change.
    pub revision: u64,
    /// Targets, in the order of the list.
    pub targets: Vec<engine::Target>,
    /// Number of connections that each target accepts, in the order of `targets`.
    pub connections: Vec<u32>,
    /// Entry instances, including this one.
    pub entries: Vec<peer::Member>,
}

/// Client of the platform. The number of open calls and the time of each are limited. It never
/// retries a call.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    timeout: Duration,
    permits: Semaphore,
    /// Separate permits for calls about claims, so that many other calls do not block them.
    claim_permits: Semaphore,
    tracer: Tracer,
}

impl Client {
    /// Creates a client; nothing is connected yet. `timeout` limits the calls that have no deadline.
    pub fn new(address: SocketAddr, timeout: Duration, tracer: Tracer) -> Self {
        let (permits, claim_permits) =
            (Semaphore::new(MAX_OPEN_CALLS), Semaphore::new(MAX_OPEN_CALLS));
        Self { address, timeout, permits, claim_permits, tracer }
    }

    /// Reads the instance list. Returns `None` if it still has the revision `known`.
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

    /// Reads the rows whose keys start with `prefix`, which must need no escaping in a URL query.
    pub async fn scan(&self, prefix: &str) -> Result<Rows, Error> {
        self.get(&format!("/v1/table/scan?prefix={prefix}")).await
    }

    /// Sends a transaction on claims and waits until the deadline at most. After an error the result
    /// is [`Commit::Ambiguous`] unless the request certainly had no effect.
    pub async fn commit_claims(
        &self,
        transaction: claim::Transaction,
        deadline: Timestamp,
    ) -> Commit {
        let mut span = self.tracer.request("platform commit", None);
        let result =
            self.transact_with(&self.claim_permits, &wire_transaction(transaction), deadline).await;
        if let Err(error) = &result {
            meter::platform_error("commit");
            span.fail(error);
        }
        match result {
            Ok(TransactionResult { committed: true, rows }) => Commit::Committed(claim_rows(rows)),
            Ok(TransactionResult { committed: false, rows }) => Commit::Conflict(claim_rows(rows)),
            Err(error) if error.is_without_effect() => Commit::Unavailable,
            Err(_) => Commit::Ambiguous,
        }
    }

    /// Reads rows of claims and waits until the deadline at most.
    pub async fn read_claims(&self, keys: &[String], deadline: Timestamp) -> Read {
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

    /// Reads rows one by one over one connection, until the deadline at most.
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

    /// Sends a transaction and waits until the deadline at most. After an error it may have taken
    /// effect.
    pub async fn transact(
        &self,
        transaction: &Transaction,
        deadline: Timestamp,
    ) -> Result<TransactionResult, Error> {
        self.transact_with(&self.permits, transaction, deadline).await
    }

    async fn transact_with(
        &self,
        permits: &Semaphore,
        transaction: &Transaction,
        deadline: Timestamp,
    ) -> Result<TransactionResult, Error> {
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
    /// Tells whether the request certainly had no effect: it was not sent, or the platform answered
    /// with status 503.
    fn is_without_effect(&self) -> bool {
        match self {
            Self::Wire(error) => matches!(error, wire::Error::Connect(..) | wire::Error::Unsent(_)),
            Self::Request(_) | Self::Busy => true,
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

/// Converts rows of the wire format to those of [`verbenapass::claim`].
pub fn claim_rows(rows: Vec<Row>) -> Vec<claim::Row> {
    let row = |row: Row| claim::Row {
        key: row.key,
        version: id::Version::new(row.version),
        value: row.value,
    };
    rows.into_iter().map(row).collect()
}

/// Polls the instance list and sends it to the control thread, until that thread ends.
pub async fn poll(client: Arc<Client>, control: Sender, poll_interval: Duration, log: Logger) {
    let mut timer = interval(poll_interval);
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
                warn!(log, "platform: cannot read the instance list; keeping the last one";
                    "error" => %error);
            }
            None if !is_reachable => info!(log, "platform: the instance list can be read again"),
            _ => {}
        }
        is_reachable = error.is_none();
        let message = match list {
            Ok(Some(list)) => {
                known = Some(list.revision);
                Message::Listed(Box::new(parse_list(&list, &log)))
            }
            Ok(None) => Message::ListUnchanged,
            Err(_) => continue,
        };
        if control.send(message).is_err() {
            return;
        }
    }
}

fn parse_list(list: &List, log: &Logger) -> InstanceList {
    let mut parsed = InstanceList { revision: list.revision, ..InstanceList::default() };
    for instance in &list.instances {
        let accepted = match instance.role {
            Role::Target => parse_target(instance).map(|target| {
                parsed.connections.push(instance.connections);
                parsed.targets.push(target);
            }),
            Role::Entry => parse_entry(instance).map(|entry| parsed.entries.push(entry)),
        };
        if accepted.is_none() {
            warn!(log, "platform: ignoring an invalid instance on the list";
                "name" => &instance.name);
        }
    }
    parsed
}

fn parse_entry(instance: &Instance) -> Option<peer::Member> {
    Some(peer::Member {
        name: instance.name.parse().ok()?,
        data_centre: instance.data_centre.parse().ok()?,
        address: instance.address.parse().ok()?,
        leaving: instance.mark == Mark::Leaving,
    })
}

fn parse_target(instance: &Instance) -> Option<engine::Target> {
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

/// Converts the plan of a settings change to the transaction that stores it.
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

/// Returns the common prefix of the row keys of a team's claims.
pub fn claim_prefix(team: &id::Team) -> String {
    format!("claims/{team}/")
}
