//! One vm as the fleet knows it.

use std::net::SocketAddr;

use mustardbay_policy::names::DomainName;
use mustardbay_policy::names::VmName;
use serde::Deserialize;
use serde::Serialize;

/// Number of a process's life, higher for a later one on the same vm.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// Entry of a vm in the platform's store; it lapses with the vm's lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// Name of the vm.
    pub vm: VmName,
    /// Address that other vms connect to.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainName,
    /// Life of its process.
    pub incarnation: Incarnation,
    /// Its part of the fleet's work, in thousandths of a core.
    pub weight: u32,
}
