//! Decisions of instances that own leased targets and move tasks between each other.
//!
//! Each target has one owner, which alone starts runs there and keeps the account of its room. Each
//! job has one home, the instance that took it from its client. A home places tasks on its own
//! targets or, where these are full, in room that other owners grant it.
//!
//! The crate does no I/O and reads no clock: [`engine::Engine`] takes events with the time and
//! returns commands.
//!
//! # Example
//!
//! ```
//! use verbenapass_fleet::run::Job;
//!
//! let job: Job = "5c0e7a21d94b36f8".parse().unwrap();
//! assert_eq!(job.to_string(), "5c0e7a21d94b36f8");
//! ```

pub mod admission;
pub mod engine;
pub mod job;
pub mod message;
pub mod record;
pub mod resource;
pub mod roster;
pub mod route;
pub mod run;
pub mod target;
