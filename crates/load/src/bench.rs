//! The commands `hop`, `starts` and `run`.

use crate::audit::Audit;
use crate::client::Client;
use crate::drive::{self, Done};
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

/// Prefix of the metric that counts messages by kind.
const MESSAGES: &str = "verbenapass_messages_total";

/// A user's installation.
#[derive(Clone, Debug)]
pub struct Preset {
    /// Name.
    pub name: &'static str,
    /// The team.
    pub team: Team,
    /// The site.
    pub options: Options,
}

/// Returns a preset by name.
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

/// Largest value of a histogram: ten minutes in nanoseconds.
const LARGEST: u64 = 600_000_000_000;

pub(crate) fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, LARGEST, 3).expect("the bounds and three digits are allowed")
}

/// Calls a target without an entry instance.
async fn direct(client: &Client, target: SocketAddr, number: u64) -> Result<Duration, Error> {
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

pub(crate) async fn round_trip(
    client: &Client,
    target: SocketAddr,
) -> Result<Histogram<u64>, Error> {
    let mut times = histogram();
    for number in 0..200 {
        times.saturating_record(direct(client, target, number).await?.as_nanos() as u64);
    }
    Ok(times)
}

/// Measures the latency that one entry hop adds on an idle fleet.
pub async fn hop(calls: u64) -> Result<(), Error> {
    let data_centres = vec![DataCentre::new("north", 1, 1)];
    let site = Site::start(Options { data_centres, ..Options::default() }).await?;
    let client = Client::new();
    let (entry, target) = (site.entries[0].address, site.targets[0].addresses[0]);
    let (mut straight, mut through) = (histogram(), histogram());
    let task = [Task { run_us: 0, declared_us: 1_000 }];
    // The first calls open connections and are not counted.
    let warm_up = calls / 10;
    for number in 0..calls + warm_up {
        let without = direct(&client, target, number).await?;
        let submit = drive::submission("hop", number as usize, HALVERN.kinds[0].0, &task);
        let (reply, answer) = client.submit(entry, HALVERN.credential, &submit).await?;
        if answer.code != Code::Complete {
            return Err(Error::Check(format!("a job ended as {answer:?}")));
        }
        if number >= warm_up {
            straight.saturating_record(without.as_nanos() as u64);
            through.saturating_record(reply.elapsed.as_nanos() as u64);
        }
    }
    site.stop().await?;
    let (straight, through) = (Quantiles::new(&straight, 1e6), Quantiles::new(&through, 1e6));
    println!("{calls} calls each, one after the other, milliseconds");
    println!("{:<20} {:>8} {:>8}", "", "p50", "p99");
    println!("{:<20} {:>8.3} {:>8.3}", "direct to target", straight.p50, straight.p99);
    println!("{:<20} {:>8.3} {:>8.3}", "through an entry", through.p50, through.p99);
    let (p50, p99) = (through.p50 - straight.p50, through.p99 - straight.p99);
    println!("{:<20} {p50:>8.3} {p99:>8.3}", "added");
    println!("{:<20} {:>8.3} {:>8.3}", "goal", 0.3, 1.0);
    Ok(())
}

/// Measures the task starts per second of one entry instance on two cores.
pub async fn starts(seconds: u64, callers: usize, size: usize) -> Result<(), Error> {
    let data_centres = vec![DataCentre::new("north", 1, 16)];
    let options = Options { data_centres, entry_cores: Some(2), ..Options::default() };
    let site = Site::start(options).await?;
    let begin = Instant::now();
    let until = begin + Duration::from_secs(seconds);
    let address = site.entries[0].address;
    let answered = Arc::new(AtomicU64::new(0));
    let mut open = JoinSet::new();
    for caller in 0..callers {
        let answered = answered.clone();
        open.spawn(async move {
            let client = Client::new();
            let tasks = vec![Task { run_us: 0, declared_us: 1_000 }; size];
            let run = format!("starts{caller}");
            let mut number = 0;
            while Instant::now() < until {
                let submit = drive::submission(&run, number, HALVERN.kinds[0].0, &tasks);
                number += 1;
                match client.submit(address, HALVERN.credential, &submit).await {
                    Ok((_, answer)) if answer.code == Code::Complete => {
                        answered.fetch_add(size as u64, Ordering::Relaxed);
                    }
                    Ok((_, answer)) => return Err(Error::Check(format!("{answer:?}"))),
                    Err(error) => return Err(error),
                }
            }
            Ok(())
        });
    }
    for result in open.join_all().await {
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
        return Err(Error::Check("runs at the targets differ from the answers".into()));
    }
    Ok(())
}

/// Puts an open-loop load on a site and summarises it.
pub async fn run(preset: &Preset, load: &workload::Options) -> Result<Summary, Error> {
    let site = Site::start(preset.options.clone()).await?;
    let load =
        workload::Options { slots: site.slots(), instances: site.entries.len(), ..load.clone() };
    let client = Client::new();
    let round_trip = round_trip(&client, site.targets[0].addresses[0]).await?;
    let jobs = workload::plan(&load);
    let before = messages(&site).await?;
    let addresses = site.addresses();
    let begin = Instant::now();
    let done = drive::drive(&client, "run", preset.team, &addresses, &jobs).await;
    let seconds = begin.elapsed().as_secs_f64();
    let after = messages(&site).await?;
    let mut runs = site.runs().await?;
    runs.records.retain(|record| record.team != "direct");
    let counts = runs.counts.clone();
    let runs = verbenapass_standin::run::Runs::new(runs.records, counts);
    let mut summary = summarise(&done, &jobs, site.slots(), &round_trip);
    site.stop().await?;
    let told: Vec<_> = done.iter().map(|done| done.told.clone()).collect();
    summary.audit = Audit::new(&told, &runs);
    summary.runs = runs.runs;
    summary.messages = rises(&before, &after);
    summary.wasted_per_task = wasted_per_task(&summary.messages, runs.runs);
    summary.preset = preset.name.into();
    summary.seed = load.seed;
    summary.load = load.load;
    summary.seconds = seconds;
    Ok(summary)
}

/// Counts messages by kind, at the stand-ins and by the metrics of the entry instances.
pub(crate) async fn messages(site: &Site) -> Result<BTreeMap<String, f64>, Error> {
    let mut messages = site.counts().await?;
    for (name, value) in site.metrics().await? {
        if let Some(labels) = name.strip_prefix(MESSAGES) {
            let labels = labels.trim_matches(|c| c == '{' || c == '}').replace('"', "");
            messages.insert(format!("entry {labels}"), value);
        }
    }
    Ok(messages)
}

/// Returns how much each count rose.
pub(crate) fn rises(
    before: &BTreeMap<String, f64>,
    after: &BTreeMap<String, f64>,
) -> BTreeMap<String, u64> {
    let rise = |name: &String, value: &f64| value - before.get(name).copied().unwrap_or(0.0);
    after.iter().map(|(name, value)| (name.clone(), rise(name, value) as u64)).collect()
}

/// Returns the messages of the entry instances beyond one start and one answer, per task that ran.
fn wasted_per_task(messages: &BTreeMap<String, u64>, runs: u64) -> f64 {
    let all: u64 = messages
        .iter()
        .filter(|(kind, _)| kind.starts_with("entry "))
        .map(|(_, count)| count)
        .sum();
    all.saturating_sub(2 * runs) as f64 / runs.max(1) as f64
}

fn summarise(done: &[Done], jobs: &[Job], slots: u32, round_trip: &Histogram<u64>) -> Summary {
    let mut summary = Summary {
        jobs: jobs.len() as u64,
        tasks: jobs.iter().map(|job| job.tasks.len() as u64).sum(),
        round_trip_ms: Quantiles::new(round_trip, 1e6),
        ..Summary::default()
    };
    let (mut ratios, mut times) = (histogram(), histogram());
    for done in done {
        let Some(answer) = &done.told.answer else {
            *summary.outcomes.entry("none".into()).or_default() += 1;
            let error = done.error.as_deref().unwrap_or("no error");
            eprintln!("job {} has no answer: {error}", done.job);
            continue;
        };
        let code = serde_json::to_value(answer.code).unwrap_or_default();
        *summary.outcomes.entry(code.as_str().unwrap_or_default().into()).or_default() += 1;
        if let Some(refusal) = &answer.refusal {
            *summary.refusals.entry(refusal.reason.clone()).or_default() += 1;
        }
        let job = &jobs[done.job];
        if answer.code == Code::Complete && job.cancel_at_us.is_none() {
            let ideal_us =
                job.ideal_us(slots) as f64 + round_trip.value_at_quantile(0.5) as f64 / 1e3;
            let ratio = done.elapsed.as_micros() as f64 / ideal_us;
            ratios.saturating_record((ratio * 1e4) as u64);
            times.saturating_record(done.elapsed.as_micros() as u64);
        }
    }
    summary.ratio = Quantiles::new(&ratios, 1e4);
    summary.response_ms = Quantiles::new(&times, 1e3);
    summary
}
