//! Benchmarks with real processes: the commands `hop`, `starts` and `run`.

use crate::audit::Audit;
use crate::client::Client;
use crate::drive::{self, Outcome};
use crate::error::Error;
use crate::result::{Quantiles, Summary};
use crate::site::{DataCentre, FACTURACION, HALVERN, Options, Site, Team};
use crate::workload::{self, Job, Task};
use bytes::Bytes;
use hdrhistogram::Histogram;
use http::Method;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::task::JoinSet;
use verbenapass_proto::caller::Code;
use verbenapass_proto::target::{DEADLINE, KIND, Payload, TEAM};

/// Metric in which an entry instance counts its messages by kind, without the labels of a sample.
const MESSAGES: &str = "verbenapass_messages_total";

/// Size and team of an installation that is modelled on that of a user.
#[derive(Clone, Debug)]
pub struct Preset {
    /// Name of the preset, which is the name of its team.
    pub name: &'static str,
    /// Team that submits all jobs.
    pub team: Team,
    /// Data centres, entry instances and targets: 6 entry instances in each data centre, 48 targets
    /// in total.
    pub options: Options,
}

/// Returns the preset `halvern` or `facturacion`, or `None` for any other name.
pub fn preset(name: &str) -> Option<Preset> {
    let (team, names): (Team, &[&'static str]) = match name {
        "halvern" => (HALVERN, &["north", "east", "south", "west"]),
        "facturacion" => (FACTURACION, &["norte", "centro", "sur"]),
        _ => return None,
    };
    let targets = 48 / names.len();
    let data_centres = names.iter().map(|name| DataCentre::new(name, 6, targets)).collect();
    Some(Preset { name: team.name, team, options: Options { data_centres, ..Options::default() } })
}

/// Largest value that a histogram can hold: ten minutes in nanoseconds.
const MAX_VALUE: u64 = 600_000_000_000;

pub(crate) fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_VALUE, 3)
        .expect("bounds and number of significant digits are valid")
}

/// Sends an empty task directly to a target and returns the round-trip time.
async fn call_target(client: &Client, target: SocketAddr, number: u64) -> Result<Duration, Error> {
    let path = format!("/v1/tasks/direct.{number}");
    let deadline = u64::MAX.to_string();
    let headers = [(DEADLINE, deadline.as_str()), (TEAM, "direct"), (KIND, "direct")];
    let body = serde_json::to_vec(&Payload::default()).unwrap_or_default();
    let reply = client.send(Method::POST, target, &path, &headers, Bytes::from(body)).await?;
    if reply.status != 200 {
        return Err(Error::Answer(target.to_string(), format!("status {}", reply.status)));
    }
    Ok(reply.elapsed)
}

/// Measures 200 round trips to a target without an entry instance, in nanoseconds.
pub(crate) async fn measure_round_trip(
    client: &Client,
    target: SocketAddr,
) -> Result<Histogram<u64>, Error> {
    let mut times = histogram();
    for number in 0..200 {
        times.saturating_record(call_target(client, target, number).await?.as_nanos() as u64);
    }
    Ok(times)
}

/// Prints the latency that one entry instance adds to a call of a target on an idle fleet.
pub async fn hop(calls: u64) -> Result<(), Error> {
    let data_centres = vec![DataCentre::new("north", 1, 1)];
    let site = Site::start(Options { data_centres, ..Options::default() }).await?;
    let client = Client::new();
    let (entry, target) = (site.entries[0].address, site.targets[0].addresses[0]);
    let (mut direct, mut through) = (histogram(), histogram());
    let task = [Task { run_us: 0, declared_us: 1_000 }];
    // The first calls include opening connections and are not measured.
    let warm_up = calls / 10;
    for number in 0..calls + warm_up {
        let round_trip = call_target(&client, target, number).await?;
        let submit = drive::submission("hop", number as usize, HALVERN.kinds[0].0, &task);
        let (reply, answer) = client.submit(entry, HALVERN.credential, &submit).await?;
        if answer.code != Code::Complete {
            return Err(Error::Check(format!("a job did not complete: {answer:?}")));
        }
        if number >= warm_up {
            direct.saturating_record(round_trip.as_nanos() as u64);
            through.saturating_record(reply.elapsed.as_nanos() as u64);
        }
    }
    site.stop().await?;
    let (direct, through) = (Quantiles::new(&direct, 1e6), Quantiles::new(&through, 1e6));
    println!("{calls} sequential calls each way, times in milliseconds");
    println!("{:<20} {:>8} {:>8}", "", "p50", "p99");
    println!("{:<20} {:>8.3} {:>8.3}", "direct to target", direct.p50, direct.p99);
    println!("{:<20} {:>8.3} {:>8.3}", "via entry instance", through.p50, through.p99);
    let (p50, p99) = (through.p50 - direct.p50, through.p99 - direct.p99);
    println!("{:<20} {p50:>8.3} {p99:>8.3}", "added");
    println!("{:<20} {:>8.3} {:>8.3}", "goal", 0.3, 1.0);
    Ok(())
}

