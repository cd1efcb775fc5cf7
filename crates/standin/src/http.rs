//! A small HTTP/1.1 server whose listener can be closed and opened again.

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
    /// Why a connection ends without an answer.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum Dropped {
        /// A switch asks for it, or the client is gone.
        Closed {
            display("connection closed without an answer")
        }
    }
}

/// Pause between attempts to open a listener again.
const BIND_RETRY: Duration = Duration::from_millis(10);
/// Time that open requests get after a stop. The longest tasks last several seconds.
const STOP_GRACE: Duration = Duration::from_secs(20);

/// An answer.
pub type Response = http::Response<Full<Bytes>>;
/// A request.
pub type Request = http::Request<Incoming>;

/// State of a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListenerState {
    /// Accepts connections.
    Open,
    /// Refuses connections, and open ones were closed.
    Closed,
    /// Accepts no connections; open requests are finished.
    Stopped,
}

/// What a handler learns of the connection.
#[derive(Clone, Debug)]
pub struct Connection {
    /// Rises with each connection of the server.
    pub number: u64,
    /// Open connections, this one included.
    pub open: u64,
    /// Ending of the next answer.
    pub next_ending: NextEnding,
}

/// Serves until the gate stops. `numbers` gives the numbers of connections.
pub async fn serve<H, F>(
    listener: TcpListener,
    mut gate: watch::Receiver<ListenerState>,
    numbers: Arc<AtomicU64>,
    handler: H,
) -> io::Result<()>
where
    H: Fn(Request, Connection) -> F + Clone + Send + 'static,
    F: Future<Output = Result<Response, Dropped>> + Send + 'static,
{
    let address = listener.local_addr()?;
    let open = Arc::new(());
    let mut listener = Some(listener);
    let mut connections = JoinSet::new();
    loop {
        let state = *gate.borrow_and_update();
        match (state, &listener) {
            (ListenerState::Stopped, _) => break,
            (ListenerState::Closed, _) => {
                listener = None;
                connections.shutdown().await;
                if gate.changed().await.is_err() {
                    return Ok(());
                }
            }
            (ListenerState::Open, None) => match TcpListener::bind(address).await {
                Ok(bound) => listener = Some(bound),
                Err(_) => tokio::time::sleep(BIND_RETRY).await,
            },
            (ListenerState::Open, Some(bound)) => tokio::select! {
                changed = gate.changed() => if changed.is_err() { return Ok(()) },
                Some(_) = connections.join_next() => {}
                accepted = bound.accept() => if let Ok((stream, _)) = accepted {
                    let number = numbers.fetch_add(1, Ordering::AcqRel);
                    let token = open.clone();
                    let connection = Connection {
                        number,
                        open: Arc::strong_count(&open) as u64 - 1,
                        next_ending: NextEnding::default(),
                    };
                    let served = exchange(stream, connection, gate.clone(), handler.clone());
                    connections.spawn(async move {
                        served.await;
                        drop(token);
                    });
                },
            },
        }
    }
    drop(listener);
    let all = async { while connections.join_next().await.is_some() {} };
    let _ = tokio::time::timeout(STOP_GRACE, all).await;
    Ok(())
}

async fn exchange<H, F>(
    stream: TcpStream,
    connection: Connection,
    mut gate: watch::Receiver<ListenerState>,
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
        _ = gate.wait_for(|state| *state == ListenerState::Stopped) => {}
    }
    served.as_mut().graceful_shutdown();
    let _ = served.await;
}

/// Makes an answer with a JSON body.
pub fn json<T: Serialize>(status: u16, body: &T) -> Response {
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    let mut response = empty(status);
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, http::HeaderValue::from_static("application/json"));
    *response.body_mut() = Full::new(bytes.into());
    response
}

/// Makes an answer without a body.
pub fn empty(status: u16) -> Response {
    let mut response = Response::default();
    if let Ok(status) = http::StatusCode::from_u16(status) {
        *response.status_mut() = status;
    }
    response
}

/// Reads a JSON body, or makes the answer that says why it is not valid.
pub async fn read<T: DeserializeOwned>(request: Request) -> Result<T, Box<Response>> {
    let bytes = body(request).await?;
    serde_json::from_slice(&bytes).map_err(|cause| Box::new(json(400, &cause.to_string())))
}

/// Reads a body.
pub async fn body(request: Request) -> Result<Bytes, Box<Response>> {
    let body = request.into_body().collect().await;
    body.map(|body| body.to_bytes()).map_err(|cause| Box::new(json(400, &cause.to_string())))
}

/// Reads the query, or makes the answer that says why it is not valid.
pub fn query<T: DeserializeOwned>(request: &Request) -> Result<T, Box<Response>> {
    let text = request.uri().query().unwrap_or_default();
    serde_urlencoded::from_str(text).map_err(|cause| Box::new(json(400, &cause.to_string())))
}

/// Binds the address of a listener.
pub async fn bind(name: &str, address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .map_err(|cause| io::Error::new(cause.kind(), format!("{name} {address}: {cause}")))
}
