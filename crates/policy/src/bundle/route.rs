//! Route from a database name to a group of upstreams.

use serde::Deserialize;
use serde::Serialize;

use crate::names::GroupName;
use crate::names::RouteName;

/// Route from a database name to a group of upstreams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Database name that callers request.
    pub name: RouteName,
    /// Group that serves the database.
    pub group: GroupName,
    /// Whether any caller may use the route without a key.
    #[serde(default)]
    pub open: bool,
}
