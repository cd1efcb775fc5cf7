//! The entry daemon accepts jobs from callers, starts their tasks on targets and returns one
//! complete answer per job.
//!
//! One control thread owns [`verbenapass::engine::Engine`], which makes all decisions. Traffic threads
//! run the server for callers and the clients of targets and of the platform.
//!
//! # Example
//!
//! ```
//! use verbenapass_entry::settings::Settings;
//!
//! let text = "
//! name: entry-1
//! data_centre: north
//! caller_address: 127.0.0.1:7000
//! peer_address: 127.0.0.1:7001
//! platform_address: 127.0.0.1:7100
//! ";
//! let settings = Settings::from_yaml("entry.yaml", text).unwrap();
//! assert_eq!(settings.traffic_threads, 2);
//! ```

pub mod answer;
pub mod args;
pub mod caller;
pub mod check;
pub use verbenapass_node::clock;
pub mod control;
pub mod daemon;
pub mod error;
pub mod log;
pub mod meter;
pub mod operator;
pub mod peer;
pub mod peer_server;
pub mod platform;
pub mod pool;
pub mod report;
pub mod settings;
pub mod snapshot;
pub mod store;
pub mod target;
pub mod trace;
pub mod wire;
