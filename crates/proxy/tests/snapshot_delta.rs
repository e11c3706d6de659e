//! Differences between snapshots, which lead from their base to the new snapshot and nowhere else.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use mustardbay_policy::names::AccountName;
use mustardbay_policy::names::DomainName;
use mustardbay_policy::names::GroupName;
use mustardbay_policy::names::RouteName;
use mustardbay_policy::names::UpstreamName;
use mustardbay_policy::names::VmName;
use mustardbay_proxy::configuration::Account;
use mustardbay_proxy::configuration::Configuration;
use mustardbay_proxy::configuration::Key;
use mustardbay_proxy::configuration::Route;
use mustardbay_proxy::configuration::Version;
use mustardbay_proxy::fleet::Incarnation;
use mustardbay_proxy::fleet::Member;
use mustardbay_proxy::platform::Era;
use mustardbay_proxy::pool::Registration;
use mustardbay_proxy::pool::Role;
use mustardbay_proxy::snapshot::Snapshot;
use mustardbay_proxy::snapshot::SnapshotDelta;
use mustardbay_proxy::snapshot::Topology;
use mustardbay_proxy::snapshot::TopologyDelta;
use mustardbay_proxy::work::Guarantee;
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

fn route(rng: &mut StdRng) -> Route {
    Route {
        group: GroupName::from(format!("g{}", rng.random_range(0..3))),
        guarantee: Guarantee::Primary,
        staleness: Duration::ZERO,
        timeout: Duration::from_millis(rng.random_range(500..503)),
        objective: Duration::from_millis(150),
        priority: 1,
        open: false,
        regions: None,
    }
}

fn random_configuration(rng: &mut StdRng, version: u64) -> Configuration {
    let mut configuration = Configuration {
        version: Version(version),
        routes: BTreeMap::new(),
        accounts: BTreeMap::new(),
        account_regions: BTreeMap::new(),
        keys: BTreeMap::new(),
        groups: BTreeMap::new(),
        transaction_idle: Duration::from_secs(rng.random_range(1..4)),
    };
    for index in 0..8 {
        if rng.random_bool(0.7) {
            let name = RouteName::from(format!("r{index}"));
            configuration.routes.insert(name, route(rng));
        }
        let account = AccountName::from(format!("a{index}"));
        if rng.random_bool(0.7) {
            let key = Key::from(format!("k{}", rng.random_range(0..20)));
            configuration.keys.insert(key, account.clone());
            let rate = rng.random_range(1..4);
            configuration
                .accounts
                .insert(account.clone(), Account { rate, burst: rate });
        }
        if rng.random_bool(0.2) {
            let regions = Arc::new(["north".into()].into());
            configuration.account_regions.insert(account, regions);
        }
    }
    configuration
}

fn random_snapshot(rng: &mut StdRng, version: u64) -> Snapshot {
    let topology = random_topology(rng);
    Snapshot {
        configuration: Arc::new(random_configuration(rng, version)),
        upstreams: topology.upstreams,
        members: topology.members,
        evacuated: topology.evacuated,
        era: topology.era,
    }
}

#[test]
fn delta_leads_to_the_new_snapshot_and_only_from_its_base() {
    for seed in 0..ROUNDS {
        let mut rng = StdRng::seed_from_u64(seed);
        let base = random_snapshot(&mut rng, 7);
        let new = random_snapshot(&mut rng, 9);
        let other = random_snapshot(&mut rng, 8);
        let encoded = serde_json::to_vec(&SnapshotDelta::between(&base, &new));
        let delta = serde_json::from_slice::<SnapshotDelta>(&encoded.expect("it can be encoded"));
        let delta = delta.expect("valid");
        assert_eq!(delta.clone().apply(&base), Some(new), "seed {seed}");
        assert_eq!(delta.apply(&other), None, "a base of another version");
    }
}

/// One route that changes among many: it is sent, not the configuration.
#[test]
fn delta_does_not_grow_with_the_configuration() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut base = random_snapshot(&mut rng, 7);
    let mut configuration = (*base.configuration).clone();
    for index in 0..PLANNED_VMS {
        let name = RouteName::from(format!("many{index}"));
        configuration.routes.insert(name, route(&mut rng));
    }
    base.configuration = Arc::new(configuration.clone());
    let mut new = base.clone();
    configuration.version = Version(9);
    configuration.routes.remove(&RouteName::from("many7"));
    new.configuration = Arc::new(configuration);
    let delta = serde_json::to_vec(&SnapshotDelta::between(&base, &new));
    let delta = delta.expect("it can be encoded").len();
    assert!(delta < 1_000, "{delta} bytes");
}
