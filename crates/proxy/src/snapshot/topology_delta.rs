//! Difference between two topologies, which is sent instead of the whole.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use mustardbay_policy::names::DomainName;
use mustardbay_policy::names::GroupName;
use mustardbay_policy::names::VmName;
use serde::Deserialize;
use serde::Serialize;

use crate::fleet::Member;
use crate::platform::Era;
use crate::pool::Registration;
use crate::snapshot::Topology;

/// What a topology has changed against an earlier one, its base.
///
/// It names the vms and groups that changed, so its size does not grow with the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TopologyDelta {
    /// Vms that are new or changed.
    members: Vec<Member>,
    /// Vms that are gone.
    gone_members: Vec<VmName>,
    /// All upstreams of the groups whose registrations changed.
    groups: BTreeMap<GroupName, Vec<Registration>>,
    /// Groups that have no registered upstream any more.
    gone_groups: Vec<GroupName>,
    /// All evacuated domains.
    evacuated: Arc<BTreeSet<DomainName>>,
    /// Era of the store in which the topology was read.
    era: Era,
}

impl TopologyDelta {
    /// Returns what `new` has changed against `base`.
    #[must_use]
    pub fn between(base: &Topology, new: &Topology) -> Self {
        let before = by_name(&base.members);
        let after = by_name(&new.members);
        let changed = after.iter().filter(|(vm, m)| before.get(*vm) != Some(*m));
        let gone = before.keys().filter(|vm| !after.contains_key(*vm));
        let groups = new.upstreams.iter();
        let groups = groups.filter(|(group, list)| base.upstreams.get(*group) != Some(*list));
        let gone_groups = base.upstreams.keys();
        let gone_groups = gone_groups.filter(|group| !new.upstreams.contains_key(*group));
        Self {
            members: changed.map(|(_, member)| (*member).clone()).collect(),
            gone_members: gone.map(|vm| (*vm).clone()).collect(),
            groups: groups.map(|(g, list)| (g.clone(), list.clone())).collect(),
            gone_groups: gone_groups.cloned().collect(),
            evacuated: Arc::clone(&new.evacuated),
            era: new.era,
        }
    }

    /// Returns the topology that results from applying the difference to its base.
    ///
    /// The receiver compares the result's fingerprint, since the base may be another one.
    #[must_use]
    pub fn apply(self, base: &Topology) -> Topology {
        let mut members: BTreeMap<VmName, Member> = base
            .members
            .iter()
            .map(|member| (member.vm.clone(), member.clone()))
            .collect();
        members.retain(|vm, _| !self.gone_members.contains(vm));
        members.extend(self.members.into_iter().map(|m| (m.vm.clone(), m)));
        let mut upstreams = (*base.upstreams).clone();
        upstreams.retain(|group, _| !self.gone_groups.contains(group));
        upstreams.extend(self.groups);
        Topology {
            upstreams: Arc::new(upstreams),
            members: Arc::new(members.into_values().collect()),
            evacuated: self.evacuated,
            era: self.era,
        }
    }
}

fn by_name(members: &[Member]) -> BTreeMap<&VmName, &Member> {
    members.iter().map(|member| (&member.vm, member)).collect()
}
