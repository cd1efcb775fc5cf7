//! Log output. Every part of the daemon logs short sentences with its own prefix.

use crate::settings::{Format, Log};
use slog::{Drain, Logger, o};
use slog_async::{Async, AsyncGuard};
use std::io::LineWriter;

/// Records that may wait for the writer; more are dropped and counted by the drain.
const QUEUE_RECORDS: usize = 4_096;

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

/// Makes a logger for a library, which is only heard when something is wrong.
pub fn quiet(root: &Logger) -> Logger {
    Logger::root(root.clone().filter_level(slog::Level::Warning).fuse(), o!())
}
