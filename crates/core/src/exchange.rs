//! Schedule of the exchanges of reports between entry instances.
//!
//! An exchange is one call: the request carries the report of the caller, the reply that of the
//! receiver. The schedule bounds the number of exchanges:
//!
//! | cause | partners |
//! | --- | --- |
//! | a peer is new on the instance list, or has a new address | this peer, immediately and then with exponential backoff |
//! | one interval since the last exchange | each peer of the data centre; the instance with the smaller id calls |
//! | two intervals without an exchange | the instance with the larger id calls |
//! | an interval without an exchange with another data centre | one peer there, in rotation |
//! | a broadcast to [`Scope::Everywhere`] | all peers of the data centre and one of each other data centre; repeated once |
//! | a broadcast to [`Scope::DataCentre`] | all peers of the data centre; repeated once |
//!
//! # Example
//!
//! ```
//! use verbenapass::exchange::{Partner, Schedule};
//! use verbenapass::time::Timestamp;
//! use verbenapass::unit::Millis;
//!
//! let now = Timestamp::from_micros(1_000_000);
//! let here: verbenapass::id::DataCentre = "dc1".parse().unwrap();
//! let mut schedule = Schedule::new("e1".parse().unwrap(), here.clone(), Millis::new(10_000));
//! let address = "127.0.0.1:7001".parse().unwrap();
//! let peer = Partner { id: "e2".parse().unwrap(), data_centre: here, address };
//! schedule.listed([peer], now);
//! assert_eq!(schedule.due(now).len(), 1);
//! schedule.heard(&"e2".parse().unwrap(), now);
//! assert_eq!(schedule.next_deadline(), Some(now.plus(Millis::new(10_000))));
//! ```

use crate::config;
use crate::id;
use crate::peer::Usage;
use crate::time::Timestamp;
use crate::unit::Millis;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Delay after the first unanswered call to a peer that has not reported yet. Doubles with each
/// attempt, up to the interval.
pub const FIRST_RETRY: Millis = Millis::new(1_000);

/// Maximum number of calls to a new peer of another data centre that has not reported yet. After
/// that, only the rotation calls it.
pub const MAX_REMOTE_ATTEMPTS: u32 = 4;

/// Minimum time between two broadcasts, so that simultaneous leaving marks share one.
pub const BROADCAST_SPACING: Millis = Millis::new(200);

/// Time after which a broadcast is repeated once. A leaving mark then arrives in time even if one
/// message is lost: a leaving target must get no new task after 3 s.
pub const BROADCAST_REPEAT: Millis = Millis::new(1_000);

/// Maximum number of teams in one report. 64 teams take about 2.5 KB, and 11 reports list 700
/// teams.
pub const MAX_USAGES: usize = 64;

/// A peer on the instance list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Partner {
    /// Id of the peer, which decides who of a pair calls.
    pub id: id::Instance,
    /// Data centre of the peer, which decides how often it is called.
    pub data_centre: id::DataCentre,
    /// Address for calls between instances. A change of it makes the peer count as new.
    pub address: SocketAddr,
}

/// Recipients of a broadcast.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Scope {
    /// The peers in the own data centre.
    DataCentre,
    /// All instances: the peers in the own data centre, and one peer in each other data centre,
    /// which forwards the changes there.
    Everywhere,
}

/// Maximum number of remembered peers that are not listed yet: several times the number of
/// instances that the design allows for.
const MAX_UNLISTED: usize = 1_024;

/// A change of a team's usage is noticeable if it exceeds the last reported value divided by this.
const NOTICEABLE_DIVISOR: u32 = 8;

#[derive(Clone, Debug)]
struct Row {
    partner: Partner,
    /// Whether the peer has reported since it was listed.
    is_heard: bool,
    /// Calls to the peer since its last report.
    attempts: u32,
    /// Time of the next call; `None` if only the rotation or a broadcast calls it.
    due_at: Option<Timestamp>,
}

