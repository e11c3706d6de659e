//! Open-loop load through entries, by a PostgreSQL client library.
//!
//! Every session adds rows to the table `ledger` and reads its newest sequence number, so that a
//! history of the run shows stale reads and lost or doubled writes.

mod arrival;
mod connection;
mod ending;
mod generator;
mod session;
mod summary;

use std::fs::File;
use std::io::BufWriter;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use clap::Args;
use tokio::time::Instant;

use crate::error::LabError;
use crate::history::History;

pub use self::arrival::Arrival;
pub use self::arrival::schedule;
pub use self::connection::Connection;
pub use self::connection::Credentials;
pub use self::connection::TokenLost;
pub use self::generator::Load;
pub use self::generator::Offer;
pub use self::generator::Plan;
pub use self::summary::Latency;
pub use self::summary::Summary;

/// Statements that make the table a load writes to.
pub const SCHEMA: [&str; 2] = [
    "CREATE TABLE IF NOT EXISTS ledger (request BIGINT, session BIGINT, seq BIGINT)",
    "CREATE INDEX IF NOT EXISTS ledger_session ON ledger (session)",
];

/// Arguments of `mustardbay-lab load`.
#[derive(Debug, Clone, Args)]
pub struct LoadArgs {
    /// Entry to connect to; may be given many times.
    #[arg(long = "entry", value_name = "IP:PORT", required = true)]
    entries: Vec<SocketAddr>,
    /// Account to run as.
    #[arg(long)]
    account: String,
    /// Key of the account.
    #[arg(long, env = "MUSTARDBAY_KEY", hide_env_values = true)]
    key: String,
    /// Route to take; may be given many times.
    #[arg(long = "route", value_name = "NAME", required = true)]
    routes: Vec<String>,
    /// Requests per second.
    #[arg(long, default_value_t = 100.0)]
    rate: f64,
    /// Share of reads, between 0 and 1.
    #[arg(long, default_value_t = 0.8)]
    reads: f64,
    /// Sessions at once.
    #[arg(long, default_value_t = 50)]
    sessions: u64,
    /// Length of the load in seconds.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// Seed of the arrivals.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Requests after which a session moves to another entry; 0 for never.
    #[arg(long, default_value_t = 0)]
    moves_after: u64,
    /// File for the summary as JSON.
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// File for the history as JSON lines.
    #[arg(long, value_name = "FILE")]
    trace: Option<PathBuf>,
}

/// Runs a load and prints its summary.
///
/// # Errors
///
/// Fails if the table cannot be made or a file cannot be written.
pub async fn run(args: LoadArgs) -> Result<(), LabError> {
    make_schema(&args).await?;
    let plan = Plan {
        entries: args.entries,
        offers: vec![Offer {
            account: args.account,
            key: args.key,
            routes: args.routes,
            rate: args.rate,
            reads: args.reads.clamp(0.0, 1.0),
            sessions: args.sessions,
        }],
        length: Duration::from_secs(args.seconds),
        seed: args.seed,
        first: first_number(),
        moves_after: args.moves_after,
    };
    let mut load = Load::prepare(plan, Instant::now()).await;
    load.restart(Instant::now());
    let requests = load.run().await;
    let summary = Summary::of(&requests);
    print!("{summary}");
    if let Some(path) = args.json {
        let text = serde_json::to_string_pretty(&summary).map_err(std::io::Error::other)?;
        std::fs::write(path, text)?;
    }
    if let Some(path) = args.trace {
        let history = History {
            requests,
            ..History::default()
        };
        history.write(BufWriter::new(File::create(path)?))?;
    }
    Ok(())
}

async fn make_schema(args: &LoadArgs) -> Result<(), LabError> {
    for route in &args.routes {
        let who = Credentials {
            account: args.account.clone(),
            key: args.key.clone(),
            route: route.clone(),
        };
        let connection = Connection::open(args.entries[0], &who, None).await?;
        for statement in SCHEMA {
            connection.run(statement).await?;
        }
        if let Err(e) = connection.close().await {
            tracing::debug!(event = "close_failed", error = %e);
        }
    }
    Ok(())
}

/// Returns a request number that an earlier run over the same database has not reached.
fn first_number() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let seconds = now.map_or(0, |now| now.as_secs());
    seconds << 28
}
