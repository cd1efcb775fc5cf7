//! Choice of a target with a free slot for a task.
//!
//! A [`Pool`] holds the slots that an instance may use on the targets of one service, and counts
//! the tasks that the instance runs there. Targets of the local data centre come before those of
//! another one. Among targets at the same distance, the one with the lowest load per slot is
//! chosen. A choice usually takes logarithmic time in the number of targets.
//!
//! # Example
//!
//! ```
//! use verbenapass::job::Resources;
//! use verbenapass::placement::{Candidate, Pool};
//! use verbenapass::unit::{Micros, Slots};
//!
//! let mut pool = Pool::default();
//! let near = pool.insert(Candidate::new(Micros::new(0), Slots::new(1)));
//! let far = pool.insert(Candidate::new(Micros::new(1_000), Slots::new(8)));
//! assert_eq!(pool.choose(Resources::default(), Micros::new(0)), Some(near));
//! pool.begin(near, Resources::default());
//! assert_eq!(pool.choose(Resources::default(), Micros::new(500)), None);
//! assert_eq!(pool.choose(Resources::default(), Micros::new(5_000)), Some(far));
//! ```

use crate::job::Resources;
use crate::unit::{Bytes, Micros, Slots};
use std::collections::BTreeSet;
use xxhash_rust::xxh3::xxh3_64;

/// The part of a target that one instance may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// One-way network delay beyond that of a target in the local data centre, so zero there.
    pub distance: Micros,
    /// Slots of the target that this instance may use. Zero means that it gets no tasks.
    pub held: Slots,
    /// Memory of the target that the tasks of this instance may use together.
    pub memory: Bytes,
    /// Accelerators of the target that the tasks of this instance may use together.
    pub accelerators: u32,
    /// Number of the rack. It is part of the tie-break between targets with equal distance and
    /// load.
    pub rack: u32,
    /// Whether the target may get new tasks. Its slots do not count as free otherwise.
    pub is_usable: bool,
}

