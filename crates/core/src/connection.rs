//! Reuse of pooled connections to one target.
//!
//! An open connection can stop delivering data without being closed while new connections work, for
//! example after a switch lost its state. The pool sends no probes to detect this. Instead, a
//! connection may carry a new start only for a bounded time after data was last received on it.
//! After that time it is stale and is replaced by a new one, whose handshake shows that the path
//! works and costs no message of the target protocol. If the answer to a start is overdue, the
//! program sends the target a query for the start on a new connection. The idle connections that
//! received nothing since the overdue start was sent are then stale, too.
//!
//! The embedding program keeps one [`Pool`] for each target and reports to it the events on its
//! sockets. Each connection carries one start at a time.
//!
//! | the program | calls |
//! | --- | --- |
//! | wants to send a start | [`Pool::choose`]; on [`Choice::Open`] it closes the named connection, connects and calls [`Pool::opened`] or [`Pool::open_failed`] |
//! | is about to write the start | [`Pool::started`] |
//! | has read a whole answer | [`Pool::answered`] |
//! | has read any other bytes | [`Pool::received`] |
//! | sees a close, reset or protocol error | [`Pool::closed`], which returns the start that the connection carried |
//! | reaches [`Pool::next_deadline`] | [`Pool::overdue`], queries each start on a new connection and calls [`Pool::queried`]; then [`Pool::expired`], and closes these connections |
//!
//! # Example
//!
//! ```
//! use verbenapass::connection::{Choice, Id, Options, Pool};
//! use verbenapass::time::Timestamp;
//! use verbenapass::unit::Millis;
//!
//! let now = Timestamp::from_micros(0);
//! let mut pool = Pool::new(Options::default(), 4);
//! assert_eq!(pool.choose(now), Choice::Open { close: None });
//! pool.opened(Id::new(1), now);
//! assert_eq!(pool.choose(now), Choice::Use(Id::new(1)));
//! // A connection that has received nothing for longer than the reuse window is replaced.
//! let later = now.plus(Millis::new(5_000));
//! assert_eq!(pool.choose(later), Choice::Open { close: Some(Id::new(1)) });
//! ```

use crate::id;
use crate::time::Timestamp;
use crate::unit::{Micros, Millis};
use std::collections::BTreeMap;
use std::fmt;

/// Number of a connection, unique in its pool. The embedding program assigns it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id(u64);

impl Id {
    /// Makes an id from a number that the pool has not seen yet.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the number passed to [`new`](Self::new).
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Time limits of a [`Pool`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// How long after it was opened or last received data a connection may carry a new start.
    pub reuse_window: Millis,
    /// How long after it was opened or last received data an idle connection stays open.
    pub idle_timeout: Millis,
    /// Minimum time without an answer after which a start is queried.
    pub query_after: Millis,
    /// A start is queried after this many times its expected run time, if that is longer.
    pub query_factor: u32,
    /// Maximum number of queries for one start. After a query, the wait for the next one is twice
    /// the age of the start.
    pub max_queries: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            // A table in docs/settings-design.md compares several reuse windows.
            reuse_window: Millis::new(1_000),
            idle_timeout: Millis::new(30_000),
            query_after: Millis::new(1_000),
            // Run times vary by a small factor. A lower value queries tasks that are only slow.
            query_factor: 4,
            max_queries: 4,
        }
    }
}

/// The connection for a new start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Send the start on this connection.
    Use(Id),
    /// Close the named connection, if any, and open a new one. The new one counts towards the limit
    /// at once. The caller must call [`Pool::opened`] or [`Pool::open_failed`].
    Open {
        /// A stale idle connection, which is already removed from the pool.
        close: Option<Id>,
    },
    /// All connections are busy and the limit is reached. Choose again when one is free.
    Wait,
}

/// A start to query on a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Query {
    /// The start whose answer is overdue.
    pub start: id::Start,
    /// The connection on which the start was sent.
    pub connection: Id,
}

