//! Route from a database name to a group.

use std::time::Duration;

use mustardbay_policy::names::GroupName;
use serde::Deserialize;
use serde::Serialize;

use crate::work::Guarantee;

/// Where a database name leads, and what it promises.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Group that serves it.
    pub group: GroupName,
    /// What its reads see.
    pub guarantee: Guarantee,
    /// Greatest age of the data that its reads see, where the guarantee is bounded.
    pub staleness: Duration,
    /// Longest time for one statement.
    pub timeout: Duration,
    /// Latency objective of a whole operation.
    pub objective: Duration,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Whether it is open to callers without a key.
    pub open: bool,
}
