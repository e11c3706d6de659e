//! Stand-in for a database server of a group: PostgreSQL's protocol over SQLite.
//!
//! A write transaction that commits on a primary becomes an entry of its log. Replicas pull the log
//! and execute it after a lag that can be set, so that what is received and what is applied differ.
//! Statements are replayed as text: one whose result depends on chance or on the clock diverges.

mod admin;
mod applier;
mod cancel;
mod connection;
mod control;
mod core;
mod database;
mod dialect;
mod fault;
mod follower;
mod leader;
mod listener;
mod log;
mod messages;
mod replication;
mod session;
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

use self::core::Core;
use self::database::Database;
use crate::arguments::number;
use crate::arguments::parsed;
use crate::arguments::secret;
use crate::error::LabError;

/// Settings of an upstream.
#[derive(Debug, Clone)]
pub struct Config {
    /// Address to listen on; port 0 picks a free one.
    pub listen: String,
    /// Name, unique in its group.
    pub name: String,
    /// Time between receiving an entry and executing it on a replica.
    pub lag: Duration,
    /// Time that a new connection takes.
    pub connect_cost: Duration,
    /// Most connections at once.
    pub connections: usize,
    /// Time that each statement takes on top, holding no lock unless its transaction has written.
    pub work: Duration,
    /// Address of the admin page, if there is to be one.
    pub admin: Option<String>,
    /// Address that replication connections come from, if not the system's choice.
    pub source: Option<IpAddr>,
    /// Password that every connection must present, if any.
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

/// Returns the description of `mustardbay-lab upstream`.
#[must_use]
pub fn command() -> Command {
    Command::new("upstream")
        .about("Runs a stand-in for a database server")
        .arg(option("listen", "IP:PORT", "Address to listen on").required(true))
        .arg(option("name", "NAME", "Name, unique in its group").required(true))
        .arg(number::<u64>(
            "lag-ms",
            "0",
            "Milliseconds between receiving an entry and executing it on a replica",
        ))
        .arg(number::<u64>(
            "connect-cost-ms",
            "0",
            "Milliseconds that a new connection takes",
        ))
        .arg(number::<usize>(
            "connections",
            "100",
            "Most connections at once",
        ))
        .arg(number::<u64>(
            "work-ms",
            "0",
            "Milliseconds that each statement takes on top",
        ))
        .arg(option("admin", "IP:PORT", "Address of the admin page"))
        .arg(parsed::<IpAddr>(
            "source",
            "IP",
            "Address that replication connections come from",
        ))
        .arg(secret(
            "password",
            "MUSTARDBAY_LOGIN_PASSWORD",
            "Password that every connection must present",
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

/// Running upstream; killed when the last handle is dropped.
#[derive(Debug)]
pub struct Upstream {
    core: Arc<Core>,
    address: SocketAddr,
    admin: Option<SocketAddr>,
}

impl Upstream {
    /// Starts an upstream that is fenced at term 0.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound or the database cannot be made.
    pub async fn start(config: Config) -> Result<Self, LabError> {
        let listener = bind(&config.listen).await?;
        let address = listener.local_addr().map_err(LabError::Socket)?;
        let database = Database::create().map_err(|fault| LabError::Database(fault.message))?;
        let core = Arc::new(Core::new(config, database));
        let admin = match core.config.admin.clone() {
            None => None,
            Some(listen) => Some(serve_admin(&core, &listen).await?),
        };
        tokio::spawn(listener::run(Arc::clone(&core), listener));
        tokio::spawn(apply(Arc::clone(&core)));
        tracing::info!(event = "upstream_started", upstream = %core.config.name, %address);
        Ok(Self {
            core,
            address,
            admin,
        })
    }

    /// Returns the PostgreSQL address, which replicas use as well.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address of the admin page.
    #[must_use]
    pub fn admin(&self) -> Option<SocketAddr> {
        self.admin
    }

    /// Sets the time between receiving an entry and executing it.
    pub fn set_lag(&self, lag: Duration) {
        self.core.state().lag = lag;
        self.core.announce();
    }

    /// Stops at once: every connection is cut and the data is gone.
    pub fn kill(&self) {
        self.core.stop.cancel();
    }

    /// Stops answering while every connection stays open.
    pub fn freeze(&self) {
        self.core.gate.freeze();
    }

    /// Answers again.
    pub fn thaw(&self) {
        self.core.gate.thaw();
    }

    /// Returns what the admin page shows.
    #[must_use]
    pub fn state(&self) -> serde_json::Value {
        admin::dump(&self.core)
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

async fn serve_admin(core: &Arc<Core>, listen: &str) -> Result<SocketAddr, LabError> {
    crate::http::serve(listen, admin::router(Arc::clone(core)), core.stop.clone()).await
}

async fn apply(core: Arc<Core>) {
    let stop = core.stop.clone();
    tokio::select! {
        () = stop.cancelled() => {}
        result = applier::run(Arc::clone(&core)) => {
            if let Err(fault) = result {
                tracing::error!(event = "apply_failed", upstream = %core.config.name, error = fault.message);
            }
        }
    }
}
