//! Measures the deployments under load and faults, with the real programs on loopback.

mod deployment;
mod experiment;
mod fault_injector;
mod ledger;
mod outcome;
mod read_counts;
mod report;
mod schedule;
mod slices;

use std::fs::File;
use std::io::BufWriter;
use std::path::PathBuf;
use std::time::Duration;

use clap::ArgMatches;
use clap::Command;
use mustardbay_process::arguments::all;
use mustardbay_process::arguments::choice;
use mustardbay_process::arguments::file;
use mustardbay_process::arguments::flag;
use mustardbay_process::arguments::maybe;
use mustardbay_process::arguments::one;
use mustardbay_process::arguments::option;
use mustardbay_process::exit::Exit;
use thiserror::Error;

use self::deployment::Deployment;
use self::experiment::Experiment;
use crate::arguments::repeated;
use crate::arguments::seed;
use crate::error::LabError;
use crate::fleet::FleetError;
use crate::history::HistoryError;

pub use self::outcome::FaultMark;
pub use self::outcome::Gap;
pub use self::outcome::Measurement;
pub use self::outcome::Outcome;
pub use self::outcome::Slice;

/// Length of the load of a full run.
const LENGTH: Duration = Duration::from_secs(100);

/// Length of the load of a quick run.
const QUICK_LENGTH: Duration = Duration::from_secs(25);

/// Failure to measure.
#[derive(Debug, Error)]
pub enum MeasureError {
    /// The fleet did not start or could not be controlled.
    #[error(transparent)]
    Fleet(#[from] FleetError),
    /// The relay before the entries did not start, or another part of the lab failed.
    #[error("relay: {0}")]
    Relay(Box<LabError>),
    /// A statement or connection of the measurement itself failed.
    #[error("statement failed: {0}")]
    Statement(#[from] tokio_postgres::Error),
    /// The task of the load panicked.
    #[error("load failed: {0}")]
    Load(#[from] tokio::task::JoinError),
    /// The layout has fewer groups than the faults need, or an upstream has no address.
    #[error("the deployment has too few groups or an upstream without an address")]
    IncompleteLayout,
    /// The ledger of a group could not be read in time.
    #[error("reading a ledger timed out")]
    LedgerTimeout,
    /// A file could not be read or written.
    #[error("file: {0}")]
    File(#[from] std::io::Error),
    /// A result could not be decoded or encoded as JSON.
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

/// Command line value that selects all deployments, one after the other.
const ALL_DEPLOYMENTS: &str = "both";

/// Arguments of `mustardbay-lab measure`.
#[derive(Debug, Clone)]
struct MeasureArgs {
    quick: bool,
    /// Name of a deployment, or [`ALL_DEPLOYMENTS`].
    deployment: String,
    seed: u64,
    /// YAML lines to append to the settings of every entry, for a baseline.
    entry_settings: Vec<String>,
    /// YAML lines to append to the settings of every pool.
    pool_settings: Vec<String>,
    /// YAML lines to append to the settings of every steward.
    steward_settings: Vec<String>,
    /// File for the result as JSON.
    json: Option<PathBuf>,
    /// File for a report with plots as HTML.
    report: Option<PathBuf>,
    /// File for the history of the last deployment as JSON lines.
    trace: Option<PathBuf>,
}

/// Returns the command line of `mustardbay-lab measure`.
#[must_use]
pub fn command() -> Command {
    let [klarsprak, sathi] = Deployment::ALL.map(Deployment::name);
    let values = [klarsprak, sathi, ALL_DEPLOYMENTS];
    let setting = |name, help| repeated(option(name, "YAML", help));
    Command::new("measure")
        .about("Measures both deployments under load and faults")
        .arg(flag(
            "quick",
            "Run for half a minute instead of two for each deployment",
        ))
        .arg(choice("deployment", &values, "Deployment to measure").default_value(ALL_DEPLOYMENTS))
        .arg(seed("Seed of the arrivals"))
        .arg(setting(
            "entry-setting",
            "Line to add to the settings of every entry, for a baseline; may be given many times",
        ))
        .arg(setting(
            "pool-setting",
            "Line to add to the settings of every pool",
        ))
        .arg(setting(
            "steward-setting",
            "Line to add to the settings of every steward",
        ))
        .arg(file("json", "File for the result as JSON"))
        .arg(file("report", "File for a report with plots as HTML"))
        .arg(file(
            "trace",
            "File for the history of the last deployment as JSON lines",
        ))
}

impl From<&ArgMatches> for MeasureArgs {
    fn from(args: &ArgMatches) -> Self {
        Self {
            quick: args.get_flag("quick"),
            deployment: one(args, "deployment"),
            seed: one(args, "seed"),
            entry_settings: all(args, "entry-setting"),
            pool_settings: all(args, "pool-setting"),
            steward_settings: all(args, "steward-setting"),
            json: maybe(args, "json"),
            report: maybe(args, "report"),
            trace: maybe(args, "trace"),
        }
    }
}

impl MeasureArgs {
    /// Returns the selected deployments.
    fn deployments(&self) -> impl Iterator<Item = Deployment> {
        let all = Deployment::ALL.into_iter();
        all.filter(|known| self.deployment == ALL_DEPLOYMENTS || self.deployment == known.name())
    }

    /// Returns the experiment on a deployment, with the additional settings.
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

    /// Returns the additional settings of all programs.
    fn settings(&self) -> Vec<String> {
        let all = [
            &self.entry_settings,
            &self.pool_settings,
            &self.steward_settings,
        ];
        all.into_iter().flatten().cloned().collect()
    }
}

/// Measures, prints the table and writes the files.
///
/// The exit is a failure if a check of a history found a violation.
///
/// # Errors
///
/// Fails if a fleet cannot be measured or a file cannot be written.
pub async fn run(args: &ArgMatches) -> Result<Exit, MeasureError> {
    let args = MeasureArgs::from(args);
    let mut measurement = Measurement {
        seed: args.seed,
        settings: args.settings(),
        outcomes: Vec::new(),
    };
    for deployment in args.deployments() {
        let (outcome, history) = args.experiment(deployment).run().await?;
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

/// Joins lines, each with a line break at its end.
fn lines(settings: &[String]) -> String {
    let parts = settings.iter().flat_map(|line| [line.as_str(), "\n"]);
    parts.collect()
}
