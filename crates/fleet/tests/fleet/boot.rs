//! Jobs that arrive at a process before it has read the list of targets. They guard against refusals
//! of jobs that can wait until the process is whole.

use crate::world::{START, amount, instance_id};
use verbenapass::id;
use verbenapass::unit::{Millicores, Millis, Permille};
use verbenapass_fleet::admission::Reason;
use verbenapass_fleet::engine::{Command, Engine, Event, Options};
use verbenapass_fleet::job::Submission;
use verbenapass_fleet::record::Outcome;
use verbenapass_fleet::roster::Member;
use verbenapass_fleet::run::Job;

/// Load: all processes restart, and clients return before the first list is read. Submits a job whose
/// tasks take `millis` 100 ms after the start, and returns its answer, if there is one at once.
fn submit_before_list(millis: u64) -> Option<Outcome> {
    let member = Member { data_centre: "dc".parse().unwrap(), cpu: Millicores::new(250) };
    let options = Options {
        instance: instance_id(0),
        member,
        process: 7,
        seed: 1,
        can_evacuate: false,
        separates_kinds: false,
    };
    let mut engine = Engine::new(options, START);
    let now = START.plus(Millis::new(100));
    let submission = Submission {
        caller: id::Caller::new(1),
        id: Job::new(1),
        kind: "k".parse().unwrap(),
        service: "s".parse().unwrap(),
        spec: "spec".into(),
        priority: 0,
        tasks: 1,
        amount: amount(1_000),
        estimate: Millis::new(millis),
        attempts: 1,
        stretch: Permille::new(1_600),
        slack: Millis::new(60),
        arrived: now,
        deadline: now.plus(Millis::new(1_500)),
        resubmit_after: Millis::new(1_300),
        version: id::Version::new(1),
    };
    let mut commands = Vec::new();
    engine.handle(Event::Submit(submission), now, &mut commands);
    commands.into_iter().find_map(|command| match command {
        Command::Answer { outcome, .. } => Some(outcome),
        _ => None,
    })
}

#[test]
fn submit_before_list_long_job_waits() {
    assert_eq!(None, submit_before_list(900));
}

#[test]
fn submit_before_list_job_without_slack_refused_at_once() {
    let answer = submit_before_list(1);
    assert!(matches!(answer, Some(Outcome::Refused(Reason::NoTarget, _))), "{answer:?}");
}
