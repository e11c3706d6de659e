//! Order in which vms are responsible for a group, and their shares of its connections.

use std::sync::Arc;

use mustardbay_policy::names::VmName;

use crate::fleet::Member;

/// Connections of each upstream that are not assigned, since closing ones still count there.
const UNASSIGNED_CONNECTIONS: u32 = 2;
/// Share of an upstream's connections that the stand-ins hold together, in tenths.
const STAND_IN_TENTHS: u32 = 3;
/// Vms that serve a group while its home is unreachable, in three other failure domains if possible.
const STAND_INS: usize = 3;

/// Part of the requests to a cold upstream that each stand-in may send: one in this many.
const COLD_STAND_IN_PART: u32 = 10;

/// Vms in the order in which they are responsible for a group.
///
/// The first is its home. The next few are its stand-ins, which serve the group while the home is
/// unreachable; they are in other failure domains where possible.
#[derive(Debug, Clone)]
pub struct Ranking {
    members: Arc<Vec<Member>>,
    order: Arc<[usize]>,
}

impl Ranking {
    pub(super) fn new(members: Arc<Vec<Member>>, order: Vec<usize>) -> Self {
        Self {
            members,
            order: order.into(),
        }
    }

    /// Returns the vm at a rank, counted from 0.
    #[must_use]
    pub fn get(&self, rank: usize) -> Option<&Member> {
        self.order.get(rank).map(|index| &self.members[*index])
    }

    /// Returns the rank of a vm, or nothing if it is not a member.
    #[must_use]
    pub fn rank_of(&self, vm: &VmName) -> Option<usize> {
        let mut order = self.order.iter();
        order.position(|index| self.members[*index].vm == *vm)
    }

    /// Returns the vms that `me` may send a unit to, in the order in which they are tried.
    ///
    /// The home comes first, then the stand-ins: `me` itself, those in its failure domain, the others.
    #[must_use]
    pub fn candidates(&self, me: &VmName) -> Vec<Member> {
        let own = self.members.iter().find(|member| member.vm == *me);
        let distance = |member: &Member| match own {
            Some(own) if own.vm == member.vm => 0,
            Some(own) if own.domain == member.domain => 1,
            Some(_) | None => 2,
        };
        let mut candidates: Vec<Member> = (0..=STAND_INS)
            .filter_map(|rank| self.get(rank).cloned())
            .collect();
        if let Some(stand_ins) = candidates.get_mut(1..) {
            stand_ins.sort_by_key(distance);
        }
        candidates
    }

    /// Returns how many requests a second a vm may send to a cold upstream; `None` if `rate` is 0.
    #[must_use]
    pub fn cold_limit(&self, vm: &VmName, rate: u32) -> Option<u32> {
        let rank = self.rank_of(vm);
        let limit = rank.map_or(0, |rank| cold_share(rank, self.order.len(), rate));
        (rate > 0).then_some(limit)
    }

    /// Returns how many connections a vm may hold at each upstream of the group.
    ///
    /// Each upstream accepts `connections` in total.
    #[must_use]
    pub fn share(&self, vm: &VmName, connections: u32) -> u32 {
        self.rank_of(vm)
            .map_or(0, |rank| share(rank, self.order.len(), connections))
    }
}

/// Returns how many requests a second the vm at `rank` may send to a cold upstream of a group.
///
/// The fleet may send it `rate`; the home and its stand-ins hold fixed parts, because vms that are cut
/// off from each other cannot count together.
#[must_use]
pub fn cold_share(rank: usize, members: usize, rate: u32) -> u32 {
    let stand_ins = members.saturating_sub(1).min(STAND_INS);
    let count = u32::try_from(stand_ins).unwrap_or(u32::MAX);
    let per_stand_in = (rate / COLD_STAND_IN_PART).max(1);
    match rank {
        0 => rate.saturating_sub(per_stand_in * count).max(1),
        _ if rank <= stand_ins => per_stand_in,
        _ => 0,
    }
}

/// Returns how many connections the vm at `rank` may hold at each upstream of a group.
///
/// `members` is the size of the fleet; each upstream accepts `connections` in total.
#[must_use]
pub fn share(rank: usize, members: usize, connections: u32) -> u32 {
    let stand_ins = members.saturating_sub(1).min(STAND_INS);
    let count = u32::try_from(stand_ins).unwrap_or(u32::MAX);
    let per_stand_in = (connections * STAND_IN_TENTHS / 10 / count.max(1)).max(1);
    if rank == 0 {
        let usable = connections.saturating_sub(UNASSIGNED_CONNECTIONS);
        return usable.saturating_sub(per_stand_in * count).max(1);
    }
    if rank <= stand_ins { per_stand_in } else { 0 }
}
