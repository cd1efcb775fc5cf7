//! The command `demo`: a short run of real processes.

use crate::bench::{increases, measure_round_trip, message_counts};
use crate::client::Client;
use crate::drive;
use crate::error::Error;
use crate::process::POLL_INTERVAL;
use crate::site::{DataCentre, HALVERN, Options, Site};
use crate::workload::{Job, Task};
use verbenapass_proto::caller::Code;

/// Jobs of the demo: number of tasks, run time of each task in milliseconds, and index of the entry
/// instance that gets the job.
const JOBS: [(usize, u64, usize); 3] = [(1, 200, 0), (50, 100, 2), (1_400, 50, 5)];

/// Starts a site in two data centres, runs a few jobs, prints their response times and stops all
/// processes.
///
/// Fails if a job does not complete, a task ran twice or a process does not exit with code 0.
pub async fn demo() -> Result<(), Error> {
    let data_centres = vec![DataCentre::new("north", 3, 6), DataCentre::new("south", 3, 6)];
    let site = Site::start(Options { data_centres, ..Options::default() }).await?;
    let processes = site.entries.len() + site.targets.len() + 1;
    println!(
        "{processes} processes, {} entry instances, {} slots",
        site.entries.len(),
        site.slots()
    );
    let client = Client::new();
    let round_trip = measure_round_trip(&client, site.targets[0].addresses[0]).await?;
    let round_trip_ms = round_trip.value_at_quantile(0.5) as f64 / 1e6;
    let before = message_counts(&site).await?;
    run_jobs(&site, &client, round_trip_ms).await?;
    query_other_data_centre(&site, &client).await?;
    let increases = increases(&before, &message_counts(&site).await?);
    println!("\n{:<40} {:>8}", "messages by kind", "count");
    for (kind, count) in increases {
        println!("{kind:<40} {count:>8}");
    }
    let runs = site.runs().await?;
    let doubles = runs.double_starts.len() + runs.double_echoes.len();
    println!("\nruns at targets: {}, double runs: {doubles}", runs.runs);
    site.stop().await?;
    println!("all {processes} processes stopped with exit code 0");
    if doubles > 0 {
        return Err(Error::Check(format!("{doubles} tasks ran twice")));
    }
    Ok(())
}

/// Submits the jobs one after the other and prints a table of response times.
async fn run_jobs(site: &Site, client: &Client, round_trip_ms: f64) -> Result<(), Error> {
    println!(
        "\n{:<8} {:>6} {:>9} {:>10} {:>10} {:>7}  entry instance",
        "outcome", "tasks", "run ms", "ideal ms", "answer ms", "ratio"
    );
    for (number, (size, run_ms, instance)) in JOBS.into_iter().enumerate() {
        let task = Task { run_us: run_ms * 1_000, declared_us: run_ms * 1_000 };
        let job = Job { at_us: 0, instance, tasks: vec![task; size], cancel_at_us: None };
        let entry = &site.entries[instance];
        let submit = drive::submission("demo", number, HALVERN.kinds[0].0, &job.tasks);
        let (reply, answer) = client.submit(entry.address, HALVERN.credential, &submit).await?;
        if answer.code != Code::Complete {
            return Err(Error::Check(format!(
                "a job of {size} tasks did not complete: {answer:?}"
            )));
        }
        let ideal_ms = job.ideal_us(site.slots()) as f64 / 1e3 + round_trip_ms;
        let answer_ms = reply.elapsed.as_secs_f64() * 1e3;
        let ratio = answer_ms / ideal_ms;
        println!(
            "{:<8} {size:>6} {run_ms:>9} {ideal_ms:>10.2} {answer_ms:>10.2} {ratio:>7.3}  {}",
            "complete", entry.name
        );
    }
    Ok(())
}

/// Submits a job to one instance and polls its result at an instance of another data centre.
async fn query_other_data_centre(site: &Site, client: &Client) -> Result<(), Error> {
    let owner = &site.entries[0];
    let other = site.entries.iter().find(|entry| entry.data_centre != owner.data_centre);
    let other = other.ok_or_else(|| Error::Check("the site has only one data centre".into()))?;
    let task = Task { run_us: 100_000, declared_us: 100_000 };
    let mut submit = drive::submission("demo", JOBS.len(), HALVERN.kinds[0].0, &[task; 3]);
    submit.wait = false;
    let (_, accepted) = client.submit(owner.address, HALVERN.credential, &submit).await?;
    let job = accepted.job.clone();
    let job = job.ok_or_else(|| Error::Check(format!("the job was not accepted: {accepted:?}")))?;
    let (mut queries, mut elapsed_ms) = (0, 0.0);
    let code = loop {
        let (reply, answer) = client.query(other.address, HALVERN.credential, &job).await?;
        queries += 1;
        elapsed_ms += reply.elapsed.as_secs_f64() * 1e3;
        if !matches!(answer.code, Code::Accepted | Code::Running) {
            break answer.code;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    };
    println!(
        "\njob {job} of {} queried at {}: {code:?}, {queries} queries, {:.2} ms each",
        owner.name,
        other.name,
        elapsed_ms / f64::from(queries)
    );
    if code != Code::Complete {
        return Err(Error::Check(format!("job {job} queried in another data centre is {code:?}")));
    }
    Ok(())
}
