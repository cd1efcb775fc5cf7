//! Simulates routing strategies on a virtual clock and measures them against a central queue with
//! global knowledge.
//!
//! The letters of the strategies are those in the tables of results. Times are in microseconds of
//! virtual time unless stated otherwise.

use crate::experiment_engine;
use crate::fleet::{self, Job, Shape};
use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::fmt;
use std::str::FromStr;
use verbenapass::id;
use verbenapass::job::Resources;
use verbenapass::placement::{Candidate, Handle, Pool};
use verbenapass::queue::{self, Order, Queue};
use verbenapass::settings::Urgency;
use verbenapass::share;
use verbenapass::time::Timestamp;
use verbenapass::unit::{Micros, Millis, Slots};

/// Interval between the ticks of an instance unless the strategy has its own. Reports of demand are
/// sent at ticks.
const REPORT_INTERVAL_US: u64 = 1_000_000;

/// Routing strategy: how entry instances choose a target for each task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Strategy {
    /// (a) A random target for each task. Tasks queue at the target.
    Random,
    /// (b) The one of two random targets on which the instance itself has fewer tasks in flight.
    /// Tasks queue at the target.
    TwoChoices,
    /// (c) The one of two random targets whose last answer carried the lower load. Tasks queue at the
    /// target.
    Carried,
    /// (d) Each target is owned by one instance, which lends idle slots to others in batches.
    Owned,
    /// (e) One central queue with global knowledge, the reference for the other strategies.
    Central,
    /// (f) The target on which the instance itself has the fewest tasks in flight. A cap on all its
    /// tasks in flight follows its demand. Tasks queue at the target.
    Capped,
    /// (g) Every slot has one holder; the slots are divided equally between the instances.
    Fixed,
    /// (g) Every slot has one holder; the slots are divided by demand every second.
    Redrawn,
    /// (h) Every slot has one holder; a lasting change of demand moves a few slots.
    Gradual,
    /// (i) Every slot has one holder; instances pass on idle slots in batches within a message
    /// budget.
    Exchange,
    /// (j) Every slot has one holder; when no held slot is free, tasks overflow to targets that
    /// have free slots according to their last answers.
    Overflow,
    /// The engines of the library, which implement (j).
    Engine,
    /// The engines of the library with targets whose answers carry no load.
    EngineBlind,
}

impl Strategy {
    /// Every strategy, in the order of results and plots.
    pub const ALL: [Self; 13] = [
        Self::Random,
        Self::TwoChoices,
        Self::Carried,
        Self::Owned,
        Self::Central,
        Self::Capped,
        Self::Fixed,
        Self::Redrawn,
        Self::Gradual,
        Self::Exchange,
        Self::Overflow,
        Self::Engine,
        Self::EngineBlind,
    ];

    /// Returns the name on the command line and in tables; JSON has it with underscores.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Random => "random",
            Self::TwoChoices => "two-choices",
            Self::Carried => "carried",
            Self::Owned => "owned",
            Self::Central => "central",
            Self::Capped => "capped",
            Self::Fixed => "fixed",
            Self::Redrawn => "redrawn",
            Self::Gradual => "gradual",
            Self::Exchange => "exchange",
            Self::Overflow => "overflow",
            Self::Engine => "engine",
            Self::EngineBlind => "engine-blind",
        }
    }

    const fn queues_at_target(self) -> bool {
        matches!(self, Self::Random | Self::TwoChoices | Self::Carried | Self::Capped)
    }
}

impl fmt::Display for Strategy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl FromStr for Strategy {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let names = || Self::ALL.map(Self::name).join(", ");
        Self::ALL.into_iter().find(|strategy| strategy.name() == text).ok_or_else(|| {
            format!("{text:?} is not a routing strategy, expected one of {}", names())
        })
    }
}

/// Message overhead: counts of messages beyond one start and one answer for each task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Waste {
    /// Queries to targets about starts, and their answers.
    pub probes: u64,
    /// Busy answers of targets without a free slot.
    pub refusals: u64,
    /// Repeated starts after a refusal.
    pub retries: u64,
    /// Requests to peers for slots.
    pub claims: u64,
    /// Answers to requests for slots.
    pub grants: u64,
    /// Reports of demand between instances, and states sent to even out idle slots.
    pub reports: u64,
}

impl Waste {
    /// Returns the number of messages of all kinds.
    pub const fn total(&self) -> u64 {
        self.probes + self.refusals + self.retries + self.claims + self.grants + self.reports
    }
}

/// Parameters of [`Strategy::Exchange`]; [`Strategy::Owned`] and [`Strategy::Gradual`] share some.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Exchange {
    /// Smallest number of queued tasks for which an instance claims slots.
    pub min_batch: u32,
    /// Idle slots that a lender keeps for itself.
    pub reserve: u32,
    /// Message tokens that each answer adds; a claim, and a state sent to even out idle slots, takes
    /// two.
    pub budget: f64,
    /// Interval between ticks, at which instances even out idle slots if there are no leases.
    pub period_us: u64,
    /// Maximum number of peers that receive claims at the same time.
    pub fan_out: usize,
    /// Time after which lent slots return to the lender; zero transfers them permanently.
    pub lease_us: u64,
    /// Last part of a lease in which the borrower starts no more tasks on the slot.
    pub guard_us: u64,
}

