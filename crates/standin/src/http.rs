//! HTTP/1.1 server that can close its listener and connections and listen again on the same address.

use crate::wire::{FaultyStream, NextEnding};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use quick_error::quick_error;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

quick_error! {
    /// Error of a handler that makes the server close the connection without an answer.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum Dropped {
        /// The answer is dropped on purpose, or the task that produces it did not finish.
        Closed {
            display("connection closed without an answer")
        }
    }
}

/// Delay between attempts to bind a listener again.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Maximum time to finish open requests after a stop. The longest tasks run for several seconds.
const STOP_GRACE: Duration = Duration::from_secs(20);

/// Answer with a body in memory.
pub type Response = http::Response<Full<Bytes>>;
/// Request whose body is not read yet.
pub type Request = http::Request<Incoming>;

/// State of a listener, set by the owner of the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListenerState {
    /// Connections are accepted. After `Closed`, the listener binds its address again.
    Open,
    /// New connections are refused, and open ones are closed at once.
    Closed,
    /// No connections are accepted, open requests are finished, and then the server ends. Final.
    Stopped,
}

/// Connection of a request, as passed to the handler.
#[derive(Clone, Debug)]
pub struct Connection {
    /// Sequence number; a connection accepted later has a higher number.
    pub number: u64,
    /// Number of open connections of the listener when this one was accepted, itself included.
    pub open: u64,
    /// Sets how the next answer on the connection ends.
    pub next_ending: NextEnding,
}

/// Serves connections until the state is [`ListenerState::Stopped`] or its sender is dropped.
///
/// `next_number` is the number of the next connection. It outlives a closed listener, so numbers are
/// never reused.
pub async fn serve<H, F>(
    listener: TcpListener,
    mut state_receiver: watch::Receiver<ListenerState>,
    next_number: Arc<AtomicU64>,
    handler: H,
) -> io::Result<()>
where
    H: Fn(Request, Connection) -> F + Clone + Send + 'static,
    F: Future<Output = Result<Response, Dropped>> + Send + 'static,
{
    let address = listener.local_addr()?;
    // Each open connection holds a clone, so the strong count minus one is their number.
    let open_count = Arc::new(());
    let mut listener = Some(listener);
    let mut connections = JoinSet::new();
    loop {
        let state = *state_receiver.borrow_and_update();
        match (state, &listener) {
            (ListenerState::Stopped, _) => break,
            (ListenerState::Closed, _) => {
                listener = None;
                connections.shutdown().await;
                if state_receiver.changed().await.is_err() {
                    return Ok(());
                }
            }
            (ListenerState::Open, None) => match TcpListener::bind(address).await {
                Ok(bound) => listener = Some(bound),
                Err(_) => tokio::time::sleep(BIND_RETRY_DELAY).await,
            },
            (ListenerState::Open, Some(bound)) => tokio::select! {
                changed = state_receiver.changed() => if changed.is_err() { return Ok(()) },
                Some(_) = connections.join_next() => {}
                accepted = bound.accept() => if let Ok((stream, _)) = accepted {
                    let number = next_number.fetch_add(1, Ordering::AcqRel);
                    let count_guard = open_count.clone();
                    let connection = Connection {
                        number,
                        open: Arc::strong_count(&open_count) as u64 - 1,
                        next_ending: NextEnding::default(),
                    };
                    let served = serve_connection(stream, connection, state_receiver.clone(), handler.clone());
                    connections.spawn(async move {
                        served.await;
                        drop(count_guard);
                    });
                },
            },
        }
    }
    drop(listener);
    let all_ended = async { while connections.join_next().await.is_some() {} };
    let _ = tokio::time::timeout(STOP_GRACE, all_ended).await;
    Ok(())
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    connection: Connection,
    mut state_receiver: watch::Receiver<ListenerState>,
    handler: H,
) where
    H: Fn(Request, Connection) -> F,
    F: Future<Output = Result<Response, Dropped>>,
{
    let _ = stream.set_nodelay(true);
    let wire = TokioIo::new(FaultyStream::new(stream, connection.next_ending.clone()));
    let service = service_fn(move |request| handler(request, connection.clone()));
    let mut served = pin!(http1::Builder::new().serve_connection(wire, service));
    tokio::select! {
        _ = served.as_mut() => return,
        _ = state_receiver.wait_for(|state| *state == ListenerState::Stopped) => {}
    }
    served.as_mut().graceful_shutdown();
    let _ = served.await;
}

/// Creates an answer with a JSON body.
pub fn json<T: Serialize>(status: u16, body: &T) -> Response {
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    let mut response = empty(status);
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, http::HeaderValue::from_static("application/json"));
    *response.body_mut() = Full::new(bytes.into());
    response
}

/// Creates an answer without a body. An invalid status is replaced by 200.
pub fn empty(status: u16) -> Response {
    let mut response = Response::default();
    if let Ok(status) = http::StatusCode::from_u16(status) {
        *response.status_mut() = status;
    }
    response
}

/// Reads and parses a JSON body, or returns an answer with status 400 and the reason.
pub async fn read<T: DeserializeOwned>(request: Request) -> Result<T, Box<Response>> {
    let bytes = body(request).await?;
    serde_json::from_slice(&bytes).map_err(|cause| Box::new(json(400, &cause.to_string())))
}

/// Reads a whole body, or returns an answer with status 400 and the reason.
pub async fn body(request: Request) -> Result<Bytes, Box<Response>> {
    let body = request.into_body().collect().await;
    body.map(|body| body.to_bytes()).map_err(|cause| Box::new(json(400, &cause.to_string())))
}

/// Parses the query string, or returns an answer with status 400 and the reason.
pub fn query<T: DeserializeOwned>(request: &Request) -> Result<T, Box<Response>> {
    let text = request.uri().query().unwrap_or_default();
    serde_urlencoded::from_str(text).map_err(|cause| Box::new(json(400, &cause.to_string())))
}

/// Binds the address of a listener. An error names the listener and the address.
pub async fn bind(name: &str, address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .map_err(|cause| io::Error::new(cause.kind(), format!("{name} {address}: {cause}")))
}
