//! Schedule of the exchanges of reports between entry instances.
//!
//! An exchange is one call: it carries the report of the caller, its reply the report of the
//! receiver. The schedule bounds the number of exchanges:
//!
//! | reason | partners |
//! | --- | --- |
//! | a peer is new on the list, or has a new address | this peer, at once and again with growing pauses |
//! | an interval has passed | each peer of the data centre, started by the smaller id of the pair |
//! | two intervals of silence | the larger id starts the exchange itself |
//! | an interval without an exchange with another data centre | one peer there, in rotation |
//! | [`Scope::Everywhere`] news | all peers of the data centre, one of each other; repeated once |
//! | [`Scope::DataCentre`] news | all peers of the data centre; repeated once |
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

/// Pause after the first attempt to reach a peer that has not been heard of. Doubles with each
/// attempt, up to the interval.
pub const FIRST_RETRY: Millis = Millis::new(1_000);

/// Attempts to reach a peer of another data centre that has not been heard of. The rotation tries it
/// again.
pub const MAX_REMOTE_ATTEMPTS: u32 = 4;

/// Least time between two rounds of news, so that many marks at once make one round.
pub const BROADCAST_SPACING: Millis = Millis::new(200);

/// Time after which news are sent once more. With one lost message a mark still arrives within the
/// 3 s after which no new task may reach a leaving target.
pub const BROADCAST_REPEAT: Millis = Millis::new(1_000);

/// Most teams in one report: 64 take about 2.5 KB, and a full refresh of 700 teams takes 11 reports.
pub const MAX_USAGES: usize = 64;

/// A peer on the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Partner {
    /// Its id.
    pub id: id::Instance,
    /// Its data centre.
    pub data_centre: id::DataCentre,
    /// Where it listens.
    pub address: SocketAddr,
}

/// Who has to learn news.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Scope {
    /// The peers of the own data centre.
    DataCentre,
    /// All instances: the peers of the own data centre, and one of each other one that passes the
    /// news on.
    Everywhere,
}

/// Peers kept that the list does not name yet. Several times the instances at the design size.
const MAX_EARLY: usize = 1_024;

/// A change of the use of a team is noticeable if it is larger than this fraction, an eighth.
const NOTICEABLE: u32 = 8;

#[derive(Clone, Debug)]
struct Row {
    partner: Partner,
    is_heard: bool,
    attempts: u32,
    due_at: Option<Timestamp>,
}

#[derive(Clone, Copy, Debug)]
struct Remote {
    attempts: u32,
    due_at: Timestamp,
    /// Position in the rotation of its instances.
    round: u64,
}

#[derive(Clone, Copy, Debug)]
struct News {
    scope: Scope,
    due_at: Timestamp,
    is_repeat: bool,
}

/// When to exchange reports with whom.
#[derive(Clone, Debug)]
pub struct Schedule {
    own: id::Instance,
    here: id::DataCentre,
    interval: Millis,
    rows: BTreeMap<id::Instance, Row>,
    remotes: BTreeMap<id::DataCentre, Remote>,
    news: Option<News>,
    /// When the next round of news may go out at the earliest.
    news_from: Timestamp,
    /// The earliest deadline.
    next: Option<Timestamp>,
    /// Peers that were heard of since the last list and that it did not name.
    early: BTreeSet<id::Instance>,
}

impl Schedule {
    /// Makes a schedule without peers for an instance.
    pub const fn new(own: id::Instance, here: id::DataCentre, interval: Millis) -> Self {
        Self {
            own,
            here,
            interval,
            rows: BTreeMap::new(),
            remotes: BTreeMap::new(),
            news: None,
            news_from: Timestamp::from_micros(0),
            next: None,
            early: BTreeSet::new(),
        }
    }

    /// Takes over the peers on the list. The instance itself may be among them.
    pub fn listed(&mut self, partners: impl IntoIterator<Item = Partner>, now: Timestamp) {
        let mut before = std::mem::take(&mut self.rows);
        let early = std::mem::take(&mut self.early);
        for partner in partners.into_iter().filter(|partner| partner.id != self.own) {
            let known = before.remove(&partner.id).filter(|row| row.partner == partner);
            let is_new = known.is_none();
            let mut row =
                known.unwrap_or(Row { partner, is_heard: false, attempts: 0, due_at: Some(now) });
            if is_new && early.contains(&row.partner.id) {
                row.is_heard = true;
                row.due_at = self.next_due(&row.partner, now);
            }
            self.rows.insert(row.partner.id.clone(), row);
        }
        let data_centres: BTreeSet<&id::DataCentre> =
            self.rows.values().map(|row| &row.partner.data_centre).collect();
        self.remotes.retain(|data_centre, _| data_centres.contains(data_centre));
        for data_centre in data_centres.into_iter().filter(|it| **it != self.here) {
            let remote = Remote { attempts: 0, due_at: now.plus(self.interval), round: 0 };
            self.remotes.entry(data_centre.clone()).or_insert(remote);
        }
        self.set_next();
    }