impl Default for Exchange {
    fn default() -> Self {
        Self {
            min_batch: 12,
            reserve: 3,
            budget: 0.018,
            period_us: 2_000_000,
            fan_out: 2,
            lease_us: 1_000_000,
            guard_us: 300_000,
        }
    }
}

/// Number of free held slots that jobs of many waiting tasks leave to smaller jobs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Headroom {
    /// Tenths of a slot left free for each doubling of the waiting tasks.
    pub tenths: u32,
    /// Number of initial doublings that are not counted.
    pub exempt_doublings: u32,
}

impl Headroom {
    /// Returns the slots that a job of `waiting` tasks leaves free, at most an eighth of `held`.
    fn slots_for(self, waiting: u32, held: u32) -> u32 {
        let doublings = waiting.max(1).ilog2().saturating_sub(self.exempt_doublings);
        (doublings * self.tenths / 10).min(held / 8)
    }
}

/// Parameters of [`Strategy::Overflow`], which uses slots held by other instances.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Overflow {
    /// Free slots that a target must have in addition to the one that the task takes.
    pub spare: u32,
    /// The expected load of a target grows by one task for each such period since its last answer.
    pub fresh_us: u64,
    /// Jobs with more waiting tasks than this require one more free slot.
    pub large_job: u32,
    /// Message tokens that each answer adds; a refusal takes two. With few tokens left, the
    /// overflow requires more free slots.
    pub budget: f64,
    /// Ticks (of one second) between reports of demand; zero disables the reports.
    pub report_ticks: u64,
    /// Time for which a held slot stays unused after a refusal.
    pub suspend_us: u64,
    /// Jobs of up to this number of waiting tasks also use a held slot on a target that is expected
    /// to be full; larger ones do so only if its last answer is older than `avoid_us`.
    pub small_job: u32,
    /// Time for which a target is avoided after an answer that showed it full.
    pub avoid_us: u64,
}

impl Default for Overflow {
    fn default() -> Self {
        Self {
            spare: 2,
            fresh_us: 30_000,
            large_job: 100,
            budget: 1.0,
            avoid_us: 100_000,
            suspend_us: 300_000,
            small_job: 8,
            report_ticks: 10,
        }
    }
}

/// Options of one simulation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// The simulated fleet and its load.
    pub shape: Shape,
    /// How the instances choose targets.
    pub strategy: Strategy,
    /// Seed of the load and of the random choices of targets.
    pub seed: u64,
    /// Order of the jobs in an instance's queue; [`Strategy::Central`] ignores it.
    pub order: Order,
    /// Whether the tasks of a job start in descending order of their kinds' run times.
    pub longest_first: bool,
    /// Parameters of the exchange of slots.
    pub exchange: Exchange,
    /// Parameters of the overflow.
    pub overflow: Overflow,
    /// Free slots that large jobs leave to small ones.
    pub headroom: Headroom,
}

impl Options {
    /// Creates options with the defaults of the strategy.
    pub fn new(shape: Shape, strategy: Strategy, seed: u64) -> Self {
        let is_overflow = strategy == Strategy::Overflow;
        Self {
            shape,
            strategy,
            seed,
            order: Order::Remaining,
            longest_first: is_overflow,
            exchange: Exchange::default(),
            overflow: Overflow::default(),
            headroom: if is_overflow {
                Headroom { tenths: 20, exempt_doublings: 3 }
            } else {
                Headroom::default()
            },
        }
    }
}

/// Results of one or more simulations of a strategy.
#[derive(Clone, Debug)]
pub struct Measurement {
    /// Slowdown (response time divided by the ideal one) in thousandths, of the jobs after the
    /// warm-up.
    pub ratios: Histogram<u64>,
    /// Response time of the jobs after the warm-up, in microseconds.
    pub responses: Histogram<u64>,
    /// Slowdown in thousandths, by the decade of the number of tasks (1, 10, 100, ...).
    pub by_size: BTreeMap<u32, Histogram<u64>>,
    /// Message overhead.
    pub waste: Waste,
    /// Tasks that were answered.
    pub tasks: u64,
    /// Jobs that completed, including those of the warm-up.
    pub complete: u64,
    /// Jobs without a final answer at the end of the simulation.
    pub unfinished: u64,
    /// Executions of a task beyond its first one.
    pub repeated: u64,
}

impl Measurement {
    /// Records the response time of a job that completed at `done_at`.
    pub(crate) fn record_response(&mut self, job: &Job, done_at: u64) {
        let response = done_at - job.arrived;
        let ratio = response * 1_000 / job.ideal.max(1);
        record(&mut self.ratios, ratio);
        record(&mut self.responses, response);
        let decade = 10_u32.pow((job.run_times.len() as u32).ilog10());
        record(self.by_size.entry(decade).or_insert_with(histogram), ratio);
    }

