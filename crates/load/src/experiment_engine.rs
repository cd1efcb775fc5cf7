//! Drives the engines of the library on the simulated fleet and injects faults.
//!
//! Times are in microseconds of virtual time unless stated otherwise.

use crate::experiment::{Measurement, Strategy, Waste, histogram};
use crate::fleet::{self, Job, Shape};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashSet, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Instant;
use verbenapass::engine::{self, Command, Engine, Event, Peer};
use verbenapass::id;
use verbenapass::job::{Resources, Status, Submission, Task};
use verbenapass::outcome::{Outcome, Step};
use verbenapass::start::{self, NotRun};
use verbenapass::time::Timestamp;
use verbenapass::unit::{Bytes, Micros, Millis, Slots};

/// Kinds of task in ascending order of run time, as numbered by [`fleet::kind`].
const KINDS: [&str; 3] = ["balance-query", "invoice-issue", "subsidy-claim"];

/// Interval between the reports that each engine sends to its peers.
const REPORT_INTERVAL: Millis = Millis::new(10_000);

/// Time after which the instance list no longer contains a dead instance.
const LIST_LAG_US: u64 = 1_000_000;

/// Length of a window of arrivals whose percentile shows whether the fleet has recovered.
const RECOVERY_WINDOW_US: u64 = 10_000_000;

/// Time between the starts of successive windows, which overlap.
const RECOVERY_STEP_US: usize = 500_000;

/// Fault of one target or instance, which lasts until the end of the simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// The first target fails every start without a delay.
    Failing,
    /// Tasks on the first target take five times as long.
    Straggler,
    /// The first instance dies; jobs that would arrive there go to the others.
    Killed,
}

/// Options of one simulation.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// The simulated fleet and its load.
    pub shape: Shape,
    /// Seed of the random choices of the engines.
    pub seed: u64,
    /// Whether answers carry the number of tasks that their target runs.
    pub carries_load: bool,
    /// Whether each of the two teams has its own service with half of the targets.
    pub separate_services: bool,
    /// A fault and the time at which it begins; `None` for no fault.
    pub fault: Option<(Fault, u64)>,
}

/// How a job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// No final answer by the end of the simulation.
    Open,
    /// Complete at this time.
    Complete(u64),
    /// Failed, refused, unknown or expired at this time.
    Other(u64),
    /// The instance that had taken the job died before the final answer.
    OwnerGone,
}

/// Result of one simulation.
#[derive(Clone, Debug)]
pub struct Trial {
    /// End of each job, in the order of the jobs.
    pub ends: Vec<End>,
    /// Message overhead.
    pub waste: Waste,
    /// Executions of tasks that finished.
    pub tasks: u64,
    /// Executions of a task beyond its first one.
    pub repeated: u64,
    /// Answers to a job after its final one.
    pub duplicate_answers: u64,
}

#[derive(Clone, Debug)]
struct Run {
    instance: usize,
    start: id::Start,
    job: u32,
    task: u32,
    target: usize,
}

/// Event of the simulation; [`Event`] is an input of an engine.
#[derive(Debug)]
enum Action {
    Arrive(u32),
    Reach(Run),
    Finish(Run),
    Result { run: Run, result: start::Result, busy: u32 },
    Deliver { to: usize, event: Box<Event> },
    Tick(usize),
    Fault,
    List,
}

/// Time, number that orders actions of the same time, and action.
struct Timed(u64, u64, Action);

impl PartialEq for Timed {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}

impl Eq for Timed {}

