//! Snapshot of the platform's store: configuration, upstreams and vms.

mod snapshot_delta;
mod topology_delta;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use mustardbay_policy::names::DomainName;
use mustardbay_policy::names::GroupName;
use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

pub use snapshot_delta::SnapshotDelta;
pub use topology_delta::TopologyDelta;

use crate::configuration::Configuration;
use crate::fleet::Member;
use crate::platform::Era;
use crate::pool::Registration;

/// Hash that identifies a snapshot; never 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Fingerprint(pub u64);

/// Contents of the store at one time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    /// Newest configuration.
    pub configuration: Arc<Configuration>,
    /// Registered upstreams by group.
    pub upstreams: Arc<BTreeMap<GroupName, Vec<Registration>>>,
    /// Vms with a valid lease, ordered by name.
    pub members: Arc<Vec<Member>>,
    /// Failure domains whose upstreams the operators want to be left alone.
    #[serde(default)]
    pub evacuated: Arc<BTreeSet<DomainName>>,
    /// Era of the store in which it was read.
    #[serde(default)]
    pub era: Era,
}

/// Part of a snapshot besides the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Topology {
    /// Registered upstreams by group.
    pub upstreams: Arc<BTreeMap<GroupName, Vec<Registration>>>,
    /// Vms with a valid lease, ordered by name.
    pub members: Arc<Vec<Member>>,
    /// Failure domains whose upstreams the operators want to be left alone.
    #[serde(default)]
    pub evacuated: Arc<BTreeSet<DomainName>>,
    /// Era of the store in which it was read.
    #[serde(default)]
    pub era: Era,
}

impl Snapshot {
    /// Tells whether both snapshots share the same allocations, so that neither was read anew.
    #[must_use]
    pub fn ptr_eq(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.configuration, &other.configuration)
            && Arc::ptr_eq(&self.upstreams, &other.upstreams)
            && Arc::ptr_eq(&self.members, &other.members)
            && Arc::ptr_eq(&self.evacuated, &other.evacuated)
            && self.era == other.era
    }

    /// Returns everything but the configuration.
    #[must_use]
    pub fn topology(&self) -> Topology {
        Topology {
            upstreams: Arc::clone(&self.upstreams),
            members: Arc::clone(&self.members),
            evacuated: Arc::clone(&self.evacuated),
            era: self.era,
        }
    }

    /// Returns a snapshot with this configuration and another topology.
    #[must_use]
    pub fn with_topology(&self, topology: Topology) -> Self {
        Self {
            configuration: Arc::clone(&self.configuration),
            upstreams: topology.upstreams,
            members: topology.members,
            evacuated: topology.evacuated,
            era: topology.era,
        }
    }

    /// Returns the snapshot's fingerprint: equal for equal snapshots, on every vm.
    ///
    /// The configuration is represented by its version, because a version never has two contents.
    ///
    /// # Errors
    ///
    /// Fails if the snapshot cannot be encoded.
    pub fn fingerprint(&self) -> Result<Fingerprint, serde_json::Error> {
        let version = self.configuration.version;
        let digest = Sha256::digest(serde_json::to_vec(&(version, self.topology()))?);
        let mut head = [0_u8; 8];
        head.copy_from_slice(&digest[..8]);
        Ok(Fingerprint(u64::from_be_bytes(head).max(1)))
    }
}