/// Reply of the target to a query for a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The start is finished, so its answer should have arrived on the connection of the start.
    Finished,
    /// The start is still running.
    Running,
    /// The target does not know the start.
    NotFound,
    /// No reply arrived.
    Silent,
}

#[derive(Clone, Copy, Debug)]
struct InFlight {
    start: id::Start,
    sent_at: Timestamp,
    query_at: Timestamp,
    queries: u32,
}

#[derive(Clone, Copy, Debug)]
struct Connection {
    /// When the connection was opened or last received data.
    received_at: Timestamp,
    reusable_until: Timestamp,
    close_at: Timestamp,
    in_flight: Option<InFlight>,
}

/// The connections of one instance to one target.
#[derive(Clone, Debug)]
pub struct Pool {
    options: Options,
    limit: u32,
    /// Connections between [`Choice::Open`] and the result of the connect.
    opening: u32,
    connections: BTreeMap<Id, Connection>,
}

/// Returns how many connections to a target each of `instances` entry instances may open.
/// `connections` is the number that the target accepts.
///
/// One connection in eight is reserved for queries and for instances that are not known yet. Every
/// instance may open at least one.
pub fn share(connections: u32, instances: u32) -> u32 {
    ((connections - connections / 8) / instances.max(1)).max(1)
}

impl Pool {
    /// Makes an empty pool of at most `limit` connections. [`share`] computes the limit.
    pub fn new(options: Options, limit: u32) -> Self {
        Self { options, limit, opening: 0, connections: BTreeMap::new() }
    }

    /// Changes the limit. [`expired`](Self::expired) returns the connections beyond it when they
    /// are idle.
    pub fn set_limit(&mut self, limit: u32) {
        self.limit = limit;
    }

    /// Returns the number of connections, including those that are being opened.
    pub fn len(&self) -> usize {
        self.connections.len() + self.opening as usize
    }

    /// Tells whether no connection is open or being opened.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Chooses a connection for a start: the idle one that received data last, unless it is stale.
    /// The caller must report the start with [`started`](Self::started) before it chooses again.
    pub fn choose(&mut self, now: Timestamp) -> Choice {
        let idle =
            || self.connections.iter().filter(|(_, connection)| connection.in_flight.is_none());
        let reusable = idle().filter(|(_, connection)| !connection.reusable_until.is_past(now));
        if let Some((id, _)) = reusable.max_by_key(|(_, connection)| connection.received_at) {
            return Choice::Use(*id);
        }
        let oldest = idle().min_by_key(|(_, connection)| connection.received_at).map(|(id, _)| *id);
        let others = self.len() - usize::from(oldest.is_some());
        if others >= self.limit as usize {
            return Choice::Wait;
        }
        if let Some(id) = oldest {
            self.connections.remove(&id);
        }
        self.opening += 1;
        Choice::Open { close: oldest }
    }

    /// Records that a connection was opened, which shows that it works.
    pub fn opened(&mut self, id: Id, now: Timestamp) {
        self.opening = self.opening.saturating_sub(1);
        let connection =
            Connection { received_at: now, reusable_until: now, close_at: now, in_flight: None };
        self.connections.insert(id, connection);
        self.received(id, now);
    }

    /// Records that the connect after a [`Choice::Open`] failed.
    pub fn open_failed(&mut self) {
        self.opening = self.opening.saturating_sub(1);
    }

