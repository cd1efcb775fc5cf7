//! Compares ways of routing on a virtual clock.

use std::process::ExitCode;
use verbenapass_load::report;

fn main() -> ExitCode {
    let arguments = report::arguments().run();
    match report::run(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("experiment: {error}");
            ExitCode::FAILURE
        }
    }
}
