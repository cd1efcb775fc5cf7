//! Commands of `verbenapass-experiment`: simulate routing strategies, write the results and compare
//! them.

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
use verbenapass::queue::Order;

quick_error! {
    /// Reason why a command failed.
    #[derive(Debug)]
    pub enum Error {
        /// A file or directory could not be read, created or written.
        File(path: PathBuf, error: io::Error) {
            display("{}: {}", path.display(), error)
            source(error)
        }
        /// A file is not the JSON of a [`Report`], or a report could not be encoded.
        Result(path: PathBuf, error: serde_json::Error) {
            display("{}: not a valid result of the experiment: {}", path.display(), error)
            source(error)
        }
        /// A plot could not be drawn; the message names its file.
        Plot(message: String) {
            display("plot: {}", message)
        }
    }
}

/// Simulates routing strategies on a virtual clock and compares them with a central queue with
/// global knowledge.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub struct Arguments {
    #[bpaf(external(action))]
    action: Action,
}

#[derive(Clone, Debug, Bpaf)]
enum Action {
    /// Simulate routing strategies and print a table
    #[bpaf(command)]
    Run(#[bpaf(external(run_arguments))] RunArguments),
    /// Simulate the engines with one fault at a time and with one team that floods the fleet
    #[bpaf(command)]
    Faults {
        /// Seed, repeatable
        #[bpaf(argument("NUMBER"))]
        seed: Vec<u64>,
    },
    /// Measure events per second of one engine with 300 targets, 700 teams and 6 peers
    #[bpaf(command)]
    Dispatch,
    /// Compare two results line by line
    #[bpaf(command)]
    Compare {
        /// JSON file of the earlier result
        #[bpaf(positional("BEFORE"))]
        before: PathBuf,
        /// JSON file of the later result
        #[bpaf(positional("AFTER"))]
        after: PathBuf,
    },
}

#[derive(Clone, Debug, Bpaf)]
struct RunArguments {
    /// Routing strategy to simulate, repeatable; all by default
    #[bpaf(long("way"), argument("NAME"))]
    strategy: Vec<Strategy>,
    /// Offered load in percent, repeatable; 50, 80, 95 and 110 by default
    #[bpaf(argument("PERCENT"))]
    load: Vec<u32>,
    /// Percentage of the jobs that arrive at the first instance, repeatable; 0 (spread equally) and
    /// 40 by default
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
    /// Order of jobs instead of the default of each strategy: arrival, remaining, deadline, work or
    /// aged-<span>; the central queue always uses remaining
    #[bpaf(argument("ORDER"))]
    order: Option<Order>,
    /// Start the tasks of a job in the order of submission with every strategy
    no_longest_first: bool,
    /// Let large jobs use all free slots instead of leaving some to small jobs
    no_headroom: bool,
    /// Seconds between the reports of demand of the overflow strategy; zero for none
    #[bpaf(argument("SECONDS"), fallback(10))]
    report: u64,
    /// Free slots that a target must have besides the one that an overflowing task takes
    #[bpaf(argument("SLOTS"), fallback(2))]
    spare: u32,
    /// Write the result to this file as JSON
    #[bpaf(argument("FILE"))]
    json: Option<PathBuf>,
    /// Write plots to this directory as SVG
    #[bpaf(argument("DIRECTORY"))]
    plots: Option<PathBuf>,
}

/// Results of one strategy at one load and skew.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Line {
    /// How the instances chose targets.
    #[serde(rename = "way")]
    pub strategy: Strategy,
    /// Offered load in percent.
    pub load: u32,
    /// Percentage of the jobs that arrive at the first instance; 0 for an equal spread.
    pub skew: u32,
    /// Median slowdown (response time divided by the ideal one).
    pub median: f64,
    /// 99th percentile of the slowdown.
    pub p99: f64,
    /// Median slowdown divided by that of the central queue; `None` if that was not simulated.
    pub median_to_central: Option<f64>,
    /// 99th percentile of the slowdown divided by that of the central queue; `None` if that was not
    /// simulated.
    pub p99_to_central: Option<f64>,
    /// Median response time in milliseconds.
    pub median_ms: f64,
    /// 99th percentile of the response time in milliseconds.
    pub p99_ms: f64,
    /// 99th percentile of the slowdown by the decade of the number of tasks (1, 10, 100, ...).
    pub p99_by_size: BTreeMap<u32, f64>,
    /// Message overhead for each answered task.
    pub waste_per_task: f64,
    /// Message overhead by kind of message.
    pub waste: Waste,
    /// Tasks that were answered.
    pub tasks: u64,
    /// Jobs that completed, including those of the warm-up.
    pub complete: u64,
    /// Jobs without a final answer at the end of the simulation.
    pub open: u64,
    /// Executions of a task beyond its first one.
    pub repeated: u64,
}

/// Result of the command `run`, as written to JSON.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Report {
    /// The simulated fleet; its load and skew do not apply, since each line has its own.
    pub shape: Shape,
    /// Seeds of the simulations, whose response times are measured together.
    pub seeds: Vec<u64>,
    /// One line for each strategy, load and skew.
    pub lines: Vec<Line>,
}

/// Runs the command and prints its result to the standard output.
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
        options.order = order;
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

/// Simulates every strategy in a thread of its own and adds up the measurements of its seeds.
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
        handles
            .into_iter()
            .filter_map(|handle| handle.join().expect("a simulation does not panic"))
            .collect()
    })
}

/// Returns the lines of one load and skew, in the order of `runs`.
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

/// Formats a report as a Markdown table.
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

/// Formats the changes between two reports as a Markdown table, without the lines that only one of
/// them has.
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

/// Virtual time at which a fault begins, in microseconds.
const FAULT_AT_US: u64 = 60_000_000;

/// Simulates the engines at 80% load with each fault and returns a Markdown table.
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

/// Simulates a team at 40% load alone, next to a team at 40% and next to a team that offers 100%,
/// and returns a Markdown table of the first team's slowdown.
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