/// Prints the task starts per second of one entry instance on two cores. Each of `callers` submits
/// jobs of `size` tasks one after the other.
///
/// Fails if a job does not complete, or if a task ran twice or without an answer.
pub async fn starts(seconds: u64, callers: usize, size: usize) -> Result<(), Error> {
    let data_centres = vec![DataCentre::new("north", 1, 16)];
    let options = Options { data_centres, entry_cores: Some(2), ..Options::default() };
    let site = Site::start(options).await?;
    let begin = Instant::now();
    let end = begin + Duration::from_secs(seconds);
    let address = site.entries[0].address;
    let answered = Arc::new(AtomicU64::new(0));
    let mut running = JoinSet::new();
    for caller in 0..callers {
        let answered = answered.clone();
        running.spawn(async move {
            let client = Client::new();
            let tasks = vec![Task { run_us: 0, declared_us: 1_000 }; size];
            let run = format!("starts{caller}");
            let mut number = 0;
            while Instant::now() < end {
                let submit = drive::submission(&run, number, HALVERN.kinds[0].0, &tasks);
                number += 1;
                match client.submit(address, HALVERN.credential, &submit).await {
                    Ok((_, answer)) if answer.code == Code::Complete => {
                        answered.fetch_add(size as u64, Ordering::Relaxed);
                    }
                    Ok((_, answer)) => return Err(Error::Check(format!("incomplete: {answer:?}"))),
                    Err(error) => return Err(error),
                }
            }
            Ok(())
        });
    }
    for result in running.join_all().await {
        result?;
    }
    let elapsed = begin.elapsed().as_secs_f64();
    let runs = site.runs().await?;
    site.stop().await?;
    let answered = answered.load(Ordering::Relaxed);
    println!("{callers} callers, jobs of {size} tasks, {elapsed:.1} s, entry instance on 2 cores");
    println!("answered tasks      {answered}");
    println!("runs at targets     {}", runs.runs);
    println!("double runs         {}", runs.double_starts.len() + runs.double_echoes.len());
    println!("starts per second   {:.0} (goal 10000)", answered as f64 / elapsed);
    if runs.runs != answered || !runs.double_echoes.is_empty() {
        return Err(Error::Check("runs at the targets do not match the answered tasks".into()));
    }
    Ok(())
}

