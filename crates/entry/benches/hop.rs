//! Latency that an entry instance adds to a request on an idle fleet, its starts per second under
//! load and its CPU time per start. The instance is a separate process with two traffic threads and
//! one control thread.
//!
//! `cargo bench -p verbenapass-entry --bench hop -- [CALLERS] [SECONDS] [SAMPLE]`
//!
//! With SAMPLE, the instance traces that many requests in a thousand to a file.

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use verbenapass::settings::sha256_hex;
use verbenapass_entry::wire::Connection;

/// Index row of a settings table that was never changed.
const INDEX: &str = r#"{"key": "settings-index", "version": 0, "value": null}"#;
const CREDENTIAL: &str = "secret";
const TARGETS: usize = 8;
const SLOTS: u32 = 64;
const WARM_UP_REQUESTS: u64 = 2_000;
const MEASURED_REQUESTS: u64 = 20_000;

#[tokio::main(flavor = "multi_thread", worker_threads = 4)]
async fn main() {
    let numbers: Vec<u64> = std::env::args().filter_map(|arg| arg.parse().ok()).collect();
    let callers = numbers.first().copied().unwrap_or(64);
    let seconds = numbers.get(1).copied().unwrap_or(5);
    let mut targets = Vec::new();
    for _ in 0..TARGETS {
        targets.push(serve(target).await);
    }
    let list = list(&targets);
    let rows = rows();
    let platform = serve(move |request: Request<hyper::body::Incoming>| {
        let body = match request.uri().path() {
            "/v1/instances" => &list,
            "/v1/table/scan" => &rows,
            _ => INDEX,
        };
        let body = body.to_owned();
        async move { http::Response::new(Full::new(Bytes::from(body))) }
    })
    .await;
    let settings = format!(
        "name: entry-1\ndata_centre: north\ncaller_address: 127.0.0.1:0\n\
         peer_address: 127.0.0.1:0\nplatform_address: {platform}\n\
         stop: {{balancer_lag_ms: 0}}\n"
    );
    let traces = tempfile::tempdir().unwrap();
    let trace = numbers.get(2).map_or(String::new(), |sample| {
        let file = traces.path().join("spans.jsonl");
        format!("trace: {{file: {}, sample_permille: {sample}}}\n", file.display())
    });
    let (mut process, entry) = start(&(settings + &trace));
    while exchange(&mut open(entry).await, get("/readyz")).await != 200 {}

    let direct = measure(targets[0], direct_request).await;
    let hop = measure(entry, submit_request).await;
    for (name, latencies) in [("direct", &direct), ("through entry", &hop)] {
        println!("{name}: median {} us, 99th percentile {} us", latencies.0, latencies.1);
    }
    println!("added: median {} us, 99th percentile {} us", hop.0 - direct.0, hop.1 - direct.1);

    let done = Arc::new(AtomicU64::new(0));
    let begin = Instant::now();
    let end = begin + Duration::from_secs(seconds);
    let cpu = cpu_micros(entry).await;
    let tasks: Vec<_> = (0..callers)
        .map(|_| {
            let done = done.clone();
            tokio::spawn(async move {
                let mut connection = open(entry).await;
                while Instant::now() < end {
                    assert_eq!(exchange(&mut connection, submit_request(0)).await, 200);
                    done.fetch_add(1, Ordering::Relaxed);
                }
            })
        })
        .collect();
    for task in tasks {
        task.await.unwrap();
    }
    let elapsed = begin.elapsed().as_secs_f64();
    let done = done.load(Ordering::Relaxed);
    let after = cpu_micros(entry).await;
    let per_start = |part: usize| (after[part] - cpu[part]) / done as f64;
    println!(
        "{callers} callers: {:.0} starts a second in {elapsed:.1} s; CPU time of the entry \
         process {:.1} us a start, of its control thread {:.1} us",
        done as f64 / elapsed,
        per_start(0),
        per_start(1)
    );
    process.kill().unwrap();
    process.wait().unwrap();
}

/// Starts the process and returns it with its address for callers.
fn start(settings: &str) -> (Child, SocketAddr) {
    let directory = tempfile::tempdir().unwrap();
    let file = directory.path().join("entry.yaml");
    std::fs::write(&file, settings).unwrap();
    let mut child = Command::new(env!("CARGO_BIN_EXE_verbenapass-entry"))
        .arg("--settings")
        .arg(&file)
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut lines = BufReader::new(child.stderr.take().unwrap()).lines();
    let started = lines
        .by_ref()
        .map(|line| serde_json::from_str::<serde_json::Value>(&line.unwrap()).unwrap())
        .find(|record| record["msg"] == "daemon: started")
        .unwrap();
    std::thread::spawn(move || lines.for_each(drop));
    (child, started["caller_address"].as_str().unwrap().parse().unwrap())
}

