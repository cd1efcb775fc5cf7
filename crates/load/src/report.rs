//! The experiment command: runs ways of routing side by side, writes results and compares them.

use crate::experiment::{self, Measurement, Strategy, Waste};
use crate::experiment_engine::{self, End, Fault, Options};
use crate::fleet::{Job, Shape};
use crate::plot;
use bpaf::Bpaf;
use hdrhistogram::Histogram;
use quick_error::quick_error;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::{Path, PathBuf};
use std::{fs, io, thread};
use verbenapass::queue::Rank;

quick_error! {
    /// Why the experiment failed.
    #[derive(Debug)]
    pub enum Error {
        /// A file could not be read or written.
        File(path: PathBuf, error: io::Error) {
            display("{}: {}", path.display(), error)
            source(error)
        }
        /// A result is not valid.
        Result(path: PathBuf, error: serde_json::Error) {
            display("{} is not a result of the experiment: {}", path.display(), error)
            source(error)
        }
        /// A plot could not be drawn.
        Plot(message: String) {
            display("plot: {}", message)
        }
    }
}

/// Compares ways of routing on a virtual clock, against one queue that knows all.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub struct Arguments {
    #[bpaf(external(action))]
    action: Action,
}

#[derive(Clone, Debug, Bpaf)]
enum Action {
    /// Run the ways and print a table
    #[bpaf(command)]
    Run(#[bpaf(external(run_arguments))] RunArguments),
    /// Run the engines with one fault each and one team that floods
    #[bpaf(command)]
    Faults {
        /// Seed, repeatable
        #[bpaf(argument("NUMBER"))]
        seed: Vec<u64>,
    },
    /// Measure events per second of one engine with 300 targets, 700 teams and 6 peers
    #[bpaf(command)]
    Dispatch,
    /// Show two results side by side
    #[bpaf(command)]
    Compare {
        /// Earlier result
        #[bpaf(positional("BEFORE"))]
        before: PathBuf,
        /// Later result
        #[bpaf(positional("AFTER"))]
        after: PathBuf,
    },
}

#[derive(Clone, Debug, Bpaf)]
struct RunArguments {
    /// Way to run, repeatable; all by default
    #[bpaf(long("way"), argument("NAME"))]
    strategy: Vec<Strategy>,
    /// Offered load in percent, repeatable; 50, 80, 95 and 110 by default
    #[bpaf(argument("PERCENT"))]
    load: Vec<u32>,
    /// Percentage of the jobs at the first instance, repeatable; 0 (equal) and 40 by default
    #[bpaf(argument("PERCENT"))]
    skew: Vec<u32>,
    /// Seed, repeatable; the jobs of all seeds are measured together
    #[bpaf(argument("NUMBER"))]
    seed: Vec<u64>,
    /// Seconds of virtual time during which jobs arrive
    #[bpaf(argument("SECONDS"), fallback(150))]
    seconds: u64,
    /// Exponent of the distribution of job sizes
    #[bpaf(argument("NUMBER"), fallback(1.0))]
    size_exponent: f64,
    /// Order of jobs instead of the default of each way: arrival, remaining, deadline, work or
    /// aged-<span>; the bound keeps its own
    #[bpaf(argument("ORDER"))]
    order: Option<Rank>,
    /// Start the tasks of a job in the order of submission in every way
    no_longest_first: bool,
    /// Leave no slots free for small jobs
    no_headroom: bool,
    /// Seconds between reports of the overflow; zero for none
    #[bpaf(argument("SECONDS"), fallback(10))]
    report: u64,
    /// Free slots that a target must have shown to others
    #[bpaf(argument("SLOTS"), fallback(2))]
    spare: u32,
    /// Write the result as JSON
    #[bpaf(argument("FILE"))]
    json: Option<PathBuf>,
    /// Write plots as SVG
    #[bpaf(argument("DIRECTORY"))]
    plots: Option<PathBuf>,
}

/// One line of a result.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Line {
    /// The way.
    #[serde(rename = "way")]
    pub strategy: Strategy,
    /// Offered load in percent.
    pub load: u32,
    /// Percentage of the jobs at the first instance.
    pub skew: u32,
    /// Median of response over ideal.
    pub median: f64,
    /// 99th percentile of response over ideal.
    pub p99: f64,
    /// Median against that of the central queue in the same run.
    pub median_to_central: Option<f64>,
    /// 99th percentile against that of the central queue in the same run.
    pub p99_to_central: Option<f64>,
    /// Median response time in milliseconds.
    pub median_ms: f64,
    /// 99th percentile of the response time in milliseconds.
    pub p99_ms: f64,
    /// 99th percentile of response over ideal, by decade of the size of the job.
    pub p99_by_size: BTreeMap<u32, f64>,
    /// Wasted messages for each task.
    pub waste_per_task: f64,
    /// Wasted messages by kind.
    pub waste: Waste,
    /// Tasks answered.
    pub tasks: u64,
    /// Jobs complete.
    pub complete: u64,
    /// Jobs without an answer when the run ended.
    pub open: u64,
    /// Tasks that ran more than once.
    pub repeated: u64,
}

