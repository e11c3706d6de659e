//! Settings of a vm, in YAML.
//!
//! The types hold only values that a vm can keep, so reading the file refuses the others. A bound
//! is written with its unit; a number may be whole or a fraction.

mod bounds;
mod limits;

use std::net::SocketAddr;
use std::time::Duration;

use mustardbay_policy::names::DomainName;
use mustardbay_policy::names::VmName;
use mustardbay_process::settings::InvalidValue;
use mustardbay_process::settings::Settings;
use mustardbay_process::settings::check_name;
use mustardbay_process::settings::deserialize_address;
use mustardbay_process::settings::deserialize_some_address;
use serde::Deserialize;
use serde::Deserializer;

use crate::configuration::Regions;
pub use crate::settings::bounds::Bounds;
pub use crate::settings::limits::Cores;
pub use crate::settings::limits::Descriptors;
pub use crate::settings::limits::Limits;
pub use crate::settings::limits::Memory;

/// Part of a bound of the operators that is used, in percent.
///
/// The rest covers the clocks' resolution and the first bytes of a request.
const BOUND_PERCENT: u32 = 92;

/// Addresses that a vm listens on.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Address for callers.
    #[serde(deserialize_with = "deserialize_address")]
    pub entry: SocketAddr,
    /// Address for the load balancer's readiness probe.
    #[serde(deserialize_with = "deserialize_address")]
    pub ready: SocketAddr,
    /// Address for links from other vms.
    #[serde(deserialize_with = "deserialize_address")]
    pub link: SocketAddr,
    /// Address for state, metrics and drain; they are not served if it is absent or that of `link`.
    #[serde(default, deserialize_with = "deserialize_some_address")]
    pub admin: Option<SocketAddr>,
}

impl Listen {
    /// Returns the address for state, metrics and drain, if they are served.
    #[must_use]
    pub fn own_admin(&self) -> Option<SocketAddr> {
        self.admin.filter(|admin| *admin != self.link)
    }
}

/// Addresses of the platform.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformAddresses {
    /// Address of the key-value store.
    #[serde(deserialize_with = "deserialize_address")]
    pub store: SocketAddr,
    /// Address for promotion calls; without it no primary can be replaced.
    #[serde(default, deserialize_with = "deserialize_some_address")]
    pub control: Option<SocketAddr>,
}

/// Settings of one vm.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmSettings {
    /// Name of the vm.
    pub vm: VmName,
    /// Failure domain of the vm.
    pub domain: DomainName,
    /// Addresses that the vm listens on.
    pub listen: Listen,
    /// Addresses of the platform.
    pub platform: PlatformAddresses,
    /// Bounds that the vm keeps.
    #[serde(default)]
    pub bounds: Bounds,
    /// Region of each failure domain; needed where routes or accounts are bound to regions.
    #[serde(default, deserialize_with = "regions_or_none")]
    pub regions: Regions,
    /// Processor cores that the process may use.
    #[serde(default)]
    pub cores: Cores,
    /// Resources of the machine.
    #[serde(default)]
    pub limits: Limits,
}

/// Reads the regions; an empty value names none.
fn regions_or_none<'de, D: Deserializer<'de>>(from: D) -> Result<Regions, D::Error> {
    Option::deserialize(from).map(Option::unwrap_or_default)
}

impl VmSettings {
    /// Returns the age up to which a view may be acted on.
    #[must_use]
    pub fn view_ttl(&self) -> Duration {
        self.bounds.withdrawal.get() * BOUND_PERCENT / 100
    }

    /// Returns the time from the evacuation of a domain until nothing is sent to its upstreams.
    #[must_use]
    pub fn evacuation(&self) -> Duration {
        self.bounds.evacuation.get() * BOUND_PERCENT / 100
    }

    /// Returns the time from the request to stop to the end of the process.
    #[must_use]
    pub fn grace(&self) -> Duration {
        self.bounds.grace.get()
    }

    /// Returns the window in which operators count an account's rate and burst.
    #[must_use]
    pub fn rate_window(&self) -> Duration {
        self.bounds.rate_window.get()
    }
}

impl Settings for VmSettings {
    /// Refuses an empty name; the types refuse everything else.
    fn check(&mut self) -> Result<(), InvalidValue> {
        check_name("vm", self.vm.as_str())?;
        check_name("domain", self.domain.as_str())
    }
}