/// Runs an open-loop workload on the installation of a preset, and audits and summarises it.
///
/// `slots` and `instances` of `options` are replaced by those of the installation.
pub async fn run(preset: &Preset, options: &workload::Options) -> Result<Summary, Error> {
    let site = Site::start(preset.options.clone()).await?;
    let options =
        workload::Options { slots: site.slots(), instances: site.entries.len(), ..options.clone() };
    let client = Client::new();
    let round_trip = measure_round_trip(&client, site.targets[0].addresses[0]).await?;
    let jobs = workload::plan(&options);
    let before = message_counts(&site).await?;
    let addresses = site.addresses();
    let begin = Instant::now();
    let outcomes = drive::drive(&client, "run", preset.team, &addresses, &jobs).await;
    let seconds = begin.elapsed().as_secs_f64();
    let after = message_counts(&site).await?;
    let mut runs = site.runs().await?;
    // Drops the calls that measured the round trip.
    runs.records.retain(|record| record.team != "direct");
    let counts = runs.counts.clone();
    let runs = verbenapass_standin::run::Runs::new(runs.records, counts);
    let mut summary = summarise(&outcomes, &jobs, site.slots(), &round_trip);
    site.stop().await?;
    let observations: Vec<_> = outcomes.iter().map(|outcome| outcome.observation.clone()).collect();
    summary.audit = Audit::new(&observations, &runs);
    summary.runs = runs.runs;
    summary.messages = increases(&before, &after);
    summary.wasted_per_task = wasted_per_task(&summary.messages, runs.runs);
    summary.preset = preset.name.into();
    summary.seed = options.seed;
    summary.load = options.load;
    summary.seconds = seconds;
    Ok(summary)
}

/// Returns message counts by kind: those of the targets and the platform, and those that the entry
/// instances report in their metrics.
pub(crate) async fn message_counts(site: &Site) -> Result<BTreeMap<String, f64>, Error> {
    let mut messages = site.counts().await?;
    for (name, value) in site.metrics().await? {
        if let Some(labels) = name.strip_prefix(MESSAGES) {
            let labels = labels.trim_matches(|c| c == '{' || c == '}').replace('"', "");
            messages.insert(format!("entry {labels}"), value);
        }
    }
    Ok(messages)
}

/// Returns the increase of each count from `before` to `after`.
pub(crate) fn increases(
    before: &BTreeMap<String, f64>,
    after: &BTreeMap<String, f64>,
) -> BTreeMap<String, u64> {
    let increase = |name: &String, value: &f64| value - before.get(name).copied().unwrap_or(0.0);
    after.iter().map(|(name, value)| (name.clone(), increase(name, value) as u64)).collect()
}

/// Returns the overhead messages of the entry instances for each run: all messages beyond one start
/// and one answer.
fn wasted_per_task(messages: &BTreeMap<String, u64>, runs: u64) -> f64 {
    let total: u64 = messages
        .iter()
        .filter(|(kind, _)| kind.starts_with("entry "))
        .map(|(_, count)| count)
        .sum();
    total.saturating_sub(2 * runs) as f64 / runs.max(1) as f64
}

fn summarise(
    outcomes: &[Outcome],
    jobs: &[Job],
    slots: u32,
    round_trip: &Histogram<u64>,
) -> Summary {
    let mut summary = Summary {
        jobs: jobs.len() as u64,
        tasks: jobs.iter().map(|job| job.tasks.len() as u64).sum(),
        round_trip_ms: Quantiles::new(round_trip, 1e6),
        ..Summary::default()
    };
    let (mut ratios, mut response_times) = (histogram(), histogram());
    for outcome in outcomes {
        let Some(answer) = &outcome.observation.answer else {
            *summary.outcomes.entry("none".into()).or_default() += 1;
            let error = outcome.error.as_deref().unwrap_or("no error");
            eprintln!("job {} got no answer: {error}", outcome.job);
            continue;
        };
        let code = serde_json::to_value(answer.code).unwrap_or_default();
        *summary.outcomes.entry(code.as_str().unwrap_or_default().into()).or_default() += 1;
        if let Some(refusal) = &answer.refusal {
            *summary.refusals.entry(refusal.reason.clone()).or_default() += 1;
        }
        let job = &jobs[outcome.job];
        if answer.code == Code::Complete && job.cancel_at_us.is_none() {
            let ideal_us =
                job.ideal_us(slots) as f64 + round_trip.value_at_quantile(0.5) as f64 / 1e3;
            let ratio = outcome.elapsed.as_micros() as f64 / ideal_us;
            // The histogram holds integers, so the ratio is recorded in ten-thousandths.
            ratios.saturating_record((ratio * 1e4) as u64);
            response_times.saturating_record(outcome.elapsed.as_micros() as u64);
        }
    }
    summary.ratio = Quantiles::new(&ratios, 1e4);
    summary.response_ms = Quantiles::new(&response_times, 1e3);
    summary
}
