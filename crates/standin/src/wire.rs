//! TCP stream that can damage the next answer, to inject faults.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// How the next answer on a connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Ending {
    /// The answer is sent unchanged.
    Whole = 0,
    /// The answer is sent twice.
    Twice = 1,
    /// The connection closes in the middle of the body.
    Truncated = 2,
    /// The connection is reset before the first byte.
    Reset = 3,
}

/// Ending of the next answer on a connection. The handler of a request sets it, and the
/// [`FaultyStream`] applies it once.
#[derive(Clone, Debug, Default)]
pub struct NextEnding(Arc<AtomicU8>);

impl NextEnding {
    /// Sets the ending of the next answer. Later answers are sent unchanged again.
    pub fn set(&self, ending: Ending) {
        self.0.store(ending as u8, Ordering::Release);
    }

    fn take(&self) -> Ending {
        match self.0.swap(Ending::Whole as u8, Ordering::AcqRel) {
            1 => Ending::Twice,
            2 => Ending::Truncated,
            3 => Ending::Reset,
            _ => Ending::Whole,
        }
    }
}

/// TCP stream that applies a [`NextEnding`]. It treats each write as a whole answer, because hyper
/// passes the head and the body in a single write if the stream has no vectored writes.
#[derive(Debug)]
pub struct FaultyStream {
    stream: TcpStream,
    next_ending: NextEnding,
    pending: Vec<u8>,
    sent: usize,
    closing: bool,
}

impl FaultyStream {
    /// Wraps a stream. `next_ending` is the handle that the request handler keeps.
    pub fn new(stream: TcpStream, next_ending: NextEnding) -> Self {
        Self { stream, next_ending, pending: Vec::new(), sent: 0, closing: false }
    }

    fn poll_pending(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        while self.sent < self.pending.len() {
            let rest = &self.pending[self.sent..];
            self.sent += ready!(Pin::new(&mut self.stream).poll_write(context, rest))?;
        }
        if self.closing {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        Poll::Ready(Ok(()))
    }
}

/// Returns the length of the head of an answer and the first half of its body.
fn truncated_length(answer: &[u8]) -> usize {
    let head = answer.windows(4).position(|bytes| bytes == b"\r\n\r\n").map_or(0, |at| at + 4);
    head + (answer.len() - head) / 2
}

impl AsyncRead for FaultyStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for FaultyStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        ready!(self.poll_pending(context))?;
        match self.next_ending.take() {
            Ending::Whole => return Pin::new(&mut self.stream).poll_write(context, bytes),
            Ending::Twice => self.pending = [bytes, bytes].concat(),
            Ending::Truncated => {
                self.pending = bytes[..truncated_length(bytes)].to_vec();
                self.closing = true;
            }
            Ending::Reset => {
                self.stream.set_zero_linger()?;
                self.pending.clear();
                self.closing = true;
            }
        }
        self.sent = 0;
        Poll::Ready(Ok(bytes.len()))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.poll_pending(context))?;
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
