//! Limits of a database group.

use serde::Deserialize;
use serde::Serialize;

/// Limits that the operators set for a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupLimits {
    /// Connections that each upstream accepts from the whole fleet.
    pub connections: u32,
    /// Replicas that must have received a commit before it is acknowledged.
    pub sync_replicas: u32,
    /// Requests that each upstream may get in a second from the whole fleet while it is cold; 0 if any.
    #[serde(default)]
    pub cold_rate: u32,
}
