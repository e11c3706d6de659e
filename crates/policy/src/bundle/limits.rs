//! Time limits that apply to the whole fleet.

use serde::Deserialize;
use serde::Serialize;

/// Time limits that apply to the whole fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Timeout of a statement, in milliseconds.
    pub statement_ms: u64,
    /// Longest wait for a replica to catch up with a session's floor, in milliseconds.
    pub behind_ms: u64,
    /// Longest wait for a replica to confirm a write, in milliseconds.
    pub durable_ms: u64,
    /// Time without an answer after which a primary is suspected to be down, in milliseconds.
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
