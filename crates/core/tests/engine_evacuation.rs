//! Tests of the evacuation of data centres in one engine.

mod engine_support;

use engine_support::{Driver, INITIAL_TIME, committed, job, peer, target, tree};
use std::collections::BTreeSet;
use std::sync::Arc;
use verbenapass::engine::{Command, Engine, Event, Peer, Target};
use verbenapass::id;
use verbenapass::job::{Resources, Status};
use verbenapass::outcome::{Outcome, Refusal};
use verbenapass::peer::{Load, Report};
use verbenapass::settings;
use verbenapass::start::NotRun;
use verbenapass::unit::{Bytes, Millis, Slots};

/// Returns the settings with an evacuation of these data centres.
fn evacuating(data_centres: &[&str]) -> Event {
    let mut tree: settings::Tree = (*tree()).clone();
    tree.fleet.evacuated_data_centres = data_centres.iter().map(|it| it.parse().unwrap()).collect();
    Event::Configured(Arc::new(tree))
}

fn target_in(data_centre: &str, name: &str, slots: u32) -> Target {
    Target { data_centre: data_centre.parse().unwrap(), ..target(name, slots) }
}

/// Returns an engine in `dc1` with one target there and one in `dc2`.
fn driver() -> Driver {
    Driver::new(vec![target_in("dc1", "near", 2), target_in("dc2", "far", 2)])
}

fn targets(driver: &mut Driver) -> BTreeSet<String> {
    driver.starts().iter().map(|order| order.target.to_string()).collect()
}

// Guards against starts in an evacuated data centre, against jobs that are not sent to another one,
// and against running tasks that are given up.
#[test]
fn configured_evacuation_moves_starts() {
    let mut driver = driver();
    driver.submit_tasks("seat-hold", 4);
    let before = driver.starts();
    assert_eq!(before.len(), 2);
    assert!(before.iter().all(|order| order.target.as_str() == "near"));
    assert_eq!(driver.engine.evacuated_starts(), 0);
    driver.handle(evacuating(&["dc1"]));
    assert_eq!((driver.engine.evacuated_data_centres(), driver.engine.evacuated_starts()), (1, 2));
    let moved = driver.starts();
    assert_eq!(moved.len(), 2, "the waiting tasks start elsewhere at once");
    assert!(moved.iter().all(|order| order.target.as_str() == "far"));
    for order in before.iter().chain(&moved) {
        driver.complete(order.start);
    }
    assert!(matches!(driver.outcome(), Outcome::Complete(answers) if answers.len() == 4));
    driver.submit_tasks("seat-hold", 3);
    assert_eq!(targets(&mut driver), BTreeSet::from(["far".into()]));
}

// Guards against an evacuation that does not end when the settings no longer name the data centre.
#[test]
fn configured_evacuation_ends() {
    let mut driver = driver();
    driver.handle(evacuating(&["dc1", "dc2"]));
    driver.submit_tasks("seat-hold", 1);
    assert_eq!(driver.refusal(), Refusal::Evacuated);
    driver.handle(evacuating(&["dc2"]));
    driver.submit_tasks("seat-hold", 3);
    assert_eq!(targets(&mut driver), BTreeSet::from(["near".into()]));
    driver.handle(evacuating(&[]));
    driver.submit_tasks("seat-hold", 1);
    assert!(driver.starts().is_empty(), "far targets are not used while a near one is listed");
    assert_eq!(driver.engine.evacuated_data_centres(), 0);
}

// Guards against jobs that fail, wait for their deadline or are refused for another reason when the
// last data centre with targets is evacuated, and against a retry time that has passed.
#[test]
fn configured_evacuation_of_all_refuses() {
    let mut driver = driver();
    driver.submit_tasks("seat-hold", 2);
    let running = driver.starts();
    driver.submit_tasks("seat-hold", 3);
    assert!(driver.starts().is_empty());
    driver.handle(evacuating(&["dc1", "dc2"]));
    let Outcome::Refused { reason, retry_at } = driver.outcome() else { panic!("not refused") };
    assert_eq!(reason, Refusal::Evacuated);
    assert!(retry_at >= driver.after(1_000) && retry_at <= driver.after(2_000), "{retry_at:?}");
    driver.submit_tasks("seat-hold", 1);
    assert_eq!(driver.refusal(), Refusal::Evacuated);
    driver.submit_tasks("funding-check", 1);
    assert_eq!(driver.refusal(), Refusal::NoTargets, "a service without targets anywhere");
    for order in running {
        driver.complete(order.start);
    }
    assert!(matches!(driver.outcome(), Outcome::Complete(_)), "running tasks go on");
    driver.pass(60_000);
    assert!(driver.starts().is_empty());
}

