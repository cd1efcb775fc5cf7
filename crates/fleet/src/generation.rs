//! Fencing tokens of the ownership of targets.

use std::fmt;
use std::str::FromStr;
use verbenapass::time::Timestamp;

/// Number of low bits of a generation that hold the process number.
const PROCESS_BITS: u32 = 20;

/// Fencing token of one ownership of a target. Unique among instances, since its low bits hold the
/// process number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Generation(u64);

impl Generation {
    /// Makes a generation from an integer; zero is below the generations of all owners.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the integer, as targets and peers see it.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns a generation of `process` that is `rounds` steps above this one, or higher. It is at
    /// least the time in seconds, so that a fleet restarted as a whole exceeds its old generations.
    pub fn above(self, rounds: u64, process: u32, now: Timestamp) -> Self {
        let seconds = now.as_micros() / 1_000_000;
        let round = (self.0 >> PROCESS_BITS).saturating_add(rounds).max(seconds);
        Self((round << PROCESS_BITS) | u64::from(process) & ((1 << PROCESS_BITS) - 1))
    }
}

impl fmt::Display for Generation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for Generation {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}
