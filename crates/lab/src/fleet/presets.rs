//! Layouts of the demo and of the two measured deployments.

use std::time::Duration;

use mustardbay_policy::bundle::Account;
use mustardbay_policy::bundle::Bundle;
use mustardbay_policy::bundle::Group;
use mustardbay_policy::bundle::Route;
use mustardbay_policy::bundle::Upstream;
use mustardbay_policy::names::DomainName;

use super::layout::Layout;
use super::layout::UpstreamTiming;
use super::layout::VmLayout;

/// Upstreams of each group: a primary and two replicas.
const UPSTREAMS_PER_GROUP: usize = 3;
/// Vms of each deployment.
const DEPLOYMENT_VMS: usize = 7;
/// Groups of each deployment.
const DEPLOYMENT_GROUPS: usize = 3;
/// Rates of a deployment's accounts, in statements per second; the first few are much larger.
const DEPLOYMENT_RATES: [u32; 8] = [120, 80, 60, 20, 10, 10, 5, 5];

/// Returns the demo layout: three vms in two domains, two groups, accounts `alice` and `bob`.
#[must_use]
pub fn demo() -> Layout {
    let domains = domain_names(&["north", "south"]);
    let groups = vec![
        group("ledger", &domains, 2, 16),
        group("notes", &domains, 2, 16),
    ];
    let routes = vec![
        route("ledger", "ledger", false),
        route("notes", "notes", false),
        route("public", "notes", true),
    ];
    let accounts = vec![
        account("alice", 1000, &["ledger", "notes"]),
        account("bob", 1000, &["ledger"]),
    ];
    let bundle = Bundle {
        accounts,
        routes,
        groups,
        ..Bundle::default()
    };
    Layout::new(vms(&domains, 3), bundle)
}

/// Returns the layout of Klarspråk: four domains, 12 ms to connect, 0.5 ms between domains.
#[must_use]
pub fn klarsprak() -> Layout {
    let domains = domain_names(&["oslo-a", "oslo-b", "hamar", "drammen"]);
    let connect_cost = Duration::from_millis(12);
    let mut layout = deployment("adapt-core", &domains, 3, 22, connect_cost);
    layout.delay = Duration::from_micros(500);
    layout
}

/// Returns the layout of Sathi: three domains, 27 ms to connect, 0.9 ms between domains.
#[must_use]
pub fn sathi() -> Layout {
    let domains = domain_names(&["kolkata-north", "howrah", "salt-lake"]);
    let connect_cost = Duration::from_millis(27);
    let mut layout = deployment("call-ledger", &domains, 2, 30, connect_cost);
    layout.delay = Duration::from_micros(900);
    layout
}

fn deployment(
    service: &str,
    domains: &[DomainName],
    slots: u32,
    connections: u32,
    connect_cost: Duration,
) -> Layout {
    let names: Vec<String> = (1..=DEPLOYMENT_GROUPS)
        .map(|n| format!("{service}-{n}"))
        .collect();
    let groups = names
        .iter()
        .map(|name| group(name, domains, slots, connections))
        .collect();
    let routes = names.iter().map(|name| route(name, name, false)).collect();
    let allowed: Vec<&str> = names.iter().map(String::as_str).collect();
    let accounts = DEPLOYMENT_RATES
        .iter()
        .enumerate()
        .map(|(n, rate)| account(&format!("account-{n}"), *rate, &allowed))
        .collect();
    let bundle = Bundle {
        accounts,
        routes,
        groups,
        ..Bundle::default()
    };
    let timing = UpstreamTiming {
        connect_cost,
        ..UpstreamTiming::default()
    };
    Layout::new(vms(domains, DEPLOYMENT_VMS), bundle).with_upstreams(timing)
}

fn domain_names(names: &[&str]) -> Vec<DomainName> {
    names.iter().map(|name| DomainName::from(*name)).collect()
}

fn vms(domains: &[DomainName], count: usize) -> Vec<VmLayout> {
    let vm = |n: usize| VmLayout {
        name: format!("vm{}", n + 1).into(),
        domain: domains[n % domains.len()].clone(),
    };
    (0..count).map(vm).collect()
}

fn group(name: &str, domains: &[DomainName], slots: u32, connections: u32) -> Group {
    let upstream = |n: usize| Upstream {
        name: format!("{name}-{}", n + 1).into(),
        address: String::new(),
        domain: domains[n % domains.len()].clone(),
        leaving: false,
    };
    let upstreams = (0..UPSTREAMS_PER_GROUP).map(upstream).collect();
    Group {
        name: name.into(),
        slots,
        connections,
        upstreams,
    }
}

fn route(name: &str, group: &str, open: bool) -> Route {
    Route {
        name: name.into(),
        group: group.into(),
        open,
    }
}

fn account(name: &str, rate: u32, routes: &[&str]) -> Account {
    Account {
        name: name.into(),
        keys: Vec::new(),
        rate: f64::from(rate),
        burst: f64::from(rate),
        weight: 1,
        routes: routes.iter().map(|route| (*route).into()).collect(),
    }
}
