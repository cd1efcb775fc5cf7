//! A fake fleet on a virtual clock and the jobs that are offered to it.
//!
//! The fleet has only what routing depends on: slots, run times, a fixed delay for each message and
//! the faults of single parts. It is no model of a network or of an operating system.

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

/// Limit between the two ordinary kinds of task, in microseconds.
const SHORT_KIND_US: u64 = 200_000;

/// Size of the fleet and of the load offered to it.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Shape {
    /// Entry instances.
    pub instances: usize,
    /// Targets.
    pub targets: usize,
    /// Slots of each target.
    pub slots: u32,
    /// One-way delay of a message, in microseconds.
    pub hop_us: u64,
    /// Offered load as a fraction of the slots.
    pub load: f64,
    /// Fraction of the jobs that arrive at the first instance; the rest is spread equally over
    /// all. Zero spreads all jobs equally.
    pub skew: f64,
    /// Largest job, in tasks.
    pub largest_job: u32,
    /// Exponent of the bounded Pareto distribution of job sizes.
    pub size_exponent: f64,
    /// Fraction of the tasks that last 1 to 5 s. The others last 50 ms to 1 s, log-uniform.
    pub tail: f64,
    /// Time during which jobs arrive, in seconds.
    pub seconds: u64,
    /// Jobs that arrive in the first seconds are not measured.
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

/// One job of the load.
#[derive(Clone, Debug)]
pub struct Job {
    /// Arrival at the instance, in microseconds.
    pub arrived: u64,
    /// The instance that it arrives at.
    pub instance: usize,
    /// Its team.
    pub team: usize,
    /// Run time of each task, in microseconds.
    pub runs: Vec<u64>,
    /// Response time on an idle fleet, in microseconds.
    pub ideal: u64,
}

impl Shape {
    /// Returns the slots of the fleet.
    pub const fn capacity(&self) -> u32 {
        self.targets as u32 * self.slots
    }

    /// Returns the mean run time of a task in microseconds.
    pub fn mean_run_us(&self) -> f64 {
        let body = (LONGEST_RUN_US - SHORTEST_RUN_US) / (LONGEST_RUN_US / SHORTEST_RUN_US).ln();
        let tail = (LONGEST_RUN_US + LONGEST_TAIL_US) / 2.0;
        (1.0 - self.tail) * body + self.tail * tail
    }

    /// Returns the mean size of a job in tasks.
    pub fn mean_size(&self) -> f64 {
        let mut rng = StdRng::seed_from_u64(0);
        let count = 200_000;
        (0..count).map(|_| self.sample_size(&mut rng) as f64).sum::<f64>() / f64::from(count)
    }

    fn sample_size(&self, rng: &mut StdRng) -> usize {
        // Inverse of the bounded Pareto distribution on [1, largest + 1), rounded down.
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
        // The first instance gets exactly the skewed fraction in total.
        let others = self.instances.max(2) - 1;
        if self.skew > 0.0 {
            if rng.random_bool(self.skew) { 0 } else { 1 + rng.random_range(0..others) }
        } else {
            rng.random_range(0..self.instances)
        }
    }

    /// Returns the jobs of one team that offers a fraction `load` of the capacity.
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
            let runs: Vec<u64> = (0..size).map(|_| self.sample_run(&mut rng)).collect();
            let instance = self.sample_instance(&mut rng);
            let ideal = self.ideal(&runs);
            jobs.push(Job { arrived: at as u64, instance, team, runs, ideal });
        }
    }

    /// Returns the response time of a job that has the fleet for itself: its tasks in order, each
    /// on the first free slot, and one round trip.
    fn ideal(&self, runs: &[u64]) -> u64 {
        let capacity = self.capacity() as usize;
        let round_trip = 2 * self.hop_us;
        let mut ends: BinaryHeap<Reverse<u64>> = BinaryHeap::new();
        let mut last = 0;
        for run in runs {
            let begin = if ends.len() < capacity { 0 } else { ends.pop().map_or(0, |end| end.0) };
            let end = begin + run + round_trip;
            last = last.max(end);
            ends.push(Reverse(end));
        }
        last
    }
}

/// Returns the kind of a task, as it would be named in the settings.
pub const fn kind(run: u64) -> usize {
    if run < SHORT_KIND_US {
        0
    } else if run < LONGEST_RUN_US as u64 {
        1
    } else {
        2
    }
}