    /// Records a report of a peer, be it a call or a reply.
    pub fn heard(&mut self, from: &id::Instance, now: Timestamp) {
        let Some(row) = self.rows.get(from) else {
            if self.early.len() < MAX_EARLY {
                self.early.insert(from.clone());
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

    /// Records that a new report has been made: the exchanges that this instance starts in its data
    /// centre are due, so that the peers learn it early.
    pub fn reported(&mut self, now: Timestamp) {
        let own = &self.own;
        let started =
            |row: &&mut Row| row.partner.data_centre == self.here && *own < row.partner.id;
        for row in self.rows.values_mut().filter(started).filter(|row| row.is_heard) {
            row.due_at = Some(now);
        }
        self.set_next();
    }

    /// Plans a round of exchanges for news, and its repetition.
    pub fn broadcast(&mut self, scope: Scope, now: Timestamp) {
        let planned = self.news.filter(|news| !news.is_repeat);
        let scope = self.news.map_or(scope, |news| news.scope.max(scope));
        let due_at = planned.map_or_else(|| now.max(self.news_from), |news| news.due_at);
        self.news = Some(News { scope, due_at, is_repeat: false });
        self.set_next();
    }

    /// Tells whether a round of news is due, for which a new report has to be made.
    pub fn is_broadcast_due(&self, now: Timestamp) -> bool {
        self.news.is_some_and(|news| news.due_at.is_past(now))
    }

    /// Returns the peers to start an exchange with now, each once.
    pub fn due(&mut self, now: Timestamp) -> BTreeSet<id::Instance> {
        let mut partners = BTreeSet::new();
        for row in self.rows.values_mut() {
            if row.due_at.is_some_and(|at| at.is_past(now)) {
                row.due_at = attempt(row, &self.here, self.interval, now);
                partners.insert(row.partner.id.clone());
            }
        }
        let news = self.news.take_if(|news| news.due_at.is_past(now));
        if let Some(news) = news {
            self.news_from = now.plus(BROADCAST_SPACING);
            if !news.is_repeat {
                let due_at = now.plus(BROADCAST_REPEAT);
                self.news = Some(News { scope: news.scope, due_at, is_repeat: true });
            }
            let local = self.rows.values().filter(|row| row.partner.data_centre == self.here);
            partners.extend(local.map(|row| row.partner.id.clone()));
        }
        let is_everywhere = news.is_some_and(|news| news.scope == Scope::Everywhere);
        let due = self.remotes.iter().filter(|(_, it)| is_everywhere || it.due_at.is_past(now));
        let due: BTreeSet<id::DataCentre> = due.map(|(it, _)| it.clone()).collect();
        for data_centre in due {
            partners.extend(self.rotate(&data_centre, now));
        }
        self.set_next();
        partners
    }

    /// Returns when exchanges are due next.
    pub const fn next_deadline(&self) -> Option<Timestamp> {
        self.next
    }

    fn set_next(&mut self) {
        let rows = self.rows.values().filter_map(|row| row.due_at);
        let remotes = self.remotes.values().map(|remote| remote.due_at);
        self.next = rows.chain(remotes).chain(self.news.map(|news| news.due_at)).min();
    }

    /// Chooses a peer of another data centre, the next one each time.
    fn rotate(&mut self, data_centre: &id::DataCentre, now: Timestamp) -> Vec<id::Instance> {
        let Some(remote) = self.remotes.get_mut(data_centre) else { return Vec::new() };
        let round = remote.round;
        remote.round += 1;
        remote.due_at = now.plus(pause(remote.attempts, self.interval));
        remote.attempts = remote.attempts.saturating_add(1);
        let partners = self.rows.values().map(|row| &row.partner);
        let peers: Vec<(id::Instance, id::DataCentre)> = partners
            .filter(|partner| partner.data_centre == *data_centre)
            .map(|partner| (partner.id.clone(), partner.data_centre.clone()))
            .collect();
        config::partners(&self.own, &self.here, &peers, round, 1)
    }

    /// Returns when the next exchange with a peer is due that has just been heard of.
    fn next_due(&self, partner: &Partner, now: Timestamp) -> Option<Timestamp> {
        let is_local = partner.data_centre == self.here;
        let intervals = if self.own < partner.id { 1 } else { 2 };
        is_local.then(|| now.plus(Millis::new(self.interval.get() * intervals)))
    }
}

/// Returns when an exchange is due again that is started now, if it gets no reply.
fn attempt(
    row: &mut Row,
    here: &id::DataCentre,
    interval: Millis,
    now: Timestamp,
) -> Option<Timestamp> {
    let span = if row.is_heard { interval } else { pause(row.attempts, interval) };
    row.attempts = row.attempts.saturating_add(1);
    let is_local = row.partner.data_centre == *here;
    (is_local || row.attempts < MAX_REMOTE_ATTEMPTS).then(|| now.plus(span))
}

/// Returns the pause after an attempt without a reply.
fn pause(attempts: u32, interval: Millis) -> Millis {
    Millis::new(FIRST_RETRY.get() << attempts.min(6)).min(interval)
}

/// Choice of the teams whose use goes into a report.
///
/// A report lists a bounded number of teams: first those whose use has changed noticeably since they
/// were last listed, the largest change first, then the ones that were listed longest ago. A team
/// that a report leaves out has about the use that was reported last.
#[derive(Clone, Debug, Default)]
pub struct Selection {
    listed: BTreeMap<id::Team, Listed>,
    round: u64,
}

#[derive(Clone, Copy, Debug)]
struct Listed {
    queued: u32,
    in_flight: u32,
    round: u64,
}

impl Selection {
    /// Returns the use to list in the next report, ordered by team. `usages` holds the teams with
    /// any use at present; a team that has none any more is listed with zeros once.
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
    /// Returns the change since then, 0 if it is not noticeable.
    fn change(&self, usage: &Usage) -> u32 {
        let change = |before: u32, after: u32| {
            let change = before.abs_diff(after);
            let noticeable = (before / NOTICEABLE).max(1);
            if change > noticeable || (before == 0) != (after == 0) { change } else { 0 }
        };
        change(self.queued, usage.queued).saturating_add(change(self.in_flight, usage.in_flight))
    }
}
