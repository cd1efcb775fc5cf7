//! Operator command: reads and changes settings, shows and cancels jobs, exports and closes teams.
//!
//! The command talks to entry instances over HTTP. After a lost reply or a 5xx answer, it sends the
//! request again to the next instance of the list. A repeated change of settings has the same change
//! id and expected version, so it is applied at most once.
//!
//! # Example
//!
//! ```
//! use verbenapass_ctl::explain;
//!
//! let topics = explain::find("platform_unavailable");
//! assert!(topics[0].action.contains("platform"));
//! ```

pub mod args;
pub mod client;
pub mod error;
pub mod explain;
pub mod run;

use std::io::Write as _;
use std::process::ExitCode;

/// Exit code for success. For a change it means that every data centre confirmed it.
pub const EXIT_OK: u8 = 0;
/// Exit code for a failure at run time.
pub const EXIT_FAILED: u8 = 1;
/// Exit code for bad usage or bad settings.
pub const EXIT_USAGE: u8 = 2;
/// Exit code for a change without effect because another change was stored first.
pub const EXIT_CONFLICT: u8 = 3;
/// Exit code for a change that is stored but not yet confirmed by every data centre.
pub const EXIT_PENDING: u8 = 4;

/// Column at which help and usage messages are wrapped.
const HELP_WIDTH: usize = 100;

/// Runs the command with the arguments of the process and returns its exit code.
pub fn main() -> ExitCode {
    let args = match args::args().run_inner(bpaf::Args::current_args()) {
        Ok(args) => args,
        Err(failure) => {
            failure.print_message(HELP_WIDTH);
            return ExitCode::from(if failure.exit_code() == 0 { EXIT_OK } else { EXIT_USAGE });
        }
    };
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("verbenapass-ctl: runtime: {error}");
            return ExitCode::from(EXIT_FAILED);
        }
    };
    let mut stdout = std::io::stdout();
    let code = match runtime.block_on(run::run(&args, &mut stdout)) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("verbenapass-ctl: {error}");
            error.exit_code()
        }
    };
    match stdout.flush() {
        Ok(()) => ExitCode::from(code),
        Err(_) => ExitCode::from(EXIT_FAILED),
    }
}
