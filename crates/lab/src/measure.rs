//! Measures both deployments under load and faults, through the real programs on loopback.

mod deployment;
mod experiment;
mod faults;
mod found;
mod outcome;
mod reads;
mod report;
mod schedule;
mod slices;

use std::fs::File;
use std::io::BufWriter;
use std::path::PathBuf;
use std::time::Duration;

use clap::Args;
use clap::ValueEnum;
use mustardbay_process::exit::Exit;
use thiserror::Error;

use self::deployment::Deployment;
use self::experiment::Experiment;
use crate::error::LabError;
use crate::fleet::FleetError;
use crate::history::HistoryError;

pub use self::outcome::FaultMark;
pub use self::outcome::Gap;
pub use self::outcome::Measurement;
pub use self::outcome::Outcome;
pub use self::outcome::Slice;

/// Length of the load.
const LENGTH: Duration = Duration::from_secs(100);

/// Length of the load of a quick run.
const QUICK_LENGTH: Duration = Duration::from_secs(25);

/// Failure to measure.
#[derive(Debug, Error)]
pub enum MeasureError {
    /// The fleet did not start or could not be steered.
    #[error(transparent)]
    Fleet(#[from] FleetError),
    /// A relay did not start.
    #[error("relay: {0}")]
    Relay(Box<LabError>),
    /// A statement of the measurement itself failed.
    #[error("statement failed: {0}")]
    Statement(#[from] tokio_postgres::Error),
    /// The load ended in a panic.
    #[error("load failed: {0}")]
    Load(#[from] tokio::task::JoinError),
    /// A deployment needs three groups whose upstreams have addresses.
    #[error("the deployment has too few groups or an upstream without an address")]
    TooFewGroups,
    /// A ledger could not be read in time.
    #[error("a ledger was not read within its bound")]
    LedgerTimeout,
    /// A file could not be read or written.
    #[error("file: {0}")]
    File(#[from] std::io::Error),
    /// A result cannot be read or written as JSON.
    #[error("result: {0}")]
    Json(#[from] serde_json::Error),
    /// A history could not be written.
    #[error(transparent)]
    History(#[from] HistoryError),
    /// A plot could not be drawn.
    #[error("plot: {0}")]
    Plot(String),
}

impl From<LabError> for MeasureError {
    fn from(error: LabError) -> Self {
        Self::Relay(Box::new(error))
    }
}

/// Which deployments to measure.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
enum Which {
    /// Klarspråk Tilpasning.
    Klarsprak,
    /// Chattopadhyay Sathi Calls.
    Sathi,
    /// Both, one after the other.
    Both,
}

impl Which {
    fn deployments(self) -> &'static [Deployment] {
        match self {
            Self::Klarsprak => &[Deployment::Klarsprak],
            Self::Sathi => &[Deployment::Sathi],
            Self::Both => &[Deployment::Klarsprak, Deployment::Sathi],
        }
    }
}

/// Arguments of `mustardbay-lab measure`.
#[derive(Debug, Clone, Args)]
pub struct MeasureArgs {
    /// Run for half a minute instead of two for each deployment.
    #[arg(long)]
    quick: bool,
    /// Deployment to measure.
    #[arg(long, value_enum, default_value = "both")]
    deployment: Which,
    /// Seed of the arrivals.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Line to add to the settings of every entry, for a baseline; may be given many times.
    #[arg(long = "entry-setting", value_name = "YAML")]
    entry_settings: Vec<String>,
    /// Line to add to the settings of every pool.
    #[arg(long = "pool-setting", value_name = "YAML")]
    pool_settings: Vec<String>,
    /// Line to add to the settings of every steward.
    #[arg(long = "steward-setting", value_name = "YAML")]
    steward_settings: Vec<String>,
    /// File for the result as JSON.
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// File for a report with plots as HTML.
    #[arg(long, value_name = "FILE")]
    report: Option<PathBuf>,
    /// File for the history of the last deployment as JSON lines.
    #[arg(long, value_name = "FILE")]
    trace: Option<PathBuf>,
}

impl MeasureArgs {
    fn experiment(&self, deployment: Deployment) -> Experiment {
        let mut layout = deployment.layout();
        layout.entry_settings.push_str(&lines(&self.entry_settings));
        layout.pool_settings.push_str(&lines(&self.pool_settings));
        layout
            .steward_settings
            .push_str(&lines(&self.steward_settings));
        Experiment {
            deployment,
            layout,
            length: if self.quick { QUICK_LENGTH } else { LENGTH },
            seed: self.seed,
        }
    }

    fn settings(&self) -> Vec<String> {
        let all = [
            &self.entry_settings,
            &self.pool_settings,
            &self.steward_settings,
        ];
        all.into_iter().flatten().cloned().collect()
    }
}

/// Measures, prints the table and writes the files; a broken promise is a failure.
///
/// # Errors
///
/// Fails if a fleet cannot be measured or a file cannot be written.
pub async fn run(args: MeasureArgs) -> Result<Exit, MeasureError> {
    let mut measurement = Measurement {
        seed: args.seed,
        settings: args.settings(),
        outcomes: Vec::new(),
    };
    for deployment in args.deployment.deployments() {
        let (outcome, history) = args.experiment(*deployment).run().await?;
        measurement.outcomes.push(outcome);
        if let Some(path) = &args.trace {
            history.write(BufWriter::new(File::create(path)?))?;
        }
    }
    print!("{measurement}");
    if let Some(path) = &args.json {
        measurement.save(path)?;
    }
    if let Some(path) = &args.report {
        std::fs::write(path, report::page(&measurement)?)?;
    }
    Ok(if measurement.holds() {
        Exit::Done
    } else {
        Exit::Failed
    })
}

fn lines(settings: &[String]) -> String {
    let ended = settings.iter().flat_map(|line| [line.as_str(), "\n"]);
    ended.collect()
}
