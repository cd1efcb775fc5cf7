//! Open-loop load generator: sends each job of a workload to an entry instance at its arrival time,
//! whether or not earlier jobs have been answered.

use crate::audit::Observation;
use crate::client::Client;
use crate::site::Team;
use crate::workload::{Job, Task};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};
use verbenapass_proto::caller::{self, Answer, Code, Submit};
use verbenapass_proto::target::Payload;

/// Time from the submission of a job to its deadline, far longer than a job usually takes.
const TIMEOUT_MS: u64 = 30_000;
/// Interval between two lines that report progress.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(5);

/// What became of a submitted job.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Index of the job in the workload.
    pub job: usize,
    /// Tasks of the job and the final answer to its caller, for the audit.
    pub observation: Observation,
    /// Time from the submission to the final answer or the error.
    pub elapsed: Duration,
    /// Why there is no answer; `None` if there is one.
    pub error: Option<String>,
}

/// Returns the text that identifies a task among all tasks of a run; the target echoes it.
fn echo(run: &str, job: usize, task: usize) -> String {
    format!("{run}-{job}-{task}")
}

/// Builds the submission of a job. `run` and `number` make the echoed texts of its tasks unique.
pub fn submission(run: &str, number: usize, kind: &str, tasks: &[Task]) -> Submit {
    let tasks = tasks.iter().enumerate().map(|(index, task)| {
        let echo = echo(run, number, index);
        let payload = Payload { run_us: task.run_us, echo, ..Payload::default() };
        caller::Task {
            kind: kind.into(),
            payload: serde_json::value::to_raw_value(&payload).unwrap_or_default(),
            declared_ms: Some((task.declared_us / 1_000).max(1)),
            memory_bytes: 0,
            accelerators: 0,
        }
    });
    Submit {
        request_id: None,
        deadline_us: None,
        timeout_ms: Some(TIMEOUT_MS),
        wait: true,
        tasks: tasks.collect(),
    }
}

/// Sends all jobs, waits for their answers and returns the outcomes in the order of `jobs`. `run`
/// distinguishes the echoed texts of the tasks from those of other runs.
pub async fn drive(
    client: &Client,
    run: &str,
    team: Team,
    addresses: &[SocketAddr],
    jobs: &[Job],
) -> Vec<Outcome> {
    let begin = Instant::now();
    let (sent, finished) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let mut in_flight = JoinSet::new();
    let progress = tokio::spawn(report_progress(sent.clone(), finished.clone(), jobs.len()));
    for (number, job) in jobs.iter().enumerate() {
        sleep_until(begin + Duration::from_micros(job.at_us)).await;
        let address = addresses[job.instance % addresses.len()];
        // The first two kinds are idempotent, so the submission needs no request id.
        let kind = team.kinds[number % 2].0;
        let submit = submission(run, number, kind, &job.tasks);
        let cancel_at = job.cancel_at_us.map(|at| begin + Duration::from_micros(at));
        let client = client.clone();
        let finished = finished.clone();
        sent.fetch_add(1, Ordering::Relaxed);
        in_flight.spawn(async move {
            let outcome = send(&client, number, team, address, submit, cancel_at).await;
            finished.fetch_add(1, Ordering::Relaxed);
            outcome
        });
    }
    let mut outcomes = in_flight.join_all().await;
    progress.abort();
    outcomes.sort_by_key(|outcome| outcome.job);
    outcomes
}

async fn report_progress(sent: Arc<AtomicUsize>, finished: Arc<AtomicUsize>, total: usize) {
    loop {
        tokio::time::sleep(PROGRESS_INTERVAL).await;
        let (sent, finished) = (sent.load(Ordering::Relaxed), finished.load(Ordering::Relaxed));
        eprintln!("progress: {sent} of {total} jobs sent, {finished} finished");
    }
}

async fn send(
    client: &Client,
    job: usize,
    team: Team,
    address: SocketAddr,
    mut submit: Submit,
    cancel_at: Option<Instant>,
) -> Outcome {
    let echoes = submit.tasks.iter().map(|task| {
        serde_json::from_str(task.payload.get()).map_or_else(|_| String::new(), |p: Payload| p.echo)
    });
    let echoes = echoes.collect();
    submit.wait = cancel_at.is_none();
    let begin = Instant::now();
    let result = match cancel_at {
        None => client.submit(address, team.credential, &submit).await.map(|reply| reply.1),
        Some(at) => submit_and_cancel(client, team, address, &submit, at).await,
    };
    let elapsed = begin.elapsed();
    let (answer, error) = match result {
        Ok(answer) => (Some(answer), None),
        Err(error) => (None, Some(error.to_string())),
    };
    Outcome { job, observation: Observation { echoes, answer }, elapsed, error }
}

/// Submits a job without waiting for its result, cancels it at `at` and returns the final answer.
async fn submit_and_cancel(
    client: &Client,
    team: Team,
    address: SocketAddr,
    submit: &Submit,
    at: Instant,
) -> Result<Answer, crate::error::Error> {
    let (_, answer) = client.submit(address, team.credential, submit).await?;
    let (Code::Accepted, Some(job)) = (answer.code, answer.job.clone()) else { return Ok(answer) };
    sleep_until(at).await;
    Ok(client.cancel(address, team.credential, &job).await?.1)
}
