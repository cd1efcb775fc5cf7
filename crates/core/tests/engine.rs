//! Tests of the life cycle of jobs in one engine.

mod engine_support;

use engine_support::{Driver, bytes, committed, job, peer, target};
use std::collections::BTreeMap;
use verbenapass::admission::Limits;
use verbenapass::claim::{self, Commit, Record, State};
use verbenapass::engine::{Command, Event, OwnerReply, Peer, Target};
use verbenapass::id;
use verbenapass::job::{Invalid, Resources, Status};
use verbenapass::outcome::{Outcome, Refusal, Step};
use verbenapass::peer::{Leaving, Load, Report};
use verbenapass::start::{self, NotRun};
use verbenapass::time::Timestamp;
use verbenapass::unit::{Bytes, Millis, Slots};

// Guards against answers that are returned in the order of arrival instead of the order of tasks.
#[test]
fn answered_keeps_task_order() {
    let mut driver = Driver::new(vec![target("t1", 2)]);
    driver.submit_tasks("seat-hold", 2);
    for order in driver.starts().into_iter().rev() {
        let answer = bytes(&order.task.to_string());
        driver.answer(order.start, start::Result::Answered(answer));
    }
    assert_eq!(driver.outcome(), Outcome::Complete(vec![bytes("0"), bytes("1")]));
    assert_eq!(driver.engine.open_jobs(), 0);
}

// Guards against more starts on a target than it has slots, and against unbalanced load.
#[test]
fn submit_respects_slots() {
    let mut driver = Driver::new(vec![target("t1", 1), target("t2", 2)]);
    driver.submit_tasks("seat-hold", 5);
    let mut count = BTreeMap::new();
    for order in driver.starts() {
        *count.entry(order.target.to_string()).or_insert(0) += 1;
    }
    assert_eq!(count, BTreeMap::from([("t1".into(), 1), ("t2".into(), 2)]));
}

// Guards against accepting a submission that is malformed or not allowed.
#[test]
fn submit_invalid() {
    let mut driver = Driver::new(vec![target("t1", 1)]);
    let mut unknown_team = job(&["seat-hold"], driver.after(1_000));
    unknown_team.team = "other".parse().unwrap();
    let cases = [
        (job(&["seat-hold", "other"], driver.after(1_000)), "unknown_kind"),
        (job(&[], driver.after(1_000)), "task_count"),
        (job(&["seat-hold", "intake-confirmation"], driver.after(1_000)), "request_missing"),
        (unknown_team, "unknown_team"),
    ];
    for (submission, code) in cases {
        driver.submit(submission);
        let responses = driver.responses();
        let [(_, None, Status::Invalid(invalid))] = responses.as_slice() else {
            panic!("{responses:?}");
        };
        assert_eq!(invalid.code(), code);
        assert_eq!(driver.engine.open_jobs(), 0);
    }
    assert!(driver.starts().is_empty());
}

// Guards against starting a task again whose first start may have run.
#[test]
fn answered_unknown_ends_job() {
    let mut driver = Driver::new(vec![target("t1", 1), target("t2", 1)]);
    driver.submit_tasks("seat-hold", 1);
    let order = driver.start();
    driver.lose(order.start);
    let Outcome::Unknown(failure) = driver.outcome() else { panic!("not unknown") };
    assert_eq!((failure.step, failure.target), (Step::Receive, Some(order.target)));
    driver.pass(20_000);
    assert!(driver.starts().is_empty());
}

// Guards against a retry on the same worker or rack while a target elsewhere is free, and against
// failing the job instead of retrying.
#[test]
fn answered_not_run_is_retried_elsewhere() {
    for reason in [NotRun::ConnectFailed, NotRun::Busy, NotRun::Draining] {
        let mut near = target("t2", 4);
        near.worker = "w-t1".parse().unwrap();
        near.rack = "r-t1".parse().unwrap();
        let mut far = target("t3", 4);
        far.rack = "r-t1".parse().unwrap();
        let mut driver = Driver::new(vec![target("t1", 4), near, far, target("t4", 4)]);
        driver.submit_tasks("seat-hold", 1);
        let first = driver.start();
        assert_eq!(first.target.as_str(), "t1");
        driver.not_run(first.start, reason);
        let second = driver.start();
        assert_eq!(second.target.as_str(), "t4", "{reason:?}");
        assert_ne!(second.start, first.start);
        assert_eq!(second.deadline, first.deadline);
        driver.complete(second.start);
        assert!(matches!(driver.outcome(), Outcome::Complete(_)));
    }
}

// Guards against a retry after the deadline, and against reporting `started: false` while another
// task of the job is in flight.
#[test]
fn answered_lapsed_expires_job() {
    for (tasks, reason) in [(1, NotRun::Lapsed), (2, NotRun::Expired)] {
        let mut driver = Driver::new(vec![target("t1", 4)]);
        driver.submit_tasks("seat-hold", tasks);
        let order = driver.starts().remove(0);
        driver.not_run(order.start, reason);
        assert_eq!(driver.outcome(), Outcome::Expired { started: tasks == 2 });
        driver.pass(20_000);
        assert!(driver.starts().is_empty());
    }
}

// Guards against querying a target more than once about a start, or sending the start again.
#[test]
fn pass_queries_silent_start_once() {
    let mut driver = Driver::new(vec![target("t1", 1), target("t2", 1)]);
    driver.submit_tasks("seat-hold", 1);
    let order = driver.start();
    driver.pass(4_999);
    assert!(driver.queries().is_empty());
    driver.pass(1);
    assert_eq!(driver.queries(), vec![order.start]);
    driver.answer(order.start, start::Result::Running);
    driver.pass(3_000);
    assert!(driver.queries().is_empty());
    assert!(driver.starts().is_empty());
    driver.complete(order.start);
    assert!(matches!(driver.outcome(), Outcome::Complete(_)));
    driver.complete(order.start);
    assert!(driver.responses().is_empty());
    assert_eq!(driver.engine.counters().duplicate_answers, 1);
}