    /// Adds the results of another simulation of the same strategy, such as one of another seed.
    pub fn add(&mut self, other: &Self) {
        let add = |sum: &mut Histogram<u64>, more: &Histogram<u64>| {
            sum.add(more).expect("the histogram resizes itself");
        };
        add(&mut self.ratios, &other.ratios);
        add(&mut self.responses, &other.responses);
        for (size, ratios) in &other.by_size {
            add(self.by_size.entry(*size).or_insert_with(histogram), ratios);
        }
        self.waste.probes += other.waste.probes;
        self.waste.refusals += other.waste.refusals;
        self.waste.retries += other.waste.retries;
        self.waste.claims += other.waste.claims;
        self.waste.grants += other.waste.grants;
        self.waste.reports += other.waste.reports;
        self.tasks += other.tasks;
        self.complete += other.complete;
        self.unfinished += other.unfinished;
        self.repeated += other.repeated;
    }
}

pub(crate) fn histogram() -> Histogram<u64> {
    Histogram::new(3).expect("three significant digits are supported")
}

pub(crate) fn record(histogram: &mut Histogram<u64>, value: u64) {
    histogram.record(value).expect("the histogram resizes itself");
}

#[derive(Clone, Copy, Debug)]
struct Task {
    job: u32,
    index: u32,
    instance: u8,
    target: u16,
}

#[derive(Debug)]
enum Message {
    /// Asks for up to `want` slots; zero asks to even out the idle slots.
    Claim {
        want: u32,
        state: State,
    },
    Grant {
        slots: Vec<u16>,
        state: State,
    },
    Report {
        demand: u64,
    },
}

/// State of an instance that its claims and grants carry.
#[derive(Clone, Copy, Debug, Default)]
struct State {
    made_at: u64,
    free: u32,
    queued: u32,
}

#[derive(Debug)]
enum Event {
    Arrive(u32),
    Reach(Task),
    Finish(Task),
    Answer { task: Task, load: u32 },
    Busy(Task),
    Deliver { from: usize, to: usize, message: Message },
    Tick(usize),
    EndSuspension { instance: usize, target: u16 },
    ChangeHeld { instance: usize, slots: Vec<u16>, by: i32 },
}

#[derive(Debug)]
struct Timed {
    at: u64,
    /// Events of the same time are handled in the order of scheduling, which this counts.
    event_number: u64,
    event: Event,
}

impl PartialEq for Timed {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.event_number) == (other.at, other.event_number)
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
        (self.at, self.event_number).cmp(&(other.at, other.event_number))
    }
}

#[derive(Debug, Default)]
struct Target {
    busy: u32,
    waiting: VecDeque<Task>,
}

#[derive(Debug)]
struct Instance {
    name: id::Instance,
    queue: Queue,
    pool: Pool,
    handles: Vec<Handle>,
    /// Load of each target by its last answer, plus the starts that this instance sent since then.
    known_load: Vec<u32>,
    /// Time of the last answer of each target.
    known_at: Vec<u64>,
    /// Last reported demand of each instance, including this one.
    demands: Vec<u64>,
    /// Smooths the demand before it is reported.
    demand: share::Demand,
    /// Highest demand since the last tick.
    peak: u64,
    /// Maximum number of tasks in flight with [`Strategy::Capped`].
    cap: u32,
    /// Message tokens, refilled by answers.
    tokens: f64,
    /// Last known state of each instance.
    peers: Vec<State>,
    outstanding_claims: usize,
    last_claim_at: u64,
    /// Slots held on each target. Negative if a borrowed slot was lent on and its own lease has ended
    /// before it returned.
    held_by_target: Vec<i32>,
    /// Number of held slots on each target that stay unused after refusals.
    suspended: Vec<i32>,
}

struct Simulation<'a> {
    options: &'a Options,
    jobs: &'a [Job],
    /// Unanswered tasks of each job.
    remaining: Vec<u32>,
    /// Tasks of each job that wait in the instance, in the order of their starts.
    queued: Vec<VecDeque<u32>>,
    /// Time at which each job completed, zero before that.
    done_at: Vec<u64>,
    /// Tasks of each job that have run.
    started: Vec<Vec<bool>>,
    now: u64,
    event_number: u64,
    events: BinaryHeap<Reverse<Timed>>,
    targets: Vec<Target>,
    target_names: Vec<(id::Target, Slots)>,
    instances: Vec<Instance>,
    team_names: Vec<id::Team>,
    rng: StdRng,
    waste: Waste,
    answered: u64,
    repeated: u64,
}

/// Simulates one strategy on the load that the shape and the seed define.
pub fn run(options: &Options) -> Measurement {
    if matches!(options.strategy, Strategy::Engine | Strategy::EngineBlind) {
        let carries_load = options.strategy == Strategy::Engine;
        return experiment_engine::measure(options.shape, options.seed, carries_load).1;
    }
    let jobs = options.shape.jobs(0, options.shape.load, options.seed);
    run_jobs(options, &jobs)
}

