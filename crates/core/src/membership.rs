//! View of which targets and peers are in service, from the platform's instance list and from direct
//! evidence.
//!
//! The list lags and can be unavailable or stale, so it is only one of the sources:
//!
//! | evidence | effect |
//! | --- | --- |
//! | a list with a higher revision | names targets and peers and their leaving marks; an equal or lower revision has no effect |
//! | the list is unavailable | nothing changes |
//! | a target's answer `draining`, a leaving mark on the list or from a peer | [`State::Leaving`] until the name has been off the list for [`Options::mark_retention`] |
//! | consecutive failed connects | [`State::Suspect`] until a deadline, then the next attempt decides |
//! | an answer or a successful connect | the target is not suspect, and stays usable for a while if the list omits it |
//! | a peer's report | the peer counts as live until a deadline |
//! | a peer's stopping flag | [`State::Leaving`] for the peer |
//!
//! A leaving mark on a name says that this target or instance is shutting down. It is final, because
//! a target or instance that restarts gets a new name. Instances pass the marks of targets on in
//! reports. After a new mark, see [`View::take_marked`], reports go out at once and are repeated
//! once, as [`crate::exchange`] schedules them. No new task may reach a leaving target more than 3 s
//! after the mark. Periodic reports alone would have to go out every [`EXCHANGE_INTERVAL`] to
//! achieve that.
//!
//! # Example
//!
//! ```
//! use verbenapass::membership::{List, ListedTarget, Options, State, View};
//! use verbenapass::time::Timestamp;
//!
//! let now = Timestamp::from_micros(0);
//! let target: verbenapass::id::Target = "t1".parse().unwrap();
//! let mut view = View::new(Options::default());
//! let targets = vec![ListedTarget { id: target.clone(), leaving: false }];
//! view.listed(&List { revision: 7, targets, peers: Vec::new() }, now);
//! assert_eq!(view.target(&target, now), State::Live);
//! view.draining(&target, now);
//! assert_eq!(view.target(&target, now), State::Leaving);
//! ```

use crate::id;
use crate::peer::{Leaving, Report};
use crate::time::Timestamp;
use crate::unit::Millis;
use std::collections::BTreeMap;

/// Interval of periodic reports that spreads a leaving mark to all instances within 3 s. A mark takes
/// two hops, each of which waits for the next report. Even with an interval of 1,400 ms, both hops
/// and the network delay together stay within 3 s.
pub const EXCHANGE_INTERVAL: Millis = Millis::new(1_000);

/// State of a target or a peer as seen by one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum State {
    /// In service; it may get new work.
    Live,
    /// Shutting down; it gets no new work any more.
    Leaving,
    /// Not responding; it gets no new work until a deadline passes or it responds.
    Suspect,
    /// Unknown, or known to have left.
    Gone,
}

/// Timeouts and thresholds of a [`View`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Consecutive failed connects that make a target suspect. A single one may come from a burst of
    /// connections at the target.
    pub connect_failures: u32,
    /// Initial time for which a target is suspect; each further failed connect doubles it.
    pub initial_suspicion: Millis,
    /// Upper bound of the time for which a target is suspect.
    pub max_suspicion: Millis,
    /// How long after its last response a target that the list omits stays usable, within
    /// [`unlisted_grace`](Self::unlisted_grace).
    pub response_window: Millis,
    /// Longest time for which a responding target stays usable after the list omits it.
    pub unlisted_grace: Millis,
    /// Time without a report after which a peer is suspect, or gone if the list omits it.
    pub peer_liveness_timeout: Millis,
    /// How long a leaving mark is kept after the name has left the list.
    pub mark_retention: Millis,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            connect_failures: 2,
            initial_suspicion: Millis::new(250),
            max_suspicion: Millis::new(8_000),
            response_window: Millis::new(5_000),
            unlisted_grace: Millis::new(60_000),
            // Three report intervals.
            peer_liveness_timeout: Millis::new(3_000),
            // Longer than any served copy of the list can lag behind.
            mark_retention: Millis::new(600_000),
        }
    }
}

/// A target on the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedTarget {
    /// Unique name; a target that restarts gets a new one.
    pub id: id::Target,
    /// Whether the list marks it as leaving.
    pub leaving: bool,
}

/// An entry instance on the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedPeer {
    /// Unique name; an instance that restarts gets a new one.
    pub id: id::Instance,
    /// Data centre that the instance runs in.
    pub data_centre: id::DataCentre,
    /// Whether the list marks it as leaving.
    pub leaving: bool,
}

