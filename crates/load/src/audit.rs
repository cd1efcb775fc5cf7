//! Checks the answers that callers got against the tasks that the targets ran.

use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use verbenapass_proto::caller::{Answer, Code};
use verbenapass_proto::target;
use verbenapass_standin::run::Runs;

/// A job as its caller saw it.
#[derive(Clone, Debug)]
pub struct Observation {
    /// Echoed text of each task in submission order, unique among all tasks of the run.
    pub echoes: Vec<String>,
    /// Final answer; `None` if the caller got none.
    pub answer: Option<Answer>,
}

/// Numbers of violated guarantees, all zero in a correct run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct Audit {
    /// Start ids under which a target ran a task more than once.
    pub double_starts: u64,
    /// Tasks that ran more than once, under the same or different start ids.
    pub double_tasks: u64,
    /// Tasks of jobs reported as complete that no target ran.
    pub lost_tasks: u64,
    /// Jobs reported as complete whose task answers are missing, of other tasks or out of order.
    pub wrong_answers: u64,
    /// Jobs reported as not run although at least one of their tasks ran.
    pub false_not_run: u64,
    /// Jobs whose callers got no final answer.
    pub unanswered: u64,
}

impl Audit {
    /// Compares the answers to all jobs of a run with the records of the targets.
    pub fn new(observations: &[Observation], runs: &Runs) -> Self {
        let mut counts: HashMap<&str, u64> = HashMap::new();
        for record in &runs.records {
            *counts.entry(&record.echo).or_default() += 1;
        }
        let run_count = |echo: &String| counts.get(echo.as_str()).copied().unwrap_or(0);
        let mut audit = Self {
            double_starts: runs.double_starts.len() as u64,
            double_tasks: runs.double_echoes.len() as u64,
            ..Self::default()
        };
        for job in observations {
            let Some(answer) = &job.answer else {
                audit.unanswered += 1;
                continue;
            };
            if answer.code == Code::Complete {
                audit.lost_tasks +=
                    job.echoes.iter().filter(|echo| run_count(echo) == 0).count() as u64;
                audit.wrong_answers += u64::from(echoes(answer) != job.echoes);
            }
            if is_not_run(answer) && job.echoes.iter().any(|echo| run_count(echo) > 0) {
                audit.false_not_run += 1;
            }
        }
        audit
    }

    /// Tells whether no guarantee was violated.
    pub fn is_clean(&self) -> bool {
        *self == Self::default()
    }
}

/// Tells whether the answer guarantees that no task of the job ran or will run.
fn is_not_run(answer: &Answer) -> bool {
    match answer.code {
        Code::Refused => true,
        Code::Expired | Code::Cancelled => answer.started == Some(false),
        _ => false,
    }
}

/// Returns the echoed text of each task answer, empty for an answer that does not parse.
fn echoes(answer: &Answer) -> Vec<String> {
    let parse = |raw: &serde_json::value::RawValue| {
        serde_json::from_str::<target::Answer>(raw.get()).map_or_else(|_| String::new(), |a| a.echo)
    };
    answer.answers.iter().flatten().map(|raw| parse(raw)).collect()
}
