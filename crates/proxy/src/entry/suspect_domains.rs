//! Failure domains in which a vm recently stopped responding.
//!
//! A domain is more often cut off as a whole than several of its vms fail independently. One
//! silent vm is therefore a reason to use short timeouts for the others.

use std::collections::BTreeMap;
use std::time::Duration;

use mustardbay_policy::names::DomainName;

use crate::clock::BootInstant;

/// Time for which a domain stays suspect after one of its vms did not respond.
const SUSPECT_PERIOD: Duration = Duration::from_secs(2);

/// Failure domains that are suspected to be down.
#[derive(Debug, Default)]
pub struct SuspectDomains {
    since: BTreeMap<DomainName, BootInstant>,
}

impl SuspectDomains {
    /// Notes that a vm of a domain did not answer.
    pub fn on_silence(&mut self, domain: &DomainName, now: BootInstant) {
        self.since.insert(domain.clone(), now);
    }

    /// Notes that a vm of a domain answered.
    pub fn on_answer(&mut self, domain: &DomainName) {
        self.since.remove(domain);
    }

    /// Tells whether a domain is suspect.
    #[must_use]
    pub fn contains(&self, domain: &DomainName, now: BootInstant) -> bool {
        let since = self.since.get(domain);
        since.is_some_and(|since| now.since(*since) < SUSPECT_PERIOD)
    }
}