impl Candidate {
    /// Makes a usable candidate in rack 0 without limits on memory and accelerators.
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

/// A target in the [`Pool`] that returned this handle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Handle(usize);

impl Handle {
    /// Returns the number of targets that were inserted before this one.
    pub const fn index(self) -> usize {
        self.0
    }
}

/// Distance in microseconds, running tasks per held slot in thousandths, tie-break, index.
type Key = (u64, u32, u64, usize);

#[derive(Debug)]
struct Target {
    candidate: Candidate,
    in_flight: u32,
    /// In use by running tasks, in bytes.
    memory: u64,
    /// In use by running tasks.
    accelerators: u32,
    /// Tasks ever started on the target.
    chosen: u64,
    /// Entry of the target in [`Pool::order`], or `None` if it has no free slot.
    key: Option<Key>,
}

/// The targets of one service, with the slots that this instance may use on each.
#[derive(Debug, Default)]
pub struct Pool {
    targets: Vec<Target>,
    /// Targets with a free slot, the best first.
    order: BTreeSet<Key>,
    held: u32,
    in_flight: u32,
    free: u32,
}

impl Pool {
    /// Adds a target without running tasks.
    pub fn insert(&mut self, candidate: Candidate) -> Handle {
        let handle = Handle(self.targets.len());
        self.targets.push(Target {
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

    /// Sets the slots of a target that this instance may use. If more tasks run than that, they
    /// continue, and the target has no free slot until enough have ended.
    pub fn set_held(&mut self, handle: Handle, held: Slots) {
        self.change(handle, |target| target.candidate.held = held);
    }

    /// Sets whether a target may get new tasks. Running tasks continue.
    pub fn set_usable(&mut self, handle: Handle, is_usable: bool) {
        self.change(handle, |target| target.candidate.is_usable = is_usable);
    }

    /// Returns the slots held on a target, whether it is usable or not.
    pub fn held_on(&self, handle: Handle) -> Slots {
        self.targets[handle.0].candidate.held
    }

    /// Returns the number of tasks that this instance runs on a target.
    pub fn in_flight_on(&self, handle: Handle) -> u32 {
        self.targets[handle.0].in_flight
    }

    /// Returns the held slots without a running task on a target; zero if it is not usable.
    pub fn free_on(&self, handle: Handle) -> u32 {
        self.targets[handle.0].free()
    }

    /// Returns the sum of the slots held on usable targets.
    pub const fn held(&self) -> Slots {
        Slots::new(self.held)
    }

    /// Returns the number of running tasks on all targets, usable or not.
    pub const fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the sum of the free slots on usable targets.
    pub const fn free(&self) -> u32 {
        self.free
    }

    /// Returns the handles of all targets in the order of insertion.
    pub fn handles(&self) -> impl Iterator<Item = Handle> + use<> {
        (0..self.targets.len()).map(Handle)
    }

    /// Chooses a target with a free slot that fits the demand, or returns `None`. `wait` is the
    /// expected wait for a local slot: a target of another data centre is chosen only if its
    /// distance is shorter than that.
    pub fn choose(&self, demand: Resources, wait: Micros) -> Option<Handle> {
        self.order
            .iter()
            .take_while(|key| key.0 == 0 || Micros::new(key.0) < wait)
            .map(|key| key.3)
            .find(|index| self.targets[*index].fits(demand))
            .map(Handle)
    }

    /// Tells whether any target has the memory and accelerators for a task when no other task runs
    /// there. Ignores slots and whether the target is usable.
    pub fn can_run(&self, demand: Resources) -> bool {
        self.targets.iter().any(|target| {
            target.candidate.memory >= demand.memory
                && target.candidate.accelerators >= demand.accelerators
        })
    }

    /// Counts a task as running on a target and takes its demand from the target.
    pub fn begin(&mut self, handle: Handle, demand: Resources) {
        self.change(handle, |target| {
            target.in_flight += 1;
            target.chosen += 1;
            target.memory += demand.memory.get();
            target.accelerators += demand.accelerators;
        });
    }

    /// Counts a task as ended on a target. `demand` must be that of [`begin`](Self::begin).
    pub fn end(&mut self, handle: Handle, demand: Resources) {
        self.change(handle, |target| {
            target.in_flight = target.in_flight.saturating_sub(1);
            target.memory = target.memory.saturating_sub(demand.memory.get());
            target.accelerators = target.accelerators.saturating_sub(demand.accelerators);
        });
    }

    fn change(&mut self, handle: Handle, change: impl FnOnce(&mut Target)) {
        let target = &mut self.targets[handle.0];
        if let Some(key) = target.key.take() {
            self.order.remove(&key);
        }
        self.held -= target.held();
        self.in_flight -= target.in_flight;
        self.free -= target.free();
        change(target);
        self.held += target.held();
        self.in_flight += target.in_flight;
        self.free += target.free();
        if target.free() > 0 {
            let key = target.sort_key(handle.0);
            target.key = Some(key);
            self.order.insert(key);
        }
    }
}

impl Target {
    const fn held(&self) -> u32 {
        if self.candidate.is_usable { self.candidate.held.get() } else { 0 }
    }

    const fn free(&self) -> u32 {
        self.held().saturating_sub(self.in_flight)
    }

    const fn fits(&self, demand: Resources) -> bool {
        self.candidate.memory.get().saturating_sub(self.memory) >= demand.memory.get()
            && self.candidate.accelerators.saturating_sub(self.accelerators) >= demand.accelerators
    }

    /// The tie-break changes with each task started on the target, so that instances with equal
    /// loads do not choose targets in the same order, and one rack is not filled before the next.
    fn sort_key(&self, index: usize) -> Key {
        let load = self.in_flight * 1_000 / self.held();
        let seed = [self.chosen, index as u64, u64::from(self.candidate.rack)];
        let tie_break = xxh3_64(&seed.map(u64::to_le_bytes).concat());
        (self.candidate.distance.get(), load, tie_break, index)
    }
}
