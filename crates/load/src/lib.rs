//! Load generator, benchmarks and experiments for the dispatcher.
//!
//! [`site`] starts an installation of real processes on loopback addresses, [`workload`] generates
//! jobs, [`drive`] submits them and [`audit`] checks the answers. [`experiment`] compares ways of
//! routing in a simulation without processes.
//!
//! # Example
//!
//! ```
//! use verbenapass_load::workload::{Options, plan};
//!
//! let jobs = plan(&Options { seed: 7, ..Options::default() });
//! assert_eq!(jobs, plan(&Options { seed: 7, ..Options::default() }));
//! ```

pub mod audit;
pub mod bench;
pub mod binary;
pub mod capacity;
pub mod client;
pub mod demo;
pub mod drive;
pub mod error;
pub mod experiment;
pub mod experiment_engine;
pub mod fleet;
pub mod idle;
pub mod plot;
pub mod process;
pub mod report;
pub mod result;
pub mod site;
pub mod workload;
