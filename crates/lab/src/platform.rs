//! Stand-in for the platform's key-value service, a subset of the etcd v3 JSON gateway.

mod calls;
mod encoding;
mod gateway;
mod message;
mod mode;
mod store;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use clap::ArgMatches;
use clap::Command;
use mustardbay_process::arguments::one;
use mustardbay_process::arguments::option;

use self::gateway::Shared;
use crate::error::LabError;

pub use self::mode::Mode;

/// Time between two scans for expired leases.
const EXPIRY_PERIOD: Duration = Duration::from_millis(100);

/// Loopback address with a port that the system chooses.
const ANY_PORT: &str = "127.0.0.1:0";

/// Settings of the platform stand-in.
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

/// Handle of a running platform stand-in, which stops when the handle is dropped.
#[derive(Debug)]
pub struct Platform {
    shared: Arc<Shared>,
    address: SocketAddr,
}

impl Platform {
    /// Starts a platform with an empty store.
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

    /// Returns the address of the gateway and the fault switch.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the base URL of the gateway.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Switches the platform to another behaviour.
    pub fn switch(&self, mode: Mode) {
        self.shared.switch(mode);
    }

    /// Returns the number of calls received so far.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.shared.calls().total()
    }

    /// Writes a key without a call, as the platform itself does with its list of vms.
    pub fn put(&self, key: &str, value: &str) {
        let request = message::PutRequest {
            key: key.as_bytes().to_vec(),
            value: value.as_bytes().to_vec(),
            lease: 0,
        };
        let written = self.shared.store().put(&request);
        debug_assert!(written.is_some(), "a write without a lease cannot fail");
        self.shared.notify_watches();
    }

    /// Stops at once and loses all data.
    pub fn kill(&self) {
        self.shared.stop.cancel();
    }

    /// Stops answering, but keeps every connection open.
    pub fn freeze(&self) {
        self.shared.gate.freeze();
    }

    /// Resumes answering after [`Self::freeze`].
    pub fn thaw(&self) {
        self.shared.gate.thaw();
    }

    /// Returns the state, as `GET /state` does.
    #[must_use]
    pub fn state(&self) -> serde_json::Value {
        gateway::state_json(&self.shared)
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Expires leases periodically until the platform stops.
async fn expire(shared: Arc<Shared>) {
    let mut ticks = tokio::time::interval(EXPIRY_PERIOD);
    loop {
        tokio::select! {
            () = shared.stop.cancelled() => return,
            _ = ticks.tick() => shared.expire(),
        }
    }
}
