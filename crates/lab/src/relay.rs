//! TCP relays that pass, cut, freeze or delay what goes through them, by source address.
//!
//! A relay connects onward from the source address of its caller, so that a chain of relays still
//! sees who is calling. That needs source addresses of this machine, such as those of 127.0.0.0/8.

mod admin;
mod clock;
mod link;
mod rule;

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;

use clap::ArgMatches;
use clap::Command;
use mustardbay_process::arguments::all;
use mustardbay_process::arguments::maybe;
use mustardbay_process::arguments::option;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use self::clock::Clock;
use self::link::Link;
use self::rule::Rules;
use crate::arguments::parsed;
use crate::arguments::repeated;
use crate::error::LabError;

pub use self::rule::Mode;

/// Address to relay.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LinkConfig {
    /// Name that the switch uses.
    pub name: String,
    /// Address to listen on; port 0 picks a free one.
    pub listen: String,
    /// Address to connect onward to.
    pub target: String,
}

/// Text that is no link.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("link {0:?} is not of the form NAME=LISTEN=TARGET")]
pub struct ParseLinkError(String);

impl FromStr for LinkConfig {
    type Err = ParseLinkError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parts: Vec<&str> = text.split('=').collect();
        match parts.as_slice() {
            [name, listen, target] => Ok(Self {
                name: (*name).to_owned(),
                listen: (*listen).to_owned(),
                target: (*target).to_owned(),
            }),
            _ => Err(ParseLinkError(text.to_owned())),
        }
    }
}

/// Settings of the relay.
#[derive(Debug, Clone, Default)]
pub struct Config {
    /// Address of the switch.
    pub admin: Option<String>,
    /// Addresses to relay.
    pub links: Vec<LinkConfig>,
}

/// Returns the description of `mustardbay-lab relay`.
#[must_use]
pub fn command() -> Command {
    let link = parsed::<LinkConfig>(
        "link",
        "NAME=LISTEN=TARGET",
        "Address to relay; may be given many times",
    );
    Command::new("relay")
        .about("Relays TCP links that can be cut, frozen and delayed")
        .arg(option("admin", "IP:PORT", "Address of the switch"))
        .arg(repeated(link))
}

impl From<&ArgMatches> for Config {
    fn from(args: &ArgMatches) -> Self {
        Self {
            admin: maybe(args, "admin"),
            links: all(args, "link"),
        }
    }
}

/// Running relay; stopped when the handle is dropped.
#[derive(Debug)]
pub struct Relay {
    links: admin::Links,
    addresses: BTreeMap<String, SocketAddr>,
    admin: Option<SocketAddr>,
    stop: CancellationToken,
}

impl Relay {
    /// Starts relaying; every link passes at first.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound.
    pub async fn start(config: Config) -> Result<Self, LabError> {
        let stop = CancellationToken::new();
        let clock = Clock::start();
        let mut links = BTreeMap::new();
        let mut addresses = BTreeMap::new();
        for link in config.links {
            let bound = TcpListener::bind(&link.listen).await;
            let listener = bound.map_err(|source| LabError::Bind {
                address: link.listen,
                source,
            })?;
            let address = listener.local_addr().map_err(LabError::Socket)?;
            addresses.insert(link.name.clone(), address);
            let relayed = Arc::new(Link {
                name: link.name.clone(),
                target: link.target,
                rules: watch::Sender::new(Rules::default()),
                stop: stop.clone(),
                clock: clock.clone(),
            });
            tokio::spawn(Arc::clone(&relayed).run(listener));
            links.insert(link.name, relayed);
        }
        let links = Arc::new(links);
        let admin = match config.admin {
            None => None,
            Some(listen) => {
                let app = admin::router(Arc::clone(&links));
                Some(crate::http::serve(&listen, app, stop.clone()).await?)
            }
        };
        tracing::info!(event = "relay_started", links = links.len());
        Ok(Self {
            links,
            addresses,
            admin,
            stop,
        })
    }

    /// Returns the address that a link listens on.
    #[must_use]
    pub fn address(&self, link: &str) -> Option<SocketAddr> {
        self.addresses.get(link).copied()
    }

    /// Returns the address of the switch.
    #[must_use]
    pub fn admin(&self) -> Option<SocketAddr> {
        self.admin
    }

    /// Sets the mode of some sources of a link, or of all that have none of their own.
    pub fn set(&self, link: &str, sources: &[IpAddr], mode: Mode) {
        if let Some(link) = self.links.get(link) {
            link.rules.send_modify(|rules| rules.set(sources, mode));
        }
    }

    /// Stops at once.
    pub fn kill(&self) {
        self.stop.cancel();
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.kill();
    }
}