// Guards against refusing a job as not run although one of its tasks may have run, and against
// failing it for the evacuation.
#[test]
fn configured_evacuation_keeps_started_job() {
    let mut driver = driver();
    driver.submit_tasks("seat-hold", 3);
    let running = driver.starts();
    assert_eq!(running.len(), 2);
    driver.handle(evacuating(&["dc1", "dc2"]));
    driver.not_run(running[0].start, NotRun::Busy);
    driver.complete(running[1].start);
    driver.pass(5_000);
    assert!(driver.responses().is_empty());
    assert!(driver.starts().is_empty());
    driver.handle(evacuating(&["dc2"]));
    driver.pass(1_000);
    let resumed = driver.starts();
    assert_eq!(resumed.len(), 2, "its tasks resume when the evacuation ends in time");
    driver.handle(evacuating(&["dc1", "dc2"]));
    driver.not_run(resumed[0].start, NotRun::Busy);
    driver.complete(resumed[1].start);
    driver.pass(10_000);
    assert_eq!(driver.outcome(), Outcome::Expired { started: true });
}

// Guards against retries of a start that did not run, until its deadline or the last attempt, while
// no target is left.
#[test]
fn answered_not_run_after_evacuation() {
    let mut driver = driver();
    driver.submit_tasks("seat-hold", 1);
    let order = driver.start();
    driver.handle(evacuating(&["dc1", "dc2"]));
    assert!(driver.responses().is_empty(), "the task may have run");
    driver.not_run(order.start, NotRun::Busy);
    assert_eq!(driver.refusal(), Refusal::Evacuated);
    driver.pass(20_000);
    assert!(driver.starts().is_empty());
}

// Guards against jobs that are accepted although the remaining slots are too few for their
// deadline.
#[test]
fn submit_infeasible_deadline_during_evacuation() {
    let mut driver = driver();
    for _ in 0..30 {
        driver.submit_tasks("seat-hold", 1);
        let order = driver.start();
        driver.pass(100);
        driver.complete(order.start);
        driver.outcome();
    }
    // 20 tasks of 100 ms take 0.5 s on four slots and 1 s on two.
    let submission = |driver: &Driver| job(&["seat-hold"; 20], driver.after(800));
    driver.submit(submission(&driver));
    assert!(driver.responses().is_empty());
    driver.pass(1_000);
    driver.responses();
    driver.starts();
    driver.handle(evacuating(&["dc1"]));
    driver.submit(submission(&driver));
    assert_eq!(driver.refusal(), Refusal::Overloaded);
}

// Guards against failing a job whose demand only targets of an evacuated data centre cover, and
// against letting it wait for its deadline.
#[test]
fn submit_demand_of_evacuated_target() {
    let large = Target { memory: Bytes::new(1 << 34), ..target_in("dc2", "large", 2) };
    let mut driver = Driver::new(vec![target_in("dc1", "near", 1), large]);
    let demanding = |driver: &Driver| {
        let mut submission = job(&["seat-hold", "seat-hold"], driver.after(10_000));
        submission.tasks[1].demand = Resources { memory: Bytes::new(1 << 33), accelerators: 0 };
        submission
    };
    driver.submit_tasks("seat-hold", 1);
    let first = driver.start();
    driver.submit(demanding(&driver));
    driver.handle(evacuating(&["dc2"]));
    assert_eq!(driver.refusal(), Refusal::Evacuated, "a queued job");
    driver.submit(demanding(&driver));
    assert_eq!(driver.refusal(), Refusal::Evacuated, "a new job");
    driver.complete(first.start);
    assert!(matches!(driver.outcome(), Outcome::Complete(_)));
    driver.submit_tasks("seat-hold", 1);
    assert_eq!(targets(&mut driver), BTreeSet::from(["near".into()]), "others go on");
}

// Guards against a non-idempotent job that waits for its claim during the request, and then starts
// in the evacuated data centre or ends as failed.
#[test]
fn claim_committed_after_evacuation() {
    let mut driver = driver();
    driver.submit_claimed("r1");
    let (call, transaction) = driver.commits().remove(0);
    driver.handle(evacuating(&["dc1", "dc2"]));
    driver.commit(call, committed(&transaction));
    assert_eq!(driver.refusal(), Refusal::Evacuated);
    assert!(driver.starts().is_empty());
}

