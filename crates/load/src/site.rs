//! A complete installation on loopback addresses: a stand-in platform, stand-in targets and entry
//! instances in several data centres.
//!
//! The platform and each entry instance run in a process of their own; the targets of a data centre
//! share one process or a few. Settings files and logs are in a temporary directory.

use crate::binary;
use crate::client::Client;
use crate::error::Error;
use crate::process::{AffinityGuard, Process, wait_until_ready};
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

/// Team of the preset `halvern`: two idempotent kinds, then one that is not idempotent.
pub const HALVERN: Team = Team {
    name: "halvern",
    credential: "halvern-credential",
    kinds: [("seat-hold", true), ("funding-check", true), ("intake-confirmation", false)],
};
/// Team of the preset `facturacion`: two idempotent kinds, then one that is not idempotent.
pub const FACTURACION: Team = Team {
    name: "facturacion",
    credential: "facturacion-credential",
    kinds: [("balance-query", true), ("subsidy-claim", true), ("invoice-issue", false)],
};
/// Bearer credential of the fleet's operators.
pub const FLEET_CREDENTIAL: &str = "fleet-credential";
/// Target service to which all targets and all kinds belong.
pub const SERVICE: &str = "tasks";

/// First port of the first site in this process. Each process uses a loopback IP address derived
/// from its process id, so ports of parallel test runs do not collide.
const FIRST_PORT: u16 = 10_000;
/// Ports reserved for each site in this process.
const PORTS_PER_SITE: u16 = 500;

/// Setting `limits.list_lag_ms` of the entry instances: the instance list shows a change within this
/// time. They poll the list of the stand-in platform once a second.
const LIST_LAG_MS: u64 = 2_000;

static SITE_COUNT: AtomicU16 = AtomicU16::new(0);

/// Client account with its task kinds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Team {
    /// Name under `/teams` in the shared settings.
    pub name: &'static str,
    /// Bearer credential that callers of this team send.
    pub credential: &'static str,
    /// Names of the task kinds, each with `true` if the kind is idempotent.
    pub kinds: [(&'static str, bool); 3],
}

/// Size of one data centre.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DataCentre {
    /// Name, also the prefix of the names of its instances and targets.
    pub name: &'static str,
    /// Number of entry instances that [`Site::start`] starts.
    pub entries: usize,
    /// Number of targets.
    pub targets: usize,
    /// Number of processes that share the targets, at least 1.
    pub hosts: usize,
}

impl DataCentre {
    /// Creates a data centre whose targets share one process.
    pub const fn new(name: &'static str, entries: usize, targets: usize) -> Self {
        Self { name, entries, targets, hosts: 1 }
    }
}

/// Size and settings of a site.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// Data centres; each is a rack of its own on the instance list.
    pub data_centres: Vec<DataCentre>,
    /// Tasks that each target runs at once.
    pub slots: u32,
    /// Open connections that each target accepts.
    pub connections: u32,
    /// Simulated duration of a synced write on the platform, in milliseconds.
    pub sync_ms: u64,
    /// Time for which a stopping entry instance still accepts requests that the load balancer sends
    /// to it, in milliseconds.
    pub balancer_lag_ms: u64,
    /// Number of CPU cores and of traffic threads of each entry instance. `None` allows all cores
    /// and leaves the number of threads at its default.
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
    /// Name on the instance list, unique in the site.
    pub name: String,
    /// Name of its data centre.
    pub data_centre: &'static str,
    /// Address at which it serves callers.
    pub address: SocketAddr,
    /// Process of the program `verbenapass-entry`.
    pub process: Process,
}

/// Process that hosts several targets of one data centre.
#[derive(Debug)]
pub struct TargetHost {
    /// Name of the data centre.
    pub data_centre: &'static str,
    /// Names of the hosted targets.
    pub names: Vec<String>,
    /// Addresses of the hosted targets, in the order of `names`.
    pub addresses: Vec<SocketAddr>,
    /// Address at which fault switches are set and runs are read.
    pub control: SocketAddr,
    /// Process of the program `verbenapass-target`.
    pub process: Process,
}

