//! The record of a run: what was sent, answered and run, and the rules that were broken.

use std::collections::BTreeMap;
use std::io::Write;
use std::sync::{Mutex, OnceLock};
use std::time::{Duration, Instant};

static START: OnceLock<Instant> = OnceLock::new();
static STATE: Mutex<State> = Mutex::new(State {
    lines: Vec::new(),
    broken: Vec::new(),
    running: BTreeMap::new(),
    starts: Vec::new(),
});

struct State {
    lines: Vec<String>,
    broken: Vec<String>,
    /// Runs that are at work, as (worker, run, start), by task.
    running: BTreeMap<String, Vec<(String, u64, Instant)>>,
    /// Tasks and times of all starts.
    starts: Vec<(String, Instant)>,
}

/// Returns the time since the first call.
pub fn now() -> Duration {
    START.get_or_init(Instant::now).elapsed()
}

pub fn log(line: impl AsRef<str>) {
    let line = format!("{:9.3} {}", now().as_secs_f64(), line.as_ref());
    state().lines.push(line);
}

/// Records that a rule was broken.
pub fn broken(rule: &str, what: impl AsRef<str>) {
    log(format!("BROKEN {rule}: {}", what.as_ref()));
    state().broken.push(rule.to_owned());
}

/// Records that a worker begins a run, and checks that no other one works on the task.
pub fn run_started(worker: &str, task: &str, run: u64) {
    log(format!("{worker}: run {run} of {task} starts"));
    let others: Vec<String> = {
        let mut state = state();
        let runs = state.running.entry(task.to_owned()).or_default();
        let others = runs.iter().map(|(other, run, _)| format!("run {run} on {other}")).collect();
        runs.push((worker.to_owned(), run, Instant::now()));
        state.starts.push((task.to_owned(), Instant::now()));
        others
    };
    if !others.is_empty() {
        broken("TWICE", format!("{task}: run {run} starts on {worker} while {others:?} works"));
    }
}

pub fn run_ended(worker: &str, task: &str, run: u64, how: &str) {
    let span = {
        let mut state = state();
        let runs = state.running.entry(task.to_owned()).or_default();
        let index = runs.iter().position(|(w, r, _)| w == worker && *r == run);
        index.map(|index| runs.remove(index).2.elapsed()).unwrap_or_default()
    };
    log(format!("{worker}: run {run} of {task} ends {how} after {} ms", span.as_millis()));
}

/// Returns whether a worker works on a task now.
pub fn is_running(task: &str) -> bool {
    state().running.get(task).is_some_and(|runs| !runs.is_empty())
}

/// Returns the tasks of a job that were started after a time.
pub fn started_after(job: &str, time: Instant) -> Vec<String> {
    let state = state();
    let is_late = |(task, at): &&(String, Instant)| task.starts_with(job) && *at > time;
    state.starts.iter().filter(is_late).map(|(task, _)| task.clone()).collect()
}

/// Writes the record to a file and returns the broken rules.
pub fn finish(path: &str) -> Vec<String> {
    let state = state();
    let mut file = std::fs::File::create(path).expect("the record can be written");
    for line in &state.lines {
        writeln!(file, "{line}").expect("the record can be written");
    }
    state.broken.clone()
}

fn state() -> std::sync::MutexGuard<'static, State> {
    STATE.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}
