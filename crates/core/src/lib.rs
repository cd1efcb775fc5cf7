//! Decision logic of a dispatcher for sub-second tasks, as modules that can be used on their own.
//!
//! The crate does no I/O, starts no threads and reads no clock. The caller passes in the current
//! time and executes the commands that are returned, so a test can replay any sequence of events,
//! including faults.
//!
//! An entry instance is one process of the dispatcher; it accepts jobs from callers and starts
//! their tasks on targets, the servers that run tasks. The platform is an outside system that
//! provides the list of entry instances and targets, and a table of rows with versions.
//!
//! # Example
//!
//! ```
//! use verbenapass::time::Timestamp;
//! use verbenapass::unit::Millis;
//!
//! let now = Timestamp::from_micros(1_000_000);
//! let deadline = now.plus(Millis::new(250));
//! assert!(!deadline.is_past(now));
//! assert_eq!(deadline.to_string(), "1.250000");
//! ```

pub mod admission;
pub mod claim;
pub mod config;
pub mod connection;
mod dispatch;
pub mod ejection;
pub mod engine;
pub mod estimate;
mod event;
pub mod exchange;
pub mod id;
pub mod job;
pub mod membership;
pub mod outcome;
pub mod peer;
pub mod placement;
pub mod queue;
pub mod quota;
pub mod retry;
pub mod settings;
pub mod share;
pub mod start;
mod table;
pub mod time;
pub mod unit;