/// A running installation; dropping it kills all its processes.
#[derive(Debug)]
pub struct Site {
    /// Entry instances in the order of their start, including those that have exited.
    pub entries: Vec<Entry>,
    /// Processes that host the targets, ordered by data centre.
    pub targets: Vec<TargetHost>,
    /// Process of the stand-in platform.
    pub platform: Process,
    /// Address at which the platform's fault switches and instance list are changed.
    pub platform_control: SocketAddr,
    /// HTTP client that the methods of the site use.
    pub client: Client,
    options: Options,
    platform_addresses: BTreeMap<&'static str, SocketAddr>,
    ports: PortAllocator,
    started_entries: usize,
    directory: TempDir,
}

/// Allocates socket addresses on the loopback address of this process, each only once.
#[derive(Debug)]
struct PortAllocator {
    ip: Ipv4Addr,
    next: u16,
}

impl PortAllocator {
    fn new() -> Self {
        let [high, a, b, c] = std::process::id().to_be_bytes();
        debug_assert_eq!(high, 0, "Linux process ids have at most 22 bits");
        let site = SITE_COUNT.fetch_add(1, Ordering::Relaxed);
        Self { ip: Ipv4Addr::new(127, a + 1, b, c), next: FIRST_PORT + site * PORTS_PER_SITE }
    }

    fn allocate(&mut self) -> SocketAddr {
        let port = self.next;
        self.next += 1;
        SocketAddr::new(IpAddr::V4(self.ip), port)
    }
}

impl Site {
    /// Starts all processes and waits until they are ready.
    ///
    /// An error kills the processes that were already started.
    pub async fn start(options: Options) -> Result<Self, Error> {
        let directory = tempfile::Builder::new()
            .prefix("verbenapass-")
            .tempdir()
            .map_err(|cause| Error::File(std::env::temp_dir(), cause))?;
        let mut ports = PortAllocator::new();
        let mut instances = Vec::new();
        let mut targets = Vec::new();
        let client = Client::new();
        for (rack, data_centre) in options.data_centres.iter().enumerate() {
            for host in 0..data_centre.hosts {
                let (target_host, listed) = start_target_host(
                    data_centre,
                    host,
                    &options,
                    &mut ports,
                    directory.path(),
                    rack,
                )?;
                instances.extend(listed);
                targets.push(target_host);
            }
        }
        let platform_control = ports.allocate();
        let platform_addresses: BTreeMap<&str, SocketAddr> = options
            .data_centres
            .iter()
            .map(|data_centre| (data_centre.name, ports.allocate()))
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
        site.wait_until_control_ready().await?;
        for data_centre in site.options.data_centres.clone() {
            for _ in 0..data_centre.entries {
                let entry = site.spawn_entry(data_centre.name).await?;
                site.entries.push(entry);
            }
        }
        for index in 0..site.entries.len() {
            site.wait_until_entry_ready(index).await?;
        }
        Ok(site)
    }

    async fn wait_until_control_ready(&mut self) -> Result<(), Error> {
        let client = &self.client;
        for host in &mut self.targets {
            let control = host.control;
            wait_until_ready(&mut host.process, || is_ok(client, control, "/healthz")).await?;
        }
        let control = self.platform_control;
        wait_until_ready(&mut self.platform, || is_ok(client, control, "/healthz")).await
    }

    /// Waits until the entry instance at `index` answers `/readyz` with status 200.
    pub async fn wait_until_entry_ready(&mut self, index: usize) -> Result<(), Error> {
        let client = &self.client;
        let entry = &mut self.entries[index];
        let address = entry.address;
        wait_until_ready(&mut entry.process, || is_ok(client, address, "/readyz")).await
    }

