//! Pools of connections to targets. [`verbenapass::connection`] decides which one is used.

use crate::clock;
use crate::meter;
use crate::wire::{self, Connection};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::timeout;
use verbenapass::connection::{Choice, Id, Options, Pool, share};
use verbenapass::id;
use verbenapass::time::Timestamp;

/// Connections of a target that is not on the list or does not state a number.
const DEFAULT_CONNECTIONS: u32 = 64;

/// One pool for each target.
#[derive(Debug)]
pub struct Pools {
    connect_timeout: Duration,
    pools: Mutex<HashMap<SocketAddr, Arc<Shared>>>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    /// Wakes one that waits for a connection.
    freed: Notify,
}

#[derive(Debug)]
struct State {
    pool: Pool,
    idle: HashMap<Id, Connection>,
    next_id: u64,
}

/// A connection that is used for one exchange. Unless it is given back, it is closed.
#[derive(Debug)]
pub struct Lease {
    shared: Arc<Shared>,
    id: Id,
    /// Absent only after the connection was given back.
    connection: Option<Connection>,
}

/// A target as far as its pool is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Target {
    /// Address.
    pub address: SocketAddr,
    /// Connections that the target accepts.
    pub connections: u32,
    /// Instances that share them.
    pub instances: u32,
}

impl Pools {
    /// Makes an empty set of pools.
    pub fn new(connect_timeout: Duration) -> Self {
        Self { connect_timeout, pools: Mutex::new(HashMap::new()) }
    }

    /// Takes over a new list, closes what has been idle for long and drops the pools of targets
    /// that are gone. Connections in use are closed when their exchange ends.
    pub fn update(&self, listed: &[Target], now: Timestamp) {
        let mut pools = lock(&self.pools);
        let mut previous = std::mem::take(&mut *pools);
        for target in listed {
            let connections = match target.connections {
                0 => DEFAULT_CONNECTIONS,
                connections => connections,
            };
            let limit = share(connections, target.instances);
            let shared = previous.remove(&target.address).unwrap_or_else(|| Shared::new(limit));
            let mut state = lock(&shared.state);
            state.pool.set_limit(limit);
            for id in state.pool.expired(now) {
                state.idle.remove(&id);
            }
            drop(state);
            pools.insert(target.address, shared);
        }
    }

    /// Withdraws the trust in idle connections to a target with an overdue start.
    pub fn doubt(&self, address: SocketAddr, now: Timestamp) {
        // The engine decides when to ask; only the loss of trust matters here.
        let _ = lock(&self.get(address).state).pool.overdue(now);
    }

    /// Returns a connection for a start, or nothing if none became free until the deadline.
    pub async fn lease(
        &self,
        address: SocketAddr,
        start: id::Start,
        deadline: Timestamp,
    ) -> Result<Option<Lease>, wire::Error> {
        let shared = self.get(address);
        loop {
            let (choice, connection) = {
                let mut state = lock(&shared.state);
                let now = clock::now();
                let choice = state.pool.choose(now);
                let connection = match choice {
                    Choice::Use(id) => {
                        // Marked as used at once, so that it is not chosen a second time.
                        state.pool.started(id, start, None, now);
                        state.idle.remove(&id)
                    }
                    Choice::Open { close } => close.and_then(|id| state.idle.remove(&id)),
                    Choice::Wait => None,
                };
                (choice, connection)
            };
            match (choice, connection) {
                (Choice::Use(id), Some(connection)) => {
                    let mut lease =
                        Lease { shared: shared.clone(), id, connection: Some(connection) };
                    if lease.connection().is_usable().await {
                        return Ok(Some(lease));
                    }
                }
                (Choice::Use(id), None) => drop(lock(&shared.state).pool.closed(id)),
                (Choice::Open { .. }, _) => {
                    return self.open(address, start, &shared).await.map(Some);
                }
                (Choice::Wait, _) => {
                    if timeout(clock::until(deadline), shared.freed.notified()).await.is_err() {
                        return Ok(None);
                    }
                }
            }
        }
    }

    async fn open(
        &self,
        address: SocketAddr,
        start: id::Start,
        shared: &Arc<Shared>,
    ) -> Result<Lease, wire::Error> {
        let opened = Connection::open(address, self.connect_timeout).await;
        let mut state = lock(&shared.state);
        match opened {
            Ok(connection) => {
                meter::connection();
                let id = Id::new(state.next_id);
                state.next_id += 1;
                let now = clock::now();
                state.pool.opened(id, now);
                state.pool.started(id, start, None, now);
                Ok(Lease { shared: shared.clone(), id, connection: Some(connection) })
            }
            Err(error) => {
                state.pool.open_failed();
                shared.freed.notify_one();
                Err(error)
            }
        }
    }

    fn get(&self, address: SocketAddr) -> Arc<Shared> {
        let mut pools = lock(&self.pools);
        let new = || Shared::new(share(DEFAULT_CONNECTIONS, 1));
        pools.entry(address).or_insert_with(new).clone()
    }
}

impl Shared {
    fn new(limit: u32) -> Arc<Self> {
        let pool = Pool::new(Options::default(), limit);
        let state = State { pool, idle: HashMap::new(), next_id: 1 };
        Arc::new(Self { state: Mutex::new(state), freed: Notify::new() })
    }
}

impl Lease {
    /// Returns the connection.
    pub fn connection(&mut self) -> &mut Connection {
        // Only `give_back`, which consumes the lease, takes the connection out.
        self.connection.as_mut().expect("a lease holds a connection")
    }

    /// Gives the connection back after a whole answer.
    pub fn give_back(mut self) {
        if let Some(connection) = self.connection.take() {
            let mut state = lock(&self.shared.state);
            state.pool.answered(self.id, clock::now());
            state.idle.insert(self.id, connection);
        }
        self.shared.freed.notify_one();
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if self.connection.is_some() {
            lock(&self.shared.state).pool.closed(self.id);
            self.shared.freed.notify_one();
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
