//! Order of waiting tasks of one service.
//!
//! Teams that use less than their weighted share of the slots go first. Within that, jobs are
//! ordered by a [`Order`] that depends on the job alone and not on the present time, so the order is
//! kept in a tree and no event scans the waiting jobs.
//!
//! # Example
//!
//! ```
//! use verbenapass::queue::{Entry, Options, Queue};
//! use verbenapass::settings::Urgency;
//! use verbenapass::time::Timestamp;
//!
//! let mut queue = Queue::new(Options::default());
//! let team: verbenapass::id::Team = "halvern".parse()?;
//! let entry = |job, tasks| Entry {
//!     job,
//!     team: team.clone(),
//!     urgency: Urgency::Normal,
//!     arrived: Timestamp::from_micros(0),
//!     deadline: Timestamp::MAX,
//!     tasks,
//!     work: verbenapass::unit::Millis::new(100),
//! };
//! queue.insert(entry(1, 50));
//! queue.insert(entry(2, 3));
//! assert_eq!(queue.first(), Some(2));
//! # Ok::<(), verbenapass::id::Error>(())
//! ```

use crate::id;
use crate::settings::Urgency;
use crate::time::Timestamp;
use crate::unit::{Micros, Millis, Slots};
use quick_error::quick_error;
use std::collections::{BTreeSet, HashMap};
use std::str::FromStr;

/// Later arrival as which each waiting task counts by default. Shorter spans let the last tasks of an
/// old large job pass new small jobs. A job of 1,400 tasks is passed for at most 23 minutes, one of
/// 10 tasks for 10 s.
pub const AGEING_PER_TASK: Millis = Millis::new(1_000);

/// How far urgency moves a job in the order. It is bounded so that no kind starves.
const URGENCY_STEP: Millis = Millis::new(10_000);

/// Keeps ranks of urgent jobs above zero.
const RANK_ORIGIN: Millis = Millis::new(20_000);

quick_error! {
    /// Why a text is not a rule of order.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Error {
        /// No such rule.
        Order(text: String) {
            display("{:?} is not an order, expected arrival, remaining, deadline, work or aged-100ms", text)
        }
    }
}

/// Rule by which the jobs of teams are ordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// First come, first served.
    Arrival,
    /// Fewest waiting tasks first, without ageing.
    Remaining,
    /// Fewest waiting tasks first. Each waiting task counts as this much later arrival, so a job
    /// is passed only by jobs that arrive within a bounded time after it.
    Aged(Millis),
    /// Earliest deadline first.
    Deadline,
    /// Least remaining work first: waiting tasks times their learnt run time, without ageing.
    Work,
}

/// Properties of a queue.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Rule of order.
    pub order: Order,
    /// Whether teams above their weighted share of the slots go after the others.
    pub is_fair: bool,
}

impl FromStr for Order {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        match text {
            "arrival" => Ok(Self::Arrival),
            "remaining" => Ok(Self::Remaining),
            "deadline" => Ok(Self::Deadline),
            "work" => Ok(Self::Work),
            _ => text
                .strip_prefix("aged-")
                .and_then(|span| span.parse().ok())
                .map(Self::Aged)
                .ok_or_else(|| Error::Order(text.into())),
        }
    }
}

impl Default for Options {
    fn default() -> Self {
        Self { order: Order::Aged(AGEING_PER_TASK), is_fair: true }
    }
}

/// The waiting tasks of one job at one service.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The job.
    pub job: u64,
    /// Its team.
    pub team: id::Team,
    /// Urgency of its kinds.
    pub urgency: Urgency,
    /// When the job arrived.
    pub arrived: Timestamp,
    /// When its answer is of no more use.
    pub deadline: Timestamp,
    /// Number of waiting tasks.
    pub tasks: u32,
    /// Learnt run time of one task.
    pub work: Millis,
}

type Key = (u64, u64);

#[derive(Debug)]
struct Waiting {
    entry: Entry,
    key: Key,
}

#[derive(Debug)]
struct Team {
    weight: u32,
    is_blocked: bool,
    in_flight: u32,
    queued: usize,
    order: BTreeSet<Key>,
    listed: Option<(bool, Key)>,
}

impl Default for Team {
    fn default() -> Self {
        Self {
            weight: 1,
            is_blocked: false,
            in_flight: 0,
            queued: 0,
            order: BTreeSet::new(),
            listed: None,
        }
    }
}

/// The waiting tasks of one service at one instance.
#[derive(Debug)]
pub struct Queue {
    options: Options,
    entries: HashMap<u64, Waiting>,
    teams: HashMap<id::Team, Team>,
    heads: BTreeSet<(bool, Key, id::Team)>,
    held: Slots,
    active_weight: u64,
    queued: usize,
}

