//! Trust in pooled connections to one target.
//!
//! An open connection can go silent for good while new ones work, for example after a switch lost
//! its state. No probe is sent to find out. A connection may carry a start only for a bounded time
//! after its last proof of life; after that it is replaced by a new one, whose handshake is a proof
//! and costs no message of the target protocol. A start without an answer is asked about on a new
//! connection, and as soon as one start is overdue, idle connections without a later proof lose
//! their trust.
//!
//! The embedding program keeps one [`Pool`] for each target and reports to it what happens on its
//! sockets. Each connection carries one start at a time.
//!
//! | program | pool |
//! | --- | --- |
//! | wants to send a start | [`Pool::choose`]; on [`Choice::Open`] closes the named connection, connects and calls [`Pool::opened`] or [`Pool::open_failed`] |
//! | is about to write the start | [`Pool::started`] |
//! | read a whole answer | [`Pool::answered`] |
//! | read any other bytes | [`Pool::proven`] |
//! | saw a close, reset or protocol error | [`Pool::closed`], which names the start that was on it |
//! | timer at [`Pool::next_deadline`] | [`Pool::overdue`] and asks about each start on a new connection, then [`Pool::asked`]; [`Pool::expired`] and closes these connections |
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
//! // Without a proof of life the connection is replaced.
//! let later = now.plus(Millis::new(5_000));
//! assert_eq!(pool.choose(later), Choice::Open { close: Some(Id::new(1)) });
//! ```

use crate::id;
use crate::time::Timestamp;
use crate::unit::{Micros, Millis};
use std::collections::BTreeMap;
use std::fmt;

/// A connection, unique in its pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id(u64);

impl Id {
    /// Wraps a number.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the number.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Bounds of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// How long after its last proof of life a connection may carry a new start.
    pub trust: Millis,
    /// How long an idle connection is kept open.
    pub idle: Millis,
    /// Shortest silence after which a start is asked about.
    pub ask_after: Millis,
    /// A start is asked about after this many times its expected run time, if that is longer.
    pub ask_factor: u32,
    /// Most questions about one start. Each waits twice as long as the one before.
    pub max_asks: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            // The table in docs/settings-design.md compares values.
            trust: Millis::new(1_000),
            idle: Millis::new(30_000),
            ask_after: Millis::new(1_000),
            // Run times vary by a small factor; a lower one asks about tasks that are only slow.
            ask_factor: 4,
            max_asks: 4,
        }
    }
}

/// What to do with a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Send it on this connection.
    Use(Id),
    /// Close the named connection, if any, and open a new one. It counts against the limit from now
    /// on, until [`Pool::opened`] or [`Pool::open_failed`].
    Open {
        /// An idle connection that is no longer trusted. It has left the pool.
        close: Option<Id>,
    },
    /// All connections are busy and the limit is reached.
    Wait,
}

/// A start to ask about on a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Question {
    /// The start.
    pub start: id::Start,
    /// The silent connection.
    pub connection: Id,
}

/// What the target said about a start on a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The start is finished, so that its answer should have arrived on the old connection.
    Finished,
    /// The start still runs.
    Running,
    /// The target does not know the start.
    NotFound,
    /// The target gave no answer.
    Silent,
}

#[derive(Clone, Copy, Debug)]
struct Flight {
    start: id::Start,
    sent_at: Timestamp,
    ask_at: Timestamp,
    asks: u32,
}

#[derive(Clone, Copy, Debug)]
struct Row {
    proven_at: Timestamp,
    trusted_until: Timestamp,
    close_at: Timestamp,
    flight: Option<Flight>,
}

/// The connections of one instance to one target.
#[derive(Clone, Debug)]
pub struct Pool {
    options: Options,
    limit: u32,
    opening: u32,
    rows: BTreeMap<Id, Row>,
}

/// Returns how many of the `connections` that a target accepts one of `instances` may open.
///
/// One connection in eight is left free for questions about silent starts and for instances that
/// are not known yet. Every instance may open at least one.
pub fn share(connections: u32, instances: u32) -> u32 {
    ((connections - connections / 8) / instances.max(1)).max(1)
}

impl Pool {
    /// Makes an empty pool of at most `limit` connections, see [`share`].
    pub fn new(options: Options, limit: u32) -> Self {
        Self { options, limit, opening: 0, rows: BTreeMap::new() }
    }

    /// Changes the limit. Connections beyond it close when they become idle, see
    /// [`expired`](Self::expired).
    pub fn set_limit(&mut self, limit: u32) {
        self.limit = limit;
    }

    /// Returns the number of connections, those that are being opened included.
    pub fn len(&self) -> usize {
        self.rows.len() + self.opening as usize
    }

    /// Tells whether there is no connection.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Chooses a connection for a start: the trusted idle one with the latest proof of life.
    pub fn choose(&mut self, now: Timestamp) -> Choice {
        let idle = || self.rows.iter().filter(|(_, row)| row.flight.is_none());
        let trusted = idle().filter(|(_, row)| !row.trusted_until.is_past(now));
        if let Some((id, _)) = trusted.max_by_key(|(_, row)| row.proven_at) {
            return Choice::Use(*id);
        }
        let oldest = idle().min_by_key(|(_, row)| row.proven_at).map(|(id, _)| *id);
        let others = self.len() - usize::from(oldest.is_some());
        if others >= self.limit as usize {
            return Choice::Wait;
        }
        if let Some(id) = oldest {
            self.rows.remove(&id);
        }
        self.opening += 1;
        Choice::Open { close: oldest }
    }

