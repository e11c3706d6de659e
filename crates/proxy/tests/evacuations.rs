//! When nothing may reach the upstreams of an evacuated domain any more.

use std::collections::BTreeSet;
use std::time::Duration;

use mustardbay_policy::names::DomainName;
use mustardbay_proxy::clock::BootInstant;
use mustardbay_proxy::fleet::Cutoff;
use mustardbay_proxy::fleet::EvacuationChange;
use mustardbay_proxy::fleet::Evacuations;

const BOUND: Duration = Duration::from_millis(4_600);

fn at(millis: u64) -> BootInstant {
    BootInstant::from_boot(Duration::from_millis(100_000 + millis))
}

fn domain(name: &str) -> DomainName {
    DomainName::from(name)
}

/// Returns the cutoff of a domain, if it is evacuated.
fn cutoff(evacuations: &Evacuations, name: &str) -> Option<Cutoff> {
    evacuations.cutoffs().get(&domain(name)).copied()
}

fn listed(names: &[&str]) -> BTreeSet<DomainName> {
    names.iter().map(|name| domain(name)).collect()
}

/// The store may have acknowledged the evacuation right after it answered the last view without it.
#[test]
fn cutoff_counts_from_the_last_view_without_the_evacuation() {
    let mut evacuations = Evacuations::new(BOUND);
    evacuations.update(&listed(&[]), at(0));
    let changes = evacuations.update(&listed(&["d1"]), at(900));
    let expected = Cutoff(at(4_600));
    assert_eq!(changes, [EvacuationChange::Started(domain("d1"), expected)]);
    evacuations.update(&listed(&["d1"]), at(1_800));
    assert_eq!(cutoff(&evacuations, "d1"), Some(expected));
    assert_eq!(cutoff(&evacuations, "d2"), None);
}

/// A vm that starts, or has no view for long, does not know how long the evacuation has lasted.
#[test]
fn first_view_with_an_evacuation_leaves_no_time() {
    let mut evacuations = Evacuations::new(BOUND);
    evacuations.update(&listed(&["d1"]), at(0));
    let first = cutoff(&evacuations, "d1");
    assert!(first.is_some_and(|cutoff| cutoff.is_past(at(0))));
}

#[test]
fn second_evacuation_of_a_domain_has_its_own_time() {
    let mut evacuations = Evacuations::new(BOUND);
    evacuations.update(&listed(&[]), at(0));
    evacuations.update(&listed(&["d1"]), at(1_000));
    let changes = evacuations.update(&listed(&["d2"]), at(9_000));
    assert_eq!(
        changes,
        [
            EvacuationChange::Ended(domain("d1")),
            EvacuationChange::Started(domain("d2"), Cutoff(at(5_600))),
        ]
    );
    evacuations.update(&listed(&["d1", "d2"]), at(20_000));
    assert_eq!(cutoff(&evacuations, "d1"), Some(Cutoff(at(13_600))));
}
