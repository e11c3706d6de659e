//! Operators' configuration: routes, accounts with their keys, and groups.

mod account;
mod configuration_delta;
mod group_limits;
mod key;
mod regions;
mod route;
mod version;

use std::collections::BTreeMap;
use std::time::Duration;

use mustardbay_policy::names::AccountName;
use mustardbay_policy::names::GroupName;
use mustardbay_policy::names::RouteName;
use serde::Deserialize;
use serde::Serialize;

pub use account::Account;
pub use configuration_delta::ConfigurationDelta;
pub use group_limits::GroupLimits;
pub use key::Key;
pub use regions::RegionSet;
pub use regions::Regions;
pub use route::Route;
pub use version::Version;

/// One complete version of the operators' configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// Version number; a higher one replaces a lower one.
    pub version: Version,
    /// Routes by the database name that callers connect to.
    pub routes: BTreeMap<RouteName, Route>,
    /// Accounts by name.
    pub accounts: BTreeMap<AccountName, Account>,
    /// Regions of the accounts that may not be handled everywhere.
    #[serde(default)]
    pub account_regions: BTreeMap<AccountName, RegionSet>,
    /// Account that each key belongs to.
    pub keys: BTreeMap<Key, AccountName>,
    /// Limits of each group.
    pub groups: BTreeMap<GroupName, GroupLimits>,
    /// Maximum idle time of a transaction between two statements.
    pub transaction_idle: Duration,
}
