//! Parts of the platform's store that the steward keeps up with.

use std::collections::BTreeMap;

use mustardbay_policy::member::hash64;
use mustardbay_policy::names::VmName;
use mustardbay_policy::view::VmState;
use serde::Serialize;

use crate::bundles::HEAD_KEY;
use crate::directory::parse::VM_PREFIX;
use crate::groups::RECORD_PREFIX;

/// Stewards of each failure domain that watch the platform; the others hear from them.
const WATCHERS_PER_DOMAIN: usize = 2;

/// Part of the platform's store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum Subject {
    /// List of virtual machines.
    Vms,
    /// Head of the bundle.
    Head,
    /// Group records.
    Groups,
}

impl Subject {
    pub(super) const ALL: [Self; 3] = [Self::Vms, Self::Head, Self::Groups];

    /// Returns the prefix of its keys.
    pub(super) fn prefix(self) -> &'static str {
        match self {
            Self::Vms => VM_PREFIX,
            Self::Head => HEAD_KEY,
            Self::Groups => RECORD_PREFIX,
        }
    }
}

/// Tells whether `me` watches for its failure domain: the first few by rendezvous hashing.
pub(super) fn is_watcher(me: &VmName, vms: &BTreeMap<VmName, VmState>) -> bool {
    let Some(itself) = vms.get(me) else {
        return true;
    };
    let neighbours = vms.iter().filter(|(_, vm)| vm.domain == itself.domain);
    let mine = score(me);
    let before = neighbours.filter(|(name, _)| score(name) < mine);
    before.count() < WATCHERS_PER_DOMAIN
}

fn score(vm: &VmName) -> u64 {
    hash64(&[b"watch", vm.as_str().as_bytes()])
}
