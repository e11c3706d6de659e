//! Rules that hold between the parts of a bundle.

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

/// Longest name, in bytes, as PostgreSQL truncates longer identifiers.
const MAX_NAME_BYTES: usize = 63;
/// Greatest rate and burst, in statements a second and in statements.
const MAX_RATE: f64 = 1e9;
/// Greatest weight of an account.
const MAX_WEIGHT: u32 = 1_000;
/// Greatest bound that may be set, in milliseconds.
const MAX_LIMIT_MS: u64 = 3_600_000;

/// Returns every broken rule with the path of the value that breaks it.
pub(super) fn faults(bundle: &Bundle) -> Vec<Fault> {
    let mut rules = Rules {
        bundle,
        faults: Vec::new(),
        addresses: BTreeMap::new(),
    };
    rules.accounts();
    rules.routes();
    rules.groups();
    rules.limits(&bundle.limits);
    rules.faults
}

struct Rules<'a> {
    bundle: &'a Bundle,
    faults: Vec<Fault>,
    addresses: BTreeMap<SocketAddr, String>,
}

impl Rules<'_> {
    fn fault(&mut self, path: String, message: impl Into<String>) {
        self.faults.push(Fault::new(path, message));
    }

    fn name(&mut self, path: String, name: &str) {
        let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
        if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.chars().all(plain) {
            let allowed = "1 to 63 of: letters, digits, '-', '_', '.'";
            self.fault(path, format!("name {name:?} is not allowed; {allowed}"));
        }
    }

    fn unique<'n>(&mut self, names: impl Iterator<Item = &'n str>, path: impl Fn(usize) -> String) {
        let mut seen = BTreeMap::new();
        for (index, name) in names.enumerate() {
            if let Some(first) = seen.insert(name, index) {
                seen.insert(name, first);
                let first = path(first);
                self.fault(path(index), format!("{name:?} is already used by {first}"));
            }
        }
    }

    fn accounts(&mut self) {
        let accounts = &self.bundle.accounts;
        self.unique(accounts.iter().map(|a| a.name.as_str()), |i| {
            format!("accounts[{i}].name")
        });
        for (index, account) in accounts.iter().enumerate() {
            self.account(&format!("accounts[{index}]"), account);
        }
    }

    fn account(&mut self, at: &str, account: &Account) {
        self.name(format!("{at}.name"), account.name.as_str());
        self.amount(format!("{at}.rate"), account.rate, 0.0);
        self.amount(format!("{at}.burst"), account.burst, 1.0);
        if account.weight == 0 || account.weight > MAX_WEIGHT {
            let weight = account.weight;
            self.fault(
                format!("{at}.weight"),
                format!("{weight} is not allowed; 1 to {MAX_WEIGHT}"),
            );
        }
        self.unique(account.keys.iter().map(|k| k.id.as_str()), |i| {
            format!("{at}.keys[{i}].id")
        });
        for (index, key) in account.keys.iter().enumerate() {
            self.key(&format!("{at}.keys[{index}]"), key);
        }
        self.unique(account.routes.iter().map(RouteName::as_str), |i| {
            format!("{at}.routes[{i}]")
        });
        let known: BTreeSet<&str> = self.bundle.routes.iter().map(|r| r.name.as_str()).collect();
        for (index, route) in account.routes.iter().enumerate() {
            if !known.contains(route.as_str()) {
                self.fault(
                    format!("{at}.routes[{index}]"),
                    format!("route {:?} does not exist", route.as_str()),
                );
            }
        }
    }

    fn amount(&mut self, path: String, value: f64, least: f64) {
        if !(value >= least && value <= MAX_RATE) {
            self.fault(
                path,
                format!("{value} is not allowed; {least} to {MAX_RATE}"),
            );
        }
    }

    fn key(&mut self, at: &str, key: &KeyVerifier) {
        self.name(format!("{at}.id"), key.id.as_str());
        if let Err(e) = key.secret() {
            self.fault(format!("{at}.verifier"), e.to_string());
        }
    }

    fn routes(&mut self) {
        let routes = &self.bundle.routes;
        self.unique(routes.iter().map(|r| r.name.as_str()), |i| {
            format!("routes[{i}].name")
        });
        for (index, route) in routes.iter().enumerate() {
            self.route(&format!("routes[{index}]"), route);
        }
    }

    fn route(&mut self, at: &str, route: &Route) {
        self.name(format!("{at}.name"), route.name.as_str());
        if !self.bundle.groups.iter().any(|g| g.name == route.group) {
            self.fault(
                format!("{at}.group"),
                format!("group {:?} does not exist", route.group.as_str()),
            );
        }
    }

    fn groups(&mut self) {
        let groups = &self.bundle.groups;
        self.unique(groups.iter().map(|g| g.name.as_str()), |i| {
            format!("groups[{i}].name")
        });
        for (index, group) in groups.iter().enumerate() {
            self.group(&format!("groups[{index}]"), group);
        }
    }

    fn group(&mut self, at: &str, group: &Group) {
        self.name(format!("{at}.name"), group.name.as_str());
        if group.slots == 0 {
            self.fault(format!("{at}.slots"), "0 is not allowed; 1 or more");
        }
        if group.connections <= group.slots {
            let (connections, slots) = (group.connections, group.slots);
            self.fault(
                format!("{at}.connections"),
                format!("{connections} is not allowed; more than the {slots} slots"),
            );
        }
        if group.upstreams.is_empty() {
            self.fault(format!("{at}.upstreams"), "empty; 1 or more upstreams");
        }
        self.unique(group.upstreams.iter().map(|u| u.name.as_str()), |i| {
            format!("{at}.upstreams[{i}].name")
        });
        for (index, upstream) in group.upstreams.iter().enumerate() {
            self.upstream(&format!("{at}.upstreams[{index}]"), upstream);
        }
    }

    fn upstream(&mut self, at: &str, upstream: &Upstream) {
        self.name(format!("{at}.name"), upstream.name.as_str());
        self.name(format!("{at}.domain"), upstream.domain.as_str());
        let path = format!("{at}.address");
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

    fn limits(&mut self, limits: &Limits) {
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
