//! Who is responsible for a group, an account or the reading of the store, for one list of members.
//!
//! Weighted rendezvous hashing: every vm computes the same result from the same members, and a vm
//! that comes or goes moves only what it takes over or leaves behind.

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

use crate::fleet::Member;
use crate::fleet::ranking::Ranking;
use crate::sync::lock;

/// Least vms that read the store for the others: one may be cut off from it.
const LEAST_READERS: usize = 2;
/// Vms to each reader, as long as no domain has two: a reader sends each of them what has changed.
const VMS_TO_A_READER: usize = 16;
/// Authorities of one account in a fleet of few failure domains: the loss of one leaves two thirds.
const LEAST_AUTHORITIES: usize = 3;
/// Most authorities of one account: one in each failure domain of a small fleet, so that both sides of
/// a cut keep the part of their own; more would split small rates too finely.
const MOST_AUTHORITIES: usize = 6;

/// Responsibilities of the members of a fleet.
///
/// Rankings are computed when they are first asked for and kept, because every statement needs one.
#[derive(Debug)]
pub struct Assignment {
    members: Arc<Vec<Member>>,
    groups: Vec<GroupName>,
    /// Hash of each member's name.
    seeds: Vec<u64>,
    /// Home of each group, as an index into the members.
    homes: BTreeMap<GroupName, usize>,
    readers: Vec<Member>,
    rankings: Mutex<BTreeMap<GroupName, Ranking>>,
    authorities: Mutex<BTreeMap<AccountName, Arc<[Member]>>>,
}

