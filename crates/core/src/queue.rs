//! Queue of the waiting tasks of one service.
//!
//! Teams that use less than their weighted share of the slots go first. Apart from that, teams are
//! sorted by their first jobs, and the jobs of a team by an [`Order`]. The sort key depends on the
//! job alone and not on the current time, so the jobs are kept in a tree and no event scans all
//! waiting jobs.
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

/// Default span of [`Order::Aged`]. With a shorter one, the last tasks of an old large job overtake
/// new small jobs. New jobs overtake a job of 1,400 tasks for at most 23 minutes, and one of 10
/// tasks for 10 s.
pub const AGEING_PER_TASK: Millis = Millis::new(1_000);

/// Difference of the sort keys of two adjacent urgencies. It is bounded so that no kind starves.
const URGENCY_STEP: Millis = Millis::new(10_000);

/// Added to the sort key of every job. It is larger than [`URGENCY_STEP`], so that no key of an
/// urgent job is negative.
const KEY_OFFSET: Millis = Millis::new(20_000);

quick_error! {
    /// Why a text is not an [`Order`].
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Error {
        /// There is no order of this name.
        Order(text: String) {
            display("{:?} is not an order, expected arrival, remaining, deadline, work or aged-100ms", text)
        }
    }
}

/// Order of the waiting jobs within a team, and of the teams by their first jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// First come, first served.
    Arrival,
    /// Fewest waiting tasks first, without ageing.
    Remaining,
    /// Fewest waiting tasks first, with ageing: each waiting task adds this span to the arrival
    /// time of its job, and the earliest sum goes first. A job can only be overtaken by jobs that
    /// arrive within a bounded time after it.
    Aged(Millis),
    /// Earliest deadline first.
    Deadline,
    /// Least remaining work first: waiting tasks times their estimated run time, without ageing.
    Work,
}

/// Options of a [`Queue`].
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Order of the jobs.
    pub order: Order,
    /// Whether teams that use at least their weighted share of the slots go after the others.
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
    /// Number of the job, unique in its instance.
    pub job: u64,
    /// The team that submitted the job.
    pub team: id::Team,
    /// Urgency of the kinds of the tasks.
    pub urgency: Urgency,
    /// When the job arrived.
    pub arrived: Timestamp,
    /// When the answer is no longer of use; [`Timestamp::MAX`] if there is no deadline.
    pub deadline: Timestamp,
    /// Number of waiting tasks.
    pub tasks: u32,
    /// Estimated run time of one task.
    pub work: Millis,
}

/// Sort key in microseconds and number of a job.
type Key = (u64, u64);

#[derive(Debug)]
struct Waiting {
    entry: Entry,
    key: Key,
}

#[derive(Debug)]
struct TeamState {
    weight: u32,
    is_blocked: bool,
    in_flight: u32,
    queued: usize,
    jobs: BTreeSet<Key>,
    /// Entry of the team in [`Queue::heads`], or `None` if no task of it may start.
    head: Option<(bool, Key)>,
}

impl Default for TeamState {
    fn default() -> Self {
        Self {
            weight: 1,
            is_blocked: false,
            in_flight: 0,
            queued: 0,
            jobs: BTreeSet::new(),
            head: None,
        }
    }
}

/// The waiting tasks of one service on one instance.
#[derive(Debug)]
pub struct Queue {
    options: Options,
    entries: HashMap<u64, Waiting>,
    teams: HashMap<id::Team, TeamState>,
    /// Whether a team uses at least its share, the key of its first job, and the team.
    heads: BTreeSet<(bool, Key, id::Team)>,
    held: Slots,
    /// Sum of the weights of the teams with waiting or running tasks.
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

    /// Returns the number of waiting tasks, not of jobs.
    pub const fn len(&self) -> usize {
        self.queued
    }

    /// Tells whether no task waits.
    pub const fn is_empty(&self) -> bool {
        self.queued == 0
    }

    /// Returns the number of waiting tasks of a team; zero for an unknown team.
    pub fn queued_of(&self, team: &id::Team) -> usize {
        self.teams.get(team).map_or(0, |state| state.queued)
    }

    /// Returns the number of running tasks of a team; zero for an unknown team.
    pub fn in_flight_of(&self, team: &id::Team) -> u32 {
        self.teams.get(team).map_or(0, |state| state.in_flight)
    }

    /// Sets the weight by which a team shares the slots with others. Zero counts as one, which is
    /// also the default.
    pub fn set_weight(&mut self, team: &id::Team, weight: u32) {
        let state = self.teams.entry(team.clone()).or_default();
        if state.is_active() {
            self.active_weight -= u64::from(state.weight);
        }
        state.weight = weight.max(1);
        if state.is_active() {
            self.active_weight += u64::from(state.weight);
        }
        self.update_head(team);
    }

    /// Sets whether the waiting tasks of a team are skipped, for example because its quota is used
    /// up.
    pub fn set_blocked(&mut self, team: &id::Team, is_blocked: bool) {
        self.update(team, |state| state.is_blocked = is_blocked);
    }

