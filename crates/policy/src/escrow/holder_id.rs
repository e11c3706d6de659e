//! Identity of a steward incarnation that may own parts.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::names::VmName;

/// Incarnation of a vm's steward; changes with each start and is never reused.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HolderId {
    /// Vm on which the steward runs.
    pub vm: VmName,
    /// Number that identifies one start of the steward.
    pub incarnation: u64,
}

impl HolderId {
    /// Creates the id of one incarnation of a vm's steward.
    pub fn new(vm: impl Into<VmName>, incarnation: u64) -> Self {
        Self {
            vm: vm.into(),
            incarnation,
        }
    }
}

impl fmt::Display for HolderId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.vm, self.incarnation)
    }
}
