//! Measures how the control overhead (memory, CPU time and message sizes) grows with the size of an
//! installation.
//!
//! Each case runs a part of the library at several sizes and fits a straight line to the
//! measurements, which gives the overhead at a larger size. Memory is counted by the allocator,
//! CPU time by the CPU clock of the thread, messages by their encoded size.

use rustix::time::{ClockId, clock_gettime};
use serde::Serialize;
use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use verbenapass::config::DIGEST_LENGTH;
use verbenapass::engine::{Engine, Event, Options, Peer, Target};
use verbenapass::exchange::MAX_USAGES;
use verbenapass::id;
use verbenapass::job::{Resources, Submission, Task};
use verbenapass::peer::{InForce, Load, Report, Usage};
use verbenapass::settings;
use verbenapass::time::Timestamp;
use verbenapass::unit::{Bytes, Millis, Slots};
use verbenapass_entry::report;
use verbenapass_proto::peer_capnp;

/// Number of timed repetitions of a step, after one that is not timed.
const REPETITIONS: u32 = 20;

/// Time at which the virtual clock starts.
const START_TIME: Timestamp = Timestamp::from_micros(1_000_000_000);

/// Function that returns the bytes that the process has allocated and not freed.
pub type AllocatedBytes = fn() -> u64;

/// Measurements of one case and the line fitted to them.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Line {
    /// What was measured, as shown in the table.
    pub what: String,
    /// What the sizes count, such as targets or teams.
    pub varied: String,
    /// Unit of the measured values.
    pub unit: String,
    /// Pairs of a size and the value measured at it.
    pub points: Vec<(f64, f64)>,
    /// Value of the fitted line at size zero.
    pub base: f64,
    /// Growth of the fitted line for each unit of size.
    pub slope: f64,
    /// Size for which an installation is designed.
    pub design_size: f64,
    /// Value of the fitted line at the design size.
    pub at_design_size: f64,
}

impl Line {
    /// Fits a line to the points by least squares; with a single size the slope is zero.
    pub fn new(
        what: &str,
        varied: &str,
        unit: &str,
        points: Vec<(f64, f64)>,
        design_size: f64,
    ) -> Self {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let covariance: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
        let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let slope = if variance == 0.0 { 0.0 } else { covariance / variance };
        let base = mean_y - slope * mean_x;
        Self {
            what: what.into(),
            varied: varied.into(),
            unit: unit.into(),
            points,
            base,
            slope,
            design_size,
            at_design_size: base + slope * design_size,
        }
    }
}

/// Formats lines as a Markdown table.
pub fn table(lines: &[Line]) -> String {
    let mut text = String::from(
        "| what | varied | unit | measured | slope | at design size |\n\
         | --- | --- | --- | --- | --- | --- |\n",
    );
    for line in lines {
        let points: Vec<String> =
            line.points.iter().map(|(size, figure)| format!("{size}: {figure:.1}")).collect();
        writeln!(
            text,
            "| {} | {} | {} | {} | {:.3} | {:.1} at {} |",
            line.what,
            line.varied,
            line.unit,
            points.join(", "),
            line.slope,
            line.at_design_size,
            line.design_size
        )
        .expect("writing to a string does not fail");
    }
    text
}

