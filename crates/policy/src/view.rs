//! View of the fleet: the current bundle, the state of the groups and the live vms.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::bundle::Bundle;
use crate::names::DomainName;
use crate::names::GroupName;
use crate::names::UpstreamName;
use crate::names::VmName;
use crate::position::Term;

/// Term and primary of a group, as last stored in the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupState {
    /// Current term.
    pub term: Term,
    /// Primary of the term; `None` while a promotion is under way.
    pub primary: Option<UpstreamName>,
}

/// Addresses and state of one live vm.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmState {
    /// Failure domain of the vm.
    pub domain: DomainName,
    /// Start time of its steward, in nanoseconds since the Unix epoch; never reused.
    pub incarnation: u64,
    /// Address `ip:port` where its pool accepts connections of entries.
    pub pool: String,
    /// Address `ip:port` where its steward accepts connections of other stewards.
    pub peer: String,
    /// Whether the vm is leaving and must get no new work.
    pub leaving: bool,
}

/// Snapshot of the fleet that a steward passes to the entry and the pool of its vm.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetView {
    /// Current configuration.
    pub bundle: Arc<Bundle>,
    /// State of each group.
    pub groups: BTreeMap<GroupName, GroupState>,
    /// Live vms, this one included.
    pub vms: BTreeMap<VmName, VmState>,
    /// Whether the steward has read which vm owns which part of the accounts' rates.
    ///
    /// Until then, every statement would be refused because of its rate.
    pub rates_known: bool,
}
