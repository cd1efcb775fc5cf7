//! Quantities with units: time spans, sizes, counts and fractions.
//!
//! Those with a unit are written with a suffix, such as `250ms`, which may be omitted in a text to
//! parse.

use quick_error::quick_error;
use std::fmt;
use std::str::FromStr;

quick_error! {
    /// Why a text is not a quantity of the wanted type.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Error {
        /// The text is not a whole number with or without the expected suffix, or is too large.
        Syntax(text: String, expected: &'static str) {
            display("{:?} is not a quantity, expected {}", text, expected)
        }
    }
}

macro_rules! quantity {
    ($(#[$doc:meta])* $name:ident($repr:ty), $suffix:literal, $expected:literal) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(serde::Deserialize, serde::Serialize)]
        pub struct $name($repr);

        impl $name {
            /// Makes a quantity from a number of its units.
            pub const fn new(number: $repr) -> Self {
                Self(number)
            }

            /// Returns the number of its units.
            pub const fn get(self) -> $repr {
                self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!("{}", $suffix), self.0)
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self, Error> {
                let number = text.strip_suffix($suffix).unwrap_or(text);
                number.parse().map(Self).map_err(|_| Error::Syntax(text.into(), $expected))
            }
        }
    };
}

quantity! {
    /// A data rate in kilobits per second.
    Kilobits(u64), "kbit/s", "kilobits per second such as 25000kbit/s"
}

quantity! {
    /// A time span in microseconds.
    Micros(u64), "us", "microseconds such as 250us"
}
quantity! {
    /// A time span in milliseconds.
    Millis(u64), "ms", "milliseconds such as 250ms"
}
quantity! {
    /// A size in bytes.
    Bytes(u64), "B", "bytes such as 4096B"
}
quantity! {
    /// A number of slots. Each slot of a target runs one task at a time.
    Slots(u32), "", "a whole number of slots"
}
quantity! {
    /// A share of processor time in thousandths of a core.
    Millicores(u64), "m", "thousandths of a core such as 500m"
}
quantity! {
    /// A size of memory in mebibytes.
    Mebibytes(u64), "Mi", "mebibytes such as 256Mi"
}
quantity! {
    /// A number of accelerators, such as GPUs.
    Accelerators(u32), "", "a whole number of accelerators"
}
quantity! {
    /// A fraction in thousandths.
    Permille(u32), "‰", "thousandths such as 100‰"
}

impl Millis {
    /// Returns the span in microseconds, limited to the largest one.
    pub const fn to_micros(self) -> Micros {
        Micros::new(self.0.saturating_mul(1_000))
    }
}

impl Permille {
    /// Returns this fraction of `whole`, rounded down. The fraction may exceed one.
    pub const fn of(self, whole: u64) -> u64 {
        whole.saturating_mul(self.0 as u64) / 1_000
    }
}
