//! Command line of the steward.

use mustardbay_process::arguments::Program;
use mustardbay_process::arguments::Start;
use mustardbay_process::exit::Exit;

use crate::settings::StewardSettings;
use crate::start::start;

/// Name, version and settings file of the program.
pub const PROGRAM: Program = Program {
    name: "steward",
    binary: "mustardbay-steward",
    version: env!("CARGO_PKG_VERSION"),
    about: "Keeps the view of the fleet, watches primaries and shares out rates on one vm",
    settings_variable: "MUSTARDBAY_SETTINGS",
    default_file: "steward.yaml",
};

/// Runs the program until it has drained and returns its exit status.
#[must_use]
pub fn run() -> Exit {
    let running = match PROGRAM.start::<StewardSettings>(std::env::args_os()) {
        Start::Run(running) => running,
        Start::End(exit) => return exit,
    };
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(e) => {
            tracing::error!(event = "start_failed", error = %e);
            return Exit::Failed;
        }
    };
    runtime.block_on(serve(running.settings))
}

async fn serve(settings: StewardSettings) -> Exit {
    let running = match start(settings).await {
        Ok(running) => running,
        Err(e) => {
            tracing::error!(event = "start_failed", error = %e);
            return Exit::Failed;
        }
    };
    if let Err(e) = running.lifecycle().drain_on_signal() {
        tracing::error!(event = "start_failed", error = %e);
        return Exit::Failed;
    }
    running.until_drained().await;
    Exit::Done
}
