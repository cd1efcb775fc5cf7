//! Scheduling logic of instances that own targets under leases and exchange tasks with their peers.
//!
//! Each target has one owner, the only instance that starts runs there and accounts for its
//! resources. Each job has one home, the instance that accepted it from its client. A home places
//! tasks on its own targets or, if these are full, in room (free capacity) that other owners grant
//! it.
//!
//! The crate does no I/O and reads no clock: [`engine::Engine`] takes events with the current time
//! and returns commands.
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
pub mod containment;
pub mod crash;
pub mod engine;
pub mod estimate;
pub mod evacuation;
pub mod generation;
pub mod interference;
pub mod job;
pub mod message;
pub mod neighbour;
pub mod obstacle;
pub mod order;
pub mod pause;
pub mod record;
pub mod resource;
pub mod roster;
pub mod round_trip;
pub mod route;
pub mod run;
pub mod speed;
pub mod target;
