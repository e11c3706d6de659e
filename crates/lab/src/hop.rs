//! Cost of the proxy hop: an entry compared with a direct connection to the same upstream.

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use clap::ArgMatches;
use clap::Command;
use mustardbay_process::arguments::file;
use mustardbay_process::arguments::maybe;
use mustardbay_process::arguments::one;
use mustardbay_process::arguments::option;
use serde::Deserialize;
use serde::Serialize;
use tokio::task::JoinSet;
use tokio_postgres::Client;
use tokio_postgres::NoTls;

use crate::arguments::number;
use crate::arguments::parsed;
use crate::arguments::secret;
use crate::error::LabError;
use crate::fleet;
use crate::fleet::Fleet;
use crate::load::Latency;
use crate::measure::MeasureError;

/// Rounds in which the two paths alternate, so that both see the same load of the machine.
const ROUNDS: u32 = 4;

/// Account rate and burst that no measurement reaches, in statements per second.
const UNLIMITED_RATE: f64 = 1_000_000.0;

/// Slots of a group that no measurement fills.
const UNLIMITED_SLOTS: u32 = 64;

/// Connections of an upstream, enough for both paths.
const UNLIMITED_CONNECTIONS: u32 = 400;

/// Arguments of `mustardbay-lab hop`.
#[derive(Debug, Clone)]
struct HopArgs {
    entry: Option<SocketAddr>,
    direct: Option<SocketAddr>,
    term: u64,
    account: Option<String>,
    key: Option<String>,
    route: Option<String>,
    statement: String,
    /// Concurrent connections of the throughput measurement.
    connections: usize,
    /// Length of the whole measurement.
    length: Duration,
    /// File for the result as JSON.
    json: Option<PathBuf>,
}

/// Returns the command line of `mustardbay-lab hop`.
#[must_use]
pub fn command() -> Command {
    let entry = parsed::<SocketAddr>(
        "entry",
        "IP:PORT",
        "Entry to go through; without it a fleet is started for the measurement",
    );
    Command::new("hop")
        .about("Measures what an entry costs compared with a direct connection")
        .arg(entry.requires_all(["direct", "account", "key", "route"]))
        .arg(parsed::<SocketAddr>(
            "direct",
            "IP:PORT",
            "Upstream to connect to directly",
        ))
        .arg(number::<u64>("term", "1", "Term that the upstream is at"))
        .arg(option("account", "NAME", "Account to run as"))
        .arg(secret("key", "MUSTARDBAY_KEY", "Key of the account"))
        .arg(option("route", "NAME", "Route to take"))
        .arg(option("statement", "SQL", "Statement to run").default_value("SELECT 1"))
        .arg(number::<usize>(
            "connections",
            "16",
            "Concurrent connections of the throughput measurement",
        ))
        .arg(number::<u64>(
            "seconds",
            "16",
            "Length of the whole measurement in seconds",
        ))
        .arg(file("json", "File for the result as JSON"))
}

impl From<&ArgMatches> for HopArgs {
    fn from(args: &ArgMatches) -> Self {
        Self {
            entry: maybe(args, "entry"),
            direct: maybe(args, "direct"),
            term: one(args, "term"),
            account: maybe(args, "account"),
            key: maybe(args, "key"),
            route: maybe(args, "route"),
            statement: one(args, "statement"),
            connections: one(args, "connections"),
            length: Duration::from_secs(one(args, "seconds")),
            json: maybe(args, "json"),
        }
    }
}

/// Latency and throughput of one path.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PathResult {
    /// Latency of statements that run one after the other on one connection.
    pub latency: Latency,
    /// Statements per second over all concurrent connections.
    pub throughput: f64,
}

/// Result of `mustardbay-lab hop`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HopResult {
    /// Path through the entry.
    pub entry: PathResult,
    /// Direct path.
    pub direct: PathResult,
    /// Concurrent connections of the throughput measurement.
    pub connections: usize,
}

impl fmt::Display for HopResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (name, path) in [("direct", &self.direct), ("entry", &self.entry)] {
            writeln!(
                f,
                "{name:6}  p50 {:6} us  p99 {:6} us  {:9.0} statements/s over {} connections",
                path.latency.p50, path.latency.p99, path.throughput, self.connections
            )?;
        }
        let cost = self
            .entry
            .latency
            .p50
            .saturating_sub(self.direct.latency.p50);
        writeln!(f, "hop     p50 {cost:6} us")
    }
}

/// Runs the measurement, prints its result and writes the result file.
///
/// # Errors
///
/// Fails if the fleet does not start, a connection or a statement fails, or the result cannot be
/// written.
pub async fn run(args: &ArgMatches) -> Result<(), LabError> {
    let args = HopArgs::from(args);
    let result = match targets(&args) {
        Some(targets) => measure(&args, &targets).await?,
        None => measure_fleet(&args).await?,
    };
    print!("{result}");
    if let Some(path) = &args.json {
        let text = serde_json::to_string_pretty(&result).map_err(std::io::Error::other)?;
        std::fs::write(path, text)?;
    }
    Ok(())
}

