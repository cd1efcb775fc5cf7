//! Sends the jobs of a plan to entry instances at their times, whether or not earlier ones are
//! answered.

use crate::audit::Told;
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

/// Time from the arrival of a job to its deadline. Jobs of a plan end far earlier.
const TIMEOUT_MS: u64 = 30_000;
/// Pause between progress lines.
const PROGRESS: Duration = Duration::from_secs(5);

/// A job that was submitted.
#[derive(Clone, Debug)]
pub struct Done {
    /// Index in the plan.
    pub job: usize,
    /// What the caller was told.
    pub told: Told,
    /// Time from the submission to the answer.
    pub elapsed: Duration,
    /// Why there is no answer.
    pub error: Option<String>,
}

/// Returns the text of a task, unique in its run.
fn echo(run: &str, job: usize, task: usize) -> String {
    format!("{run}-{job}-{task}")
}

/// Makes the body of a job.
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

/// Drives a plan and returns the jobs in the order of the plan. `run` makes the texts of tasks
/// unique.
pub async fn drive(
    client: &Client,
    run: &str,
    team: Team,
    addresses: &[SocketAddr],
    jobs: &[Job],
) -> Vec<Done> {
    let begin = Instant::now();
    let (sent, ended) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let mut open = JoinSet::new();
    let progress = tokio::spawn(report(sent.clone(), ended.clone(), jobs.len()));
    for (number, job) in jobs.iter().enumerate() {
        sleep_until(begin + Duration::from_micros(job.at_us)).await;
        let address = addresses[job.instance % addresses.len()];
        let kind = team.kinds[number % 2].0;
        let submit = submission(run, number, kind, &job.tasks);
        let cancel_at = job.cancel_at_us.map(|at| begin + Duration::from_micros(at));
        let client = client.clone();
        let ended = ended.clone();
        sent.fetch_add(1, Ordering::Relaxed);
        open.spawn(async move {
            let done = send(&client, number, team, address, submit, cancel_at).await;
            ended.fetch_add(1, Ordering::Relaxed);
            done
        });
    }
    let mut done = open.join_all().await;
    progress.abort();
    done.sort_by_key(|done| done.job);
    done
}

async fn report(sent: Arc<AtomicUsize>, ended: Arc<AtomicUsize>, total: usize) {
    loop {
        tokio::time::sleep(PROGRESS).await;
        let (sent, ended) = (sent.load(Ordering::Relaxed), ended.load(Ordering::Relaxed));
        eprintln!("progress: {sent} of {total} jobs sent, {ended} answered");
    }
}

async fn send(
    client: &Client,
    job: usize,
    team: Team,
    address: SocketAddr,
    mut submit: Submit,
    cancel_at: Option<Instant>,
) -> Done {
    let echoes = submit.tasks.iter().map(|task| {
        serde_json::from_str(task.payload.get()).map_or_else(|_| String::new(), |p: Payload| p.echo)
    });
    let echoes = echoes.collect();
    submit.wait = cancel_at.is_none();
    let begin = Instant::now();
    let result = match cancel_at {
        None => client.submit(address, team.credential, &submit).await.map(|reply| reply.1),
        Some(at) => cancelled(client, team, address, &submit, at).await,
    };
    let elapsed = begin.elapsed();
    let (answer, error) = match result {
        Ok(answer) => (Some(answer), None),
        Err(error) => (None, Some(error.to_string())),
    };
    Done { job, told: Told { echoes, answer }, elapsed, error }
}

/// Submits a job without waiting, cancels it at its time and returns its final answer.
async fn cancelled(
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
