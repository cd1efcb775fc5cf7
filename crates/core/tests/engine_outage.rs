//! Tests of one engine under load with unreachable, busy and failing targets.

mod engine_support;

use engine_support::{Driver, bytes, job, target};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use verbenapass::engine::{Command, Event, Target};
use verbenapass::id;
use verbenapass::job::Status;
use verbenapass::outcome::{Outcome, Step};
use verbenapass::start::{self, NotRun};
use verbenapass::time::Timestamp;
use verbenapass::unit::Millis;

/// Simulated behaviour of a target.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Behaviour {
    /// Answers after 50 ms.
    Good,
    /// Refuses connections.
    Down,
    /// Fails every task after 1 ms.
    Failing,
}

/// Small jobs that arrive at a constant rate. Refused callers retry at the time that the refusal
/// gives, until the deadline of the job.
struct Load {
    driver: Driver,
    targets: Vec<Target>,
    behaviour: BTreeMap<id::Target, Behaviour>,
    /// Starts by the time at which their result is delivered.
    due: BTreeSet<(Timestamp, id::Start)>,
    results: HashMap<id::Start, start::Result>,
    pending_retries: BTreeSet<(Timestamp, id::Caller)>,
    deadlines: HashMap<id::Caller, Timestamp>,
    /// Starts and queries sent to targets.
    messages: usize,
    starts_per_target: BTreeMap<id::Target, usize>,
    outcomes: BTreeMap<&'static str, usize>,
    retry_times: Vec<Timestamp>,
}

impl Load {
    fn new(count: usize) -> Self {
        let targets: Vec<Target> =
            (0..count).map(|index| target(&format!("t{index:03}"), 8)).collect();
        Self {
            driver: Driver::new(targets.clone()),
            behaviour: targets.iter().map(|t| (t.id.clone(), Behaviour::Good)).collect(),
            targets,
            due: BTreeSet::new(),
            results: HashMap::new(),
            pending_retries: BTreeSet::new(),
            deadlines: HashMap::new(),
            messages: 0,
            starts_per_target: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            retry_times: Vec::new(),
        }
    }

    fn set_behaviour(&mut self, count: usize, behaviour: Behaviour) {
        for target in self.targets.iter().take(count) {
            self.behaviour.insert(target.id.clone(), behaviour);
        }
    }

    /// Runs for some time with `jobs` new jobs of 3 tasks per millisecond. Returns the number of
    /// messages to targets in that time.
    fn run(&mut self, millis: u64, jobs: usize) -> usize {
        let before = self.messages;
        for _ in 0..millis {
            self.driver.pass(1);
            self.deliver_due();
            for _ in 0..jobs {
                let deadline = self.driver.after(5_000);
                let caller = self.driver.submit(job(&["seat-hold"; 3], deadline));
                self.deadlines.insert(caller, deadline);
                self.execute_commands();
            }
        }
        self.messages - before
    }

    /// Delivers the results and submits the retries that are due.
    fn deliver_due(&mut self) {
        self.execute_commands();
        while let Some((at, start)) = self.due.first().copied()
            && at <= self.driver.now
        {
            self.due.remove(&(at, start));
            let result = self.results.remove(&start).unwrap();
            self.driver.answer(start, result);
            self.execute_commands();
        }
        while let Some((at, caller)) = self.pending_retries.first().copied()
            && at <= self.driver.now
        {
            self.pending_retries.remove(&(at, caller));
            let deadline = self.deadlines[&caller];
            if deadline > self.driver.now {
                let retry = self.driver.submit(job(&["seat-hold"; 3], deadline));
                self.deadlines.insert(retry, deadline);
                self.execute_commands();
            }
        }
    }

    fn execute_commands(&mut self) {
        for command in std::mem::take(&mut self.driver.out) {
            match command {
                Command::Start(order) => {
                    self.messages += 1;
                    *self.starts_per_target.entry(order.target.clone()).or_default() += 1;
                    let (delay, result) = match self.behaviour[&order.target] {
                        Behaviour::Good => (50, start::Result::Answered(bytes("done"))),
                        Behaviour::Down => (1, start::Result::NotRun(NotRun::ConnectFailed)),
                        Behaviour::Failing => {
                            let (step, message) = (Step::Run, "broken".into());
                            (1, start::Result::Failed { step, message })
                        }
                    };
                    self.due.insert((self.driver.after(delay), order.start));
                    self.results.insert(order.start, result);
                }
                Command::QueryStart { .. } => self.messages += 1,
                Command::Respond { caller, status: Status::Final(outcome), .. } => {
                    *self.outcomes.entry(outcome.code()).or_default() += 1;
                    if let Outcome::Refused { retry_at, .. } = &*outcome {
                        self.pending_retries.insert((*retry_at, caller));
                        self.retry_times.push(*retry_at);
                    }
                }
                other => panic!("{other:?}"),
            }
        }
    }
}

