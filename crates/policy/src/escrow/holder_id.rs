//! One life of a steward that may own parts.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::names::VmName;

/// One life of a steward that may own parts; an incarnation is never reused.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HolderId {
    /// Virtual machine.
    pub vm: VmName,
    /// Start of the steward.
    pub incarnation: u64,
}

impl HolderId {
    /// Names one life of a virtual machine's steward.
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
