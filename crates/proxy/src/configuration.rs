//! Configuration in force: routes, accounts with their keys, groups.

mod account;
mod group_limits;
mod key;
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
pub use group_limits::GroupLimits;
pub use key::Key;
pub use route::Route;
pub use version::Version;

/// One version of the operators' configuration, whole.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// Its number; a higher one replaces a lower one.
    pub version: Version,
    /// Routes by the name that callers ask for.
    pub routes: BTreeMap<RouteName, Route>,
    /// Accounts by name.
    pub accounts: BTreeMap<AccountName, Account>,
    /// Account of each key.
    pub keys: BTreeMap<Key, AccountName>,
    /// Limits of each group.
    pub groups: BTreeMap<GroupName, GroupLimits>,
    /// Time for which a transaction may rest between two statements.
    pub transaction_idle: Duration,
}
