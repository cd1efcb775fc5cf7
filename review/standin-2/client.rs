//! Clients that hand jobs in and, without a result, hand them in again as the pages say.

use crate::fleet::{HOST, PREFIX};
use crate::http::{self, Outcome};
use crate::record::Record;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// `retransmitMs` of the small deployments.
pub const RESEND_MS: u64 = 1_300;

#[derive(Clone)]
pub struct Job {
    pub id: String,
    pub tasks: u32,
    pub cpu: u64,
    pub estimate_ms: u64,
    /// True duration of each task, which only the workers know.
    pub work_ms: u64,
    pub limit_ms: u64,
    /// Time after which the client hands the job in again, at least [`RESEND_MS`].
    pub resend_ms: u64,
}

impl Job {
    fn body(&self) -> String {
        format!(
            "{{\"spec\":\"work {}\",\"preemptible\":true,\"steps\":[{{\"count\":{},\"cpu\":{},\
             \"memMb\":64,\"estimateMs\":{}}}]}}",
            self.work_ms, self.tasks, self.cpu, self.estimate_ms
        )
    }
}

/// Hands a job in once and returns what the client got.
pub fn submit(job: &Job, to: SocketAddr, name: &str, record: &Record) -> Outcome {
    record.line(format!("client sends job {} to {name}", job.id));
    let headers = [
        ("host", HOST.to_owned()),
        ("content-type", "application/json".to_owned()),
        ("x-deadline-ms", job.limit_ms.to_string()),
    ];
    let head = format!("POST {PREFIX}{}", job.id);
    let outcome = http::call(to, &head, &headers, &job.body(), Duration::from_millis(job.limit_ms));
    record.line(format!("client got {outcome:?} for job {} from {name}", job.id));
    outcome
}

/// Hands a job in at the first address and, without a result, at the next ones, in the background.
pub fn submit_until_done(job: Job, route: Vec<(SocketAddr, String)>, record: Arc<Record>) {
    http::spawn(move || {
        for (address, name) in route {
            match submit(&job, address, &name, &record) {
                Outcome::Answer(502 | 504, _)
                | Outcome::NoAnswer
                | Outcome::Broken
                | Outcome::NoConnection => std::thread::sleep(Duration::from_millis(job.resend_ms)),
                Outcome::Answer(..) => return,
            }
        }
    });
}
