//! A small deployment: the store, the workers and the instances of the real program.

use crate::http;
use crate::record::Record;
use crate::store::Store;
use crate::worker::Worker;
use std::fs::{self, File};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// The program and its arguments, as the deploy file has them.
const RUN: &str = "target/release/verbenapass --learn-speeds";
const START_TIME: Duration = Duration::from_secs(15);
/// `heartbeatMs` of the small deployments.
const REPORT_INTERVAL: Duration = Duration::from_millis(1_500);

pub const KILL: i32 = 9;
pub const CONTINUE: i32 = 18;
pub const STOP: i32 = 19;

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

pub struct Options {
    pub zones: usize,
    pub instances_per_zone: usize,
    pub workers_per_zone: usize,
    pub cores_per_worker: u64,
}

pub struct Instance {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

pub struct Fleet {
    pub record: Arc<Record>,
    pub workers: Vec<Arc<Worker>>,
    pub instances: Vec<Instance>,
    folder: PathBuf,
    is_over: Arc<AtomicBool>,
}

fn free_port(ip: Ipv4Addr) -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind((ip, 0)).expect("a free port on a loopback address");
    let address = listener.local_addr().expect("a bound listener has an address");
    (listener, address)
}

impl Fleet {
    /// Starts all parts and waits until the instances are ready.
    pub fn start(
        name: &str,
        options: &Options,
        seed: u64,
        record: Arc<Record>,
    ) -> Result<Self, String> {
        let process = std::process::id();
        let folder = std::env::temp_dir().join(format!("verbenapass-{name}-{process}"));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let net = (process % 150) as u8 + 64;
        let part = (process / 150 % 250) as u8;
        let ip = |host: usize| Ipv4Addr::new(127, net, part, host as u8 + 1);
        let store = Arc::new(Store::new());
        let is_over = Arc::new(AtomicBool::new(false));
        let mut fleet = Self {
            record: record.clone(),
            workers: Vec::new(),
            instances: Vec::new(),
            folder,
            is_over: is_over.clone(),
        };
        let (listener, store_address) = free_port(ip(0));
        let handler = store.clone();
        http::serve(listener, Arc::new(move |request| handler.handle(request)));
        store.put("op", "config", &config(1));
        let mut rows = Vec::new();
        for zone in 0..options.zones {
            for index in 0..options.workers_per_zone {
                let number = zone * options.workers_per_zone + index;
                let id = format!("w-{}-{index}", zone_name(zone));
                let worker = Worker::new(id, seed * 1_000 + number as u64, record.clone());
                let (listener, address) = free_port(ip(1));
                let handler = worker.clone();
                http::serve(listener, Arc::new(move |request| handler.handle(request)));
                rows.push((worker.clone(), address, zone_name(zone), options.cores_per_worker));
                fleet.workers.push(worker);
            }
        }
        let workers = fleet.workers.clone();
        let over = is_over.clone();
        http::spawn(move || {
            while !over.load(Ordering::Relaxed) {
                workers.iter().for_each(|worker| worker.tick());
                std::thread::sleep(Duration::from_millis(1));
            }
        });
        http::spawn(move || {
            let mut sequence = 0;
            while !is_over.load(Ordering::Relaxed) {
                sequence += 1;
                for (worker, address, zone, cores) in &rows {
                    let row = report(worker, *address, zone, *cores, sequence);
                    store.put("servers", &worker.id, &row);
                }
                std::thread::sleep(REPORT_INTERVAL);
            }
        });
        let mut ports = Vec::new();
        for number in 0..options.zones * options.instances_per_zone {
            let ip = ip(10 + number);
            // The listeners are closed together, so that no port is given out twice.
            ports.push([free_port(ip), free_port(ip), free_port(ip)]);
        }
        let addresses: Vec<[SocketAddr; 3]> =
            ports.iter().map(|p| [p[0].1, p[1].1, p[2].1]).collect();
        drop(ports);
        let seeds: Vec<String> =
            addresses.iter().take(3).map(|a| format!("\"{}\"", a[2])).collect();
        for (number, [front, ready, control]) in addresses.iter().enumerate() {
            let zone = zone_name(number / options.instances_per_zone);
            let name = format!("front-{zone}-{}", number % options.instances_per_zone + 1);
            let text = settings(&name, &zone, [*front, *ready, *control], &seeds, store_address);
            let path = fleet.folder.join(format!("{name}.toml"));
            fs::write(&path, text).map_err(|error| error.to_string())?;
            let log = fleet.folder.join(format!("{name}.log"));
            let (front, ready) = (*front, *ready);
            fleet.instances.push(Instance { name, front, ready, settings: path, log, child: None });
        }
        for number in 0..fleet.instances.len() {
            fleet.launch(number)?;
        }
        fleet.wait_until_ready()?;
        Ok(fleet)
    }

