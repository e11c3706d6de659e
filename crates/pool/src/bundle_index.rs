//! Lookup tables over a bundle, built once for each bundle.

use std::collections::HashMap;
use std::sync::Arc;

use mustardbay_policy::bundle::Bundle;
use mustardbay_policy::names::AccountName;

use crate::upstream::Capacity;
use crate::upstream::UpstreamKey;

/// Address and capacity of an upstream, as listed in the bundle.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ListedUpstream {
    pub(crate) address: String,
    pub(crate) capacity: Capacity,
    /// Whether the upstream is being removed from its group.
    pub(crate) leaving: bool,
}

/// Upstreams and account weights of one bundle, by name.
#[derive(Debug)]
pub(crate) struct BundleIndex {
    pub(crate) bundle: Arc<Bundle>,
    upstreams: HashMap<UpstreamKey, ListedUpstream>,
    weights: HashMap<AccountName, u32>,
}

impl BundleIndex {
    /// Builds the lookup tables of a bundle.
    pub(crate) fn new(bundle: Arc<Bundle>) -> Self {
        let mut upstreams = HashMap::new();
        for group in &bundle.groups {
            let capacity = Capacity {
                slots: group.slots,
                connections: group.connections,
            };
            for upstream in &group.upstreams {
                let key = UpstreamKey {
                    group: group.name.clone(),
                    upstream: upstream.name.clone(),
                };
                let listed = ListedUpstream {
                    address: upstream.address.clone(),
                    capacity,
                    leaving: upstream.leaving,
                };
                upstreams.insert(key, listed);
            }
        }
        let weights = bundle.accounts.iter().map(|a| (a.name.clone(), a.weight));
        Self {
            upstreams,
            weights: weights.collect(),
            bundle,
        }
    }

    /// Returns an upstream, or `None` if the bundle does not list it.
    pub(crate) fn upstream(&self, key: &UpstreamKey) -> Option<&ListedUpstream> {
        self.upstreams.get(key)
    }

    /// Returns the weight of an account, or 1 if the bundle does not list the account.
    pub(crate) fn weight(&self, account: &AccountName) -> u32 {
        self.weights.get(account).copied().unwrap_or(1)
    }
}
