//! Runs one case: `review-standin-2 CASE RECORD`. Exits with 0 if the rule held, 1 if it was broken
//! and 2 if the case couldn't run. With `TROUBLE=0` the disruptions are left out.

mod cases;
mod client;
mod fleet;
mod http;
mod json;
mod random;
mod record;
mod store;
mod worker;

use record::Record;
use std::process::ExitCode;
use std::sync::Arc;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(path)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review-standin-2 CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let seed = std::env::var("SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(1);
    let record = Arc::new(Record::new());
    let result = cases::run(&case, has_trouble, seed, &record);
    let (code, summary) = match &result {
        Ok(breaks) if breaks.is_empty() => (0, vec!["the rule held".to_owned()]),
        Ok(breaks) => (1, breaks.clone()),
        Err(error) => (2, vec![format!("the case couldn't run: {error}")]),
    };
    let mut text = format!("case {case}, trouble {has_trouble}, seed {seed}\n");
    for line in &summary {
        text.push_str(line);
        text.push('\n');
        println!("{line}");
    }
    text.push('\n');
    text.push_str(&record.text());
    if let Err(error) = std::fs::write(&path, text) {
        eprintln!("{path}: {error}");
        return ExitCode::from(2);
    }
    ExitCode::from(code)
}
