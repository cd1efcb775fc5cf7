//! Helpers for the system tests in `tests/`, which start the real programs on loopback addresses.
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

/// Time after which [`until`] panics. It is long, as it only has to end tests that have failed.
pub const EVENT_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Calls `poll` repeatedly until it returns a value.
///
/// # Panics
///
/// If `poll` has returned no value after [`EVENT_TIMEOUT`]. The message contains `event`.
pub async fn until<T>(event: &str, mut poll: impl AsyncFnMut() -> Option<T>) -> T {
    let end = Instant::now() + EVENT_TIMEOUT;
    loop {
        if let Some(value) = poll().await {
            return value;
        }
        assert!(Instant::now() < end, "no event within {EVENT_TIMEOUT:?}: {event}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns the wall clock time in microseconds since the Unix epoch.
pub fn now_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |span| span.as_micros() as u64)
}

/// Makes the payload of a task that runs for `run_ms` and answers with the text `echo`. Runs are
/// recognised by this text, so it must be unique in a test.
pub fn task(run_ms: u64, echo: &str) -> Payload {
    Payload { run_us: run_ms * 1_000, echo: echo.into(), ..Payload::default() }
}

/// Makes the payloads of `count` tasks, with the echo texts `<name>-0`, `<name>-1` and so on.
pub fn tasks(count: usize, run_ms: u64, name: &str) -> Vec<Payload> {
    (0..count).map(|number| task(run_ms, &format!("{name}-{number}"))).collect()
}

/// Makes a job whose tasks all have the same kind. The submission waits for the answer; a kind that
/// is not idempotent also needs a `request_id`.
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

/// Returns the echo texts in the answers of a complete job, in the order of its tasks. An answer
/// that cannot be parsed gives an empty text.
pub fn echoes(answer: &Answer) -> Vec<String> {
    let parse = |raw: &serde_json::value::RawValue| {
        serde_json::from_str(raw.get()).map_or_else(|_| String::new(), |a: target::Answer| a.echo)
    };
    answer.answers.iter().flatten().map(|raw| parse(raw)).collect()
}

/// Starts a site with the data centre `north`. Each target runs up to `slots` tasks at a time.
///
/// # Panics
///
/// If a process does not start or does not become ready.
pub async fn one_centre(entries: usize, targets: usize, slots: u32) -> Site {
    let data_centres = vec![DataCentre::new("north", entries, targets)];
    start(Options { data_centres, slots, ..Options::default() }).await
}

/// Starts a site with the data centres `north` and `south`, each with the given numbers of entry
/// instances and targets. The entry instances of `north` come first in [`Site::entries`].
///
/// # Panics
///
/// If a process does not start or does not become ready.
pub async fn two_centres(entries: usize, targets: usize, slots: u32) -> Site {
    let data_centres = ["north", "south"].map(|name| DataCentre::new(name, entries, targets));
    start(Options { data_centres: data_centres.into(), slots, ..Options::default() }).await
}

/// Starts a site with the given options. Its processes are killed when it is dropped.
///
/// # Panics
///
/// If a process does not start or does not become ready.
pub async fn start(options: Options) -> Site {
    Site::start(options).await.unwrap_or_else(|error| panic!("{error}"))
}

/// Submits a job to the entry instance at index `entry` of [`Site::entries`].
///
/// # Panics
///
/// If the request fails or its answer cannot be parsed.
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

/// Returns a record of each task that a target has started. Leaves out target processes that
/// the test removed from [`Site::targets`].
///
/// # Panics
///
/// If the control server of a target process does not answer.
pub async fn records(site: &Site) -> Vec<Record> {
    site.runs().await.unwrap_or_else(|error| panic!("{error}")).records
}

/// Returns how many times a task with this echo text was started.
pub async fn count_runs(site: &Site, echo: &str) -> usize {
    records(site).await.iter().filter(|record| record.echo == echo).count()
}

/// Waits until each entry instance reports all others as reachable peers.
///
/// # Panics
///
/// If that takes longer than [`EVENT_TIMEOUT`].
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

/// Asserts that no start was delivered twice and no echo text ran twice.
///
/// # Panics
///
/// If one was, or if the control server of a target process does not answer.
pub async fn assert_no_duplicates(site: &Site) {
    let runs = site.runs().await.unwrap_or_else(|error| panic!("{error}"));
    assert!(runs.double_starts.is_empty(), "start ids that ran twice: {:?}", runs.double_starts);
    assert!(runs.double_echoes.is_empty(), "echo texts that ran twice: {:?}", runs.double_echoes);
}

/// Replaces the parts of a transcript that differ between test runs by placeholders: times of at
/// least 16 digits, addresses with ports, and the random suffixes of instance ids.
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
                bare.split('.').map(|p| if is_id_suffix(p) { "<run>" } else { p }).collect();
            normal.push_str(&parts.join("."));
        }
        normal.push_str(&word[bare.len()..]);
        rest = after;
    }
    normal + rest
}

fn is_id_suffix(text: &str) -> bool {
    text.len() == 8 && text.bytes().all(|byte| byte.is_ascii_hexdigit())
}
