//! Log output. Every part of the daemon logs short sentences with its own prefix.

use crate::settings::{Format, Log};
use slog::{Drain, Logger, o};
use slog_async::{Async, AsyncGuard};
use std::io::LineWriter;
use std::sync::{Mutex, PoisonError};
use verbenapass::time::Timestamp;
use verbenapass::unit::Millis;

/// Records that may wait for the writer; more are dropped and counted by the drain.
const QUEUE_RECORDS: usize = 4_096;
/// Records of one sort in each window of a limiter.
const LIMIT_RECORDS: u32 = 10;
/// Length of the window of a limiter.
const LIMIT_WINDOW: Millis = Millis::new(1_000);

/// Makes the root logger. It writes to the standard error stream from a thread of its own, which the
/// guard flushes and ends when it is dropped.
pub fn root(settings: &Log, instance: &str) -> (Logger, AsyncGuard) {
    let (drain, guard) = match settings.format {
        Format::Json => {
            let output = LineWriter::new(std::io::stderr());
            queue(slog_json::Json::default(output).fuse(), settings.level)
        }
        Format::Terminal => {
            let decorator = slog_term::TermDecorator::new().stderr().build();
            queue(slog_term::FullFormat::new(decorator).build().fuse(), settings.level)
        }
    };
    (Logger::root(drain.fuse(), o!("instance" => instance.to_owned())), guard)
}

fn queue<D>(drain: D, level: slog::Level) -> (Async, AsyncGuard)
where
    D: Drain<Err = slog::Never, Ok = ()> + Send + 'static,
{
    Async::new(drain.filter_level(level).fuse()).chan_size(QUEUE_RECORDS).build_with_guard()
}

/// Bound on records of one sort, so that a wave of failures does not become a wave of records.
#[derive(Debug, Default)]
pub struct Limiter(Mutex<Window>);

#[derive(Debug, Default)]
struct Window {
    ends_at: Timestamp,
    written: u32,
    dropped: u64,
}

impl Limiter {
    /// Tells whether a record may be written now, and if so, how many were dropped before it.
    pub fn admit(&self, now: Timestamp) -> Option<u64> {
        let mut window = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if window.ends_at.is_past(now) {
            window.ends_at = now.plus(LIMIT_WINDOW);
            window.written = 0;
        }
        if window.written >= LIMIT_RECORDS {
            window.dropped += 1;
            return None;
        }
        window.written += 1;
        Some(std::mem::take(&mut window.dropped))
    }
}

/// Makes a logger for a library, which is only heard when something is wrong.
pub fn quiet(root: &Logger) -> Logger {
    Logger::root(root.clone().filter_level(slog::Level::Warning).fuse(), o!())
}