impl Queue {
    /// Makes an empty queue.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            entries: HashMap::new(),
            teams: HashMap::new(),
            heads: BTreeSet::new(),
            held: Slots::new(0),
            active_weight: 0,
            queued: 0,
        }
    }

    /// Returns the number of waiting tasks.
    pub const fn len(&self) -> usize {
        self.queued
    }

    /// Tells whether no task waits.
    pub const fn is_empty(&self) -> bool {
        self.queued == 0
    }

    /// Returns the waiting tasks of a team.
    pub fn queued_of(&self, team: &id::Team) -> usize {
        self.teams.get(team).map_or(0, |row| row.queued)
    }

    /// Returns the running tasks of a team.
    pub fn in_flight_of(&self, team: &id::Team) -> u32 {
        self.teams.get(team).map_or(0, |row| row.in_flight)
    }

    /// Sets the weight of a team against the others. Zero counts as one.
    pub fn set_weight(&mut self, team: &id::Team, weight: u32) {
        let row = self.teams.entry(team.clone()).or_default();
        if row.is_active() {
            self.active_weight -= u64::from(row.weight);
        }
        row.weight = weight.max(1);
        if row.is_active() {
            self.active_weight += u64::from(row.weight);
        }
        self.relist(team);
    }

    /// Passes over the waiting tasks of a team, or no longer does so.
    pub fn set_blocked(&mut self, team: &id::Team, is_blocked: bool) {
        self.update(team, |row| row.is_blocked = is_blocked);
    }

    /// Sets the number of slots that the teams share.
    pub fn set_held(&mut self, held: Slots) {
        if self.held == held {
            return;
        }
        self.held = held;
        let teams: Vec<id::Team> = self.teams.keys().cloned().collect();
        for team in teams {
            self.relist(&team);
        }
    }

    /// Sets the waiting tasks of a job. An entry of the same job is replaced.
    pub fn insert(&mut self, entry: Entry) {
        self.remove(entry.job);
        if entry.tasks == 0 {
            return;
        }
        let key = self.key(&entry);
        let team = entry.team.clone();
        let count = entry.tasks as usize;
        self.entries.insert(entry.job, Waiting { entry, key });
        self.queued += count;
        self.update(&team, |row| {
            row.order.insert(key);
            row.queued += count;
        });
    }

    /// Removes the waiting tasks of a job.
    pub fn remove(&mut self, job: u64) {
        self.take(job);
    }

    /// Returns the job whose task starts next.
    pub fn first(&self) -> Option<u64> {
        self.heads.first().map(|(_, key, _)| key.1)
    }

    /// Returns the entry of a job.
    pub fn get(&self, job: u64) -> Option<&Entry> {
        self.entries.get(&job).map(|waiting| &waiting.entry)
    }

    /// Returns the jobs in the order in which they would start, for callers that can't start the
    /// first one. Jobs of teams above their share come last.
    pub fn iter(&self) -> impl Iterator<Item = u64> + '_ {
        self.heads.iter().flat_map(|(_, _, team)| self.teams[team].order.iter().map(|key| key.1))
    }

    /// Counts a task of a team as running.
    pub fn begin(&mut self, team: &id::Team) {
        self.update(team, |row| row.in_flight += 1);
    }

    /// Counts a running task of a team as ended.
    pub fn end(&mut self, team: &id::Team) {
        self.update(team, |row| row.in_flight = row.in_flight.saturating_sub(1));
    }

    fn take(&mut self, job: u64) -> Option<Entry> {
        let Waiting { entry, key } = self.entries.remove(&job)?;
        let count = entry.tasks as usize;
        self.queued -= count;
        self.update(&entry.team, |row| {
            row.order.remove(&key);
            row.queued -= count;
        });
        Some(entry)
    }

    fn key(&self, entry: &Entry) -> Key {
        let remaining = u64::from(entry.tasks);
        let span = |span: Millis| Micros::new(span.to_micros().get().saturating_mul(remaining));
        let rank = match self.options.order {
            Order::Arrival => entry.arrived,
            Order::Remaining => Timestamp::from_micros(remaining.saturating_mul(1_000_000)),
            Order::Aged(per_task) => entry.arrived.plus_micros(span(per_task)),
            Order::Deadline => entry.deadline,
            Order::Work => Timestamp::from_micros(span(entry.work).get()),
        };
        let urgency = match entry.urgency {
            Urgency::High => RANK_ORIGIN.get() - URGENCY_STEP.get(),
            Urgency::Normal => RANK_ORIGIN.get(),
            Urgency::Low => RANK_ORIGIN.get() + URGENCY_STEP.get(),
        };
        (rank.plus(Millis::new(urgency)).as_micros(), entry.job)
    }

    fn update(&mut self, team: &id::Team, change: impl FnOnce(&mut Team)) {
        let row = self.teams.entry(team.clone()).or_default();
        let before = row.is_active();
        change(row);
        let weight = u64::from(row.weight);
        match (before, row.is_active()) {
            (false, true) => self.active_weight += weight,
            (true, false) => self.active_weight -= weight,
            _ => {}
        }
        self.relist(team);
        self.settle();
    }

    /// Lists the team by its first job and by whether it is above its share.
    fn relist(&mut self, team: &id::Team) {
        let Some(row) = self.teams.get_mut(team) else { return };
        let above = self.options.is_fair
            && u64::from(row.in_flight) * self.active_weight
                >= u64::from(self.held.get()) * u64::from(row.weight)
            && self.active_weight > u64::from(row.weight);
        let first = row.order.first().filter(|_| !row.is_blocked);
        let listed = first.map(|key| (above, *key));
        if listed == row.listed {
            return;
        }
        if let Some((above, key)) = row.listed.take() {
            self.heads.remove(&(above, key, team.clone()));
        }
        if let Some((above, key)) = listed {
            self.heads.insert((above, key, team.clone()));
        }
        row.listed = listed;
    }

    /// Corrects the listing of the first team of each class, which may be out of date because
    /// other teams came or went.
    fn settle(&mut self) {
        while let Some((above, _, team)) = self.heads.first().cloned() {
            self.relist(&team);
            if self.heads.first().is_none_or(|head| head.0 == above && head.2 == team) {
                break;
            }
        }
    }
}

impl Team {
    fn is_active(&self) -> bool {
        self.in_flight > 0 || self.queued > 0
    }
}
