//! Settings files of the stand-ins, in YAML. Unknown keys are errors.

use quick_error::quick_error;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use verbenapass_proto::platform::Instance;

quick_error! {
    /// Reason why a settings file was rejected.
    #[derive(Debug)]
    pub enum Error {
        /// The file can't be read.
        Read(file: PathBuf, cause: std::io::Error) {
            display("{}: cannot be read: {}", file.display(), cause)
            source(cause)
        }
        /// The file is not valid YAML or has a field of the wrong type.
        Syntax(file: PathBuf, cause: serde_yaml_ng::Error) {
            display("{}: {}", file.display(), cause)
            source(cause)
        }
        /// A value is not allowed. `path` is the place of the value in the file.
        Value(file: PathBuf, path: String, value: String, allowed: &'static str) {
            display("{}: {} is {:?}, allowed is {}", file.display(), path, value, allowed)
        }
    }
}

/// Listener of the platform. Each can be made unreachable on its own.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Listener {
    /// Name that a fault switch refers to, usually the data centre that uses the listener.
    pub name: String,
    /// Loopback address and port.
    pub address: SocketAddr,
}

/// Settings of `verbenapass-platform`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Loopback address and port of the control interface: switches, instance list and counts.
    pub control: SocketAddr,
    /// Listeners that serve the platform protocol, at least one.
    pub listeners: Vec<Listener>,
    /// Duration of a simulated sync to disk in milliseconds, 0 to 60000.
    #[serde(default = "default_sync_ms")]
    pub sync_ms: u64,
    /// Maximum number of concurrent writes, 1 or more; further writes wait.
    #[serde(default = "default_parallel_writes")]
    pub parallel_writes: u32,
    /// Initial rows of the table: values by key.
    #[serde(default)]
    pub rows: BTreeMap<String, String>,
    /// Initial instance list.
    #[serde(default)]
    pub instances: Vec<Instance>,
}

/// One of the targets that `verbenapass-target` hosts.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Name in records and in the paths of the control interface.
    pub name: String,
    /// Loopback address and port.
    pub address: SocketAddr,
    /// Maximum number of tasks that run at the same time, 1 to 4096.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Maximum number of open connections, 1 to 4096.
    #[serde(default = "default_connections")]
    pub connections: u32,
}

/// Settings of `verbenapass-target`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Targets {
    /// Loopback address and port of the control interface: switches, runs and counts.
    pub control: SocketAddr,
    /// Targets that the process hosts, at least one.
    pub targets: Vec<Target>,
}

const fn default_sync_ms() -> u64 {
    5
}

const fn default_parallel_writes() -> u32 {
    2
}

const fn default_slots() -> u32 {
    8
}

const fn default_connections() -> u32 {
    64
}

/// Maximum number of slots or connections of a target.
const MAX_COUNT: u32 = 4_096;
/// Maximum duration of a simulated sync in milliseconds.
const MAX_SYNC_MS: u64 = 60_000;

/// Reads and validates the settings file of `verbenapass-platform`.
pub fn load_platform(file: &Path) -> Result<Platform, Error> {
    let settings: Platform = read(file)?;
    let error =
        |path: String, value: String, allowed| Err(Error::Value(file.into(), path, value, allowed));
    check_loopback(file, "control", settings.control)?;
    if settings.listeners.is_empty() {
        return error("listeners".into(), "[]".into(), "at least one listener");
    }
    for (index, listener) in settings.listeners.iter().enumerate() {
        check_loopback(file, &format!("listeners[{index}].address"), listener.address)?;
    }
    if settings.sync_ms > MAX_SYNC_MS {
        return error("sync_ms".into(), settings.sync_ms.to_string(), "0 to 60000");
    }
    if settings.parallel_writes == 0 {
        return error("parallel_writes".into(), "0".into(), "1 or more");
    }
    Ok(settings)
}

/// Reads and validates the settings file of `verbenapass-target`.
pub fn load_targets(file: &Path) -> Result<Targets, Error> {
    let settings: Targets = read(file)?;
    let error =
        |path: String, value: String, allowed| Err(Error::Value(file.into(), path, value, allowed));
    check_loopback(file, "control", settings.control)?;
    if settings.targets.is_empty() {
        return error("targets".into(), "[]".into(), "at least one target");
    }
    for (index, target) in settings.targets.iter().enumerate() {
        check_loopback(file, &format!("targets[{index}].address"), target.address)?;
        for (field, value) in [("slots", target.slots), ("connections", target.connections)] {
            if value == 0 || value > MAX_COUNT {
                let path = format!("targets[{index}].{field}");
                return error(path, value.to_string(), "1 to 4096");
            }
        }
    }
    Ok(settings)
}

fn read<T: DeserializeOwned>(file: &Path) -> Result<T, Error> {
    let text = std::fs::read_to_string(file).map_err(|cause| Error::Read(file.into(), cause))?;
    serde_yaml_ng::from_str(&text).map_err(|cause| Error::Syntax(file.into(), cause))
}

fn check_loopback(file: &Path, path: &str, address: SocketAddr) -> Result<(), Error> {
    if address.ip().is_loopback() {
        return Ok(());
    }
    Err(Error::Value(file.into(), path.into(), address.to_string(), "a loopback address"))
}
