//! Log output. Every part of the daemon logs short sentences with its own prefix.

use crate::settings::{Format, Log};
use slog::{Drain, Logger, o};

/// Records that may wait for the writer; more are dropped and counted by the drain.
const QUEUE_RECORDS: usize = 4_096;

/// Makes the root logger. It writes to the standard error stream from a thread of its own.
pub fn root(settings: &Log, instance: &str) -> Logger {
    let level = settings.level;
    let drain = match settings.format {
        Format::Json => {
            let json = slog_json::Json::default(std::io::stderr()).fuse();
            slog_async::Async::new(json.filter_level(level).fuse()).chan_size(QUEUE_RECORDS).build()
        }
        Format::Terminal => {
            let decorator = slog_term::TermDecorator::new().stderr().build();
            let term = slog_term::FullFormat::new(decorator).build().fuse();
            slog_async::Async::new(term.filter_level(level).fuse()).chan_size(QUEUE_RECORDS).build()
        }
    };
    Logger::root(drain.fuse(), o!("instance" => instance.to_owned()))
}

/// Makes a logger for a library, which is only heard when something is wrong.
pub fn quiet(root: &Logger) -> Logger {
    Logger::root(root.clone().filter_level(slog::Level::Warning).fuse(), o!())
}
