//! Scheduling disciplines for waiting statements.

use serde::Deserialize;
use serde::Serialize;

/// Order in which waiting statements are served.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Discipline {
    /// Deficit round robin over accounts by weight.
    #[default]
    Fair,
    /// First in, first out over all accounts.
    Fifo,
}
