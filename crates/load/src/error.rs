//! Errors of the load command.

use quick_error::quick_error;
use std::path::PathBuf;

quick_error! {
    /// Why a run of the load command or a step of a test with real processes failed.
    #[derive(Debug)]
    pub enum Error {
        /// A file can't be read, written or parsed.
        File(path: PathBuf, cause: std::io::Error) {
            display("{}: {}", path.display(), cause)
            source(cause)
        }
        /// A program of the workspace can't be found or built.
        Program(name: String, message: String) {
            display("program {}: {}", name, message)
        }
        /// `step` failed for the process `name`, for example its start or its stop. The message may
        /// end with the log of the process.
        Process(name: String, step: &'static str, message: String) {
            display("process {}: {}: {}", name, step, message)
        }
        /// A request could not be sent or got no complete answer in time.
        Request(server: String, message: String) {
            display("request to {}: {}", server, message)
        }
        /// An answer has an unexpected status or a body that does not parse.
        Answer(server: String, message: String) {
            display("answer of {}: {}", server, message)
        }
        /// A result is wrong or a precondition of the run does not hold.
        Check(message: String) {
            display("check failed: {}", message)
        }
        /// The command received SIGINT or SIGTERM.
        Interrupted {
            display("interrupted")
        }
    }
}
