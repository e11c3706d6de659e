//! Command line of the lab.

use clap::Parser;
use clap::Subcommand;
use mustardbay_process::exit::Exit;
use mustardbay_process::logs;

use crate::error::LabError;
use crate::platform;
use crate::platform::Platform;
use crate::upstream::Upstream;
use crate::upstream::UpstreamArgs;

/// Stand-ins, load and measurements for mustardbay.
#[derive(Debug, Parser)]
#[command(version, about)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Runs a stand-in for a database server.
    Upstream(UpstreamArgs),
    /// Runs a stand-in for the platform's key-value service.
    Platform(platform::Config),
}

/// Runs the command line and returns the exit code.
pub async fn run() -> Exit {
    let cli = match Cli::try_parse() {
        Ok(cli) => cli,
        Err(e) => return usage(&e),
    };
    logs::init("mustardbay-lab");
    match execute(cli.command).await {
        Ok(exit) => exit,
        Err(e) => {
            eprintln!("mustardbay-lab: {e}");
            Exit::Failed
        }
    }
}

async fn execute(command: Command) -> Result<Exit, LabError> {
    match command {
        Command::Upstream(args) => {
            let upstream = Upstream::start(args.into()).await?;
            println!("{}", upstream.address());
            interrupted().await?;
            drop(upstream);
        }
        Command::Platform(config) => {
            let platform = Platform::start(&config).await?;
            println!("{}", platform.address());
            interrupted().await?;
            drop(platform);
        }
    }
    Ok(Exit::Done)
}

/// Prints what clap has to say; help and version are no failure.
fn usage(error: &clap::Error) -> Exit {
    eprint!("{error}");
    if error.use_stderr() {
        Exit::Usage
    } else {
        Exit::Done
    }
}

/// Waits for SIGTERM or SIGINT.
async fn interrupted() -> Result<(), LabError> {
    use tokio::signal::unix::SignalKind;
    use tokio::signal::unix::signal;
    let mut terminate = signal(SignalKind::terminate()).map_err(LabError::Socket)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(LabError::Socket)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
