//! Assignment of groups, accounts and store reads to the vms of one member list.
//!
//! Weighted rendezvous hashing: every vm computes the same result from the same members, and a vm
//! that joins or leaves moves few responsibilities other than its own.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use mustardbay_policy::names::AccountName;
use mustardbay_policy::names::DomainName;
use mustardbay_policy::names::GroupName;
use mustardbay_policy::names::VmName;
use sha2::Digest;
use sha2::Sha256;

use crate::fleet::HomeDomains;
use crate::fleet::Member;
use crate::fleet::ranking::Ranking;
use crate::sync::lock;

/// Minimum number of vms that read the store for the others: one may be cut off from it.
const MIN_READERS: usize = 2;
/// Vms per reader, which sends each of them every change, while there are no more readers than domains.
const VMS_PER_READER: usize = 16;
/// Minimum number of authorities of an account: with three, the loss of one leaves two thirds of its rate.
const MIN_AUTHORITIES: usize = 3;
/// Maximum number of authorities of an account: more would split small rates too finely.
///
/// Up to six failure domains have one each, so that each side of a network partition keeps its share.
const MAX_AUTHORITIES: usize = 6;

/// Responsibilities of the members of a fleet.
///
/// Rankings and authorities are cached on first use, because every statement needs a ranking.
#[derive(Debug)]
pub struct Assignment {
    members: Arc<Vec<Member>>,
    groups: Vec<GroupName>,
    /// Failure domains that the home of a group should be in; a group without an entry may have any.
    home_domains: HomeDomains,
    /// Hash of each member's name, in the order of the members.
    name_hashes: Vec<u64>,
    /// Home of each group, as an index into the members.
    homes: BTreeMap<GroupName, usize>,
    readers: Vec<Member>,
    rankings: Mutex<BTreeMap<GroupName, Ranking>>,
    authorities: Mutex<BTreeMap<AccountName, Arc<[Member]>>>,
}

