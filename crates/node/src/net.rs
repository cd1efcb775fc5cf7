//! TCP connections between instances.

use crate::input::{Input, Notification};
use crate::link::{Connection, Frame};
use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Timeout for opening a connection to a peer: two round trips between data centres with a margin.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Limit on the size of a frame. The largest frames carry a configuration of many routes.
const MAX_FRAME_BYTES: usize = 32 * 1_024 * 1_024;

/// The write sides of open connections, keyed by their number.
#[derive(Debug)]
pub struct Connections {
    inbox: UnboundedSender<Input>,
    writers: HashMap<Connection, UnboundedSender<Bytes>>,
}

impl Connections {
    /// Creates an empty set that reports changes and frames of its connections to `inbox`.
    pub fn new(inbox: UnboundedSender<Input>) -> Self {
        Self { inbox, writers: HashMap::new() }
    }

    /// Connects to an address in the background; the outcome arrives as [`Notification::Connected`] or
    /// [`Notification::Closed`].
    pub fn dial(&self, connection: Connection, address: SocketAddr) {
        let inbox = self.inbox.clone();
        tokio::spawn(async move {
            let connecting = TcpStream::connect(address);
            let notification = match tokio::time::timeout(CONNECT_TIMEOUT, connecting).await {
                Ok(Ok(stream)) => Notification::Connected(connection, stream),
                Ok(Err(error)) => Notification::Closed(
                    connection,
                    error.kind() == io::ErrorKind::ConnectionRefused,
                ),
                Err(_) => Notification::Closed(connection, false),
            };
            notify(&inbox, notification);
        });
    }

    /// Reads and writes an open connection in the background until it ends.
    pub fn open(&mut self, connection: Connection, stream: TcpStream) {
        let (writer, frames) = unbounded_channel();
        self.writers.insert(connection, writer);
        let inbox = self.inbox.clone();
        tokio::spawn(async move {
            serve(connection, stream, frames, &inbox).await;
            notify(&inbox, Notification::Closed(connection, false));
        });
    }

    /// Queues a frame, or drops it if the connection is no longer open. Fails if the frame cannot be
    /// encoded.
    pub fn send(&self, connection: Connection, frame: &Frame) -> Result<(), postcard::Error> {
        let Some(writer) = self.writers.get(&connection) else { return Ok(()) };
        let bytes = postcard::to_stdvec(frame)?;
        // If the connection has just ended, its task reports that.
        writer.send(bytes.into()).ok();
        Ok(())
    }

    /// Closes a connection after the queued frames are written.
    pub fn close(&mut self, connection: Connection) {
        self.writers.remove(&connection);
    }
}

/// Accepts connections of peers for the life of the process.
pub async fn listen(listener: TcpListener, inbox: UnboundedSender<Input>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => notify(&inbox, Notification::Accepted(stream)),
            // Out of file descriptors: wait until some are free.
            Err(_) => tokio::time::sleep(CONNECT_TIMEOUT).await,
        }
    }
}

async fn serve(
    connection: Connection,
    stream: TcpStream,
    mut frames: UnboundedReceiver<Bytes>,
    inbox: &UnboundedSender<Input>,
) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
    let mut stream = Framed::new(stream, codec);
    loop {
        tokio::select! {
            frame = frames.recv() => {
                let Some(mut bytes) = frame else { return };
                loop {
                    if stream.feed(bytes).await.is_err() {
                        return;
                    }
                    match frames.try_recv() {
                        Ok(more) => bytes = more,
                        Err(_) => break,
                    }
                }
                if SinkExt::<Bytes>::flush(&mut stream).await.is_err() {
                    return;
                }
            }
            bytes = stream.next() => {
                let Some(Ok(bytes)) = bytes else { return };
                let Ok(frame) = postcard::from_bytes(&bytes) else { return };
                notify(inbox, Notification::Frame(connection, frame));
            }
        }
    }
}

/// Ignores the result of the send: the receiver lives as long as the process.
fn notify(inbox: &UnboundedSender<Input>, notification: Notification) {
    inbox.send(Input::Net(notification)).ok();
}