/// Simulates one strategy on given jobs, which must be ordered by arrival.
///
/// Only [`run`] drives the engines of the library; with their strategies this simulates
/// [`Strategy::Fixed`].
pub fn run_jobs(options: &Options, jobs: &[Job]) -> Measurement {
    let mut simulation = Simulation::new(options, jobs);
    simulation.run();
    simulation.measure()
}

fn numbered_id<T: FromStr<Err = id::Error>>(prefix: &str, number: usize) -> T {
    format!("{prefix}-{number}").parse().expect("a valid identifier")
}

impl<'a> Simulation<'a> {
    fn new(options: &'a Options, jobs: &'a [Job]) -> Self {
        let shape = &options.shape;
        let count = if options.strategy == Strategy::Central { 1 } else { shape.instances };
        let target_names: Vec<(id::Target, Slots)> = (0..shape.targets)
            .map(|n| (numbered_id("target", n), Slots::new(shape.slots)))
            .collect();
        let names: Vec<id::Instance> = (0..count).map(|n| numbered_id("entry", n)).collect();
        let equal = names.iter().map(|name| (name.clone(), 1)).collect();
        let division = share::divide(&target_names, &equal);
        let owners: Vec<usize> = (0..shape.targets)
            .map(|n| {
                let owner = share::owner(&target_names[n].0, &names);
                names.iter().position(|name| Some(name) == owner).unwrap_or(0)
            })
            .collect();
        let order = match options.strategy {
            Strategy::Central => Order::Remaining,
            _ => options.order,
        };
        let instances = (0..count)
            .map(|i| {
                let mut pool = Pool::default();
                let handles: Vec<Handle> = (0..shape.targets)
                    .map(|n| {
                        let held = match options.strategy {
                            // Practically unlimited, but the sum over the targets fits in a u32.
                            Strategy::Random | Strategy::TwoChoices | Strategy::Carried => {
                                Slots::new(u32::MAX / 2_048)
                            }
                            Strategy::Capped => Slots::new(64),
                            Strategy::Central => Slots::new(shape.slots),
                            Strategy::Owned if owners[n] == i => Slots::new(shape.slots),
                            Strategy::Owned => Slots::new(0),
                            Strategy::Fixed
                            | Strategy::Redrawn
                            | Strategy::Gradual
                            | Strategy::Exchange
                            | Strategy::Overflow
                            | Strategy::Engine
                            | Strategy::EngineBlind => division[&names[i]][n],
                        };
                        pool.insert(Candidate::new(Micros::new(0), held))
                    })
                    .collect();
                let mut queue = Queue::new(queue::Options { order, is_fair: false });
                queue.set_held(pool.held());
                let held = shape.capacity() / count as u32;
                let held_by_target =
                    handles.iter().map(|handle| pool.held_on(*handle).get() as i32).collect();
                Instance {
                    name: names[i].clone(),
                    queue,
                    pool,
                    handles,
                    known_load: vec![0; shape.targets],
                    known_at: vec![0; shape.targets],
                    demands: vec![u64::from(held) * 4 / 5; count],
                    demand: share::Demand::new(u64::from(held) * 4 / 5),
                    peak: 0,
                    cap: shape.capacity() / count as u32,
                    tokens: 20.0,
                    peers: vec![State { made_at: 0, free: held / 5, queued: 0 }; count],
                    outstanding_claims: 0,
                    last_claim_at: 0,
                    held_by_target,
                    suspended: vec![0; shape.targets],
                }
            })
            .collect();
        let mut simulation = Self {
            options,
            jobs,
            remaining: jobs.iter().map(|job| job.run_times.len() as u32).collect(),
            queued: vec![VecDeque::new(); jobs.len()],
            done_at: vec![0; jobs.len()],
            started: jobs.iter().map(|job| vec![false; job.run_times.len()]).collect(),
            now: 0,
            event_number: 0,
            events: BinaryHeap::new(),
            targets: (0..shape.targets).map(|_| Target::default()).collect(),
            target_names,
            instances,
            team_names: (0..2).map(|n| numbered_id("team", n)).collect(),
            rng: StdRng::seed_from_u64(options.seed ^ 0x5eed),
            waste: Waste::default(),
            answered: 0,
            repeated: 0,
        };
        if !jobs.is_empty() {
            simulation.schedule(jobs[0].arrived, Event::Arrive(0));
        }
        for i in 0..count {
            let phase = REPORT_INTERVAL_US * i as u64 / count as u64;
            simulation.schedule(phase, Event::Tick(i));
        }
        simulation
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.event_number += 1;
        self.events.push(Reverse(Timed { at, event_number: self.event_number, event }));
    }