impl PartialOrd for Timed {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Timed {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

struct Simulation<'a> {
    options: Options,
    jobs: &'a [Job],
    now: u64,
    event_number: u64,
    events: BinaryHeap<Reverse<Timed>>,
    engines: Vec<Option<Engine>>,
    /// Time of the next scheduled tick of each engine; `u64::MAX` for none.
    ticks: Vec<u64>,
    /// Number of tasks that run on each target.
    busy: Vec<u32>,
    /// Starts whose tasks run, each with the index of the instance that sent it.
    running: HashSet<(usize, id::Start)>,
    /// Instance that took each job.
    owners: Vec<usize>,
    /// Jobs in the order of arrival at each engine; the sequence number in an engine's job
    /// identifiers is the place in this order, from 1.
    arrivals: Vec<Vec<u32>>,
    /// Tasks of each job that have begun to run.
    ran: Vec<Vec<bool>>,
    is_fault_active: bool,
    trial: Trial,
}

fn parse<T: std::str::FromStr<Err = id::Error>>(text: &str) -> T {
    text.parse().expect("a valid identifier")
}

fn instance_name(number: usize) -> id::Instance {
    parse(&format!("entry-{number}"))
}

fn target_name(number: usize) -> id::Target {
    parse(&format!("target-{number:03}"))
}

fn settings(teams: usize, separate_services: bool) -> Arc<verbenapass::settings::Tree> {
    let mut text = String::from("fleet: {credential_sha256: \"\"}\nteams:\n");
    for team in 0..teams {
        let service = if separate_services { team } else { 0 };
        text += &format!(
            "  team-{team}:\n    credential_sha256: \"{team}\"\n    max_queued_tasks: 200000\n    \
             max_queued_bytes: 1000000000\n    kinds:\n"
        );
        for kind in KINDS {
            text += &format!("      {kind}: {{service: service-{service}, idempotent: true}}\n");
        }
    }
    Arc::new(serde_yaml_ng::from_str(&text).expect("the settings are valid"))
}

fn targets(shape: &Shape, separate_services: bool) -> Vec<engine::Target> {
    let service = |n| if separate_services && n % 2 == 1 { "service-1" } else { "service-0" };
    (0..shape.targets)
        .map(|n| engine::Target {
            id: target_name(n),
            service: parse(service(n)),
            data_centre: parse("dc-1"),
            worker: parse(&format!("worker-{n:03}")),
            rack: parse(&format!("rack-{}", n / 6)),
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
            slots: Slots::new(shape.slots),
            memory: Bytes::new(1 << 30),
            accelerators: 0,
            leaving: false,
        })
        .collect()
}

fn peer(number: usize) -> Peer {
    Peer {
        id: instance_name(number),
        data_centre: parse("dc-1"),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        leaving: false,
    }
}

fn submission(team: usize, runs: &[u64], now: Timestamp) -> Submission {
    let task = |run: &u64| Task {
        kind: parse(KINDS[fleet::kind(*run)]),
        payload: Arc::from(&b""[..]),
        declared: None,
        demand: Resources::default(),
    };
    Submission {
        team: parse(&format!("team-{team}")),
        request: None,
        deadline: now.plus(Millis::new(3_600_000)),
        tasks: runs.iter().map(task).collect(),
        trace: None,
    }
}

/// Simulates the engines on given jobs, which must be ordered by arrival.
pub fn run(options: &Options, jobs: &[Job]) -> Trial {
    let mut simulation = Simulation::new(*options, jobs);
    simulation.run();
    simulation.trial
}

impl<'a> Simulation<'a> {
    fn new(options: Options, jobs: &'a [Job]) -> Self {
        let count = options.shape.instances;
        let engines = (0..count)
            .map(|i| {
                let seed = options.seed * 1_000 + i as u64;
                let options = engine::Options::new(instance_name(i), parse("dc-1"), seed)
                    .with_reports(REPORT_INTERVAL);
                Some(Engine::new(options))
            })
            .collect();
        let mut simulation = Self {
            options,
            jobs,
            now: 0,
            event_number: 0,
            events: BinaryHeap::new(),
            engines,
            ticks: vec![u64::MAX; count],
            busy: vec![0; options.shape.targets],
            running: HashSet::new(),
            owners: jobs.iter().map(|job| job.instance).collect(),
            arrivals: vec![Vec::new(); count],
            ran: jobs.iter().map(|job| vec![false; job.run_times.len()]).collect(),
            is_fault_active: false,
            trial: Trial {
                ends: vec![End::Open; jobs.len()],
                waste: Waste::default(),
                tasks: 0,
                repeated: 0,
                duplicate_answers: 0,
            },
        };
        for i in 0..count {
            simulation.handle_event(i, Event::Configured(settings(2, options.separate_services)));
        }
        simulation.publish_list();
        if !jobs.is_empty() {
            simulation.schedule(jobs[0].arrived, Action::Arrive(0));
        }
        if let Some((_, at)) = options.fault {
            simulation.schedule(at, Action::Fault);
        }
        simulation
    }

    fn schedule(&mut self, at: u64, action: Action) {
        self.event_number += 1;
        self.events.push(Reverse(Timed(at, self.event_number, action)));
    }

    fn publish_list(&mut self) {
        let shape = &self.options.shape;
        let targets = targets(shape, self.options.separate_services);
        let alive: Vec<usize> =
            (0..shape.instances).filter(|i| self.engines[*i].is_some()).collect();
        let peers: Vec<Peer> = alive.iter().map(|i| peer(*i)).collect();
        for i in alive {
            self.handle_event(
                i,
                Event::Listed { revision: 1, targets: targets.clone(), peers: peers.clone() },
            );
        }
    }

