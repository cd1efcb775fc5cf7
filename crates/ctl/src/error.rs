//! Errors of the commands and their exit codes.

use crate::{EXIT_FAILED, EXIT_USAGE};
use quick_error::quick_error;
use std::net::SocketAddr;

quick_error! {
    /// Reason why a command failed. `step` names the operation that failed, `entry` the instance
    /// that it was sent to.
    #[derive(Debug)]
    pub enum Error {
        /// A file or directory can't be read, written or created.
        File(step: &'static str, path: String, error: std::io::Error) {
            display("{} {}: {}", step, path, error)
            source(error)
        }
        /// The arguments are incomplete or invalid.
        Usage(message: String) {
            display("{}", message)
        }
        /// A settings path or a checked settings file is not valid.
        Settings(error: verbenapass::settings::Error) {
            display("{}", error)
            source(error)
            from()
        }
        /// An entry instance can't be reached, or its answer was not read completely in time.
        Unreachable(step: &'static str, entry: SocketAddr, message: String) {
            display("{}: no answer from {}: {}", step, entry, message)
        }
        /// The instance rejected the credential, or none was sent.
        Denied(step: &'static str, entry: SocketAddr) {
            display("{}: {} denies access: the credential is missing or belongs to another \
                     subtree", step, entry)
        }
        /// The status or the body of an answer is not one that the protocol defines for the request.
        Answer(step: &'static str, entry: SocketAddr, status: u16, body: String) {
            display("{}: unexpected answer from {} with status {}: {}", step, entry, status, body)
        }
        /// `team close` found this number of open jobs at the end of its wait.
        NotDrained(open: u64) {
            display("drain: {} jobs have no final answer yet; nothing was removed", open)
        }
        /// Standard output can't be written.
        Output(error: std::io::Error) {
            display("output: {}", error)
            source(error)
            from()
        }
        /// A value can't be serialised as JSON.
        Json(error: serde_json::Error) {
            display("JSON: {}", error)
            source(error)
            from()
        }
    }
}

impl Error {
    /// Returns 2 for invalid arguments and settings, and 1 for all other errors.
    pub const fn exit_code(&self) -> u8 {
        match self {
            Self::Usage(_) | Self::Settings(_) => EXIT_USAGE,
            _ => EXIT_FAILED,
        }
    }
}
