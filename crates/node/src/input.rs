//! Inputs of the event loop.

use crate::link::{Connection, Frame};
use std::net::SocketAddr;
use tokio::net::TcpStream;
use verbenapass::id;
use verbenapass::unit::Bytes;
use verbenapass_fleet::engine::Event;

/// One input of the event loop.
#[derive(Debug)]
pub enum Input {
    /// An event for the engine.
    Event(Event),
    /// A change of a connection between instances.
    Net(Notification),
    /// Peers with their addresses, as read from the list of instances.
    Peers(Vec<(id::Instance, SocketAddr)>),
    /// Addresses at which to look for peers whose names are not known yet.
    Seeds(Vec<SocketAddr>),
    /// Version and size of the configuration that has come into force.
    Version(id::Version, Bytes),
}

/// A change of a connection.
#[derive(Debug)]
pub enum Notification {
    /// A peer has opened a connection.
    Accepted(TcpStream),
    /// A connection that this instance dialed is open.
    Connected(Connection, TcpStream),
    /// A connection has ended or could not be opened; true if the peer's host refused it, so that no
    /// process listens at that address.
    Closed(Connection, bool),
    /// A frame has arrived.
    Frame(Connection, Frame),
}
