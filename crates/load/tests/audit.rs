//! Tests of the audit, which must detect every violated guarantee.

use verbenapass_load::audit::{Audit, Observation};
use verbenapass_proto::caller::{Answer, Code};
use verbenapass_standin::run::{Counts, Record, Runs};

fn record(start: &str, echo: &str) -> Record {
    Record {
        start: start.into(),
        target: "t1".into(),
        team: "halvern".into(),
        kind: "seat-hold".into(),
        echo: echo.into(),
        begun_us: 1,
        deadline_us: 2,
    }
}

fn runs(records: &[(&str, &str)]) -> Runs {
    let records = records.iter().map(|(start, echo)| record(start, echo)).collect();
    Runs::new(records, Counts::default())
}

fn complete(echoes: &[&str]) -> Answer {
    let raw = |echo: &&str| serde_json::value::to_raw_value(&serde_json::json!({"echo": echo}));
    let mut answer = Answer::new(Code::Complete);
    answer.answers = Some(echoes.iter().map(|echo| raw(echo).unwrap()).collect());
    answer
}

fn observation(echoes: &[&str], answer: Option<Answer>) -> Observation {
    Observation { echoes: echoes.iter().map(|echo| (*echo).to_owned()).collect(), answer }
}

/// Guards against an audit that reports violations in a correct run.
#[test]
fn audit_correct_run_is_clean() {
    let jobs = [
        observation(&["a", "b"], Some(complete(&["a", "b"]))),
        observation(&["c"], Some(Answer::new(Code::Refused))),
        observation(&["d"], Some(Answer::new(Code::Failed))),
    ];
    let audit = Audit::new(&jobs, &runs(&[("1", "a"), ("2", "b"), ("3", "d")]));
    assert!(audit.is_clean(), "{audit:?}");
}

/// Guards against double starts, double tasks and lost tasks that the audit misses.
#[test]
fn audit_counts_doubles_and_losses() {
    let jobs = [observation(&["a", "b"], Some(complete(&["a", "b"])))];
    let audit = Audit::new(&jobs, &runs(&[("1", "a"), ("1", "x"), ("2", "a")]));
    assert_eq!((audit.double_starts, audit.double_tasks, audit.lost_tasks), (1, 1, 1));
}

/// Guards against partial, reordered and missing answers that the audit misses.
#[test]
fn audit_counts_wrong_answers() {
    let all = runs(&[("1", "a"), ("2", "b")]);
    let count = |answer| Audit::new(&[observation(&["a", "b"], answer)], &all);
    assert_eq!(count(Some(complete(&["a"]))).wrong_answers, 1);
    assert_eq!(count(Some(complete(&["b", "a"]))).wrong_answers, 1);
    assert_eq!(count(None).unanswered, 1);
}

/// Guards against an audit that misses a job reported as not run although a task ran, or that
/// counts one reported as started.
#[test]
fn audit_counts_false_not_run() {
    let mut expired = Answer::new(Code::Expired);
    expired.started = Some(false);
    let ran = runs(&[("1", "a")]);
    assert_eq!(Audit::new(&[observation(&["a"], Some(expired.clone()))], &ran).false_not_run, 1);
    expired.started = Some(true);
    assert_eq!(Audit::new(&[observation(&["a"], Some(expired))], &ran).false_not_run, 0);
}
