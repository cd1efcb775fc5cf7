//! Metrics of the process in the Prometheus format.

use metrics::{counter, gauge, histogram};
use metrics_exporter_prometheus::{BuildError, PrometheusBuilder, PrometheusHandle};
use quick_error::quick_error;
use std::collections::BTreeMap;
use verbenapass::id;
use verbenapass::unit::{Bytes, Micros};
use verbenapass_fleet::crash::Permit;
use verbenapass_fleet::record::{Outcome, Summary};
use verbenapass_fleet::run::End;
use verbenapass_fleet::speed::{Counts, MAX_STEPS};

/// Upper bounds of histogram buckets, in seconds: from a network hop to the longest time limit.
const BUCKET_BOUNDS_S: [f64; 12] =
    [0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0];

quick_error! {
    /// Reason why the recorder cannot be installed.
    #[derive(Debug)]
    pub enum Error {
        /// The exporter rejects the bounds of the histogram buckets.
        Build(error: BuildError) {
            display("metrics: {}", error)
            from()
        }
        /// The process already has a recorder.
        Install(reason: String) {
            display("metrics: {}", reason)
        }
    }
}

/// Values of the gauges.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Gauges {
    /// Accepted jobs that are not answered yet.
    pub open_jobs: usize,
    /// Jobs with tasks that wait for free capacity.
    pub waiting_jobs: usize,
    /// Targets that this instance owns.
    pub owned_targets: usize,
    /// Owned targets that have accepted the ownership.
    pub held_targets: usize,
    /// Peers that are up.
    pub peers: usize,
    /// Data centres that are evacuated, as far as known.
    pub evacuated_data_centres: usize,
    /// Pairs of kinds that are kept on different targets.
    pub separated_pairs: usize,
}

/// Installs the global recorder and returns the handle that renders it. Fails if there is one already.
pub fn install() -> Result<PrometheusHandle, Error> {
    let recorder = PrometheusBuilder::new().set_buckets(&BUCKET_BOUNDS_S)?.build_recorder();
    let handle = recorder.handle();
    metrics::set_global_recorder(recorder).map_err(|error| Error::Install(error.to_string()))?;
    Ok(handle)
}

/// Counts a pause of the process and its length.
pub fn count_pause(pause: Micros) {
    counter!("verbenapass_pauses_total").increment(1);
    counter!("verbenapass_paused_microseconds_total").increment(pause.get());
}

/// Counts an answered job; records its response time if it succeeded, and its wait if it was placed.
pub fn count_job(summary: &Summary) {
    let kind = summary.kind.to_string();
    let outcome = summary.outcome.to_string();
    counter!("verbenapass_jobs_total", "kind" => kind.clone(), "outcome" => outcome).increment(1);
    counter!("verbenapass_moved_runs_total").increment(summary.moved.into());
    if summary.outcome == Outcome::Succeeded {
        let seconds = summary.elapsed.get() as f64 / 1_000.0;
        histogram!("verbenapass_job_seconds", "kind" => kind.clone()).record(seconds);
    }
    if let Some(waited) = summary.waited {
        let seconds = waited.get() as f64 / 1_000.0;
        histogram!("verbenapass_wait_seconds", "kind" => kind).record(seconds);
    }
}

/// Counts a run that ended without success.
pub fn count_run(end: End) {
    counter!("verbenapass_unsuccessful_runs_total", "end" => end.to_string()).increment(1);
}

/// Counts a crash of a target that is known from the process that took its place.
pub fn count_crash() {
    counter!("verbenapass_target_crashes_total").increment(1);
}

/// Counts a task whose starts are limited because its runs were lost with their targets.
pub fn count_limited(permit: Permit) {
    counter!("verbenapass_limited_tasks_total", "permit" => permit.to_string()).increment(1);
}

/// Counts that a kind may take down a part of the targets only, because its tasks crash them.
pub fn count_contained(kind: &id::Kind) {
    counter!("verbenapass_contained_kinds_total", "kind" => kind.to_string()).increment(1);
}

/// Counts that a data centre is evacuated, or taken back.
pub fn count_evacuation(is_evacuated: bool) {
    let evacuated = is_evacuated.to_string();
    counter!("verbenapass_evacuation_changes_total", "evacuated" => evacuated).increment(1);
}

/// Counts a frame that is sent to a peer, by its [`kind`](crate::link::Frame::kind).
pub fn count_frame(kind: &'static str) {
    counter!("verbenapass_frames_total", "kind" => kind).increment(1);
}

/// Counts an answer of the source of lists and of the configuration, by what was read.
pub fn count_read(reading: &'static str, size: Bytes) {
    counter!("verbenapass_reads_total", "reading" => reading).increment(1);
    counter!("verbenapass_read_bytes_total", "reading" => reading).increment(size.get());
}

/// Sets the counter of placements that avoided a pair of kinds to their number so far.
pub fn set_avoided_pairs(placements: u64) {
    counter!("verbenapass_avoided_pairs_total").absolute(placements);
}

/// Sets the gauge of owned targets by the step of their factor, and the counters of tasks that need a
/// fast target.
pub fn set_speeds(targets: &BTreeMap<i32, usize>, counts: Counts) {
    for steps in -MAX_STEPS..=MAX_STEPS {
        let number = targets.get(&steps).copied().unwrap_or_default();
        gauge!("verbenapass_targets_by_speed", "steps" => steps.to_string()).set(number as f64);
    }
    counter!("verbenapass_speed_waits_total").absolute(counts.waited);
    counter!("verbenapass_late_placements_total").absolute(counts.late);
}

/// Sets all gauges; the caller repeats this at a fixed interval.
pub fn set_gauges(gauges: &Gauges) {
    gauge!("verbenapass_open_jobs").set(gauges.open_jobs as f64);
    gauge!("verbenapass_waiting_jobs").set(gauges.waiting_jobs as f64);
    gauge!("verbenapass_owned_targets").set(gauges.owned_targets as f64);
    gauge!("verbenapass_held_targets").set(gauges.held_targets as f64);
    gauge!("verbenapass_peers").set(gauges.peers as f64);
    gauge!("verbenapass_evacuated_data_centres").set(gauges.evacuated_data_centres as f64);
    gauge!("verbenapass_separated_pairs").set(gauges.separated_pairs as f64);
}