// Guards against a rise of the message rate while no target can be reached, against jobs that wait
// instead of being refused, and against a slow recovery.
#[test]
fn outage_of_all_targets_bounds_messages() {
    let mut load = Load::new(40);
    let normal = load.run(10_000, 1);
    assert_eq!(normal, 30_000);
    load.set_behaviour(40, Behaviour::Down);
    load.outcomes.clear();
    let outage = load.run(10_000, 1);
    println!("messages in 10 s: {normal} before the outage, {outage} in it; {:?}", load.outcomes);
    // The goal is 1.2 times the normal rate.
    assert!(outage * 10 < normal * 12, "{outage} messages in the outage, {normal} before");
    assert!(load.outcomes["refused"] > 9_000, "{:?}", load.outcomes);
    assert_eq!(load.outcomes.get("failed"), None, "{:?}", load.outcomes);
    // Retry times are spread over many different milliseconds.
    let distinct: BTreeSet<u64> =
        load.retry_times.iter().map(|at| at.as_micros() / 1_000).collect();
    assert!(distinct.len() > 5_000, "{} distinct milliseconds", distinct.len());
    load.set_behaviour(40, Behaviour::Good);
    // After 6 s, the 5 s deadlines of all jobs refused in the outage have passed.
    load.run(6_000, 1);
    load.outcomes.clear();
    load.run(1_000, 1);
    assert_eq!(load.outcomes.keys().copied().collect::<Vec<_>>(), ["complete"]);
}

// Guards against retries that multiply the load while every target refuses starts as busy.
#[test]
fn retries_stay_within_budget() {
    let mut driver = Driver::new((0..20).map(|i| target(&format!("t{i}"), 8)).collect());
    for _ in 0..2_000 {
        driver.submit_tasks("seat-hold", 3);
        loop {
            let starts = driver.starts();
            if starts.is_empty() {
                break;
            }
            for order in starts {
                driver.not_run(order.start, NotRun::Busy);
            }
        }
        driver.pass(5);
    }
    driver.pass(20_000);
    let counters = driver.engine.counters();
    let first_starts = counters.starts - counters.retries;
    assert!(counters.retries <= first_starts / 10 + 10, "{counters:?}");
    assert!(counters.retries >= first_starts / 20, "{counters:?}");
    let mut refused = 0;
    for (_, _, status) in driver.responses() {
        match status {
            Status::Final(outcome) if matches!(*outcome, Outcome::Refused { .. }) => refused += 1,
            other => panic!("every start was proven not to have run: {other:?}"),
        }
    }
    assert_eq!(refused, 2_000);
}

// Guards against a failing target that keeps its share of the tasks. From 2 s after the fault, jobs
// may fail only because of trial starts on the target.
#[test]
fn failing_target_is_ejected() {
    let mut load = Load::new(10);
    load.run(2_000, 1);
    load.set_behaviour(1, Behaviour::Failing);
    load.run(2_000, 1);
    load.outcomes.clear();
    load.starts_per_target.clear();
    load.run(20_000, 1);
    let failed = load.outcomes.get("failed").copied().unwrap_or(0);
    println!("{failed} of 20000 jobs failed from 2 s after the fault on");
    assert!(failed <= 10, "{failed} of 20000 jobs failed");
    load.set_behaviour(1, Behaviour::Good);
    load.run(35_000, 1);
    load.starts_per_target.clear();
    load.run(5_000, 1);
    let recovered_starts = load.starts_per_target[&load.targets[0].id];
    assert!(recovered_starts > 500, "{recovered_starts} of 15000 tasks on the recovered target");
}

// Guards against ejecting the healthy half of the targets or losing jobs when the other half is
// unreachable.
#[test]
fn unreachable_targets_lose_no_job() {
    let mut load = Load::new(40);
    load.run(1_000, 1);
    load.set_behaviour(20, Behaviour::Down);
    load.outcomes.clear();
    let messages = load.run(10_000, 1);
    let complete = load.outcomes["complete"];
    println!("{messages} messages for 30000 tasks; {:?}", load.outcomes);
    assert!(complete >= 9_900, "{:?}", load.outcomes);
    assert!(messages <= 33_000, "{messages} messages for 30000 tasks");
    assert_eq!(load.outcomes.get("failed"), None);
}

// Guards against slots and tasks that stay allocated after many jobs are cancelled at once.
#[test]
fn cancellation_wave_frees_everything() {
    let mut driver = Driver::new((0..4).map(|i| target(&format!("t{i}"), 8)).collect());
    for _ in 0..20 {
        driver.submit_tasks("seat-hold", 900);
    }
    let starts = driver.starts();
    assert_eq!(starts.len(), 32);
    for sequence in 1..=20 {
        let (caller, job) = (id::Caller::new(1_000 + sequence), format!("e1.{sequence}"));
        let (team, job) = ("halvern".parse().unwrap(), job.parse().unwrap());
        driver.handle(Event::Cancel { caller, team, job });
    }
    assert_eq!(driver.engine.open_jobs(), 0);
    assert_eq!(driver.responses().len(), 40);
    for order in starts {
        driver.complete(order.start);
    }
    assert!(driver.starts().is_empty());
    driver.submit_tasks("seat-hold", 64);
    assert_eq!(driver.starts().len(), 32);
    driver.pass(Millis::new(20_000).get());
    assert_eq!(driver.engine.open_jobs(), 0);
}