/// What a command of the experiment showed.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Report {
    /// The fleet; load and skew are those of the lines.
    pub shape: Shape,
    /// Seeds.
    pub seeds: Vec<u64>,
    /// One line for each way, load and skew.
    pub lines: Vec<Line>,
}

/// Runs the command.
pub fn run(arguments: &Arguments) -> Result<(), Error> {
    match &arguments.action {
        Action::Run(arguments) => run_strategies(arguments),
        Action::Faults { seed } => {
            for seed in or_default(seed, &[1]) {
                print!("{}", faults(seed));
                print!("{}", flood(seed));
            }
            Ok(())
        }
        Action::Dispatch => {
            print!("{}", experiment_engine::dispatch_throughput());
            Ok(())
        }
        Action::Compare { before, after } => {
            print!("{}", compare(&read(before)?, &read(after)?));
            Ok(())
        }
    }
}

fn or_default<T: Clone>(given: &[T], default: &[T]) -> Vec<T> {
    if given.is_empty() { default.to_vec() } else { given.to_vec() }
}

fn run_strategies(arguments: &RunArguments) -> Result<(), Error> {
    let strategies = or_default(&arguments.strategy, &Strategy::ALL);
    let loads = or_default(&arguments.load, &[50, 80, 95, 110]);
    let skews = or_default(&arguments.skew, &[0, 40]);
    let seeds = or_default(&arguments.seed, &[1]);
    let shape = Shape {
        seconds: arguments.seconds,
        size_exponent: arguments.size_exponent,
        ..Shape::default()
    };
    let mut lines = Vec::new();
    for load in loads {
        for skew in &skews {
            let shape =
                Shape { load: f64::from(load) / 100.0, skew: f64::from(*skew) / 100.0, ..shape };
            let runs = run_parallel(arguments, shape, &strategies, &seeds);
            lines.extend(make_lines(load, *skew, &runs));
        }
    }
    let report = Report { shape, seeds, lines };
    print!("{}", table(&report));
    if let Some(path) = &arguments.json {
        let text = serde_json::to_string_pretty(&report)
            .map_err(|error| Error::Result(path.clone(), error))?;
        fs::write(path, text + "\n").map_err(|error| Error::File(path.clone(), error))?;
    }
    if let Some(directory) = &arguments.plots {
        fs::create_dir_all(directory).map_err(|error| Error::File(directory.clone(), error))?;
        plot::draw(&report, directory).map_err(Error::Plot)?;
    }
    Ok(())
}

fn options(
    arguments: &RunArguments,
    shape: Shape,
    strategy: Strategy,
    seed: u64,
) -> experiment::Options {
    let mut options = experiment::Options::new(shape, strategy, seed);
    if let Some(order) = arguments.order {
        options.rank = order;
    }
    if arguments.no_longest_first {
        options.longest_first = false;
    }
    if arguments.no_headroom {
        options.headroom = experiment::Headroom::default();
    }
    options.overflow.report_ticks = arguments.report;
    options.overflow.spare = arguments.spare;
    options
}

