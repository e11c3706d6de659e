//! Member of the fleet, as it is stored.

use std::net::SocketAddr;

use mustardbay_policy::names::DomainName;
use mustardbay_policy::names::VmName;
use serde::Deserialize;
use serde::Serialize;

/// Number of a vm's process, higher for a later process on the same vm.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// Entry of a vm in the platform's store, which is removed when the vm's lease ends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// Name of the vm.
    pub vm: VmName,
    /// Address that other vms connect to.
    pub address: SocketAddr,
    /// Failure domain of the vm.
    pub domain: DomainName,
    /// Number of its process.
    pub incarnation: Incarnation,
    /// Capacity by which the fleet's work is divided, in thousandths of a core.
    pub weight: u32,
}
