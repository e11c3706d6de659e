//! Lookup tables of a bundle, built once for each version.

use std::collections::HashMap;
use std::sync::Arc;

use mustardbay_policy::bundle::Bundle;
use mustardbay_policy::names::AccountName;

use crate::upstream::Sizes;
use crate::upstream::UpstreamKey;

/// Upstream as the bundle describes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Entry {
    pub(crate) address: String,
    pub(crate) sizes: Sizes,
    pub(crate) leaving: bool,
}

/// Lookup tables of one bundle.
#[derive(Debug)]
pub(crate) struct Catalog {
    pub(crate) bundle: Arc<Bundle>,
    upstreams: HashMap<UpstreamKey, Entry>,
    weights: HashMap<AccountName, u32>,
}

impl Catalog {
    /// Builds the tables of a bundle.
    pub(crate) fn new(bundle: Arc<Bundle>) -> Self {
        let mut upstreams = HashMap::new();
        for group in &bundle.groups {
            let sizes = Sizes {
                slots: group.slots,
                connections: group.connections,
            };
            for upstream in &group.upstreams {
                let key = UpstreamKey {
                    group: group.name.clone(),
                    upstream: upstream.name.clone(),
                };
                let entry = Entry {
                    address: upstream.address.clone(),
                    sizes,
                    leaving: upstream.leaving,
                };
                upstreams.insert(key, entry);
            }
        }
        let weights = bundle.accounts.iter().map(|a| (a.name.clone(), a.weight));
        Self {
            upstreams,
            weights: weights.collect(),
            bundle,
        }
    }

    /// Returns an upstream of the bundle.
    pub(crate) fn upstream(&self, key: &UpstreamKey) -> Option<&Entry> {
        self.upstreams.get(key)
    }

    /// Returns the weight of an account; 1 where the bundle names none.
    pub(crate) fn weight(&self, account: &AccountName) -> u32 {
        self.weights.get(account).copied().unwrap_or(1)
    }
}