/// A copy of the platform's instance list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct List {
    /// Rises with each change of the list.
    pub revision: u64,
    /// Targets of all services.
    pub targets: Vec<ListedTarget>,
    /// Entry instances of all data centres.
    pub peers: Vec<ListedPeer>,
}

#[derive(Clone, Debug, Default)]
struct TargetRow {
    listed: bool,
    /// End of the grace period that starts when the list omits the target.
    unlisted_until: Timestamp,
    /// End of the response window after the last response.
    responsive_until: Timestamp,
    failures: u32,
    suspect_until: Timestamp,
    /// When the leaving mark expires; `None` without a mark.
    forget_at: Option<Timestamp>,
}

#[derive(Clone, Debug)]
struct PeerRow {
    data_centre: id::DataCentre,
    listed: bool,
    live_until: Timestamp,
    leaving: bool,
}

/// What one instance knows about targets and peers.
#[derive(Clone, Debug)]
pub struct View {
    options: Options,
    revision: Option<u64>,
    targets: BTreeMap<id::Target, TargetRow>,
    peers: BTreeMap<id::Instance, PeerRow>,
    newly_marked: bool,
}

impl View {
    /// Creates a view without targets and peers.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            revision: None,
            targets: BTreeMap::new(),
            peers: BTreeMap::new(),
            newly_marked: false,
        }
    }

    /// Merges a copy of the list and returns whether it was newer than the last one.
    ///
    /// If the list can't be read, the caller skips this call; targets and peers then keep their
    /// state.
    pub fn listed(&mut self, list: &List, now: Timestamp) -> bool {
        if self.revision.is_some_and(|seen| list.revision <= seen) {
            return false;
        }
        self.revision = Some(list.revision);
        self.list_targets(&list.targets, now);
        self.list_peers(&list.peers, now);
        true
    }

    /// Records that a target answered `draining`, which marks it as leaving.
    pub fn draining(&mut self, target: &id::Target, now: Timestamp) {
        self.mark(target, now.plus(self.options.mark_retention));
    }

    /// Records a failed connect to a target, unless the target is already suspect.
    pub fn connect_failed(&mut self, target: &id::Target, now: Timestamp) {
        let options = self.options;
        let Some(row) = self.targets.get_mut(target) else { return };
        // Attempts that were in flight when the target became suspect must not prolong the suspicion.
        if !row.suspect_until.is_past(now) {
            return;
        }
        row.failures = row.failures.saturating_add(1);
        if let Some(excess) = row.failures.checked_sub(options.connect_failures) {
            let span = options.initial_suspicion.get().saturating_mul(1 << excess.min(16));
            row.suspect_until = now.plus(Millis::new(span).min(options.max_suspicion));
        }
    }

    /// Records that a target responded: an answer or a successful connect.
    pub fn responded(&mut self, target: &id::Target, now: Timestamp) {
        if let Some(row) = self.targets.get_mut(target) {
            row.failures = 0;
            row.suspect_until = now;
            row.responsive_until = row.responsive_until.max(now.plus(self.options.response_window));
        }
    }

    /// Merges the report of a peer: its liveness, its stopping flag and the leaving marks in it.
    pub fn reported(&mut self, report: &Report, now: Timestamp) {
        let live_until = now.plus(self.options.peer_liveness_timeout);
        let row = self.peers.entry(report.from.clone()).or_insert_with(|| PeerRow {
            data_centre: report.data_centre.clone(),
            listed: false,
            live_until,
            leaving: false,
        });
        row.live_until = row.live_until.max(live_until);
        row.leaving |= report.stopping;
        for leaving in &report.leaving {
            self.peer_leaving(leaving, now);
        }
    }

    /// Merges a leaving mark from a peer.
    pub fn peer_leaving(&mut self, leaving: &Leaving, now: Timestamp) {
        if leaving.forget_at.is_past(now) {
            return;
        }
        // Without this bound, a peer with a wrong clock could set a mark that never expires.
        let latest = now.plus(self.options.mark_retention);
        self.mark(&leaving.target, leaving.forget_at.min(latest));
    }

    /// Returns the state of a target, [`State::Gone`] for an unknown one.
    pub fn target(&self, target: &id::Target, now: Timestamp) -> State {
        let Some(row) = self.targets.get(target) else { return State::Gone };
        if row.forget_at.is_some() {
            return State::Leaving;
        }
        let within_grace = !row.unlisted_until.is_past(now) && !row.responsive_until.is_past(now);
        if !row.listed && !within_grace {
            return State::Gone;
        }
        if !row.suspect_until.is_past(now) {
            return State::Suspect;
        }
        State::Live
    }

    /// Returns the targets that may get new work: those that are [`State::Live`].
    pub fn usable_targets(&self, now: Timestamp) -> impl Iterator<Item = &id::Target> {
        self.targets.keys().filter(move |target| self.target(target, now) == State::Live)
    }

    /// Returns the state of a peer, [`State::Gone`] for an unknown one.
    pub fn peer(&self, peer: &id::Instance, now: Timestamp) -> State {
        self.peers.get(peer).map_or(State::Gone, |row| peer_state(row, now))
    }

    /// Returns the peers that are not gone, with their data centre and state.
    pub fn peers(
        &self,
        now: Timestamp,
    ) -> impl Iterator<Item = (&id::Instance, &id::DataCentre, State)> {
        self.peers
            .iter()
            .map(move |(peer, row)| (peer, &row.data_centre, peer_state(row, now)))
            .filter(|(_, _, state)| *state != State::Gone)
    }

    /// Returns the leaving marks to send in a report.
    ///
    /// A mark gets a new expiry as long as the name is on the list, so instances that start later
    /// learn it, too.
    pub fn marks(&self, now: Timestamp) -> Vec<Leaving> {
        let renewed = now.plus(self.options.mark_retention);
        let mark = |(target, row): (&id::Target, &TargetRow)| {
            let forget_at = row.forget_at?;
            let forget_at = if row.listed { forget_at.max(renewed) } else { forget_at };
            Some(Leaving { target: target.clone(), forget_at })
        };
        self.targets
            .iter()
            .filter_map(mark)
            .filter(|leaving| !leaving.forget_at.is_past(now))
            .collect()
    }

    /// Returns whether a target has got its first leaving mark since the last call; a report should
    /// then go out at once.
    pub fn take_marked(&mut self) -> bool {
        std::mem::take(&mut self.newly_marked)
    }

    /// Removes targets and peers that are gone, and expired leaving marks with them.
    pub fn tick(&mut self, now: Timestamp) {
        self.targets.retain(|_, row| {
            let marked = row.forget_at.is_some_and(|forget_at| !forget_at.is_past(now));
            let unlisted = !row.unlisted_until.is_past(now);
            row.listed || marked || unlisted
        });
        self.peers.retain(|_, row| row.listed || !row.live_until.is_past(now));
    }

    fn mark(&mut self, target: &id::Target, forget_at: Timestamp) {
        // A mark may arrive before the first list that names the target.
        let row = self.targets.entry(target.clone()).or_default();
        self.newly_marked |= row.forget_at.is_none();
        row.forget_at = Some(row.forget_at.map_or(forget_at, |before| before.max(forget_at)));
    }

    fn list_targets(&mut self, listed: &[ListedTarget], now: Timestamp) {
        let options = self.options;
        let mut before: Vec<id::Target> = Vec::new();
        for (target, row) in &mut self.targets {
            if std::mem::replace(&mut row.listed, false) {
                before.push(target.clone());
            }
        }
        for target in listed {
            self.targets.entry(target.id.clone()).or_default().listed = true;
            if target.leaving {
                self.mark(&target.id, now.plus(options.mark_retention));
            }
        }
        for target in before {
            if let Some(row) = self.targets.get_mut(&target).filter(|row| !row.listed) {
                row.unlisted_until = now.plus(options.unlisted_grace);
                row.forget_at = row.forget_at.map(|at| at.max(now.plus(options.mark_retention)));
            }
        }
    }

    fn list_peers(&mut self, listed: &[ListedPeer], now: Timestamp) {
        self.peers.values_mut().for_each(|row| row.listed = false);
        for peer in listed {
            // A peer that is new on the list has `peer_liveness_timeout` to send its first report.
            let live_until = now.plus(self.options.peer_liveness_timeout);
            let row = self.peers.entry(peer.id.clone()).or_insert_with(|| PeerRow {
                data_centre: peer.data_centre.clone(),
                listed: true,
                live_until,
                leaving: false,
            });
            row.listed = true;
            row.leaving |= peer.leaving;
        }
    }
}

fn peer_state(row: &PeerRow, now: Timestamp) -> State {
    let silent = row.live_until.is_past(now);
    match (row.leaving, silent) {
        (_, true) if !row.listed => State::Gone,
        (true, _) => State::Leaving,
        (false, true) => State::Suspect,
        (false, false) => State::Live,
    }
}
