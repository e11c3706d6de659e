//! Difference between two configurations, which is sent instead of the whole.

use std::collections::BTreeMap;
use std::time::Duration;

use mustardbay_policy::names::AccountName;
use mustardbay_policy::names::GroupName;
use mustardbay_policy::names::RouteName;
use serde::Deserialize;
use serde::Serialize;

use crate::configuration::Account;
use crate::configuration::Configuration;
use crate::configuration::GroupLimits;
use crate::configuration::Key;
use crate::configuration::RegionSet;
use crate::configuration::Route;
use crate::configuration::Version;

/// Entries of a map that are new, changed or gone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct MapDelta<K: Ord, V> {
    changed: BTreeMap<K, V>,
    gone: Vec<K>,
}

impl<K: Ord + Clone, V: PartialEq + Clone> MapDelta<K, V> {
    fn between(base: &BTreeMap<K, V>, new: &BTreeMap<K, V>) -> Self {
        let changed = new
            .iter()
            .filter(|(key, value)| base.get(*key) != Some(*value));
        let gone = base.keys().filter(|key| !new.contains_key(*key));
        Self {
            changed: changed.map(|(k, v)| (k.clone(), v.clone())).collect(),
            gone: gone.cloned().collect(),
        }
    }

    fn apply(self, base: &BTreeMap<K, V>) -> BTreeMap<K, V> {
        let mut map = base.clone();
        for key in &self.gone {
            map.remove(key);
        }
        map.extend(self.changed);
        map
    }
}

/// What a configuration has changed against an earlier one, its base.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigurationDelta {
    base: Version,
    version: Version,
    routes: MapDelta<RouteName, Route>,
    accounts: MapDelta<AccountName, Account>,
    account_regions: MapDelta<AccountName, RegionSet>,
    keys: MapDelta<Key, AccountName>,
    groups: MapDelta<GroupName, GroupLimits>,
    transaction_idle: Duration,
}

impl ConfigurationDelta {
    /// Returns what `new` has changed against `base`.
    #[must_use]
    pub fn between(base: &Configuration, new: &Configuration) -> Self {
        Self {
            base: base.version,
            version: new.version,
            routes: MapDelta::between(&base.routes, &new.routes),
            accounts: MapDelta::between(&base.accounts, &new.accounts),
            account_regions: MapDelta::between(&base.account_regions, &new.account_regions),
            keys: MapDelta::between(&base.keys, &new.keys),
            groups: MapDelta::between(&base.groups, &new.groups),
            transaction_idle: new.transaction_idle,
        }
    }

    /// Returns the configuration that results from applying the difference, or `None` if `base` is
    /// not the version that it was made for.
    #[must_use]
    pub fn apply(self, base: &Configuration) -> Option<Configuration> {
        (base.version == self.base).then(|| Configuration {
            version: self.version,
            routes: self.routes.apply(&base.routes),
            accounts: self.accounts.apply(&base.accounts),
            account_regions: self.account_regions.apply(&base.account_regions),
            keys: self.keys.apply(&base.keys),
            groups: self.groups.apply(&base.groups),
            transaction_idle: self.transaction_idle,
        })
    }
}
