//! Entry point of `verbenapass-ctl`.

use std::process::ExitCode;

fn main() -> ExitCode {
    verbenapass_ctl::main()
}
