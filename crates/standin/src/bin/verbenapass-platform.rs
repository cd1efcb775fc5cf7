//! Stand-in for the platform: table, objects and instance list in memory.

use slog::info;
use std::process::ExitCode;
use verbenapass_standin::{cli, platform, settings};

fn main() -> ExitCode {
    let arguments =
        match cli::parse("Stand-in for the platform: table, objects and instance list in memory") {
            Ok(arguments) => arguments,
            Err(code) => return code,
        };
    let settings = match settings::load_platform(&arguments.settings) {
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

#[tokio::main(worker_threads = 2)]
async fn run(settings: settings::Platform) -> std::io::Result<()> {
    let log = cli::logger();
    let server = platform::Server::start(settings).await?;
    info!(log, "platform: ready"; "control" => %server.control());
    cli::stopped().await?;
    info!(log, "platform: stopping");
    server.stop().await;
    info!(log, "platform: stopped");
    Ok(())
}
