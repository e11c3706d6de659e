//! Assignment of groups, accounts and store reads to vms, and shares of connections.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use mustardbay_policy::names::AccountName;
use mustardbay_policy::names::DomainName;
use mustardbay_policy::names::GroupName;
use mustardbay_policy::names::VmName;
use mustardbay_proxy::fleet::Assignment;
use mustardbay_proxy::fleet::Incarnation;
use mustardbay_proxy::fleet::Member;
use mustardbay_proxy::fleet::cold_share;
use mustardbay_proxy::fleet::share;
use test_case::test_case;

fn members(count: usize) -> Vec<Member> {
    let member = |index: usize| Member {
        vm: VmName::from(format!("vm{index}")),
        address: ([127, 0, 0, 1], 1).into(),
        domain: DomainName::from(format!("d{}", index % 3)),
        incarnation: Incarnation(1),
        weight: if index < count / 10 { 500 } else { 120 },
    };
    (0..count).map(member).collect()
}

fn groups(count: usize) -> Vec<GroupName> {
    (0..count)
        .map(|i| GroupName::from(format!("g{i}")))
        .collect()
}

fn homes(members: &[Member], groups: &[GroupName]) -> BTreeMap<GroupName, VmName> {
    let assignment = Assignment::new(Arc::new(members.to_vec()), groups.iter());
    let home = |group| assignment.ranking(group).get(0).expect("a home").vm.clone();
    groups
        .iter()
        .map(|group| (group.clone(), home(group)))
        .collect()
}

#[test_case(7, 3; "small_fleet")]
#[test_case(86, 8; "medium_fleet")]
#[test_case(5, 12; "more_groups_than_vms")]
fn homes_are_spread_by_weight(vms: usize, count: usize) {
    let members = members(vms);
    let groups = groups(count);
    let total: u32 = members.iter().map(|m| m.weight).sum();
    let mut counts: BTreeMap<VmName, usize> = BTreeMap::new();
    for home in homes(&members, &groups).into_values() {
        *counts.entry(home).or_default() += 1;
    }
    for member in &members {
        let most = (count * member.weight as usize).div_ceil(total as usize);
        let held = counts.get(&member.vm).copied().unwrap_or(0);
        assert!(held <= most, "{} is home of {held}, not {most}", member.vm);
    }
}

#[test]
fn lost_vm_moves_only_its_own_groups() {
    let groups = groups(3);
    let all = members(7);
    let before = homes(&all, &groups);
    for gone in &all {
        let left: Vec<Member> = all.iter().filter(|m| m.vm != gone.vm).cloned().collect();
        let after = homes(&left, &groups);
        let moved = groups
            .iter()
            .filter(|g| before[g] != gone.vm && before[g] != after[g])
            .count();
        assert!(moved <= 1, "{moved} groups moved with {}", gone.vm);
    }
}

#[test_case(7, 22; "vms_7_connections_22")]
#[test_case(7, 30; "vms_7_connections_30")]
#[test_case(86, 60; "vms_86_connections_60")]
#[test_case(71, 160; "vms_71_connections_160")]
#[test_case(1, 22; "one_vm")]
#[test_case(300, 10; "few_connections")]
fn shares_stay_below_the_cap(vms: usize, cap: u32) {
    let sum: u32 = (0..vms).map(|rank| share(rank, vms, cap)).sum();
    assert!(sum <= cap, "{sum} connections at a cap of {cap}");
    assert!(share(0, vms, cap) >= 1);
}

#[test]
fn readers_are_in_different_domains() {
    let assignment = Assignment::new(Arc::new(members(7)), [].iter());
    let readers = assignment.readers();
    assert_eq!(readers.len(), 2);
    assert_ne!(readers[0].domain, readers[1].domain);
}

#[test]
fn authorities_are_spread_over_the_vms() {
    let members = members(7);
    let assignment = Assignment::new(Arc::new(members), [].iter());
    let mut counts: BTreeMap<VmName, usize> = BTreeMap::new();
    for index in 0..200 {
        let account = AccountName::from(format!("a{index}"));
        for member in assignment.authorities(&account).iter() {
            *counts.entry(member.vm.clone()).or_default() += 1;
        }
    }
    assert_eq!(counts.len(), 7, "every vm is an authority of some account");
}

#[test]
fn authorities_are_in_every_domain() {
    let members = members(7);
    let assignment = Assignment::new(Arc::new(members), [].iter());
    for index in 0..50 {
        let account = AccountName::from(format!("a{index}"));
        let authorities = assignment.authorities(&account);
        let domains: BTreeSet<&DomainName> = authorities.iter().map(|m| &m.domain).collect();
        assert_eq!(domains.len(), 3, "each side of a partition keeps a share");
    }
}

#[test]
fn own_domain_is_asked_first() {
    let members = members(7);
    let assignment = Assignment::new(Arc::new(members.clone()), [].iter());
    let account = AccountName::from("a");
    for member in &members {
        let asked = assignment.authorities_for(&account, &member.vm, 3);
        assert_eq!(asked.len(), 3);
        assert_eq!(asked[0].domain, member.domain);
    }
}

#[test]
fn stand_ins_are_in_other_domains_and_the_own_domain_is_tried_first() {
    let members = members(7);
    let groups = groups(3);
    let assignment = Assignment::new(Arc::new(members.clone()), groups.iter());
    for group in &groups {
        let ranking = assignment.ranking(group);
        let first: Vec<&Member> = (0..3).filter_map(|rank| ranking.get(rank)).collect();
        let domains: BTreeSet<&DomainName> = first.iter().map(|m| &m.domain).collect();
        assert_eq!(
            domains.len(),
            3,
            "if a domain is lost, a home or a stand-in remains"
        );
        for member in &members {
            let candidates = ranking.candidates(&member.vm);
            assert_eq!(candidates[0], *ranking.get(0).expect("a home"));
            if member.domain != candidates[0].domain {
                assert_eq!(candidates[1].domain, member.domain);
            }
        }
    }
}

#[test_case(7, 2; "small_fleet")]
#[test_case(86, 3; "one_in_each_domain")]
fn readers_grow_with_the_domains(vms: usize, expected: usize) {
    let members = members(vms);
    let assignment = Assignment::new(Arc::new(members.clone()), [].iter());
    let domains: BTreeSet<&DomainName> = assignment.readers().iter().map(|r| &r.domain).collect();
    assert_eq!(domains.len(), expected);
    for member in &members {
        let asked = assignment.readers_for(&member.vm);
        let near = domains.contains(&member.domain);
        assert_eq!(
            asked[0].domain == member.domain,
            near,
            "a reader in the own domain is asked first"
        );
    }
}

/// Vms that are cut off from each other cannot count together, so their parts are fixed.
#[test_case(4, 50; "small fleet")]
#[test_case(70, 13; "low rate")]
#[test_case(1, 10; "single vm")]
fn parts_of_the_requests_to_a_cold_upstream_keep_its_rate(vms: usize, rate: u32) {
    let parts: Vec<u32> = (0..vms).map(|rank| cold_share(rank, vms, rate)).collect();
    assert_eq!(parts.iter().sum::<u32>(), rate);
    assert!(parts[0] >= rate / 2);
}
