//! Prometheus metrics. METRICS.md lists them with their meaning and unit.

use crate::clock;
use crate::control::Stats;
use metrics::{
    Counter, Unit, counter, describe_counter, describe_gauge, describe_histogram, gauge, histogram,
};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use metrics_util::MetricKindMask;
use std::sync::OnceLock;
use std::time::Duration;
use verbenapass::id;
use verbenapass::start::{self, NotRun};
use verbenapass_proto::caller::Code;

/// Upper bounds of the buckets of all histograms, in seconds.
const BUCKETS: [f64; 14] =
    [0.000_25, 0.000_5, 0.001, 0.002_5, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0];
/// Time without updates after which a series is dropped, such as that of a removed team.
const IDLE_TIMEOUT: Duration = Duration::from_secs(24 * 3_600);
/// Interval at which to call [`PrometheusHandle::run_upkeep`], which bounds the memory of
/// histograms.
pub const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();

/// Values of the label `kind` of `verbenapass_messages_total`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// First start of a task, sent to a target.
    Start,
    /// Answer of a target to a start, valid or not, apart from refusals.
    Answer,
    /// Query to a target about a start without an answer.
    Probe,
    /// Answer of a target that it did not run a task.
    Refusal,
    /// Start of a task after an earlier one did not run.
    Retry,
    /// Report sent to or received from a peer.
    Report,
    /// Call to the platform about claims.
    Claim,
    /// Call about settings to the platform, or to or from a peer.
    Settings,
    /// Query or cancellation of a job, sent to or received from a peer.
    Job,
    /// Read of the platform's instance list.
    List,
}

impl Kind {
    const ALL: [Self; 10] = [
        Self::Start,
        Self::Answer,
        Self::Probe,
        Self::Refusal,
        Self::Retry,
        Self::Report,
        Self::Claim,
        Self::Settings,
        Self::Job,
        Self::List,
    ];

    const fn label(self) -> &'static str {
        match self {
            Self::Start => "start",
            Self::Answer => "answer",
            Self::Probe => "probe",
            Self::Refusal => "refusal",
            Self::Retry => "retry",
            Self::Report => "report",
            Self::Claim => "claim",
            Self::Settings => "settings",
            Self::Job => "job",
            Self::List => "list",
        }
    }

    fn counter(self) -> Counter {
        counter!("verbenapass_messages_total", "kind" => self.label())
    }
}

/// Installs the process-wide recorder on the first call. Returns the handle that renders the
/// metrics.
pub fn handle() -> &'static PrometheusHandle {
    HANDLE.get_or_init(|| {
        let builder = PrometheusBuilder::new()
            .set_buckets(&BUCKETS)
            .expect("the list of buckets is not empty")
            .idle_timeout(MetricKindMask::COUNTER | MetricKindMask::HISTOGRAM, Some(IDLE_TIMEOUT));
        let recorder = builder.build_recorder();
        let handle = recorder.handle();
        // Fails only if another recorder is installed already, which then receives the metrics.
        let _ = metrics::set_global_recorder(recorder);
        describe();
        handle
    })
}

fn describe() {
    describe_counter!("verbenapass_jobs_total", "Answers to job submissions, by team and code.");
    describe_histogram!(
        "verbenapass_job_seconds",
        Unit::Seconds,
        "Time from the arrival of a submission to its answer, by team."
    );
    describe_counter!("verbenapass_rejected_total", "Invalid requests, by reason.");
    describe_counter!("verbenapass_starts_total", "Finished starts, by team and result.");
    describe_histogram!(
        "verbenapass_start_seconds",
        Unit::Seconds,
        "Time from sending a start to its result."
    );
    describe_counter!("verbenapass_messages_total", "Messages sent or received, by kind.");
    describe_counter!("verbenapass_connections_total", "Connections opened to targets.");
    describe_counter!("verbenapass_platform_errors_total", "Failed platform calls, by call.");
    describe_counter!("verbenapass_peer_errors_total", "Failed peer calls, by step.");
    describe_counter!(
        "verbenapass_surplus_answers_total",
        "Discarded answers of targets, by reason."
    );
    describe_counter!(
        "verbenapass_lost_starts_total",
        "Starts whose result is still missing long after their deadline."
    );
    describe_gauge!("verbenapass_open_jobs", "Jobs without a final answer.");
    describe_gauge!(
        "verbenapass_evacuated_data_centres",
        "Data centres that the settings in force evacuate."
    );
    describe_gauge!(
        "verbenapass_evacuated_starts",
        "Starts without a result on targets of evacuated data centres."
    );
    describe_gauge!("verbenapass_peers", "Other entry instances on the list, by state.");
    describe_gauge!(
        "verbenapass_platform_up",
        "1 if the last poll of the platform succeeded, else 0."
    );
    describe_counter!(
        "verbenapass_cpu_microseconds_total",
        Unit::Microseconds,
        "CPU time, by part of the process."
    );
    for kind in Kind::ALL {
        kind.counter().increment(0);
    }
}

