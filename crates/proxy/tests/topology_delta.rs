//! Differences between topologies, which lead from their base to the new topology and nowhere else.

use std::collections::BTreeMap;
use std::sync::Arc;

use mustardbay_policy::names::DomainName;
use mustardbay_policy::names::GroupName;
use mustardbay_policy::names::UpstreamName;
use mustardbay_policy::names::VmName;
use mustardbay_proxy::fleet::Incarnation;
use mustardbay_proxy::fleet::Member;
use mustardbay_proxy::platform::Era;
use mustardbay_proxy::pool::Registration;
use mustardbay_proxy::pool::Role;
use mustardbay_proxy::snapshot::Topology;
use mustardbay_proxy::snapshot::TopologyDelta;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Size of the fleet that the users plan for.
const PLANNED_VMS: u32 = 3_200;
/// Changes of the longest test.
const ROUNDS: u64 = 400;

fn member(index: u32, incarnation: u64) -> Member {
    Member {
        vm: VmName::from(format!("vm{index:04}")),
        address: ([10, 1, 0, 7], 7_140).into(),
        domain: DomainName::from(format!("d{}", index % 27)),
        incarnation: Incarnation(incarnation),
        weight: 120,
    }
}

fn registration(group: u32, index: u32, draining: bool) -> Registration {
    Registration {
        name: UpstreamName::from(format!("i{group}-{index}")),
        address: ([10, 128, 0, 9], 8_080).into(),
        domain: DomainName::from(format!("d{index}")),
        slots: 3,
        draining,
        role: Role::Replica,
        incarnation: 1,
        cold: false,
    }
}

fn random_topology(rng: &mut StdRng) -> Topology {
    let vms = (0..20)
        .filter(|_| rng.random_bool(0.7))
        .collect::<Vec<u32>>();
    let members = vms.into_iter().map(|vm| member(vm, rng.random_range(1..3)));
    let members = members.collect();
    let mut upstreams = BTreeMap::new();
    for group in 0..6 {
        if rng.random_bool(0.8) {
            let list = (0..3).map(|index| registration(group, index, rng.random_bool(0.3)));
            upstreams.insert(GroupName::from(format!("g{group}")), list.collect());
        }
    }
    let evacuated = (0..3).filter(|_| rng.random_bool(0.3));
    let evacuated = evacuated.map(|index| DomainName::from(format!("d{index}")));
    Topology {
        evacuated: Arc::new(evacuated.collect()),
        upstreams: Arc::new(upstreams),
        members: Arc::new(members),
        era: Era(rng.random_range(1..3)),
    }
}

#[test]
fn delta_leads_to_the_new_topology() {
    for seed in 0..ROUNDS {
        let mut rng = StdRng::seed_from_u64(seed);
        let base = random_topology(&mut rng);
        let new = random_topology(&mut rng);
        let encoded = serde_json::to_vec(&TopologyDelta::between(&base, &new));
        let delta = serde_json::from_slice::<TopologyDelta>(&encoded.expect("it can be encoded"));
        assert_eq!(delta.expect("valid").apply(&base), new, "seed {seed}");
    }
}

/// One vm that joins a fleet of the planned size: its entry is sent, not the fleet.
#[test]
fn delta_does_not_grow_with_the_fleet() {
    let mut base = random_topology(&mut StdRng::seed_from_u64(1));
    base.members = Arc::new((0..PLANNED_VMS).map(|vm| member(vm, 1)).collect());
    let mut new = base.clone();
    new.members = Arc::new((0..=PLANNED_VMS).map(|vm| member(vm, 1)).collect());
    let whole = serde_json::to_vec(&new).expect("it can be encoded").len();
    let delta = TopologyDelta::between(&base, &new);
    let delta = serde_json::to_vec(&delta).expect("it can be encoded").len();
    assert!(delta < 500, "{delta} bytes");
    assert!(whole > 200_000, "{whole} bytes");
}