/// Measures every case. `allocated` counts the whole process, so other threads must not allocate
/// memory meanwhile.
pub fn run(allocated: AllocatedBytes) -> Vec<Line> {
    vec![
        memory(allocated, "memory of targets", "targets", &[75, 150, 300, 600], 2_300, |size| {
            engine(size, 1, 0)
        }),
        memory(allocated, "memory of teams", "teams", &[88, 175, 350, 700], 700, |size| {
            engine(1, size, 0)
        }),
        memory(allocated, "memory of peers with reports", "peers", &[8, 16, 32, 64], 62, |size| {
            let mut engine = engine(1, 700, size);
            for peer in 0..size {
                let report = Event::Reported(peer_report(peer, 700));
                engine.handle(report, START_TIME, &mut Vec::new());
            }
            engine
        }),
        memory(
            allocated,
            "memory of queued tasks",
            "tasks",
            &[1_400, 7_000, 14_000, 28_000],
            20_000,
            |size| {
                let mut engine = engine(1, 1, 0);
                for job in 0..size / 1_400 {
                    engine.handle(submit(job, 1_400), START_TIME, &mut Vec::new());
                }
                engine
            },
        ),
        cpu_time("reading the instance list", "targets", &[75, 150, 300, 600], 2_300, |size| {
            let mut engine = engine(size, 1, 0);
            let mut now = START_TIME;
            move || {
                now = now.plus(Millis::new(1_000));
                let list = Event::Listed { revision: 1, targets: targets(size), peers: Vec::new() };
                engine.handle(list, now, &mut Vec::new());
            }
        }),
        cpu_time("putting settings in force", "teams", &[88, 175, 350, 700], 700, |size| {
            let mut engine = engine(1, size, 0);
            let tree = settings_tree(size);
            move || engine.handle(Event::Configured(tree.clone()), START_TIME, &mut Vec::new())
        }),
        cpu_time("taking a report", "teams in use", &[0, 175, 350, 700], 700, |size| {
            let mut engine = engine(1, size.max(1), 8);
            let mut now = START_TIME;
            move || {
                now = now.plus(Millis::new(1_000));
                let mut report = peer_report(0, size);
                report.made_at = now;
                engine.handle(Event::Reported(report), now, &mut Vec::new());
            }
        }),
        cpu_time("decoding a report", "teams in use", &[0, 175, 350, 700], 700, |size| {
            let bytes = encode(&peer_report(0, size));
            move || {
                let options = capnp::message::ReaderOptions::new();
                let message = capnp::serialize::read_message(&bytes[..], options)
                    .expect("the message was written by this process");
                let reader = message.get_root().expect("the root is a report");
                report::read(reader).expect("the report is valid");
            }
        }),
        cpu_time("one second of ticks, 100 of them", "peers", &[8, 16, 32, 64], 62, |size| {
            let mut engine = engine(256, 700, size);
            let mut now = START_TIME;
            move || {
                for _ in 0..100 {
                    now = now.plus(Millis::new(10));
                    engine.tick(now, &mut Vec::new());
                }
            }
        }),
        encoded_size("report on the wire", "teams in use", &[0, 175, 350, 700], 700, |size| {
            encode(&peer_report(0, size)).len()
        }),
        encoded_size("settings of teams as text", "teams", &[88, 175, 350, 700], 700, |size| {
            settings_yaml(size).len()
        }),
    ]
}

fn memory<T>(
    allocated: AllocatedBytes,
    what: &str,
    varied: &str,
    sizes: &[usize],
    design_size: usize,
    build: impl Fn(usize) -> T,
) -> Line {
    let points = sizes
        .iter()
        .map(|&size| {
            let before = allocated();
            let built = build(size);
            let after = allocated();
            drop(built);
            (size as f64, after.saturating_sub(before) as f64)
        })
        .collect();
    Line::new(what, varied, "bytes", points, design_size as f64)
}

fn cpu_time<F: FnMut()>(
    what: &str,
    varied: &str,
    sizes: &[usize],
    design_size: usize,
    prepare: impl Fn(usize) -> F,
) -> Line {
    let points = sizes
        .iter()
        .map(|&size| {
            let mut step = prepare(size);
            step();
            let before = thread_cpu_micros();
            for _ in 0..REPETITIONS {
                step();
            }
            (size as f64, (thread_cpu_micros() - before) / f64::from(REPETITIONS))
        })
        .collect();
    Line::new(what, varied, "us of one core", points, design_size as f64)
}

fn encoded_size(
    what: &str,
    varied: &str,
    sizes: &[usize],
    design_size: usize,
    measure: impl Fn(usize) -> usize,
) -> Line {
    let points = sizes.iter().map(|&size| (size as f64, measure(size) as f64)).collect();
    Line::new(what, varied, "bytes", points, design_size as f64)
}

