//! Who is responsible for a group or an account, by weighted rendezvous hashing.
//!
//! Every vm computes the same result from the same members. A vm that comes or goes moves only what
//! it takes over or leaves behind.

use std::collections::BTreeMap;

use mustardbay_policy::names::AccountName;
use mustardbay_policy::names::GroupName;
use mustardbay_policy::names::VmName;
use sha2::Digest;
use sha2::Sha256;

use crate::fleet::Member;

/// Connections at each upstream that no vm is given, for those that are closing.
const CAP_SLACK: u32 = 2;
/// Vms that read the store for the others: one may be cut off from it.
const READERS: usize = 2;
/// Part of an upstream's connections that vms other than the home hold, in tenths.
const RESERVE_TENTHS: u32 = 3;

/// Returns the vms in the order in which they are responsible for a group; the first is its home.
///
/// Homes are spread so that no vm is home of more groups than its weight's part of all.
#[must_use]
pub fn group_ranking<'a>(
    members: &'a [Member],
    groups: impl Iterator<Item = &'a GroupName>,
    group: &GroupName,
) -> Vec<&'a Member> {
    let mut ranked = ranked(members, "group", group.as_str());
    let Some(home) = homes(members, groups).remove(group) else {
        return ranked;
    };
    let at = ranked.iter().position(|member| member.vm == home);
    if let Some(at) = at {
        let home = ranked.remove(at);
        ranked.insert(0, home);
    }
    ranked
}

/// Returns the vms that read the platform's store for all, at most one of each failure domain.
#[must_use]
pub fn readers(members: &[Member]) -> Vec<&Member> {
    let mut readers: Vec<&Member> = Vec::with_capacity(READERS);
    for member in ranked(members, "reader", "") {
        if readers.len() < READERS && readers.iter().all(|r| r.domain != member.domain) {
            readers.push(member);
        }
    }
    readers
}

/// Returns the vms that grant an account's rate, at most `count`.
#[must_use]
pub fn authorities<'a>(
    members: &'a [Member],
    account: &AccountName,
    count: usize,
) -> Vec<&'a Member> {
    let mut ranked = ranked(members, "account", account.as_str());
    ranked.truncate(count);
    ranked
}

/// Returns how many connections the vm at `rank` may hold at each upstream of a group.
#[must_use]
pub fn share(rank: usize, members: usize, connections: u32) -> u32 {
    let usable = connections.saturating_sub(CAP_SLACK);
    let others = u32::try_from(members.saturating_sub(1)).unwrap_or(u32::MAX);
    let reserve = others.min(connections * RESERVE_TENTHS / 10);
    if rank == 0 {
        return usable.saturating_sub(reserve).max(1);
    }
    let rank = u32::try_from(rank).unwrap_or(u32::MAX);
    u32::from(rank <= reserve)
}

/// Assigns a home to each group, in order of their names.
fn homes<'a>(
    members: &'a [Member],
    groups: impl Iterator<Item = &'a GroupName>,
) -> BTreeMap<GroupName, VmName> {
    let mut names: Vec<&GroupName> = groups.collect();
    names.sort();
    let total: u64 = members.iter().map(|m| u64::from(m.weight)).sum();
    let count = names.len() as u64;
    let mut room: BTreeMap<&VmName, u64> = members
        .iter()
        .map(|m| (&m.vm, (count * u64::from(m.weight)).div_ceil(total.max(1))))
        .collect();
    let mut homes = BTreeMap::new();
    for name in names {
        let order = ranked(members, "group", name.as_str());
        let free = order
            .into_iter()
            .find(|m| room.get(&m.vm).is_some_and(|left| *left > 0));
        if let Some(member) = free {
            if let Some(left) = room.get_mut(&member.vm) {
                *left -= 1;
            }
            homes.insert(name.clone(), member.vm.clone());
        }
    }
    homes
}

fn ranked<'a>(members: &'a [Member], kind: &str, name: &str) -> Vec<&'a Member> {
    let mut scored: Vec<(f64, &Member)> = members
        .iter()
        .map(|member| (score(member, kind, name), member))
        .collect();
    scored.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.vm.cmp(&b.1.vm)));
    scored.into_iter().map(|(_, member)| member).collect()
}

/// Returns the weighted rendezvous score of a vm: `-weight / ln(u)` for a uniform `u` in (0, 1).
fn score(member: &Member, kind: &str, name: &str) -> f64 {
    let mut hash = Sha256::new();
    for part in [kind, name, member.vm.as_str()] {
        hash.update(part.as_bytes());
        hash.update([0]);
    }
    let digest = hash.finalize();
    let mut head = [0_u8; 4];
    head.copy_from_slice(&digest[..4]);
    let uniform = (f64::from(u32::from_be_bytes(head)) + 0.5) / (f64::from(u32::MAX) + 1.0);
    -f64::from(member.weight.max(1)) / uniform.ln()
}
