//! Measures control overhead at several sizes and extrapolates it to the design size.

use bpaf::{OptionParser, Parser, construct, long};
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};
use std::alloc::System;
use std::process::ExitCode;
use verbenapass_load::capacity;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

struct Args {
    json: bool,
}

fn args() -> OptionParser<Args> {
    let json = long("json").help("Print JSON instead of a Markdown table").switch();
    construct!(Args { json })
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Measures control overhead at several sizes. Exit codes: 0 done, 1 usage")
}

fn allocated() -> u64 {
    let stats = ALLOCATOR.stats();
    (stats.bytes_allocated - stats.bytes_deallocated) as u64
}

fn main() -> ExitCode {
    let args = args().run();
    let lines = capacity::run(allocated);
    if args.json {
        let text = serde_json::to_string_pretty(&lines).expect("lines have only string keys");
        println!("{text}");
    } else {
        print!("{}", capacity::table(&lines));
    }
    ExitCode::SUCCESS
}