// Guards against a silence timeout that ignores the measured run time of the kind.
#[test]
fn pass_uses_measured_silence_timeout() {
    let mut driver = Driver::new(vec![target("t1", 1)]);
    for _ in 0..100 {
        driver.submit_tasks("seat-hold", 1);
        let order = driver.start();
        driver.pass(2_000);
        driver.complete(order.start);
    }
    driver.submit_tasks("seat-hold", 1);
    driver.queries();
    driver.pass(1_900);
    assert!(driver.queries().is_empty());
    driver.pass(600);
    assert_eq!(driver.queries().len(), 1);
}

// Guards against dropping or repeating a start when its target leaves the list.
#[test]
fn listed_queries_starts_of_gone_target() {
    let mut driver = Driver::new(vec![target("t1", 1)]);
    driver.submit_tasks("seat-hold", 1);
    let order = driver.start();
    for _ in 0..2 {
        driver.handle(Event::Listed {
            revision: 0,
            targets: vec![target("t2", 1)],
            peers: Vec::new(),
        });
    }
    assert_eq!(driver.queries(), vec![order.start]);
    driver.pass(6_000);
    assert!(driver.queries().is_empty());
    assert!(driver.starts().is_empty());
    driver.complete(order.start);
    assert!(matches!(driver.outcome(), Outcome::Complete(_)));
}

// A target that is marked as leaving accepts no new connections but still finishes its tasks, so an
// unreachable one must not end the job as unknown. Without the mark, the job must not wait for it.
#[test]
fn answered_unreachable_target() {
    for has_mark in [true, false] {
        let mut driver = Driver::new(vec![target("t1", 1)]);
        driver.submit_tasks("seat-hold", 1);
        let order = driver.start();
        if has_mark {
            let mut leaving = target("t1", 1);
            leaving.leaving = true;
            driver.handle(Event::Listed { revision: 0, targets: vec![leaving], peers: Vec::new() });
        }
        driver.handle(Event::Listed {
            revision: 0,
            targets: vec![target("t2", 1)],
            peers: Vec::new(),
        });
        assert_eq!(driver.queries(), vec![order.start]);
        driver.answer(order.start, start::Result::Unreachable);
        if has_mark {
            assert!(driver.responses().is_empty());
            driver.complete(order.start);
            assert!(matches!(driver.outcome(), Outcome::Complete(_)));
        } else {
            assert!(matches!(driver.outcome(), Outcome::Unknown(_)));
        }
        assert!(driver.starts().is_empty());
    }
}

// Guards against accepting jobs of a team that was removed from the settings, and against losing
// its open jobs.
#[test]
fn configured_without_team() {
    let mut driver = Driver::new(vec![target("t1", 1)]);
    driver.submit_tasks("seat-hold", 2);
    let order = driver.start();
    let mut tree = (*engine_support::tree()).clone();
    tree.teams.remove(&"halvern".parse::<id::Team>().unwrap());
    driver.handle(Event::Configured(tree.into()));
    driver.submit_tasks("seat-hold", 1);
    let responses = driver.responses();
    assert!(matches!(responses[0].2, Status::Invalid(Invalid::UnknownTeam(_))), "{responses:?}");
    driver.complete(order.start);
    driver.pass(10_000);
    assert_eq!(driver.outcome(), Outcome::Expired { started: true });
}

// Guards against starting tasks of a job that has failed, and against responding with late answers.
#[test]
fn answered_failure_drops_siblings() {
    let mut driver = Driver::new(vec![target("t1", 2)]);
    driver.submit_tasks("seat-hold", 50);
    let starts = driver.starts();
    driver.fail(starts[0].start);
    let Outcome::Failed(failure) = driver.outcome() else { panic!("not failed") };
    assert_eq!((failure.task, failure.step), (0, Step::Run));
    driver.complete(starts[1].start);
    assert!(driver.starts().is_empty());
    assert!(driver.responses().is_empty());
    assert_eq!(driver.engine.counters().late_answers, 1);
    // The slots are free again.
    driver.submit_tasks("seat-hold", 2);
    assert_eq!(driver.starts().len(), 2);
}

// Guards against returning an answer that is larger than its kind allows.
#[test]
fn answered_oversized_fails() {
    let mut driver = Driver::new(vec![target("t1", 2)]);
    driver.submit_tasks("seat-hold", 1);
    let order = driver.start();
    assert_eq!(order.max_answer, Bytes::new(100));
    driver.answer(order.start, start::Result::Answered(vec![0; 101].into()));
    let Outcome::Failed(failure) = driver.outcome() else { panic!("not failed") };
    assert_eq!(failure.step, Step::Receive);
    assert_eq!(driver.engine.counters().oversized_answers, 1);
}

// Guards against accepting an answer with the id of a start that was never emitted.
#[test]
fn answered_mismatched_is_counted() {
    let mut driver = Driver::new(vec![target("t1", 2)]);
    driver.submit_tasks("seat-hold", 1);
    let order = driver.start();
    driver.complete(id::Start::new(order.start.get() + 1));
    driver.complete(id::Start::new(0));
    assert!(driver.responses().is_empty());
    assert_eq!(driver.engine.counters().mismatched_answers, 2);
}

// Guards against a cancelled job with a wrong `started` flag, in either direction.
#[test]
fn cancel_tells_whether_started() {
    let cancel = |driver: &mut Driver| {
        let caller = id::Caller::new(99);
        let job = "e1.1".parse().unwrap();
        driver.handle(Event::Cancel { caller, team: "halvern".parse().unwrap(), job });
        let responses = driver.responses();
        assert_eq!(responses.len(), 2, "{responses:?}");
        assert_eq!(responses[0].2, responses[1].2);
        let Status::Final(outcome) = &responses[0].2 else { panic!("not final") };
        (**outcome).clone()
    };
    // In flight.
    let mut driver = Driver::new(vec![target("t1", 1)]);
    driver.submit_tasks("seat-hold", 2);
    assert_eq!(cancel(&mut driver), Outcome::Cancelled { started: true });
    // Queued only: the first start did not run.
    let mut driver = Driver::new(vec![target("t1", 1)]);
    let service = target("t1", 1);
    driver.submit_tasks("seat-hold", 1);
    let order = driver.start();
    driver.not_run(order.start, NotRun::Busy);
    let order = driver.start();
    let mut leaving = service;
    leaving.leaving = true;
    let other = target("t0", 0);
    driver.handle(Event::Listed { revision: 0, targets: vec![leaving, other], peers: Vec::new() });
    driver.not_run(order.start, NotRun::Busy);
    assert_eq!(cancel(&mut driver), Outcome::Cancelled { started: false });
    driver.pass(20_000);
    assert!(driver.starts().is_empty());
}

