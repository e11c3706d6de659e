//! Key ranges of the platform's store that the steward reads.

use std::collections::BTreeMap;

use mustardbay_policy::member::hash64;
use mustardbay_policy::names::VmName;
use mustardbay_policy::view::VmState;
use serde::Serialize;

use crate::bundles::HEAD_KEY;
use crate::directory::parse::VM_PREFIX;
use crate::groups::RECORD_PREFIX;

/// Number of stewards per failure domain that watch the platform; the others get changes by gossip.
const WATCHERS_PER_DOMAIN: usize = 2;

/// Key range of the platform's store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum Subject {
    /// List of vms.
    Vms,
    /// Head of the newest bundle.
    Head,
    /// Group records.
    Groups,
}

impl Subject {
    pub(super) const ALL: [Self; 3] = [Self::Vms, Self::Head, Self::Groups];

    /// Returns the common prefix of the keys.
    pub(super) fn prefix(self) -> &'static str {
        match self {
            Self::Vms => VM_PREFIX,
            Self::Head => HEAD_KEY,
            Self::Groups => RECORD_PREFIX,
        }
    }
}

/// Tells whether `me` watches the platform: it ranks among the first of its domain by hash.
///
/// A vm that is not yet in the view watches too.
pub(super) fn is_watcher(me: &VmName, vms: &BTreeMap<VmName, VmState>) -> bool {
    let Some(own) = vms.get(me) else {
        return true;
    };
    let same_domain = vms.iter().filter(|(_, vm)| vm.domain == own.domain);
    let own_score = score(me);
    let ahead = same_domain.filter(|(name, _)| score(name) < own_score);
    ahead.count() < WATCHERS_PER_DOMAIN
}

fn score(vm: &VmName) -> u64 {
    hash64(&[b"watch", vm.as_str().as_bytes()])
}
