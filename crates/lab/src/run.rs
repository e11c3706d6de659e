//! Command line of the lab's program.

use clap::ArgMatches;
use clap::Command;
use mustardbay_process::arguments::flag;
use mustardbay_process::arguments::log;
use mustardbay_process::arguments::log_filter;
use mustardbay_process::arguments::print_usage;
use mustardbay_process::exit::Exit;
use mustardbay_process::logs;

use crate::compare;
use crate::demo;
use crate::error::LabError;
use crate::hop;
use crate::load;
use crate::measure;
use crate::platform;
use crate::platform::Platform;
use crate::rate_study;
use crate::relay;
use crate::relay::Relay;
use crate::slopes;
use crate::upstream;
use crate::upstream::Upstream;

/// Returns the description of the command line.
#[must_use]
pub fn command() -> Command {
    Command::new("mustardbay-lab")
        .about("Stand-ins, load and measurements for mustardbay")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(log())
        .subcommand(upstream::command())
        .subcommand(demo_command())
        .subcommand(hop::command())
        .subcommand(measure::command())
        .subcommand(compare::command())
        .subcommand(load::command())
        .subcommand(slopes::command())
        .subcommand(platform::command())
        .subcommand(rate_study::command())
        .subcommand(relay::command())
}

fn demo_command() -> Command {
    Command::new("demo")
        .about("Demonstrates the guarantees of mustardbay on a small local fleet")
        .arg(flag(
            "stay",
            "Print the fleet's addresses and keep it running until SIGTERM or Ctrl-C",
        ))
}

/// Runs the command line and returns the exit code.
pub async fn run() -> Exit {
    let matches = match command().try_get_matches() {
        Ok(matches) => matches,
        Err(e) => return print_usage(&e),
    };
    let _logs = logs::init("lab", log_filter(&matches));
    match execute(&matches).await {
        Ok(exit) => exit,
        Err(e) => {
            eprintln!("mustardbay-lab: {e}");
            Exit::Failed
        }
    }
}

async fn execute(matches: &ArgMatches) -> Result<Exit, LabError> {
    match matches.subcommand() {
        Some(("demo", args)) => return run_demo(args).await,
        Some(("hop", args)) => hop::run(args).await?,
        Some(("measure", args)) => return Ok(measure::run(args).await?),
        Some(("compare", args)) => compare::run(args)?,
        Some(("slopes", args)) => slopes::run(args).await?,
        Some(("load", args)) => load::run(args).await?,
        Some(("rates", args)) => rate_study::run(args),
        Some(("upstream", args)) => {
            let upstream = Upstream::start(args.into()).await?;
            println!("{}", upstream.address());
            wait_for_signal().await?;
            drop(upstream);
        }
        Some(("platform", args)) => {
            let platform = Platform::start(&args.into()).await?;
            println!("{}", platform.address());
            wait_for_signal().await?;
            drop(platform);
        }
        Some(("relay", args)) => {
            let relay = Relay::start(args.into()).await?;
            wait_for_signal().await?;
            drop(relay);
        }
        _ => return Ok(Exit::Usage),
    }
    Ok(Exit::Done)
}

/// Runs the demonstration; exits with a failure if a guarantee is violated.
async fn run_demo(args: &ArgMatches) -> Result<Exit, LabError> {
    if args.get_flag("stay") {
        demo::serve().await?;
        return Ok(Exit::Done);
    }
    let report = demo::run().await?;
    print!("{report}");
    Ok(if report.all_held() {
        Exit::Done
    } else {
        Exit::Failed
    })
}

/// Waits for SIGTERM or SIGINT.
async fn wait_for_signal() -> Result<(), LabError> {
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
