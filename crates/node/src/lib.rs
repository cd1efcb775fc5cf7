//! The process around [`verbenapass_fleet::engine::Engine`]: links between instances, the event
//! loop, log and metrics.
//!
//! Nothing here knows how clients, targets or stores are spoken to: that is behind
//! [`runtime::Adapter`].
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