/// Runs every way and seed, one thread each; the seeds of a way are put together.
fn run_parallel(
    arguments: &RunArguments,
    shape: Shape,
    strategies: &[Strategy],
    seeds: &[u64],
) -> Vec<(Strategy, Measurement)> {
    let run = |strategy: Strategy| {
        let mut total: Option<Measurement> = None;
        for seed in seeds {
            let measurement = experiment::run(&options(arguments, shape, strategy, *seed));
            match &mut total {
                Some(total) => total.add(&measurement),
                None => total = Some(measurement),
            }
        }
        total.map(|measurement| (strategy, measurement))
    };
    thread::scope(|scope| {
        let handles: Vec<_> =
            strategies.iter().map(|strategy| scope.spawn(move || run(*strategy))).collect();
        handles.into_iter().filter_map(|handle| handle.join().expect("a run ends")).collect()
    })
}

/// Makes the lines of one load and skew.
pub fn make_lines(load: u32, skew: u32, runs: &[(Strategy, Measurement)]) -> Vec<Line> {
    let quantile = |histogram: &Histogram<u64>, q| histogram.value_at_quantile(q) as f64 / 1_000.0;
    let central = runs
        .iter()
        .find(|(strategy, _)| *strategy == Strategy::Central)
        .map(|(_, run)| &run.ratios);
    runs.iter()
        .map(|(strategy, run)| Line {
            strategy: *strategy,
            load,
            skew,
            median: quantile(&run.ratios, 0.5),
            p99: quantile(&run.ratios, 0.99),
            median_to_central: central.map(|c| quantile(&run.ratios, 0.5) / quantile(c, 0.5)),
            p99_to_central: central.map(|c| quantile(&run.ratios, 0.99) / quantile(c, 0.99)),
            median_ms: quantile(&run.responses, 0.5),
            p99_ms: quantile(&run.responses, 0.99),
            p99_by_size: run
                .by_size
                .iter()
                .map(|(size, ratios)| (*size, quantile(ratios, 0.99)))
                .collect(),
            waste_per_task: run.waste.total() as f64 / run.tasks.max(1) as f64,
            waste: run.waste,
            tasks: run.tasks,
            complete: run.complete,
            open: run.unfinished,
            repeated: run.repeated,
        })
        .collect()
}

fn read(path: &Path) -> Result<Report, Error> {
    let text = fs::read_to_string(path).map_err(|error| Error::File(path.into(), error))?;
    serde_json::from_str(&text).map_err(|error| Error::Result(path.into(), error))
}

/// Returns a Markdown table of a report.
pub fn table(report: &Report) -> String {
    let mut text = String::from(
        "| load % | skew % | way | median | p99 | median to (e) | p99 to (e) | waste per task | \
         p99 of 1+ | 10+ | 100+ | 1000+ tasks |\n\
         | ---: | ---: | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |\n",
    );
    for line in &report.lines {
        let relative =
            |ratio: Option<f64>| ratio.map_or_else(|| "-".into(), |ratio| format!("{ratio:.3}"));
        let by_size = |size| {
            line.p99_by_size.get(&size).map_or_else(|| "-".into(), |ratio| format!("{ratio:.2}"))
        };
        // Writing to a string does not fail.
        let _ = writeln!(
            text,
            "| {} | {} | {} | {:.3} | {:.3} | {} | {} | {:.4} | {} | {} | {} | {} |",
            line.load,
            line.skew,
            line.strategy,
            line.median,
            line.p99,
            relative(line.median_to_central),
            relative(line.p99_to_central),
            line.waste_per_task,
            by_size(1),
            by_size(10),
            by_size(100),
            by_size(1_000),
        );
    }
    text
}

