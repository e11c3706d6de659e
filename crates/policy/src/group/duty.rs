//! Choice of the stewards that monitor a group.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

use crate::names::DomainName;
use crate::names::GroupName;
use crate::names::VmName;
use crate::view::VmState;

/// Stewards that monitor one group.
pub const MAX_MONITORS: usize = 3;
/// Stewards that monitor a group when there are not enough failure domains.
const MIN_MONITORS: usize = 2;

/// Place of a steward among the monitors of a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Duty {
    /// Place in the order, 0 for the first.
    pub rank: u32,
    /// The other monitors.
    pub others: Vec<VmName>,
}

impl Duty {
    /// Returns the duty of `me` for a group, or `None` if others monitor it.
    ///
    /// Monitors are chosen by rendezvous hashing, at most one for each failure domain unless there
    /// are too few domains; leaving virtual machines are not chosen.
    #[must_use]
    pub fn of(me: &VmName, group: &GroupName, vms: &BTreeMap<VmName, VmState>) -> Option<Self> {
        let monitors = monitors(group, vms);
        let rank = monitors.iter().position(|vm| vm == me)?;
        let others = monitors.into_iter().filter(|vm| vm != me);
        Some(Self {
            rank: u32::try_from(rank).unwrap_or(u32::MAX),
            others: others.collect(),
        })
    }
}

fn monitors(group: &GroupName, vms: &BTreeMap<VmName, VmState>) -> Vec<VmName> {
    let mut ranked: Vec<(&VmName, &DomainName)> = vms
        .iter()
        .filter(|(_, state)| !state.leaving)
        .map(|(vm, state)| (vm, &state.domain))
        .collect();
    ranked.sort_by_cached_key(|(vm, _)| score(group, vm));
    let mut domains = BTreeSet::new();
    let (firsts, rest): (Vec<_>, Vec<_>) = ranked
        .into_iter()
        .partition(|(_, domain)| domains.insert((*domain).clone()));
    let spare = MIN_MONITORS.saturating_sub(firsts.len());
    let firsts = firsts.into_iter().take(MAX_MONITORS);
    firsts
        .chain(rest.into_iter().take(spare))
        .map(|(vm, _)| vm.clone())
        .collect()
}

fn score(group: &GroupName, vm: &VmName) -> [u8; 32] {
    let mut hash = Sha256::new();
    for part in [group.as_str(), vm.as_str()] {
        hash.update(part.as_bytes());
        hash.update([0]);
    }
    hash.finalize().into()
}
