//! Route from a database name to a group.

use serde::Deserialize;
use serde::Serialize;

use crate::names::GroupName;
use crate::names::RouteName;

/// Route from a database name to a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Database name that callers ask for.
    pub name: RouteName,
    /// Group that serves it.
    pub group: GroupName,
    /// Whether every caller may use it without a key.
    #[serde(default)]
    pub open: bool,
}