    /// Records that a connection was opened, which proves that it works.
    pub fn opened(&mut self, id: Id, now: Timestamp) {
        self.opening = self.opening.saturating_sub(1);
        let row = Row { proven_at: now, trusted_until: now, close_at: now, flight: None };
        self.rows.insert(id, row);
        self.proven(id, now);
    }

    /// Records that a connection could not be opened.
    pub fn open_failed(&mut self) {
        self.opening = self.opening.saturating_sub(1);
    }

    /// Records that bytes arrived on a connection.
    pub fn proven(&mut self, id: Id, now: Timestamp) {
        if let Some(row) = self.rows.get_mut(&id) {
            row.proven_at = row.proven_at.max(now);
            row.trusted_until = row.proven_at.plus(self.options.trust);
            row.close_at = row.proven_at.plus(self.options.idle);
        }
    }

    /// Records that a start is about to be written. `expected` is its likely run time.
    pub fn started(&mut self, id: Id, start: id::Start, expected: Option<Millis>, now: Timestamp) {
        let expected = expected.map_or(0, Millis::get);
        let silence = expected.saturating_mul(self.options.ask_factor.into());
        let ask_at = now.plus(self.options.ask_after.max(Millis::new(silence)));
        if let Some(row) = self.rows.get_mut(&id) {
            row.flight = Some(Flight { start, sent_at: now, ask_at, asks: 0 });
        }
    }

    /// Records that the whole answer arrived, which proves that the connection works.
    pub fn answered(&mut self, id: Id, now: Timestamp) {
        if let Some(row) = self.rows.get_mut(&id) {
            row.flight = None;
        }
        self.proven(id, now);
    }

    /// Removes a connection and returns the start that was on it.
    pub fn closed(&mut self, id: Id) -> Option<id::Start> {
        self.rows.remove(&id)?.flight.map(|flight| flight.start)
    }

    /// Returns the starts to ask about now.
    ///
    /// Idle connections without a proof since the overdue start was sent lose their trust: what
    /// silenced one connection may have silenced them all.
    pub fn overdue(&mut self, now: Timestamp) -> Vec<Question> {
        let options = self.options;
        let mut questions = Vec::new();
        let mut doubted = Timestamp::default();
        for (id, row) in &mut self.rows {
            let Some(flight) = &mut row.flight else { continue };
            if flight.asks >= options.max_asks || !flight.ask_at.is_past(now) {
                continue;
            }
            questions.push(Question { start: flight.start, connection: *id });
            doubted = doubted.max(flight.sent_at);
            // Doubling bounds the questions about a task that is only slow.
            let wait = flight.ask_at.since(flight.sent_at).get().saturating_mul(2);
            flight.ask_at = now.plus_micros(Micros::new(wait));
            flight.asks += 1;
        }
        if !questions.is_empty() {
            let idle = self.rows.values_mut().filter(|row| row.flight.is_none());
            for row in idle.filter(|row| row.proven_at <= doubted) {
                row.trusted_until = row.trusted_until.min(now);
            }
        }
        questions
    }

    /// Records the reply to a question and returns the connection to close, if any. It has left the
    /// pool.
    ///
    /// The old connection stays open while the start runs: the answer may still arrive on it, and a
    /// target may give up a task whose connection closes.
    pub fn asked(&mut self, question: Question, reply: Reply) -> Option<Id> {
        let row = self.rows.get(&question.connection)?;
        let current = row.flight.is_some_and(|flight| flight.start == question.start);
        match reply {
            Reply::Finished | Reply::NotFound if current => {
                self.rows.remove(&question.connection);
                Some(question.connection)
            }
            _ => None,
        }
    }

    /// Removes and returns idle connections that have been idle for long or exceed the limit.
    pub fn expired(&mut self, now: Timestamp) -> Vec<Id> {
        let mut idle: Vec<(Timestamp, Id)> = self
            .rows
            .iter()
            .filter(|(_, row)| row.flight.is_none())
            .map(|(id, row)| (row.close_at, *id))
            .collect();
        idle.sort();
        let excess = self.len().saturating_sub(self.limit as usize);
        let expired: Vec<Id> = idle
            .iter()
            .enumerate()
            .filter(|(order, (close_at, _))| *order < excess || close_at.is_past(now))
            .map(|(_, (_, id))| *id)
            .collect();
        for id in &expired {
            self.rows.remove(id);
        }
        expired
    }

    /// Returns when [`overdue`](Self::overdue) and [`expired`](Self::expired) are due next.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        let due = |row: &Row| match row.flight {
            Some(flight) if flight.asks < self.options.max_asks => Some(flight.ask_at),
            Some(_) => None,
            None => Some(row.close_at),
        };
        self.rows.values().filter_map(due).min()
    }
}
