//! Member list that assignments are made for, with protection against mass lease expiry.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use mustardbay_policy::names::VmName;

use crate::clock::BootInstant;
use crate::fleet::Member;

/// Term of a vm's lease, after which a vm that has died is no longer listed.
pub const LEASE_TERM: Duration = Duration::from_secs(3);
/// Time in which vms whose leases ended during an outage of the store rejoin.
///
/// It covers a renewal that finds the lease ended, a new lease and a read of the member list.
const REJOIN_TIME: Duration = Duration::from_millis(1_800);

/// Member list in force.
///
/// When the store was unavailable for a lease term, the leases of live vms may all have ended at once.
/// Missing members are then retained for a short time; otherwise every responsibility would move away
/// and back.
#[derive(Debug, Default)]
pub struct MemberList {
    members: Arc<Vec<Member>>,
    retain_until: Option<BootInstant>,
}

impl MemberList {
    /// Updates the list with one read `gap` after the previous one; returns the members in force.
    pub fn update(
        &mut self,
        listed: &Arc<Vec<Member>>,
        gap: Duration,
        now: BootInstant,
    ) -> Arc<Vec<Member>> {
        if self.members == *listed {
            return Arc::clone(&self.members);
        }
        let missing = missing(&self.members, listed);
        if gap >= LEASE_TERM && missing.len() * 2 >= self.members.len() && !missing.is_empty() {
            tracing::info!(
                event = "places_kept",
                vms = missing.len(),
                gap_ms = gap.as_millis()
            );
            self.retain_until = Some(now.after(REJOIN_TIME));
        }
        let retains = self.retain_until.is_some_and(|until| now < until);
        self.members = if retains && !missing.is_empty() {
            Arc::new(merge(listed, missing))
        } else {
            self.retain_until = None;
            Arc::clone(listed)
        };
        Arc::clone(&self.members)
    }
}

fn missing(members: &[Member], listed: &[Member]) -> Vec<Member> {
    let names: BTreeSet<&VmName> = listed.iter().map(|member| &member.vm).collect();
    let gone = members.iter().filter(|member| !names.contains(&member.vm));
    gone.cloned().collect()
}

/// Returns the members of both lists, ordered by name.
fn merge(listed: &[Member], missing: Vec<Member>) -> Vec<Member> {
    let all = listed.iter().cloned().chain(missing);
    let by_name: BTreeMap<VmName, Member> = all.map(|m| (m.vm.clone(), m)).collect();
    by_name.into_values().collect()
}
