//! Points in time.
//!
//! State stores deadlines as [`Timestamp`] and never as remaining durations, so that a process that
//! was paused compares the deadline with the clock and does not restart the wait.

use crate::unit::{Micros, Millis};
use quick_error::quick_error;
use std::fmt;
use std::str::FromStr;

quick_error! {
    /// Why a text is not a [`Timestamp`].
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Error {
        /// The text is not `<seconds>` or `<seconds>.<fraction>` with one to six fractional digits,
        /// or is too large.
        Syntax(text: String) {
            display("{:?} is not a number of seconds", text)
        }
    }
}

/// A point in time, in microseconds since the Unix epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Timestamp(u64);

impl Timestamp {
    /// The latest point in time, which stands for no deadline.
    pub const MAX: Self = Self(u64::MAX);

    /// Makes a timestamp from microseconds since the Unix epoch.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Returns the number of microseconds since the Unix epoch.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the timestamp `span` later, or [`MAX`](Self::MAX) on overflow.
    pub const fn plus(self, span: Millis) -> Self {
        Self(self.0.saturating_add(span.get().saturating_mul(1_000)))
    }

    /// Returns the timestamp `span` later, or [`MAX`](Self::MAX) on overflow.
    pub const fn plus_micros(self, span: Micros) -> Self {
        Self(self.0.saturating_add(span.get()))
    }

    /// Returns the timestamp `span` earlier, or the Unix epoch if that would be before it.
    pub const fn minus(self, span: Millis) -> Self {
        Self(self.0.saturating_sub(span.get().saturating_mul(1_000)))
    }

    /// Returns the time from `earlier` to this timestamp, or zero if `earlier` is later.
    pub const fn since(self, earlier: Self) -> Micros {
        Micros::new(self.0.saturating_sub(earlier.0))
    }

    /// Tells whether this deadline has been reached at `now`.
    pub const fn is_past(self, now: Self) -> bool {
        now.0 >= self.0
    }
}

impl fmt::Display for Timestamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}", self.0 / 1_000_000, self.0 % 1_000_000)
    }
}

impl FromStr for Timestamp {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let error = || Error::Syntax(text.into());
        let (seconds, fraction) = text.split_once('.').unwrap_or((text, "0"));
        if fraction.is_empty() || fraction.len() > 6 {
            return Err(error());
        }
        let micros: u64 = format!("{fraction:0<6}").parse().map_err(|_| error())?;
        let seconds: u64 = seconds.parse().map_err(|_| error())?;
        seconds
            .checked_mul(1_000_000)
            .and_then(|s| s.checked_add(micros))
            .map(Self)
            .ok_or_else(error)
    }
}