    fn run(&mut self) {
        let last_arrival = self.jobs.last().map_or(0, |job| job.arrived);
        // Under overload the queues may not drain, so the simulation ends at the latest 600 s after
        // the last arrival.
        let limit = last_arrival + 600_000_000;
        let total: u64 = self.jobs.iter().map(|job| job.run_times.len() as u64).sum();
        while let Some(Reverse(timed)) = self.events.pop() {
            self.now = timed.at;
            if self.now > limit || self.answered == total {
                break;
            }
            self.handle(timed.event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(job) => self.arrive(job),
            Event::Reach(task) => self.reach(task),
            Event::Finish(task) => self.finish(task),
            Event::Answer { task, load } => self.answer(task, load),
            Event::Busy(task) => self.busy(task),
            Event::Deliver { from, to, message } => self.deliver(from, to, message),
            Event::Tick(i) => self.tick(i),
            Event::ChangeHeld { instance, slots, by } => {
                for target in slots {
                    self.instances[instance].change_held(target, by);
                }
                self.dispatch(instance);
            }
            Event::EndSuspension { instance, target } => {
                self.instances[instance].suspend(target, -1);
                self.dispatch(instance);
            }
        }
    }

    fn instance_of(&self, job: u32) -> usize {
        if self.options.strategy == Strategy::Central {
            0
        } else {
            self.jobs[job as usize].instance
        }
    }

    fn queue_entry(&self, job: u32) -> queue::Entry {
        let spec = &self.jobs[job as usize];
        let arrived = Timestamp::from_micros(spec.arrived);
        queue::Entry {
            job: u64::from(job),
            team: self.team_names[spec.team].clone(),
            urgency: Urgency::Normal,
            arrived,
            deadline: arrived.plus(Millis::new(10_000)),
            tasks: self.queued[job as usize].len() as u32,
            work: Millis::new(300),
        }
    }

    fn arrive(&mut self, job: u32) {
        if let Some(next) = self.jobs.get(job as usize + 1) {
            self.schedule(next.arrived, Event::Arrive(job + 1));
        }
        let spec = &self.jobs[job as usize];
        let mut tasks: Vec<u32> = (0..spec.run_times.len() as u32).collect();
        if self.options.longest_first {
            tasks.sort_by_key(|task| Reverse(fleet::kind(spec.run_times[*task as usize])));
        }
        let i = self.instance_of(job);
        match self.options.strategy {
            Strategy::Random | Strategy::TwoChoices | Strategy::Carried => {
                for task in tasks {
                    let target = self.sample_target(i);
                    self.send_start(i, job, task, target);
                }
            }
            _ => {
                self.queued[job as usize] = tasks.into();
                let entry = self.queue_entry(job);
                self.instances[i].queue.insert(entry);
                self.dispatch(i);
            }
        }
    }

    fn sample_target(&mut self, i: usize) -> usize {
        let count = self.targets.len();
        let first = self.rng.random_range(0..count);
        if self.options.strategy == Strategy::Random {
            return first;
        }
        let second = self.rng.random_range(0..count);
        let instance = &self.instances[i];
        let load = |target: usize| match self.options.strategy {
            Strategy::Carried => instance.known_load[target],
            _ => instance.pool.in_flight_on(instance.handles[target]),
        };
        if load(second) < load(first) { second } else { first }
    }

    fn send_start(&mut self, i: usize, job: u32, index: u32, target: usize) {
        let instance = &mut self.instances[i];
        instance.pool.begin(instance.handles[target], Resources::default());
        // Until the next answer, this start is the latest information about the target.
        instance.known_load[target] += 1;
        let task = Task { job, index, instance: i as u8, target: target as u16 };
        self.schedule(self.now + self.options.shape.hop_us, Event::Reach(task));
    }

    fn dispatch(&mut self, i: usize) {
        loop {
            let instance = &mut self.instances[i];
            let Some(job) = instance.queue.first() else { break };
            if self.options.strategy == Strategy::Capped
                && instance.pool.in_flight() >= instance.cap
            {
                // Jobs of at most 4 waiting tasks may exceed the cap by a quarter.
                let small = instance.queue.get(job).is_some_and(|entry| entry.tasks <= 4);
                if !small || instance.pool.in_flight() >= instance.cap * 5 / 4 {
                    break;
                }
            }
            let waiting = instance.queue.get(job).map_or(0, |entry| entry.tasks);
            let held_target = (instance.pool.free()
                > self.options.headroom.slots_for(waiting, instance.pool.held().get()))
            .then(|| instance.choose_held(self.options, self.now))
            .flatten();
            // A target with free slots of other holders is preferred to a held slot on a target that
            // is probably full.
            let likely_idle = held_target.filter(|target| {
                self.expected_load(i, *target) < f64::from(self.options.shape.slots)
            });
            let possibly_full = held_target.filter(|target| {
                waiting <= self.options.overflow.small_job
                    || self.now
                        > self.instances[i].known_at[*target] + self.options.overflow.avoid_us
            });
            let target = likely_idle.or_else(|| self.choose_overflow(i, waiting)).or(possibly_full);
            let Some(target) = target else { break };
            let Some(task) = self.queued[job as usize].pop_front() else { break };
            let entry = self.queue_entry(job as u32);
            let instance = &mut self.instances[i];
            instance.queue.begin(&entry.team);
            instance.queue.insert(entry);
            self.send_start(i, job as u32, task, target);
        }
        let instance = &mut self.instances[i];
        let demand = instance.pool.in_flight() as u64 + instance.queue.len() as u64;
        instance.peak = instance.peak.max(demand);
        self.claim_slots(i);
    }

    /// Returns the expected load of a target, which grows with the age of its last answer because
    /// other instances start tasks there in the meantime.
    fn expected_load(&self, i: usize, target: usize) -> f64 {
        let instance = &self.instances[i];
        let age = self.now - instance.known_at[target];
        f64::from(instance.known_load[target]) + age as f64 / self.options.overflow.fresh_us as f64
    }

    /// Returns the target with the lowest expected load if it leaves enough free slots.
    fn choose_overflow(&self, i: usize, waiting: u32) -> Option<usize> {
        if self.options.strategy != Strategy::Overflow {
            return None;
        }
        let overflow = &self.options.overflow;
        let instance = &self.instances[i];
        let spare = overflow.spare
            + u32::from(waiting > overflow.large_job)
            + u32::from(instance.tokens < 10.0)
            + u32::from(instance.tokens < 2.0);
        let limit = f64::from(self.options.shape.slots.saturating_sub(spare));
        (0..self.targets.len())
            .map(|target| (self.expected_load(i, target), target))
            .filter(|(load, _)| *load < limit)
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, target)| target)
    }

    fn reach(&mut self, task: Task) {
        let slots = self.options.shape.slots;
        let target = &mut self.targets[task.target as usize];
        if target.busy < slots {
            target.busy += 1;
            self.begin(task);
        } else if self.options.strategy.queues_at_target() {
            target.waiting.push_back(task);
        } else {
            self.waste.refusals += 1;
            self.schedule(self.now + self.options.shape.hop_us, Event::Busy(task));
        }
    }

    fn begin(&mut self, task: Task) {
        let started = &mut self.started[task.job as usize][task.index as usize];
        if std::mem::replace(started, true) {
            self.repeated += 1;
        }
        let run = self.jobs[task.job as usize].run_times[task.index as usize];
        self.schedule(self.now + run, Event::Finish(task));
    }

    fn finish(&mut self, task: Task) {
        let target = &mut self.targets[task.target as usize];
        target.busy -= 1;
        let next = target.waiting.pop_front();
        if next.is_some() {
            target.busy += 1;
        }
        let load = target.busy + target.waiting.len() as u32;
        if let Some(next) = next {
            self.begin(next);
        }
        self.schedule(self.now + self.options.shape.hop_us, Event::Answer { task, load });
    }

    fn answer(&mut self, task: Task, load: u32) {
        self.answered += 1;
        let remaining = &mut self.remaining[task.job as usize];
        *remaining -= 1;
        if *remaining == 0 {
            self.done_at[task.job as usize] = self.now;
        }
        let budget = if self.options.strategy == Strategy::Overflow {
            self.options.overflow.budget
        } else {
            self.options.exchange.budget
        };
        let i = task.instance as usize;
        let team = &self.team_names[self.jobs[task.job as usize].team];
        let instance = &mut self.instances[i];
        instance.known_load[task.target as usize] = load;
        instance.known_at[task.target as usize] = self.now;
        instance.tokens = (instance.tokens + budget).min(40.0);
        instance.queue.end(team);
        self.free_slot(i, task.target);
    }

    /// Frees a slot of an instance and starts the next task.
    fn free_slot(&mut self, i: usize, target: u16) {
        let instance = &mut self.instances[i];
        instance.pool.end(instance.handles[target as usize], Resources::default());
        self.dispatch(i);
    }

    fn busy(&mut self, task: Task) {
        self.waste.retries += 1;
        let i = task.instance as usize;
        self.instances[i].tokens -= 2.0;
        let team = self.team_names[self.jobs[task.job as usize].team].clone();
        self.queued[task.job as usize].push_front(task.index);
        let entry = self.queue_entry(task.job);
        let slots = self.options.shape.slots;
        let instance = &mut self.instances[i];
        instance.queue.end(&team);
        instance.queue.insert(entry);
        instance.known_load[task.target as usize] = slots;
        instance.known_at[task.target as usize] = self.now;
        if instance.pool.in_flight_on(instance.handles[task.target as usize])
            > instance.pool.held_on(instance.handles[task.target as usize]).get()
        {
            self.free_slot(i, task.target);
            return;
        }
        // Another instance still uses the held slot, so it is suspended for a while.
        instance.suspend(task.target, 1);
        let end_at = self.now + self.options.overflow.suspend_us;
        self.schedule(end_at, Event::EndSuspension { instance: i, target: task.target });
        self.free_slot(i, task.target);
    }

    fn tick(&mut self, i: usize) {
        let interval = match self.options.strategy {
            Strategy::Exchange | Strategy::Gradual => self.options.exchange.period_us,
            _ => REPORT_INTERVAL_US,
        };
        self.schedule(self.now + interval, Event::Tick(i));
        let instance = &mut self.instances[i];
        let demand = u64::from(instance.pool.in_flight()) + instance.queue.len() as u64;
        let peak = std::mem::replace(&mut instance.peak, demand);
        match self.options.strategy {
            Strategy::Capped | Strategy::Redrawn => {
                instance.demands[i] = peak.max(1);
                self.report(i);
                self.divide(i);
            }
            Strategy::Overflow => {
                let ticks = self.now / REPORT_INTERVAL_US;
                if self.options.overflow.report_ticks > 0
                    && ticks.is_multiple_of(self.options.overflow.report_ticks)
                {
                    let running = instance.pool.in_flight();
                    let queued = instance.queue.len() as u32;
                    instance.demand.observe(share::sustained_demand(running, queued));
                    let before = instance.demands[i];
                    instance.demands[i] = instance.demand.reported();
                    let changed = before != instance.demands[i];
                    self.report(i);
                    if changed {
                        self.divide(i);
                    }
                }
            }
            Strategy::Gradual => {
                instance.demand.observe(demand);
                instance.demands[i] = instance.demand.reported();
                self.report(i);
                self.divide(i);
            }
            Strategy::Exchange => self.balance(i),
            _ => {}
        }
    }

    fn report(&mut self, i: usize) {
        let demand = self.instances[i].demands[i];
        for peer in (0..self.instances.len()).filter(|peer| *peer != i) {
            self.waste.reports += 1;
            self.send_message(i, peer, Message::Report { demand });
        }
    }

    fn send_message(&mut self, from: usize, to: usize, message: Message) {
        self.schedule(self.now + self.options.shape.hop_us, Event::Deliver { from, to, message });
    }

    fn divide(&mut self, i: usize) {
        let demands: BTreeMap<id::Instance, u64> = self
            .instances
            .iter()
            .zip(&self.instances[i].demands)
            .map(|(instance, demand)| (instance.name.clone(), *demand))
            .collect();
        if self.options.strategy == Strategy::Capped {
            let quotas = share::apportion(self.options.shape.capacity(), &demands);
            let instance = &mut self.instances[i];
            instance.cap = quotas[&instance.name];
        } else {
            let division = share::divide(&self.target_names, &demands);
            let instance = &mut self.instances[i];
            for (target, held) in division[&instance.name].iter().enumerate() {
                instance.set_held(target as u16, held.get() as i32);
            }
        }
        self.dispatch(i);
    }

    fn deliver(&mut self, from: usize, to: usize, message: Message) {
        match message {
            Message::Report { demand } => {
                let before = std::mem::replace(&mut self.instances[to].demands[from], demand);
                if self.options.strategy == Strategy::Overflow && before != demand {
                    self.divide(to);
                }
            }
            Message::Claim { want, state } => {
                self.update_peer(to, from, state);
                self.grant(to, from, want, state);
            }
            Message::Grant { slots, state } => {
                self.update_peer(to, from, state);
                let instance = &mut self.instances[to];
                instance.outstanding_claims = instance.outstanding_claims.saturating_sub(1);
                for target in &slots {
                    instance.change_held(*target, 1);
                }
                let exchange = &self.options.exchange;
                if exchange.lease_us > 0 && !slots.is_empty() {
                    let at = state.made_at + exchange.lease_us - exchange.guard_us;
                    self.schedule(at, Event::ChangeHeld { instance: to, slots, by: -1 });
                }
                self.dispatch(to);
            }
        }
    }

    fn state(&self, i: usize) -> State {
        let instance = &self.instances[i];
        State { made_at: self.now, free: instance.pool.free(), queued: instance.queue.len() as u32 }
    }

    fn update_peer(&mut self, i: usize, peer: usize, state: State) {
        let known = &mut self.instances[i].peers[peer];
        if state.made_at >= known.made_at {
            *known = state;
        }
    }

    /// Returns the idle slots expected at a peer: those of its last known state, or a fifth of its
    /// equal share of all slots once that state is older than a lease.
    fn expected_free(&self, i: usize, peer: usize) -> u32 {
        let known = self.instances[i].peers[peer];
        if self.now > known.made_at + self.options.exchange.lease_us {
            self.options.shape.capacity() / self.instances.len() as u32 / 5
        } else {
            known.free
        }
    }

    /// Claims slots from the peers that are expected to have the most idle ones.
    fn claim_slots(&mut self, i: usize) {
        if !matches!(self.options.strategy, Strategy::Exchange | Strategy::Owned) {
            return;
        }
        let exchange = &self.options.exchange;
        let state = self.state(i);
        let instance = &self.instances[i];
        let owned = self.options.strategy == Strategy::Owned;
        let min_want = if owned { 1 } else { exchange.min_batch };
        if instance.outstanding_claims > 0 || state.queued < min_want || instance.pool.free() > 0 {
            return;
        }
        let mut peers: Vec<(u32, usize)> = (0..self.instances.len())
            .filter(|peer| *peer != i)
            .map(|peer| (self.expected_free(i, peer), peer))
            .collect();
        peers.sort_by(|a, b| b.cmp(a));
        let mut want = state.queued;
        for (free, peer) in peers.into_iter().take(exchange.fan_out) {
            let instance = &mut self.instances[i];
            if want < min_want || (!owned && (free <= exchange.reserve || instance.tokens < 2.0)) {
                break;
            }
            // If no idle slots are expected, claims are at least 20 ms apart.
            if owned && free == 0 && self.now < instance.last_claim_at + 20_000 {
                break;
            }
            instance.last_claim_at = self.now;
            instance.tokens -= 2.0;
            instance.outstanding_claims += 1;
            let lend = free.saturating_sub(exchange.reserve).max(1).min(want);
            instance.peers[peer] =
                State { made_at: self.now, free: free.saturating_sub(lend), ..State::default() };
            want -= lend;
            self.waste.claims += 1;
            let asked = want + lend;
            self.send_message(i, peer, Message::Claim { want: asked, state });
        }
    }

    /// Sends the state of this instance to the peer with the oldest known state, which grants slots if
    /// it has more idle ones. Does nothing with leases.
    fn balance(&mut self, i: usize) {
        let count = self.instances.len();
        let instance = &self.instances[i];
        if count < 2 || instance.tokens < 2.0 || self.options.exchange.lease_us > 0 {
            return;
        }
        let peer = (0..count)
            .filter(|peer| *peer != i)
            .min_by_key(|peer| instance.peers[*peer].made_at)
            .unwrap_or(0);
        let state = self.state(i);
        let instance = &mut self.instances[i];
        instance.tokens -= 2.0;
        instance.outstanding_claims += 1;
        self.waste.reports += 1;
        self.send_message(i, peer, Message::Claim { want: 0, state });
    }

    fn grant(&mut self, i: usize, peer: usize, want: u32, state: State) {
        let exchange = self.options.exchange;
        let instance = &self.instances[i];
        let free = instance.pool.free();
        let reserve = if self.options.strategy == Strategy::Owned { 0 } else { exchange.reserve };
        let grant_count = if want > 0 {
            want.min(free.saturating_sub(reserve))
        } else if instance.queue.is_empty() {
            // Grant half of the difference in idle slots; a queued task counts as a missing slot.
            let peer_idle = i64::from(state.free) - i64::from(state.queued);
            let own_idle = i64::from(free);
            (((own_idle - peer_idle) / 2).max(0) as u32).min(free.saturating_sub(reserve))
        } else {
            0
        };
        let slots = self.instances[i].release_idle(grant_count);
        if exchange.lease_us > 0 && !slots.is_empty() {
            let at = self.now + exchange.lease_us;
            self.schedule(at, Event::ChangeHeld { instance: i, slots: slots.clone(), by: 1 });
        }
        let state = self.state(i);
        self.waste.grants += 1;
        self.send_message(i, peer, Message::Grant { slots, state });
    }

    fn measure(&self) -> Measurement {
        let warm_up = self.options.shape.warm_up_seconds * 1_000_000;
        let mut measurement = Measurement {
            ratios: histogram(),
            responses: histogram(),
            by_size: BTreeMap::new(),
            waste: self.waste,
            tasks: self.answered,
            complete: 0,
            unfinished: 0,
            repeated: self.repeated,
        };
        for (job, done_at) in self.jobs.iter().zip(&self.done_at) {
            if *done_at == 0 {
                measurement.unfinished += 1;
                continue;
            }
            measurement.complete += 1;
            if job.arrived < warm_up {
                continue;
            }
            measurement.record_response(job, *done_at);
        }
        measurement
    }
}