// Guards against cancelling a job of another team.
#[test]
fn cancel_by_other_team() {
    let mut driver = Driver::new(vec![target("t1", 1)]);
    driver.submit_tasks("seat-hold", 1);
    let (caller, job) = (id::Caller::new(99), "e1.1".parse().unwrap());
    driver.handle(Event::Cancel { caller, team: "small".parse().unwrap(), job });
    assert_eq!(driver.responses()[0].2, Status::NotFound);
    assert_eq!(driver.engine.open_jobs(), 1);
}

// Guards against a start after the deadline, and against a response that is later than it.
#[test]
fn pass_expires_job() {
    let mut driver = Driver::new(vec![target("t1", 1)]);
    driver.submit_tasks("seat-hold", 1);
    driver.starts();
    let deadline = driver.after(5_000);
    driver.submit(job(&["seat-hold"], deadline));
    driver.pass(4_999);
    assert!(driver.responses().is_empty());
    driver.pass(1);
    assert_eq!(driver.outcome(), Outcome::Expired { started: false });
    driver.pass(20_000);
    assert_eq!(driver.outcome(), Outcome::Expired { started: true });
    assert!(driver.starts().is_empty());
}

// Guards against continuing expired jobs after the process was paused: timers must run before the
// event is handled.
#[test]
fn handle_after_pause_expires_first() {
    let mut driver = Driver::new(vec![target("t1", 1)]);
    driver.submit_tasks("seat-hold", 2);
    let order = driver.start();
    driver.now = driver.after(60_000);
    driver.complete(order.start);
    assert_eq!(driver.outcome(), Outcome::Expired { started: true });
    assert!(driver.starts().is_empty());
}

// Guards against outcomes that are dropped before their retention ends or retained after it.
#[test]
fn query_finished_job() {
    let mut driver = Driver::new(vec![target("t1", 1)]);
    let submission = job(&["seat-hold"], driver.after(10_000));
    let caller = driver.submit_with(false, submission);
    let responses = driver.responses();
    let id: id::Job = "e1.1".parse().unwrap();
    assert_eq!(responses, vec![(caller, Some(id.clone()), Status::Accepted)]);
    let order = driver.start();
    let query = |driver: &mut Driver, wait| {
        let (caller, team) = (id::Caller::new(99), "halvern".parse().unwrap());
        driver.handle(Event::Query { caller, team, job: id.clone(), wait });
    };
    query(&mut driver, false);
    assert_eq!(driver.responses()[0].2, Status::Running);
    query(&mut driver, true);
    assert!(driver.responses().is_empty());
    driver.complete(order.start);
    let complete = Outcome::Complete(vec![bytes("done")]);
    assert_eq!(driver.outcome(), complete);
    driver.pass(59_999);
    query(&mut driver, true);
    assert_eq!(driver.outcome(), complete);
    driver.pass(1);
    query(&mut driver, false);
    assert_eq!(driver.responses()[0].2, Status::NotFound);
}

// Guards against unbounded growth of the retained outcomes, and against dropping one that no caller
// has fetched.
#[test]
fn keep_bounds_results() {
    let mut options = Driver::options();
    options.max_finished = Bytes::new(250);
    let mut driver = Driver::with_options(options, vec![target("t1", 1)]);
    let run = |driver: &mut Driver, wait| {
        let submission = job(&["seat-hold"], driver.after(10_000));
        driver.submit_with(wait, submission);
        let order = driver.start();
        driver.answer(order.start, start::Result::Answered(vec![0; 100].into()));
        driver.responses();
    };
    let is_kept = |driver: &mut Driver, number: u64| {
        let (caller, team) = (id::Caller::new(99), "halvern".parse().unwrap());
        let job = format!("e1.{number}").parse().unwrap();
        driver.handle(Event::Query { caller, team, job, wait: false });
        driver.responses()[0].2 != Status::NotFound
    };
    run(&mut driver, false);
    run(&mut driver, true);
    run(&mut driver, true);
    assert!(!is_kept(&mut driver, 2), "the oldest fetched outcome must be dropped first");
    run(&mut driver, false);
    run(&mut driver, false);
    assert!(!is_kept(&mut driver, 3));
    driver.submit_tasks("seat-hold", 1);
    assert_eq!(driver.refusal(), Refusal::QueueFull);
    for number in [1, 4, 5] {
        assert!(is_kept(&mut driver, number), "outcome {number} was not fetched but was dropped");
    }
    assert!(
        !is_kept(&mut driver, 1),
        "an outcome must be dropped once fetched while there is no room"
    );
    run(&mut driver, true);
    assert!(!is_kept(&mut driver, 4));
    assert!(is_kept(&mut driver, 5));
}

// Guards against a response to a caller that has disconnected.
#[test]
fn hangup_drops_caller() {
    let mut driver = Driver::new(vec![target("t1", 1)]);
    let caller = driver.submit_tasks("seat-hold", 1);
    driver.handle(Event::Hangup { caller });
    let order = driver.start();
    driver.complete(order.start);
    assert!(driver.responses().is_empty());
    assert_eq!(driver.engine.open_jobs(), 0);
}