/// Connection settings of both paths.
#[derive(Debug)]
struct Targets {
    entry: tokio_postgres::Config,
    direct: tokio_postgres::Config,
}

/// Returns the targets in the arguments; `None` if they name no entry.
fn targets(args: &HopArgs) -> Option<Targets> {
    let mut entry = tokio_postgres::Config::new();
    let address = args.entry?;
    entry.host(address.ip().to_string()).port(address.port());
    entry.user(args.account.as_ref()?);
    entry.password(args.key.as_ref()?);
    entry.dbname(args.route.as_ref()?);
    Some(Targets {
        entry,
        direct: direct_config(args.direct?, args.term),
    })
}

/// Starts a fleet whose limits are out of reach, measures it and stops it.
async fn measure_fleet(args: &HopArgs) -> Result<HopResult, MeasureError> {
    let mut layout = fleet::demo();
    for account in &mut layout.bundle.accounts {
        account.rate = UNLIMITED_RATE;
        account.burst = UNLIMITED_RATE;
    }
    for group in &mut layout.bundle.groups {
        group.slots = UNLIMITED_SLOTS;
        group.connections = UNLIMITED_CONNECTIONS;
    }
    let fleet = Fleet::start(layout).await?;
    let group = fleet.bundle().groups.first();
    let group = group.ok_or(MeasureError::IncompleteLayout)?;
    let primary = fleet.primary(group.name.as_str()).await?;
    let state = fleet.upstream_state(primary.as_str()).await?;
    let term = state["term"].as_u64().unwrap_or(0);
    let mut upstreams = group.upstreams.iter();
    let upstream = upstreams.find(|up| up.name == primary);
    let address = upstream.and_then(|up| up.address.parse().ok());
    let account = fleet.bundle().accounts[0].name.to_string();
    let url = fleet.entry_url(fleet.vms()[0].as_str(), &account);
    let targets = Targets {
        entry: format!("{url}/{}", group.name).parse()?,
        direct: direct_config(address.ok_or(MeasureError::IncompleteLayout)?, term),
    };
    let result = measure(args, &targets).await?;
    fleet.stop().await;
    Ok(result)
}

/// Measures latency and throughput of both paths in alternating rounds.
async fn measure(args: &HopArgs, targets: &Targets) -> Result<HopResult, LabError> {
    // A round has four phases: latency and throughput for each of the two paths.
    let phase = args.length / (ROUNDS * 4);
    let mut samples = [Vec::new(), Vec::new()];
    let mut statements = [0, 0];
    for _ in 0..ROUNDS {
        for (at, target) in [&targets.entry, &targets.direct].into_iter().enumerate() {
            samples[at].extend(measure_latencies(target, &args.statement, phase).await?);
            statements[at] +=
                count_statements(target, &args.statement, args.connections, phase).await?;
        }
    }
    let length = (phase * ROUNDS).as_secs_f64();
    let [entry, direct] = [0, 1].map(|at: usize| PathResult {
        latency: Latency::of(samples[at].iter().copied()),
        throughput: f64::from(statements[at]) / length,
    });
    Ok(HopResult {
        entry,
        direct,
        connections: args.connections,
    })
}

/// Returns the settings of a direct connection to an upstream at a term.
fn direct_config(address: SocketAddr, term: u64) -> tokio_postgres::Config {
    let mut config = tokio_postgres::Config::new();
    config.host(address.ip().to_string()).port(address.port());
    config.user("mustardbay").dbname("mustardbay");
    config.options(format!("-c mustardbay.term={term}"));
    config
}

async fn open(config: &tokio_postgres::Config) -> Result<Client, tokio_postgres::Error> {
    let (client, connection) = config.connect(NoTls).await?;
    tokio::spawn(connection);
    Ok(client)
}

/// Runs statements one after the other and returns their latencies in microseconds.
async fn measure_latencies(
    config: &tokio_postgres::Config,
    statement: &str,
    length: Duration,
) -> Result<Vec<u64>, LabError> {
    let client = open(config).await?;
    let mut samples = Vec::new();
    let end = Instant::now() + length;
    while Instant::now() < end {
        let start = Instant::now();
        client.simple_query(statement).await?;
        let latency = start.elapsed().as_micros();
        samples.push(u64::try_from(latency).unwrap_or(u64::MAX));
    }
    Ok(samples)
}

/// Runs statements on concurrent connections and returns how many were answered.
async fn count_statements(
    config: &tokio_postgres::Config,
    statement: &str,
    connections: usize,
    length: Duration,
) -> Result<u32, LabError> {
    let mut clients = Vec::with_capacity(connections);
    for _ in 0..connections {
        clients.push(open(config).await?);
    }
    let end = Instant::now() + length;
    let mut running = JoinSet::new();
    for client in clients {
        let statement = statement.to_owned();
        running.spawn(async move {
            let mut done = 0;
            while Instant::now() < end {
                client.simple_query(&statement).await?;
                done += 1;
            }
            Ok::<u32, tokio_postgres::Error>(done)
        });
    }
    let mut total = 0;
    for done in running.join_all().await {
        total += done?;
    }
    Ok(total)
}
