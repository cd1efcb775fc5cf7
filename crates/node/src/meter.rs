//! Counters and histograms.

use metrics::{counter, gauge, histogram};
use metrics_exporter_prometheus::{BuildError, PrometheusBuilder, PrometheusHandle};
use quick_error::quick_error;
use verbenapass_fleet::record::{Outcome, Summary};
use verbenapass_fleet::run::End;

/// Upper bounds of the classes of a histogram, in seconds: from a hop to the longest time limit.
const BOUNDS_S: [f64; 12] = [0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0];

quick_error! {
    /// Why there are no metrics.
    #[derive(Debug)]
    pub enum Error {
        /// The bounds of the histograms are not accepted.
        Build(error: BuildError) {
            display("metrics: {}", error)
            from()
        }
        /// A recorder was there before.
        Install(reason: String) {
            display("metrics: {}", reason)
        }
    }
}

/// State of the process, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    /// Jobs that were accepted and not answered.
    pub open_jobs: usize,
    /// Jobs that wait for room.
    pub waiting_jobs: usize,
    /// Targets that this instance owns.
    pub owned_targets: usize,
    /// Peers that can be reached.
    pub peers: usize,
}

/// Installs the recorder of the process.
pub fn install() -> Result<PrometheusHandle, Error> {
    let recorder = PrometheusBuilder::new().set_buckets(&BOUNDS_S)?.build_recorder();
    let handle = recorder.handle();
    metrics::set_global_recorder(recorder).map_err(|error| Error::Install(error.to_string()))?;
    Ok(handle)
}

/// Counts a job that was answered.
pub fn job(summary: &Summary) {
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

/// Counts a run that ended other than by success.
pub fn run(end: End) {
    counter!("verbenapass_unsuccessful_runs_total", "end" => end.to_string()).increment(1);
}

/// Sets the gauges.
pub fn figures(figures: &Figures) {
    gauge!("verbenapass_open_jobs").set(figures.open_jobs as f64);
    gauge!("verbenapass_waiting_jobs").set(figures.waiting_jobs as f64);
    gauge!("verbenapass_owned_targets").set(figures.owned_targets as f64);
    gauge!("verbenapass_peers").set(figures.peers as f64);
}
