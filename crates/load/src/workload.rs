//! Open-loop plans of jobs. The same options give the same plan.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};

/// Shape of a load.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Options {
    /// Seed of all random choices.
    pub seed: u64,
    /// Span in which jobs arrive, in seconds.
    pub seconds: f64,
    /// Slots of the fleet.
    pub slots: u32,
    /// Offered work as a share of the slots.
    pub load: f64,
    /// Number of entry instances.
    pub instances: usize,
    /// Share of jobs that go to the first instance; the rest is spread evenly. Zero spreads all.
    pub skew: f64,
    /// Factor between declared and real run times: each task declares its run time times or divided
    /// by up to this factor.
    pub declared_factor: f64,
    /// Every so many seconds, the work of one second arrives at once. Zero for none.
    pub burst_every: f64,
    /// Every so many seconds, the open jobs that arrived within half a second are cancelled. Zero
    /// for none.
    pub cancel_every: f64,
    /// Largest job.
    pub largest_job: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            seed: 1,
            seconds: 20.0,
            slots: 384,
            load: 0.8,
            instances: 1,
            skew: 0.0,
            declared_factor: 1.0,
            burst_every: 0.0,
            cancel_every: 0.0,
            largest_job: 1_400,
        }
    }
}

/// One job of a plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Job {
    /// Arrival in microseconds from the begin of the run.
    pub at_us: u64,
    /// Index of the entry instance.
    pub instance: usize,
    /// Run time and declared run time of each task in microseconds.
    pub tasks: Vec<Task>,
    /// When the caller cancels, in microseconds from the begin of the run.
    pub cancel_at_us: Option<u64>,
}

/// One task of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Task {
    /// Run time in microseconds.
    pub run_us: u64,
    /// Declared run time in microseconds.
    pub declared_us: u64,
}

impl Job {
    /// Returns the response time on an idle fleet in microseconds, without network: the longest
    /// task, or the work divided by the slots.
    pub fn ideal_us(&self, slots: u32) -> u64 {
        let longest = self.tasks.iter().map(|task| task.run_us).max().unwrap_or(0);
        let work: u64 = self.tasks.iter().map(|task| task.run_us).sum();
        longest.max(work / u64::from(slots.max(1)))
    }
}

/// Shortest usual task in microseconds.
const SHORTEST_US: f64 = 50_000.0;
/// Longest usual task in microseconds.
const LONGEST_US: f64 = 1_000_000.0;
/// Share of tasks that last several seconds.
const TAIL_SHARE: f64 = 0.005;
/// Span of cancelled arrivals before a wave, in microseconds.
const WAVE_US: u64 = 500_000;

/// Makes a plan, in the order of arrival.
pub fn plan(options: &Options) -> Vec<Job> {
    let mut random = StdRng::seed_from_u64(options.seed);
    let work_us = options.seconds * 1e6 * f64::from(options.slots) * options.load;
    let mut planned = 0.0;
    let mut jobs = Vec::new();
    while planned < work_us {
        let tasks = tasks(&mut random, options);
        planned += tasks.iter().map(|task| task.run_us as f64).sum::<f64>();
        let at_us = arrival(&mut random, options);
        let instance = instance(&mut random, options);
        jobs.push(Job { at_us, instance, tasks, cancel_at_us: cancellation(at_us, options) });
    }
    jobs.sort_by_key(|job| job.at_us);
    jobs
}

fn tasks(random: &mut StdRng, options: &Options) -> Vec<Task> {
    // Most jobs are single tasks, and most tasks belong to the few large jobs.
    let size = match random.random_range(0..1_000) {
        0..600 => 1,
        600..900 => random.random_range(2..=20),
        900..990 => random.random_range(21..=200),
        _ => random.random_range(201..=1_400),
    };
    (0..size.min(options.largest_job)).map(|_| task(random, options)).collect()
}

fn task(random: &mut StdRng, options: &Options) -> Task {
    let run_us = if random.random_bool(TAIL_SHARE) {
        random.random_range(2e6..8e6)
    } else {
        random.random_range(SHORTEST_US.ln()..LONGEST_US.ln()).exp()
    };
    let wrong = options.declared_factor.max(1.0).ln();
    let factor = if wrong > 0.0 { random.random_range(-wrong..wrong).exp() } else { 1.0 };
    Task { run_us: run_us as u64, declared_us: (run_us * factor) as u64 }
}

fn arrival(random: &mut StdRng, options: &Options) -> u64 {
    let at = random.random_range(0.0..options.seconds.max(0.001));
    let every = options.burst_every;
    // The arrivals of the last second before each burst come at once.
    let at = if every > 0.0 && at % every > every - 1.0 { (at / every).ceil() * every } else { at };
    (at.min(options.seconds) * 1e6) as u64
}

fn instance(random: &mut StdRng, options: &Options) -> usize {
    if options.skew > 0.0 && random.random_bool(options.skew.min(1.0)) {
        return 0;
    }
    let first = usize::from(options.skew > 0.0 && options.instances > 1);
    random.random_range(first..options.instances.max(1))
}

fn cancellation(at_us: u64, options: &Options) -> Option<u64> {
    if options.cancel_every <= 0.0 {
        return None;
    }
    let every = (options.cancel_every * 1e6) as u64;
    let wave = (at_us / every + 1) * every;
    (wave - at_us <= WAVE_US).then_some(wave)
}
