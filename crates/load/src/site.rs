//! A whole installation on loopback addresses: one platform, targets and entry instances in several
//! data centres, each a process of its own, with settings generated in a temporary directory.

use crate::binary;
use crate::client::Client;
use crate::error::Error;
use crate::process::{Confined, Process, until_ready};
use bytes::Bytes;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU16, Ordering};
use tempfile::TempDir;
use verbenapass::config::Revision;
use verbenapass::{id, settings};
use verbenapass_proto::platform::{Instance, Mark, Role};
use verbenapass_standin::platform::{Counts, MarkChange};
use verbenapass_standin::run::Runs;
use verbenapass_standin::{settings as standin, switch};

/// A team with two idempotent kinds and one that is not.
pub const HALVERN: Team = Team {
    name: "halvern",
    credential: "halvern-credential",
    kinds: [("seat-hold", true), ("funding-check", true), ("intake-confirmation", false)],
};
/// A team with two idempotent kinds and one that is not.
pub const FACTURACION: Team = Team {
    name: "facturacion",
    credential: "facturacion-credential",
    kinds: [("balance-query", true), ("subsidy-claim", true), ("invoice-issue", false)],
};
/// Credential of the fleet's operators.
pub const FLEET_CREDENTIAL: &str = "fleet-credential";
/// The service of all targets.
pub const SERVICE: &str = "tasks";

/// First port of the first site of a process. Each process has an IP address of its own, so that
/// ports of parallel runs do not collide.
const FIRST_PORT: u16 = 10_000;
/// Ports for each site of a process.
const PORTS: u16 = 500;

/// Time after which the list shows a change. The instances read the list of the stand-in once a
/// second.
const LIST_LAG_MS: u64 = 2_000;

static SITES: AtomicU16 = AtomicU16::new(0);

/// A team.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Team {
    /// Name.
    pub name: &'static str,
    /// Bearer credential.
    pub credential: &'static str,
    /// Kinds, with whether they are idempotent.
    pub kinds: [(&'static str, bool); 3],
}

/// Size of one data centre.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DataCentre {
    /// Name.
    pub name: &'static str,
    /// Entry instances.
    pub entries: usize,
    /// Targets.
    pub targets: usize,
    /// Processes that host the targets, at least one.
    pub hosts: usize,
}

impl DataCentre {
    /// Makes a data centre whose targets share one process.
    pub const fn new(name: &'static str, entries: usize, targets: usize) -> Self {
        Self { name, entries, targets, hosts: 1 }
    }
}

/// Shape of a site.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// Data centres.
    pub data_centres: Vec<DataCentre>,
    /// Slots of each target.
    pub slots: u32,
    /// Connections of each target.
    pub connections: u32,
    /// Time of a synced write of the platform in milliseconds.
    pub sync_ms: u64,
    /// Time for which a stopping entry instance still gets requests, in milliseconds.
    pub balancer_lag_ms: u64,
    /// Cores to which each entry instance is confined; absent for all.
    pub entry_cores: Option<usize>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            data_centres: vec![DataCentre::new("north", 1, 2)],
            slots: 8,
            connections: 64,
            sync_ms: 5,
            balancer_lag_ms: 300,
            entry_cores: None,
        }
    }
}

/// A running entry instance.
#[derive(Debug)]
pub struct Entry {
    /// Name of the instance.
    pub name: String,
    /// Data centre.
    pub data_centre: &'static str,
    /// Address of the caller protocol.
    pub address: SocketAddr,
    /// The process.
    pub process: Process,
}

/// Targets of one data centre that share a process.
#[derive(Debug)]
pub struct Targets {
    /// Data centre.
    pub data_centre: &'static str,
    /// Names in order.
    pub names: Vec<String>,
    /// Addresses in the same order.
    pub addresses: Vec<SocketAddr>,
    /// Address of the switches.
    pub control: SocketAddr,
    /// The process.
    pub process: Process,
}

/// A running installation. All processes end when it is dropped.
#[derive(Debug)]
pub struct Site {
    /// Entry instances, in the order of their start.
    pub entries: Vec<Entry>,
    /// Targets by data centre.
    pub targets: Vec<Targets>,
    /// The platform.
    pub platform: Process,
    /// Address of the platform's switches.
    pub platform_control: SocketAddr,
    /// Client for control addresses.
    pub client: Client,
    options: Options,
    platform_addresses: BTreeMap<&'static str, SocketAddr>,
    ports: Ports,
    started_entries: usize,
    directory: TempDir,
}

/// Addresses that are handed out once.
#[derive(Debug)]
struct Ports {
    ip: Ipv4Addr,
    next: u16,
}

