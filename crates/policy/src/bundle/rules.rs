//! Validation rules of a bundle: names, uniqueness, references, amounts and limits.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use super::Account;
use super::Bundle;
use super::Fault;
use super::Group;
use super::KeyVerifier;
use super::Limits;
use super::Route;
use super::Upstream;
use crate::names::RouteName;

/// Longest name, in bytes; PostgreSQL truncates longer identifiers.
const MAX_NAME_BYTES: usize = 63;
/// Largest rate, in batches a second, and largest burst, in batches.
const MAX_RATE: f64 = 1e9;
/// Largest weight of an account.
const MAX_WEIGHT: u32 = 1_000;
/// Largest value of a time limit, in milliseconds.
const MAX_LIMIT_MS: u64 = 3_600_000;

/// Returns a fault for every rule that is violated, with the path of the offending value.
pub(super) fn faults(bundle: &Bundle) -> Vec<Fault> {
    let mut checker = Checker {
        bundle,
        faults: Vec::new(),
        addresses: BTreeMap::new(),
    };
    checker.check_accounts();
    checker.check_routes();
    checker.check_groups();
    checker.check_limits(&bundle.limits);
    checker.faults
}

struct Checker<'a> {
    bundle: &'a Bundle,
    faults: Vec<Fault>,
    addresses: BTreeMap<SocketAddr, String>,
}

impl Checker<'_> {
    fn fault(&mut self, path: String, message: impl Into<String>) {
        self.faults.push(Fault::new(path, message));
    }

    fn check_name(&mut self, path: String, name: &str) {
        let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
        if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.chars().all(allowed) {
            let allowed = "1 to 63 of: letters, digits, '-', '_', '.'";
            self.fault(path, format!("name {name:?} is not allowed; {allowed}"));
        }
    }

    fn check_unique<'n>(
        &mut self,
        names: impl Iterator<Item = &'n str>,
        path: impl Fn(usize) -> String,
    ) {
        let mut seen = BTreeMap::new();
        for (index, name) in names.enumerate() {
            if let Some(first) = seen.insert(name, index) {
                seen.insert(name, first);
                let first = path(first);
                self.fault(path(index), format!("{name:?} is already used by {first}"));
            }
        }
    }

    fn check_accounts(&mut self) {
        let accounts = &self.bundle.accounts;
        self.check_unique(accounts.iter().map(|a| a.name.as_str()), |i| {
            format!("accounts[{i}].name")
        });
        for (index, account) in accounts.iter().enumerate() {
            self.check_account(&format!("accounts[{index}]"), account);
        }
    }

    fn check_account(&mut self, path: &str, account: &Account) {
        self.check_name(format!("{path}.name"), account.name.as_str());
        self.check_amount(format!("{path}.rate"), account.rate, 0.0);
        self.check_amount(format!("{path}.burst"), account.burst, 1.0);
        if account.weight == 0 || account.weight > MAX_WEIGHT {
            let weight = account.weight;
            self.fault(
                format!("{path}.weight"),
                format!("{weight} is not allowed; 1 to {MAX_WEIGHT}"),
            );
        }
        self.check_unique(account.keys.iter().map(|k| k.id.as_str()), |i| {
            format!("{path}.keys[{i}].id")
        });
        for (index, key) in account.keys.iter().enumerate() {
            self.check_key(&format!("{path}.keys[{index}]"), key);
        }
        self.check_unique(account.routes.iter().map(RouteName::as_str), |i| {
            format!("{path}.routes[{i}]")
        });
        let known: BTreeSet<&str> = self.bundle.routes.iter().map(|r| r.name.as_str()).collect();
        for (index, route) in account.routes.iter().enumerate() {
            if !known.contains(route.as_str()) {
                self.fault(
                    format!("{path}.routes[{index}]"),
                    format!("route {:?} does not exist", route.as_str()),
                );
            }
        }
    }

    fn check_amount(&mut self, path: String, value: f64, least: f64) {
        if !(value >= least && value <= MAX_RATE) {
            self.fault(
                path,
                format!("{value} is not allowed; {least} to {MAX_RATE}"),
            );
        }
    }

    fn check_key(&mut self, path: &str, key: &KeyVerifier) {
        self.check_name(format!("{path}.id"), key.id.as_str());
        if let Err(e) = key.secret() {
            self.fault(format!("{path}.verifier"), e.to_string());
        }
    }

    fn check_routes(&mut self) {
        let routes = &self.bundle.routes;
        self.check_unique(routes.iter().map(|r| r.name.as_str()), |i| {
            format!("routes[{i}].name")
        });
        for (index, route) in routes.iter().enumerate() {
            self.check_route(&format!("routes[{index}]"), route);
        }
    }

    fn check_route(&mut self, path: &str, route: &Route) {
        self.check_name(format!("{path}.name"), route.name.as_str());
        if !self.bundle.groups.iter().any(|g| g.name == route.group) {
            self.fault(
                format!("{path}.group"),
                format!("group {:?} does not exist", route.group.as_str()),
            );
        }
    }

    fn check_groups(&mut self) {
        let groups = &self.bundle.groups;
        self.check_unique(groups.iter().map(|g| g.name.as_str()), |i| {
            format!("groups[{i}].name")
        });
        for (index, group) in groups.iter().enumerate() {
            self.check_group(&format!("groups[{index}]"), group);
        }
    }

    fn check_group(&mut self, path: &str, group: &Group) {
        self.check_name(format!("{path}.name"), group.name.as_str());
        if group.slots == 0 {
            self.fault(format!("{path}.slots"), "0 is not allowed; 1 or more");
        }
        if group.connections <= group.slots {
            let (connections, slots) = (group.connections, group.slots);
            self.fault(
                format!("{path}.connections"),
                format!("{connections} is not allowed; more than the {slots} slots"),
            );
        }
        if group.upstreams.is_empty() {
            self.fault(format!("{path}.upstreams"), "empty; 1 or more upstreams");
        }
        self.check_unique(group.upstreams.iter().map(|u| u.name.as_str()), |i| {
            format!("{path}.upstreams[{i}].name")
        });
        for (index, upstream) in group.upstreams.iter().enumerate() {
            self.check_upstream(&format!("{path}.upstreams[{index}]"), upstream);
        }
    }

    fn check_upstream(&mut self, path: &str, upstream: &Upstream) {
        self.check_name(format!("{path}.name"), upstream.name.as_str());
        self.check_name(format!("{path}.domain"), upstream.domain.as_str());
        let path = format!("{path}.address");
        let Ok(address) = upstream.address.parse::<SocketAddr>() else {
            let message = format!("{:?} is not an address ip:port", upstream.address);
            self.fault(path, message);
            return;
        };
        if let Some(first) = self.addresses.get(&address) {
            let message = format!("{address} is already used by {first}");
            self.fault(path, message);
        } else {
            self.addresses.insert(address, path);
        }
    }

    fn check_limits(&mut self, limits: &Limits) {
        let bounds = [
            ("statement_ms", limits.statement_ms),
            ("behind_ms", limits.behind_ms),
            ("durable_ms", limits.durable_ms),
            ("suspect_ms", limits.suspect_ms),
        ];
        for (key, value) in bounds {
            if value == 0 || value > MAX_LIMIT_MS {
                self.fault(
                    format!("limits.{key}"),
                    format!("{value} is not allowed; 1 to {MAX_LIMIT_MS}"),
                );
            }
        }
    }
}