// Guards against refusing requests while the load balancer still sends them, and against exiting
// with open jobs or with outcomes that were not fetched.
#[test]
fn drain_finishes_work() {
    let mut driver = Driver::new(vec![target("t1", 8)]);
    let submission = job(&["seat-hold"], driver.after(20_000));
    driver.submit_with(false, submission);
    driver.handle(Event::Drain);
    driver.pass(4_999);
    driver.submit_tasks("seat-hold", 1);
    let starts = driver.starts();
    assert_eq!(starts.len(), 2);
    driver.pass(1);
    driver.responses();
    driver.submit_tasks("seat-hold", 1);
    assert_eq!(driver.refusal(), Refusal::Stopping);
    assert!(!driver.engine.is_drained(driver.now));
    for order in starts {
        driver.complete(order.start);
    }
    assert_eq!(driver.engine.open_jobs(), 0);
    assert!(!driver.engine.is_drained(driver.now), "an outcome was not fetched");
    let (caller, team) = (id::Caller::new(99), "halvern".parse().unwrap());
    driver.handle(Event::Query { caller, team, job: "e1.1".parse().unwrap(), wait: false });
    assert!(driver.engine.is_drained(driver.now));
}

// Guards against an instance that never exits because an outcome is not fetched.
#[test]
fn drain_ends_with_retention() {
    let mut driver = Driver::new(vec![target("t1", 8)]);
    let submission = job(&["seat-hold"], driver.after(20_000));
    driver.submit_with(false, submission);
    let order = driver.start();
    driver.handle(Event::Drain);
    driver.complete(order.start);
    driver.pass(59_999);
    assert!(!driver.engine.is_drained(driver.now));
    driver.pass(1);
    assert!(driver.engine.is_drained(driver.now));
}

// Guards against unbounded growth of the queue in tasks or bytes, for a team or in total.
#[test]
fn submit_respects_bounds() {
    let mut driver = Driver::new(vec![target("t1", 1)]);
    let mut small = job(&["seat-hold"; 5], driver.after(10_000));
    small.team = "small".parse().unwrap();
    driver.submit(small.clone());
    driver.submit(small.clone());
    assert!(driver.responses().is_empty());
    driver.submit(small.clone());
    assert_eq!(driver.refusal(), Refusal::QueueFull);
    driver.submit_tasks("seat-hold", 100);
    assert!(driver.responses().is_empty(), "the limit of one team was applied to another");

    let mut driver = Driver::new(vec![target("t1", 0)]);
    for task in &mut small.tasks {
        task.payload = vec![0; 90].into();
    }
    driver.submit(small.clone());
    driver.submit(small.clone());
    assert!(driver.responses().is_empty());
    small.tasks.truncate(2);
    driver.submit(small);
    assert_eq!(driver.refusal(), Refusal::QueueFull);

    let limits = Limits { max_tasks: 100, max_bytes: Bytes::new(1_000) };
    let options = Driver::options().with_limits(limits);
    let mut driver = Driver::with_options(options, vec![target("t1", 0)]);
    driver.submit_tasks("seat-hold", 60);
    driver.submit_tasks("seat-hold", 41);
    assert_eq!(driver.refusal(), Refusal::QueueFull);
    driver.submit_tasks("seat-hold", 40);
    assert!(driver.responses().is_empty());
    // Ended jobs no longer occupy the queue.
    driver.pass(10_000);
    driver.responses();
    driver.submit_tasks("seat-hold", 100);
    assert!(driver.responses().is_empty());
}

// Guards against queueing jobs that no target can ever run.
#[test]
fn submit_never_runnable_fails_with_reason() {
    let mut large = target("t2", 1);
    large.accelerators = 2;
    large.memory = Bytes::new(1 << 10);
    let mut driver = Driver::new(vec![target("t1", 1), large]);
    let failure_message = |driver: &mut Driver, demand: Resources, team: &str, tasks: usize| {
        let mut submission = job(&vec!["seat-hold"; tasks], driver.after(10_000));
        submission.team = team.parse().unwrap();
        submission.tasks[tasks - 1].demand = demand;
        driver.submit(submission);
        match driver.responses().pop() {
            Some((_, _, Status::Final(outcome))) => match &*outcome {
                Outcome::Failed(failure) => {
                    assert_eq!((failure.step, failure.task as usize), (Step::Admit, tasks - 1));
                    Some(failure.message.clone())
                }
                other => panic!("{other:?}"),
            },
            Some(other) => panic!("{other:?}"),
            None => None,
        }
    };
    let demand = |memory, accelerators| Resources { memory: Bytes::new(memory), accelerators };
    assert_eq!(failure_message(&mut driver, demand(1 << 30, 0), "halvern", 2), None);
    assert_eq!(failure_message(&mut driver, demand(1 << 10, 2), "halvern", 2), None);
    let message = failure_message(&mut driver, demand(1 << 30, 1), "halvern", 2).unwrap();
    assert!(message.contains("1073741824B") && message.contains("enrol"), "{message}");
    let message = failure_message(&mut driver, demand((1 << 30) + 1, 0), "halvern", 1).unwrap();
    assert!(message.contains("1073741825B"), "{message}");
    let message = failure_message(&mut driver, demand(0, 0), "stopped", 1).unwrap();
    assert!(message.contains("quota"), "{message}");
    let mut many = job(&["seat-hold"; 11], driver.after(10_000));
    many.team = "small".parse().unwrap();
    driver.submit(many);
    let Outcome::Failed(failure) = driver.outcome() else { panic!("not failed") };
    assert!(failure.message.contains("11 tasks"), "{}", failure.message);
}

// Guards against starting a task on a target without the resources that it needs.
#[test]
fn submit_places_by_demand() {
    let mut large = target("t2", 1);
    large.accelerators = 2;
    let mut driver = Driver::new(vec![target("t1", 8), large]);
    let mut submission = job(&["seat-hold"; 2], driver.after(10_000));
    for task in &mut submission.tasks {
        task.demand.accelerators = 1;
    }
    driver.submit(submission);
    let order = driver.start();
    assert_eq!(order.target.as_str(), "t2");
    driver.complete(order.start);
    assert_eq!(driver.start().target.as_str(), "t2");
}

// Guards against an engine whose time stays ahead after its clock was ahead for a moment: new jobs
// would expire at once until the clock catches up.
#[test]
fn handle_after_clock_was_ahead() {
    let mut driver = Driver::new(vec![target("t1", 8)]);
    let correct_time = driver.now;
    driver.now = driver.after(3_600_000);
    driver.engine.tick(driver.now, &mut driver.out);
    driver.now = correct_time;
    driver.submit_tasks("seat-hold", 1);
    let order = driver.start();
    driver.complete(order.start);
    assert!(matches!(driver.outcome(), Outcome::Complete(_)));
}

