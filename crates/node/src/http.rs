//! HTTP/1.1 client that tells whether a request may have been carried out.
//!
//! A request is repeated by nobody but the caller, except on a pooled connection that was closed
//! before a byte was written. After a request without answer all pooled connections to that address
//! are given up: what lies between may have lost track of them.

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
use verbenapass::time::Timestamp;
use verbenapass::unit::Micros;

/// Time to open a connection: a round trip between data centres and one lost packet of TCP, whose
/// first retransmission comes after a second and is not waited for.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Pooled connections to one address.
const MAX_IDLE: usize = 8;
/// Delay of a timer from which the process counts as held up: timers of an idle process are at most
/// about 1 ms late.
const LATE_WAKE: Micros = Micros::new(2_000);
/// Largest body of an answer.
const MAX_ANSWER_BYTES: usize = 64 * 1_024 * 1_024;

quick_error! {
    /// Why there is no answer.
    #[derive(Debug)]
    pub enum Error {
        /// The request was not sent.
        NotSent(address: SocketAddr, reason: String) {
            display("request to {} not sent: {}", address, reason)
        }
        /// The request may have been carried out.
        Unanswered(address: SocketAddr, reason: String) {
            display("no answer from {}: {}", address, reason)
        }
    }
}

/// An answer with its whole body.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// The body.
    pub body: Bytes,
}

type Sender = SendRequest<Full<Bytes>>;

/// Pooled connections to any number of addresses.
#[derive(Clone, Debug, Default)]
pub struct Client(Arc<Mutex<HashMap<SocketAddr, Vec<Sender>>>>);

impl Client {
    /// Makes a client without connections.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sends a request and waits for its answer until `deadline`.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        deadline: Timestamp,
    ) -> Result<Answer, Error> {
        let mut sender = match self.take(address) {
            Some(sender) => sender,
            None => connect(address).await?,
        };
        if sender.ready().await.is_err() {
            sender = connect(address).await?;
        }
        let sent = sender.try_send_request(request);
        let response = match within(deadline, sent).await {
            Some(Ok(response)) => response,
            Some(Err(mut failure)) => match failure.take_message() {
                // The connection was closed before the request was written.
                Some(request) => {
                    sender = connect(address).await?;
                    match within(deadline, sender.send_request(request)).await {
                        Some(Ok(response)) => response,
                        Some(Err(error)) => return Err(self.unanswered(address, &error)),
                        None => return Err(self.unanswered(address, &"time-out")),
                    }
                }
                None => return Err(self.unanswered(address, &failure.error())),
            },
            None => return Err(self.unanswered(address, &"time-out")),
        };
        let (head, body) = response.into_parts();
        let collected = within(deadline, Limited::new(body, MAX_ANSWER_BYTES).collect()).await;
        match collected {
            Some(Ok(body)) => {
                self.put(address, sender);
                Ok(Answer { status: head.status, body: body.to_bytes() })
            }
            Some(Err(error)) => Err(self.unanswered(address, &error)),
            None => Err(self.unanswered(address, &"time-out in the body")),
        }
    }

    /// Closes the pooled connections to an address.
    pub fn forget(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    fn unanswered(&self, address: SocketAddr, reason: &dyn std::fmt::Display) -> Error {
        self.forget(address);
        Error::Unanswered(address, reason.to_string())
    }

    fn take(&self, address: SocketAddr) -> Option<Sender> {
        let mut pool = self.lock();
        let idle = pool.get_mut(&address)?;
        while let Some(sender) = idle.pop() {
            if !sender.is_closed() {
                return Some(sender);
            }
        }
        None
    }

    fn put(&self, address: SocketAddr, sender: Sender) {
        let mut pool = self.lock();
        let idle = pool.entry(address).or_default();
        if idle.len() < MAX_IDLE {
            idle.push(sender);
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<Sender>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn connect(address: SocketAddr) -> Result<Sender, Error> {
    let failed = |reason: String| Error::NotSent(address, reason);
    let stream = match tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Err(failed(error.to_string())),
        Err(_) => return Err(failed("connect timed out".into())),
    };
    stream.set_nodelay(true).map_err(|error| failed(error.to_string()))?;
    let (sender, connection) =
        handshake(TokioIo::new(stream)).await.map_err(|error| failed(error.to_string()))?;
    // The end of a connection is seen by its sender.
    tokio::spawn(async move { connection.await.ok() });
    Ok(sender)
}

/// Waits for a future until `deadline`. A process that is woken late gives it as much time again: the
/// answer may have been there in time.
async fn within<T>(deadline: Timestamp, future: impl Future<Output = T>) -> Option<T> {
    tokio::pin!(future);
    if let Ok(result) = tokio::time::timeout(crate::clock::until(deadline), &mut future).await {
        return Some(result);
    }
    let late = crate::clock::now().since(deadline);
    if late < LATE_WAKE {
        return None;
    }
    tokio::time::timeout(Duration::from_micros(late.get()), future).await.ok()
}