impl Ports {
    fn new() -> Self {
        let [high, a, b, c] = std::process::id().to_be_bytes();
        debug_assert_eq!(high, 0, "Linux process ids have at most 22 bits");
        let site = SITES.fetch_add(1, Ordering::Relaxed);
        Self { ip: Ipv4Addr::new(127, a + 1, b, c), next: FIRST_PORT + site * PORTS }
    }

    fn take(&mut self) -> SocketAddr {
        let port = self.next;
        self.next += 1;
        SocketAddr::new(IpAddr::V4(self.ip), port)
    }
}

impl Site {
    /// Starts all processes and waits until they are ready.
    pub async fn start(options: Options) -> Result<Self, Error> {
        let directory = tempfile::Builder::new()
            .prefix("verbenapass-")
            .tempdir()
            .map_err(|cause| Error::File(std::env::temp_dir(), cause))?;
        let mut ports = Ports::new();
        let mut instances = Vec::new();
        let mut targets = Vec::new();
        let client = Client::new();
        for (rack, data_centre) in options.data_centres.iter().enumerate() {
            for host in 0..data_centre.hosts {
                let (hosted, listed) =
                    start_targets(data_centre, host, &options, &mut ports, directory.path(), rack)?;
                instances.extend(listed);
                targets.push(hosted);
            }
        }
        let platform_control = ports.take();
        let platform_addresses: BTreeMap<&str, SocketAddr> = options
            .data_centres
            .iter()
            .map(|data_centre| (data_centre.name, ports.take()))
            .collect();
        let platform = start_platform(
            platform_control,
            &platform_addresses,
            &options,
            instances,
            directory.path(),
        )?;
        let mut site = Self {
            entries: Vec::new(),
            targets,
            platform,
            platform_control,
            client,
            options,
            platform_addresses,
            ports,
            started_entries: 0,
            directory,
        };
        site.until_control_ready().await?;
        for data_centre in site.options.data_centres.clone() {
            for _ in 0..data_centre.entries {
                let entry = site.spawn_entry(data_centre.name).await?;
                site.entries.push(entry);
            }
        }
        for index in 0..site.entries.len() {
            site.until_entry_ready(index).await?;
        }
        Ok(site)
    }

    async fn until_control_ready(&mut self) -> Result<(), Error> {
        let client = &self.client;
        for targets in &mut self.targets {
            let control = targets.control;
            until_ready(&mut targets.process, || answers(client, control, "/healthz")).await?;
        }
        let control = self.platform_control;
        until_ready(&mut self.platform, || answers(client, control, "/healthz")).await
    }

    /// Waits until an entry instance is ready.
    pub async fn until_entry_ready(&mut self, index: usize) -> Result<(), Error> {
        let client = &self.client;
        let entry = &mut self.entries[index];
        let address = entry.address;
        until_ready(&mut entry.process, || answers(client, address, "/readyz")).await
    }

    /// Starts one more entry instance, with a new name and new addresses, and waits until it is
    /// ready. Returns its index.
    pub async fn add_entry(&mut self, data_centre: &'static str) -> Result<usize, Error> {
        let entry = self.spawn_entry(data_centre).await?;
        self.entries.push(entry);
        let index = self.entries.len() - 1;
        self.until_entry_ready(index).await?;
        Ok(index)
    }

    /// Ends an entry instance at once and starts it again with the same settings file, without
    /// waiting until it is ready.
    pub fn restart_entry(&mut self, index: usize) -> Result<(), Error> {
        let entry = &mut self.entries[index];
        entry.process.kill();
        let program = binary::find("verbenapass-entry")?;
        let file = self.directory.path().join(format!("{}.yaml", entry.name));
        entry.process = spawn(&entry.name, &program, &file, self.directory.path())?;
        Ok(())
    }

    /// Starts a process of an entry instance and lists it at the platform.
    async fn spawn_entry(&mut self, data_centre: &'static str) -> Result<Entry, Error> {
        self.started_entries += 1;
        let name = format!("{data_centre}-e{}", self.started_entries);
        let (address, peer) = (self.ports.take(), self.ports.take());
        let settings = EntrySettings {
            name: name.clone(),
            data_centre,
            caller_address: address,
            peer_address: peer,
            platform_address: self.platform_addresses[data_centre],
            traffic_threads: self.options.entry_cores,
            limits: Limits { list_lag_ms: LIST_LAG_MS },
            stop: Stop { balancer_lag_ms: self.options.balancer_lag_ms },
        };
        let file = write(self.directory.path(), &name, &settings)?;
        let program = binary::find("verbenapass-entry")?;
        let confined = self.options.entry_cores.map(Confined::new).transpose()?;
        let process = spawn(&name, &program, &file, self.directory.path())?;
        drop(confined);
        let instance = Instance {
            name: name.clone(),
            role: Role::Entry,
            data_centre: data_centre.into(),
            address: peer.to_string(),
            mark: Mark::Live,
            service: String::new(),
            worker: String::new(),
            rack: String::new(),
            slots: 0,
            connections: 0,
            memory_bytes: 0,
            accelerators: 0,
        };
        let path = format!("/v1/instances/{name}");
        self.client.put(self.platform_control, &path, &instance).await?;
        Ok(Entry { name, data_centre, address, process })
    }

