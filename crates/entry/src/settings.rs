//! Settings file of one entry instance.

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
/// Longest name, in characters; leaves room in an instance id for the suffix of the process.
const MAX_NAME_LEN: usize = 80;
/// Longest duration that can be set: one hour.
const MAX_DURATION_MS: u64 = 3_600_000;
/// Shortest report interval. Shorter ones cost more messages but do not divide the slots better.
const MIN_REPORT_INTERVAL_MS: u64 = 1_000;
/// Longest report interval that can be set.
const MAX_REPORT_INTERVAL_MS: u64 = 60_000;
/// Default limit of a request body: enough for a job of 1,400 tasks with payloads of 10 KiB each.
const DEFAULT_BODY_BYTES: u64 = 16 * 1_024 * 1_024;
/// Highest body limit that can be set.
const MAX_BODY_BYTES: u64 = 1_024 * 1_024 * 1_024;

/// Format of log records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// One JSON object per line.
    Json,
    /// Text for people, coloured on a terminal.
    Terminal,
}

/// Where and how log records are written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Log {
    /// Format of the records.
    pub format: Format,
    /// Lowest severity that is written.
    pub level: slog::Level,
}

/// Where trace spans are exported, and which requests are traced.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Trace {
    /// URL of an OTLP/HTTP collector; `None` exports nothing over the network.
    pub endpoint: Option<String>,
    /// File that gets one JSON object per span; `-` stands for standard error. `None` writes no file.
    pub file: Option<PathBuf>,
    /// Share of requests without a trace context of their own that are traced.
    pub sample: Permille,
}

/// Limits on requests and calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest body of a request to the server for callers.
    pub body: Bytes,
    /// Timeout for opening a connection to a target or a peer.
    pub connect_timeout: Millis,
    /// Timeout of one platform call.
    pub platform_timeout: Millis,
    /// Timeout of one call to a peer.
    pub peer_timeout: Millis,
    /// Time by which the platform's instance list may lag behind a change.
    pub list_lag: Millis,
}

/// Behaviour of a planned stop.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stop {
    /// Time for which the load balancer may still send requests after `/readyz` fails.
    pub balancer_lag: Millis,
}

/// Checked settings of one entry instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name on the platform's instance list; the same after a restart.
    pub name: id::Instance,
    /// Data centre in which the instance runs.
    pub data_centre: id::DataCentre,
    /// Listening address for callers. Operators can use it too.
    pub caller_address: SocketAddr,
    /// Listening address for other entry instances.
    pub peer_address: SocketAddr,
    /// Separate listening address for health, readiness, metrics and status; `None` for none.
    pub admin_address: Option<SocketAddr>,
    /// Addresses of other entry instances, used until the instance list has been read. From them an
    /// instance gets the settings when it starts during an outage of the platform.
    pub peer_seeds: Vec<SocketAddr>,
    /// Address of the platform.
    pub platform_address: SocketAddr,
    /// Number of threads that serve callers and call targets and the platform.
    pub traffic_threads: usize,
    /// Time between two polls of the instance list, and between two of the settings.
    pub poll_interval: Millis,
    /// Time between two exchanges of reports with other entry instances.
    pub report_interval: Millis,
    /// Mean time between two scans for expired claims; each wait is random.
    pub claim_expiry_interval: Millis,
    /// Format and lowest level of the log records.
    pub log: Log,
    /// Trace spans; the default exports none.
    pub trace: Trace,
    /// Limits on requests and calls.
    pub limits: Limits,
    /// Behaviour of a planned stop.
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
    #[serde(default = "default_traffic_threads")]
    traffic_threads: u64,
    #[serde(default = "default_poll_interval_ms")]
    poll_interval_ms: u64,
    #[serde(default = "default_report_interval_ms")]
    report_interval_ms: u64,
    #[serde(default = "default_claim_expiry_interval_ms")]
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

const fn default_traffic_threads() -> u64 {
    2
}

const fn default_poll_interval_ms() -> u64 {
    1_000
}

const fn default_report_interval_ms() -> u64 {
    10_000
}

const fn default_claim_expiry_interval_ms() -> u64 {
    600_000
}

impl Settings {
    /// Reads and checks a settings file. Fails on the first invalid value.
    pub fn load(file: &Path) -> Result<Self, error::Settings> {
        let text = std::fs::read_to_string(file)
            .map_err(|source| error::Settings::Read(file.into(), source))?;
        Self::from_yaml(file, &text)
    }

