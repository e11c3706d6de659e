//! TCP relay whose links can be cut, frozen or delayed for each source address.
//!
//! The relay connects to its target from the source address of the client, so that the target, or
//! the next relay of a chain, still sees the address of the client. Source addresses must therefore
//! be addresses of this machine, such as those of 127.0.0.0/8.

mod admin;
mod link;
mod rule;
mod timer;

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

use self::link::Link;
use self::rule::Rules;
use self::timer::Timer;
use crate::arguments::parsed;
use crate::arguments::repeated;
use crate::error::LabError;

pub use self::rule::Mode;

/// Settings of one relayed address.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LinkConfig {
    /// Name of the link on the admin page.
    pub name: String,
    /// Address to listen on; port 0 picks a free one.
    pub listen: String,
    /// Address that connections are forwarded to.
    pub target: String,
}

/// Error for a text that does not have the form `NAME=LISTEN=TARGET`.
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
    /// Address of the admin page; `None` serves no page.
    pub admin: Option<String>,
    /// Addresses to relay.
    pub links: Vec<LinkConfig>,
}

/// Returns the clap command of `mustardbay-lab relay`.
#[must_use]
pub fn command() -> Command {
    let link = parsed::<LinkConfig>(
        "link",
        "NAME=LISTEN=TARGET",
        "Name, address to listen on and address to forward to; may be repeated",
    );
    Command::new("relay")
        .about("Relays TCP connections over links that can be cut, frozen and delayed")
        .arg(option("admin", "IP:PORT", "Address of the admin page"))
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

/// Handle of a running relay, which is stopped when the handle is dropped.
#[derive(Debug)]
pub struct Relay {
    links: admin::Links,
    addresses: BTreeMap<String, SocketAddr>,
    admin: Option<SocketAddr>,
    stop: CancellationToken,
}

impl Relay {
    /// Starts a relay with every link in [`Mode::Pass`].
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound.
    pub async fn start(config: Config) -> Result<Self, LabError> {
        let stop = CancellationToken::new();
        let timer = Timer::start();
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
                timer: timer.clone(),
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

    /// Returns the address that a link listens on; `None` if there is no such link.
    #[must_use]
    pub fn address(&self, link: &str) -> Option<SocketAddr> {
        self.addresses.get(link).copied()
    }

    /// Returns the address of the admin page, if it is served.
    #[must_use]
    pub fn admin(&self) -> Option<SocketAddr> {
        self.admin
    }

    /// Sets the mode of a link for some source addresses.
    ///
    /// Without sources it sets the default of the sources that have no mode of their own. An unknown
    /// link is ignored.
    pub fn set(&self, link: &str, sources: &[IpAddr], mode: Mode) {
        if let Some(link) = self.links.get(link) {
            link.rules.send_modify(|rules| rules.set(sources, mode));
        }
    }

    /// Stops at once and closes every connection.
    pub fn kill(&self) {
        self.stop.cancel();
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.kill();
    }
}
