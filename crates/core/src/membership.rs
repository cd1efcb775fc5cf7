//! Merge of the platform's instance list with direct evidence.
//!
//! The list lags and can be unavailable or old, so that it is only one of the sources:
//!
//! | evidence | effect |
//! | --- | --- |
//! | a list with a higher revision | names targets and peers and their marks; an equal or lower revision has no effect |
//! | no list | nothing changes |
//! | a target's answer `draining`, a leaving mark on the list or from a peer | [`State::Leaving`] for as long as the name exists |
//! | failed connects in a row | [`State::Suspect`] until a deadline, then one more attempt |
//! | an answer or a successful connect | the target is not suspect, and stays usable for a while if a list leaves it out |
//! | a peer's report | the peer is live until a deadline |
//! | a peer's stopping flag | [`State::Leaving`] for the peer |
//!
//! A leaving mark is final for a name: a target or instance that restarts gets a new one. Marks
//! travel in reports. For a new one, see [`View::take_marked`], reports go out at once and once more,
//! as [`crate::exchange`] decides. Without that, exchanges every [`EXCHANGE_INTERVAL`] would be needed
//! for a mark to reach every instance within the 3 s after which no new task may reach a leaving
//! target.
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

/// Interval of reports that spreads a leaving mark in time. Two hops of 1,400 ms with their transits
/// would still be within 3 s.
pub const EXCHANGE_INTERVAL: Millis = Millis::new(1_000);

/// What is known about a target or a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum State {
    /// In service.
    Live,
    /// It gets no new work.
    Leaving,
    /// It does not respond; it gets no new work until a deadline.
    Suspect,
    /// It does not exist or no longer exists.
    Gone,
}

/// Spans of the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Failed connects in a row that make a target suspect. One alone may be a burst at the target.
    pub connect_failures: u32,
    /// How long a target is suspect at first; each failed attempt after that doubles the span.
    pub suspect_first: Millis,
    /// Longest span for which a target is suspect.
    pub suspect_longest: Millis,
    /// How long after its last proof of life a target that a list leaves out stays usable.
    pub response_window: Millis,
    /// How long a target that a list leaves out stays usable at most.
    pub unlisted: Millis,
    /// Silence after which a peer is suspect.
    pub peer_silence: Millis,
    /// How long a leaving mark is kept after the name has left the list.
    pub mark_retention: Millis,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            connect_failures: 2,
            suspect_first: Millis::new(250),
            suspect_longest: Millis::new(8_000),
            response_window: Millis::new(5_000),
            unlisted: Millis::new(60_000),
            // Three reports.
            peer_silence: Millis::new(3_000),
            // Longer than the lag of any list that is still served.
            mark_retention: Millis::new(600_000),
        }
    }
}

/// A target on the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedTarget {
    /// The target.
    pub id: id::Target,
    /// Whether the list marks it as leaving.
    pub leaving: bool,
}

/// An entry instance on the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedPeer {
    /// The instance.
    pub id: id::Instance,
    /// Its data centre.
    pub data_centre: id::DataCentre,
    /// Whether the list marks it as leaving.
    pub leaving: bool,
}

/// One copy of the instance list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct List {
    /// Rises with each change of the list.
    pub revision: u64,
    /// Targets.
    pub targets: Vec<ListedTarget>,
    /// Entry instances.
    pub peers: Vec<ListedPeer>,
}

#[derive(Clone, Debug, Default)]
struct TargetRow {
    listed: bool,
    /// End of the use of a target that a list leaves out.
    unlisted_until: Timestamp,
    /// End of the trust in the last proof of life.
    responsive_until: Timestamp,
    failures: u32,
    suspect_until: Timestamp,
    /// Deadline of the leaving mark, if there is one.
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
    marked: bool,
}