/// Another data centre.
#[derive(Clone, Copy, Debug)]
struct Remote {
    /// Calls since the last report of one of its instances.
    attempts: u32,
    due_at: Timestamp,
    /// Number of calls so far, which selects the next instance of the rotation.
    round: u64,
}

#[derive(Clone, Copy, Debug)]
struct Broadcast {
    scope: Scope,
    due_at: Timestamp,
    is_repeat: bool,
}

/// Schedule of the exchanges of one instance.
#[derive(Clone, Debug)]
pub struct Schedule {
    own: id::Instance,
    own_data_centre: id::DataCentre,
    interval: Millis,
    rows: BTreeMap<id::Instance, Row>,
    remotes: BTreeMap<id::DataCentre, Remote>,
    broadcast: Option<Broadcast>,
    /// Earliest time of the next broadcast.
    earliest_broadcast: Timestamp,
    /// Time of the next exchange.
    next: Option<Timestamp>,
    /// Peers that have reported since the last list but are not on it.
    unlisted: BTreeSet<id::Instance>,
}

impl Schedule {
    /// Creates a schedule without peers for the instance with the given id and data centre.
    pub const fn new(own: id::Instance, own_data_centre: id::DataCentre, interval: Millis) -> Self {
        Self {
            own,
            own_data_centre,
            interval,
            rows: BTreeMap::new(),
            remotes: BTreeMap::new(),
            broadcast: None,
            earliest_broadcast: Timestamp::from_micros(0),
            next: None,
            unlisted: BTreeSet::new(),
        }
    }

    /// Replaces the peers by those of a new instance list, which may include the instance itself.
    /// Calls to new peers are due at `now`.
    pub fn listed(&mut self, partners: impl IntoIterator<Item = Partner>, now: Timestamp) {
        let mut before = std::mem::take(&mut self.rows);
        let unlisted = std::mem::take(&mut self.unlisted);
        for partner in partners.into_iter().filter(|partner| partner.id != self.own) {
            let known = before.remove(&partner.id).filter(|row| row.partner == partner);
            let is_new = known.is_none();
            let mut row =
                known.unwrap_or(Row { partner, is_heard: false, attempts: 0, due_at: Some(now) });
            if is_new && unlisted.contains(&row.partner.id) {
                row.is_heard = true;
                row.due_at = self.next_due(&row.partner, now);
            }
            self.rows.insert(row.partner.id.clone(), row);
        }
        let data_centres: BTreeSet<&id::DataCentre> =
            self.rows.values().map(|row| &row.partner.data_centre).collect();
        self.remotes.retain(|data_centre, _| data_centres.contains(data_centre));
        for data_centre in data_centres.into_iter().filter(|it| **it != self.own_data_centre) {
            let remote = Remote { attempts: 0, due_at: now.plus(self.interval), round: 0 };
            self.remotes.entry(data_centre.clone()).or_insert(remote);
        }
        self.set_next();
    }

    /// Records a report received from a peer, as a call or as a reply.
    pub fn heard(&mut self, from: &id::Instance, now: Timestamp) {
        let Some(row) = self.rows.get(from) else {
            if self.unlisted.len() < MAX_UNLISTED {
                self.unlisted.insert(from.clone());
            }
            return;
        };
        let due_at = self.next_due(&row.partner, now);
        if let Some(remote) = self.remotes.get_mut(&row.partner.data_centre) {
            remote.attempts = 0;
            remote.due_at = now.plus(self.interval);
        }
        if let Some(row) = self.rows.get_mut(from) {
            row.is_heard = true;
            row.attempts = 0;
            row.due_at = due_at;
        }
        self.set_next();
    }

    /// Records that a periodic report has been made. The calls that this instance starts in its
    /// data centre become due, so that the peers get the report without waiting for the interval.
    pub fn reported(&mut self, now: Timestamp) {
        let own = &self.own;
        let started = |row: &&mut Row| {
            row.partner.data_centre == self.own_data_centre && *own < row.partner.id
        };
        for row in self.rows.values_mut().filter(started).filter(|row| row.is_heard) {
            row.due_at = Some(now);
        }
        self.set_next();
    }

