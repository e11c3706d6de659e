//! Cost of the hop: an entry against a direct connection to the same stand-in, in the same run.

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use clap::Args;
use serde::Deserialize;
use serde::Serialize;
use tokio::task::JoinSet;
use tokio_postgres::Client;
use tokio_postgres::NoTls;

use crate::error::LabError;
use crate::load::Latency;

/// Rounds of each kind, which alternate so that both see the same machine.
const ROUNDS: u32 = 4;

/// Arguments of `mustardbay-lab hop`.
#[derive(Debug, Clone, Args)]
pub struct HopArgs {
    /// Entry to go through.
    #[arg(long, value_name = "IP:PORT")]
    entry: SocketAddr,
    /// Upstream to connect to directly.
    #[arg(long, value_name = "IP:PORT")]
    direct: SocketAddr,
    /// Term that the upstream is at.
    #[arg(long, default_value_t = 1)]
    term: u64,
    /// Account to run as.
    #[arg(long)]
    account: String,
    /// Key of the account.
    #[arg(long, env = "MUSTARDBAY_KEY", hide_env_values = true)]
    key: String,
    /// Route to take.
    #[arg(long)]
    route: String,
    /// Statement to run.
    #[arg(long, default_value = "SELECT 1")]
    statement: String,
    /// Connections at once when throughput is measured.
    #[arg(long, default_value_t = 16)]
    connections: usize,
    /// Length of the whole measurement in seconds.
    #[arg(long, default_value_t = 16)]
    seconds: u64,
    /// File for the result as JSON.
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
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
pub async fn run(args: HopArgs) -> Result<(), LabError> {
    let hop = measure(&args).await?;
    print!("{hop}");
    if let Some(path) = &args.json {
        let text = serde_json::to_string_pretty(&hop).map_err(std::io::Error::other)?;
        std::fs::write(path, text)?;
    }
    Ok(())
}

async fn measure(args: &HopArgs) -> Result<Hop, LabError> {
    // Each round runs both ways, each once for latency and once for throughput.
    let slice = Duration::from_secs(args.seconds) / (ROUNDS * 4);
    let entry = through_entry(args);
    let direct = directly(args);
    let mut samples = [Vec::new(), Vec::new()];
    let mut statements = [0, 0];
    for _ in 0..ROUNDS {
        for (at, way) in [&entry, &direct].into_iter().enumerate() {
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

fn through_entry(args: &HopArgs) -> tokio_postgres::Config {
    let mut config = tokio_postgres::Config::new();
    config.host(args.entry.ip().to_string());
    config.port(args.entry.port());
    config.user(&args.account).password(&args.key);
    config.dbname(&args.route);
    config
}

fn directly(args: &HopArgs) -> tokio_postgres::Config {
    let mut config = tokio_postgres::Config::new();
    config.host(args.direct.ip().to_string());
    config.port(args.direct.port());
    config.user("mustardbay").dbname("mustardbay");
    config.options(format!("-c mustardbay.term={}", args.term));
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
