//! Parameters of the simulated fleet and generation of its load.
//!
//! The simulation covers what routing depends on: slots, run times, a fixed delay for each message
//! and faults of single targets and instances. It does not model a network or an operating system.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Shortest run time of a task, in microseconds.
const SHORTEST_RUN_US: f64 = 50_000.0;

/// Longest run time outside the tail, in microseconds.
const LONGEST_RUN_US: f64 = 1_000_000.0;

/// Longest run time in the tail, in microseconds.
const LONGEST_TAIL_US: f64 = 5_000_000.0;

/// Run time from which a task is of the second kind instead of the first, in microseconds.
const SHORT_KIND_US: u64 = 200_000;

/// Parameters of the simulated fleet and of its load.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Shape {
    /// Number of entry instances.
    pub instances: usize,
    /// Number of targets.
    pub targets: usize,
    /// Slots of each target, the number of tasks that it runs at the same time.
    pub slots: u32,
    /// One-way delay of a message, in microseconds.
    pub hop_us: u64,
    /// Offered load as a fraction of the capacity; above 1 the fleet is overloaded.
    pub load: f64,
    /// Fraction of the jobs that arrive at the first instance; the others are spread equally over
    /// the other instances. Zero spreads all jobs equally over all instances.
    pub skew: f64,
    /// Maximum number of tasks of a job.
    pub largest_job: u32,
    /// Exponent of the bounded Pareto distribution of job sizes.
    pub size_exponent: f64,
    /// Fraction of the tasks that last 1 to 5 s. The run times of the others are log-uniform, 50 ms to
    /// 1 s.
    pub tail: f64,
    /// Time during which jobs arrive, in seconds.
    pub seconds: u64,
    /// Warm-up in seconds; the response times of jobs that arrive in it are not measured.
    pub warm_up_seconds: u64,
}

impl Default for Shape {
    fn default() -> Self {
        Self {
            instances: 7,
            targets: 48,
            slots: 8,
            hop_us: 500,
            load: 0.8,
            skew: 0.0,
            largest_job: 1_400,
            size_exponent: 1.0,
            tail: 0.02,
            seconds: 150,
            warm_up_seconds: 30,
        }
    }
}

/// One job of the generated load.
#[derive(Clone, Debug)]
pub struct Job {
    /// Time of arrival at the instance, in microseconds.
    pub arrived: u64,
    /// Index of the instance at which it arrives.
    pub instance: usize,
    /// Index of the team that submits it.
    pub team: usize,
    /// Run time of each task, in microseconds.
    pub run_times: Vec<u64>,
    /// Response time on an otherwise idle fleet, in microseconds. The slowdown is measured
    /// against it.
    pub ideal: u64,
}

impl Shape {
    /// Returns the total number of slots of the fleet.
    pub const fn capacity(&self) -> u32 {
        self.targets as u32 * self.slots
    }

    /// Returns the mean of the run time distribution, in microseconds.
    pub fn mean_run_us(&self) -> f64 {
        let body = (LONGEST_RUN_US - SHORTEST_RUN_US) / (LONGEST_RUN_US / SHORTEST_RUN_US).ln();
        let tail = (LONGEST_RUN_US + LONGEST_TAIL_US) / 2.0;
        (1.0 - self.tail) * body + self.tail * tail
    }

    /// Returns the mean number of tasks of a job, estimated from 200,000 samples with a fixed seed.
    pub fn mean_size(&self) -> f64 {
        let mut rng = StdRng::seed_from_u64(0);
        let count = 200_000;
        (0..count).map(|_| self.sample_size(&mut rng) as f64).sum::<f64>() / f64::from(count)
    }

    fn sample_size(&self, rng: &mut StdRng) -> usize {
        // Inverse transform sampling of the bounded Pareto distribution on [1, largest + 1),
        // rounded down.
        let a = self.size_exponent;
        let high = f64::from(self.largest_job) + 1.0;
        let u: f64 = rng.random();
        let x = (1.0 - u * (1.0 - high.powf(-a))).powf(-1.0 / a);
        (x as usize).clamp(1, self.largest_job as usize)
    }

    fn sample_run(&self, rng: &mut StdRng) -> u64 {
        if rng.random_bool(self.tail) {
            return rng.random_range(LONGEST_RUN_US..LONGEST_TAIL_US) as u64;
        }
        let u: f64 = rng.random();
        (SHORTEST_RUN_US * (LONGEST_RUN_US / SHORTEST_RUN_US).powf(u)) as u64
    }

    fn sample_instance(&self, rng: &mut StdRng) -> usize {
        // The first instance takes no part in the equal spread, so its fraction is exactly `skew`.
        let others = self.instances.max(2) - 1;
        if self.skew > 0.0 {
            if rng.random_bool(self.skew) { 0 } else { 1 + rng.random_range(0..others) }
        } else {
            rng.random_range(0..self.instances)
        }
    }

    /// Generates the jobs of one team that offers a fraction `load` of the capacity, with Poisson
    /// arrivals, in the order of arrival. The result depends only on the arguments and the shape.
    pub fn jobs(&self, team: usize, load: f64, seed: u64) -> Vec<Job> {
        let mut rng = StdRng::seed_from_u64(seed);
        let work_us = self.mean_run_us() * self.mean_size();
        let jobs_per_us = load * f64::from(self.capacity()) / work_us;
        let mut jobs = Vec::new();
        let mut at = 0.0;
        loop {
            let u: f64 = rng.random();
            at += -(1.0 - u).ln() / jobs_per_us;
            if at >= self.seconds as f64 * 1e6 {
                return jobs;
            }
            let size = self.sample_size(&mut rng);
            let run_times: Vec<u64> = (0..size).map(|_| self.sample_run(&mut rng)).collect();
            let instance = self.sample_instance(&mut rng);
            let ideal = self.ideal(&run_times);
            jobs.push(Job { arrived: at as u64, instance, team, run_times, ideal });
        }
    }

    /// Returns the response time of a job that has the fleet to itself: its tasks start in order,
    /// each on the first free slot, and each takes one round trip in addition to its run time.
    fn ideal(&self, run_times: &[u64]) -> u64 {
        let capacity = self.capacity() as usize;
        let round_trip = 2 * self.hop_us;
        let mut ends: BinaryHeap<Reverse<u64>> = BinaryHeap::new();
        let mut last = 0;
        for run in run_times {
            let begin = if ends.len() < capacity { 0 } else { ends.pop().map_or(0, |end| end.0) };
            let end = begin + run + round_trip;
            last = last.max(end);
            ends.push(Reverse(end));
        }
        last
    }
}

/// Returns the kind of a task by its run time in microseconds: 0 for short, 1 for medium, 2 for the
/// tail.
pub const fn kind(run: u64) -> usize {
    if run < SHORT_KIND_US {
        0
    } else if run < LONGEST_RUN_US as u64 {
        1
    } else {
        2
    }
}
