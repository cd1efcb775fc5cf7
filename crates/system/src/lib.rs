//! Parts shared by the tests of whole sessions, which are in `tests/`.
//!
//! # Example
//!
//! ```
//! use verbenapass_system::normalise;
//!
//! assert_eq!(normalise(r#"{"retry_at_us": 1733250000000000}"#), r#"{"retry_at_us": <time>}"#);
//! ```

use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use verbenapass_load::client::Client;
use verbenapass_load::site::{DataCentre, Options, Site, Team};
use verbenapass_proto::caller::{Answer, Submit, Task};
use verbenapass_proto::target::{self, Payload};
use verbenapass_standin::run::Record;

/// Time within which an awaited event must happen. It only ends a test that has failed.
pub const EVENT_DEADLINE: Duration = Duration::from_secs(60);
/// Pause between looks at a condition.
const POLL: Duration = Duration::from_millis(5);

/// Waits until `look` returns a value.
///
/// # Panics
///
/// After [`EVENT_DEADLINE`], with the name of the event.
pub async fn until<T>(event: &str, mut look: impl AsyncFnMut() -> Option<T>) -> T {
    let end = Instant::now() + EVENT_DEADLINE;
    loop {
        if let Some(value) = look().await {
            return value;
        }
        assert!(Instant::now() < end, "not within {EVENT_DEADLINE:?}: {event}");
        tokio::time::sleep(POLL).await;
    }
}

/// Returns the time in microseconds since the Unix epoch.
pub fn now_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |span| span.as_micros() as u64)
}

/// Makes a task that runs for a time and echoes a text.
pub fn task(run_ms: u64, echo: &str) -> Payload {
    Payload { run_us: run_ms * 1_000, echo: echo.into(), ..Payload::default() }
}

/// Makes `count` tasks with texts `<name>-<number>`.
pub fn tasks(count: usize, run_ms: u64, name: &str) -> Vec<Payload> {
    (0..count).map(|number| task(run_ms, &format!("{name}-{number}"))).collect()
}

/// Makes a job of one kind.
pub fn job(kind: &str, timeout_ms: u64, tasks: &[Payload]) -> Submit {
    let task = |payload| Task {
        kind: kind.into(),
        payload: serde_json::value::to_raw_value(payload).unwrap_or_default(),
        declared_ms: None,
        memory_bytes: 0,
        accelerators: 0,
    };
    Submit {
        request_id: None,
        deadline_us: None,
        timeout_ms: Some(timeout_ms),
        wait: true,
        tasks: tasks.iter().map(task).collect(),
    }
}

/// Returns the texts in the answers of a complete job.
pub fn echoes(answer: &Answer) -> Vec<String> {
    let parse = |raw: &serde_json::value::RawValue| {
        serde_json::from_str(raw.get()).map_or_else(|_| String::new(), |a: target::Answer| a.echo)
    };
    answer.answers.iter().flatten().map(|raw| parse(raw)).collect()
}

/// Starts a site of one data centre.
///
/// # Panics
///
/// If a process does not start.
pub async fn one_centre(entries: usize, targets: usize, slots: u32) -> Site {
    let data_centres = vec![DataCentre::new("north", entries, targets)];
    start(Options { data_centres, slots, ..Options::default() }).await
}

/// Starts a site of two data centres of the same size.
///
/// # Panics
///
/// If a process does not start.
pub async fn two_centres(entries: usize, targets: usize, slots: u32) -> Site {
    let data_centres = ["north", "south"].map(|name| DataCentre::new(name, entries, targets));
    start(Options { data_centres: data_centres.into(), slots, ..Options::default() }).await
}

/// Starts a site.
///
/// # Panics
///
/// If a process does not start.
pub async fn start(options: Options) -> Site {
    Site::start(options).await.unwrap_or_else(|error| panic!("{error}"))
}

/// Submits a job at an entry instance and returns the answer.
///
/// # Panics
///
/// If there is no answer.
pub async fn submit(
    client: &Client,
    site: &Site,
    entry: usize,
    team: Team,
    submit: &Submit,
) -> Answer {
    let address = site.entries[entry].address;
    match client.submit(address, team.credential, submit).await {
        Ok((_, answer)) => answer,
        Err(error) => panic!("{error}"),
    }
}

/// Returns what the targets ran.
///
/// # Panics
///
/// If a target does not answer.
pub async fn records(site: &Site) -> Vec<Record> {
    site.runs().await.unwrap_or_else(|error| panic!("{error}")).records
}

/// Returns how often a text ran.
pub async fn count(site: &Site, echo: &str) -> usize {
    records(site).await.iter().filter(|record| record.echo == echo).count()
}

/// Waits until each entry instance reaches all others.
pub async fn until_connected(site: &Site) {
    let peers = site.entries.len() - 1;
    let expected = format!("verbenapass_peers{{state=\"reachable\"}} {peers}");
    for address in site.addresses() {
        until("every instance reaches all others", async || {
            let reply = site.client.get(address, "/metrics").await.ok()?;
            String::from_utf8_lossy(&reply.body).lines().any(|line| line == expected).then_some(())
        })
        .await;
    }
}

/// Asserts that no start and no text ran twice.
///
/// # Panics
///
/// If one did.
pub async fn assert_no_doubles(site: &Site) {
    let runs = site.runs().await.unwrap_or_else(|error| panic!("{error}"));
    assert!(runs.double_starts.is_empty(), "double starts {:?}", runs.double_starts);
    assert!(runs.double_echoes.is_empty(), "double runs {:?}", runs.double_echoes);
}

/// Replaces what differs between runs: times, addresses with ports, and the random suffixes of
/// instance ids.
pub fn normalise(text: &str) -> String {
    let mut normal = String::new();
    let mut rest = text;
    while let Some(at) = rest.find(|c: char| c.is_ascii_alphanumeric()) {
        normal.push_str(&rest[..at]);
        rest = &rest[at..];
        let end = rest.find(|c: char| !(c.is_ascii_alphanumeric() || "-_.:".contains(c)));
        let (word, after) = rest.split_at(end.unwrap_or(rest.len()));
        let bare = word.trim_end_matches([':', '.']);
        if bare.parse::<SocketAddr>().is_ok() {
            normal.push_str("<address>");
        } else if bare.len() >= 16 && bare.bytes().all(|byte| byte.is_ascii_digit()) {
            normal.push_str("<time>");
        } else {
            let parts: Vec<&str> =
                bare.split('.').map(|p| if is_suffix(p) { "<run>" } else { p }).collect();
            normal.push_str(&parts.join("."));
        }
        normal.push_str(&word[bare.len()..]);
        rest = after;
    }
    normal + rest
}

fn is_suffix(text: &str) -> bool {
    text.len() == 8 && text.bytes().all(|byte| byte.is_ascii_hexdigit())
}
