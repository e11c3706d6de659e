//! The operators' configuration: accounts, keys, rates, routes and database groups.

use serde::Deserialize;
use serde::Serialize;

use crate::names::AccountName;
use crate::names::DomainName;
use crate::names::GroupName;
use crate::names::KeyId;
use crate::names::RouteName;
use crate::names::UpstreamName;

/// Number of an accepted bundle; only ever grows.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct BundleVersion(pub u64);

/// Whole configuration of the fleet.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bundle {
    /// Version under which the bundle was accepted; 0 before submission.
    pub version: BundleVersion,
    /// Client accounts.
    pub accounts: Vec<Account>,
    /// Routes from database names to groups.
    pub routes: Vec<Route>,
    /// Database groups.
    pub groups: Vec<Group>,
    /// Bounds that hold for the whole fleet.
    pub limits: Limits,
}

/// Client account.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// User name that callers present.
    pub name: AccountName,
    /// Verifiers of the keys that are granted.
    pub keys: Vec<KeyVerifier>,
    /// Statements per second over the whole fleet.
    pub rate: f64,
    /// Statements that may come at once over the whole fleet.
    pub burst: f64,
    /// Share of a pool's slots relative to other accounts.
    #[serde(default = "one")]
    pub weight: u32,
    /// Routes that the account may use.
    pub routes: Vec<RouteName>,
}

fn one() -> u32 {
    1
}

/// Verifier of a key, in the form that PostgreSQL stores SCRAM secrets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyVerifier {
    /// Public identifier of the key.
    pub id: KeyId,
    /// `SCRAM-SHA-256$iterations:salt$stored:server`, base64 as in PostgreSQL's `pg_authid`.
    pub verifier: String,
}

/// Route from a database name to a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Database name that callers ask for.
    pub name: RouteName,
    /// Group that serves it.
    pub group: GroupName,
    /// Whether every caller may use it without a key.
    #[serde(default)]
    pub open: bool,
}

/// Database group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// Name of the group.
    pub name: GroupName,
    /// Statements that one upstream runs at once.
    pub slots: u32,
    /// Connections that one upstream accepts, control connections included.
    pub connections: u32,
    /// Database servers of the group.
    pub upstreams: Vec<Upstream>,
}

/// Database server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Name, unique in its group.
    pub name: UpstreamName,
    /// Address `ip:port` of its PostgreSQL endpoint.
    pub address: String,
    /// Failure domain that it stands in.
    pub domain: DomainName,
    /// Whether it is leaving and must get no new work.
    #[serde(default)]
    pub leaving: bool,
}

/// Bounds that hold for the whole fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Longest time that a statement may take, in milliseconds.
    pub statement_ms: u64,
    /// Longest wait for a replica that is behind a session's floor, in milliseconds.
    pub behind_ms: u64,
    /// Longest wait for a replica's confirmation of a write, in milliseconds.
    pub durable_ms: u64,
    /// Silence after which a primary is suspected, in milliseconds.
    pub suspect_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            statement_ms: 5_000,
            behind_ms: 20,
            durable_ms: 1_000,
            suspect_ms: 600,
        }
    }
}