/// Responsibility that is assigned to vms.
#[derive(Debug, Clone, Copy)]
enum Responsibility<'a> {
    Group(&'a GroupName),
    Account(&'a AccountName),
    StoreReads,
}

impl Assignment {
    /// Assigns `groups` to `members`; their homes may be in any failure domain.
    #[must_use]
    pub fn new<'a>(members: Arc<Vec<Member>>, groups: impl Iterator<Item = &'a GroupName>) -> Self {
        Self::with_home_domains(members, groups, HomeDomains::new())
    }

    /// Assigns `groups` to `members`, with homes in `home_domains` as far as their vms have room.
    #[must_use]
    pub fn with_home_domains<'a>(
        members: Arc<Vec<Member>>,
        groups: impl Iterator<Item = &'a GroupName>,
        home_domains: HomeDomains,
    ) -> Self {
        let name_hashes = members
            .iter()
            .map(|m| hash_name("vm", m.vm.as_str()))
            .collect();
        let mut groups: Vec<GroupName> = groups.cloned().collect();
        groups.sort();
        let mut assignment = Self {
            members,
            groups,
            home_domains,
            name_hashes,
            homes: BTreeMap::new(),
            readers: Vec::new(),
            rankings: Mutex::default(),
            authorities: Mutex::default(),
        };
        assignment.readers = assignment.choose_readers();
        assignment.homes = assignment.assign_homes();
        assignment
    }

    /// Returns whether the assignment was made for exactly these members, groups and home domains.
    #[must_use]
    pub fn covers<'a>(
        &self,
        members: &[Member],
        groups: impl Iterator<Item = &'a GroupName>,
        home_domains: &HomeDomains,
    ) -> bool {
        self.members.as_slice() == members
            && groups.eq(&self.groups)
            && self.home_domains == *home_domains
    }

    /// Returns the vms in the order in which they are responsible for a group; the first is its home.
    ///
    /// No vm is home of more groups than its share by weight, rounded up.
    #[must_use]
    pub fn ranking(&self, group: &GroupName) -> Ranking {
        let mut rankings = lock(&self.rankings);
        if let Some(cached) = rankings.get(group) {
            return cached.clone();
        }
        let ranking = Ranking::new(Arc::clone(&self.members), self.group_order(group));
        rankings.insert(group.clone(), ranking.clone());
        ranking
    }

    /// Returns the vms that may grant an account's rate, in different failure domains where possible.
    ///
    /// How many of them do grant it depends on the account's rate.
    #[must_use]
    pub fn authorities(&self, account: &AccountName) -> Arc<[Member]> {
        let mut authorities = lock(&self.authorities);
        if let Some(cached) = authorities.get(account) {
            return Arc::clone(cached);
        }
        let order = self.rank_members(Responsibility::Account(account));
        let chosen = self.take_across_domains(&order, self.authority_count());
        let chosen: Arc<[Member]> = chosen.into();
        authorities.insert(account.clone(), Arc::clone(&chosen));
        chosen
    }

    /// Returns the first `count` authorities of an account in the order in which a vm asks them.
    ///
    /// Those of its own failure domain come first. The others are rotated by the vm's index, so that the
    /// vms do not all ask the same one first.
    #[must_use]
    pub fn authorities_for(&self, account: &AccountName, vm: &VmName, count: usize) -> Vec<Member> {
        let authorities = self.authorities(account);
        let own = self.members.iter().position(|member| member.vm == *vm);
        let domain = own.map(|index| &self.members[index].domain);
        let granting = authorities.iter().take(count);
        let (mut near, mut far): (Vec<Member>, Vec<Member>) = granting
            .cloned()
            .partition(|member| Some(&member.domain) == domain);
        let offset = own.unwrap_or(0) % far.len().max(1);
        far.rotate_left(offset);
        near.append(&mut far);
        near
    }

    /// Returns the address of a member, or nothing if the vm is not one.
    #[must_use]
    pub fn address(&self, vm: &VmName) -> Option<SocketAddr> {
        let member = self.members.iter().find(|member| member.vm == *vm);
        member.map(|member| member.address)
    }

    /// Returns the failure domain of a member, or nothing if the vm is not one.
    #[must_use]
    pub fn domain(&self, vm: &VmName) -> Option<&DomainName> {
        let member = self.members.iter().find(|member| member.vm == *vm);
        member.map(|member| &member.domain)
    }

    /// Returns the vms that read the platform's store for all, in different failure domains where possible.
    #[must_use]
    pub fn readers(&self) -> &[Member] {
        &self.readers
    }

    /// Returns the readers in the order in which a vm asks them: those of its own domain first.
    #[must_use]
    pub fn readers_for(&self, vm: &VmName) -> Vec<&Member> {
        let own = self.members.iter().find(|member| member.vm == *vm);
        let domain = own.map(|own| &own.domain);
        let mut readers: Vec<&Member> = self.readers.iter().collect();
        readers.sort_by_key(|reader| Some(&reader.domain) != domain);
        readers
    }

    /// Returns the ranking of a group: its home, the best vm of each other domain, then the rest.
    fn group_order(&self, group: &GroupName) -> Vec<usize> {
        let mut order = self.rank_members(Responsibility::Group(group));
        if let Some(home) = self.homes.get(group) {
            order.retain(|index| index != home);
            order.insert(0, *home);
        }
        self.spread_domains(&order)
    }

    fn choose_readers(&self) -> Vec<Member> {
        let order = self.rank_members(Responsibility::StoreReads);
        let wanted = (self.members.len() / VMS_PER_READER).min(self.domain_count());
        self.take_across_domains(&order, wanted.max(MIN_READERS))
    }

    fn take_across_domains(&self, order: &[usize], count: usize) -> Vec<Member> {
        let order = self.spread_domains(order).into_iter().take(count);
        order.map(|index| self.members[index].clone()).collect()
    }

    /// Moves the first member of each domain before all others, otherwise in the same order.
    fn spread_domains(&self, order: &[usize]) -> Vec<usize> {
        let mut domains = BTreeSet::new();
        let (mut firsts, others): (Vec<usize>, Vec<usize>) = order
            .iter()
            .partition(|index| domains.insert(&self.members[**index].domain));
        firsts.extend(others);
        firsts
    }

    fn authority_count(&self) -> usize {
        self.domain_count().clamp(MIN_AUTHORITIES, MAX_AUTHORITIES)
    }

    fn domain_count(&self) -> usize {
        let domains: BTreeSet<&DomainName> = self.members.iter().map(|m| &m.domain).collect();
        domains.len()
    }

    /// Assigns a home to each group, in order of their names, up to each vm's share by weight.
    fn assign_homes(&self) -> BTreeMap<GroupName, usize> {
        let total: u64 = self.members.iter().map(|m| u64::from(m.weight)).sum();
        let count = self.groups.len() as u64;
        let quota = |m: &Member| (count * u64::from(m.weight)).div_ceil(total.max(1));
        let mut free: Vec<u64> = self.members.iter().map(quota).collect();
        let mut homes = BTreeMap::new();
        for group in &self.groups {
            let order = self.home_order(group);
            if let Some(index) = order.into_iter().find(|index| free[*index] > 0) {
                free[index] -= 1;
                homes.insert(group.clone(), index);
            }
        }
        homes
    }

    /// Returns the members in the order in which they may become a group's home.
    fn home_order(&self, group: &GroupName) -> Vec<usize> {
        let mut order = self.rank_members(Responsibility::Group(group));
        if let Some(domains) = self.home_domains.get(group) {
            order.sort_by_key(|index| !domains.contains(&self.members[*index].domain));
        }
        order
    }

    /// Returns the members in the order of their scores for a responsibility, best first.
    fn rank_members(&self, responsibility: Responsibility<'_>) -> Vec<usize> {
        let target = match responsibility {
            Responsibility::Group(group) => hash_name("group", group.as_str()),
            Responsibility::Account(account) => hash_name("account", account.as_str()),
            Responsibility::StoreReads => hash_name("reading", ""),
        };
        let members = self.members.iter().zip(&self.name_hashes);
        let mut scored: Vec<(f64, usize)> = members
            .enumerate()
            .map(|(index, (member, hash))| (score(member.weight, target ^ hash), index))
            .collect();
        let members = &self.members;
        scored.sort_unstable_by(|a, b| {
            let names = || members[a.1].vm.cmp(&members[b.1].vm);
            b.0.total_cmp(&a.0).then_with(names)
        });
        scored.into_iter().map(|(_, index)| index).collect()
    }
}

/// Hashes a name; equal names of different kinds get different hashes.
fn hash_name(kind: &str, name: &str) -> u64 {
    let mut hash = Sha256::new();
    for part in [kind, name] {
        hash.update(part.as_bytes());
        hash.update([0]);
    }
    let digest = hash.finalize();
    let mut head = [0_u8; 8];
    head.copy_from_slice(&digest[..8]);
    u64::from_be_bytes(head)
}

/// Returns the weighted rendezvous score of a pair's hash: `-weight / ln(u)` for a uniform `u` in (0, 1).
fn score(weight: u32, pair: u64) -> f64 {
    let head = u32::try_from(mix(pair) >> 32).unwrap_or(u32::MAX);
    let uniform = (f64::from(head) + 0.5) / (f64::from(u32::MAX) + 1.0);
    -f64::from(weight.max(1)) / uniform.ln()
}

/// Mixes the bits of `value` with the finalizer of `SplitMix64`.
fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
