//! Gossip update about one vm.

use serde::Deserialize;
use serde::Serialize;

use crate::member::hash64;
use crate::names::VmName;
use crate::view::VmState;

/// Liveness of a vm; at the same count a later variant overrides an earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    /// The vm announced itself, or refuted a suspicion.
    Alive,
    /// One of its observers missed its heartbeats or could not reach it.
    Suspect,
    /// It did not refute the suspicion, or announced its shutdown.
    Gone,
}

/// Gossip update about the state of one vm.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberUpdate {
    /// Name of the vm.
    pub vm: VmName,
    /// Addresses, failure domain and incarnation of the vm.
    pub state: VmState,
    /// Number that the vm's steward raises with every update about itself.
    pub count: u64,
    /// Liveness of the vm.
    pub status: Status,
}

impl MemberUpdate {
    /// Returns whether this update overrides `other`.
    #[must_use]
    pub fn overrides(&self, other: &Self) -> bool {
        self.rank() > other.rank()
    }

    /// Returns a hash that differs between updates of which one overrides the other.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let (incarnation, count, status) = self.rank();
        hash64(&[
            self.vm.as_str().as_bytes(),
            &incarnation.to_be_bytes(),
            &count.to_be_bytes(),
            &[status as u8],
        ])
    }

    fn rank(&self) -> (u64, u64, Status) {
        (self.state.incarnation, self.count, self.status)
    }
}
