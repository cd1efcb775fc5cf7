//! Checks what callers were told against what the targets ran.

use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use verbenapass_proto::caller::{Answer, Code};
use verbenapass_proto::target;
use verbenapass_standin::run::Runs;

/// What one caller was told.
#[derive(Clone, Debug)]
pub struct Told {
    /// Texts of the tasks, unique in the run.
    pub echoes: Vec<String>,
    /// The final answer; absent if the caller got none.
    pub answer: Option<Answer>,
}

/// Counts of broken guarantees; all are zero in a correct run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct Audit {
    /// Starts that ran more than once.
    pub double_starts: u64,
    /// Tasks that ran more than once.
    pub double_tasks: u64,
    /// Tasks of complete jobs that no target ran.
    pub lost_tasks: u64,
    /// Complete jobs with too few answers, answers of other tasks or answers in the wrong order.
    pub wrong_answers: u64,
    /// Jobs reported as not run of which a task ran.
    pub false_not_run: u64,
    /// Callers without a final answer.
    pub unanswered: u64,
}

impl Audit {
    /// Compares answers with runs.
    pub fn new(told: &[Told], runs: &Runs) -> Self {
        let mut counts: HashMap<&str, u64> = HashMap::new();
        for record in &runs.records {
            *counts.entry(&record.echo).or_default() += 1;
        }
        let ran = |echo: &String| counts.get(echo.as_str()).copied().unwrap_or(0);
        let mut audit = Self {
            double_starts: runs.double_starts.len() as u64,
            double_tasks: runs.double_echoes.len() as u64,
            ..Self::default()
        };
        for job in told {
            let Some(answer) = &job.answer else {
                audit.unanswered += 1;
                continue;
            };
            if answer.code == Code::Complete {
                audit.lost_tasks += job.echoes.iter().filter(|echo| ran(echo) == 0).count() as u64;
                audit.wrong_answers += u64::from(echoes(answer) != job.echoes);
            }
            if says_not_run(answer) && job.echoes.iter().any(|echo| ran(echo) > 0) {
                audit.false_not_run += 1;
            }
        }
        audit
    }

    /// Tells whether every guarantee was kept.
    pub fn is_clean(&self) -> bool {
        *self == Self::default()
    }
}

/// Tells whether an answer says that nothing of the job ran or will run.
fn says_not_run(answer: &Answer) -> bool {
    match answer.code {
        Code::Refused => true,
        Code::Expired | Code::Cancelled => answer.started == Some(false),
        _ => false,
    }
}

/// Returns the texts in the answers of a complete job.
fn echoes(answer: &Answer) -> Vec<String> {
    let parse = |raw: &serde_json::value::RawValue| {
        serde_json::from_str::<target::Answer>(raw.get()).map_or_else(|_| String::new(), |a| a.echo)
    };
    answer.answers.iter().flatten().map(|raw| parse(raw)).collect()
}
