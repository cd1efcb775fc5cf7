//! What was sent, answered and run, with the time since the start of the case in milliseconds.

use std::collections::BTreeMap;
use std::fmt::{self, Write as _};
use std::sync::Mutex;
use std::time::Instant;

#[derive(Clone, Debug)]
pub struct Span {
    pub task: String,
    pub run: u64,
    pub worker: String,
    pub begin: u64,
    pub end: Option<u64>,
    pub how: &'static str,
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { task, run, worker, begin, how, .. } = self;
        let end = self.end.map_or("the end".into(), |end| end.to_string());
        write!(f, "{task} run {run} on {worker} from {begin} to {end} ms ({how})")
    }
}

#[derive(Default)]
struct State {
    lines: Vec<(u64, String)>,
    spans: Vec<Span>,
}

pub struct Record {
    started: Instant,
    state: Mutex<State>,
}

impl Record {
    pub fn new() -> Self {
        Self { started: Instant::now(), state: Mutex::default() }
    }

    pub fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: String) {
        let now = self.now();
        self.state.lock().unwrap().lines.push((now, text));
    }

    /// Notes the begin of a run and returns its number for [`Self::end`].
    pub fn begin(&self, task: &str, run: u64, worker: &str) -> usize {
        let begin = self.now();
        let mut state = self.state.lock().unwrap();
        state.lines.push((begin, format!("{worker} begins {task} run {run}")));
        state.spans.push(Span {
            task: task.into(),
            run,
            worker: worker.into(),
            begin,
            end: None,
            how: "open",
        });
        state.spans.len() - 1
    }

    pub fn end(&self, span: usize, how: &'static str) {
        let now = self.now();
        let mut state = self.state.lock().unwrap();
        let span = &mut state.spans[span];
        span.end = Some(now);
        span.how = how;
        let text = format!("{} ends {} run {}: {how}", span.worker, span.task, span.run);
        state.lines.push((now, text));
    }

    pub fn spans(&self) -> Vec<Span> {
        self.state.lock().unwrap().spans.clone()
    }

    /// Returns the pairs of runs of one task that were at work at the same time for longer than
    /// `least` milliseconds.
    pub fn overlaps(&self, least: u64) -> Vec<(Span, Span, u64)> {
        let now = self.now();
        let mut by_task: BTreeMap<String, Vec<Span>> = BTreeMap::new();
        for span in self.spans() {
            by_task.entry(span.task.clone()).or_default().push(span);
        }
        let mut found = Vec::new();
        for spans in by_task.values() {
            for (i, a) in spans.iter().enumerate() {
                for b in &spans[i + 1..] {
                    let begin = a.begin.max(b.begin);
                    let end = a.end.unwrap_or(now).min(b.end.unwrap_or(now));
                    if end > begin + least {
                        found.push((a.clone(), b.clone(), end - begin));
                    }
                }
            }
        }
        found
    }

    pub fn text(&self) -> String {
        let mut lines = self.state.lock().unwrap().lines.clone();
        lines.sort_by_key(|(at, _)| *at);
        let mut text = String::new();
        for (at, line) in lines {
            let _ = writeln!(text, "{at:>7} ms  {line}");
        }
        text
    }
}
