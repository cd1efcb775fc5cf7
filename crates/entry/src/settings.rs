//! Settings file of one process.

use crate::error;
use serde::Deserialize;
use std::fmt::Display;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::str::FromStr;
use verbenapass::id;
use verbenapass::unit::{Bytes, Millis, Permille};

/// Largest number of traffic threads.
const MAX_THREADS: u64 = 64;
/// Longest name, which leaves room for the suffix of a run in an identifier.
const MAX_NAME: usize = 80;
/// Largest span that can be set, one hour.
const MAX_SPAN_MS: u64 = 3_600_000;
/// Shortest interval of reports; shorter ones cost messages without a better division of slots.
const MIN_REPORT_MS: u64 = 1_000;
/// Longest interval of reports.
const MAX_REPORT_MS: u64 = 60_000;
/// Room for a job of 1,400 tasks with payloads of 10 KiB each.
const DEFAULT_BODY_BYTES: u64 = 16 * 1_024 * 1_024;
/// Largest body limit that can be set.
const MAX_BODY_BYTES: u64 = 1_024 * 1_024 * 1_024;

/// Format of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// One JSON object on a line.
    Json,
    /// Text for people.
    Terminal,
}

/// Log output.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Log {
    /// Format.
    pub format: Format,
    /// Least severe level that is written.
    pub level: slog::Level,
}

/// Trace output.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Trace {
    /// URL of an OTLP/HTTP collector.
    pub endpoint: Option<String>,
    /// File that gets one JSON object for each span; `-` is the standard error stream.
    pub file: Option<PathBuf>,
    /// Fraction of the requests without a trace context that are traced.
    pub sample: Permille,
}

/// Bounds on calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest request body of a caller.
    pub body: Bytes,
    /// Longest time to open a connection.
    pub connect_timeout: Millis,
    /// Longest time that one platform call may take.
    pub platform_timeout: Millis,
    /// Longest time that one peer call may take.
    pub peer_timeout: Millis,
    /// Time after which the platform's list shows a change.
    pub list_lag: Millis,
}

/// Planned stop.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stop {
    /// Time for which the balancer may still send requests after the instance is not ready.
    pub balancer_lag: Millis,
}