fn thread_cpu_micros() -> f64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as f64 * 1e6 + time.tv_nsec as f64 / 1e3
}

fn encode(from: &Report) -> Vec<u8> {
    let mut message = capnp::message::Builder::new_default();
    report::write(from, message.init_root::<peer_capnp::report::Builder<'_>>());
    capnp::serialize::write_message_to_words(&message)
}

fn engine(target_count: usize, team_count: usize, peer_count: usize) -> Engine {
    let mut engine = Engine::new(Options::new(parse("entry-0.0"), parse("north"), 1));
    let out = &mut Vec::new();
    engine.handle(Event::Configured(settings_tree(team_count)), START_TIME, out);
    let list =
        Event::Listed { revision: 1, targets: targets(target_count), peers: peers(peer_count) };
    engine.handle(list, START_TIME, out);
    engine
}

fn targets(count: usize) -> Vec<Target> {
    (0..count)
        .map(|index| Target {
            id: parse(&format!("target-{index}")),
            service: parse("service"),
            data_centre: parse("north"),
            worker: parse(&format!("worker-{index}")),
            rack: parse(&format!("rack-{}", index / 6)),
            address: loopback(),
            slots: Slots::new(8),
            memory: Bytes::new(1 << 30),
            accelerators: 2,
            leaving: false,
        })
        .collect()
}

fn peers(count: usize) -> Vec<Peer> {
    (0..count)
        .map(|index| Peer {
            id: peer_name(index),
            data_centre: parse(&format!("dc-{}", index / 7)),
            address: loopback(),
            leaving: false,
        })
        .collect()
}

fn peer_name(index: usize) -> id::Instance {
    parse(&format!("entry-{}.0", index + 1))
}

fn team_name(index: usize) -> String {
    format!("team-{index}")
}

fn settings_yaml(team_count: usize) -> String {
    let mut text = String::from("fleet: {credential_sha256: \"\"}\nteams:\n");
    for team in 0..team_count {
        let name = team_name(team);
        writeln!(
            text,
            "  {name}:\n    credential_sha256: \"{:064x}\"\n    kinds:\n      \
             first: {{service: service, idempotent: true}}\n      \
             second: {{service: service, idempotent: false}}",
            team
        )
        .expect("writing to a string does not fail");
    }
    text
}

fn settings_tree(team_count: usize) -> Arc<settings::Tree> {
    Arc::new(serde_yaml_ng::from_str(&settings_yaml(team_count)).expect("the settings are valid"))
}

fn peer_report(peer: usize, team_count: usize) -> Report {
    Report {
        from: peer_name(peer),
        data_centre: parse("north"),
        made_at: START_TIME,
        loads: vec![Load {
            service: parse("service"),
            queued: 100,
            in_flight: 50,
            held: Slots::new(60),
        }],
        usages: (0..team_count.min(MAX_USAGES))
            .map(|team| Usage { team: parse(&team_name(team)), queued: 1, in_flight: 1 })
            .collect(),
        leaving: Vec::new(),
        in_force: (0..team_count.min(DIGEST_LENGTH + 1))
            .map(|team| InForce {
                subtree: format!("/teams/{}", team_name(team)),
                version: id::Version::new(3),
            })
            .collect(),
        stopping: false,
    }
}

fn submit(job: usize, task_count: usize) -> Event {
    let task = Task {
        kind: parse("first"),
        payload: Arc::from(&b"{\"seat\": 12}"[..]),
        declared: None,
        demand: Resources::default(),
    };
    Event::Submit {
        caller: id::Caller::new(job as u64),
        wait: true,
        submission: Submission {
            team: parse(&team_name(0)),
            request: None,
            deadline: START_TIME.plus(Millis::new(60_000)),
            tasks: vec![task; task_count],
            trace: None,
        },
    }
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9))
}

fn parse<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("the text is valid")
}
