//! Command line of the entry.

use mustardbay_process::arguments::Program;
use mustardbay_process::arguments::Start;
use mustardbay_process::exit::Exit;
use mustardbay_process::lifecycle::Lifecycle;

use crate::entry::Entry;
use crate::settings::EntrySettings;

/// Command line of the program.
pub const PROGRAM: Program = Program {
    name: "entry",
    binary: "mustardbay-entry",
    version: env!("CARGO_PKG_VERSION"),
    about: "Serves callers' PostgreSQL sessions",
    settings_variable: "MUSTARDBAY_SETTINGS",
    default_file: "entry.yaml",
};

/// Runs the program until it has drained and returns its exit code.
#[must_use]
pub fn run() -> Exit {
    match PROGRAM.start::<EntrySettings>(std::env::args_os()) {
        Start::Run(running) => serve(running.settings),
        Start::End(exit) => exit,
    }
}

fn serve(settings: EntrySettings) -> Exit {
    let runtime = match tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(e) => {
            tracing::error!(event = "start_failed", error = %e);
            return Exit::Failed;
        }
    };
    runtime.block_on(async {
        let lifecycle = Lifecycle::new();
        let started = match lifecycle.drain_on_signal() {
            Ok(()) => Entry::start(settings, lifecycle.clone()).await,
            Err(e) => Err(e.into()),
        };
        match started {
            Ok(_entry) => {
                lifecycle.stopped().await;
                Exit::Done
            }
            Err(e) => {
                tracing::error!(event = "start_failed", error = %e);
                Exit::Failed
            }
        }
    })
}
