//! HTTP client for entry instances, targets and the control addresses of the stand-ins.

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

/// Time after which a request fails, longer than the deadline of any job of this crate.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(60);

/// HTTP response with its whole body.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status code; any status counts as a response.
    pub status: u16,
    /// Response headers.
    pub headers: HeaderMap,
    /// Response body, uninterpreted.
    pub body: Bytes,
    /// Time from sending the request to the end of the body.
    pub elapsed: Duration,
}

impl Reply {
    /// Parses the body as JSON whatever the status; the error contains status and body.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Error> {
        serde_json::from_slice(&self.body).map_err(|cause| {
            let text = String::from_utf8_lossy(&self.body);
            Error::Answer("server".into(), format!("status {}: {cause}: {text}", self.status))
        })
    }
}

/// HTTP client with a connection pool, which clones share.
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
    /// Creates a client without open connections.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let pool = Pool::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(Duration::from_secs(5))
            // A request on a connection that the server closed must fail instead of being retried,
            // because the server may have carried it out.
            .retry_canceled_requests(false)
            .build(connector);
        Self { pool }
    }

    /// Sends a request and reads the whole response; an error after 60 s or if the connection fails.
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
                self.pool.request(request).await.map_err(|cause| failed(error_chain(&cause)))?;
            let (parts, body) = response.into_parts();
            let body =
                body.collect().await.map_err(|cause| failed(error_chain(&cause)))?.to_bytes();
            let status = parts.status.as_u16();
            Ok(Reply { status, headers: parts.headers, body, elapsed: begin.elapsed() })
        };
        tokio::time::timeout(REQUEST_TIMEOUT, exchange)
            .await
            .unwrap_or_else(|_| Err(failed(format!("no answer within {REQUEST_TIMEOUT:?}"))))
    }

    /// Sends a GET request without a credential or other additional headers.
    pub async fn get(&self, address: SocketAddr, path: &str) -> Result<Reply, Error> {
        self.send(Method::GET, address, path, &[], Bytes::new()).await
    }

    /// Sends a PUT request with a JSON body; any status but 2xx is an error.
    pub async fn put<T: Serialize>(
        &self,
        address: SocketAddr,
        path: &str,
        body: &T,
    ) -> Result<(), Error> {
        let reply = self.send(Method::PUT, address, path, &[JSON_CONTENT], encode(body)).await?;
        if (200..300).contains(&reply.status) {
            return Ok(());
        }
        let text = String::from_utf8_lossy(&reply.body).into_owned();
        Err(Error::Answer(format!("{address}{path}"), format!("status {}: {text}", reply.status)))
    }

    /// Submits a job and returns the answer with any code; `submit.wait` says whether the entry
    /// instance answers only when the job has ended.
    pub async fn submit(
        &self,
        address: SocketAddr,
        credential: &str,
        submit: &Submit,
    ) -> Result<(Reply, Answer), Error> {
        self.send_job(Method::POST, address, "/v1/jobs", credential, encode(submit)).await
    }

    /// Asks for the state or result of the job with the id `job`.
    pub async fn query(
        &self,
        address: SocketAddr,
        credential: &str,
        job: &str,
    ) -> Result<(Reply, Answer), Error> {
        let path = format!("/v1/jobs/{job}");
        self.send_job(Method::GET, address, &path, credential, Bytes::new()).await
    }

    /// Cancels the job with the id `job` and returns its answer.
    pub async fn cancel(
        &self,
        address: SocketAddr,
        credential: &str,
        job: &str,
    ) -> Result<(Reply, Answer), Error> {
        let path = format!("/v1/jobs/{job}");
        self.send_job(Method::DELETE, address, &path, credential, Bytes::new()).await
    }

    async fn send_job(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        credential: &str,
        body: Bytes,
    ) -> Result<(Reply, Answer), Error> {
        let bearer = format!("Bearer {credential}");
        let headers = [JSON_CONTENT, ("authorization", bearer.as_str())];
        let reply = self.send(method, address, path, &headers, body).await?;
        let answer = reply.json()?;
        Ok((reply, answer))
    }
}

const JSON_CONTENT: (&str, &str) = ("content-type", "application/json");

fn encode<T: Serialize>(body: &T) -> Bytes {
    serde_json::to_vec(body).unwrap_or_default().into()
}

/// Returns the messages of an error and of its sources, joined by colons.
fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        text = format!("{text}: {error}");
        cause = error.source();
    }
    text
}
