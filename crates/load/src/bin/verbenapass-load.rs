//! Starts installations of real processes on loopback addresses and measures them under load.

use bpaf::{Bpaf, Parser};
use std::path::PathBuf;
use std::process::ExitCode;
use tokio::signal::unix::{SignalKind, signal};
use verbenapass_load::error::Error;
use verbenapass_load::result::{Summary, table};
use verbenapass_load::{bench, demo, idle, workload};

const EXIT_FAILURE: u8 = 1;
const EXIT_USAGE: u8 = 2;

#[derive(Bpaf, Clone, Debug)]
enum Command {
    /// Starts an installation in two data centres, runs a few jobs and stops all processes
    #[bpaf(command)]
    Demo,
    /// Measures the latency that one entry instance adds on an idle fleet
    #[bpaf(command)]
    Hop {
        /// Number of calls of the target, both direct and through the entry instance
        #[bpaf(argument("COUNT"), guard(|n| *n > 0, "COUNT is 1 or more"), fallback(2_000), display_fallback)]
        calls: u64,
    },
    /// Measures the task starts per second of one entry instance on two cores
    #[bpaf(command)]
    Starts {
        /// Duration of the load in seconds, 1 to 60
        #[bpaf(argument("SECONDS"), guard(|n| (1..=60).contains(n), "SECONDS is 1 to 60"), fallback(5), display_fallback)]
        seconds: u64,
        /// Concurrent callers, each with one job in flight, 1 to 256
        #[bpaf(argument("COUNT"), guard(|n| (1..=256).contains(n), "COUNT is 1 to 256"), fallback(16), display_fallback)]
        callers: usize,
        /// Tasks in each job, 1 to 1400
        #[bpaf(argument("COUNT"), guard(|n| (1..=1_400).contains(n), "COUNT is 1 to 1400"), fallback(50), display_fallback)]
        size: usize,
    },
    /// Measures CPU time and memory of entry instances without traffic, in fleets of 3, 6, 12 and 21
    #[bpaf(command)]
    Idle {
        /// Duration of each measurement in seconds, 1 to 600
        #[bpaf(argument("SECONDS"), guard(|n| (1..=600).contains(n), "SECONDS is 1 to 600"), fallback(15), display_fallback)]
        seconds: u64,
        /// Targets in each data centre, 1 to 300
        #[bpaf(argument("COUNT"), guard(|n| (1..=300).contains(n), "COUNT is 1 to 300"), fallback(12), display_fallback)]
        targets: usize,
    },
    /// Runs an open-loop load on an installation modelled on a user's
    #[bpaf(command)]
    Run {
        /// Installation to start: halvern or facturacion
        #[bpaf(argument("NAME"), fallback("halvern".into()), display_fallback)]
        preset: String,
        /// Seed of the random workload
        #[bpaf(argument("NUMBER"), fallback(1), display_fallback)]
        seed: u64,
        /// Time over which jobs arrive, in seconds, up to 600
        #[bpaf(argument("SECONDS"), guard(|n| *n > 0.0 && *n <= 600.0, "SECONDS is up to 600"), fallback(20.0), display_fallback)]
        seconds: f64,
        /// Offered load as a share of the slots of all targets, up to 3
        #[bpaf(argument("SHARE"), guard(|n| *n > 0.0 && *n <= 3.0, "SHARE is up to 3"), fallback(0.8), display_fallback)]
        load: f64,
        /// Share of jobs that go to the first entry instance; 0 spreads all jobs evenly
        #[bpaf(argument("SHARE"), guard(|n| (0.0..=1.0).contains(n), "SHARE is 0 to 1"), fallback(0.0), display_fallback)]
        skew: f64,
        /// Largest factor by which declared run times deviate from real ones, at least 1
        #[bpaf(argument("FACTOR"), guard(|n| *n >= 1.0, "FACTOR is at least 1"), fallback(1.0), display_fallback)]
        declared_factor: f64,
        /// Interval of bursts, in which the jobs of a second arrive at once, in seconds; 0 for none
        #[bpaf(argument("SECONDS"), guard(|n| *n == 0.0 || *n >= 2.0, "SECONDS is 0 or at least 2"), fallback(0.0), display_fallback)]
        burst_every: f64,
        /// Interval at which the jobs of the last half second are cancelled, in seconds; 0 for none
        #[bpaf(argument("SECONDS"), guard(|n| *n == 0.0 || *n >= 1.0, "SECONDS is 0 or at least 1"), fallback(0.0), display_fallback)]
        cancel_every: f64,
        /// Largest number of tasks in a job, 1 to 1400
        #[bpaf(argument("COUNT"), guard(|n| (1..=1_400).contains(n), "COUNT is 1 to 1400"), fallback(1_400), display_fallback)]
        largest_job: usize,
        /// File to which the result is written as JSON
        #[bpaf(argument("FILE"))]
        output: Option<PathBuf>,
    },
    /// Shows results of `run` side by side
    #[bpaf(command)]
    Compare {
        /// Files written by `run --output`
        #[bpaf(positional("FILE"), some("at least one FILE is needed"))]
        files: Vec<PathBuf>,
    },
}

