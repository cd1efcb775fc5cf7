//! Generates open-loop workloads. The same options give the same jobs.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};

/// Parameters of a workload.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Options {
    /// Seed of the random number generator.
    pub seed: u64,
    /// Time over which jobs arrive, in seconds.
    pub seconds: f64,
    /// Number of tasks that all targets together run at once.
    pub slots: u32,
    /// Offered load: the mean share of the slots that the tasks occupy; above 1 is overload.
    pub load: f64,
    /// Number of entry instances.
    pub instances: usize,
    /// Share of jobs that go to the first entry instance. The others are spread evenly over the
    /// other instances; zero spreads all jobs evenly over all instances.
    pub skew: f64,
    /// Largest error of declared run times: each task declares its run time multiplied or divided by
    /// a random factor up to this one. 1 declares exact run times.
    pub declared_factor: f64,
    /// Interval between bursts in seconds; the jobs of the second before a burst all arrive at its
    /// moment. Zero for no bursts.
    pub burst_every: f64,
    /// Interval between cancellation waves in seconds; a wave cancels the jobs that arrived in the
    /// last half second. Zero for no cancellations.
    pub cancel_every: f64,
    /// Upper bound on the number of tasks of a job.
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

/// A job of the workload.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Job {
    /// Arrival time in microseconds since the start of the run.
    pub at_us: u64,
    /// Index of the entry instance that gets the job.
    pub instance: usize,
    /// Tasks in the order of submission.
    pub tasks: Vec<Task>,
    /// When the caller cancels the job, in microseconds since the start of the run; `None` if it
    /// never does.
    pub cancel_at_us: Option<u64>,
}

/// A task of the workload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Task {
    /// Time that the task runs at a target, in microseconds.
    pub run_us: u64,
    /// Run time that the caller declares to the dispatcher, in microseconds.
    pub declared_us: u64,
}

impl Job {
    /// Returns a lower bound on the response time on an idle fleet without network, in microseconds:
    /// the longest task or the total run time divided by the slots, whichever is longer.
    pub fn ideal_us(&self, slots: u32) -> u64 {
        let longest = self.tasks.iter().map(|task| task.run_us).max().unwrap_or(0);
        let work: u64 = self.tasks.iter().map(|task| task.run_us).sum();
        longest.max(work / u64::from(slots.max(1)))
    }
}

/// Shortest run time of a task, in microseconds.
const SHORTEST_RUN_US: f64 = 50_000.0;
/// Longest run time of a task outside the tail, in microseconds.
const LONGEST_RUN_US: f64 = 1_000_000.0;
/// Share of tasks in the tail, which run for several seconds.
const TAIL_SHARE: f64 = 0.005;
/// A cancellation wave cancels the jobs that arrived within this time before it, in microseconds.
const CANCEL_WINDOW_US: u64 = 500_000;

/// Generates the jobs in order of arrival. Adds jobs until their run times reach the offered load,
/// so the last job generated may exceed it.
pub fn plan(options: &Options) -> Vec<Job> {
    let mut random = StdRng::seed_from_u64(options.seed);
    let work_us = options.seconds * 1e6 * f64::from(options.slots) * options.load;
    let mut generated_us = 0.0;
    let mut jobs = Vec::new();
    while generated_us < work_us {
        let tasks = tasks(&mut random, options);
        generated_us += tasks.iter().map(|task| task.run_us as f64).sum::<f64>();
        let at_us = arrival(&mut random, options);
        let instance = instance(&mut random, options);
        jobs.push(Job { at_us, instance, tasks, cancel_at_us: cancellation(at_us, options) });
    }
    jobs.sort_by_key(|job| job.at_us);
    jobs
}

fn tasks(random: &mut StdRng, options: &Options) -> Vec<Task> {
    // Most jobs have a single task, and most tasks belong to a few large jobs.
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
        random.random_range(SHORTEST_RUN_US.ln()..LONGEST_RUN_US.ln()).exp()
    };
    let log_bound = options.declared_factor.max(1.0).ln();
    let factor =
        if log_bound > 0.0 { random.random_range(-log_bound..log_bound).exp() } else { 1.0 };
    Task { run_us: run_us as u64, declared_us: (run_us * factor) as u64 }
}

fn arrival(random: &mut StdRng, options: &Options) -> u64 {
    let at = random.random_range(0.0..options.seconds.max(0.001));
    let every = options.burst_every;
    // Jobs of the second before a burst arrive at the moment of the burst.
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
    (wave - at_us <= CANCEL_WINDOW_US).then_some(wave)
}
