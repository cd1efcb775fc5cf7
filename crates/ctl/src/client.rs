//! HTTP client for entry instances that retries a request after an error or a 5xx answer.

use crate::error::Error;
use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper_util::client::legacy::Client as Http;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum size of an answer body.
const MAX_ANSWER_BYTES: usize = 64 * 1_024 * 1_024;
/// Delay before each attempt after the first.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Answer of an entry instance. It may have any HTTP status, so the caller must check it.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Address of the instance that answered.
    pub entry: SocketAddr,
    /// HTTP status, also 4xx and 5xx.
    pub status: StatusCode,
    /// Body of at most 64 MiB, usually JSON.
    pub body: Bytes,
}

/// Settings that apply to every request of a client.
#[derive(Clone, Debug)]
pub struct Options {
    /// Timeout of one attempt, including the time to read the body.
    pub timeout: Duration,
    /// Maximum number of attempts of [`Client::send`]; 0 counts as 1.
    pub attempts: u32,
    /// Credential sent as bearer token; `None` sends requests without it.
    pub credential: Option<String>,
}

/// HTTP client for a list of entry instances.
#[derive(Debug)]
pub struct Client {
    entries: Vec<SocketAddr>,
    options: Options,
    http: Http<HttpConnector, Full<Bytes>>,
}

impl Client {
    /// Creates a client. With empty `entries`, [`Self::send`] fails.
    pub fn new(entries: Vec<SocketAddr>, options: Options) -> Self {
        let http = Http::builder(TokioExecutor::new()).pool_max_idle_per_host(1).build_http();
        Self { entries, options, http }
    }

    /// Returns the addresses of the entry instances in the order in which they are tried.
    pub fn entries(&self) -> &[SocketAddr] {
        &self.entries
    }

    /// Sends a request to one instance after the other until one answers with a status below 500.
    ///
    /// The request must be safe to repeat. After the last attempt, its 5xx answer or error is
    /// returned. `step` names the operation in errors.
    pub async fn send<B: Serialize + Sync>(
        &self,
        step: &'static str,
        method: &Method,
        path: &str,
        body: Option<&B>,
    ) -> Result<Answer, Error> {
        let body = match body {
            Some(body) => Bytes::from(serde_json::to_vec(body)?),
            None => Bytes::new(),
        };
        let attempts = self.options.attempts.max(1);
        let mut last_result = Err(Error::Usage("no entry instance is given, use --entry".into()));
        for (attempt, entry) in (0..attempts).zip(self.entries.iter().cycle()) {
            if attempt > 0 {
                tokio::time::sleep(RETRY_DELAY).await;
            }
            last_result = self.send_once(step, *entry, method, path, body.clone()).await;
            if last_result.as_ref().is_ok_and(|answer| !answer.status.is_server_error()) {
                return last_result;
            }
        }
        last_result
    }

    /// Sends a request to one instance without a retry. `step` names the operation in errors.
    pub async fn send_once(
        &self,
        step: &'static str,
        entry: SocketAddr,
        method: &Method,
        path: &str,
        body: Bytes,
    ) -> Result<Answer, Error> {
        let unreachable = |message| Error::Unreachable(step, entry, message);
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{entry}{path}"))
            .header(header::CONTENT_TYPE, "application/json");
        if let Some(credential) = &self.options.credential {
            request = request.header(header::AUTHORIZATION, format!("Bearer {credential}"));
        }
        let request =
            request.body(Full::new(body)).map_err(|error| Error::Usage(error.to_string()))?;
        let exchange = async {
            let answer =
                self.http.request(request).await.map_err(|e| unreachable(e.to_string()))?;
            let status = answer.status();
            let body = Limited::new(answer.into_body(), MAX_ANSWER_BYTES);
            let body = body.collect().await.map_err(|e| unreachable(e.to_string()))?.to_bytes();
            Ok(Answer { entry, status, body })
        };
        match tokio::time::timeout(self.options.timeout, exchange).await {
            Ok(answer) => answer,
            Err(_) => Err(unreachable(format!("timed out after {:?}", self.options.timeout))),
        }
    }
}

impl Answer {
    /// Parses the JSON body, or returns [`Self::unexpected`] if it does not have the form of `T`.
    pub fn parse<T: DeserializeOwned>(&self, step: &'static str) -> Result<T, Error> {
        serde_json::from_slice(&self.body).map_err(|_| self.unexpected(step))
    }

    /// Returns the error for an answer with an unexpected status or body. It quotes the start of the
    /// body, except after status 401 or 403.
    pub fn unexpected(&self, step: &'static str) -> Error {
        if matches!(self.status, StatusCode::UNAUTHORIZED | StatusCode::FORBIDDEN) {
            return Error::Denied(step, self.entry);
        }
        let body: String = String::from_utf8_lossy(&self.body).chars().take(200).collect();
        Error::Answer(step, self.entry, self.status.as_u16(), body)
    }
}
