//! What reaches the event loop.

use crate::link::{Connection, Frame};
use std::net::SocketAddr;
use tokio::net::TcpStream;
use verbenapass::id;
use verbenapass::unit::Bytes;
use verbenapass_fleet::engine::Event;

/// News of any kind.
#[derive(Debug)]
pub enum Input {
    /// An event for the engine.
    Event(Event),
    /// News of connections between instances.
    Net(News),
    /// Instances from a list.
    Peers(Vec<(id::Instance, SocketAddr)>),
    /// Addresses of instances of unknown name.
    Seeds(Vec<SocketAddr>),
    /// Version and size of the configuration in force.
    Version(id::Version, Bytes),
}

/// News of a connection.
#[derive(Debug)]
pub enum News {
    /// A peer has connected.
    Accepted(TcpStream),
    /// A dialed connection is open.
    Connected(Connection, TcpStream),
    /// A connection has ended; `is_refused` tells that nothing listens there.
    Closed(Connection, bool),
    /// A frame has arrived.
    Frame(Connection, Frame),
}