    fn run(&mut self) {
        let last = self.jobs.last().map_or(0, |job| job.arrived);
        let mut open = self.jobs.len();
        while let Some(Reverse(Timed(at, _, action))) = self.events.pop() {
            self.now = at;
            if at > last + 60_000_000 {
                break;
            }
            self.perform(action);
            if at > last {
                open = self.trial.ends.iter().filter(|end| **end == End::Open).count().min(open);
                if open == 0 {
                    break;
                }
            }
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Arrive(job) => self.arrive(job),
            Action::Reach(run) => self.reach(run),
            Action::Finish(run) => self.finish(run),
            Action::Result { run, result, busy } => {
                if self.options.carries_load && !matches!(result, start::Result::NotRun(_)) {
                    let target = target_name(run.target);
                    self.handle_event(run.instance, Event::Observed { target, busy });
                }
                self.handle_event(run.instance, Event::Answered { start: run.start, result });
            }
            Action::Deliver { to, event } => self.handle_event(to, *event),
            Action::Tick(i) => {
                if self.ticks[i] == self.now {
                    self.ticks[i] = u64::MAX;
                    let mut commands = Vec::new();
                    if let Some(engine) = &mut self.engines[i] {
                        engine.tick(Timestamp::from_micros(self.now), &mut commands);
                    }
                    self.execute(i, commands);
                }
            }
            Action::Fault => self.inject_fault(),
            Action::List => self.publish_list(),
        }
    }

    fn inject_fault(&mut self) {
        self.is_fault_active = true;
        if let Some((Fault::Killed, _)) = self.options.fault {
            self.engines[0] = None;
            for (job, owner) in self.owners.iter().enumerate() {
                let has_arrived = self.jobs[job].arrived <= self.now;
                if *owner == 0 && has_arrived && self.trial.ends[job] == End::Open {
                    self.trial.ends[job] = End::OwnerGone;
                }
            }
            self.schedule(self.now + LIST_LAG_US, Action::List);
        }
    }

    fn arrive(&mut self, job: u32) {
        if let Some(next) = self.jobs.get(job as usize + 1) {
            self.schedule(next.arrived, Action::Arrive(job + 1));
        }
        let spec = &self.jobs[job as usize];
        let owner = if self.engines[spec.instance].is_some() {
            spec.instance
        } else {
            1 + job as usize % (self.engines.len() - 1)
        };
        self.owners[job as usize] = owner;
        let now = Timestamp::from_micros(self.now);
        let submission = submission(spec.team, &spec.run_times, now);
        self.arrivals[owner].push(job);
        let caller = id::Caller::new(u64::from(job));
        self.handle_event(owner, Event::Submit { caller, wait: true, submission });
    }

    fn handle_event(&mut self, i: usize, event: Event) {
        let mut commands = Vec::new();
        let Some(engine) = &mut self.engines[i] else { return };
        engine.handle(event, Timestamp::from_micros(self.now), &mut commands);
        self.execute(i, commands);
    }

    fn execute(&mut self, i: usize, commands: Vec<Command>) {
        let hop = self.options.shape.hop_us;
        for command in commands {
            match command {
                Command::Start(order) => {
                    let number = order.target.as_str().rsplit('-').next();
                    let target = number.and_then(|n| n.parse().ok()).unwrap_or(0);
                    let sequence = order.job.sequence;
                    let Some(job) = self.arrivals[i].get(sequence as usize - 1).copied() else {
                        continue;
                    };
                    let run =
                        Run { instance: i, start: order.start, job, task: order.task, target };
                    self.schedule(self.now + hop, Action::Reach(run));
                }
                Command::Respond { caller, status, .. } => self.respond(caller, &status),
                Command::SendReport { to, report } => {
                    for peer in to {
                        // One message for the report, one for the reply.
                        self.trial.waste.reports += 2;
                        let number = (0..self.engines.len()).find(|n| instance_name(*n) == peer);
                        let event = Box::new(Event::Reported((*report).clone()));
                        let Some(to) = number else { continue };
                        let reply = self.engines[to].as_ref().map(Engine::report);
                        self.schedule(self.now + hop, Action::Deliver { to, event });
                        if let Some(reply) = reply {
                            let event = Box::new(Event::Reported((*reply).clone()));
                            self.schedule(self.now + 2 * hop, Action::Deliver { to: i, event });
                        }
                    }
                }
                Command::QueryStart { start, .. } => {
                    self.trial.waste.probes += 2;
                    if self.running.contains(&(i, start)) {
                        let result = start::Result::Running;
                        let event = Box::new(Event::Answered { start, result });
                        self.schedule(self.now + 2 * hop, Action::Deliver { to: i, event });
                    }
                }
                _ => {}
            }
        }
        let next = self.engines[i].as_ref().and_then(Engine::next_deadline);
        if let Some(next) = next {
            let at = next.as_micros().max(self.now);
            if at < self.ticks[i] {
                self.ticks[i] = at;
                self.schedule(at, Action::Tick(i));
            }
        }
    }