/// Returns a Markdown table of two reports side by side. Lines without a counterpart are left out.
pub fn compare(before: &Report, after: &Report) -> String {
    let mut text = String::from(
        "| load % | skew % | way | p99 before | p99 after | change % | waste before | waste after |\n\
         | ---: | ---: | --- | ---: | ---: | ---: | ---: | ---: |\n",
    );
    for old in &before.lines {
        let is_same =
            |new: &&Line| (new.strategy, new.load, new.skew) == (old.strategy, old.load, old.skew);
        let Some(new) = after.lines.iter().find(is_same) else { continue };
        let _ = writeln!(
            text,
            "| {} | {} | {} | {:.3} | {:.3} | {:+.1} | {:.4} | {:.4} |",
            old.load,
            old.skew,
            old.strategy,
            old.p99,
            new.p99,
            (new.p99 / old.p99 - 1.0) * 100.0,
            old.waste_per_task,
            new.waste_per_task,
        );
    }
    text
}

/// Time of a fault, in microseconds.
const FAULT_AT_US: u64 = 60_000_000;

/// Runs the engines at 80% load with each fault and returns a Markdown table.
pub fn faults(seed: u64) -> String {
    let shape = Shape { seconds: 120, ..Shape::default() };
    let jobs = shape.jobs(0, shape.load, seed);
    let run = |fault| {
        let fault = Some((fault, FAULT_AT_US));
        let options = Options { shape, seed, carries_load: true, separate_services: false, fault };
        experiment_engine::run(&options, &jobs)
    };
    let mut text = String::from(
        "| seed | fault | jobs | no answer | failed | owner gone | ran twice | answered twice | \
         p99 back after s |\n| ---: | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: |\n",
    );
    for fault in [Fault::Failing, Fault::Straggler, Fault::Killed] {
        let trial = run(fault);
        let open = trial.ends.iter().filter(|end| **end == End::Open).count();
        let (other, gone) = trial.unsuccessful();
        let _ = writeln!(
            text,
            "| {seed} | {fault:?} | {} | {open} | {other} | {gone} | {} | {} | {} |",
            jobs.len(),
            trial.repeated,
            trial.duplicate_answers,
            trial
                .recovery(&shape, &jobs, FAULT_AT_US)
                .map_or_else(|| "not within 50".into(), |seconds| format!("{seconds:.1}")),
        );
    }
    text
}

/// Runs a team at 40% load alone, beside a team at 40%, and beside a team that offers 100%, and
/// returns a Markdown table of the first team.
pub fn flood(seed: u64) -> String {
    let shape = Shape { seconds: 90, ..Shape::default() };
    let quiet = shape.jobs(0, 0.4, seed);
    let with_other_team = |load| {
        let mut jobs = quiet.clone();
        jobs.extend(shape.jobs(1, load, seed + 1_000));
        jobs.sort_by_key(|job| job.arrived);
        jobs
    };
    let p99 = |jobs: &[Job], separate_services| {
        let options = Options { shape, seed, carries_load: true, separate_services, fault: None };
        let trial = experiment_engine::run(&options, jobs);
        let ratios = trial.measure(&shape, jobs, |job| job.team == 0).ratios;
        ratios.value_at_quantile(0.99) as f64 / 1_000.0
    };
    let (normal, flooded) = (with_other_team(0.4), with_other_team(1.0));
    let mut text = String::from(
        "| seed | targets | p99 alone | beside 40% | beside a flood | change by the flood % |\n\
         | ---: | --- | ---: | ---: | ---: | ---: |\n",
    );
    for (name, separate) in [("shared", false), ("separate", true)] {
        let alone = p99(&quiet, separate);
        let (before, after) = (p99(&normal, separate), p99(&flooded, separate));
        let change = (after / before - 1.0) * 100.0;
        let _ = writeln!(
            text,
            "| {seed} | {name} | {alone:.3} | {before:.3} | {after:.3} | {change:+.1} |"
        );
    }
    text
}
