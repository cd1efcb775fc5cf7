//! HTTP/1.1 client connections that carry one request at a time and never retry one.

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Body;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use quick_error::quick_error;
use std::future::{Future, poll_fn};
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout, timeout_at};

quick_error! {
    /// Why an exchange failed.
    #[derive(Debug)]
    pub enum Error {
        /// The connection could not be opened; nothing was sent.
        Connect(address: SocketAddr, message: String) {
            display("connect: {}: {}", address, message)
        }
        /// The connection was closed before any byte of the request was written.
        Unsent(address: SocketAddr) {
            display("send: {}: the connection was closed before the request", address)
        }
        /// The connection failed before an answer began; the server may have received the request.
        Broken(address: SocketAddr, message: String) {
            display("receive: {}: {}", address, message)
        }
        /// No answer began before the deadline; the server may have received the request.
        Timeout(address: SocketAddr) {
            display("receive: {}: no answer in time", address)
        }
        /// An answer began, but the connection failed or the deadline passed before its end.
        Truncated(address: SocketAddr, message: String) {
            display("receive: {}: truncated answer: {}", address, message)
        }
        /// The body of the answer is larger than the limit of the caller.
        Oversized(address: SocketAddr, limit: usize) {
            display("receive: {}: the answer exceeds {} bytes", address, limit)
        }
    }
}

type Driver = http1::Connection<TokioIo<TcpStream>, Full<Bytes>>;

/// An open connection. The task that uses it also polls its I/O, during an exchange or a check,
/// which saves the wake-up of a second task for each request.
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    sender: http1::SendRequest<Full<Bytes>>,
    driver: Pin<Box<Driver>>,
    is_closed: bool,
}

impl Connection {
    /// Connects to a server. Fails with [`Error::Connect`], also after the time `limit`.
    pub async fn open(address: SocketAddr, limit: Duration) -> Result<Self, Error> {
        let fail = |message: String| Error::Connect(address, message);
        let stream = match timeout(limit, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(fail(error.to_string())),
            Err(_) => return Err(fail("no connection in time".into())),
        };
        stream.set_nodelay(true).map_err(|error| fail(error.to_string()))?;
        let (sender, driver) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| fail(error.to_string()))?;
        Ok(Self { address, sender, driver: Box::pin(driver), is_closed: false })
    }

    /// Returns the address of the server.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Tells whether the connection can take a request. It cannot after it was closed or after
    /// unexpected bytes arrived on it.
    pub async fn is_usable(&mut self) -> bool {
        poll_fn(|cx| {
            self.drive(cx);
            if self.is_closed {
                return Poll::Ready(false);
            }
            match self.sender.poll_ready(cx) {
                Poll::Ready(Ok(())) => Poll::Ready(true),
                Poll::Ready(Err(_)) | Poll::Pending => Poll::Ready(false),
            }
        })
        .await
    }

    fn drive(&mut self, cx: &mut Context<'_>) {
        if !self.is_closed {
            self.is_closed = self.driver.as_mut().poll(cx).is_ready();
        }
    }

    /// Sends a request and returns the complete answer. After an error the connection must not be
    /// used again.
    pub async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        answer_limit: usize,
        deadline: Instant,
    ) -> Result<Response<Bytes>, Error> {
        let address = self.address;
        let mut response = pin!(self.sender.try_send_request(request));
        let head = poll_fn(|cx| {
            if let Poll::Ready(result) = response.as_mut().poll(cx) {
                return Poll::Ready(result);
            }
            self.drive(cx);
            response.as_mut().poll(cx)
        });
        let response = match timeout_at(deadline, head).await {
            Ok(Ok(response)) => response,
            Ok(Err(mut error)) => {
                // hyper returns the request only if it wrote no byte of it.
                if error.take_message().is_some() {
                    return Err(Error::Unsent(address));
                }
                return Err(Error::Broken(address, error.error().to_string()));
            }
            Err(_) => return Err(Error::Timeout(address)),
        };
        let (parts, mut body) = response.into_parts();
        let mut content = Bytes::new();
        let mut buffer = Vec::new();
        loop {
            let frame = poll_fn(|cx| {
                if let Poll::Ready(frame) = Pin::new(&mut body).poll_frame(cx) {
                    return Poll::Ready(frame);
                }
                self.drive(cx);
                Pin::new(&mut body).poll_frame(cx)
            });
            match timeout_at(deadline, frame).await {
                Ok(None) => break,
                Ok(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else { continue };
                    if content.len() + buffer.len() + data.len() > answer_limit {
                        return Err(Error::Oversized(address, answer_limit));
                    }
                    if content.is_empty() && buffer.is_empty() {
                        content = data;
                    } else {
                        buffer.extend_from_slice(&std::mem::take(&mut content));
                        buffer.extend_from_slice(&data);
                    }
                }
                Ok(Some(Err(error))) => {
                    return Err(Error::Truncated(address, error.to_string()));
                }
                Err(_) => return Err(Error::Truncated(address, "no end in time".into())),
            }
        }
        if !buffer.is_empty() {
            content = buffer.into();
        }
        Ok(Response::from_parts(parts, content))
    }
}
