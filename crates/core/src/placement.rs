//! Choice of a target for a task among the free slots of a service.
//!
//! A [`Pool`] holds the slots that an instance may use, with its own counts of running tasks. Local
//! targets come before those of another data centre; among equals the one with the largest free
//! share is chosen. A choice costs the logarithm of the number of targets.
//!
//! # Example
//!
//! ```
//! use verbenapass::job::Demand;
//! use verbenapass::placement::{Candidate, Pool};
//! use verbenapass::unit::{Micros, Slots};
//!
//! let mut pool = Pool::default();
//! let near = pool.insert(Candidate::new(Micros::new(0), Slots::new(1)));
//! let far = pool.insert(Candidate::new(Micros::new(1_000), Slots::new(8)));
//! assert_eq!(pool.choose(Demand::default(), Micros::new(0)), Some(near));
//! pool.begin(near, Demand::default());
//! assert_eq!(pool.choose(Demand::default(), Micros::new(500)), None);
//! assert_eq!(pool.choose(Demand::default(), Micros::new(5_000)), Some(far));
//! ```

use crate::job::Demand;
use crate::unit::{Bytes, Micros, Slots};
use std::collections::BTreeSet;
use xxhash_rust::xxh3::xxh3_64;

/// A target as the pool sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Added one-way delay against a target of the local data centre; zero for local targets.
    pub distance: Micros,
    /// Slots of the target that this instance may use.
    pub held: Slots,
    /// Memory of the target that this instance may use.
    pub memory: Bytes,
    /// Accelerators of the target that this instance may use.
    pub accelerators: u32,
    /// Number of the rack. Among equals, racks are taken in turn.
    pub rack: u32,
    /// Whether the target may get new tasks.
    pub is_usable: bool,
}

impl Candidate {
    /// Makes a usable candidate without limits on memory and accelerators.
    pub const fn new(distance: Micros, held: Slots) -> Self {
        Self {
            distance,
            held,
            memory: Bytes::new(u64::MAX),
            accelerators: u32::MAX,
            rack: 0,
            is_usable: true,
        }
    }
}

/// Place of a target in a [`Pool`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Handle(usize);

impl Handle {
    /// Returns the number of targets that were inserted before this one.
    pub const fn index(self) -> usize {
        self.0
    }
}

/// Distance, running tasks per held slot in thousandths, spread, place.
type Key = (u64, u32, u64, usize);

#[derive(Debug)]
struct Row {
    candidate: Candidate,
    in_flight: u32,
    memory: u64,
    accelerators: u32,
    chosen: u64,
    key: Option<Key>,
}

/// The targets of one service with the slots that this instance may use on each.
#[derive(Debug, Default)]
pub struct Pool {
    rows: Vec<Row>,
    order: BTreeSet<Key>,
    held: u32,
    in_flight: u32,
    free: u32,
}

impl Pool {
    /// Adds a target.
    pub fn insert(&mut self, candidate: Candidate) -> Handle {
        let handle = Handle(self.rows.len());
        self.rows.push(Row {
            candidate: Candidate { held: Slots::new(0), ..candidate },
            in_flight: 0,
            memory: 0,
            accelerators: 0,
            chosen: 0,
            key: None,
        });
        self.set_held(handle, candidate.held);
        handle
    }

    /// Sets the slots of a target that this instance may use. Running tasks beyond it go on.
    pub fn set_held(&mut self, handle: Handle, held: Slots) {
        self.change(handle, |row| row.candidate.held = held);
    }

    /// Sets whether a target may get new tasks.
    pub fn set_usable(&mut self, handle: Handle, is_usable: bool) {
        self.change(handle, |row| row.candidate.is_usable = is_usable);
    }

    /// Returns the slots held on a target.
    pub fn held_on(&self, handle: Handle) -> Slots {
        self.rows[handle.0].candidate.held
    }

    /// Returns the running tasks on a target.
    pub fn in_flight_on(&self, handle: Handle) -> u32 {
        self.rows[handle.0].in_flight
    }

    /// Returns the free slots held on a target.
    pub fn free_on(&self, handle: Handle) -> u32 {
        self.rows[handle.0].free()
    }

    /// Returns the slots held on usable targets.
    pub const fn held(&self) -> Slots {
        Slots::new(self.held)
    }

    /// Returns the running tasks.
    pub const fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the free slots on usable targets.
    pub const fn free(&self) -> u32 {
        self.free
    }

    /// Returns every target.
    pub fn handles(&self) -> impl Iterator<Item = Handle> + use<> {
        (0..self.rows.len()).map(Handle)
    }

    /// Chooses a target with a free slot that fits the demand. `wait` is the expected wait for a
    /// local slot: a target of another data centre pays only if it is nearer than that.
    pub fn choose(&self, demand: Demand, wait: Micros) -> Option<Handle> {
        self.order
            .iter()
            .take_while(|key| key.0 == 0 || Micros::new(key.0) < wait)
            .map(|key| key.3)
            .find(|place| self.rows[*place].fits(demand))
            .map(Handle)
    }

    /// Tells whether any target could ever run a task of this demand.
    pub fn can_run(&self, demand: Demand) -> bool {
        self.rows.iter().any(|row| {
            row.candidate.memory >= demand.memory
                && row.candidate.accelerators >= demand.accelerators
        })
    }

    /// Counts a task as running on a target.
    pub fn begin(&mut self, handle: Handle, demand: Demand) {
        self.change(handle, |row| {
            row.in_flight += 1;
            row.chosen += 1;
            row.memory += demand.memory.get();
            row.accelerators += demand.accelerators;
        });
    }

    /// Counts a task as ended on a target.
    pub fn end(&mut self, handle: Handle, demand: Demand) {
        self.change(handle, |row| {
            row.in_flight = row.in_flight.saturating_sub(1);
            row.memory = row.memory.saturating_sub(demand.memory.get());
            row.accelerators = row.accelerators.saturating_sub(demand.accelerators);
        });
    }

    fn change(&mut self, handle: Handle, change: impl FnOnce(&mut Row)) {
        let row = &mut self.rows[handle.0];
        if let Some(key) = row.key.take() {
            self.order.remove(&key);
        }
        self.held -= row.held();
        self.in_flight -= row.in_flight;
        self.free -= row.free();
        change(row);
        self.held += row.held();
        self.in_flight += row.in_flight;
        self.free += row.free();
        if row.free() > 0 {
            let key = row.make_key(handle.0);
            row.key = Some(key);
            self.order.insert(key);
        }
    }
}

impl Row {
    const fn held(&self) -> u32 {
        if self.candidate.is_usable { self.candidate.held.get() } else { 0 }
    }

    const fn free(&self) -> u32 {
        self.held().saturating_sub(self.in_flight)
    }

    const fn fits(&self, demand: Demand) -> bool {
        self.candidate.memory.get().saturating_sub(self.memory) >= demand.memory.get()
            && self.candidate.accelerators.saturating_sub(self.accelerators) >= demand.accelerators
    }

    /// The spread differs at every choice, so that instances with equal counts do not take targets
    /// in the same order, and a rack is not filled before the next.
    fn make_key(&self, place: usize) -> Key {
        let load = self.in_flight * 1_000 / self.held();
        let seed = [self.chosen, place as u64, u64::from(self.candidate.rack)];
        let spread = xxh3_64(&seed.map(u64::to_le_bytes).concat());
        (self.candidate.distance.get(), load, spread, place)
    }
}
