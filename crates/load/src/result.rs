//! Results of `verbenapass-load run`, as JSON files and as tables.

use crate::audit::Audit;
use crate::error::Error;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::Path;

/// Mean and quantiles of a histogram; all zero if it has no values.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct Quantiles {
    /// Number of recorded values.
    pub count: u64,
    /// Arithmetic mean of the values.
    pub mean: f64,
    /// Median.
    pub p50: f64,
    /// 90th percentile.
    pub p90: f64,
    /// 99th percentile.
    pub p99: f64,
    /// 99.9th percentile.
    pub p999: f64,
    /// Largest value recorded.
    pub max: f64,
}

impl Quantiles {
    /// Computes the quantiles of a histogram, whose values are divided by `scale`.
    pub fn new(histogram: &Histogram<u64>, scale: f64) -> Self {
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 / scale;
        Self {
            count: histogram.len(),
            mean: histogram.mean() / scale,
            p50: at(0.5),
            p90: at(0.9),
            p99: at(0.99),
            p999: at(0.999),
            max: histogram.max() as f64 / scale,
        }
    }
}

/// Result of one run, the content of a result file.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct Summary {
    /// Name of the preset that determines the installation.
    pub preset: String,
    /// Seed with which the workload was generated.
    pub seed: u64,
    /// Offered load as a share of the slots.
    pub load: f64,
    /// Time from the start of the workload to the last answer, in seconds.
    pub seconds: f64,
    /// Number of jobs submitted.
    pub jobs: u64,
    /// Number of tasks in the submitted jobs.
    pub tasks: u64,
    /// Number of jobs by the code of the final answer; `none` counts those without an answer.
    pub outcomes: BTreeMap<String, u64>,
    /// Number of refused jobs by reason.
    pub refusals: BTreeMap<String, u64>,
    /// Response time divided by the ideal response time, of complete jobs that no caller cancelled.
    pub ratio: Quantiles,
    /// Response time of the same jobs, in milliseconds.
    pub response_ms: Quantiles,
    /// Round trip to a target without an entry instance before the load starts, in milliseconds.
    pub round_trip_ms: Quantiles,
    /// Number of task runs recorded by the targets.
    pub runs: u64,
    /// Number of messages by kind: those that targets and platform received, and those that entry
    /// instances counted.
    pub messages: BTreeMap<String, u64>,
    /// Overhead messages of the entry instances for each run: all messages beyond one start and one
    /// answer.
    pub wasted_per_task: f64,
    /// Numbers of violated guarantees.
    pub audit: Audit,
}

impl Summary {
    /// Reads a result file; fields that it lacks are zero or empty.
    pub fn read(path: &Path) -> Result<Self, Error> {
        let text =
            std::fs::read_to_string(path).map_err(|cause| Error::File(path.into(), cause))?;
        serde_json::from_str(&text).map_err(|cause| Error::File(path.into(), cause.into()))
    }

    /// Writes a result file as indented JSON, replacing an existing file.
    pub fn write(&self, path: &Path) -> Result<(), Error> {
        let text = serde_json::to_string_pretty(self).unwrap_or_default();
        std::fs::write(path, text + "\n").map_err(|cause| Error::File(path.into(), cause))
    }

    /// Returns name and formatted value of all figures, in the order of the table.
    pub fn figures(&self) -> Vec<(String, String)> {
        let mut figures = vec![
            ("preset".into(), self.preset.clone()),
            ("seed".into(), self.seed.to_string()),
            ("load".into(), format!("{:.2}", self.load)),
            ("seconds".into(), format!("{:.1}", self.seconds)),
            ("jobs".into(), self.jobs.to_string()),
            ("tasks".into(), self.tasks.to_string()),
            ("runs at targets".into(), self.runs.to_string()),
        ];
        let quantiles = [
            ("response / ideal", self.ratio),
            ("response ms", self.response_ms),
            ("round trip ms", self.round_trip_ms),
        ];
        for (name, values) in quantiles {
            let parts = [
                ("p50", values.p50),
                ("p90", values.p90),
                ("p99", values.p99),
                ("p99.9", values.p999),
                ("max", values.max),
            ];
            for (part, value) in parts {
                figures.push((format!("{name} {part}"), format!("{value:.3}")));
            }
        }
        for (prefix, counts) in
            [("outcome", &self.outcomes), ("refusal", &self.refusals), ("message", &self.messages)]
        {
            for (name, count) in counts {
                figures.push((format!("{prefix} {name}"), count.to_string()));
            }
        }
        let audit = &self.audit;
        let violations = [
            ("double starts", audit.double_starts),
            ("double tasks", audit.double_tasks),
            ("lost tasks", audit.lost_tasks),
            ("wrong answers", audit.wrong_answers),
            ("false not run", audit.false_not_run),
            ("unanswered callers", audit.unanswered),
        ];
        figures.push(("wasted messages / task".into(), format!("{:.4}", self.wasted_per_task)));
        figures.extend(violations.map(|(name, count)| (name.into(), count.to_string())));
        figures
    }
}

/// Formats results as a table with one column each. A result that lacks a figure shows `-`.
pub fn table(columns: &[(&str, &Summary)]) -> String {
    let figures: Vec<BTreeMap<String, String>> =
        columns.iter().map(|(_, summary)| summary.figures().into_iter().collect()).collect();
    let mut names: Vec<String> = Vec::new();
    for (_, summary) in columns {
        for (name, _) in summary.figures() {
            if !names.contains(&name) {
                names.push(name);
            }
        }
    }
    let mut text = String::new();
    let _ = write!(text, "{:<28}", "");
    for (title, _) in columns {
        let _ = write!(text, " {title:>16}");
    }
    text.push('\n');
    for name in names {
        let _ = write!(text, "{name:<28}");
        for column in &figures {
            let _ = write!(text, " {:>16}", column.get(&name).map_or("-", String::as_str));
        }
        text.push('\n');
    }
    text
}