    /// Returns the addresses of all entry instances.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|entry| entry.address).collect()
    }

    /// Returns the slots of all targets.
    pub fn slots(&self) -> u32 {
        let targets: usize = self.targets.iter().map(|targets| targets.names.len()).sum();
        targets as u32 * self.options.slots
    }

    /// Sets the switches of the platform.
    pub async fn switch_platform(&self, switches: &switch::Platform) -> Result<(), Error> {
        self.client.put(self.platform_control, "/v1/switches", switches).await
    }

    /// Sets the switches of one target.
    pub async fn switch_target(&self, name: &str, switches: &switch::Target) -> Result<(), Error> {
        let host = self.targets.iter().find(|targets| targets.names.iter().any(|n| n == name));
        let host = host.ok_or_else(|| Error::Check(format!("no target {name}")))?;
        self.client.put(host.control, &format!("/v1/targets/{name}/switches"), switches).await
    }

    /// Sets the switches of all targets.
    pub async fn switch_targets(&self, switches: &switch::Target) -> Result<(), Error> {
        for targets in &self.targets {
            self.client.put(targets.control, "/v1/switches", switches).await?;
        }
        Ok(())
    }

    /// Marks an instance on the platform's list.
    pub async fn mark(&self, name: &str, mark: Mark) -> Result<(), Error> {
        let path = format!("/v1/instances/{name}/mark");
        self.client.put(self.platform_control, &path, &MarkChange { mark }).await
    }

    /// Takes an instance off the platform's list.
    pub async fn unlist(&self, name: &str) -> Result<(), Error> {
        let path = format!("/v1/instances/{name}");
        let address = self.platform_control;
        self.client.send(http::Method::DELETE, address, &path, &[], Bytes::new()).await?;
        Ok(())
    }

    /// Collects what the targets of living processes ran, with records.
    pub async fn runs(&self) -> Result<Runs, Error> {
        let mut all = Vec::new();
        for targets in &self.targets {
            let reply = self.client.get(targets.control, "/v1/runs?records=true").await?;
            all.push(reply.json::<Runs>()?);
        }
        Ok(Runs::merge(all))
    }

    /// Counts messages at the targets and at the platform.
    pub async fn counts(&self) -> Result<BTreeMap<String, f64>, Error> {
        let target = self.runs().await?.counts;
        let reply = self.client.get(self.platform_control, "/v1/counts").await?;
        let platform: Counts = reply.json()?;
        let counts = [
            ("target start", target.starts),
            ("target query", target.queries),
            ("target refusal", target.busy + target.draining + target.expired),
            ("target connection", target.connections),
            ("platform transaction", platform.transactions),
            ("platform read", platform.reads),
            ("platform list", platform.lists),
        ];
        Ok(counts.map(|(kind, count)| (kind.to_owned(), count as f64)).into())
    }

    /// Collects the metrics of all entry instances: the sum of the samples of each name and label
    /// set.
    pub async fn metrics(&self) -> Result<BTreeMap<String, f64>, Error> {
        let mut sums = BTreeMap::new();
        for entry in &self.entries {
            let reply = self.client.get(entry.address, "/metrics").await?;
            let text = String::from_utf8_lossy(&reply.body);
            for line in text.lines().filter(|line| !line.starts_with('#')) {
                if let Some((name, value)) = line.rsplit_once(' ')
                    && let Ok(value) = value.parse::<f64>()
                {
                    *sums.entry(name.to_owned()).or_default() += value;
                }
            }
        }
        Ok(sums)
    }

    /// Stops all processes, entry instances first, and checks that each exits with code 0.
    pub async fn stop(mut self) -> Result<(), Error> {
        let entries = self.entries.iter_mut().map(|entry| &mut entry.process);
        let targets = self.targets.iter_mut().map(|targets| &mut targets.process);
        let mut processes: Vec<&mut Process> = entries.chain(targets).collect();
        processes.push(&mut self.platform);
        for process in &mut processes {
            process.signal(rustix::process::Signal::TERM)?;
        }
        for process in processes {
            let status = process.stop().await?;
            if !status.success() {
                let message = format!("{status}\n{}", process.log());
                return Err(Error::Process(process.name().into(), "stop", message));
            }
        }
        Ok(())
    }
}

