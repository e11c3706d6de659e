//! Route from a database name to a group.

use std::time::Duration;

use mustardbay_policy::names::GroupName;
use serde::Deserialize;
use serde::Serialize;

use crate::configuration::RegionSet;
use crate::work::Guarantee;

/// Group that a database name maps to, and the guarantees for its statements.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Group that serves the route.
    pub group: GroupName,
    /// Consistency guarantee of its reads.
    pub guarantee: Guarantee,
    /// Maximum age of the data that its reads see, if the guarantee is bounded staleness.
    pub staleness: Duration,
    /// Maximum time for one statement.
    pub timeout: Duration,
    /// Latency objective of a whole operation.
    pub objective: Duration,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Whether callers without a key may use the route.
    pub open: bool,
    /// Regions in which its statements may be handled; all if absent.
    #[serde(default)]
    pub regions: Option<RegionSet>,
}
