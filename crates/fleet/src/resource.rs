//! Amounts of the resources of targets and tasks.

use verbenapass::unit::{Accelerators, Mebibytes, Micros, Millicores, Millis};

/// Amount of each resource that a task takes or a target has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Amount {
    /// Processor time, in thousandths of a core.
    pub cpu: Millicores,
    /// Main memory, in mebibytes.
    pub memory: Mebibytes,
    /// Number of whole accelerators.
    pub accelerators: Accelerators,
}

impl Amount {
    /// Returns whether `room` has at least this amount of each resource.
    pub fn fits(self, room: Self) -> bool {
        self.cpu <= room.cpu && self.memory <= room.memory && self.accelerators <= room.accelerators
    }

    /// Returns the sum of two amounts, saturating.
    pub fn plus(self, other: Self) -> Self {
        Self {
            cpu: Millicores::new(self.cpu.get().saturating_add(other.cpu.get())),
            memory: Mebibytes::new(self.memory.get().saturating_add(other.memory.get())),
            accelerators: Accelerators::new(
                self.accelerators.get().saturating_add(other.accelerators.get()),
            ),
        }
    }

    /// Returns this amount less `other`, saturating at zero.
    pub fn minus(self, other: Self) -> Self {
        Self {
            cpu: Millicores::new(self.cpu.get().saturating_sub(other.cpu.get())),
            memory: Mebibytes::new(self.memory.get().saturating_sub(other.memory.get())),
            accelerators: Accelerators::new(
                self.accelerators.get().saturating_sub(other.accelerators.get()),
            ),
        }
    }

    /// Returns the amount of `count` equal tasks, saturating.
    pub fn times(self, count: u32) -> Self {
        Self {
            cpu: Millicores::new(self.cpu.get().saturating_mul(u64::from(count))),
            memory: Mebibytes::new(self.memory.get().saturating_mul(u64::from(count))),
            accelerators: Accelerators::new(self.accelerators.get().saturating_mul(count)),
        }
    }

    /// Returns how many tasks of this amount fit into `room` together; `u64::MAX` if they take
    /// nothing.
    pub fn count_in(self, room: Self) -> u64 {
        let share = |part: u64, whole: u64| whole.checked_div(part).unwrap_or(u64::MAX);
        share(self.cpu.get(), room.cpu.get())
            .min(share(self.memory.get(), room.memory.get()))
            .min(share(self.accelerators.get().into(), room.accelerators.get().into()))
    }

    /// Returns the time in which `whole`, fully used, does work that takes this amount for `time`.
    /// Only the dominant resource counts, the one with the largest share of `whole`; the share of a
    /// resource that `whole` lacks is one.
    pub fn dominant_share_of(self, whole: Self, time: Micros) -> Micros {
        let share = |part: u64, whole: u64| match part {
            0 => 0,
            _ => time.get().saturating_mul(part).checked_div(whole).unwrap_or(time.get()),
        };
        let cpu = share(self.cpu.get(), whole.cpu.get());
        let memory = share(self.memory.get(), whole.memory.get());
        let accelerators = share(self.accelerators.get().into(), whole.accelerators.get().into());
        Micros::new(cpu.max(memory).max(accelerators))
    }

    /// Returns the larger of both amounts for each resource.
    pub fn max(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.max(other.cpu),
            memory: self.memory.max(other.memory),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Returns the smaller of both amounts for each resource.
    pub fn min(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.min(other.cpu),
            memory: self.memory.min(other.memory),
            accelerators: self.accelerators.min(other.accelerators),
        }
    }
}

/// Work in units that don't depend on who does it: resources times the time for which they are taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Work {
    /// Processors, in thousandths of a core times milliseconds.
    cpu: u64,
    /// Main memory, in mebibytes times milliseconds.
    memory: u64,
    /// Accelerators times milliseconds.
    accelerators: u64,
}

impl Work {
    /// Creates the work that takes `amount` for `time`, saturating.
    pub fn new(amount: Amount, time: Millis) -> Self {
        let work = |part: u64| part.saturating_mul(time.get());
        Self {
            cpu: work(amount.cpu.get()),
            memory: work(amount.memory.get()),
            accelerators: work(amount.accelerators.get().into()),
        }
    }

    /// Returns the sum of two amounts of work, saturating.
    pub fn plus(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.saturating_add(other.cpu),
            memory: self.memory.saturating_add(other.memory),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Returns the time in which `whole`, fully used, does the work. Only the resource that takes
    /// longest counts; one that `whole` lacks counts as a single unit.
    pub fn time_on(self, whole: Amount) -> Micros {
        let time = |part: u64, whole: u64| part.saturating_mul(1_000) / whole.max(1);
        let cpu = time(self.cpu, whole.cpu.get());
        let memory = time(self.memory, whole.memory.get());
        let accelerators = time(self.accelerators, whole.accelerators.get().into());
        Micros::new(cpu.max(memory).max(accelerators))
    }
}