/// What a vm may be responsible for.
#[derive(Debug, Clone, Copy)]
enum Subject<'a> {
    Group(&'a GroupName),
    Account(&'a AccountName),
    Reading,
}

impl Assignment {
    /// Divides the work on `groups` among `members`.
    #[must_use]
    pub fn new<'a>(members: Arc<Vec<Member>>, groups: impl Iterator<Item = &'a GroupName>) -> Self {
        let seeds = members.iter().map(|m| seed("vm", m.vm.as_str())).collect();
        let mut groups: Vec<GroupName> = groups.cloned().collect();
        groups.sort();
        let mut assignment = Self {
            members,
            groups,
            seeds,
            homes: BTreeMap::new(),
            readers: Vec::new(),
            rankings: Mutex::default(),
            authorities: Mutex::default(),
        };
        assignment.readers = assignment.choose_readers();
        assignment.homes = assignment.choose_homes();
        assignment
    }

    /// Tells whether these members and groups are the ones that were divided.
    #[must_use]
    pub fn covers<'a>(
        &self,
        members: &[Member],
        groups: impl Iterator<Item = &'a GroupName>,
    ) -> bool {
        self.members.as_slice() == members && groups.eq(&self.groups)
    }

    /// Returns the vms in the order in which they are responsible for a group; the first is its home.
    ///
    /// Homes are spread so that no vm is home of more groups than its weight's part of all.
    #[must_use]
    pub fn ranking(&self, group: &GroupName) -> Ranking {
        let mut rankings = lock(&self.rankings);
        if let Some(known) = rankings.get(group) {
            return known.clone();
        }
        let ranking = Ranking::new(Arc::clone(&self.members), self.order_for(group));
        rankings.insert(group.clone(), ranking.clone());
        ranking
    }

    /// Returns the vms that may grant an account's rate, in different failure domains as far as there
    /// are enough; how many of them do depends on the account.
    #[must_use]
    pub fn authorities(&self, account: &AccountName) -> Arc<[Member]> {
        let mut authorities = lock(&self.authorities);
        if let Some(known) = authorities.get(account) {
            return Arc::clone(known);
        }
        let order = self.ranked(Subject::Account(account));
        let chosen = self.first_by_domain(&order, self.authority_count());
        let chosen: Arc<[Member]> = chosen.into();
        authorities.insert(account.clone(), Arc::clone(&chosen));
        chosen
    }

    /// Returns the first `count` authorities of an account in the order in which a vm asks them: those
    /// of its own failure domain, then the others, beginning with another one on each vm.
    #[must_use]
    pub fn authorities_for(&self, account: &AccountName, vm: &VmName, count: usize) -> Vec<Member> {
        let authorities = self.authorities(account);
        let own = self.members.iter().position(|member| member.vm == *vm);
        let domain = own.map(|index| &self.members[index].domain);
        let granting = authorities.iter().take(count);
        let (mut near, mut far): (Vec<Member>, Vec<Member>) = granting
            .cloned()
            .partition(|member| Some(&member.domain) == domain);
        let turn = own.unwrap_or(0) % far.len().max(1);
        far.rotate_left(turn);
        near.append(&mut far);
        near
    }

    /// Returns the address of a member.
    #[must_use]
    pub fn address(&self, vm: &VmName) -> Option<SocketAddr> {
        let member = self.members.iter().find(|member| member.vm == *vm);
        member.map(|member| member.address)
    }

    /// Returns the vms that read the platform's store for all, in different failure domains if there
    /// are several.
    #[must_use]
    pub fn readers(&self) -> &[Member] {
        &self.readers
    }

    /// Returns the readers in the order in which a vm asks them: that of its own domain first.
    #[must_use]
    pub fn readers_for(&self, vm: &VmName) -> Vec<&Member> {
        let own = self.members.iter().find(|member| member.vm == *vm);
        let domain = own.map(|own| &own.domain);
        let mut readers: Vec<&Member> = self.readers.iter().collect();
        readers.sort_by_key(|reader| Some(&reader.domain) != domain);
        readers
    }

    /// Returns the home of a group, then the others so that the next ones are in other domains.
    fn order_for(&self, group: &GroupName) -> Vec<usize> {
        let mut order = self.ranked(Subject::Group(group));
        if let Some(home) = self.homes.get(group) {
            order.retain(|index| index != home);
            order.insert(0, *home);
        }
        self.by_domain(&order)
    }

    fn choose_readers(&self) -> Vec<Member> {
        let order = self.ranked(Subject::Reading);
        let wanted = (self.members.len() / VMS_TO_A_READER).min(self.domain_count());
        self.first_by_domain(&order, wanted.max(LEAST_READERS))
    }

    fn first_by_domain(&self, order: &[usize], count: usize) -> Vec<Member> {
        let order = self.by_domain(order).into_iter().take(count);
        order.map(|index| self.members[index].clone()).collect()
    }

    /// Returns an order with the first member of each domain before all others.
    fn by_domain(&self, order: &[usize]) -> Vec<usize> {
        let mut domains = BTreeSet::new();
        let (mut firsts, others): (Vec<usize>, Vec<usize>) = order
            .iter()
            .partition(|index| domains.insert(&self.members[**index].domain));
        firsts.extend(others);
        firsts
    }

    fn authority_count(&self) -> usize {
        self.domain_count()
            .clamp(LEAST_AUTHORITIES, MOST_AUTHORITIES)
    }

    fn domain_count(&self) -> usize {
        let domains: BTreeSet<&DomainName> = self.members.iter().map(|m| &m.domain).collect();
        domains.len()
    }

    /// Assigns a home to each group, in order of their names.
    fn choose_homes(&self) -> BTreeMap<GroupName, usize> {
        let total: u64 = self.members.iter().map(|m| u64::from(m.weight)).sum();
        let count = self.groups.len() as u64;
        let part = |m: &Member| (count * u64::from(m.weight)).div_ceil(total.max(1));
        let mut room: Vec<u64> = self.members.iter().map(part).collect();
        let mut homes = BTreeMap::new();
        for group in &self.groups {
            let order = self.ranked(Subject::Group(group));
            if let Some(index) = order.into_iter().find(|index| room[*index] > 0) {
                room[index] -= 1;
                homes.insert(group.clone(), index);
            }
        }
        homes
    }

    /// Returns the members in the order of their scores for a subject, best first.
    fn ranked(&self, subject: Subject<'_>) -> Vec<usize> {
        let subject = match subject {
            Subject::Group(group) => seed("group", group.as_str()),
            Subject::Account(account) => seed("account", account.as_str()),
            Subject::Reading => seed("reading", ""),
        };
        let members = self.members.iter().zip(&self.seeds);
        let mut scored: Vec<(f64, usize)> = members
            .enumerate()
            .map(|(index, (member, own))| (score(member.weight, subject ^ own), index))
            .collect();
        let members = &self.members;
        scored.sort_unstable_by(|a, b| {
            let names = || members[a.1].vm.cmp(&members[b.1].vm);
            b.0.total_cmp(&a.0).then_with(names)
        });
        scored.into_iter().map(|(_, index)| index).collect()
    }
}

/// Returns the hash of a name of one kind.
fn seed(kind: &str, name: &str) -> u64 {
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

/// Returns the weighted rendezvous score of a pair: `-weight / ln(u)` for a uniform `u` in (0, 1).
fn score(weight: u32, pair: u64) -> f64 {
    let head = u32::try_from(mix(pair) >> 32).unwrap_or(u32::MAX);
    let uniform = (f64::from(head) + 0.5) / (f64::from(u32::MAX) + 1.0);
    -f64::from(weight.max(1)) / uniform.ln()
}

/// Spreads every bit of `value` over the result (the finalizer of `SplitMix64`).
fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
