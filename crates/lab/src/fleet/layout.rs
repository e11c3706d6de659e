//! Plan of a fleet: virtual machines, upstreams and the bundle without addresses.

use std::time::Duration;

use mustardbay_policy::bundle::Bundle;
use mustardbay_policy::names::DomainName;
use mustardbay_policy::names::VmName;

/// One virtual machine of a fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmPlan {
    /// Name of the virtual machine.
    pub name: VmName,
    /// Failure domain that it stands in.
    pub domain: DomainName,
}

/// How every upstream stand-in behaves.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct UpstreamPlan {
    /// Time that a replica lags behind its primary.
    pub lag: Duration,
    /// Time that a new connection costs.
    pub connect_cost: Duration,
    /// Time that a statement takes.
    pub work: Duration,
}

/// Plan of a fleet.
#[derive(Debug, Clone)]
pub struct Layout {
    /// Virtual machines.
    pub vms: Vec<VmPlan>,
    /// Bundle whose upstream addresses and keys are filled in at the start.
    pub bundle: Bundle,
    /// Behaviour of the upstreams.
    pub upstreams: UpstreamPlan,
    /// Whether relays stand before every upstream, pool and steward, so that links can be cut.
    pub relays: bool,
    /// One-way delay between failure domains; needs relays.
    pub delay: Duration,
    /// Lines added to the settings of every entry.
    pub entry_settings: String,
    /// Lines added to the settings of every pool.
    pub pool_settings: String,
    /// Lines added to the settings of every steward.
    pub steward_settings: String,
}

impl Layout {
    /// Creates a plan without relays or delays.
    #[must_use]
    pub fn new(vms: Vec<VmPlan>, bundle: Bundle) -> Self {
        Self {
            vms,
            bundle,
            upstreams: UpstreamPlan::default(),
            relays: false,
            delay: Duration::ZERO,
            entry_settings: String::new(),
            pool_settings: String::new(),
            steward_settings: String::new(),
        }
    }

    /// Puts relays before every upstream, pool and steward.
    #[must_use]
    pub fn with_relays(mut self) -> Self {
        self.relays = true;
        self
    }

    /// Sets how the upstreams behave.
    #[must_use]
    pub fn with_upstreams(mut self, plan: UpstreamPlan) -> Self {
        self.upstreams = plan;
        self
    }
}
