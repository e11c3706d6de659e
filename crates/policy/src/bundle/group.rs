//! Database group.

use serde::Deserialize;
use serde::Serialize;

use crate::bundle::Upstream;
use crate::names::GroupName;

/// Database group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// Name of the group.
    pub name: GroupName,
    /// Statements that one upstream runs at once.
    pub slots: u32,
    /// Connections that one upstream accepts, control connections included.
    pub connections: u32,
    /// Database servers of the group.
    pub upstreams: Vec<Upstream>,
}