    /// Starts another entry instance with a new name and new addresses, waits until it is ready and
    /// returns its index in `entries`.
    pub async fn add_entry(&mut self, data_centre: &'static str) -> Result<usize, Error> {
        let entry = self.spawn_entry(data_centre).await?;
        self.entries.push(entry);
        let index = self.entries.len() - 1;
        self.wait_until_entry_ready(index).await?;
        Ok(index)
    }

    /// Kills an entry instance and starts it again with the same settings file. Does not wait until
    /// it is ready.
    pub fn restart_entry(&mut self, index: usize) -> Result<(), Error> {
        let entry = &mut self.entries[index];
        entry.process.kill();
        let program = binary::find("verbenapass-entry")?;
        let file = self.directory.path().join(format!("{}.yaml", entry.name));
        entry.process = spawn_program(&entry.name, &program, &file, self.directory.path())?;
        Ok(())
    }

    /// Starts the process of an entry instance and adds the instance to the platform's list.
    async fn spawn_entry(&mut self, data_centre: &'static str) -> Result<Entry, Error> {
        self.started_entries += 1;
        let name = format!("{data_centre}-e{}", self.started_entries);
        let (address, peer) = (self.ports.allocate(), self.ports.allocate());
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
        let file = write_settings(self.directory.path(), &name, &settings)?;
        let program = binary::find("verbenapass-entry")?;
        let affinity = self.options.entry_cores.map(AffinityGuard::new).transpose()?;
        let process = spawn_program(&name, &program, &file, self.directory.path())?;
        drop(affinity);
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

    /// Returns the caller addresses of all entry instances, in the order of `entries`.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|entry| entry.address).collect()
    }

    /// Returns the number of tasks that all targets together run at once.
    pub fn slots(&self) -> u32 {
        let targets: usize = self.targets.iter().map(|host| host.names.len()).sum();
        targets as u32 * self.options.slots
    }

    /// Replaces the fault switches of the platform.
    pub async fn switch_platform(&self, switches: &switch::Platform) -> Result<(), Error> {
        self.client.put(self.platform_control, "/v1/switches", switches).await
    }

    /// Replaces the fault switches of one target; an unknown name is an error.
    pub async fn switch_target(&self, name: &str, switches: &switch::Target) -> Result<(), Error> {
        let host = self.targets.iter().find(|host| host.names.iter().any(|hosted| hosted == name));
        let host = host.ok_or_else(|| Error::Check(format!("the site has no target {name}")))?;
        self.client.put(host.control, &format!("/v1/targets/{name}/switches"), switches).await
    }

    /// Replaces the fault switches of all targets.
    pub async fn switch_targets(&self, switches: &switch::Target) -> Result<(), Error> {
        for host in &self.targets {
            self.client.put(host.control, "/v1/switches", switches).await?;
        }
        Ok(())
    }

    /// Sets the mark of an instance or a target on the platform's instance list.
    pub async fn mark(&self, name: &str, mark: Mark) -> Result<(), Error> {
        let path = format!("/v1/instances/{name}/mark");
        self.client.put(self.platform_control, &path, &MarkChange { mark }).await
    }

    /// Removes an instance or a target from the platform's instance list.
    pub async fn unlist(&self, name: &str) -> Result<(), Error> {
        let path = format!("/v1/instances/{name}");
        let address = self.platform_control;
        self.client.send(http::Method::DELETE, address, &path, &[], Bytes::new()).await?;
        Ok(())
    }

    /// Collects the recorded runs of all targets; fails if a process that hosts targets has exited.
    pub async fn runs(&self) -> Result<Runs, Error> {
        let mut host_runs = Vec::new();
        for host in &self.targets {
            let reply = self.client.get(host.control, "/v1/runs?records=true").await?;
            host_runs.push(reply.json::<Runs>()?);
        }
        Ok(Runs::merge(host_runs))
    }

    /// Returns how many messages and connections the targets and how many messages the platform
    /// received, by kind.
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

