//! Bounds that hold for the whole fleet.

use serde::Deserialize;
use serde::Serialize;

/// Bounds that hold for the whole fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Longest time that a statement may take, in milliseconds.
    pub statement_ms: u64,
    /// Longest wait for a replica that is behind a session's floor, in milliseconds.
    pub behind_ms: u64,
    /// Longest wait for a replica's confirmation of a write, in milliseconds.
    pub durable_ms: u64,
    /// Silence after which a primary is suspected, in milliseconds.
    pub suspect_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            statement_ms: 5_000,
            behind_ms: 20,
            durable_ms: 1_000,
            suspect_ms: 600,
        }
    }
}