// Guards against accepting jobs that can't meet their deadline, and against refusing jobs that can.
#[test]
fn submit_infeasible_deadline_is_refused() {
    let mut driver = Driver::new(vec![target("t1", 2)]);
    for _ in 0..40 {
        driver.submit_tasks("seat-hold", 1);
        let order = driver.start();
        driver.pass(1_000);
        driver.complete(order.start);
    }
    driver.responses();
    driver.submit(job(&["seat-hold"], driver.after(900)));
    assert_eq!(driver.refusal(), Refusal::Overloaded);
    driver.submit(job(&["seat-hold"; 10], driver.after(4_500)));
    assert_eq!(driver.refusal(), Refusal::Overloaded);
    driver.submit(job(&["seat-hold"; 10], driver.after(5_500)));
    assert!(driver.responses().is_empty());
}

// Guards against refused callers that all retry at the same time.
#[test]
fn submit_spreads_retry_times() {
    let mut driver = Driver::new(Vec::new());
    let mut times = Vec::new();
    for _ in 0..100 {
        driver.submit_tasks("seat-hold", 1);
        let Outcome::Refused { reason, retry_at } = driver.outcome() else { panic!("not refused") };
        assert_eq!(reason, Refusal::NoTargets);
        times.push(retry_at.since(driver.now).get());
    }
    assert!(times.iter().all(|time| (1_000_000..=2_000_000).contains(time)));
    times.sort_unstable();
    times.dedup();
    assert!(times.len() > 90, "{} different times", times.len());
}

fn assert_starts_on(driver: &mut Driver, target: &str) {
    let starts = driver.starts();
    assert!(!starts.is_empty(), "nothing was started");
    assert!(starts.iter().all(|order| order.target.as_str() == target), "{starts:?}");
}

// Guards against starts on a target that has reported that it is leaving while the list still shows
// it as available.
#[test]
fn leaving_mark_outlives_list() {
    let mut driver = Driver::new(vec![target("t1", 1), target("t2", 1)]);
    driver.submit_tasks("seat-hold", 1);
    let order = driver.start();
    assert_eq!(order.target.as_str(), "t1");
    driver.not_run(order.start, NotRun::Draining);
    let list = vec![target("t1", 1), target("t2", 1)];
    driver.handle(Event::Listed { revision: 0, targets: list.clone(), peers: Vec::new() });
    driver.submit_tasks("seat-hold", 3);
    assert_starts_on(&mut driver, "t2");
    // A mark in a report of a peer has the same effect.
    let mut driver = Driver::new(list.clone());
    let mark = Leaving { target: "t1".parse().unwrap(), forget_at: driver.after(5_000) };
    driver.handle(Event::Reported(Report {
        from: "e2".parse().unwrap(),
        data_centre: "dc1".parse().unwrap(),
        made_at: driver.now,
        loads: Vec::new(),
        usages: Vec::new(),
        leaving: vec![mark],
        in_force: Vec::new(),
        stopping: false,
    }));
    driver.handle(Event::Listed { revision: 0, targets: list, peers: Vec::new() });
    driver.submit_tasks("seat-hold", 3);
    assert_starts_on(&mut driver, "t2");
    // The mark lasts while the target is listed and expires 600 s after it has left the list.
    let list = |names: &[&str]| Event::Listed {
        revision: 0,
        targets: names.iter().map(|name| target(name, 1)).collect(),
        peers: Vec::new(),
    };
    driver.pass(700_000);
    driver.handle(list(&["t1", "t2"]));
    driver.submit_tasks("seat-hold", 3);
    assert_starts_on(&mut driver, "t2");
    driver.handle(list(&["t2"]));
    driver.pass(599_999);
    driver.handle(list(&["t2"]));
    driver.handle(list(&["t1", "t2"]));
    driver.submit_tasks("seat-hold", 3);
    assert_starts_on(&mut driver, "t2");
    driver.handle(list(&["t2"]));
    driver.pass(600_001);
    driver.handle(list(&["t2"]));
    driver.handle(list(&["t1", "t2"]));
    driver.submit_tasks("seat-hold", 3);
    assert!(driver.starts().iter().any(|order| order.target.as_str() == "t1"));
}

// Guards against applying a list that is older than the last one.
#[test]
fn listed_older_revision() {
    let mut driver = Driver::new(vec![target("t1", 1), target("t2", 1)]);
    driver.handle(Event::Listed { revision: 0, targets: vec![target("t2", 1)], peers: Vec::new() });
    let targets = vec![target("t1", 1), target("t2", 1)];
    let old = Event::Listed { revision: 1, targets, peers: Vec::new() };
    driver.engine.handle(old, driver.now, &mut driver.out);
    driver.submit_tasks("seat-hold", 3);
    assert_starts_on(&mut driver, "t2");
}

// Guards against a leaving mark from the list that an older copy of the list removes. The engine
// must adopt it like a reported mark, so that peers which can't read the list learn it as well.
#[test]
fn leaving_mark_of_list_is_kept() {
    let mut driver = Driver::new(vec![target("t1", 1), target("t2", 1)]);
    let leaving = Target { leaving: true, ..target("t1", 1) };
    let targets = vec![leaving, target("t2", 1)];
    driver.handle(Event::Listed { revision: 0, targets, peers: Vec::new() });
    let targets = vec![target("t1", 1), target("t2", 1)];
    driver.handle(Event::Listed { revision: 0, targets, peers: Vec::new() });
    driver.submit_tasks("seat-hold", 3);
    assert_starts_on(&mut driver, "t2");
}

