//! Command line.

use bpaf::Bpaf;
use std::path::PathBuf;

/// Dispatcher for short tasks: accepts jobs from callers and starts their tasks on targets.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(
    options,
    version,
    footer(
        "Exit codes: 0 after a planned stop or a valid check, 1 after a failure at run time, 2 for \
         bad usage or bad settings."
    )
)]
pub struct Args {
    /// Settings file in YAML
    #[bpaf(argument("FILE"))]
    pub settings: PathBuf,
    /// Check the settings file and exit
    pub check: bool,
}
