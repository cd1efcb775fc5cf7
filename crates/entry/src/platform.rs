//! Client of the platform: its instance list and its table.

use crate::control::{Message, Sender};
use crate::wire::{self, Connection};
use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use quick_error::quick_error;
use serde::de::DeserializeOwned;
use slog::{Logger, info, warn};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::time::{Instant, MissedTickBehavior, interval};
use verbenapass::engine::{self, Event};
use verbenapass::settings::Tree;
use verbenapass::unit::{self, Slots};
use verbenapass_proto::platform::{Instance, List, Mark, Role, Rows};

/// Prefix of the keys of settings rows.
const SETTINGS_PREFIX: &str = "settings/";
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
        /// Too many calls are open.
        Busy {
            display("platform: too many open calls")
        }
    }
}

/// Client of the platform. Calls are bounded in number and time and are never repeated.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    timeout: Duration,
    permits: Semaphore,
}

impl Client {
    /// Makes a client.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self { address, timeout, permits: Semaphore::new(MAX_CALLS) }
    }

    /// Reads the instance list.
    pub async fn instances(&self) -> Result<List, Error> {
        self.get("/v1/instances").await
    }

    /// Reads the rows whose keys start with `prefix`, which is not escaped.
    pub async fn scan(&self, prefix: &str) -> Result<Rows, Error> {
        self.get(&format!("/v1/table/scan?prefix={prefix}")).await
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        let _permit = self.permits.try_acquire().map_err(|_| Error::Busy)?;
        let deadline = Instant::now() + self.timeout;
        let request = Request::get(path)
            .header(http::header::HOST, self.address.to_string())
            .body(Full::new(Bytes::new()))?;
        let mut connection = Connection::open(self.address, self.timeout).await?;
        let response = connection.exchange(request, MAX_ANSWER_BYTES, deadline).await?;
        if response.status() != StatusCode::OK {
            return Err(Error::Status(response.status()));
        }
        Ok(serde_json::from_slice(response.body())?)
    }
}

/// Polls the instance list and the settings rows for as long as the control thread runs.
pub async fn poll(client: Arc<Client>, control: Sender, every: Duration, log: Logger) {
    let mut timer = interval(every);
    timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut is_reachable = true;
    let mut versions = BTreeMap::new();
    loop {
        timer.tick().await;
        let (list, rows) = tokio::join!(client.instances(), client.scan(SETTINGS_PREFIX));
        let error = list.as_ref().err().or(rows.as_ref().err());
        match error {
            Some(error) if is_reachable => {
                warn!(log, "platform: not reachable"; "error" => %error);
            }
            None if !is_reachable => info!(log, "platform: reachable again"),
            _ => {}
        }
        is_reachable = error.is_none();
        if let Ok(list) = list {
            let targets = list.instances.iter().filter_map(|instance| target(instance, &log));
            let event = Event::Listed { targets: targets.collect(), peers: Vec::new() };
            if control.send(Message::Event(event)).is_err() {
                return;
            }
        }
        if let Ok(rows) = rows
            && let Some(tree) = tree(&rows, &mut versions, &log)
            && control.send(Message::Event(Event::Configured(Arc::new(tree)))).is_err()
        {
            return;
        }
    }
}

fn target(instance: &Instance, log: &Logger) -> Option<engine::Target> {
    if instance.role != Role::Target {
        return None;
    }
    let parsed = (|| {
        Some(engine::Target {
            id: instance.name.parse().ok()?,
            service: instance.service.parse().ok()?,
            data_centre: instance.data_centre.parse().ok()?,
            worker: instance.worker.parse().ok()?,
            rack: instance.rack.parse().ok()?,
            address: instance.address.parse().ok()?,
            slots: Slots::new(instance.slots),
            memory: unit::Bytes::new(instance.memory_bytes),
            accelerators: instance.accelerators,
            leaving: instance.mark == Mark::Leaving,
        })
    })();
    if parsed.is_none() {
        warn!(log, "platform: invalid target on the list"; "target" => &instance.name);
    }
    parsed
}

/// Builds the tree if any row is newer than the known versions.
fn tree(rows: &Rows, versions: &mut BTreeMap<String, u64>, log: &Logger) -> Option<Tree> {
    let is_newer = rows
        .rows
        .iter()
        .any(|row| versions.get(&row.key).is_none_or(|version| row.version > *version));
    if !is_newer {
        return None;
    }
    let mut fleet = None;
    let mut teams = BTreeMap::new();
    for row in &rows.rows {
        versions.insert(row.key.clone(), row.version);
        let Some(value) = &row.value else { continue };
        let path = row.key.strip_prefix(SETTINGS_PREFIX)?;
        let result = match path.strip_prefix("teams/") {
            None => serde_yaml_ng::from_str(value).map(|parsed| fleet = Some(parsed)),
            Some(team) => serde_yaml_ng::from_str(value).map(|parsed| {
                if let Ok(team) = team.parse() {
                    teams.insert(team, parsed);
                }
            }),
        };
        if let Err(error) = result {
            warn!(log, "settings: invalid row"; "key" => &row.key, "error" => %error);
        }
    }
    Some(Tree { fleet: fleet?, teams })
}