/// Returns the CPU time of the process and of its control thread, in microseconds.
async fn cpu_micros(entry: SocketAddr) -> [f64; 2] {
    let deadline = tokio::time::Instant::now() + Duration::from_secs(10);
    let mut connection = open(entry).await;
    let answer = connection.exchange(get("/metrics"), 10_000_000, deadline).await.unwrap();
    let text = String::from_utf8(answer.into_body().to_vec()).unwrap();
    ["process", "control"].map(|part| {
        let name = format!("verbenapass_cpu_microseconds_total{{part=\"{part}\"}} ");
        text.lines().find_map(|line| line.strip_prefix(&name)).unwrap().parse().unwrap()
    })
}

async fn target(request: Request<hyper::body::Incoming>) -> http::Response<Full<Bytes>> {
    let start = request.uri().path().rsplit('/').next().unwrap_or_default().to_owned();
    let _ = request.into_body().collect().await;
    let mut response = http::Response::new(Full::new(Bytes::from_static(b"{\"seat\":12}")));
    response.headers_mut().insert("x-start", start.parse().unwrap());
    response
}

async fn serve<F, R>(handle: F) -> SocketAddr
where
    F: Fn(Request<hyper::body::Incoming>) -> R + Clone + Send + 'static,
    R: Future<Output = http::Response<Full<Bytes>>> + Send,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            stream.set_nodelay(true).unwrap();
            let handle = handle.clone();
            let service = service_fn(move |request| {
                let response = handle(request);
                async move { Ok::<_, Infallible>(response.await) }
            });
            tokio::spawn(
                hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service),
            );
        }
    });
    address
}

async fn open(address: SocketAddr) -> Connection {
    Connection::open(address, Duration::from_secs(5)).await.unwrap()
}

async fn exchange(connection: &mut Connection, request: Request<Full<Bytes>>) -> u16 {
    let deadline = tokio::time::Instant::now() + Duration::from_secs(10);
    connection.exchange(request, 1_000_000, deadline).await.unwrap().status().as_u16()
}

async fn measure(address: SocketAddr, request: fn(u64) -> Request<Full<Bytes>>) -> (i64, i64) {
    let mut connection = open(address).await;
    let mut times = Vec::new();
    for number in 0..WARM_UP_REQUESTS + MEASURED_REQUESTS {
        let begin = Instant::now();
        assert_eq!(exchange(&mut connection, request(number)).await, 200);
        if number >= WARM_UP_REQUESTS {
            times.push(begin.elapsed().as_micros() as i64);
        }
    }
    times.sort_unstable();
    (times[times.len() / 2], times[times.len() * 99 / 100])
}

fn get(path: &str) -> Request<Full<Bytes>> {
    Request::get(path).header("host", "x").body(Full::default()).unwrap()
}

fn direct_request(number: u64) -> Request<Full<Bytes>> {
    Request::post(format!("/v1/tasks/bench.{number}"))
        .header("host", "x")
        .body(Full::new(Bytes::from_static(b"{\"seat\":12}")))
        .unwrap()
}

fn submit_request(_: u64) -> Request<Full<Bytes>> {
    Request::post("/v1/jobs")
        .header("host", "x")
        .header("authorization", format!("Bearer {CREDENTIAL}"))
        .body(Full::new(Bytes::from_static(
            br#"{"timeout_ms":10000,"tasks":[{"kind":"seat-hold","payload":{"seat":12}}]}"#,
        )))
        .unwrap()
}

fn list(targets: &[SocketAddr]) -> String {
    let instances: Vec<_> = targets
        .iter()
        .enumerate()
        .map(|(index, address)| {
            serde_json::json!({
                "name": format!("target-{index}"), "role": "target", "data_centre": "north",
                "address": address.to_string(), "mark": "live", "service": "enrolment",
                "worker": format!("worker-{index}"), "rack": "rack-0", "slots": SLOTS,
                "connections": 64,
            })
        })
        .collect();
    serde_json::json!({"revision": 1, "instances": instances}).to_string()
}

fn rows() -> String {
    let hash = sha256_hex(CREDENTIAL);
    let team = format!(
        "credential_sha256: {hash}\nkinds: {{seat-hold: {{service: enrolment, idempotent: true}}}}\n"
    );
    serde_json::json!({"rows": [
        {"key": "settings/fleet", "version": 1,
         "value": revision("/fleet", &format!("credential_sha256: {}\n", sha256_hex("fleet")))},
        {"key": "settings/teams/halvern", "version": 1, "value": revision("/teams/halvern", &team)},
    ]})
    .to_string()
}

fn revision(path: &str, yaml: &str) -> String {
    serde_json::json!({"path": path, "version": 1, "changes": [], "yaml": yaml}).to_string()
}