// Guards against starts in an evacuated data centre through the trial of a target that was
// unreachable, a new instance list, or a retry.
#[test]
fn listed_keeps_evacuation() {
    let mut driver = driver();
    for _ in 0..3 {
        driver.submit_tasks("seat-hold", 1);
        let order = driver.start();
        driver.not_run(order.start, NotRun::ConnectFailed);
        driver.pass(50);
        for order in driver.starts() {
            driver.complete(order.start);
        }
    }
    driver.responses();
    driver.handle(evacuating(&["dc1"]));
    driver.pass(10_000);
    let names = [("dc1", "near"), ("dc1", "new"), ("dc2", "far")];
    let list = names.map(|(data_centre, name)| target_in(data_centre, name, 2)).into();
    driver.handle(Event::Listed { revision: 0, targets: list, peers: vec![peer("e1")] });
    driver.submit_tasks("seat-hold", 6);
    assert_eq!(targets(&mut driver), BTreeSet::from(["far".into()]));
}

// Guards against starts on slots of an evacuated data centre that other instances hold, and against
// slots elsewhere that stay unused by the instances of that data centre.
#[test]
fn evacuation_with_shared_slots() {
    let listed = vec![target_in("dc1", "near", 8), target_in("dc2", "far", 8)];
    let options = Driver::options().with_reports(Millis::new(10_000));
    let mut driver = Driver::with_options(options, listed);
    let far_peer = Peer { data_centre: "dc2".parse().unwrap(), ..peer("e3") };
    let listed = vec![target_in("dc1", "near", 8), target_in("dc2", "far", 8)];
    let peers = vec![peer("e1"), peer("e2"), far_peer];
    driver.handle(Event::Listed { revision: 0, targets: listed, peers });
    driver.handle(Event::Reported(Report {
        from: "e2".parse().unwrap(),
        data_centre: "dc1".parse().unwrap(),
        made_at: driver.now,
        loads: vec![Load {
            service: "enrol".parse().unwrap(),
            queued: 0,
            in_flight: 4,
            held: Slots::new(4),
        }],
        usages: Vec::new(),
        leaving: Vec::new(),
        in_force: Vec::new(),
        stopping: false,
    }));
    driver.submit_tasks("seat-hold", 1);
    let first = driver.start();
    assert_eq!(first.target.as_str(), "near");
    // The target reports free slots, which this instance may use although its peer holds them.
    driver.handle(Event::Observed { target: first.target.clone(), busy: 1 });
    driver.complete(first.start);
    driver.handle(evacuating(&["dc1"]));
    driver.submit_tasks("seat-hold", 12);
    let orders = driver.starts();
    assert_eq!(orders.len(), 8, "all slots of the other data centre");
    assert!(orders.iter().all(|order| order.target.as_str() == "far"));
    driver.handle(evacuating(&[]));
    let resumed = targets(&mut driver);
    assert_eq!(resumed, BTreeSet::from(["near".into()]));
}

// Guards against a process that starts tasks before it knows whether a data centre is evacuated.
#[test]
fn submit_before_settings_starts_nothing() {
    let mut engine = Engine::new(Driver::options());
    let mut out = Vec::new();
    let targets = vec![target_in("dc1", "near", 2)];
    let listed = Event::Listed { revision: 1, targets, peers: vec![peer("e1")] };
    engine.handle(listed, INITIAL_TIME, &mut out);
    let submit = |engine: &mut Engine, caller: u64| {
        let submission = job(&["seat-hold"], INITIAL_TIME.plus(Millis::new(1_000)));
        let caller = id::Caller::new(caller);
        let mut out = Vec::new();
        engine.handle(Event::Submit { caller, wait: true, submission }, INITIAL_TIME, &mut out);
        out
    };
    let reason = |commands: Vec<Command>| match commands.as_slice() {
        [Command::Respond { status: Status::Final(outcome), .. }] => match **outcome {
            Outcome::Refused { reason, .. } => reason,
            ref other => panic!("not refused: {other:?}"),
        },
        other => panic!("not one response: {other:?}"),
    };
    assert_eq!(reason(submit(&mut engine, 1)), Refusal::NoSettings);
    engine.handle(evacuating(&["dc1"]), INITIAL_TIME, &mut out);
    assert_eq!(reason(submit(&mut engine, 2)), Refusal::Evacuated);
    assert!(!out.iter().any(|command| matches!(command, Command::Start(_))), "{out:?}");
}