/// Counts an answer to a submission and records the seconds since the submission arrived.
pub fn job(team: &id::Team, code: Code, seconds: f64) {
    let team = team.to_string();
    counter!("verbenapass_jobs_total", "team" => team.clone(), "code" => code_label(code))
        .increment(1);
    histogram!("verbenapass_job_seconds", "team" => team).record(seconds);
}

/// Counts a request that was rejected as invalid. `reason` is the one in the answer.
pub fn rejected(reason: &'static str) {
    counter!("verbenapass_rejected_total", "reason" => reason).increment(1);
}

/// Counts the result of a start, also as a message if a target answered, and records the seconds
/// since it was sent.
pub fn start(team: &id::Team, result: &start::Result, seconds: f64) {
    let label = match result {
        start::Result::Answered(_) => "answered",
        start::Result::NotRun(NotRun::ConnectFailed) => "connect_failed",
        start::Result::NotRun(NotRun::Lapsed) => "lapsed",
        start::Result::NotRun(NotRun::Busy) => "busy",
        start::Result::NotRun(NotRun::Draining) => "draining",
        start::Result::NotRun(NotRun::Expired) => "expired",
        start::Result::Failed { .. } => "failed",
        start::Result::Unknown { .. } => "unknown",
        start::Result::Running => "running",
        start::Result::Unreachable => "unreachable",
    };
    counter!("verbenapass_starts_total", "team" => team.to_string(), "result" => label)
        .increment(1);
    histogram!("verbenapass_start_seconds").record(seconds);
    match result {
        start::Result::NotRun(NotRun::Busy | NotRun::Draining | NotRun::Expired) => {
            message(Kind::Refusal);
        }
        start::Result::Answered(_) | start::Result::Failed { .. } => message(Kind::Answer),
        _ => {}
    }
}

/// Counts a message whose kind is not counted by [`start()`] or [`record_stats`].
pub fn message(kind: Kind) {
    kind.counter().increment(1);
}

/// Counts a connection that was opened to a target.
pub fn connection() {
    counter!("verbenapass_connections_total").increment(1);
}

/// Records whether the last poll of the platform succeeded.
pub fn platform_up(is_up: bool) {
    gauge!("verbenapass_platform_up").set(if is_up { 1.0 } else { 0.0 });
}

/// Counts a failed call to the platform; `call` is the label.
pub fn platform_error(call: &'static str) {
    counter!("verbenapass_platform_errors_total", "call" => call).increment(1);
}

/// Counts a failed call to a peer; `step` is the label.
pub fn peer_error(step: &'static str) {
    counter!("verbenapass_peer_errors_total", "step" => step).increment(1);
}

/// Sets the metrics that the control thread keeps to their present values. Call it before
/// rendering.
pub fn record_stats(stats: &Stats) {
    let counters = &stats.counters;
    let retries = counters.retries;
    Kind::Start.counter().absolute(counters.starts.saturating_sub(retries));
    Kind::Retry.counter().absolute(retries);
    Kind::Probe.counter().absolute(counters.queries);
    for (reason, count) in [
        ("late", counters.late_answers),
        ("doubled", counters.duplicate_answers),
        ("mismatched", counters.mismatched_answers),
        ("oversized", counters.oversized_answers),
    ] {
        counter!("verbenapass_surplus_answers_total", "reason" => reason).absolute(count);
    }
    counter!("verbenapass_lost_starts_total").absolute(counters.lost_starts);
    gauge!("verbenapass_open_jobs").set(stats.open_jobs as f64);
    gauge!("verbenapass_evacuated_data_centres").set(stats.evacuated_data_centres as f64);
    gauge!("verbenapass_evacuated_starts").set(stats.evacuated_starts as f64);
    let reachable = stats.links.iter().filter(|link| link.reachable).count();
    gauge!("verbenapass_peers", "state" => "reachable").set(reachable as f64);
    gauge!("verbenapass_peers", "state" => "unreachable")
        .set((stats.links.len() - reachable) as f64);
    for (part, time) in [("process", clock::process_cpu()), ("control", stats.control_cpu)] {
        counter!("verbenapass_cpu_microseconds_total", "part" => part)
            .absolute(time.as_micros() as u64);
    }
}

const fn code_label(code: Code) -> &'static str {
    match code {
        Code::Accepted => "accepted",
        Code::Running => "running",
        Code::Complete => "complete",
        Code::Failed => "failed",
        Code::Refused => "refused",
        Code::Unknown => "unknown",
        Code::Expired => "expired",
        Code::Cancelled => "cancelled",
        Code::NotFound => "not_found",
        Code::OwnerGone => "owner_gone",
        Code::OwnerUnreachable => "owner_unreachable",
        Code::Invalid => "invalid",
    }
}
