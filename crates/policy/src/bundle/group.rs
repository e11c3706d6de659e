//! Database group in a bundle.

use serde::Deserialize;
use serde::Serialize;

use crate::bundle::Upstream;
use crate::names::GroupName;

/// Database group: a primary and its replicas.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// Name of the group.
    pub name: GroupName,
    /// Most statements that one upstream runs at once.
    pub slots: u32,
    /// Most connections to one upstream, including control connections.
    pub connections: u32,
    /// Database servers of the group.
    pub upstreams: Vec<Upstream>,
}
