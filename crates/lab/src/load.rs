//! Open-loop load on entries, generated with a PostgreSQL client library.
//!
//! Every session inserts rows with ascending sequence numbers into the table `ledger` and reads its
//! newest sequence number. A history of the run thus shows stale reads and lost or doubled writes.

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

use clap::ArgMatches;
use clap::Command;
use mustardbay_process::arguments::all;
use mustardbay_process::arguments::file;
use mustardbay_process::arguments::maybe;
use mustardbay_process::arguments::one;
use mustardbay_process::arguments::option;
use tokio::time::Instant;

use crate::arguments::number;
use crate::arguments::parsed;
use crate::arguments::repeated;
use crate::arguments::secret;
use crate::arguments::seed;
use crate::error::LabError;
use crate::history::History;

pub use self::arrival::Arrival;
pub use self::arrival::schedule;
pub use self::connection::CloseTimeout;
pub use self::connection::Connection;
pub use self::connection::Credentials;
pub use self::generator::AccountLoad;
pub use self::generator::Generator;
pub use self::generator::Workload;
pub use self::summary::Latency;
pub use self::summary::Summary;

/// Statements that create the table that the load reads and writes.
pub const SCHEMA: [&str; 2] = [
    "CREATE TABLE IF NOT EXISTS ledger (request BIGINT, session BIGINT, seq BIGINT)",
    "CREATE INDEX IF NOT EXISTS ledger_session ON ledger (session)",
];

/// Arguments of `mustardbay-lab load`.
#[derive(Debug, Clone)]
struct LoadArgs {
    load: AccountLoad,
    entries: Vec<SocketAddr>,
    length: Duration,
    seed: u64,
    moves_after: u64,
    /// File for the summary as JSON.
    json: Option<PathBuf>,
    /// File for the history as JSON lines.
    trace: Option<PathBuf>,
}

/// Returns the command line of `mustardbay-lab load`.
#[must_use]
pub fn command() -> Command {
    let entry = parsed::<SocketAddr>(
        "entry",
        "IP:PORT",
        "Entry to connect to; may be given many times",
    );
    let route = option("route", "NAME", "Route to take; may be given many times");
    Command::new("load")
        .about("Puts an open-loop load on entries")
        .arg(repeated(entry).required(true))
        .arg(option("account", "NAME", "Account to run as").required(true))
        .arg(secret("key", "MUSTARDBAY_KEY", "Key of the account").required(true))
        .arg(repeated(route).required(true))
        .arg(number::<f64>("rate", "100", "Requests per second"))
        .arg(number::<f64>(
            "reads",
            "0.8",
            "Share of reads, between 0 and 1",
        ))
        .arg(number::<u64>("sessions", "50", "Sessions at once"))
        .arg(number::<u64>(
            "seconds",
            "10",
            "Length of the load in seconds",
        ))
        .arg(seed("Seed of the arrivals"))
        .arg(number::<u64>(
            "moves-after",
            "0",
            "Requests after which a session moves to another entry; 0 for never",
        ))
        .arg(file("json", "File for the summary as JSON"))
        .arg(file("trace", "File for the history as JSON lines"))
}

impl From<&ArgMatches> for LoadArgs {
    fn from(args: &ArgMatches) -> Self {
        let reads: f64 = one(args, "reads");
        Self {
            load: AccountLoad {
                account: one(args, "account"),
                key: one(args, "key"),
                routes: all(args, "route"),
                rate: one(args, "rate"),
                reads: reads.clamp(0.0, 1.0),
                sessions: one(args, "sessions"),
            },
            entries: all(args, "entry"),
            length: Duration::from_secs(one(args, "seconds")),
            seed: one(args, "seed"),
            moves_after: one(args, "moves-after"),
            json: maybe(args, "json"),
            trace: maybe(args, "trace"),
        }
    }
}

/// Runs a load, prints its summary and writes the files that were asked for.
///
/// # Errors
///
/// Fails if the table cannot be created or a file cannot be written.
pub async fn run(args: &ArgMatches) -> Result<(), LabError> {
    let args = LoadArgs::from(args);
    create_schema(&args).await?;
    let workload = Workload {
        entries: args.entries,
        accounts: vec![args.load],
        length: args.length,
        seed: args.seed,
        first_id: first_id(),
        moves_after: args.moves_after,
    };
    let mut generator = Generator::connect(workload, Instant::now()).await;
    generator.set_start(Instant::now());
    let requests = generator.run().await;
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

/// Creates the table on the group of every route, through the first entry.
async fn create_schema(args: &LoadArgs) -> Result<(), LabError> {
    for route in &args.load.routes {
        let credentials = Credentials {
            account: args.load.account.clone(),
            key: args.load.key.clone(),
            route: route.clone(),
        };
        let connection = Connection::open(args.entries[0], &credentials, None).await?;
        for statement in SCHEMA {
            connection.run(statement).await?;
        }
        if let Err(e) = connection.close().await {
            tracing::debug!(event = "close_failed", error = %e);
        }
    }
    Ok(())
}

/// Returns a request id above those of earlier runs over the same database.
///
/// The id is the Unix time in seconds, shifted so that a run may use 2^28 ids a second.
fn first_id() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let seconds = now.map_or(0, |now| now.as_secs());
    seconds << 28
}