impl Instance {
    fn change_held(&mut self, target: u16, change: i32) {
        let held = self.held_by_target[target as usize] + change;
        self.set_held(target, held);
    }

    fn set_held(&mut self, target: u16, held: i32) {
        let index = target as usize;
        self.held_by_target[index] = held;
        let usable = Slots::new((held - self.suspended[index]).max(0) as u32);
        self.pool.set_held(self.handles[index], usable);
        self.queue.set_held(self.pool.held());
    }

    /// Changes the number of slots on a target that stay unused after refusals.
    fn suspend(&mut self, target: u16, change: i32) {
        self.suspended[target as usize] += change;
        self.change_held(target, 0);
    }

    /// Chooses a target with a free held slot.
    fn choose_held(&self, options: &Options, now: u64) -> Option<usize> {
        if options.strategy != Strategy::Overflow {
            return self.pool.choose(Resources::default(), Micros::new(0)).map(Handle::index);
        }
        (0..self.handles.len())
            .filter(|target| self.pool.free_on(self.handles[*target]) > 0)
            .filter(|target| {
                self.known_load[*target] < options.shape.slots
                    || self.known_at[*target] + options.overflow.avoid_us < now
            })
            // The expected load, multiplied by `fresh_us` to get an integer.
            .min_by_key(|target| {
                let age = now - self.known_at[*target];
                u64::from(self.known_load[*target]) * options.overflow.fresh_us + age
            })
    }

    /// Releases up to `count` idle slots, those on the least loaded targets first.
    fn release_idle(&mut self, count: u32) -> Vec<u16> {
        let mut slots = Vec::new();
        while slots.len() < count as usize {
            let Some(handle) = self.pool.choose(Resources::default(), Micros::new(0)) else {
                break;
            };
            let target = handle.index() as u16;
            self.change_held(target, -1);
            slots.push(target);
        }
        slots
    }
}
