//! Regions in which the statements of a route or an account may be handled.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use mustardbay_policy::names::DomainName;
use mustardbay_policy::names::RegionName;
use serde::Deserialize;
use serde::Serialize;

/// Regions that the operators allow a route or an account.
pub type RegionSet = Arc<BTreeSet<RegionName>>;

/// Region of each failure domain, from the settings of the vm.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Regions(pub BTreeMap<DomainName, RegionName>);

impl Regions {
    /// Returns the domains in which a statement may be handled; `None` if in all of them.
    ///
    /// Where both its route and its account name regions, both bind.
    #[must_use]
    pub fn allowed_domains(
        &self,
        route: Option<&RegionSet>,
        account: Option<&RegionSet>,
    ) -> Option<Vec<DomainName>> {
        if route.is_none() && account.is_none() {
            return None;
        }
        let allows = |set: Option<&RegionSet>, region| set.is_none_or(|set| set.contains(region));
        let allowed = self.0.iter().filter(|(_, region)| {
            let by_route = allows(route, region);
            by_route && allows(account, region)
        });
        Some(allowed.map(|(domain, _)| domain.clone()).collect())
    }
}
