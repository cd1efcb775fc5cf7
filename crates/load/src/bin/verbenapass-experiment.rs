//! Simulates routing strategies on a virtual clock and compares them.

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
