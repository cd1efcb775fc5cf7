//! Errors of the daemon. Those of calls name the step that failed and the address.

use quick_error::quick_error;
use std::net::SocketAddr;
use std::path::PathBuf;

quick_error! {
    /// A settings file cannot be used.
    #[derive(Debug)]
    pub enum Settings {
        /// The file could not be read.
        Read(file: PathBuf, source: std::io::Error) {
            display("settings: cannot read {}: {}", file.display(), source)
            source(source)
        }
        /// The text is not valid YAML, or a field is missing, unknown or of the wrong type.
        Syntax(file: PathBuf, source: serde_yaml_ng::Error) {
            display("settings: {}: {}", file.display(), source)
            source(source)
        }
        /// A value is out of range or malformed; `path` names the field.
        Value(file: PathBuf, path: &'static str, value: String, allowed: String) {
            display("settings: {}: {}: {:?} is not allowed, expected {}", file.display(), path, value,
                allowed)
        }
    }
}

quick_error! {
    /// The daemon could not start, or stopped without a request to stop.
    #[derive(Debug)]
    pub enum Daemon {
        /// A server could not listen on its address.
        Listen(address: SocketAddr, message: String) {
            display("listen: {}: {}", address, message)
        }
        /// A thread or a signal handler could not be started.
        Setup(what: &'static str, source: std::io::Error) {
            display("setup: {}: {}", what, source)
            source(source)
        }
        /// The control thread ended unexpectedly, for instance by a panic.
        Control {
            display("control: the control thread ended unexpectedly")
        }
        /// A trace output could not be opened, or an HTTP server failed.
        Output(what: &'static str, message: String) {
            display("setup: {}: {}", what, message)
        }
    }
}

quick_error! {
    /// A call to another entry instance failed.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Peer {
        /// The connection could not be opened.
        Connect(address: SocketAddr, message: String) {
            display("peer: connect: {}: {}", address, message)
        }
        /// The connection was refused. Nothing listens at the address, so the peer's process has ended.
        Refused(address: SocketAddr) {
            display("peer: connect: {}: connection refused", address)
        }
        /// The connection broke, or the peer replied with an error.
        Failed(step: &'static str, address: SocketAddr, message: String) {
            display("peer: {}: {}: {}", step, address, message)
        }
        /// No reply arrived in time; the peer may have handled the call.
        Timeout(step: &'static str, address: SocketAddr) {
            display("peer: {}: {}: timed out waiting for a reply", step, address)
        }
        /// Too many calls to the peer are open or queued; this one was not sent.
        Busy(step: &'static str, address: SocketAddr) {
            display("peer: {}: {}: too many open calls", step, address)
        }
    }
}

quick_error! {
    /// A query to a target about a start failed; the state of the start stays unknown.
    #[derive(Debug)]
    pub enum StartQuery {
        /// The HTTP request could not be built.
        Request(source: http::Error) {
            display("question: {}", source)
            source(source)
            from()
        }
        /// The HTTP exchange failed.
        Wire(source: crate::wire::Error) {
            display("question: {}", source)
            source(source)
            from()
        }
        /// The response has an unexpected status.
        Status(address: SocketAddr, status: http::StatusCode) {
            display("question: {}: unexpected status {}", address, status)
        }
    }
}