    fn respond(&mut self, caller: id::Caller, status: &Status) {
        let end = &mut self.trial.ends[caller.get() as usize];
        if *end != End::Open {
            self.trial.duplicate_answers += 1;
            return;
        }
        if let Status::Final(outcome) = status {
            *end = match **outcome {
                Outcome::Complete(_) => End::Complete(self.now),
                _ => End::Other(self.now),
            };
        }
    }

    fn fault_at(&self, target: usize) -> Option<Fault> {
        let fault = self.options.fault.filter(|_| self.is_fault_active && target == 0)?.0;
        (fault != Fault::Killed).then_some(fault)
    }

    fn reach(&mut self, run: Run) {
        let hop = self.options.shape.hop_us;
        let target = run.target;
        if self.fault_at(target) == Some(Fault::Failing) {
            let result = start::Result::Failed { step: Step::Run, message: "fault".into() };
            let busy = self.busy[target];
            self.schedule(self.now + hop, Action::Result { run, result, busy });
            return;
        }
        if self.busy[target] >= self.options.shape.slots {
            self.trial.waste.refusals += 1;
            self.trial.waste.retries += 1;
            let result = start::Result::NotRun(NotRun::Busy);
            self.schedule(self.now + hop, Action::Result { run, result, busy: 0 });
            return;
        }
        self.busy[target] += 1;
        if std::mem::replace(&mut self.ran[run.job as usize][run.task as usize], true) {
            self.trial.repeated += 1;
        }
        self.running.insert((run.instance, run.start));
        let slowdown = if self.fault_at(target) == Some(Fault::Straggler) { 5 } else { 1 };
        let time = self.jobs[run.job as usize].run_times[run.task as usize] * slowdown;
        self.schedule(self.now + time, Action::Finish(run));
    }

    fn finish(&mut self, run: Run) {
        let busy = self.busy[run.target];
        self.busy[run.target] -= 1;
        self.trial.tasks += 1;
        self.running.remove(&(run.instance, run.start));
        let result = start::Result::Answered(Arc::from(&b""[..]));
        let hop = self.options.shape.hop_us;
        self.schedule(self.now + hop, Action::Result { run, result, busy });
    }
}

impl Trial {
    /// Returns the response times of the jobs that `is_counted` selects. Message and task counts
    /// are always those of all jobs.
    pub fn measure(
        &self,
        shape: &Shape,
        jobs: &[Job],
        is_counted: impl Fn(&Job) -> bool,
    ) -> Measurement {
        let mut measurement = Measurement {
            ratios: histogram(),
            responses: histogram(),
            by_size: BTreeMap::new(),
            waste: self.waste,
            tasks: self.tasks,
            complete: 0,
            unfinished: 0,
            repeated: self.repeated,
        };
        let warm_up = shape.warm_up_seconds * 1_000_000;
        for (job, end) in jobs.iter().zip(&self.ends).filter(|(job, _)| is_counted(job)) {
            match end {
                End::Open => measurement.unfinished += 1,
                End::Complete(at) => {
                    measurement.complete += 1;
                    if job.arrived >= warm_up {
                        measurement.record_response(job, *at);
                    }
                }
                End::Other(_) | End::OwnerGone => {}
            }
        }
        measurement
    }

    /// Returns the number of jobs that ended without success (failed, refused, unknown or expired)
    /// and the number of jobs whose instance died.
    pub fn unsuccessful(&self) -> (usize, usize) {
        let count = |is: fn(&End) -> bool| self.ends.iter().filter(|end| is(end)).count();
        (count(|end| matches!(end, End::Other(_))), count(|end| matches!(end, End::OwnerGone)))
    }

