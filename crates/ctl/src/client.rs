//! Requests to entry instances, repeated when a reply is lost.

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

/// Largest answer that is read, in bytes.
const MAX_ANSWER: usize = 64 * 1_024 * 1_024;
/// Pause before the next attempt.
const PAUSE: Duration = Duration::from_millis(200);

/// An answer with a status that the caller of [`Client::send`] has to judge.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Who answered.
    pub entry: SocketAddr,
    /// HTTP status.
    pub status: StatusCode,
    /// Body.
    pub body: Bytes,
}

/// Bounds of requests.
#[derive(Clone, Debug)]
pub struct Options {
    /// Time for one request.
    pub timeout: Duration,
    /// Attempts for one request.
    pub attempts: u32,
    /// Credential that goes with each request.
    pub credential: Option<String>,
}

/// A client of the entry instances given.
#[derive(Debug)]
pub struct Client {
    entries: Vec<SocketAddr>,
    options: Options,
    http: Http<HttpConnector, Full<Bytes>>,
}

impl Client {
    /// Makes a client. `entries` has at least one address.
    pub fn new(entries: Vec<SocketAddr>, options: Options) -> Self {
        let http = Http::builder(TokioExecutor::new()).pool_max_idle_per_host(1).build_http();
        Self { entries, options, http }
    }

    /// Returns the addresses of the entry instances.
    pub fn entries(&self) -> &[SocketAddr] {
        &self.entries
    }

    /// Sends a request until one of the instances answers. The request must be safe to repeat.
    ///
    /// An answer with status 5xx is repeated, too; the last one is returned.
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
        let mut last = Err(Error::Usage("no entry instance is given, use --entry".into()));
        for (attempt, entry) in (0..attempts).zip(self.entries.iter().cycle()) {
            if attempt > 0 {
                tokio::time::sleep(PAUSE).await;
            }
            last = self.send_once(step, *entry, method, path, body.clone()).await;
            if last.as_ref().is_ok_and(|answer| !answer.status.is_server_error()) {
                return last;
            }
        }
        last
    }

    /// Sends one request to one instance.
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
            let body = Limited::new(answer.into_body(), MAX_ANSWER);
            let body = body.collect().await.map_err(|e| unreachable(e.to_string()))?.to_bytes();
            Ok(Answer { entry, status, body })
        };
        match tokio::time::timeout(self.options.timeout, exchange).await {
            Ok(answer) => answer,
            Err(_) => Err(unreachable(format!("time-out of {:?}", self.options.timeout))),
        }
    }
}

impl Answer {
    /// Parses the body. A body of another form is an error that shows it.
    pub fn parse<T: DeserializeOwned>(&self, step: &'static str) -> Result<T, Error> {
        serde_json::from_slice(&self.body).map_err(|_| self.unexpected(step))
    }

    /// Makes the error for an answer that is not understood.
    pub fn unexpected(&self, step: &'static str) -> Error {
        if matches!(self.status, StatusCode::UNAUTHORIZED | StatusCode::FORBIDDEN) {
            return Error::Denied(step, self.entry);
        }
        let body: String = String::from_utf8_lossy(&self.body).chars().take(200).collect();
        Error::Answer(step, self.entry, self.status.as_u16(), body)
    }
}
