//! The project's own program, started as the deploy file says, with settings like those of a small
//! deployment.

use crate::record::Record;
use std::fs::{self, File};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

const FRONT_PORT: u16 = 8_161;
const CONTROL_PORT: u16 = 8_166;
const READY_PORT: u16 = 8_167;
/// Port of the metrics in the deploy file.
const METRICS_PORT: u16 = 9_464;

/// A machine of the fleet and its process.
#[derive(Debug)]
pub struct Machine {
    pub name: String,
    ip: Ipv4Addr,
    settings: PathBuf,
    log: PathBuf,
    process: Option<Child>,
    record: Record,
}

impl Machine {
    pub fn front(&self) -> SocketAddr {
        (self.ip, FRONT_PORT).into()
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) -> io::Result<()> {
        let deploy = fs::read_to_string("deploy/system.toml")?;
        let line = deploy.lines().find_map(|line| line.strip_prefix("run = "));
        let line = line.ok_or(io::ErrorKind::NotFound)?.trim_matches('"');
        let mut words = line.split(' ');
        let mut command = Command::new(words.next().unwrap_or_default());
        let log = File::options().create(true).append(true).open(&self.log)?;
        command.args(words).env_clear().env("VERBENAPASS_CONFIG", &self.settings);
        command.stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log);
        self.process = Some(command.spawn()?);
        self.record.note(&format!("{} is started", self.name));
        Ok(())
    }

    /// Kills the process as SIGKILL does.
    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            self.record.note(&format!("{} is killed", self.name));
            // Fails only if the process has already ended.
            process.kill().ok();
            process.wait().ok();
        }
    }

    /// Sends a signal by its name, such as `TERM`, to the process.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        let Some(process) = &self.process else { return Ok(()) };
        self.record.note(&format!("{} gets SIG{name}", self.name));
        let sent =
            Command::new("kill").args([&format!("-{name}"), &process.id().to_string()]).status()?;
        if sent.success() { Ok(()) } else { Err(io::ErrorKind::Other.into()) }
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.process.as_mut().is_some_and(|process| !matches!(process.try_wait(), Ok(None)))
    }

    /// Returns whether the readiness check answers with 200.
    pub fn is_ready(&self) -> bool {
        let request = crate::http::Request {
            method: "GET".into(),
            path: "/verbenapass/readyz".into(),
            headers: vec![("host".into(), self.name.clone())],
            ..crate::http::Request::default()
        };
        let answer =
            crate::http::call((self.ip, READY_PORT).into(), &request, Duration::from_millis(500));
        answer.is_ok_and(|(status, _)| status == 200)
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Makes machines, `per_zone` in each zone, without starting their processes.
pub fn machines(
    zones: &[&str],
    per_zone: usize,
    store: SocketAddr,
    directory: &Path,
    record: &Record,
) -> io::Result<Vec<Machine>> {
    let count = zones.len() * per_zone;
    let ips = free_addresses(count).ok_or(io::ErrorKind::AddrInUse)?;
    let seeds: Vec<String> =
        ips.iter().take(3).map(|ip| format!("\"{ip}:{CONTROL_PORT}\"")).collect();
    let mut machines = Vec::new();
    for (index, ip) in ips.into_iter().enumerate() {
        let zone = zones[index / per_zone];
        let name = format!("front-{zone}-{}", index % per_zone + 1);
        let settings = directory.join(format!("{name}.toml"));
        fs::write(&settings, settings_text(&name, zone, zones, ip, &seeds.join(","), store))?;
        let log = directory.join(format!("{name}.log"));
        machines.push(Machine { name, ip, settings, log, process: None, record: record.clone() });
    }
    Ok(machines)
}

/// Finds loopback addresses on which the ports of a machine are free.
fn free_addresses(count: usize) -> Option<Vec<Ipv4Addr>> {
    let id = std::process::id();
    (0..200).find_map(|attempt| {
        let (second, third) = (20 + (id % 200) as u8, (id / 200 % 200) as u8 + attempt);
        let ips = (1..=count as u8).map(|last| Ipv4Addr::new(127, second, third, last));
        let ips: Vec<Ipv4Addr> = ips.collect();
        let ports = [FRONT_PORT, CONTROL_PORT, READY_PORT, METRICS_PORT];
        let is_free = |ip: &Ipv4Addr| {
            ports.iter().all(|port| {
                TcpStream::connect((*ip, *port)).is_err() && TcpListener::bind((*ip, *port)).is_ok()
            })
        };
        ips.iter().all(is_free).then_some(ips)
    })
}

fn settings_text(
    name: &str,
    zone: &str,
    zones: &[&str],
    ip: Ipv4Addr,
    seeds: &str,
    store: SocketAddr,
) -> String {
    let regions: String = zones.iter().map(|zone| format!("{zone} = \"region\"\n")).collect();
    format!(
        r#"nodeName = "{name}"
role = "entry"
machineClass = "front"
serves = ["front","control"]
ip = "{ip}"
zone = "{zone}"
region = "region"
portRange = [7720,7735]
seeds = [{seeds}]
bootstrap = true
lossCounts = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1500
contracts = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
orders = "rpc"
[zones]
{regions}[listen]
front = "{ip}:{FRONT_PORT}"
ready = "{ip}:{READY_PORT}"
control = "{ip}:{CONTROL_PORT}"
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
leaseMs = 3000
thawMs = 300
retransmitMs = 1300
[platform]
addr = "{store}"
form = "table"
writesPerS = 600
readsPerS = 2000
txMs = 6.0
partWritesS = 200
rowBytes = 65536
across = false
retentionS = 20
[cloud]
addr = "{store}"
ratePerS = 60.0
duties = []
dutyPerS = 60.0
"#
    )
}