    pub fn launch(&mut self, number: usize) -> Result<(), String> {
        let instance = &mut self.instances[number];
        let mut words = RUN.split(' ');
        let program = words.next().unwrap_or_default();
        let log = File::options().create(true).append(true).open(&instance.log);
        let log = log.map_err(|error| error.to_string())?;
        let child = Command::new(program)
            .args(words)
            .env("VERBENAPASS_CONFIG", &instance.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(|error| error.to_string())?)
            .stderr(log)
            .spawn()
            .map_err(|error| format!("{program}: {error}"))?;
        self.record.line(format!("{} starts", instance.name));
        instance.child = Some(child);
        Ok(())
    }

    fn wait_until_ready(&self) -> Result<(), String> {
        let until = Instant::now() + START_TIME;
        for instance in &self.instances {
            loop {
                let limit = Duration::from_millis(500);
                let outcome = http::call(instance.ready, "GET /verbenapass/readyz", &[], "", limit);
                if matches!(outcome, http::Outcome::Answer(200, _)) {
                    break;
                }
                if Instant::now() > until {
                    return Err(format!("{} isn't ready", instance.name));
                }
                std::thread::sleep(Duration::from_millis(50));
            }
        }
        // The links and the division of the workers settle.
        std::thread::sleep(Duration::from_secs(3));
        Ok(())
    }

    pub fn signal(&self, number: usize, signal: i32) {
        let instance = &self.instances[number];
        let Some(child) = &instance.child else { return };
        let name = match signal {
            KILL => "SIGKILL",
            STOP => "SIGSTOP",
            CONTINUE => "SIGCONT",
            _ => "a signal",
        };
        self.record.line(format!("{} gets {name}", instance.name));
        // SAFETY: `kill` has no preconditions, and the process is a child that wasn't reaped yet.
        unsafe { kill(child.id() as i32, signal) };
    }

    /// Waits for the end of a process that was killed.
    pub fn reap(&mut self, number: usize) {
        if let Some(mut child) = self.instances[number].child.take() {
            child.wait().ok();
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
        for instance in &mut self.instances {
            if let Some(mut child) = instance.child.take() {
                child.kill().ok();
                child.wait().ok();
            }
        }
        match std::env::var_os("KEEP_LOGS") {
            Some(_) => eprintln!("logs: {}", self.folder.display()),
            None => {
                fs::remove_dir_all(&self.folder).ok();
            }
        }
    }
}

fn zone_name(zone: usize) -> String {
    format!("zone-{}", (b'a' + zone as u8) as char)
}

pub const HOST: &str = "entry.example";
pub const PREFIX: &str = "/jobs/";

pub fn config(version: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"factura\",\"host\":\"{HOST}\",\
         \"pathPrefix\":\"{PREFIX}\",\"service\":\"facturacion\",\"sloMs\":60,\"attempts\":2,\
         \"priority\":0,\"stretch\":1.6}}],\"services\":[{{\"name\":\"facturacion\"}}],\
         \"limits\":{{\"maxBodyBytes\":262144}}}}"
    )
}

fn report(worker: &Worker, address: SocketAddr, zone: &str, cores: u64, sequence: u64) -> String {
    format!(
        "{{\"service\":\"facturacion\",\"addr\":\"{address}\",\"zone\":\"{zone}\",\
         \"version\":\"1\",\"slots\":8,\"state\":\"ready\",\"coldLeftMs\":0,\"seq\":{sequence},\
         \"born\":{},\"capacity\":{{\"cpu\":{},\"memMb\":32768,\"gpu\":0}},\
         \"labels\":[\"a\",\"{zone}-r1\"]}}",
        worker.born(),
        cores * 1_000
    )
}

fn settings(
    name: &str,
    zone: &str,
    [front, ready, control]: [SocketAddr; 3],
    seeds: &[String],
    store: SocketAddr,
) -> String {
    let ip: IpAddr = front.ip();
    let seeds = seeds.join(",");
    format!(
        "nodeName = \"{name}\"\nrole = \"entry\"\nmachineClass = \"front\"\n\
         serves = [\"front\",\"control\"]\nip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"r\"\n\
         seeds = [{seeds}]\nbootstrap = true\ndiscovery = \"platform\"\nentry = \"vip\"\n\
         heartbeatMs = 1500\norders = \"rpc\"\n\
         [listen]\nfront = \"{front}\"\nready = \"{ready}\"\ncontrol = \"{control}\"\n\
         [limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = 260\nmaxFds = 4100\nlinkMbps = 1000.0\n\
         [bounds]\ncontactMs = 3000\nackMs = 4000\ndrainMs = 2000\ngraceS = 6\nlossSlackMs = 200\n\
         configApplyMs = 2000\nmaxHoldMs = 1000\nstopTimeoutMs = 50\ncancel_ms = 3000\n\
         visible_ms = 3000\nretransmitMs = 1300\n\
         [platform]\naddr = \"{store}\"\nform = \"table\"\nwritesPerS = 600\nreadsPerS = 2000\n"
    )
}
