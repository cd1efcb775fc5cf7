//! Records of the tasks that targets ran, to check that no task was run twice or lost.

use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// Record of one run of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Record {
    /// Id of the start, from the request path.
    pub start: String,
    /// Name of the target that ran the task.
    pub target: String,
    /// Name of the team; empty if the request did not give it.
    pub team: String,
    /// Kind of the task; empty if the request did not give it.
    pub kind: String,
    /// Text of the payload; tests use it to identify the task.
    pub echo: String,
    /// When the task began, in microseconds since the Unix epoch.
    pub begun_us: u64,
    /// Deadline of the start, in microseconds since the Unix epoch; `u64::MAX` if none was given.
    pub deadline_us: u64,
}

/// Counts of connections and requests at a target since its start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Counts {
    /// Connections accepted, also those over the limit.
    pub connections: u64,
    /// Connections over the limit; a request on them is answered with `busy` and the connection
    /// closed.
    pub refused_connections: u64,
    /// Requests to start a task, also refused ones.
    pub starts: u64,
    /// Requests for the outcome of a start.
    pub queries: u64,
    /// Starts refused for lack of a free slot.
    pub busy: u64,
    /// Starts refused because the target is draining.
    pub draining: u64,
    /// Starts refused because their deadline had passed.
    pub expired: u64,
}

/// Answer of `GET /v1/runs`, with the records only for `?records=true`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Runs {
    /// Number of runs, also if `records` is left out.
    pub runs: u64,
    /// Ids of the starts that ran more than once, sorted.
    pub double_starts: Vec<String>,
    /// Payload texts, except the empty one, that ran more than once, sorted.
    pub double_echoes: Vec<String>,
    /// Counts of connections and requests.
    pub counts: Counts,
    /// Every run, ordered by `begun_us`.
    #[serde(default)]
    pub records: Vec<Record>,
}

impl Runs {
    /// Creates the summary of `records`.
    pub fn new(records: Vec<Record>, counts: Counts) -> Self {
        Self {
            runs: records.len() as u64,
            double_starts: duplicates(records.iter().map(|record| record.start.as_str())),
            double_echoes: duplicates(records.iter().map(|record| record.echo.as_str())),
            counts,
            records,
        }
    }

    /// Merges the runs of several targets. Needs their records.
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

fn duplicates<'a>(texts: impl Iterator<Item = &'a str>) -> Vec<String> {
    let mut counts: HashMap<&str, u32> = HashMap::new();
    for text in texts.filter(|text| !text.is_empty()) {
        *counts.entry(text).or_default() += 1;
    }
    let mut duplicates: Vec<String> =
        counts.into_iter().filter(|(_, count)| *count > 1).map(|(text, _)| text.into()).collect();
    duplicates.sort();
    duplicates
}
