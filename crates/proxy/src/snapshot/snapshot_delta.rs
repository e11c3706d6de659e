//! Difference between two snapshots.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::configuration::ConfigurationDelta;
use crate::snapshot::Snapshot;
use crate::snapshot::TopologyDelta;

/// What a snapshot has changed against an earlier one, its base.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SnapshotDelta {
    /// Absent if the configuration is the same.
    configuration: Option<ConfigurationDelta>,
    topology: TopologyDelta,
}

impl SnapshotDelta {
    /// Returns what `new` has changed against `base`.
    #[must_use]
    pub fn between(base: &Snapshot, new: &Snapshot) -> Self {
        let configured = base.configuration.version == new.configuration.version;
        let change = || ConfigurationDelta::between(&base.configuration, &new.configuration);
        Self {
            configuration: (!configured).then(change),
            topology: TopologyDelta::between(&base.topology(), &new.topology()),
        }
    }

    /// Returns the snapshot that results from applying the difference, or `None` if `base` has another
    /// configuration than it was made for.
    ///
    /// The receiver compares the result's fingerprint, since the topology may be another one as well.
    #[must_use]
    pub fn apply(self, base: &Snapshot) -> Option<Snapshot> {
        let topology = self.topology.apply(&base.topology());
        let mut snapshot = base.with_topology(topology);
        if let Some(change) = self.configuration {
            snapshot.configuration = Arc::new(change.apply(&base.configuration)?);
        }
        Some(snapshot)
    }
}