/// Settings of one process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name on the platform's list.
    pub name: id::Instance,
    /// Data centre.
    pub data_centre: id::DataCentre,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where other entry instances connect.
    pub peer_address: SocketAddr,
    /// Where operators connect, in addition to the address for callers.
    pub admin_address: Option<SocketAddr>,
    /// Where other entry instances listen that are asked while no instance list has been read, so
    /// that the settings can be learnt during an outage of the platform.
    pub peer_seeds: Vec<SocketAddr>,
    /// Where the platform listens.
    pub platform_address: SocketAddr,
    /// Threads for callers, targets and platform.
    pub traffic_threads: usize,
    /// Time between two polls of the platform.
    pub poll_interval: Millis,
    /// Interval of the exchanges of reports with other entry instances.
    pub report_interval: Millis,
    /// Mean time between two scans for expired claims.
    pub claim_expiry_interval: Millis,
    /// Log output.
    pub log: Log,
    /// Trace output.
    pub trace: Trace,
    /// Bounds on calls.
    pub limits: Limits,
    /// Planned stop.
    pub stop: Stop,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawSettings {
    name: String,
    data_centre: String,
    caller_address: String,
    peer_address: String,
    admin_address: Option<String>,
    #[serde(default)]
    peer_seeds: Vec<String>,
    platform_address: String,
    #[serde(default = "default_threads")]
    traffic_threads: u64,
    #[serde(default = "default_poll")]
    poll_interval_ms: u64,
    #[serde(default = "default_report")]
    report_interval_ms: u64,
    #[serde(default = "default_expiry")]
    claim_expiry_interval_ms: u64,
    #[serde(default)]
    log: RawLog,
    #[serde(default)]
    trace: RawTrace,
    #[serde(default)]
    limits: RawLimits,
    #[serde(default)]
    stop: RawStop,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct RawLog {
    format: String,
    level: String,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct RawTrace {
    endpoint: Option<String>,
    file: Option<PathBuf>,
    sample_permille: u64,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct RawLimits {
    body_bytes: u64,
    connect_timeout_ms: u64,
    platform_timeout_ms: u64,
    peer_timeout_ms: u64,
    list_lag_ms: u64,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct RawStop {
    balancer_lag_ms: u64,
}

impl Default for RawLog {
    fn default() -> Self {
        Self { format: "json".into(), level: "info".into() }
    }
}

impl Default for RawLimits {
    fn default() -> Self {
        Self {
            body_bytes: DEFAULT_BODY_BYTES,
            connect_timeout_ms: 250,
            platform_timeout_ms: 1_000,
            peer_timeout_ms: 1_000,
            list_lag_ms: 30_000,
        }
    }
}

impl Default for RawStop {
    fn default() -> Self {
        Self { balancer_lag_ms: 2_000 }
    }
}

const fn default_threads() -> u64 {
    2
}

const fn default_poll() -> u64 {
    1_000
}

const fn default_report() -> u64 {
    10_000
}

const fn default_expiry() -> u64 {
    600_000
}

impl Settings {
    /// Reads and checks a settings file.
    pub fn load(file: &Path) -> Result<Self, error::Settings> {
        let text = std::fs::read_to_string(file)
            .map_err(|source| error::Settings::Read(file.into(), source))?;
        Self::from_yaml(file, &text)
    }

    /// Checks the text of a settings file; `file` is named in errors.
    pub fn from_yaml(file: impl AsRef<Path>, text: &str) -> Result<Self, error::Settings> {
        let file = file.as_ref();
        let raw: RawSettings = serde_yaml_ng::from_str(text)
            .map_err(|source| error::Settings::Syntax(file.into(), source))?;
        Checker { file }.settings(raw)
    }
}

/// Turns raw values into typed ones, with the file in every error.
struct Checker<'a> {
    file: &'a Path,
}

impl Checker<'_> {
    fn settings(&self, raw: RawSettings) -> Result<Settings, error::Settings> {
        Ok(Settings {
            name: self.name(&raw.name)?,
            data_centre: self.id("data_centre", &raw.data_centre)?,
            caller_address: self.address("caller_address", &raw.caller_address)?,
            peer_address: self.address("peer_address", &raw.peer_address)?,
            admin_address: raw
                .admin_address
                .map(|text| self.address("admin_address", &text))
                .transpose()?,
            peer_seeds: raw
                .peer_seeds
                .iter()
                .map(|text| self.address("peer_seeds", text))
                .collect::<Result<_, _>>()?,
            platform_address: self.address("platform_address", &raw.platform_address)?,
            traffic_threads: self.number("traffic_threads", raw.traffic_threads, 1, MAX_THREADS)?
                as usize,
            poll_interval: self.span("poll_interval_ms", raw.poll_interval_ms, 10)?,
            report_interval: Millis::new(self.number(
                "report_interval_ms",
                raw.report_interval_ms,
                MIN_REPORT_MS,
                MAX_REPORT_MS,
            )?),
            claim_expiry_interval: self.span(
                "claim_expiry_interval_ms",
                raw.claim_expiry_interval_ms,
                10,
            )?,
            log: self.log(&raw.log)?,
            trace: self.trace(raw.trace)?,
            limits: self.limits(&raw.limits)?,
            stop: Stop {
                balancer_lag: self.span("stop.balancer_lag_ms", raw.stop.balancer_lag_ms, 0)?,
            },
        })
    }

    fn log(&self, raw: &RawLog) -> Result<Log, error::Settings> {
        let format = match raw.format.as_str() {
            "json" => Format::Json,
            "terminal" => Format::Terminal,
            other => return Err(self.value("log.format", other, "json or terminal")),
        };
        let level = match raw.level.as_str() {
            "error" => slog::Level::Error,
            "warning" => slog::Level::Warning,
            "info" => slog::Level::Info,
            "debug" => slog::Level::Debug,
            other => return Err(self.value("log.level", other, "error, warning, info or debug")),
        };
        Ok(Log { format, level })
    }

    fn trace(&self, raw: RawTrace) -> Result<Trace, error::Settings> {
        if let Some(endpoint) = &raw.endpoint
            && !endpoint.parse::<http::Uri>().is_ok_and(|uri| uri.scheme_str() == Some("http"))
        {
            return Err(self.value("trace.endpoint", endpoint, "a URL that starts with http://"));
        }
        let sample = self.number("trace.sample_permille", raw.sample_permille, 0, 1_000)?;
        Ok(Trace { endpoint: raw.endpoint, file: raw.file, sample: Permille::new(sample as u32) })
    }

    fn limits(&self, raw: &RawLimits) -> Result<Limits, error::Settings> {
        let body = self.number("limits.body_bytes", raw.body_bytes, 1_024, MAX_BODY_BYTES)?;
        Ok(Limits {
            body: Bytes::new(body),
            connect_timeout: self.span("limits.connect_timeout_ms", raw.connect_timeout_ms, 1)?,
            platform_timeout: self.span(
                "limits.platform_timeout_ms",
                raw.platform_timeout_ms,
                1,
            )?,
            peer_timeout: self.span("limits.peer_timeout_ms", raw.peer_timeout_ms, 1)?,
            list_lag: self.span("limits.list_lag_ms", raw.list_lag_ms, 0)?,
        })
    }

    fn name(&self, text: &str) -> Result<id::Instance, error::Settings> {
        if text.len() > MAX_NAME {
            return Err(self.value("name", text, format!("1 to {MAX_NAME} characters")));
        }
        self.id("name", text)
    }

    fn id<T>(&self, path: &'static str, text: &str) -> Result<T, error::Settings>
    where
        T: FromStr<Err = id::Error>,
    {
        text.parse().map_err(|_| {
            let allowed = format!("1 to {} letters, digits, '-', '_' and '.'", id::MAX_LENGTH);
            self.value(path, text, allowed)
        })
    }

    fn address(&self, path: &'static str, text: &str) -> Result<SocketAddr, error::Settings> {
        text.parse()
            .map_err(|_| self.value(path, text, "an IP address and port such as 127.0.0.1:7000"))
    }

    fn number(
        &self,
        path: &'static str,
        number: u64,
        least: u64,
        most: u64,
    ) -> Result<u64, error::Settings> {
        if number < least || number > most {
            return Err(self.value(path, number, format!("{least} to {most}")));
        }
        Ok(number)
    }

    fn span(&self, path: &'static str, number: u64, least: u64) -> Result<Millis, error::Settings> {
        self.number(path, number, least, MAX_SPAN_MS).map(Millis::new)
    }

    fn value(
        &self,
        path: &'static str,
        value: impl Display,
        allowed: impl Into<String>,
    ) -> error::Settings {
        error::Settings::Value(self.file.into(), path, value.to_string(), allowed.into())
    }
}
