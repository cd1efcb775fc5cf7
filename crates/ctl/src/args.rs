//! Command-line arguments.

use bpaf::Bpaf;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Environment variable that holds the credential when `--credential-file` is not given.
pub const CREDENTIAL_VARIABLE: &str = "VERBENAPASS_CREDENTIAL";

/// Operates verbenapass: settings, changes, jobs and teams
#[derive(Clone, Debug, Bpaf)]
#[bpaf(
    options,
    version,
    footer(
        "Exit codes: 0 success or accepted, 1 failure, 2 bad usage or bad settings, 3 conflict with \
         another change, 4 pending."
    )
)]
pub struct Args {
    /// Print JSON
    pub json: bool,
    /// Address of an entry instance; give it several times to try the next one if one does not answer
    #[bpaf(argument("IP:PORT"))]
    pub entry: Vec<SocketAddr>,
    /// File with the credential; without it, the environment variable VERBENAPASS_CREDENTIAL is used
    #[bpaf(argument("FILE"))]
    pub credential_file: Option<PathBuf>,
    /// Timeout of one attempt in milliseconds
    #[bpaf(argument("MS"), fallback(5_000), display_fallback)]
    pub timeout_ms: u64,
    /// Maximum number of attempts for one request
    #[bpaf(argument("COUNT"), fallback(5), display_fallback)]
    pub attempts: u32,
    /// Command to run
    #[bpaf(external(command))]
    pub command: Command,
}

/// Command to run.
#[derive(Clone, Debug, Bpaf)]
pub enum Command {
    /// Read and change settings
    #[bpaf(command)]
    Settings(#[bpaf(external(settings))] Settings),
    /// Show the state of each entry instance named by --entry
    #[bpaf(command)]
    Status,
    /// Explain an answer code or a refusal reason
    #[bpaf(command)]
    Explain {
        /// Code or reason; without it, all of them are explained
        #[bpaf(positional("CODE"))]
        code: Option<String>,
    },
    /// Show or cancel a job
    #[bpaf(command)]
    Job(#[bpaf(external(job))] Job),
    /// Export or close a team
    #[bpaf(command)]
    Team(#[bpaf(external(team))] Team),
}

/// Commands that read and change settings.
#[derive(Clone, Debug, Bpaf)]
pub enum Settings {
    /// Print the value at a path
    #[bpaf(command)]
    Get {
        /// Path such as /teams/halvern/weight
        #[bpaf(positional("PATH"))]
        path: String,
    },
    /// Replace the value at a path
    #[bpaf(command)]
    Put {
        /// Source of the new value
        #[bpaf(external(value))]
        value: Value,
        /// Version that the subtree must have; without it, the current version is read first
        #[bpaf(argument("VERSION"))]
        expect: Option<u64>,
        /// Id of the change, to repeat an earlier change; without it, a new id is generated
        #[bpaf(argument("ID"))]
        change: Option<String>,
        /// Time to wait for every data centre to confirm the change
        #[bpaf(argument("SECONDS"), fallback(10), display_fallback)]
        wait: u64,
        /// Path such as /teams/halvern/weight
        #[bpaf(positional("PATH"))]
        path: String,
    },
    /// Validate a file with the settings of a subtree without sending it
    #[bpaf(command)]
    Check {
        /// File with the subtree as YAML
        #[bpaf(argument("FILE"))]
        file: PathBuf,
        /// Path of the subtree such as /teams/halvern
        #[bpaf(positional("PATH"))]
        path: String,
    },
    /// Print the last changes of a subtree
    #[bpaf(command)]
    History {
        /// Path of the subtree such as /teams/halvern
        #[bpaf(positional("PATH"))]
        path: String,
    },
    /// Print the state of a change
    #[bpaf(command)]
    Status {
        /// Id of the change
        #[bpaf(argument("ID"))]
        change: String,
        /// Time to wait for every data centre to confirm the change
        #[bpaf(argument("SECONDS"), fallback(0), display_fallback)]
        wait: u64,
        /// Path of the subtree such as /teams/halvern
        #[bpaf(positional("PATH"))]
        path: String,
    },
}

/// Source of a new settings value.
#[derive(Clone, Debug, Bpaf)]
pub enum Value {
    /// From a file
    File {
        /// File with the new value as YAML
        #[bpaf(argument("FILE"))]
        file: PathBuf,
    },
    /// From the command line
    Value {
        /// New value as YAML
        #[bpaf(argument("YAML"))]
        value: String,
    },
}

/// Commands that show and cancel jobs.
#[derive(Clone, Debug, Bpaf)]
pub enum Job {
    /// Print the state of a job
    #[bpaf(command)]
    Get {
        /// Id of the job
        #[bpaf(positional("ID"))]
        id: String,
    },
    /// Cancel a job
    #[bpaf(command)]
    Cancel {
        /// Id of the job
        #[bpaf(positional("ID"))]
        id: String,
    },
}

/// Commands that export and close teams.
#[derive(Clone, Debug, Bpaf)]
pub enum Team {
    /// Write settings, claim records and recent results of a team to files
    #[bpaf(command)]
    Export {
        /// Directory for the export, created if it does not exist
        #[bpaf(argument("DIR"))]
        out: PathBuf,
        /// Name of the team
        #[bpaf(positional("TEAM"))]
        team: String,
    },
    /// Wait until a team has no open jobs, export it and remove its settings
    #[bpaf(command)]
    Close {
        /// Directory for the export, created if it does not exist
        #[bpaf(argument("DIR"))]
        out: PathBuf,
        /// Time to wait for open jobs to end
        #[bpaf(argument("SECONDS"), fallback(60), display_fallback)]
        wait: u64,
        /// Name of the team
        #[bpaf(positional("TEAM"))]
        team: String,
    },
}
