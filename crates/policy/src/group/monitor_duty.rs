//! Assignment of stewards to the groups that they monitor.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Serialize;

use crate::member::hash64;
use crate::names::DomainName;
use crate::names::GroupName;
use crate::names::VmName;
use crate::view::VmState;

/// Most stewards that monitor one group.
pub const MAX_MONITORS: usize = 3;
/// Fewest stewards that monitor a group, if that many are live; they may share a domain.
const MIN_MONITORS: usize = 2;

/// Duty of a steward to monitor a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct MonitorDuty {
    /// Position in the order of the monitors, 0 for the first.
    pub rank: u32,
    /// The other monitors of the group.
    pub others: Vec<VmName>,
}

/// Stewards that may monitor groups, with hashes computed once for many groups.
#[derive(Debug, Default)]
pub struct MonitorCandidates {
    vms: Vec<Candidate>,
    domains: usize,
}

#[derive(Debug)]
struct Candidate {
    vm: VmName,
    hash: u64,
    domain: usize,
}

impl MonitorCandidates {
    /// Creates the candidates from the live vms, without those that are leaving.
    #[must_use]
    pub fn new(vms: &BTreeMap<VmName, VmState>) -> Self {
        let remaining = vms.iter().filter(|(_, state)| !state.leaving);
        let names: BTreeSet<&DomainName> = remaining.clone().map(|(_, vm)| &vm.domain).collect();
        let indexes: BTreeMap<&DomainName, usize> = names.into_iter().zip(0..).collect();
        let candidates = remaining.map(|(vm, state)| Candidate {
            vm: vm.clone(),
            hash: hash64(&[vm.as_str().as_bytes()]),
            domain: indexes[&state.domain],
        });
        Self {
            vms: candidates.collect(),
            domains: indexes.len(),
        }
    }

    /// Returns the duty of `me` for a group, or `None` if others monitor it.
    ///
    /// Monitors are chosen by rendezvous hashing, at most one in each failure domain unless there
    /// are fewer than two domains.
    #[must_use]
    pub fn duty(&self, me: &VmName, group: &GroupName) -> Option<MonitorDuty> {
        let monitors = self.monitors(group);
        let rank = monitors.iter().position(|vm| *vm == me)?;
        let others = monitors.into_iter().filter(|vm| *vm != me);
        Some(MonitorDuty {
            rank: u32::try_from(rank).unwrap_or(u32::MAX),
            others: others.cloned().collect(),
        })
    }

    fn monitors(&self, group: &GroupName) -> Vec<&VmName> {
        let seed = hash64(&[group.as_str().as_bytes()]);
        let mut best: Vec<Option<(u64, usize)>> = vec![None; self.domains];
        for (index, candidate) in self.vms.iter().enumerate() {
            let score = mix(candidate.hash ^ seed);
            let slot = &mut best[candidate.domain];
            if slot.is_none_or(|(highest, _)| score > highest) {
                *slot = Some((score, index));
            }
        }
        let mut chosen: Vec<(u64, usize)> = best.into_iter().flatten().collect();
        chosen.sort_unstable_by(|a, b| b.cmp(a));
        chosen.truncate(MAX_MONITORS);
        if chosen.len() < MIN_MONITORS {
            self.fill_up(seed, &mut chosen);
        }
        let chosen = chosen.into_iter().map(|(_, index)| &self.vms[index].vm);
        chosen.collect()
    }

    /// Adds the candidates with the highest scores until there are enough, in any failure domain.
    fn fill_up(&self, seed: u64, chosen: &mut Vec<(u64, usize)>) {
        let mut rest: Vec<(u64, usize)> = self
            .vms
            .iter()
            .enumerate()
            .map(|(index, candidate)| (mix(candidate.hash ^ seed), index))
            .filter(|entry| !chosen.contains(entry))
            .collect();
        rest.sort_unstable_by(|a, b| b.cmp(a));
        chosen.extend(rest.into_iter().take(MIN_MONITORS - chosen.len()));
    }
}

/// Mixes the bits of a number with the finalizer of `SplitMix64`.
fn mix(number: u64) -> u64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}
