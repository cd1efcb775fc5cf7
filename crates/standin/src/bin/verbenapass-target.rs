//! Stand-in for targets: runs tasks for the time that their payload gives.

use slog::info;
use std::process::ExitCode;
use verbenapass_standin::{cli, settings, target};

fn main() -> ExitCode {
    let arguments = match cli::parse(
        "Stand-in for targets: runs tasks for the time that their payload gives",
    ) {
        Ok(arguments) => arguments,
        Err(code) => return code,
    };
    let settings = match settings::load_targets(&arguments.settings) {
        Ok(settings) => settings,
        Err(error) => return cli::fail(cli::USAGE, &error),
    };
    if arguments.check {
        return ExitCode::SUCCESS;
    }
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => cli::fail(cli::FAILURE, &error),
    }
}

#[tokio::main(worker_threads = 4)]
async fn run(settings: settings::Targets) -> std::io::Result<()> {
    let log = cli::logger();
    let server = target::Server::start(settings).await?;
    info!(log, "target: ready"; "control" => %server.control());
    cli::stopped().await?;
    info!(log, "target: stopping");
    server.stop().await;
    info!(log, "target: stopped");
    Ok(())
}
