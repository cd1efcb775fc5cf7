//! Tests of the audit, which must see every broken guarantee.

use verbenapass_load::audit::{Audit, Told};
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

fn told(echoes: &[&str], answer: Option<Answer>) -> Told {
    Told { echoes: echoes.iter().map(|echo| (*echo).to_owned()).collect(), answer }
}

/// Guards against an audit that finds fault with a correct run.
#[test]
fn audit_correct_run_is_clean() {
    let jobs = [
        told(&["a", "b"], Some(complete(&["a", "b"]))),
        told(&["c"], Some(Answer::new(Code::Refused))),
        told(&["d"], Some(Answer::new(Code::Failed))),
    ];
    let audit = Audit::new(&jobs, &runs(&[("1", "a"), ("2", "b"), ("3", "d")]));
    assert!(audit.is_clean(), "{audit:?}");
}

/// Guards against double and lost runs that the audit does not see.
#[test]
fn audit_counts_doubles_and_losses() {
    let jobs = [told(&["a", "b"], Some(complete(&["a", "b"])))];
    let audit = Audit::new(&jobs, &runs(&[("1", "a"), ("1", "x"), ("2", "a")]));
    assert_eq!((audit.double_starts, audit.double_tasks, audit.lost_tasks), (1, 1, 1));
}

/// Guards against partial, mixed and missing answers that the audit does not see.
#[test]
fn audit_counts_wrong_answers() {
    let all = runs(&[("1", "a"), ("2", "b")]);
    let count = |answer| Audit::new(&[told(&["a", "b"], answer)], &all);
    assert_eq!(count(Some(complete(&["a"]))).wrong_answers, 1);
    assert_eq!(count(Some(complete(&["b", "a"]))).wrong_answers, 1);
    assert_eq!(count(None).unanswered, 1);
}

/// Guards against jobs reported as not run although a task ran.
#[test]
fn audit_counts_false_not_run() {
    let mut expired = Answer::new(Code::Expired);
    expired.started = Some(false);
    let ran = runs(&[("1", "a")]);
    assert_eq!(Audit::new(&[told(&["a"], Some(expired.clone()))], &ran).false_not_run, 1);
    expired.started = Some(true);
    assert_eq!(Audit::new(&[told(&["a"], Some(expired))], &ran).false_not_run, 0);
}