impl View {
    /// Makes a view that knows nothing.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            revision: None,
            targets: BTreeMap::new(),
            peers: BTreeMap::new(),
            marked: false,
        }
    }

    /// Merges a copy of the list and tells whether it was newer than the last one.
    ///
    /// If the list can't be read, nothing is to be called.
    pub fn listed(&mut self, list: &List, now: Timestamp) -> bool {
        if self.revision.is_some_and(|seen| list.revision <= seen) {
            return false;
        }
        self.revision = Some(list.revision);
        self.list_targets(&list.targets, now);
        self.list_peers(&list.peers, now);
        true
    }

    /// Records that a target answered `draining`.
    pub fn draining(&mut self, target: &id::Target, now: Timestamp) {
        self.mark(target, now.plus(self.options.mark_retention));
    }

    /// Records that a connection to a target could not be opened.
    pub fn connect_failed(&mut self, target: &id::Target, now: Timestamp) {
        let options = self.options;
        let Some(row) = self.targets.get_mut(target) else { return };
        // Attempts that were under way when the target became suspect are no further evidence.
        if !row.suspect_until.is_past(now) {
            return;
        }
        row.failures = row.failures.saturating_add(1);
        if let Some(more) = row.failures.checked_sub(options.connect_failures) {
            let span = options.suspect_first.get().saturating_mul(1 << more.min(16));
            row.suspect_until = now.plus(Millis::new(span).min(options.suspect_longest));
        }
    }

    /// Records a proof of life of a target: an answer or a successful connect.
    pub fn responded(&mut self, target: &id::Target, now: Timestamp) {
        if let Some(row) = self.targets.get_mut(target) {
            row.failures = 0;
            row.suspect_until = now;
            row.responsive_until = row.responsive_until.max(now.plus(self.options.response_window));
        }
    }

    /// Merges a report of a peer: its life, its stopping flag and the marks that it passes on.
    pub fn reported(&mut self, report: &Report, now: Timestamp) {
        let live_until = now.plus(self.options.peer_silence);
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
        // The bound keeps a peer with a wrong clock from making a mark that lasts for ever.
        let longest = now.plus(self.options.mark_retention);
        self.mark(&leaving.target, leaving.forget_at.min(longest));
    }

    /// Returns the state of a target.
    pub fn target(&self, target: &id::Target, now: Timestamp) -> State {
        let Some(row) = self.targets.get(target) else { return State::Gone };
        if row.forget_at.is_some() {
            return State::Leaving;
        }
        let kept = !row.unlisted_until.is_past(now) && !row.responsive_until.is_past(now);
        if !row.listed && !kept {
            return State::Gone;
        }
        if !row.suspect_until.is_past(now) {
            return State::Suspect;
        }
        State::Live
    }

    /// Returns the targets that may get new work.
    pub fn usable_targets(&self, now: Timestamp) -> impl Iterator<Item = &id::Target> {
        self.targets.keys().filter(move |target| self.target(target, now) == State::Live)
    }

    /// Returns the state of a peer.
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

    /// Returns the leaving marks for a report.
    ///
    /// A mark is renewed while the name is on the list, so that an instance that starts later learns
    /// it, too.
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

    /// Tells whether a target has been marked since the last call, so that a report should go out
    /// at once.
    pub fn take_marked(&mut self) -> bool {
        std::mem::take(&mut self.marked)
    }

    /// Forgets what is gone.
    pub fn tick(&mut self, now: Timestamp) {
        self.targets.retain(|_, row| {
            let marked = row.forget_at.is_some_and(|forget_at| !forget_at.is_past(now));
            let unlisted = !row.unlisted_until.is_past(now);
            row.listed || marked || unlisted
        });
        self.peers.retain(|_, row| row.listed || !row.live_until.is_past(now));
    }

    fn mark(&mut self, target: &id::Target, forget_at: Timestamp) {
        // A mark may arrive before the list that names the target.
        let row = self.targets.entry(target.clone()).or_default();
        self.marked |= row.forget_at.is_none();
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
                row.unlisted_until = now.plus(options.unlisted);
                row.forget_at = row.forget_at.map(|at| at.max(now.plus(options.mark_retention)));
            }
        }
    }

    fn list_peers(&mut self, listed: &[ListedPeer], now: Timestamp) {
        self.peers.values_mut().for_each(|row| row.listed = false);
        for peer in listed {
            // A peer that is new on the list has one span of silence to send its first report.
            let live_until = now.plus(self.options.peer_silence);
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
