//! Round trips from this vm to the other regions.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use mustardbay_policy::names::DomainName;
use mustardbay_policy::names::RegionName;
use mustardbay_policy::names::VmName;

use crate::configuration::Regions;
use crate::latest_view::LatestView;
use crate::link::RoundTrip;
use crate::sync::lock;

/// Round trip to a region, shared by the links that lead there.
pub(super) type SharedRoundTrip = Arc<Mutex<RoundTrip>>;

/// Round trips to the regions that this vm is not in.
///
/// Vms of its own region, and of domains without a region, have none.
#[derive(Debug, Default)]
pub struct RoundTrips {
    latest_view: Arc<LatestView>,
    regions: Regions,
    others: BTreeMap<RegionName, SharedRoundTrip>,
}

impl RoundTrips {
    /// Creates the unmeasured round trips of a vm in `domain`.
    #[must_use]
    pub fn new(regions: Regions, domain: &DomainName, latest_view: Arc<LatestView>) -> Self {
        let own = regions.0.get(domain).cloned();
        let others = regions
            .0
            .values()
            .filter(|region| own.is_some() && own.as_ref() != Some(*region));
        let others = others
            .map(|region| (region.clone(), SharedRoundTrip::default()))
            .collect();
        Self {
            latest_view,
            regions,
            others,
        }
    }

    /// Returns the round trip to a vm's region, or `None` if the vm is not known to be in another one.
    pub(super) fn to_vm(&self, vm: &VmName) -> Option<SharedRoundTrip> {
        if self.others.is_empty() {
            return None;
        }
        let assignment = self.latest_view.assignment()?;
        let region = self.regions.0.get(assignment.domain(vm)?)?;
        self.others.get(region).cloned()
    }

    /// Returns whether a domain is in another region than this vm.
    #[must_use]
    pub fn is_far(&self, domain: &DomainName) -> bool {
        let region = self.regions.0.get(domain);
        region.is_some_and(|region| self.others.contains_key(region))
    }

    /// Returns the time that the distance adds to a wait for a vm of any region.
    #[must_use]
    pub fn longest_added_wait(&self) -> Duration {
        let waits = self.others.values().map(|to| lock(to).added_wait());
        waits.max().unwrap_or(Duration::ZERO)
    }

    /// Returns the added wait of each other region, measured or assumed, for metrics.
    #[must_use]
    pub fn added_waits(&self) -> BTreeMap<RegionName, Duration> {
        let waits = self.others.iter();
        waits
            .map(|(region, to)| (region.clone(), lock(to).added_wait()))
            .collect()
    }
}
