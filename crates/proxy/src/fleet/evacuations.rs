//! Failure domains that the operators evacuate, and when nothing may reach their upstreams any more.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use mustardbay_policy::names::DomainName;
use serde::Serialize;

use crate::clock::BootInstant;

/// Time from which nothing may be sent to the upstreams of an evacuated domain.
///
/// Until then the domain's primaries serve on, so that others can take over from them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Cutoff(pub BootInstant);

impl Cutoff {
    /// Tells whether nothing may be sent any more.
    #[must_use]
    pub fn is_past(self, now: BootInstant) -> bool {
        now >= self.0
    }
}

/// Change in the evacuation of one domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EvacuationChange {
    /// The operators evacuate the domain.
    Started(DomainName, Cutoff),
    /// The operators have taken the evacuation back.
    Ended(DomainName),
}

/// An evacuated domain, serialized into state dumps.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct EvacuationState {
    /// Name of the domain.
    pub domain: DomainName,
    /// Time for which its primaries may still serve, in milliseconds.
    pub serves_ms: u128,
    /// Time since this vm last knew the domain as not evacuated, in milliseconds; none if it never did.
    pub since_ms: Option<u128>,
}

/// Evacuated domains, as this vm learns them from one view after the other.
///
/// The operators' bound begins when the store acknowledges an evacuation. A vm learns of it later, so
/// it counts from the last view in which the domain was not evacuated yet. Without such a view, as
/// after a start, it sends nothing from the beginning.
#[derive(Debug)]
pub struct Evacuations {
    bound: Duration,
    /// When the last view was requested.
    last_asked: Option<BootInstant>,
    /// Evacuated domains, with the request of the last view without the evacuation.
    domains: BTreeMap<DomainName, Option<BootInstant>>,
}

impl Evacuations {
    /// Creates an empty list; nothing may be sent to a domain `bound` after its evacuation began.
    #[must_use]
    pub fn new(bound: Duration) -> Self {
        Self {
            bound,
            last_asked: None,
            domains: BTreeMap::new(),
        }
    }

    /// Applies a view that was requested at `asked` and lists these domains; returns what changed.
    pub fn update(
        &mut self,
        listed: &BTreeSet<DomainName>,
        asked: BootInstant,
    ) -> Vec<EvacuationChange> {
        let mut changes = Vec::new();
        self.domains.retain(|domain, _| {
            let stays = listed.contains(domain);
            if !stays {
                changes.push(EvacuationChange::Ended(domain.clone()));
            }
            stays
        });
        for domain in listed {
            if !self.domains.contains_key(domain) {
                self.domains.insert(domain.clone(), self.last_asked);
                let cutoff = self.cutoff_after(self.last_asked);
                changes.push(EvacuationChange::Started(domain.clone(), cutoff));
            }
        }
        self.last_asked = Some(asked);
        changes
    }

    /// Returns the evacuated domains, each with the time from which nothing may reach its upstreams.
    #[must_use]
    pub fn cutoffs(&self) -> BTreeMap<DomainName, Cutoff> {
        let domains = self.domains.iter();
        let cutoffs = domains.map(|(domain, since)| (domain.clone(), self.cutoff_after(*since)));
        cutoffs.collect()
    }

    /// Returns the evacuated domains for a state dump.
    #[must_use]
    pub fn state(&self, now: BootInstant) -> Vec<EvacuationState> {
        let states = self.domains.iter().map(|(domain, since)| EvacuationState {
            domain: domain.clone(),
            serves_ms: self.cutoff_after(*since).0.since(now).as_millis(),
            since_ms: since.map(|since| now.since(since).as_millis()),
        });
        states.collect()
    }

    fn cutoff_after(&self, since: Option<BootInstant>) -> Cutoff {
        Cutoff(since.map_or(BootInstant::default(), |since| since.after(self.bound)))
    }
}
