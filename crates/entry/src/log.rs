//! Log output and its rate limit. The text of each record begins with the name of its component.

use crate::settings::{Format, Log};
use slog::{Drain, Logger, o};
use slog_async::{Async, AsyncGuard};
use std::io::LineWriter;
use std::sync::{Mutex, PoisonError};
use verbenapass::time::Timestamp;
use verbenapass::unit::Millis;

/// Limit on records queued for the writer; the drain drops further records and logs their number.
const QUEUE_RECORDS: usize = 4_096;
/// Records that a limiter admits in each window.
const LIMIT_RECORDS: u32 = 10;
/// Window of a limiter.
const LIMIT_WINDOW: Millis = Millis::new(1_000);

/// Creates the root logger, which writes to the standard error stream in a thread of its own. The
/// guard flushes and ends that thread when dropped, so the caller keeps it until the end.
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

/// Rate limiter for one kind of record, so that many failures at once do not flood the log.
#[derive(Debug, Default)]
pub struct Limiter(Mutex<Window>);

#[derive(Debug, Default)]
struct Window {
    ends_at: Timestamp,
    written: u32,
    dropped: u64,
}

impl Limiter {
    /// Returns the number of records dropped since the last admitted one, or `None` if the caller
    /// must drop this one too.
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

/// Creates a logger for a library, which drops records below the level of a warning.
pub fn quiet(root: &Logger) -> Logger {
    Logger::root(root.clone().filter_level(slog::Level::Warning).fuse(), o!())
}