// Guards against starting a non-idempotent task before its claim is committed.
#[test]
fn claim_precedes_start() {
    let mut driver = Driver::new(vec![target("t1", 1)]);
    driver.submit_claimed("a");
    assert!(driver.starts().is_empty());
    let (call, transaction) = driver.commits().remove(0);
    assert_eq!(transaction.writes[0].key, "claims/halvern/a");
    let text = transaction.writes[0].value.clone().unwrap();
    assert_eq!(Record::from_text(&text).unwrap().job.to_string(), "e1.1");
    driver.commit(call, committed(&transaction));
    let order = driver.start();
    driver.complete(order.start);
    assert!(matches!(driver.outcome(), Outcome::Complete(_)));
    // The outcome is written to the row.
    driver.pass(250);
    let (call, transaction) = driver.commits().remove(0);
    let text = transaction.writes[0].value.clone().unwrap();
    assert!(matches!(Record::from_text(&text).unwrap().state, State::Settled(_)));
    driver.commit(call, committed(&transaction));
    driver.pass(10_000);
    assert!(driver.commits().is_empty());
}

// Guards against a start after the job was answered as expired with `started: false`.
#[test]
fn claim_committed_after_deadline_starts_nothing() {
    let mut driver = Driver::new(vec![target("t1", 1)]);
    driver.submit_claimed("a");
    let (call, transaction) = driver.commits().remove(0);
    driver.now = driver.after(10_000);
    driver.engine.tick(driver.now, &mut driver.out);
    assert_eq!(driver.outcome(), Outcome::Expired { started: false });
    driver.commit(call, committed(&transaction));
    driver.pass(5_000);
    assert!(driver.starts().is_empty());
    assert!(driver.responses().is_empty());
}

// Guards against claimed jobs that wait while the platform is down, and against idempotent jobs
// that depend on the platform.
#[test]
fn claim_platform_down() {
    let mut driver = Driver::new(vec![target("t1", 8)]);
    driver.submit_claimed("a");
    let (call, _) = driver.commits().remove(0);
    driver.commit(call, Commit::Unavailable);
    assert_eq!(driver.refusal(), Refusal::PlatformUnavailable);
    driver.submit_claimed("b");
    assert_eq!(driver.refusal(), Refusal::PlatformUnavailable);
    assert!(driver.starts().is_empty());
    driver.submit_tasks("seat-hold", 1);
    let order = driver.start();
    driver.complete(order.start);
    assert!(matches!(driver.outcome(), Outcome::Complete(_)));
    // A probe shows that the platform is available again.
    driver.pass(1_000);
    let (call, keys) = driver.reads().remove(0);
    let row =
        |key: &String| claim::Row { key: key.clone(), version: id::Version::new(0), value: None };
    let rows = claim::Read::Rows(keys.iter().map(row).collect());
    driver.handle(Event::ClaimRead { call, result: rows });
    driver.submit_claimed("b");
    assert_eq!(driver.commits().len(), 1);
}

// Guards against running a request twice that is submitted twice to one instance.
#[test]
fn claim_resubmission_here() {
    let mut driver = Driver::new(vec![target("t1", 8)]);
    driver.submit_claimed("a");
    driver.submit_claimed("a");
    let (call, transaction) = driver.commits().remove(0);
    assert_eq!(transaction.writes.len(), 1);
    driver.commit(call, committed(&transaction));
    driver.submit_claimed("a");
    let order = driver.start();
    let mut other = job(&["intake-confirmation", "intake-confirmation"], driver.after(10_000));
    other.request = Some("a".parse().unwrap());
    driver.submit(other);
    let invalid = Invalid::RequestReused("a".parse().unwrap());
    assert_eq!(driver.responses()[0].2, Status::Invalid(invalid));
    driver.complete(order.start);
    let responses = driver.responses();
    assert_eq!(responses.len(), 3);
    assert!(responses.iter().all(|response| response.2 == responses[0].2));
    driver.pass(30_000);
    driver.submit_claimed("a");
    assert_eq!(driver.responses()[0].2, responses[0].2);
    assert!(driver.starts().is_empty());
}

// Guards against resubmissions that occupy the queue of their team or grow without bound.
#[test]
fn claim_resubmissions_are_bounded() {
    let mut driver = Driver::new(vec![target("t1", 0)]);
    let mut large = job(&["intake-confirmation"; 5_000], driver.after(10_000));
    large.request = Some("a".parse().unwrap());
    driver.submit(large.clone());
    for _ in 0..100 {
        driver.submit(large.clone());
    }
    assert!(driver.responses().is_empty());
    driver.submit(large);
    assert_eq!(driver.refusal(), Refusal::QueueFull);
    driver.submit_tasks("seat-hold", 15_000);
    assert!(driver.responses().is_empty());
    driver.submit_tasks("seat-hold", 1);
    assert_eq!(driver.refusal(), Refusal::QueueFull);
    // After all of them have ended, the queue is empty again.
    driver.pass(10_000);
    driver.responses();
    driver.submit_tasks("seat-hold", 20_000);
    assert!(driver.responses().is_empty());
}

// Guards against platform calls for a request whose outcome this instance still retains.
#[test]
fn claim_resubmission_after_settle() {
    let mut driver = Driver::new(vec![target("t1", 8)]);
    driver.submit_claimed("a");
    let (call, transaction) = driver.commits().remove(0);
    driver.commit(call, committed(&transaction));
    let order = driver.start();
    driver.complete(order.start);
    let outcome = driver.outcome();
    driver.pass(250);
    let (call, transaction) = driver.commits().remove(0);
    driver.commit(call, committed(&transaction));
    driver.submit_claimed("a");
    assert_eq!(driver.outcome(), outcome);
    driver.pass(1_000);
    assert!(driver.commits().is_empty());
    assert!(driver.reads().is_empty());
}

// Guards against reporting `started: false` for a request that another instance may be running.
#[test]
fn claim_contested_expires_as_started() {
    let mut driver = Driver::new(vec![target("t1", 8)]);
    driver.submit_claimed("a");
    let (call, transaction) = driver.commits().remove(0);
    let text = transaction.writes[0].value.clone().unwrap().replace("\"e1", "\"e2");
    let row = claim::Row {
        key: transaction.writes[0].key.clone(),
        version: id::Version::new(1),
        value: Some(text),
    };
    driver.commit(call, Commit::Conflict(vec![row]));
    assert_eq!(driver.owner_queries().len(), 1);
    driver.pass(10_000);
    assert_eq!(driver.outcome(), Outcome::Expired { started: true });
    assert!(driver.starts().is_empty());
}