fn main() -> ExitCode {
    let parser = command()
        .to_options()
        .descr("Starts installations of real processes on loopback addresses and measures them under load")
        .footer("Exit codes: 0 success, 1 failure at run time, 2 bad usage.")
        .version(env!("CARGO_PKG_VERSION"));
    let command = match parser.run_inner(bpaf::Args::current_args()) {
        Ok(command) => command,
        Err(failure) => {
            failure.print_message(100);
            return if failure.exit_code() == 0 { ExitCode::SUCCESS } else { EXIT_USAGE.into() };
        }
    };
    if let Command::Run { preset, .. } = &command
        && bench::preset(preset).is_none()
    {
        eprintln!("error: --preset is {preset:?}, allowed are halvern and facturacion");
        return EXIT_USAGE.into();
    }
    match execute(command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            EXIT_FAILURE.into()
        }
    }
}

#[tokio::main]
async fn execute(command: Command) -> Result<(), Error> {
    let failed = |cause: std::io::Error| Error::Check(format!("signals: {cause}"));
    let mut terminate = signal(SignalKind::terminate()).map_err(failed)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(failed)?;
    // Dropping the future of the command kills all processes that it started.
    tokio::select! {
        result = dispatch(command) => result,
        _ = terminate.recv() => Err(Error::Interrupted),
        _ = interrupt.recv() => Err(Error::Interrupted),
    }
}

async fn dispatch(command: Command) -> Result<(), Error> {
    match command {
        Command::Demo => demo::demo().await,
        Command::Hop { calls } => bench::hop(calls).await,
        Command::Starts { seconds, callers, size } => bench::starts(seconds, callers, size).await,
        Command::Idle { seconds, targets } => idle::idle(seconds, targets).await,
        Command::Run {
            preset,
            seed,
            seconds,
            load,
            skew,
            declared_factor,
            burst_every,
            cancel_every,
            largest_job,
            output,
        } => {
            let options = workload::Options {
                seed,
                seconds,
                load,
                skew,
                declared_factor,
                burst_every,
                cancel_every,
                largest_job,
                ..workload::Options::default()
            };
            run(&preset, &options, output).await
        }
        Command::Compare { files } => compare(&files),
    }
}

async fn run(
    preset: &str,
    options: &workload::Options,
    output: Option<PathBuf>,
) -> Result<(), Error> {
    let Some(preset) = bench::preset(preset) else {
        return Err(Error::Check(format!("no preset {preset}")));
    };
    println!("preset {}, seed {}", preset.name, options.seed);
    let summary = bench::run(&preset, options).await?;
    print!("{}", table(&[(preset.name, &summary)]));
    if let Some(path) = output {
        summary.write(&path)?;
    }
    if summary.audit.is_clean() {
        return Ok(());
    }
    Err(Error::Check(format!("{:?}", summary.audit)))
}

fn compare(files: &[PathBuf]) -> Result<(), Error> {
    let summaries: Vec<(String, Summary)> = files
        .iter()
        .map(|file| {
            let title = file.file_stem().unwrap_or_default().to_string_lossy().into_owned();
            Summary::read(file).map(|summary| (title, summary))
        })
        .collect::<Result<_, Error>>()?;
    let columns: Vec<(&str, &Summary)> =
        summaries.iter().map(|(title, summary)| (title.as_str(), summary)).collect();
    print!("{}", table(&columns));
    Ok(())
}
