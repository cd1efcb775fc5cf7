//! Command line, logging, signals and exit codes of both binaries.

use crate::settings;
use bpaf::{Bpaf, Parser};
use slog::{Drain, Logger, o};
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tokio::signal::unix::{SignalKind, signal};

/// Exit code of a failure at run time.
pub const EXIT_FAILURE: u8 = 1;
/// Exit code of bad usage or bad settings.
pub const EXIT_USAGE: u8 = 2;

/// Command-line arguments of a stand-in.
#[derive(Bpaf, Clone, Debug, PartialEq, Eq)]
pub struct Arguments {
    /// Settings file in YAML
    #[bpaf(argument("FILE"))]
    pub settings: PathBuf,
    /// Validate the settings and exit
    pub check: bool,
}

/// Parses the arguments of the process, or prints a message and returns the exit code: 0 for `--help`
/// and `--version`, 2 for bad usage.
pub fn parse(description: &'static str) -> Result<Arguments, ExitCode> {
    let parser = arguments()
        .to_options()
        .descr(description)
        .footer("Exit codes: 0 success, 1 failure at run time, 2 bad usage or bad settings.")
        .version(env!("CARGO_PKG_VERSION"));
    parser.run_inner(bpaf::Args::current_args()).map_err(|failure| {
        failure.print_message(100);
        if failure.exit_code() == 0 { ExitCode::SUCCESS } else { EXIT_USAGE.into() }
    })
}

/// Creates a logger that writes JSON lines to standard error.
pub fn logger() -> Logger {
    let json = slog_json::Json::default(std::io::stderr()).fuse();
    Logger::root(slog_async::Async::new(json).build().fuse(), o!())
}

/// Waits for SIGTERM or SIGINT.
pub async fn wait_for_signal() -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Prints an error message to standard error and returns the given exit code.
pub fn fail(code: u8, message: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("error: {message}");
    code.into()
}

/// Parses the arguments, loads the settings with `load` and calls `run` with them. With `--check` it
/// exits after loading the settings.
pub fn main<S>(
    description: &'static str,
    load: fn(&Path) -> Result<S, settings::Error>,
    run: fn(S) -> io::Result<()>,
) -> ExitCode {
    let arguments = match parse(description) {
        Ok(arguments) => arguments,
        Err(code) => return code,
    };
    let settings = match load(&arguments.settings) {
        Ok(settings) => settings,
        Err(error) => return fail(EXIT_USAGE, &error),
    };
    if arguments.check {
        return ExitCode::SUCCESS;
    }
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(EXIT_FAILURE, &error),
    }
}
