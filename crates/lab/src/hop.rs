//! Cost of the hop: an entry against a direct connection to the same stand-in, in the same run.

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

/// Rounds of each kind, which alternate so that both see the same machine.
const ROUNDS: u32 = 4;

/// Rate, in statements per second, that no measurement reaches.
const UNBOUND_RATE: f64 = 1_000_000.0;

/// Slots that no measurement fills.
const UNBOUND_SLOTS: u32 = 64;

/// Connections that both ways fit in.
const UNBOUND_CONNECTIONS: u32 = 400;

/// What `mustardbay-lab hop` is asked for.
#[derive(Debug, Clone)]
struct HopArgs {
    entry: Option<SocketAddr>,
    direct: Option<SocketAddr>,
    term: u64,
    account: Option<String>,
    key: Option<String>,
    route: Option<String>,
    statement: String,
    /// Connections at once when throughput is measured.
    connections: usize,
    /// Length of the whole measurement.
    length: Duration,
    /// File for the result as JSON.
    json: Option<PathBuf>,
}

/// Returns the description of `mustardbay-lab hop`.
#[must_use]
pub fn command() -> Command {
    let entry = parsed::<SocketAddr>(
        "entry",
        "IP:PORT",
        "Entry to go through; without it a fleet is started for the measurement",
    );
    Command::new("hop")
        .about("Measures what an entry costs against a direct connection")
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
            "Connections at once when throughput is measured",
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

/// Latency and throughput of one way.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Way {
    /// Latency of one connection that runs one statement after the other.
    pub latency: Latency,
    /// Statements per second of many connections.
    pub throughput: f64,
}

/// Result of the measurement.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Hop {
    /// Through the entry.
    pub entry: Way,
    /// Directly.
    pub direct: Way,
    /// Connections at once when throughput was measured.
    pub connections: usize,
}

impl fmt::Display for Hop {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (name, way) in [("direct", &self.direct), ("entry", &self.entry)] {
            writeln!(
                f,
                "{name:6}  p50 {:6} us  p99 {:6} us  {:9.0} statements/s over {} connections",
                way.latency.p50, way.latency.p99, way.throughput, self.connections
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

/// Runs the measurement and prints its result.
///
/// # Errors
///
/// Fails if a connection or a statement fails.
pub async fn run(args: &ArgMatches) -> Result<(), LabError> {
    let args = HopArgs::from(args);
    let hop = match ways(&args) {
        Some(ways) => measure(&args, &ways).await?,
        None => measure_fleet(&args).await?,
    };
    print!("{hop}");
    if let Some(path) = &args.json {
        let text = serde_json::to_string_pretty(&hop).map_err(std::io::Error::other)?;
        std::fs::write(path, text)?;
    }
    Ok(())
}

/// Where both ways lead.
#[derive(Debug)]
struct Ways {
    entry: tokio_postgres::Config,
    direct: tokio_postgres::Config,
}

/// Returns the ways that the arguments name, if they do.
fn ways(args: &HopArgs) -> Option<Ways> {
    let mut entry = tokio_postgres::Config::new();
    let address = args.entry?;
    entry.host(address.ip().to_string()).port(address.port());
    entry.user(args.account.as_ref()?);
    entry.password(args.key.as_ref()?);
    entry.dbname(args.route.as_ref()?);
    Some(Ways {
        entry,
        direct: directly(args.direct?, args.term),
    })
}

/// Starts a fleet whose rates do not bind, measures it and stops it.
async fn measure_fleet(args: &HopArgs) -> Result<Hop, MeasureError> {
    let mut layout = fleet::demo();
    for account in &mut layout.bundle.accounts {
        account.rate = UNBOUND_RATE;
        account.burst = UNBOUND_RATE;
    }
    for group in &mut layout.bundle.groups {
        group.slots = UNBOUND_SLOTS;
        group.connections = UNBOUND_CONNECTIONS;
    }
    let fleet = Fleet::start(layout).await?;
    let group = fleet.bundle().groups.first();
    let group = group.ok_or(MeasureError::TooFewGroups)?;
    let primary = fleet.primary(group.name.as_str()).await?;
    let state = fleet.upstream_state(primary.as_str()).await?;
    let term = state["term"].as_u64().unwrap_or(0);
    let mut upstreams = group.upstreams.iter();
    let upstream = upstreams.find(|up| up.name == primary);
    let address = upstream.and_then(|up| up.address.parse().ok());
    let account = fleet.bundle().accounts[0].name.to_string();
    let url = fleet.entry_url(fleet.vms()[0].as_str(), &account);
    let ways = Ways {
        entry: format!("{url}/{}", group.name).parse()?,
        direct: directly(address.ok_or(MeasureError::TooFewGroups)?, term),
    };
    let hop = measure(args, &ways).await?;
    fleet.stop().await;
    Ok(hop)
}

async fn measure(args: &HopArgs, ways: &Ways) -> Result<Hop, LabError> {
    // Each round runs both ways, each once for latency and once for throughput.
    let slice = args.length / (ROUNDS * 4);
    let mut samples = [Vec::new(), Vec::new()];
    let mut statements = [0, 0];
    for _ in 0..ROUNDS {
        for (at, way) in [&ways.entry, &ways.direct].into_iter().enumerate() {
            samples[at].extend(latencies(way, &args.statement, slice).await?);
            statements[at] += count(way, &args.statement, args.connections, slice).await?;
        }
    }
    let length = (slice * ROUNDS).as_secs_f64();
    let [entry, direct] = [0, 1].map(|at: usize| Way {
        latency: Latency::of(samples[at].iter().copied()),
        throughput: f64::from(statements[at]) / length,
    });
    Ok(Hop {
        entry,
        direct,
        connections: args.connections,
    })
}

fn directly(address: SocketAddr, term: u64) -> tokio_postgres::Config {
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

async fn latencies(
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
        let taken = start.elapsed().as_micros();
        samples.push(u64::try_from(taken).unwrap_or(u64::MAX));
    }
    Ok(samples)
}

async fn count(
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
