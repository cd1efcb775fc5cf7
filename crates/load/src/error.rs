//! Errors of the load command.

use quick_error::quick_error;
use std::path::PathBuf;

quick_error! {
    /// Why a run of the load command failed.
    #[derive(Debug)]
    pub enum Error {
        /// A file can't be read or written.
        File(path: PathBuf, cause: std::io::Error) {
            display("{}: {}", path.display(), cause)
            source(cause)
        }
        /// A program can't be found or built.
        Program(name: String, message: String) {
            display("program {}: {}", name, message)
        }
        /// A process did not start, did not become ready or did not stop.
        Process(name: String, step: &'static str, message: String) {
            display("process {}: {}: {}", name, step, message)
        }
        /// A request got no answer.
        Request(peer: String, message: String) {
            display("request to {}: {}", peer, message)
        }
        /// An answer is not what the protocol says.
        Answer(peer: String, message: String) {
            display("answer of {}: {}", peer, message)
        }
        /// A check on the results failed.
        Check(message: String) {
            display("check failed: {}", message)
        }
        /// The user stopped the command.
        Interrupted {
            display("interrupted")
        }
    }
}
