//! Binary of the operator command.

use std::process::ExitCode;

fn main() -> ExitCode {
    verbenapass_ctl::main()
}
