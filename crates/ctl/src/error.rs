//! Errors of the command.

use crate::{EXIT_FAILED, EXIT_USAGE};
use quick_error::quick_error;
use std::net::SocketAddr;

quick_error! {
    /// Why a command failed. Each error carries the step and the peer.
    #[derive(Debug)]
    pub enum Error {
        /// A file can't be read or written.
        File(step: &'static str, path: String, error: std::io::Error) {
            display("{} {}: {}", step, path, error)
            source(error)
        }
        /// The arguments do not go together.
        Usage(message: String) {
            display("{}", message)
        }
        /// A settings path is not valid.
        Settings(error: verbenapass::settings::Error) {
            display("{}", error)
            source(error)
            from()
        }
        /// No entry instance answered.
        Unreachable(step: &'static str, entry: SocketAddr, message: String) {
            display("{}: no answer from {}: {}", step, entry, message)
        }
        /// The credential is missing or gives no access.
        Denied(step: &'static str, entry: SocketAddr) {
            display("{}: {} denies access: the credential is missing or belongs to another \
                     subtree", step, entry)
        }
        /// An entry instance gave an answer that this command does not understand.
        Answer(step: &'static str, entry: SocketAddr, status: u16, body: String) {
            display("{}: unexpected answer from {} with status {}: {}", step, entry, status, body)
        }
        /// A drain did not end in time.
        NotDrained(open: u64) {
            display("drain: {} jobs have no final answer yet; nothing was removed", open)
        }
        /// Standard output can't be written.
        Output(error: std::io::Error) {
            display("output: {}", error)
            source(error)
            from()
        }
        /// A value has no JSON form.
        Json(error: serde_json::Error) {
            display("JSON: {}", error)
            source(error)
            from()
        }
    }
}

impl Error {
    /// Returns the exit code that goes with the error.
    pub const fn exit_code(&self) -> u8 {
        match self {
            Self::Usage(_) | Self::Settings(_) => EXIT_USAGE,
            _ => EXIT_FAILED,
        }
    }
}
