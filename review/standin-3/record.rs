//! What clients sent and got, and what workers ran: written to a file, and kept for the check of rules.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// A run on a worker.
#[derive(Clone, Debug)]
pub struct Run {
    pub worker: String,
    pub task: String,
    pub number: u64,
    /// Time since the record began.
    pub began: Duration,
    /// `None` while it runs.
    pub ended: Option<Duration>,
}

#[derive(Debug)]
struct State {
    file: File,
    runs: Vec<Run>,
}

/// The record; clones share it.
#[derive(Clone, Debug)]
pub struct Record(Arc<Mutex<State>>, Instant);

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        let state = State { file: File::create(path)?, runs: Vec::new() };
        Ok(Self(Arc::new(Mutex::new(state)), Instant::now()))
    }

    /// Returns the time since the record began.
    pub fn now(&self) -> Duration {
        self.1.elapsed()
    }

    /// Writes a line with the present time.
    pub fn note(&self, text: &str) {
        self.lock().write(self.now(), text);
    }

    pub fn begin(&self, worker: &str, task: &str, number: u64, spec: &str) {
        let mut state = self.lock();
        let began = self.now();
        state.write(began, &format!("{worker} starts {task} run {number} spec {spec:?}"));
        let (worker, task) = (worker.to_owned(), task.to_owned());
        state.runs.push(Run { worker, task, number, began, ended: None });
    }

    pub fn end(&self, worker: &str, task: &str, number: u64, how: &str) {
        let mut state = self.lock();
        let now = self.now();
        state.write(now, &format!("{worker} ends {task} run {number}: {how}"));
        let is_it = |run: &&mut Run| {
            run.ended.is_none() && run.number == number && run.worker == worker && run.task == task
        };
        if let Some(run) = state.runs.iter_mut().find(is_it) {
            run.ended = Some(now);
        }
    }

    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn write(&mut self, at: Duration, text: &str) {
        // A record that can't be written shows when it is read.
        writeln!(self.file, "{:9.4} {text}", at.as_secs_f64()).ok();
    }
}
