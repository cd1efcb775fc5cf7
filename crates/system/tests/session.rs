//! Golden tests: transcripts of a caller's requests and the answers. CONTRIBUTING.md tells how to
//! regenerate the golden files.

use std::fmt::Write;
use std::path::Path;
use verbenapass_load::client::{Client, Reply};
use verbenapass_load::error::Error;
use verbenapass_load::site::{HALVERN, Site};
use verbenapass_proto::caller::{Answer, Code, Submit};
use verbenapass_proto::target::Payload;
use verbenapass_standin::switch;
use verbenapass_system::{count_runs, job, normalise, one_centre, task, until};

/// One caller at an entry instance, with the transcript of its requests and answers so far.
struct Session {
    site: Site,
    client: Client,
    text: String,
}

impl Session {
    async fn start() -> Self {
        Self { site: one_centre(1, 1, 1).await, client: Client::new(), text: String::new() }
    }

    fn write(&mut self, request: &str, result: Result<(Reply, Answer), Error>) -> Answer {
        let (reply, answer) = result.unwrap_or_else(|error| panic!("{request}: {error}"));
        let body = serde_json::to_string_pretty(&answer).unwrap();
        let _ = writeln!(self.text, "> {}\n< {}", normalise(request), reply.status);
        if reply.headers.contains_key("retry-after") {
            let _ = writeln!(self.text, "< retry-after");
        }
        let _ = writeln!(self.text, "{}\n", normalise(&body));
        answer
    }

    async fn submit(&mut self, submit: &Submit) -> Answer {
        let address = self.site.entries[0].address;
        let result = self.client.submit(address, HALVERN.credential, submit).await;
        let body = serde_json::to_string(submit).unwrap();
        self.write(&format!("POST /v1/jobs {body}"), result)
    }

    async fn query(&mut self, job: &str) -> Answer {
        let address = self.site.entries[0].address;
        let result = self.client.query(address, HALVERN.credential, job).await;
        self.write(&format!("GET /v1/jobs/{job}"), result)
    }

    async fn cancel(&mut self, job: &str) -> Answer {
        let address = self.site.entries[0].address;
        let result = self.client.cancel(address, HALVERN.credential, job).await;
        self.write(&format!("DELETE /v1/jobs/{job}"), result)
    }

    /// Stops all processes and compares the transcript with its golden file, or rewrites the file
    /// if `UPDATE_GOLDEN` is set.
    async fn end(self, name: &str) {
        self.site.stop().await.unwrap_or_else(|error| panic!("{error}"));
        let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name);
        if std::env::var_os("UPDATE_GOLDEN").is_some() {
            std::fs::write(&file, &self.text).unwrap();
        }
        let golden = std::fs::read_to_string(&file).unwrap_or_default();
        assert_eq!(self.text, golden, "the transcript differs from {}", file.display());
    }
}

fn failing(echo: &str) -> Payload {
    Payload { fail: true, ..task(1, echo) }
}

/// Guards against a complete job with missing answers or with answers in another order than its
/// tasks.
#[tokio::test]
async fn session_complete() {
    let mut session = Session::start().await;
    let answer = session.submit(&job("seat-hold", 10_000, &[task(20, "a"), task(1, "b")])).await;
    session.query(answer.job.as_deref().unwrap()).await;
    session.end("complete.txt").await;
}

/// Guards against a failed task that does not fail its job or whose index is not reported.
#[tokio::test]
async fn session_failed() {
    let mut session = Session::start().await;
    let answer = session.submit(&job("seat-hold", 10_000, &[failing("a"), task(1, "b")])).await;
    session.query(answer.job.as_deref().unwrap()).await;
    session.end("failed.txt").await;
}

/// Guards against a deadline that passes without an answer, and against a wrong `started` in the
/// answer of an expired job.
#[tokio::test]
async fn session_expired() {
    let mut session = Session::start().await;
    session.submit(&job("seat-hold", 300, &[task(1_000, "started")])).await;
    session.submit(&job("seat-hold", 100, &[task(1, "queued")])).await;
    assert_eq!(count_runs(&session.site, "queued").await, 0);
    session.end("expired.txt").await;
}

/// Guards against a cancelled job whose waiting task still starts, or whose cancellation is not
/// reported.
#[tokio::test]
async fn session_cancelled() {
    let mut session = Session::start().await;
    let mut running = job("seat-hold", 10_000, &[task(500, "running")]);
    running.wait = false;
    let running = session.submit(&running).await.job.unwrap();
    let mut queued = job("seat-hold", 10_000, &[task(1, "queued")]);
    queued.wait = false;
    let queued = session.submit(&queued).await.job.unwrap();
    until("the first task runs", async || {
        (count_runs(&session.site, "running").await == 1).then_some(())
    })
    .await;
    session.cancel(&queued).await;
    session.cancel(&running).await;
    session.query(&queued).await;
    assert_eq!(count_runs(&session.site, "queued").await, 0);
    session.end("cancelled.txt").await;
}

/// Guards against a second run of a task whose answer was lost, and against an answer that the task
/// did not run.
#[tokio::test]
async fn session_unknown() {
    let mut session = Session::start().await;
    let lost = switch::Target { delivery: switch::Delivery::Lost, ..Default::default() };
    session.site.switch_targets(&lost).await.unwrap();
    let answer = session.submit(&job("seat-hold", 2_000, &[task(1, "a")])).await;
    assert_eq!(answer.code, Code::Unknown);
    assert_eq!(count_runs(&session.site, "a").await, 1);
    session.end("unknown.txt").await;
}

/// Guards against a non-idempotent job that runs without a claim, and against a refusal without a
/// reason or a time for the next attempt.
#[tokio::test]
async fn session_refused() {
    let mut session = Session::start().await;
    let down = switch::Platform { outage: switch::Outage::Refuse, ..Default::default() };
    session.site.switch_platform(&down).await.unwrap();
    let mut intake = job("intake-confirmation", 5_000, &[task(1, "a")]);
    intake.request_id = Some("r1".into());
    let answer = session.submit(&intake).await;
    assert_eq!(answer.code, Code::Refused);
    assert_eq!(count_runs(&session.site, "a").await, 0);
    session.end("refused.txt").await;
}

/// Guards against invalid submissions that run, and against errors that do not name the invalid
/// field.
#[tokio::test]
async fn session_invalid() {
    let mut session = Session::start().await;
    session.submit(&job("unheard-of", 1_000, &[task(1, "a")])).await;
    session.submit(&job("seat-hold", 1_000, &[])).await;
    session.submit(&job("intake-confirmation", 1_000, &[task(1, "b")])).await;
    session.query("north-e1.99").await;
    session.end("invalid.txt").await;
}