    /// Sets the number of slots that this instance holds and that the teams share.
    pub fn set_held(&mut self, held: Slots) {
        if self.held == held {
            return;
        }
        self.held = held;
        let teams: Vec<id::Team> = self.teams.keys().cloned().collect();
        for team in teams {
            self.update_head(&team);
        }
    }

    /// Sets the waiting tasks of a job. Replaces the entry of the same job; an entry without tasks
    /// only removes it.
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
        self.update(&team, |state| {
            state.jobs.insert(key);
            state.queued += count;
        });
    }

    /// Removes the waiting tasks of a job, if there are any.
    pub fn remove(&mut self, job: u64) {
        self.take(job);
    }

    /// Returns the job whose task starts next, or `None` if no job waits or all teams are blocked.
    pub fn first(&self) -> Option<u64> {
        self.heads.first().map(|(_, key, _)| key.1)
    }

    /// Returns the entry of a job, or `None` if no task of it waits.
    pub fn get(&self, job: u64) -> Option<&Entry> {
        self.entries.get(&job).map(|waiting| &waiting.entry)
    }

    /// Returns the jobs team by team, best team first, for callers that can't start the first job.
    /// Teams that use at least their share come last, and blocked teams are left out.
    pub fn iter(&self) -> impl Iterator<Item = u64> + '_ {
        self.heads.iter().flat_map(|(_, _, team)| self.teams[team].jobs.iter().map(|key| key.1))
    }

    /// Counts one more running task of a team. Does not change the waiting tasks: the caller sets
    /// those with [`insert`](Self::insert).
    pub fn begin(&mut self, team: &id::Team) {
        self.update(team, |state| state.in_flight += 1);
    }

    /// Counts one running task of a team as ended.
    pub fn end(&mut self, team: &id::Team) {
        self.update(team, |state| state.in_flight = state.in_flight.saturating_sub(1));
    }

    fn take(&mut self, job: u64) -> Option<Entry> {
        let Waiting { entry, key } = self.entries.remove(&job)?;
        let count = entry.tasks as usize;
        self.queued -= count;
        self.update(&entry.team, |state| {
            state.jobs.remove(&key);
            state.queued -= count;
        });
        Some(entry)
    }

    fn key(&self, entry: &Entry) -> Key {
        let remaining = u64::from(entry.tasks);
        let total =
            |per_task: Millis| Micros::new(per_task.to_micros().get().saturating_mul(remaining));
        let rank = match self.options.order {
            Order::Arrival => entry.arrived,
            Order::Remaining => Timestamp::from_micros(remaining.saturating_mul(1_000_000)),
            Order::Aged(per_task) => entry.arrived.plus_micros(total(per_task)),
            Order::Deadline => entry.deadline,
            Order::Work => Timestamp::from_micros(total(entry.work).get()),
        };
        let offset = match entry.urgency {
            Urgency::High => KEY_OFFSET.get() - URGENCY_STEP.get(),
            Urgency::Normal => KEY_OFFSET.get(),
            Urgency::Low => KEY_OFFSET.get() + URGENCY_STEP.get(),
        };
        (rank.plus(Millis::new(offset)).as_micros(), entry.job)
    }

    fn update(&mut self, team: &id::Team, change: impl FnOnce(&mut TeamState)) {
        let state = self.teams.entry(team.clone()).or_default();
        let was_active = state.is_active();
        change(state);
        let weight = u64::from(state.weight);
        match (was_active, state.is_active()) {
            (false, true) => self.active_weight += weight,
            (true, false) => self.active_weight -= weight,
            _ => {}
        }
        self.update_head(team);
        self.refresh_first();
    }

    /// Updates the entry of a team in `heads`.
    fn update_head(&mut self, team: &id::Team) {
        let Some(state) = self.teams.get_mut(team) else { return };
        let is_above = self.options.is_fair
            && u64::from(state.in_flight) * self.active_weight
                >= u64::from(self.held.get()) * u64::from(state.weight)
            && self.active_weight > u64::from(state.weight);
        let first = state.jobs.first().filter(|_| !state.is_blocked);
        let head = first.map(|key| (is_above, *key));
        if head == state.head {
            return;
        }
        if let Some((is_above, key)) = state.head.take() {
            self.heads.remove(&(is_above, key, team.clone()));
        }
        if let Some((is_above, key)) = head {
            self.heads.insert((is_above, key, team.clone()));
        }
        state.head = head;
    }

    /// Updates the first entry of `heads` until it is correct. It may be stale, because the share
    /// of a team changes when other teams become active or inactive.
    fn refresh_first(&mut self) {
        while let Some((is_above, _, team)) = self.heads.first().cloned() {
            self.update_head(&team);
            if self.heads.first().is_none_or(|head| head.0 == is_above && head.2 == team) {
                break;
            }
        }
    }
}

impl TeamState {
    fn is_active(&self) -> bool {
        self.in_flight > 0 || self.queued > 0
    }
}
