//! Stand-in for targets that runs each task for the time given in its payload.

use slog::info;
use std::process::ExitCode;
use verbenapass_standin::{cli, settings, target};

fn main() -> ExitCode {
    cli::main(
        "Stand-in for targets: runs tasks for the time that their payload gives",
        settings::load_targets,
        run,
    )
}

#[tokio::main(worker_threads = 4)]
async fn run(settings: settings::Targets) -> std::io::Result<()> {
    let log = cli::logger();
    let server = target::Server::start(settings).await?;
    info!(log, "target: ready"; "control" => %server.control());
    cli::wait_for_signal().await?;
    info!(log, "target: stopping");
    server.stop().await;
    info!(log, "target: stopped");
    Ok(())
}