// Guards against reporting `started: false` for a resubmission that expires while the first
// submission runs.
#[test]
fn claim_resubmission_with_earlier_deadline() {
    let mut driver = Driver::new(vec![target("t1", 8)]);
    driver.submit_claimed("a");
    let mut short = job(&["intake-confirmation"], driver.after(1_000));
    short.request = Some("a".parse().unwrap());
    driver.submit(short);
    let (call, transaction) = driver.commits().remove(0);
    driver.commit(call, committed(&transaction));
    driver.pass(1_000);
    assert_eq!(driver.outcome(), Outcome::Expired { started: true });
    let order = driver.start();
    driver.complete(order.start);
    assert!(matches!(driver.outcome(), Outcome::Complete(_)));
}

// Guards against a resubmission that ends with the first submission although its own deadline is
// later.
#[test]
fn claim_resubmission_outlives_first() {
    let mut driver = Driver::new(vec![target("t1", 8)]);
    let mut short = job(&["intake-confirmation"], driver.after(100));
    short.request = Some("a".parse().unwrap());
    driver.submit(short);
    let (call, transaction) = driver.commits().remove(0);
    driver.submit_claimed("a");
    driver.pass(100);
    assert_eq!(driver.outcome(), Outcome::Expired { started: false });
    driver.commit(call, committed(&transaction));
    driver.pass(250);
    let (call, transaction) = driver.commits().remove(0);
    assert_eq!(transaction.conditions[0].version, id::Version::new(1));
    driver.commit(call, committed(&transaction));
    let order = driver.start();
    driver.complete(order.start);
    assert!(matches!(driver.outcome(), Outcome::Complete(_)));
}

// Guards against an unknown outcome while the owner can still answer, and against waiting for an
// owner that is gone.
#[test]
fn claim_owner_elsewhere() {
    for (is_listed, is_gone) in [(true, false), (false, false), (false, true)] {
        let mut driver = Driver::new(vec![target("t1", 8)]);
        let mut owner = Driver::with_options(
            verbenapass::engine::Options::new("e2".parse().unwrap(), "dc1".parse().unwrap(), 2),
            vec![target("t1", 8)],
        );
        owner.submit_claimed("a");
        let (_, held) = owner.commits().remove(0);
        let row = claim::Row {
            key: held.writes[0].key.clone(),
            version: id::Version::new(1),
            value: held.writes[0].value.clone(),
        };
        if !is_listed {
            let targets = vec![target("t1", 8)];
            driver.handle(Event::Listed { revision: 0, targets, peers: vec![peer("e1")] });
        }
        driver.submit_claimed("a");
        let (call, _) = driver.commits().remove(0);
        driver.commit(call, Commit::Conflict(vec![row.clone()]));
        let (call, job) = driver.owner_queries().remove(0);
        assert_eq!(job.to_string(), "e2.1");
        // An owner that the list does not name yet is reported as unreachable, not as gone.
        let reply = if is_gone { OwnerReply::Gone } else { OwnerReply::Unreachable };
        driver.handle(Event::OwnerReplied { call, reply });
        driver.pass(500);
        let (call, _) = driver.reads().remove(0);
        driver.handle(Event::ClaimRead { call, result: claim::Read::Rows(vec![row]) });
        if !is_gone {
            let (call, _) = driver.owner_queries().remove(0);
            let outcome = Outcome::Complete(vec![bytes("1")]);
            let reply = OwnerReply::Status(Status::Final(outcome.clone().into()));
            driver.handle(Event::OwnerReplied { call, reply });
            assert_eq!(driver.outcome(), outcome);
        } else {
            assert!(matches!(driver.outcome(), Outcome::Unknown(_)));
        }
        assert!(driver.starts().is_empty());
    }
}

// Guards against an instance that exits before the outcomes of its claimed jobs are written to the
// table, and against one that never exits because the platform is down.
#[test]
fn drain_waits_for_claims() {
    let mut driver = Driver::new(vec![target("t1", 8)]);
    driver.submit_claimed("a");
    let (call, transaction) = driver.commits().remove(0);
    driver.commit(call, committed(&transaction));
    driver.handle(Event::Drain);
    driver.pass(5_000);
    let order = driver.start();
    driver.complete(order.start);
    assert!(!driver.engine.is_drained(driver.now));
    let (call, transaction) = driver.commits().remove(0);
    let mut up = driver;
    up.commit(call, committed(&transaction));
    assert!(up.engine.is_drained(up.now));

    let mut driver = Driver::new(vec![target("t1", 8)]);
    driver.submit_claimed("a");
    let (call, transaction) = driver.commits().remove(0);
    driver.commit(call, committed(&transaction));
    driver.handle(Event::Drain);
    let order = driver.start();
    driver.complete(order.start);
    for _ in 0..9 {
        driver.pass(1_000);
        for (call, _) in driver.commits() {
            driver.commit(call, Commit::Unavailable);
        }
        for (call, _) in driver.reads() {
            driver.handle(Event::ClaimRead { call, result: claim::Read::Unavailable });
        }
    }
    assert!(!driver.engine.is_drained(driver.now));
    driver.now = driver.now.plus(Millis::new(1_000));
    assert!(driver.engine.is_drained(driver.now));
}

/// Takes the reports that the engine has emitted, with their receivers.
fn reports(driver: &mut Driver) -> Vec<(Vec<String>, Report)> {
    let mut reports = Vec::new();
    driver.out.retain(|command| {
        let Command::SendReport { to, report } = command else { return true };
        let to = to.iter().map(ToString::to_string).collect();
        reports.push((to, Report::clone(report)));
        false
    });
    reports
}

fn report_from(name: &str, data_centre: &str, made_at: Timestamp) -> Report {
    Report {
        from: name.parse().unwrap(),
        data_centre: data_centre.parse().unwrap(),
        made_at,
        loads: Vec::new(),
        usages: Vec::new(),
        leaving: Vec::new(),
        in_force: Vec::new(),
        stopping: false,
    }
}

