//! What a target ran, for checks that nothing ran twice and nothing was lost.

use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// One run of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Record {
    /// The start.
    pub start: String,
    /// The target.
    pub target: String,
    /// The team.
    pub team: String,
    /// The kind.
    pub kind: String,
    /// Text of the payload.
    pub echo: String,
    /// When the task began, in microseconds since the Unix epoch.
    pub begun_us: u64,
    /// Deadline of the start, in microseconds since the Unix epoch.
    pub deadline_us: u64,
}

/// Counts of messages at a target.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Counts {
    /// Connections accepted.
    pub connections: u64,
    /// Connections over the limit, answered with `busy` and closed.
    pub refused_connections: u64,
    /// Requests to start a task.
    pub starts: u64,
    /// Requests for the outcome of a start.
    pub queries: u64,
    /// Starts refused for lack of a free slot.
    pub busy: u64,
    /// Starts refused because the target is leaving.
    pub draining: u64,
    /// Starts refused because their deadline had passed.
    pub expired: u64,
}

/// Answer of `GET /v1/runs`, with the records only for `?records=true`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Runs {
    /// Number of runs.
    pub runs: u64,
    /// Starts that ran more than once, in order.
    pub double_starts: Vec<String>,
    /// Non-empty texts of payloads that ran more than once, in order.
    pub double_echoes: Vec<String>,
    /// Counts of messages.
    pub counts: Counts,
    /// Every run in order.
    #[serde(default)]
    pub records: Vec<Record>,
}

impl Runs {
    /// Summarises records.
    pub fn new(records: Vec<Record>, counts: Counts) -> Self {
        Self {
            runs: records.len() as u64,
            double_starts: doubles(records.iter().map(|record| record.start.as_str())),
            double_echoes: doubles(records.iter().map(|record| record.echo.as_str())),
            counts,
            records,
        }
    }

    /// Joins the runs of several targets.
    pub fn merge(all: impl IntoIterator<Item = Self>) -> Self {
        let mut counts = Counts::default();
        let mut records = Vec::new();
        for runs in all {
            counts.add(&runs.counts);
            records.extend(runs.records);
        }
        records.sort_by_key(|record| record.begun_us);
        Self::new(records, counts)
    }
}

impl Counts {
    /// Adds the counts of another target.
    pub fn add(&mut self, other: &Self) {
        self.connections += other.connections;
        self.refused_connections += other.refused_connections;
        self.starts += other.starts;
        self.queries += other.queries;
        self.busy += other.busy;
        self.draining += other.draining;
        self.expired += other.expired;
    }
}

fn doubles<'a>(texts: impl Iterator<Item = &'a str>) -> Vec<String> {
    let mut counts: HashMap<&str, u32> = HashMap::new();
    for text in texts.filter(|text| !text.is_empty()) {
        *counts.entry(text).or_default() += 1;
    }
    let mut doubles: Vec<String> =
        counts.into_iter().filter(|(_, count)| *count > 1).map(|(text, _)| text.into()).collect();
    doubles.sort();
    doubles
}
