//! Connections between instances.

use crate::input::{Input, News};
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

/// Time to open a connection to a peer: two round trips between data centres with a margin.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Largest frame. A configuration of many routes is the largest content.
const MAX_FRAME_BYTES: usize = 32 * 1_024 * 1_024;

/// Open connections by number.
#[derive(Debug)]
pub struct Connections {
    inbox: UnboundedSender<Input>,
    writers: HashMap<Connection, UnboundedSender<Bytes>>,
}

impl Connections {
    /// Makes a set whose news go to `inbox`.
    pub fn new(inbox: UnboundedSender<Input>) -> Self {
        Self { inbox, writers: HashMap::new() }
    }

    /// Connects to an address.
    pub fn dial(&self, connection: Connection, address: SocketAddr) {
        let inbox = self.inbox.clone();
        tokio::spawn(async move {
            let connecting = TcpStream::connect(address);
            let news = match tokio::time::timeout(CONNECT_TIMEOUT, connecting).await {
                Ok(Ok(stream)) => News::Connected(connection, stream),
                Ok(Err(error)) => {
                    News::Closed(connection, error.kind() == io::ErrorKind::ConnectionRefused)
                }
                Err(_) => News::Closed(connection, false),
            };
            notify(&inbox, news);
        });
    }

    /// Serves an open connection.
    pub fn open(&mut self, connection: Connection, stream: TcpStream) {
        let (writer, frames) = unbounded_channel();
        self.writers.insert(connection, writer);
        let inbox = self.inbox.clone();
        tokio::spawn(async move {
            serve(connection, stream, frames, &inbox).await;
            notify(&inbox, News::Closed(connection, false));
        });
    }

    /// Sends a frame, if the connection is open.
    pub fn send(&self, connection: Connection, frame: &Frame) -> Result<(), postcard::Error> {
        let Some(writer) = self.writers.get(&connection) else { return Ok(()) };
        let bytes = postcard::to_stdvec(frame)?;
        // A connection that has just ended is reported by its task.
        writer.send(bytes.into()).ok();
        Ok(())
    }

    /// Closes a connection.
    pub fn close(&mut self, connection: Connection) {
        self.writers.remove(&connection);
    }
}

/// Accepts connections of peers.
pub async fn listen(listener: TcpListener, inbox: UnboundedSender<Input>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => notify(&inbox, News::Accepted(stream)),
            // Out of descriptors: wait until some are free.
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
                notify(inbox, News::Frame(connection, frame));
            }
        }
    }
}

/// The receiver lives as long as the process, so that the result of a send says nothing.
fn notify(inbox: &UnboundedSender<Input>, news: News) {
    inbox.send(Input::Net(news)).ok();
}
