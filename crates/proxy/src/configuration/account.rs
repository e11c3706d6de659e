//! Rate limit of a client account.

use serde::Deserialize;
use serde::Serialize;

/// Rate limit of an account over the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Operations per second, in millionths of an operation.
    pub rate: u64,
    /// Operations that may arrive at once, in millionths of an operation.
    pub burst: u64,
}