    /// Parses and checks the text of a settings file. Errors name `file`, which is not read.
    pub fn from_yaml(file: impl AsRef<Path>, text: &str) -> Result<Self, error::Settings> {
        let file = file.as_ref();
        let raw: RawSettings = serde_yaml_ng::from_str(text)
            .map_err(|source| error::Settings::Syntax(file.into(), source))?;
        Validator { file }.settings(raw)
    }
}

/// Converts raw values to typed ones. Every error names the file.
struct Validator<'a> {
    file: &'a Path,
}

impl Validator<'_> {
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
            poll_interval: self.duration("poll_interval_ms", raw.poll_interval_ms, 10)?,
            report_interval: Millis::new(self.number(
                "report_interval_ms",
                raw.report_interval_ms,
                MIN_REPORT_INTERVAL_MS,
                MAX_REPORT_INTERVAL_MS,
            )?),
            claim_expiry_interval: self.duration(
                "claim_expiry_interval_ms",
                raw.claim_expiry_interval_ms,
                10,
            )?,
            log: self.log(&raw.log)?,
            trace: self.trace(raw.trace)?,
            limits: self.limits(&raw.limits)?,
            stop: Stop {
                balancer_lag: self.duration("stop.balancer_lag_ms", raw.stop.balancer_lag_ms, 0)?,
            },
        })
    }

    fn log(&self, raw: &RawLog) -> Result<Log, error::Settings> {
        let format = match raw.format.as_str() {
            "json" => Format::Json,
            "terminal" => Format::Terminal,
            other => return Err(self.error("log.format", other, "json or terminal")),
        };
        let level = match raw.level.as_str() {
            "error" => slog::Level::Error,
            "warning" => slog::Level::Warning,
            "info" => slog::Level::Info,
            "debug" => slog::Level::Debug,
            other => return Err(self.error("log.level", other, "error, warning, info or debug")),
        };
        Ok(Log { format, level })
    }

    fn trace(&self, raw: RawTrace) -> Result<Trace, error::Settings> {
        if let Some(endpoint) = &raw.endpoint
            && !endpoint.parse::<http::Uri>().is_ok_and(|uri| uri.scheme_str() == Some("http"))
        {
            return Err(self.error("trace.endpoint", endpoint, "a URL that starts with http://"));
        }
        let sample = self.number("trace.sample_permille", raw.sample_permille, 0, 1_000)?;
        Ok(Trace { endpoint: raw.endpoint, file: raw.file, sample: Permille::new(sample as u32) })
    }

    fn limits(&self, raw: &RawLimits) -> Result<Limits, error::Settings> {
        let body = self.number("limits.body_bytes", raw.body_bytes, 1_024, MAX_BODY_BYTES)?;
        Ok(Limits {
            body: Bytes::new(body),
            connect_timeout: self.duration(
                "limits.connect_timeout_ms",
                raw.connect_timeout_ms,
                1,
            )?,
            platform_timeout: self.duration(
                "limits.platform_timeout_ms",
                raw.platform_timeout_ms,
                1,
            )?,
            peer_timeout: self.duration("limits.peer_timeout_ms", raw.peer_timeout_ms, 1)?,
            list_lag: self.duration("limits.list_lag_ms", raw.list_lag_ms, 0)?,
        })
    }

    fn name(&self, text: &str) -> Result<id::Instance, error::Settings> {
        if text.len() > MAX_NAME_LEN {
            return Err(self.error("name", text, format!("1 to {MAX_NAME_LEN} characters")));
        }
        self.id("name", text)
    }

    fn id<T>(&self, path: &'static str, text: &str) -> Result<T, error::Settings>
    where
        T: FromStr<Err = id::Error>,
    {
        text.parse().map_err(|_| {
            let allowed = format!("1 to {} letters, digits, '-', '_' and '.'", id::MAX_LENGTH);
            self.error(path, text, allowed)
        })
    }

    fn address(&self, path: &'static str, text: &str) -> Result<SocketAddr, error::Settings> {
        text.parse()
            .map_err(|_| self.error(path, text, "an IP address and port such as 127.0.0.1:7000"))
    }

    fn number(
        &self,
        path: &'static str,
        number: u64,
        min: u64,
        max: u64,
    ) -> Result<u64, error::Settings> {
        if number < min || number > max {
            return Err(self.error(path, number, format!("{min} to {max}")));
        }
        Ok(number)
    }

    fn duration(
        &self,
        path: &'static str,
        number: u64,
        min: u64,
    ) -> Result<Millis, error::Settings> {
        self.number(path, number, min, MAX_DURATION_MS).map(Millis::new)
    }

    fn error(
        &self,
        path: &'static str,
        value: impl Display,
        allowed: impl Into<String>,
    ) -> error::Settings {
        error::Settings::Value(self.file.into(), path, value.to_string(), allowed.into())
    }
}
