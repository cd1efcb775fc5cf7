//! Connection pools for the targets. [`verbenapass::connection`] decides which connection a start
//! uses.

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

/// Connection limit of a target that is not on the list or states no limit.
const DEFAULT_CONNECTIONS: u32 = 64;

/// The connection pools of all targets, by address.
#[derive(Debug)]
pub struct Pools {
    connect_timeout: Duration,
    pools: Mutex<HashMap<SocketAddr, Arc<Shared>>>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    /// Wakes one task that waits for a connection.
    freed: Notify,
}

#[derive(Debug)]
struct State {
    pool: Pool,
    idle: HashMap<Id, Connection>,
    next_id: u64,
}

/// A pooled connection in use for one exchange. Dropping it closes the connection;
/// [`release`](Self::release) returns it to the pool.
#[derive(Debug)]
pub struct Lease {
    shared: Arc<Shared>,
    id: Id,
    /// `None` only after the connection was released.
    connection: Option<Connection>,
}

/// The properties of a listed target that set the size of its pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Target {
    /// Address of the target's HTTP server.
    pub address: SocketAddr,
    /// Connections that the target accepts from all instances together; 0 if it states no limit.
    pub connections: u32,
    /// Entry instances that share the limit.
    pub instances: u32,
}

impl Pools {
    /// Creates an empty set of pools, whose connections open within `connect_timeout` or fail.
    pub fn new(connect_timeout: Duration) -> Self {
        Self { connect_timeout, pools: Mutex::new(HashMap::new()) }
    }

    /// Adapts the pools to a new list of targets, closes connections that were idle too long and
    /// drops the pools of targets that are gone. Connections in use close when their exchange ends.
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

    /// Stops the use of idle connections to a target with an overdue start, except those that have
    /// received data since that start was sent: the others may be dead without having been closed.
    pub fn distrust_idle(&self, address: SocketAddr, now: Timestamp) {
        // Only the effect on the idle connections is needed. The returned starts to query are
        // ignored: the engine decides when to query one.
        let _ = lock(&self.get(address).state).pool.overdue(now);
    }

    /// Takes a connection for a start from the pool or opens one. Returns `None` if none became
    /// free before the deadline, and an error if opening one failed.
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
                        // Marks it as in use before the lock is released.
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
    /// Returns the leased connection.
    pub fn connection(&mut self) -> &mut Connection {
        // Only `release`, which consumes the lease, takes the connection out.
        self.connection.as_mut().expect("a lease holds a connection")
    }

    /// Returns the connection to the pool. Call it only after a complete answer, which leaves no
    /// bytes of the exchange on the connection.
    pub fn release(mut self) {
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
