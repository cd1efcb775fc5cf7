//! HTTP/1.1 client whose errors tell whether the server may have executed the request.
//!
//! The client retries only if a pooled connection was closed before it wrote a byte; all other
//! retries are up to the caller. After a request without an answer it closes all pooled connections
//! to that address, because a middlebox may have dropped their state.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use quick_error::quick_error;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use verbenapass::time::Timestamp;
use verbenapass::unit::Micros;

/// Timeout for opening a connection: enough for a round trip between data centres, but not for a lost
/// packet, since TCP retransmits first after 1 s.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Limit on idle pooled connections to one address.
const MAX_IDLE: usize = 8;
/// Timer delay from which the process counts as stalled. Timers of an idle process are at most about
/// 1 ms late.
const STALL_THRESHOLD: Micros = Micros::new(2_000);
/// Limit on the size of the body of an answer.
const MAX_ANSWER_BYTES: usize = 64 * 1_024 * 1_024;

quick_error! {
    /// Reason for a call without an answer.
    #[derive(Debug)]
    pub enum Error {
        /// The request was not sent, so a retry cannot execute it twice.
        NotSent(address: SocketAddr, reason: String) {
            display("request to {} not sent: {}", address, reason)
        }
        /// At least a part of the request was sent, and the server may have executed it.
        Unanswered(address: SocketAddr, reason: String) {
            display("no answer from {}: {}", address, reason)
        }
    }
}

/// A response whose body was read completely.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status code; the client treats no code as an error.
    pub status: StatusCode,
    /// Body of at most 64 MiB.
    pub body: Bytes,
}

/// An open connection and the background task that reads and writes it.
#[derive(Debug)]
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
}

impl Connection {
    async fn open(address: SocketAddr) -> Result<Self, Error> {
        let failed = |reason: String| Error::NotSent(address, reason);
        let stream = match tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await
        {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(failed(error.to_string())),
            Err(_) => return Err(failed("connect timed out".into())),
        };
        stream.set_nodelay(true).map_err(|error| failed(error.to_string()))?;
        // For `reset`.
        stream.set_zero_linger().map_err(|error| failed(error.to_string()))?;
        let (sender, connection) =
            handshake(TokioIo::new(stream)).await.map_err(|error| failed(error.to_string()))?;
        // The sender reports when the connection ends.
        let task = tokio::spawn(async move { connection.await.ok() }).abort_handle();
        Ok(Self { sender, task })
    }

    /// Closes the connection with a TCP reset. After an orderly close, a request that a partition
    /// holds up would still be delivered, although its caller has given it up.
    fn reset(self) {
        self.task.abort();
    }
}

/// A connection pool for any number of addresses. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct Client(Arc<Mutex<HashMap<SocketAddr, Vec<Connection>>>>);

impl Client {
    /// Creates a client without open connections.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sends a request and waits for its answer until `deadline`, or a little longer if the process
    /// itself was stalled then.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        deadline: Timestamp,
    ) -> Result<Answer, Error> {
        self.call_before(address, request, Timestamp::MAX, deadline).await
    }

    /// Like [`Self::call`], but doesn't send the request from `send_before` on: the process may have
    /// been paused while a connection was opened, and what permits the request may have expired.
    pub async fn call_before(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        send_before: Timestamp,
        deadline: Timestamp,
    ) -> Result<Answer, Error> {
        let mut connection = match self.take(address) {
            Some(connection) => connection,
            None => Connection::open(address).await?,
        };
        if connection.sender.ready().await.is_err() {
            connection = Connection::open(address).await?;
        }
        if send_before.is_past(crate::clock::now()) {
            self.put(address, connection);
            return Err(expired(address));
        }
        let sent = connection.sender.try_send_request(request);
        let response = match timeout_at(deadline, sent).await {
            Some(Ok(response)) => response,
            Some(Err(mut failure)) => match failure.take_message() {
                // The pooled connection was closed before the request was written.
                Some(request) => {
                    connection = Connection::open(address).await?;
                    if send_before.is_past(crate::clock::now()) {
                        self.put(address, connection);
                        return Err(expired(address));
                    }
                    let sent = connection.sender.send_request(request);
                    match timeout_at(deadline, sent).await {
                        Some(Ok(response)) => response,
                        Some(Err(error)) => {
                            return Err(self.unanswered(address, connection, &error));
                        }
                        None => return Err(self.unanswered(address, connection, &"timed out")),
                    }
                }
                None => return Err(self.unanswered(address, connection, &failure.error())),
            },
            None => return Err(self.unanswered(address, connection, &"timed out")),
        };
        let (head, body) = response.into_parts();
        let collected = timeout_at(deadline, Limited::new(body, MAX_ANSWER_BYTES).collect()).await;
        match collected {
            Some(Ok(body)) => {
                self.put(address, connection);
                Ok(Answer { status: head.status, body: body.to_bytes() })
            }
            Some(Err(error)) => Err(self.unanswered(address, connection, &error)),
            None => Err(self.unanswered(address, connection, &"timed out while reading the body")),
        }
    }

    /// Closes the idle pooled connections to an address.
    pub fn close_idle(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    fn unanswered(
        &self,
        address: SocketAddr,
        connection: Connection,
        reason: &dyn std::fmt::Display,
    ) -> Error {
        connection.reset();
        self.close_idle(address);
        Error::Unanswered(address, reason.to_string())
    }

    fn take(&self, address: SocketAddr) -> Option<Connection> {
        let mut pool = self.lock();
        let idle = pool.get_mut(&address)?;
        while let Some(connection) = idle.pop() {
            if !connection.sender.is_closed() {
                return Some(connection);
            }
        }
        None
    }

    fn put(&self, address: SocketAddr, connection: Connection) {
        let mut pool = self.lock();
        let idle = pool.entry(address).or_default();
        if idle.len() < MAX_IDLE {
            idle.push(connection);
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<Connection>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn expired(address: SocketAddr) -> Error {
    Error::NotSent(address, "expired before it could be sent".into())
}

/// Waits for a future until `deadline`. If the process wakes up late, the wait is extended by the
/// delay, because the answer may have arrived in time.
async fn timeout_at<T>(deadline: Timestamp, future: impl Future<Output = T>) -> Option<T> {
    tokio::pin!(future);
    if let Ok(result) = tokio::time::timeout(crate::clock::until(deadline), &mut future).await {
        return Some(result);
    }
    let late = crate::clock::now().since(deadline);
    if late < STALL_THRESHOLD {
        return None;
    }
    tokio::time::timeout(Duration::from_micros(late.get()), future).await.ok()
}
