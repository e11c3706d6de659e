//! Command line and startup of the pool.

use mustardbay_link::StewardLink;
use mustardbay_process::admin::Admin;
use mustardbay_process::arguments::Program;
use mustardbay_process::arguments::Start;
use mustardbay_process::exit::Exit;
use mustardbay_process::incarnation::incarnation;
use mustardbay_process::lifecycle::Lifecycle;
use mustardbay_process::metrics::Metrics;
use thiserror::Error;

use crate::pool::Pool;
use crate::settings::PoolSettings;

/// Command line description of the pool program.
pub const PROGRAM: Program = Program {
    name: "pool",
    binary: "mustardbay-pool",
    version: env!("CARGO_PKG_VERSION"),
    about: "Holds upstream connections and runs the statements that entries send",
    settings_variable: "MUSTARDBAY_SETTINGS",
    default_file: "pool.yaml",
};

/// Why the pool could not start.
#[derive(Debug, Error)]
enum StartError {
    #[error("cannot bind an address or install a signal handler: {0}")]
    Io(#[from] std::io::Error),
    #[error(transparent)]
    Metrics(#[from] mustardbay_process::metrics::MetricsError),
}

/// Runs the pool until it has drained and returns the exit status.
pub async fn run() -> Exit {
    let running = match PROGRAM.start::<PoolSettings>(std::env::args_os()) {
        Start::Run(running) => running,
        Start::End(exit) => return exit,
    };
    match serve(running.settings).await {
        Ok(()) => Exit::Done,
        Err(e) => {
            tracing::error!(event = "start_failed", error = %e);
            Exit::Failed
        }
    }
}

async fn serve(settings: PoolSettings) -> Result<(), StartError> {
    let lifecycle = Lifecycle::new();
    lifecycle.drain_on_signal()?;
    let metrics = Metrics::new()?;
    let link = StewardLink::start(settings.steward.clone(), "pool", incarnation());
    let admin_address = settings.admin.clone();
    let pool = Pool::new(settings, link, lifecycle.clone(), &metrics.meter());
    let dump_pool = pool.clone();
    Admin::new(lifecycle.clone(), metrics, move || {
        let pool = dump_pool.clone();
        async move { pool.dump() }
    })
    .serve(&admin_address)
    .await?;
    pool.serve().await?;
    lifecycle.mark_ready();
    lifecycle.stopped().await;
    Ok(())
}