#[derive(Debug, Serialize)]
struct EntrySettings {
    name: String,
    data_centre: &'static str,
    caller_address: SocketAddr,
    peer_address: SocketAddr,
    platform_address: SocketAddr,
    #[serde(skip_serializing_if = "Option::is_none")]
    traffic_threads: Option<usize>,
    limits: Limits,
    stop: Stop,
}

#[derive(Debug, Serialize)]
struct Limits {
    list_lag_ms: u64,
}

#[derive(Debug, Serialize)]
struct Stop {
    balancer_lag_ms: u64,
}

/// Tells whether a server answers a path with status 200.
async fn answers(client: &Client, address: SocketAddr, path: &str) -> bool {
    client.get(address, path).await.is_ok_and(|reply| reply.status == 200)
}

fn start_targets(
    data_centre: &DataCentre,
    host: usize,
    options: &Options,
    ports: &mut Ports,
    directory: &Path,
    rack: usize,
) -> Result<(Targets, Vec<Instance>), Error> {
    let control = ports.take();
    let hosted: Vec<standin::Target> = (1..=data_centre.targets)
        .filter(|number| number % data_centre.hosts == host)
        .map(|number| standin::Target {
            name: format!("{}-t{number}", data_centre.name),
            address: ports.take(),
            slots: options.slots,
            connections: options.connections,
        })
        .collect();
    let instances = hosted.iter().map(|target| Instance {
        name: target.name.clone(),
        role: Role::Target,
        data_centre: data_centre.name.into(),
        address: target.address.to_string(),
        mark: Mark::Live,
        service: SERVICE.into(),
        worker: format!("{}-w", target.name),
        rack: format!("r{rack}"),
        slots: target.slots,
        connections: target.connections,
        memory_bytes: 32 << 30,
        accelerators: 0,
    });
    let instances = instances.collect();
    let name = format!("{}-targets{host}", data_centre.name);
    let names = hosted.iter().map(|target| target.name.clone()).collect();
    let addresses = hosted.iter().map(|target| target.address).collect();
    let file = write(directory, &name, &standin::Targets { control, targets: hosted })?;
    let process = spawn(&name, &binary::find("verbenapass-target")?, &file, directory)?;
    let data_centre = data_centre.name;
    Ok((Targets { data_centre, names, addresses, control, process }, instances))
}

fn start_platform(
    control: SocketAddr,
    addresses: &BTreeMap<&'static str, SocketAddr>,
    options: &Options,
    instances: Vec<Instance>,
    directory: &Path,
) -> Result<Process, Error> {
    let listeners = addresses
        .iter()
        .map(|(name, address)| standin::Listener { name: (*name).into(), address: *address });
    let settings = standin::Platform {
        control,
        listeners: listeners.collect(),
        sync_ms: options.sync_ms,
        parallel_writes: 2,
        rows: rows(),
        instances,
    };
    let file = write(directory, "platform", &settings)?;
    spawn("platform", &binary::find("verbenapass-platform")?, &file, directory)
}

/// Returns the rows of the shared settings: the fleet and both teams.
fn rows() -> BTreeMap<String, String> {
    let fleet = format!("credential_sha256: {}\n", settings::sha256_hex(FLEET_CREDENTIAL));
    let mut rows = BTreeMap::from([revision("/fleet", fleet)]);
    for team in [HALVERN, FACTURACION] {
        rows.extend([revision(&format!("/teams/{}", team.name), team.to_yaml())]);
    }
    rows
}

/// Returns the row of the first version of a subtree.
fn revision(path: &str, yaml: String) -> (String, String) {
    let revision = Revision {
        path: path.into(),
        version: id::Version::new(1),
        changes: Vec::new(),
        yaml: Some(yaml),
    };
    (format!("settings{path}"), revision.to_value())
}

impl Team {
    /// Returns the team's settings subtree.
    pub fn to_yaml(self) -> String {
        let credential = settings::sha256_hex(self.credential);
        let mut yaml = format!("credential_sha256: {credential}\nkinds:\n");
        for (kind, idempotent) in self.kinds {
            let _ = writeln!(yaml, "  {kind}: {{service: {SERVICE}, idempotent: {idempotent}}}");
        }
        yaml
    }
}

fn write<T: Serialize>(directory: &Path, name: &str, settings: &T) -> Result<PathBuf, Error> {
    let file = directory.join(format!("{name}.yaml"));
    let text = serde_yaml_ng::to_string(settings)
        .map_err(|cause| Error::File(file.clone(), std::io::Error::other(cause)))?;
    std::fs::write(&file, text).map_err(|cause| Error::File(file.clone(), cause))?;
    Ok(file)
}

fn spawn(name: &str, program: &Path, file: &Path, directory: &Path) -> Result<Process, Error> {
    let file = file.to_string_lossy();
    Process::spawn(name, program, ["--settings", &*file], directory)
}
