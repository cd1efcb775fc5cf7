//! Binary of the entry daemon.

use std::process::ExitCode;

fn main() -> ExitCode {
    verbenapass_entry::daemon::main()
}
