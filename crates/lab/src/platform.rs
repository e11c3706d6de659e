//! Stand-in for the platform's key-value service: a subset of the etcd v3 JSON gateway.

mod calls;
mod encoding;
mod gateway;
mod message;
mod store;
mod switch;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use clap::ArgMatches;
use clap::Command;
use mustardbay_process::arguments::one;
use mustardbay_process::arguments::option;

use self::gateway::Shared;
use crate::error::LabError;

pub use self::switch::Mode;

/// Time between two looks for leases that have run out.
const EXPIRY_PERIOD: Duration = Duration::from_millis(100);

/// Address of this machine with whatever port is free.
const ANY_PORT: &str = "127.0.0.1:0";

/// Settings of the platform.
#[derive(Debug, Clone)]
pub struct Config {
    /// Address to listen on; port 0 picks a free one.
    pub listen: String,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            listen: ANY_PORT.to_owned(),
        }
    }
}

/// Returns the description of `mustardbay-lab platform`.
#[must_use]
pub fn command() -> Command {
    let help = "Address to listen on; port 0 picks a free one";
    Command::new("platform")
        .about("Runs a stand-in for the platform's key-value service")
        .arg(option("listen", "IP:PORT", help).default_value(ANY_PORT))
}

impl From<&ArgMatches> for Config {
    fn from(args: &ArgMatches) -> Self {
        Self {
            listen: one(args, "listen"),
        }
    }
}

/// Running platform; killed when the handle is dropped.
#[derive(Debug)]
pub struct Platform {
    shared: Arc<Shared>,
    address: SocketAddr,
}

impl Platform {
    /// Starts an empty platform.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start(config: &Config) -> Result<Self, LabError> {
        let shared = Arc::new(Shared::new());
        let app = gateway::router(Arc::clone(&shared));
        let address = crate::http::serve(&config.listen, app, shared.stop.clone()).await?;
        tokio::spawn(expire(Arc::clone(&shared)));
        tracing::info!(event = "platform_started", %address);
        Ok(Self { shared, address })
    }

    /// Returns the address that the gateway and the switch are on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the base URL of the gateway.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Switches the behaviour.
    pub fn switch(&self, mode: Mode) {
        self.shared.switch(mode);
    }

    /// Returns the number of calls so far.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.shared.calls().total()
    }

    /// Writes a key directly, as the platform itself does with its list of machines.
    pub fn put(&self, key: &str, value: &str) {
        let request = message::PutRequest {
            key: key.as_bytes().to_vec(),
            value: value.as_bytes().to_vec(),
            lease: 0,
        };
        let written = self.shared.store().put(&request);
        debug_assert!(written.is_some(), "a write without a lease cannot fail");
        self.shared.announce();
    }

    /// Stops at once; what it holds is gone.
    pub fn kill(&self) {
        self.shared.stop.cancel();
    }

    /// Stops answering while every connection stays open.
    pub fn freeze(&self) {
        self.shared.gate.freeze();
    }

    /// Answers again.
    pub fn thaw(&self) {
        self.shared.gate.thaw();
    }

    /// Returns what the state page shows.
    #[must_use]
    pub fn state(&self) -> serde_json::Value {
        gateway::dump(&self.shared)
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.kill();
    }
}

async fn expire(shared: Arc<Shared>) {
    let mut ticks = tokio::time::interval(EXPIRY_PERIOD);
    loop {
        tokio::select! {
            () = shared.stop.cancelled() => return,
            _ = ticks.tick() => shared.expire(),
        }
    }
}
