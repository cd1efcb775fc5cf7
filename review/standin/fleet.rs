//! Instances of the program as the deploy file starts them, each on a loopback address of its own.

use crate::http::{self, Outcome};
use crate::record;
use crate::store::Store;
use std::collections::BTreeMap;
use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

const FRONT: u16 = 8_161;
const CONTROL: u16 = 8_166;
const READY: u16 = 8_167;
const METRICS: u16 = 9_464;
const PROGRAM: &str = "target/release/verbenapass";

pub const TERM: i32 = 15;
pub const KILL: i32 = 9;

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
}

const SIGNAL_WITH_PARENT: i32 = 1;

/// A temporary folder that is removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Self {
        let path = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a temporary folder");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            std::fs::remove_dir_all(&self.0).ok();
        }
    }
}

pub struct Instance {
    pub name: String,
    address: Ipv4Addr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// Returns the first of `count` consecutive loopback addresses whose ports are all free.
pub fn addresses(count: u8) -> Vec<Ipv4Addr> {
    let id = std::process::id();
    for attempt in 0..250 {
        let middle = ((id / 200 + attempt) % 250) as u8;
        let all: Vec<Ipv4Addr> = (1..=count)
            .map(|last| Ipv4Addr::new(127, 30 + (id % 200) as u8, middle, last))
            .collect();
        let is_free = |ip: &Ipv4Addr| {
            [FRONT, CONTROL, READY, METRICS]
                .iter()
                .all(|port| TcpListener::bind((*ip, *port)).is_ok())
        };
        if all.iter().all(is_free) {
            return all;
        }
    }
    panic!("no free loopback addresses");
}

impl Instance {
    /// Writes the settings of one instance for each zone, in the order of the zones. Starts none.
    pub fn all(zones: &[&str], store: &Store, folder: &Folder) -> Vec<Self> {
        let addresses = addresses(zones.len() as u8);
        let name = |index: usize| format!("front-{}-{}", zones[index], index + 1);
        for (index, ip) in addresses.iter().enumerate() {
            let control = SocketAddr::from((*ip, CONTROL));
            store.network.add(&name(index), zones[index], control, true);
        }
        let mut names: Vec<&str> = zones.to_vec();
        names.sort_unstable();
        names.dedup();
        let stores: BTreeMap<&str, SocketAddr> =
            names.iter().map(|zone| (*zone, store.listen(zone))).collect();
        let zone_table: String = names.iter().map(|zone| format!("{zone} = \"area\"\n")).collect();
        zones
            .iter()
            .zip(&addresses)
            .enumerate()
            .map(|(index, (zone, ip))| {
                let name = name(index);
                let seeds = (0..zones.len()).filter(|other| *other != index).take(3);
                let seeds: Vec<String> = seeds
                    .filter_map(|other| {
                        store
                            .network
                            .address(zone, &format!("front-{}-{}", zones[other], other + 1))
                    })
                    .map(|address| format!("\"{address}\""))
                    .collect();
                let settings = folder.0.join(format!("{name}.toml"));
                let text =
                    settings_text(&name, zone, *ip, &seeds.join(","), &zone_table, stores[zone]);
                std::fs::write(&settings, text).expect("the settings can be written");
                let log = folder.0.join(format!("{name}.log"));
                Self { name, address: *ip, settings, log, child: None }
            })
            .collect()
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("a log file");
        let error_log = log.try_clone().expect("a log file");
        let mut command = Command::new(PROGRAM);
        // If the case is ended early, its processes end with it.
        unsafe {
            command.pre_exec(|| {
                prctl(SIGNAL_WITH_PARENT, KILL as u64);
                Ok(())
            });
        }
        let child = command
            .arg("--learn-speeds")
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("VERBENAPASS_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(error_log)
            .spawn();
        match child {
            Ok(child) => self.child = Some(child),
            Err(error) => crate::cannot_run(&format!("{PROGRAM} does not start: {error}")),
        }
        record::log(format!("{}: started", self.name));
    }

    pub fn signal(&self, signal: i32) {
        let names = [(TERM, "SIGTERM"), (KILL, "SIGKILL")];
        let name = names.iter().find(|(number, _)| *number == signal).map_or("?", |(_, name)| name);
        record::log(format!("{}: {name}", self.name));
        if let Some(child) = &self.child {
            // The process is a child that was not waited for, so its id is not reused.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Waits until the process has ended.
    pub fn wait(&mut self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.has_ended() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        false
    }

    pub fn has_ended(&mut self) -> bool {
        let Some(child) = &mut self.child else { return true };
        let status = child.try_wait().ok().flatten();
        if let Some(status) = status {
            record::log(format!("{}: ended with {status}", self.name));
            self.child = None;
        }
        status.is_some()
    }

    pub fn front(&self) -> SocketAddr {
        SocketAddr::from((self.address, FRONT))
    }

    pub fn is_ready(&self) -> bool {
        let ready = SocketAddr::from((self.address, READY));
        let wait = Duration::from_millis(500);
        let headers = [("Host", "ready".to_owned())];
        let outcome = http::call(ready, "GET", "/verbenapass/readyz", &headers, "", wait);
        matches!(outcome, Outcome::Answer(answer) if answer.status() == 200)
    }

    /// Returns the lines of the process's log that contain a text.
    pub fn log_lines(&self, part: &str) -> Vec<String> {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        text.lines().filter(|line| line.contains(part)).map(str::to_owned).collect()
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().ok();
            child.wait().ok();
        }
    }
}

/// Starts all instances and waits until they are ready.
pub fn start_all(instances: &mut [Instance]) {
    instances.iter_mut().for_each(Instance::start);
    let until = Instant::now() + Duration::from_secs(20);
    while !instances.iter().all(Instance::is_ready) {
        if Instant::now() > until {
            crate::cannot_run("the instances do not become ready");
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    record::log("all instances are ready");
    // Targets are handed over once all instances know each other.
    std::thread::sleep(Duration::from_secs(4));
}

fn settings_text(
    name: &str,
    zone: &str,
    ip: Ipv4Addr,
    seeds: &str,
    zones: &str,
    store: SocketAddr,
) -> String {
    format!(
        r#"nodeName = "{name}"
role = "entry"
machineClass = "front"
serves = ["front","control"]
ip = "{ip}"
zone = "{zone}"
region = "area"
portRange = [7720,7735]
seeds = [{seeds}]
bootstrap = true
lossCounts = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1500
contracts = ["base","drain","config","cost","recover","sched","platform"]
orders = "rpc"
[zones]
{zones}[listen]
front = "{ip}:{FRONT}"
ready = "{ip}:{READY}"
control = "{ip}:{CONTROL}"
[limits]
cpuShare = 0.25
cores = 1
memoryMb = 260
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 1
regions = 0
[bounds]
seedLagS = 3
addrReuseS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 6
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxStretchMs = 5000
recoverS = 12
maxHoldMs = 1000
stopTimeoutMs = 50
gangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
requireFence = true
leaseMs = 3000
thawMs = 300
paceMs = 100
harmMs = 4000
retransmitMs = 1300
[platform]
addr = "{}"
form = "table"
writesPerS = 600
readsPerS = 2000
txMs = 6.0
partWritesS = 200
rowBytes = 65536
across = false
retentionS = 20
blobBytes = 8388608
blobMs = 25.0
blobMbS = 80.0
[cloud]
addr = "127.0.0.1:1"
ratePerS = 60.0
duties = []
dutyPerS = 60.0
"#,
        store
    )
}