    /// Scrapes the metrics of all entry instances and sums the samples with the same name and
    /// labels. An entry instance that has exited is an error.
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

    /// Sends SIGTERM to all processes, entry instances first; fails if one does not exit with code 0.
    pub async fn stop(mut self) -> Result<(), Error> {
        let entries = self.entries.iter_mut().map(|entry| &mut entry.process);
        let hosts = self.targets.iter_mut().map(|host| &mut host.process);
        let mut processes: Vec<&mut Process> = entries.chain(hosts).collect();
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

/// Tells whether a server answers a GET of `path` with status 200.
async fn is_ok(client: &Client, address: SocketAddr, path: &str) -> bool {
    client.get(address, path).await.is_ok_and(|reply| reply.status == 200)
}

/// Starts one of the processes among which the targets of a data centre are divided, and returns it
/// with the entries of its targets for the instance list.
fn start_target_host(
    data_centre: &DataCentre,
    host: usize,
    options: &Options,
    ports: &mut PortAllocator,
    directory: &Path,
    rack: usize,
) -> Result<(TargetHost, Vec<Instance>), Error> {
    let control = ports.allocate();
    let hosted: Vec<standin::Target> = (1..=data_centre.targets)
        .filter(|number| number % data_centre.hosts == host)
        .map(|number| standin::Target {
            name: format!("{}-t{number}", data_centre.name),
            address: ports.allocate(),
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
    let file = write_settings(directory, &name, &standin::Targets { control, targets: hosted })?;
    let process = spawn_program(&name, &binary::find("verbenapass-target")?, &file, directory)?;
    let data_centre = data_centre.name;
    Ok((TargetHost { data_centre, names, addresses, control, process }, instances))
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
        rows: settings_rows(),
        instances,
    };
    let file = write_settings(directory, "platform", &settings)?;
    spawn_program("platform", &binary::find("verbenapass-platform")?, &file, directory)
}

/// Returns the initial rows of the shared settings: those of the fleet and of both teams.
fn settings_rows() -> BTreeMap<String, String> {
    let fleet = format!("credential_sha256: {}\n", settings::sha256_hex(FLEET_CREDENTIAL));
    let mut rows = BTreeMap::from([first_revision("/fleet", fleet)]);
    for team in [HALVERN, FACTURACION] {
        rows.extend([first_revision(&format!("/teams/{}", team.name), team.to_yaml())]);
    }
    rows
}

/// Returns key and value of the row with the first version of a settings subtree.
fn first_revision(path: &str, yaml: String) -> (String, String) {
    let revision = Revision {
        path: path.into(),
        version: id::Version::new(1),
        changes: Vec::new(),
        yaml: Some(yaml),
    };
    (format!("settings{path}"), revision.to_value())
}

impl Team {
    /// Returns the team's subtree of the shared settings.
    pub fn to_yaml(self) -> String {
        let credential = settings::sha256_hex(self.credential);
        let mut yaml = format!("credential_sha256: {credential}\nkinds:\n");
        for (kind, idempotent) in self.kinds {
            let _ = writeln!(yaml, "  {kind}: {{service: {SERVICE}, idempotent: {idempotent}}}");
        }
        yaml
    }
}

/// Writes `<directory>/<name>.yaml` and returns its path.
fn write_settings<T: Serialize>(
    directory: &Path,
    name: &str,
    settings: &T,
) -> Result<PathBuf, Error> {
    let file = directory.join(format!("{name}.yaml"));
    let text = serde_yaml_ng::to_string(settings)
        .map_err(|cause| Error::File(file.clone(), std::io::Error::other(cause)))?;
    std::fs::write(&file, text).map_err(|cause| Error::File(file.clone(), cause))?;
    Ok(file)
}

fn spawn_program(
    name: &str,
    program: &Path,
    file: &Path,
    directory: &Path,
) -> Result<Process, Error> {
    let file = file.to_string_lossy();
    Process::spawn(name, program, ["--settings", &*file], directory)
}
