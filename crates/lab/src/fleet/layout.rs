//! Layout of a fleet, without addresses: vms, upstreams, bundle and settings.

use std::time::Duration;

use mustardbay_policy::bundle::Bundle;
use mustardbay_policy::names::DomainName;
use mustardbay_policy::names::VmName;

/// One vm of a fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmLayout {
    /// Name of the vm.
    pub name: VmName,
    /// Failure domain that it belongs to.
    pub domain: DomainName,
}

/// Delays that every upstream stand-in simulates.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct UpstreamTiming {
    /// Replication lag of a replica.
    pub lag: Duration,
    /// Time that it takes to accept a connection.
    pub connect_cost: Duration,
    /// Time that a statement takes to run.
    pub work: Duration,
}

/// Description of a fleet: what runs, and in which domain.
#[derive(Debug, Clone)]
pub struct Layout {
    /// Vms.
    pub vms: Vec<VmLayout>,
    /// Bundle; upstream addresses and account keys are filled in when the fleet starts.
    pub bundle: Bundle,
    /// Delays of the upstreams.
    pub upstreams: UpstreamTiming,
    /// Whether platform, upstreams, pools and stewards are reached through a relay, so that links
    /// can be cut or delayed.
    pub relays: bool,
    /// One-way delay between failure domains; ignored without `relays`.
    pub delay: Duration,
    /// YAML lines to append to the settings of every entry.
    pub entry_settings: String,
    /// YAML lines to append to the settings of every pool.
    pub pool_settings: String,
    /// YAML lines to append to the settings of every steward.
    pub steward_settings: String,
}

impl Layout {
    /// Creates a layout without relays, delays or additional settings.
    #[must_use]
    pub fn new(vms: Vec<VmLayout>, bundle: Bundle) -> Self {
        Self {
            vms,
            bundle,
            upstreams: UpstreamTiming::default(),
            relays: false,
            delay: Duration::ZERO,
            entry_settings: String::new(),
            pool_settings: String::new(),
            steward_settings: String::new(),
        }
    }

    /// Routes connections to platform, upstreams, pools and stewards through a relay.
    #[must_use]
    pub fn with_relays(mut self) -> Self {
        self.relays = true;
        self
    }

    /// Sets the delays of the upstreams.
    #[must_use]
    pub fn with_upstreams(mut self, timing: UpstreamTiming) -> Self {
        self.upstreams = timing;
        self
    }
}
