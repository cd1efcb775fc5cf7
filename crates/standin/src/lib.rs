//! Stand-ins for the systems around the dispatcher: the platform and the targets.
//!
//! Both keep their state in memory and implement the protocols of `verbenapass-proto`. Fault switches
//! inject faults at run time. They are set over a separate control address, which no switch affects.
//! The stand-ins can be embedded in a test or run as `verbenapass-platform` and
//! `verbenapass-target`.
//!
//! # Example
//!
//! ```
//! use verbenapass_standin::switch;
//!
//! let switches: switch::Target = serde_json::from_str(r#"{"silence": "existing"}"#).unwrap();
//! assert_eq!(switches.silence, switch::Silence::Existing);
//! assert!(!switches.draining);
//! ```

pub mod cli;
pub mod http;
pub mod platform;
pub mod run;
pub mod settings;
pub mod store;
pub mod switch;
pub mod target;
pub mod wire;
