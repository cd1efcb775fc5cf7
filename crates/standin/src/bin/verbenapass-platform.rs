//! Stand-in for the platform that keeps the table, objects and instance list in memory.

use slog::info;
use std::process::ExitCode;
use verbenapass_standin::{cli, platform, settings};

fn main() -> ExitCode {
    cli::main(
        "Stand-in for the platform: table, objects and instance list in memory",
        settings::load_platform,
        run,
    )
}

#[tokio::main(worker_threads = 2)]
async fn run(settings: settings::Platform) -> std::io::Result<()> {
    let log = cli::logger();
    let server = platform::Server::start(settings).await?;
    info!(log, "platform: ready"; "control" => %server.control());
    cli::wait_for_signal().await?;
    info!(log, "platform: stopping");
    server.stop().await;
    info!(log, "platform: stopped");
    Ok(())
}