    /// Records that data was received on a connection.
    pub fn received(&mut self, id: Id, now: Timestamp) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.received_at = connection.received_at.max(now);
            connection.reusable_until = connection.received_at.plus(self.options.reuse_window);
            connection.close_at = connection.received_at.plus(self.options.idle_timeout);
        }
    }

    /// Records that a start is about to be written, which makes the connection busy. `expected` is
    /// its expected run time, `None` if unknown.
    pub fn started(&mut self, id: Id, start: id::Start, expected: Option<Millis>, now: Timestamp) {
        let expected = expected.map_or(0, Millis::get);
        let delay = expected.saturating_mul(self.options.query_factor.into());
        let query_at = now.plus(self.options.query_after.max(Millis::new(delay)));
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.in_flight = Some(InFlight { start, sent_at: now, query_at, queries: 0 });
        }
    }

    /// Records that the whole answer arrived, which makes the connection idle.
    pub fn answered(&mut self, id: Id, now: Timestamp) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.in_flight = None;
        }
        self.received(id, now);
    }

    /// Removes a connection and returns the start that it carried, if any.
    pub fn closed(&mut self, id: Id) -> Option<id::Start> {
        self.connections.remove(&id)?.in_flight.map(|in_flight| in_flight.start)
    }

    /// Returns the starts to query now, and counts these queries.
    ///
    /// Idle connections that received nothing since an overdue start was sent become stale, because
    /// the fault of one connection may affect all of them.
    pub fn overdue(&mut self, now: Timestamp) -> Vec<Query> {
        let options = self.options;
        let mut overdue = Vec::new();
        let mut latest_sent_at = Timestamp::default();
        for (id, connection) in &mut self.connections {
            let Some(in_flight) = &mut connection.in_flight else { continue };
            if in_flight.queries >= options.max_queries || !in_flight.query_at.is_past(now) {
                continue;
            }
            overdue.push(Query { start: in_flight.start, connection: *id });
            latest_sent_at = latest_sent_at.max(in_flight.sent_at);
            // The growing wait bounds the number of queries for a task that is only slow.
            let wait = in_flight.query_at.since(in_flight.sent_at).get().saturating_mul(2);
            in_flight.query_at = now.plus_micros(Micros::new(wait));
            in_flight.queries += 1;
        }
        if !overdue.is_empty() {
            let idle =
                self.connections.values_mut().filter(|connection| connection.in_flight.is_none());
            for connection in idle.filter(|connection| connection.received_at <= latest_sent_at) {
                connection.reusable_until = connection.reusable_until.min(now);
            }
        }
        overdue
    }

    /// Records the reply to a query. Returns the connection to close, if any, which is already
    /// removed from the pool.
    ///
    /// The connection stays open while the start runs: the answer may still arrive on it, and a
    /// target may cancel a task whose connection closes.
    pub fn queried(&mut self, query: Query, reply: Reply) -> Option<Id> {
        let connection = self.connections.get(&query.connection)?;
        let is_current =
            connection.in_flight.is_some_and(|in_flight| in_flight.start == query.start);
        match reply {
            Reply::Finished | Reply::NotFound if is_current => {
                self.connections.remove(&query.connection);
                Some(query.connection)
            }
            _ => None,
        }
    }

    /// Removes and returns the idle connections that reached the idle timeout or exceed the limit.
    /// The caller must close them.
    pub fn expired(&mut self, now: Timestamp) -> Vec<Id> {
        let mut idle: Vec<(Timestamp, Id)> = self
            .connections
            .iter()
            .filter(|(_, connection)| connection.in_flight.is_none())
            .map(|(id, connection)| (connection.close_at, *id))
            .collect();
        idle.sort();
        let excess = self.len().saturating_sub(self.limit as usize);
        let expired: Vec<Id> = idle
            .iter()
            .enumerate()
            .filter(|(index, (close_at, _))| *index < excess || close_at.is_past(now))
            .map(|(_, (_, id))| *id)
            .collect();
        for id in &expired {
            self.connections.remove(id);
        }
        expired
    }

    /// Returns when to call [`overdue`](Self::overdue) and [`expired`](Self::expired) next, or
    /// `None` if there is nothing to wait for.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        let due = |connection: &Connection| match connection.in_flight {
            Some(start) if start.queries < self.options.max_queries => Some(start.query_at),
            Some(_) => None,
            None => Some(connection.close_at),
        };
        self.connections.values().filter_map(due).min()
    }
}
