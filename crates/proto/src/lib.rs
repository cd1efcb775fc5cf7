//! Message types of the protocols between callers, entry instances, targets and the platform.
//!
//! The caller, target and platform protocols are JSON over HTTP. Entry instances call each other
//! over Cap'n Proto RPC; `src/peer_capnp.rs` is generated from `schema/peer.capnp`, see
//! CONTRIBUTING.md.
//!
//! # Example
//!
//! ```
//! use verbenapass_proto::caller::Submit;
//!
//! let body = r#"{"timeout_ms": 500, "tasks": [{"kind": "seat-hold", "payload": {"seat": 12}}]}"#;
//! let submit: Submit = serde_json::from_str(body).unwrap();
//! assert!(submit.wait);
//! ```

pub mod caller;
pub mod platform;
pub mod settings;
pub mod target;

#[allow(missing_docs, unreachable_pub, clippy::all, clippy::pedantic, clippy::use_self)]
pub mod peer_capnp;
