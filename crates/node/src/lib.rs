//! The process around [`verbenapass_fleet::engine::Engine`]: links between instances, event loop, log
//! and metrics.
//!
//! The protocols of clients, targets and stores are implemented behind [`runtime::Adapter`].
//!
//! # Example
//!
//! ```
//! use verbenapass_node::clock;
//!
//! let earlier = clock::now();
//! assert!(clock::now() >= earlier);
//! ```

pub mod clock;
pub mod http;
pub mod input;
pub mod link;
pub mod listing;
pub mod log;
pub mod meter;
pub mod net;
pub mod runtime;
pub mod schedule;
