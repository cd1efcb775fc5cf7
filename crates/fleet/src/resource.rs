//! Amounts of the resources that tasks take from a target.

use verbenapass::unit::{Accelerators, Mebibytes, Micros, Millicores};

/// What a task takes, or what a target has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Amount {
    /// Processors.
    pub cpu: Millicores,
    /// Memory.
    pub memory: Mebibytes,
    /// Accelerators.
    pub accelerators: Accelerators,
}

impl Amount {
    /// Tells whether this amount fits into `room`.
    pub fn fits(self, room: Self) -> bool {
        self.cpu <= room.cpu && self.memory <= room.memory && self.accelerators <= room.accelerators
    }

    /// Returns the sum of two amounts.
    pub fn plus(self, other: Self) -> Self {
        Self {
            cpu: Millicores::new(self.cpu.get().saturating_add(other.cpu.get())),
            memory: Mebibytes::new(self.memory.get().saturating_add(other.memory.get())),
            accelerators: Accelerators::new(
                self.accelerators.get().saturating_add(other.accelerators.get()),
            ),
        }
    }

    /// Returns this amount less `other`, with zero in place of negative values.
    pub fn minus(self, other: Self) -> Self {
        Self {
            cpu: Millicores::new(self.cpu.get().saturating_sub(other.cpu.get())),
            memory: Mebibytes::new(self.memory.get().saturating_sub(other.memory.get())),
            accelerators: Accelerators::new(
                self.accelerators.get().saturating_sub(other.accelerators.get()),
            ),
        }
    }

    /// Returns the amount of `count` equal tasks.
    pub fn times(self, count: u32) -> Self {
        Self {
            cpu: Millicores::new(self.cpu.get().saturating_mul(u64::from(count))),
            memory: Mebibytes::new(self.memory.get().saturating_mul(u64::from(count))),
            accelerators: Accelerators::new(self.accelerators.get().saturating_mul(count)),
        }
    }

    /// Returns how many tasks of this amount `room` holds at the same time.
    pub fn count_in(self, room: Self) -> u64 {
        let share = |part: u64, whole: u64| whole.checked_div(part).unwrap_or(u64::MAX);
        share(self.cpu.get(), room.cpu.get())
            .min(share(self.memory.get(), room.memory.get()))
            .min(share(self.accelerators.get().into(), room.accelerators.get().into()))
    }

    /// Returns the time in which all of `whole` does what takes this amount for `time`, by the resource
    /// of which it takes the largest part. Of a resource that `whole` has none of, it takes all.
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

    /// Returns the smaller value of each resource.
    pub fn min(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.min(other.cpu),
            memory: self.memory.min(other.memory),
            accelerators: self.accelerators.min(other.accelerators),
        }
    }
}