    /// Returns the seconds from a fault at time `at` until the fleet has recovered, or `None` if it
    /// does not recover early enough for a full window of arrivals.
    ///
    /// It has recovered when the 99th percentile of the slowdown of jobs that arrive in the next
    /// 10 s is at most a tenth above that of the jobs between the warm-up and the fault.
    pub fn recovery(&self, shape: &Shape, jobs: &[Job], at: u64) -> Option<f64> {
        let warm_up = shape.warm_up_seconds * 1_000_000;
        let p99 = |from: u64, to: u64| {
            let mut ratios: Vec<u64> = jobs
                .iter()
                .zip(&self.ends)
                .filter(|(job, _)| (from..to).contains(&job.arrived))
                .filter_map(|(job, end)| match end {
                    End::Complete(done) => Some((done - job.arrived) * 1_000 / job.ideal.max(1)),
                    _ => None,
                })
                .collect();
            ratios.sort_unstable();
            ratios.get(ratios.len() * 99 / 100).copied()
        };
        let before = p99(warm_up, at)?;
        let last = shape.seconds * 1_000_000;
        (at..last.saturating_sub(RECOVERY_WINDOW_US))
            .step_by(RECOVERY_STEP_US)
            .find(|from| {
                p99(*from, from + RECOVERY_WINDOW_US).is_some_and(|now| now * 10 <= before * 11)
            })
            .map(|from| (from - at) as f64 / 1e6)
    }
}

/// Simulates the engines on the load of a shape, with the measurements of the other strategies.
pub fn measure(shape: Shape, seed: u64, carries_load: bool) -> (Strategy, Measurement) {
    let jobs = shape.jobs(0, shape.load, seed);
    let options = Options { shape, seed, carries_load, separate_services: false, fault: None };
    let trial = run(&options, &jobs);
    let strategy = if carries_load { Strategy::Engine } else { Strategy::EngineBlind };
    (strategy, trial.measure(&shape, &jobs, |_| true))
}

/// Numbers of targets, teams and events in [`dispatch_throughput`].
const DISPATCH_TARGETS: usize = 300;
const DISPATCH_TEAMS: usize = 700;
const DISPATCH_EVENTS: u64 = 200_000;

/// Measures how many events per second one engine handles on one core, and returns a line of text.
///
/// Every slot is in use and every team has waiting jobs. Each answer leads to a new start; every
/// tenth answer ends a job, which a new one replaces.
pub fn dispatch_throughput() -> String {
    let shape = Shape { targets: DISPATCH_TARGETS, ..Shape::default() };
    let mut now = Timestamp::from_micros(1_000_000);
    let options = engine::Options::new(instance_name(0), parse("dc-1"), 1);
    let mut engine = Engine::new(options);
    let mut commands = Vec::new();
    engine.handle(Event::Configured(settings(DISPATCH_TEAMS, false)), now, &mut commands);
    let listed = Event::Listed {
        revision: 1,
        targets: targets(&shape, false),
        peers: (0..7).map(peer).collect(),
    };
    engine.handle(listed, now, &mut commands);
    let runs: Vec<u64> = (0..10).map(|n| 50_000 + n * 100_000).collect();
    let mut jobs = 0;
    let mut submit = |engine: &mut Engine, now, commands: &mut Vec<Command>| {
        let submission = submission(jobs % DISPATCH_TEAMS, &runs, now);
        jobs += 1;
        let caller = id::Caller::new(jobs as u64);
        engine.handle(Event::Submit { caller, wait: true, submission }, now, commands);
    };
    for _ in 0..2 * DISPATCH_TEAMS {
        submit(&mut engine, now, &mut commands);
    }
    let mut running = VecDeque::new();
    let (mut events, mut starts) = (0, 0_u64);
    let begin = Instant::now();
    while events < DISPATCH_EVENTS {
        let mut ended = 0;
        for command in commands.drain(..) {
            match command {
                Command::Start(order) => running.push_back((order.start, order.target.clone())),
                Command::Respond { .. } => ended += 1,
                _ => {}
            }
        }
        for _ in 0..ended {
            submit(&mut engine, now, &mut commands);
            events += 1;
        }
        let Some((start, target)) = running.pop_front() else { break };
        now = now.plus_micros(Micros::new(50));
        engine.handle(Event::Observed { target, busy: shape.slots }, now, &mut commands);
        let result = start::Result::Answered(Arc::from(&b""[..]));
        engine.handle(Event::Answered { start, result }, now, &mut commands);
        events += 2;
        starts += 1;
    }
    let seconds = begin.elapsed().as_secs_f64();
    format!(
        "{events} events in {seconds:.2} s on one core: {:.0} events/s, {:.0} answered starts/s \
         ({DISPATCH_TARGETS} targets, {DISPATCH_TEAMS} teams)\n",
        events as f64 / seconds,
        starts as f64 / seconds,
    )
}
