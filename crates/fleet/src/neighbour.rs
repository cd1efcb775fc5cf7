//! Kinds of the runs on one target, and how long each was beside each run.

use crate::run::Key;
use std::collections::HashMap;
use verbenapass::id;
use verbenapass::time::Timestamp;
use verbenapass::unit::Micros;

/// Presence of one kind on the target since it was first seen there.
#[derive(Debug)]
struct Presence {
    kind: id::Kind,
    runs: u32,
    /// Time with at least one run of the kind.
    single: Micros,
    /// Time with at least two runs of the kind.
    double: Micros,
    /// Time up to which the times are counted; when the last run ended if there is none.
    counted_until: Timestamp,
}

impl Presence {
    fn set_runs(&mut self, runs: u32, now: Timestamp) {
        if self.runs == 0 && runs == 0 {
            return;
        }
        let elapsed = now.since(self.counted_until).get();
        if self.runs >= 1 {
            self.single = Micros::new(self.single.get() + elapsed);
        }
        if self.runs >= 2 {
            self.double = Micros::new(self.double.get() + elapsed);
        }
        self.runs = runs;
        self.counted_until = now;
    }

    /// Returns the time in which a run of `own` had a run of this kind beside it, if it was there all
    /// the time.
    fn beside(&self, own: &id::Kind) -> Micros {
        if self.kind == *own { self.double } else { self.single }
    }
}

#[derive(Debug)]
struct Run {
    kind: id::Kind,
    began_at: Timestamp,
    /// [`Presence::beside`] of the kinds that were known when the run began.
    before: Vec<(id::Kind, Micros)>,
}

/// Runs on one target. It holds the kinds that were there since its oldest run began.
#[derive(Debug, Default)]
pub struct Set {
    presences: Vec<Presence>,
    runs: HashMap<Key, Run>,
}

impl Set {
    /// Adds a run that begins.
    pub fn begin(&mut self, key: Key, kind: &id::Kind, now: Timestamp) {
        for presence in &mut self.presences {
            presence.set_runs(presence.runs, now);
        }
        match self.presences.iter_mut().find(|presence| presence.kind == *kind) {
            Some(presence) => presence.set_runs(presence.runs + 1, now),
            None => self.presences.push(Presence {
                kind: kind.clone(),
                runs: 1,
                single: Micros::new(0),
                double: Micros::new(0),
                counted_until: now,
            }),
        }
        let known = self.presences.iter();
        let before = known.map(|presence| (presence.kind.clone(), presence.beside(kind)));
        let run = Run { kind: kind.clone(), began_at: now, before: before.collect() };
        self.runs.insert(key, run);
    }

    /// Removes a run that ends. Returns the kinds that were beside it for at least half of its time;
    /// `None` if the run is unknown.
    pub fn end(&mut self, key: Key, now: Timestamp) -> Option<Vec<id::Kind>> {
        let run = self.runs.remove(&key)?;
        for presence in &mut self.presences {
            let own = u32::from(presence.kind == run.kind);
            presence.set_runs(presence.runs - own, now);
        }
        let duration = now.since(run.began_at).get();
        let is_neighbour = |presence: &&Presence| {
            let before = run.before.iter().find(|(kind, _)| *kind == presence.kind);
            let before = before.map_or(0, |(_, beside)| beside.get());
            let beside = presence.beside(&run.kind).get() - before;
            beside > 0 && beside * 2 >= duration
        };
        let neighbours = self.presences.iter().filter(is_neighbour);
        let neighbours = neighbours.map(|presence| presence.kind.clone()).collect();
        self.forget();
        Some(neighbours)
    }

    /// Returns the kinds of the runs that are on the target now.
    pub fn kinds(&self) -> impl Iterator<Item = &id::Kind> {
        self.presences.iter().filter(|presence| presence.runs > 0).map(|presence| &presence.kind)
    }

    /// Returns the number of kinds whose presence is recorded.
    pub fn len(&self) -> usize {
        self.presences.len()
    }

    /// Returns whether no kind's presence is recorded.
    pub fn is_empty(&self) -> bool {
        self.presences.is_empty()
    }

    /// Removes kinds that have left before the oldest run began.
    fn forget(&mut self) {
        let oldest = self.runs.values().map(|run| run.began_at).min().unwrap_or(Timestamp::MAX);
        let count = self.presences.len();
        self.presences.retain(|presence| presence.runs > 0 || presence.counted_until > oldest);
        if self.presences.len() < count {
            let presences = &self.presences;
            for run in self.runs.values_mut() {
                run.before.retain(|(kind, _)| presences.iter().any(|p| p.kind == *kind));
            }
        }
    }
}