    /// Schedules exchanges with all instances in the scope, and their repetition. Merges with a
    /// broadcast that is already scheduled.
    pub fn broadcast(&mut self, scope: Scope, now: Timestamp) {
        let planned = self.broadcast.filter(|broadcast| !broadcast.is_repeat);
        let scope = self.broadcast.map_or(scope, |broadcast| broadcast.scope.max(scope));
        let due_at =
            planned.map_or_else(|| now.max(self.earliest_broadcast), |broadcast| broadcast.due_at);
        self.broadcast = Some(Broadcast { scope, due_at, is_repeat: false });
        self.set_next();
    }

    /// Returns whether a broadcast is due. If so, the caller has to make a new report for it.
    pub fn is_broadcast_due(&self, now: Timestamp) -> bool {
        self.broadcast.is_some_and(|broadcast| broadcast.due_at.is_past(now))
    }

    /// Returns the peers to call now, each once, and schedules the next calls to them. The caller
    /// sends its report to each and passes the replies to [`Schedule::heard`].
    pub fn due(&mut self, now: Timestamp) -> BTreeSet<id::Instance> {
        let mut partners = BTreeSet::new();
        for row in self.rows.values_mut() {
            if row.due_at.is_some_and(|at| at.is_past(now)) {
                row.due_at = attempt(row, &self.own_data_centre, self.interval, now);
                partners.insert(row.partner.id.clone());
            }
        }
        let broadcast = self.broadcast.take_if(|broadcast| broadcast.due_at.is_past(now));
        if let Some(broadcast) = broadcast {
            self.earliest_broadcast = now.plus(BROADCAST_SPACING);
            if !broadcast.is_repeat {
                let due_at = now.plus(BROADCAST_REPEAT);
                self.broadcast =
                    Some(Broadcast { scope: broadcast.scope, due_at, is_repeat: true });
            }
            let local =
                self.rows.values().filter(|row| row.partner.data_centre == self.own_data_centre);
            partners.extend(local.map(|row| row.partner.id.clone()));
        }
        let is_everywhere = broadcast.is_some_and(|broadcast| broadcast.scope == Scope::Everywhere);
        let due = self.remotes.iter().filter(|(_, it)| is_everywhere || it.due_at.is_past(now));
        let due: BTreeSet<id::DataCentre> = due.map(|(it, _)| it.clone()).collect();
        for data_centre in due {
            partners.extend(self.rotate(&data_centre, now));
        }
        self.set_next();
        partners
    }

    /// Returns when to call [`Schedule::due`] next; `None` without peers and broadcasts.
    pub const fn next_deadline(&self) -> Option<Timestamp> {
        self.next
    }

    fn set_next(&mut self) {
        let rows = self.rows.values().filter_map(|row| row.due_at);
        let remotes = self.remotes.values().map(|remote| remote.due_at);
        self.next =
            rows.chain(remotes).chain(self.broadcast.map(|broadcast| broadcast.due_at)).min();
    }

    /// Returns the next peer of another data centre in rotation.
    fn rotate(&mut self, data_centre: &id::DataCentre, now: Timestamp) -> Vec<id::Instance> {
        let Some(remote) = self.remotes.get_mut(data_centre) else { return Vec::new() };
        let round = remote.round;
        remote.round += 1;
        remote.due_at = now.plus(retry_delay(remote.attempts, self.interval));
        remote.attempts = remote.attempts.saturating_add(1);
        let partners = self.rows.values().map(|row| &row.partner);
        let peers: Vec<(id::Instance, id::DataCentre)> = partners
            .filter(|partner| partner.data_centre == *data_centre)
            .map(|partner| (partner.id.clone(), partner.data_centre.clone()))
            .collect();
        config::partners(&self.own, &self.own_data_centre, &peers, round, 1)
    }

