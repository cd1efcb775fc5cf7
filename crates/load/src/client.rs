//! A caller of entry instances, targets and stand-ins.

use crate::error::Error;
use bytes::Bytes;
use http::{HeaderMap, Method, Request};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client as Pool;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use verbenapass_proto::caller::{Answer, Submit};

/// Time after which a request is given up. No deadline of a job in this crate is longer.
const REQUEST_DEADLINE: Duration = Duration::from_secs(60);

/// An answer.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Time from the request to the whole answer.
    pub elapsed: Duration,
}

impl Reply {
    /// Parses the body.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Error> {
        serde_json::from_slice(&self.body).map_err(|cause| {
            let text = String::from_utf8_lossy(&self.body);
            Error::Answer("server".into(), format!("status {}: {cause}: {text}", self.status))
        })
    }
}

/// A pool of connections.
#[derive(Clone, Debug)]
pub struct Client {
    pool: Pool<HttpConnector, Full<Bytes>>,
}

impl Default for Client {
    fn default() -> Self {
        Self::new()
    }
}

impl Client {
    /// Makes an empty pool.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let pool = Pool::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(Duration::from_secs(5))
            // A request on a connection that the server closed must show up as an error, because it
            // may have run.
            .retry_canceled_requests(false)
            .build(connector);
        Self { pool }
    }

    /// Sends a request.
    pub async fn send(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<Reply, Error> {
        let failed = |message: String| Error::Request(format!("{address}{path}"), message);
        let mut request = Request::builder().method(method).uri(format!("http://{address}{path}"));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(body)).map_err(|cause| failed(cause.to_string()))?;
        let begin = Instant::now();
        let exchange = async {
            let response =
                self.pool.request(request).await.map_err(|cause| failed(chain(&cause)))?;
            let (parts, body) = response.into_parts();
            let body = body.collect().await.map_err(|cause| failed(chain(&cause)))?.to_bytes();
            let status = parts.status.as_u16();
            Ok(Reply { status, headers: parts.headers, body, elapsed: begin.elapsed() })
        };
        tokio::time::timeout(REQUEST_DEADLINE, exchange)
            .await
            .unwrap_or_else(|_| Err(failed(format!("no answer within {REQUEST_DEADLINE:?}"))))
    }

    /// Gets a path.
    pub async fn get(&self, address: SocketAddr, path: &str) -> Result<Reply, Error> {
        self.send(Method::GET, address, path, &[], Bytes::new()).await
    }

    /// Puts a JSON body; any status but 2xx is an error.
    pub async fn put<T: Serialize>(
        &self,
        address: SocketAddr,
        path: &str,
        body: &T,
    ) -> Result<(), Error> {
        let reply = self.send(Method::PUT, address, path, &[JSON], encode(body)).await?;
        if (200..300).contains(&reply.status) {
            return Ok(());
        }
        let text = String::from_utf8_lossy(&reply.body).into_owned();
        Err(Error::Answer(format!("{address}{path}"), format!("status {}: {text}", reply.status)))
    }

    /// Submits a job.
    pub async fn submit(
        &self,
        address: SocketAddr,
        credential: &str,
        submit: &Submit,
    ) -> Result<(Reply, Answer), Error> {
        self.job(Method::POST, address, "/v1/jobs", credential, encode(submit)).await
    }

    /// Asks for a job.
    pub async fn query(
        &self,
        address: SocketAddr,
        credential: &str,
        job: &str,
    ) -> Result<(Reply, Answer), Error> {
        let path = format!("/v1/jobs/{job}");
        self.job(Method::GET, address, &path, credential, Bytes::new()).await
    }

    /// Cancels a job.
    pub async fn cancel(
        &self,
        address: SocketAddr,
        credential: &str,
        job: &str,
    ) -> Result<(Reply, Answer), Error> {
        let path = format!("/v1/jobs/{job}");
        self.job(Method::DELETE, address, &path, credential, Bytes::new()).await
    }

    async fn job(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        credential: &str,
        body: Bytes,
    ) -> Result<(Reply, Answer), Error> {
        let bearer = format!("Bearer {credential}");
        let headers = [JSON, ("authorization", bearer.as_str())];
        let reply = self.send(method, address, path, &headers, body).await?;
        let answer = reply.json()?;
        Ok((reply, answer))
    }
}

const JSON: (&str, &str) = ("content-type", "application/json");

fn encode<T: Serialize>(body: &T) -> Bytes {
    serde_json::to_vec(body).unwrap_or_default().into()
}

/// Joins an error with its causes.
fn chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        text = format!("{text}: {error}");
        cause = error.source();
    }
    text
}
