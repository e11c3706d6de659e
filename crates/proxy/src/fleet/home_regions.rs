//! Region in which the home of each group should lie: that of the group's primary.
//!
//! The load that it answers: statements of a fleet whose regions lie far apart, each of which would
//! otherwise cross the distance twice and hold its slot at the primary for that time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use mustardbay_policy::names::DomainName;
use mustardbay_policy::names::GroupName;
use mustardbay_policy::names::RegionName;

use crate::clock::BootInstant;
use crate::configuration::Regions;
use crate::pool::Registration;
use crate::pool::Role;

/// Time for which a group's upstreams must speak for another region before its home moves there.
///
/// It outlasts registrations that lapse in an outage of the store and come back, and a failover.
const MOVE_AFTER: Duration = Duration::from_secs(6);

/// Failure domains in which the home of a group should lie.
pub type HomeDomains = BTreeMap<GroupName, Arc<BTreeSet<DomainName>>>;

/// Region of each group's home, as its registered upstreams speak for it.
///
/// Every vm reads the same registrations, and a change counts only once it has lasted, so that a
/// registration that lapses does not move a home to and fro.
#[derive(Debug, Default)]
pub struct HomeRegions {
    regions: Regions,
    chosen: BTreeMap<GroupName, ChosenRegion>,
}

/// Region of one group's home, and the one that may replace it.
#[derive(Debug)]
struct ChosenRegion {
    region: RegionName,
    other: Option<(RegionName, BootInstant)>,
}

impl HomeRegions {
    /// Creates the choice for a fleet whose domains are in `regions`; it is empty if there is only one.
    #[must_use]
    pub fn new(regions: Regions) -> Self {
        let names: BTreeSet<&RegionName> = regions.0.values().collect();
        let regions = if names.len() > 1 {
            regions
        } else {
            Regions::default()
        };
        Self {
            regions,
            chosen: BTreeMap::new(),
        }
    }

    /// Updates the regions with the registrations of a view that was requested at `asked`.
    pub fn update(
        &mut self,
        upstreams: &BTreeMap<GroupName, Vec<Registration>>,
        asked: BootInstant,
    ) {
        for (group, registrations) in upstreams {
            let wanted = self.wanted_region(registrations);
            match (self.chosen.get_mut(group), wanted) {
                (Some(chosen), wanted) => chosen.update(group, wanted, asked),
                (None, Some(region)) => {
                    let chosen = ChosenRegion {
                        region,
                        other: None,
                    };
                    self.chosen.insert(group.clone(), chosen);
                }
                (None, None) => {}
            }
        }
    }

    /// Returns the failure domains of each group's region.
    #[must_use]
    pub fn domains(&self) -> HomeDomains {
        let chosen = self.chosen.iter();
        chosen
            .map(|(group, chosen)| (group.clone(), Arc::new(self.domains_of(&chosen.region))))
            .collect()
    }

    fn domains_of(&self, region: &RegionName) -> BTreeSet<DomainName> {
        let domains = self.regions.0.iter();
        let domains = domains.filter(|(_, of)| *of == region);
        domains.map(|(domain, _)| domain.clone()).collect()
    }

    /// Returns the region of the only registered primary, or else of most upstreams.
    fn wanted_region(&self, registrations: &[Registration]) -> Option<RegionName> {
        let mut primaries = registrations.iter().filter(|r| r.role == Role::Primary);
        let primary = primaries.next().filter(|_| primaries.next().is_none());
        let region = primary.and_then(|primary| self.regions.0.get(&primary.domain));
        region.cloned().or_else(|| self.majority(registrations))
    }

    /// Returns the region of most upstreams; `None` if two regions have as many.
    fn majority(&self, registrations: &[Registration]) -> Option<RegionName> {
        let mut counts: BTreeMap<&RegionName, usize> = BTreeMap::new();
        for registration in registrations {
            if let Some(region) = self.regions.0.get(&registration.domain) {
                *counts.entry(region).or_default() += 1;
            }
        }
        let most = counts.values().max().copied()?;
        let mut regions = counts.iter().filter(|(_, count)| **count == most);
        let (region, _) = regions.next()?;
        regions.next().is_none().then(|| (*region).clone())
    }
}

impl ChosenRegion {
    /// Notes the region that the upstreams speak for, and moves there once that has lasted.
    fn update(&mut self, group: &GroupName, wanted: Option<RegionName>, now: BootInstant) {
        let Some(wanted) = wanted.filter(|wanted| *wanted != self.region) else {
            self.other = None;
            return;
        };
        let since = match &self.other {
            Some((other, since)) if *other == wanted => *since,
            Some(_) | None => now,
        };
        if now.since(since) < MOVE_AFTER {
            self.other = Some((wanted, since));
            return;
        }
        tracing::info!(event = "home_region_changed", group = %group, from = %self.region, to = %wanted);
        self.region = wanted;
        self.other = None;
    }
}