    /// Returns when to call a peer that reports at `now`; `None` in other data centres.
    fn next_due(&self, partner: &Partner, now: Timestamp) -> Option<Timestamp> {
        let is_local = partner.data_centre == self.own_data_centre;
        let intervals = if self.own < partner.id { 1 } else { 2 };
        is_local.then(|| now.plus(Millis::new(self.interval.get() * intervals)))
    }
}

/// Counts a call to a peer at `now`, and returns when to call it again if it doesn't reply.
fn attempt(
    row: &mut Row,
    own_data_centre: &id::DataCentre,
    interval: Millis,
    now: Timestamp,
) -> Option<Timestamp> {
    let span = if row.is_heard { interval } else { retry_delay(row.attempts, interval) };
    row.attempts = row.attempts.saturating_add(1);
    let is_local = row.partner.data_centre == *own_data_centre;
    (is_local || row.attempts < MAX_REMOTE_ATTEMPTS).then(|| now.plus(span))
}

/// Returns the delay after a call without a reply: exponential backoff up to the interval.
fn retry_delay(attempts: u32, interval: Millis) -> Millis {
    Millis::new(FIRST_RETRY.get() << attempts.min(6)).min(interval)
}

/// Selects the teams whose usage is listed in a report.
///
/// A report lists at most [`MAX_USAGES`] teams: first those whose usage has changed noticeably
/// since they were last listed, by decreasing change, then those listed longest ago. For a team
/// that is left out, receivers keep the last reported usage, which is still about right.
#[derive(Clone, Debug, Default)]
pub struct Selection {
    listed: BTreeMap<id::Team, Listed>,
    round: u64,
}

/// Usage of a team as last listed in a report.
#[derive(Clone, Copy, Debug)]
struct Listed {
    queued: u32,
    in_flight: u32,
    round: u64,
}

impl Selection {
    /// Returns the usages to list in the next report, ordered by team. `usages` holds all teams
    /// with queued or running tasks. A listed team that is missing there is listed once more, with
    /// zeros.
    pub fn choose(&mut self, usages: Vec<Usage>) -> Vec<Usage> {
        self.round += 1;
        let mut present: BTreeMap<id::Team, Usage> =
            usages.into_iter().map(|usage| (usage.team.clone(), usage)).collect();
        for team in self.listed.keys() {
            let unused = || Usage { team: team.clone(), queued: 0, in_flight: 0 };
            present.entry(team.clone()).or_insert_with(unused);
        }
        let mut ranked: Vec<_> = present
            .into_values()
            .map(|usage| {
                let known = self.listed.get(&usage.team);
                let change = known.map_or(u32::MAX, |known| known.change(&usage));
                (std::cmp::Reverse(change), known.map_or(0, |known| known.round), usage)
            })
            .collect();
        ranked.sort_by(|a, b| (&a.0, a.1, &a.2.team).cmp(&(&b.0, b.1, &b.2.team)));
        ranked.truncate(MAX_USAGES);
        let mut chosen: Vec<Usage> = ranked.into_iter().map(|(.., usage)| usage).collect();
        for usage in &chosen {
            let Usage { team, queued, in_flight } = usage.clone();
            if queued == 0 && in_flight == 0 {
                self.listed.remove(&team);
            } else {
                self.listed.insert(team, Listed { queued, in_flight, round: self.round });
            }
        }
        chosen.sort_by(|a, b| a.team.cmp(&b.team));
        chosen
    }
}

impl Listed {
    /// Returns the change of the usage since it was listed, 0 if it is not noticeable.
    fn change(&self, usage: &Usage) -> u32 {
        let change = |before: u32, after: u32| {
            let change = before.abs_diff(after);
            let noticeable = (before / NOTICEABLE_DIVISOR).max(1);
            if change > noticeable || (before == 0) != (after == 0) { change } else { 0 }
        };
        change(self.queued, usage.queued).saturating_add(change(self.in_flight, usage.in_flight))
    }
}
