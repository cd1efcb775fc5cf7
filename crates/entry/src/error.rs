//! Errors of the daemon, with the step and the peer.

use quick_error::quick_error;
use std::net::SocketAddr;
use std::path::PathBuf;

quick_error! {
    /// Why a settings file is not usable.
    #[derive(Debug)]
    pub enum Settings {
        /// The file could not be read.
        Read(file: PathBuf, source: std::io::Error) {
            display("settings: cannot read {}: {}", file.display(), source)
            source(source)
        }
        /// The text is not YAML of the expected shape.
        Syntax(file: PathBuf, source: serde_yaml_ng::Error) {
            display("settings: {}: {}", file.display(), source)
            source(source)
        }
        /// A value is not allowed.
        Value(file: PathBuf, path: &'static str, value: String, allowed: String) {
            display("settings: {}: {}: {:?} is not allowed, expected {}", file.display(), path, value,
                allowed)
        }
    }
}

quick_error! {
    /// Why the daemon stopped before it was asked to.
    #[derive(Debug)]
    pub enum Daemon {
        /// A server could not be started.
        Listen(address: SocketAddr, message: String) {
            display("listen: {}: {}", address, message)
        }
        /// A thread or a signal handler could not be set up.
        Setup(what: &'static str, source: std::io::Error) {
            display("setup: {}: {}", what, source)
            source(source)
        }
        /// The control thread ended by itself.
        Control {
            display("control: the control thread ended")
        }
        /// An output for logs or traces could not be opened.
        Output(what: &'static str, message: String) {
            display("setup: {}: {}", what, message)
        }
    }
}

quick_error! {
    /// Why a call to another entry instance failed.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Peer {
        /// The connection could not be opened.
        Connect(address: SocketAddr, message: String) {
            display("peer: connect: {}: {}", address, message)
        }
        /// Nothing listens at the address, so that the process of the peer has ended.
        Refused(address: SocketAddr) {
            display("peer: connect: {}: refused", address)
        }
        /// The connection broke or the peer reported an error.
        Failed(step: &'static str, address: SocketAddr, message: String) {
            display("peer: {}: {}: {}", step, address, message)
        }
        /// No answer came in time.
        Timeout(step: &'static str, address: SocketAddr) {
            display("peer: {}: {}: no answer in time", step, address)
        }
        /// Too many calls are open.
        Busy(step: &'static str, address: SocketAddr) {
            display("peer: {}: {}: too many open calls", step, address)
        }
    }
}

quick_error! {
    /// Why a target could not be asked about a start.
    #[derive(Debug)]
    pub enum StartQuery {
        /// The request could not be formed.
        Form(source: http::Error) {
            display("question: {}", source)
            source(source)
            from()
        }
        /// The exchange failed.
        Wire(source: crate::wire::Error) {
            display("question: {}", source)
            source(source)
            from()
        }
        /// The status is none that answers the question.
        Status(address: SocketAddr, status: http::StatusCode) {
            display("question: {}: unexpected status {}", address, status)
        }
    }
}