/// Returns an engine `e1` in `dc1` that exchanges reports with `e2` in `dc1` and `f1` in `dc2`.
fn reporting_driver() -> Driver {
    let options = Driver::options().with_reports(Millis::new(10_000));
    let mut driver = Driver::with_options(options, vec![target("t1", 1), target("t2", 1)]);
    let remote = Peer { data_centre: "dc2".parse().unwrap(), ..peer("f1") };
    let targets = vec![target("t1", 1), target("t2", 1)];
    driver.handle(Event::Listed {
        revision: 0,
        targets,
        peers: vec![peer("e1"), peer("e2"), remote],
    });
    for (name, data_centre) in [("e2", "dc1"), ("f1", "dc2")] {
        driver.handle(Event::Reported(report_from(name, data_centre, driver.now)));
    }
    driver
}

// Guards against a first report that waits for a whole interval, against two exchanges with a peer
// in one interval, and against a reply whose `made_at` is newer than its content.
#[test]
fn report_exchanged_once_per_interval() {
    let mut driver = reporting_driver();
    let receivers: Vec<_> = reports(&mut driver).into_iter().map(|(to, _)| to).collect();
    assert_eq!(receivers, [["e2"], ["f1"]]);
    driver.pass(500);
    let made_at = driver.engine.report().made_at;
    let first = reports(&mut driver);
    assert_eq!(first.len(), 1, "{first:?}");
    assert_eq!(
        (first[0].0.as_slice(), first[0].1.made_at),
        (["e2".to_owned()].as_slice(), made_at)
    );
    driver.handle(Event::Reported(report_from("e2", "dc1", driver.now)));
    driver.pass(9_000);
    assert!(reports(&mut driver).iter().all(|(to, _)| !to.contains(&"e2".into())));
    assert_eq!(driver.engine.report().made_at, made_at);
    driver.pass(1_500);
    let later = reports(&mut driver);
    let to_local: Vec<_> = later.iter().filter(|(to, _)| to.contains(&"e2".into())).collect();
    assert_eq!(to_local.len(), 1, "{later:?}");
    assert!(to_local[0].1.made_at > made_at);
}

// Guards against a leaving mark or a shutdown that waits for the next periodic report, and against
// a mark from another data centre that is not forwarded to the peers here.
#[test]
fn report_broadcasts_changes() {
    let mut driver = reporting_driver();
    driver.submit_tasks("seat-hold", 1);
    let order = driver.start();
    reports(&mut driver);
    driver.not_run(order.start, NotRun::Draining);
    let sent = reports(&mut driver);
    assert_eq!(sent.len(), 1);
    assert_eq!(sent[0].0, ["e2", "f1"]);
    assert_eq!(sent[0].1.leaving[0].target, order.target);

    let mut driver = reporting_driver();
    reports(&mut driver);
    let mark = Leaving { target: "t1".parse().unwrap(), forget_at: driver.after(5_000) };
    let report = Report { leaving: vec![mark], ..report_from("f1", "dc2", driver.after(1)) };
    driver.handle(Event::Reported(report.clone()));
    let sent = reports(&mut driver);
    assert_eq!(sent[0].0, ["e2"]);
    // The expiry of a mark is extended while the list names the target.
    let renewed = Leaving { forget_at: driver.after(600_000), ..report.leaving[0].clone() };
    assert_eq!(sent[0].1.leaving, [renewed]);
    // Known marks are not sent again, nor are marks from a peer of this data centre, because that
    // peer sends them to the others itself.
    driver.handle(Event::Reported(report.clone()));
    assert!(reports(&mut driver).is_empty());
    let mut driver = reporting_driver();
    reports(&mut driver);
    let local =
        Report { from: "e2".parse().unwrap(), data_centre: "dc1".parse().unwrap(), ..report };
    driver.handle(Event::Reported(local));
    assert!(reports(&mut driver).is_empty());
    assert_eq!(driver.engine.report().leaving.len(), 1, "the mark is missing in replies");

    driver.handle(Event::Drain);
    let sent = reports(&mut driver);
    assert_eq!(sent[0].0, ["e2", "f1"]);
    assert!(sent[0].1.stopping);
    driver.handle(Event::Drain);
    assert!(reports(&mut driver).is_empty());
}

// Guards against unused slots that are still held by a peer that shuts down.
#[test]
fn reported_stopping_peer_gives_up_slots() {
    let options = Driver::options().with_reports(Millis::new(10_000));
    let mut driver = Driver::with_options(options, vec![target("t1", 8)]);
    driver.handle(Event::Reported(report_from("e2", "dc1", driver.now)));
    let peers = vec![peer("e1"), peer("e2")];
    driver.handle(Event::Listed { revision: 0, targets: vec![target("t1", 8)], peers });
    driver.submit_tasks("seat-hold", 8);
    let before = driver.starts().len();
    assert!(before < 8, "{before} starts");
    let stopping = Report { stopping: true, ..report_from("e2", "dc1", driver.after(1)) };
    driver.handle(Event::Reported(stopping));
    assert_eq!(before + driver.starts().len(), 8);
}

// Guards against an instance whose held slots are all on a leaving target and that waits for them
// although another target is free: the slots must be divided again without the leaving target.
#[test]
fn leaving_target_slots_divided_again() {
    for number in 0..40 {
        let names = [format!("a{number}"), format!("b{number}")];
        let mut driver = Driver::new(names.iter().map(|name| target(name, 4)).collect());
        // The demand of the peer leaves one slot to this instance.
        for _ in 0..30 {
            driver.pass(1);
            let load = Load {
                service: "enrol".parse().unwrap(),
                queued: 0,
                in_flight: 100,
                held: Slots::new(7),
            };
            let loads = vec![load];
            driver
                .handle(Event::Reported(Report { loads, ..report_from("e2", "dc1", driver.now) }));
        }
        driver.submit_tasks("seat-hold", 1);
        let order = driver.start();
        driver.not_run(order.start, NotRun::Draining);
        driver.pass(1_000);
        let starts = driver.starts();
        assert_eq!(starts.len(), 1, "nothing started while {} leaves", order.target);
        assert_ne!(starts[0].target, order.target);
    }
}
