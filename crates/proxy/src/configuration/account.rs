//! Client account.

use serde::Deserialize;
use serde::Serialize;

/// Rate and burst of an account over the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Operations a second, in millionths.
    pub rate: u64,
    /// Operations that may come at once, in millionths.
    pub burst: u64,
}
