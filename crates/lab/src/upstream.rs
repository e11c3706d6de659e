//! Stand-in for a database server of a group: PostgreSQL's protocol over SQLite.
//!
//! A write transaction that commits on a primary becomes an entry of its log. Replicas pull the log
//! and execute each entry after a configurable lag, so the received and the applied position can
//! differ. Replication is statement-based: a statement whose result is not deterministic, such as
//! one that calls `random()` or reads the clock, gives replicas other data than the primary.

mod admin;
mod applier;
mod canceller;
mod client_connection;
mod control;
mod database;
mod dialect;
mod listener;
mod log;
mod log_receiver;
mod log_sender;
mod messages;
mod replication;
mod session;
mod shared;
mod sql_error;
mod startup;
mod state;
mod value;

use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use clap::ArgMatches;
use clap::Command;
use mustardbay_process::arguments::maybe;
use mustardbay_process::arguments::one;
use mustardbay_process::arguments::option;
use tokio::net::TcpListener;

use self::database::Database;
use self::shared::Shared;
use crate::arguments::number;
use crate::arguments::parsed;
use crate::arguments::secret;
use crate::error::LabError;

/// Settings of one upstream.
#[derive(Debug, Clone)]
pub struct Config {
    /// Address to listen on; port 0 picks a free one.
    pub listen: String,
    /// Name, unique in its group.
    pub name: String,
    /// Delay on a replica between receiving a log entry and executing it.
    pub lag: Duration,
    /// Delay added to the startup of each client connection.
    pub connect_cost: Duration,
    /// Maximum number of open client connections.
    pub connections: usize,
    /// Delay added before each statement that reads or writes data.
    ///
    /// The writer lock is held meanwhile only if the transaction has already written.
    pub work: Duration,
    /// Address of the admin page; `None` serves no page.
    pub admin: Option<String>,
    /// Source address of replication connections; `None` lets the operating system choose.
    pub source: Option<IpAddr>,
    /// Password that every client must send; `None` asks for none.
    pub password: Option<String>,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            listen: "127.0.0.1:0".to_owned(),
            name: "upstream".to_owned(),
            lag: Duration::ZERO,
            connect_cost: Duration::ZERO,
            connections: 100,
            work: Duration::ZERO,
            admin: None,
            source: None,
            password: None,
        }
    }
}

/// Returns the clap command of `mustardbay-lab upstream`.
#[must_use]
pub fn command() -> Command {
    Command::new("upstream")
        .about("Runs a stand-in for a database server")
        .arg(option("listen", "IP:PORT", "Address to listen on").required(true))
        .arg(option("name", "NAME", "Name, unique in its group").required(true))
        .arg(number::<u64>(
            "lag-ms",
            "0",
            "Milliseconds between receiving a log entry and executing it on a replica",
        ))
        .arg(number::<u64>(
            "connect-cost-ms",
            "0",
            "Milliseconds added to the startup of each connection",
        ))
        .arg(number::<usize>(
            "connections",
            "100",
            "Maximum number of open connections",
        ))
        .arg(number::<u64>(
            "work-ms",
            "0",
            "Milliseconds added to the execution of each statement",
        ))
        .arg(option("admin", "IP:PORT", "Address of the admin page"))
        .arg(parsed::<IpAddr>(
            "source",
            "IP",
            "Source address of replication connections",
        ))
        .arg(secret(
            "password",
            "MUSTARDBAY_LOGIN_PASSWORD",
            "Password that every client must send",
        ))
}

impl From<&ArgMatches> for Config {
    fn from(args: &ArgMatches) -> Self {
        Self {
            listen: one(args, "listen"),
            name: one(args, "name"),
            lag: Duration::from_millis(one(args, "lag-ms")),
            connect_cost: Duration::from_millis(one(args, "connect-cost-ms")),
            connections: one(args, "connections"),
            work: Duration::from_millis(one(args, "work-ms")),
            admin: maybe(args, "admin"),
            source: maybe(args, "source"),
            password: maybe(args, "password"),
        }
    }
}

/// Handle of a running upstream, which is killed when the handle is dropped.
#[derive(Debug)]
pub struct Upstream {
    shared: Arc<Shared>,
    address: SocketAddr,
    admin: Option<SocketAddr>,
}

impl Upstream {
    /// Starts an upstream that is fenced at term 0.
    ///
    /// It executes no statements until it is promoted or follows a primary.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound or the database cannot be created.
    pub async fn start(config: Config) -> Result<Self, LabError> {
        let listener = bind(&config.listen).await?;
        let address = listener.local_addr().map_err(LabError::Socket)?;
        let database = Database::create().map_err(|error| LabError::Database(error.message))?;
        let shared = Arc::new(Shared::new(config, database));
        let admin = match shared.config.admin.clone() {
            None => None,
            Some(listen) => Some(serve_admin(&shared, &listen).await?),
        };
        tokio::spawn(listener::run(Arc::clone(&shared), listener));
        tokio::spawn(run_applier(Arc::clone(&shared)));
        tracing::info!(event = "upstream_started", upstream = %shared.config.name, %address);
        Ok(Self {
            shared,
            address,
            admin,
        })
    }

    /// Returns the address that both PostgreSQL clients and replicas connect to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address of the admin page, if it is served.
    #[must_use]
    pub fn admin(&self) -> Option<SocketAddr> {
        self.admin
    }

    /// Sets the delay between receiving a log entry and executing it.
    pub fn set_lag(&self, lag: Duration) {
        self.shared.state().lag = lag;
        self.shared.notify_changed();
    }

    /// Stops at once: closes every connection; the data is lost.
    pub fn kill(&self) {
        self.shared.stop.cancel();
    }

    /// Stops answering but keeps every connection open.
    pub fn freeze(&self) {
        self.shared.gate.freeze();
    }

    /// Resumes answering after [`freeze`](Self::freeze).
    pub fn thaw(&self) {
        self.shared.gate.thaw();
    }

    /// Returns the state that the admin page shows.
    #[must_use]
    pub fn state(&self) -> serde_json::Value {
        admin::state_json(&self.shared)
    }
}

impl Drop for Upstream {
    fn drop(&mut self) {
        self.kill();
    }
}

async fn bind(listen: &str) -> Result<TcpListener, LabError> {
    let bound = TcpListener::bind(listen).await;
    bound.map_err(|source| LabError::Bind {
        address: listen.to_owned(),
        source,
    })
}

async fn serve_admin(shared: &Arc<Shared>, listen: &str) -> Result<SocketAddr, LabError> {
    crate::http::serve(
        listen,
        admin::router(Arc::clone(shared)),
        shared.stop.clone(),
    )
    .await
}

async fn run_applier(shared: Arc<Shared>) {
    let stop = shared.stop.clone();
    tokio::select! {
        () = stop.cancelled() => {}
        result = applier::run(Arc::clone(&shared)) => {
            if let Err(error) = result {
                tracing::error!(event = "apply_failed", upstream = %shared.config.name, error = error.message);
            }
        }
    }
}
