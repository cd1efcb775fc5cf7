//! Plays one case against the project's own program: `standin CASE RECORD`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With `TROUBLE=0` in
//! the environment, the disruption is left out.

mod deployment;
mod fleet;
mod http;
mod json;
mod late_stops;
mod record;
mod shrunk;
mod store;
mod worker;

use std::path::Path;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, record] = arguments.as_slice() else {
        eprintln!("usage: standin CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let played = match case.as_str() {
        "shrunk" => shrunk::play(Path::new(record), has_trouble),
        "late-stops" => late_stops::play(Path::new(record), has_trouble),
        _ => Err(std::io::Error::other(format!("there is no case {case}"))),
    };
    match played {
        Ok(broken) if broken.is_empty() => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Ok(broken) => {
            println!("the rule was broken {} times; the first:", broken.len());
            broken.iter().take(5).for_each(|line| println!("  {line}"));
            ExitCode::from(1)
        }
        Err(error) => {
            println!("the case couldn't run: {error}");
            ExitCode::from(2)
        }
    }
}
