//! Units that are bound to regions.

use std::time::Duration;

use mustardbay_proxy::pool::Cause;
use mustardbay_proxy::pool::Outcome;
use mustardbay_proxy::work::AllowedDomains;
use mustardbay_proxy::work::Verb;
use mustardbay_proxy::work::WorkUnit;
use test_case::test_case;

use crate::simulation::Simulation;
use crate::units::bounded_read;
use crate::units::single;

fn bound(unit: WorkUnit, domains: &[&str]) -> WorkUnit {
    let names = domains.iter().map(|name| (*name).to_owned());
    WorkUnit {
        domains: Some(AllowedDomains {
            names: names.collect(),
        }),
        ..unit
    }
}

#[test]
fn bound_read_runs_only_in_its_regions() {
    let mut sim = Simulation::new(14);
    let reads: Vec<u64> = (0..20)
        .map(|n| sim.submit(bound(bounded_read(&format!("r{n}")), &["d2"])))
        .collect();
    sim.run(Duration::from_secs(1));
    for read in reads {
        assert_eq!(sim.answer(read).failure(), None);
    }
    assert_eq!(sim.upstream(2).ran.len(), 20);
}

/// The primary is elsewhere, or no domain is allowed at all.
#[test_case(&["d1", "d2"]; "primary elsewhere")]
#[test_case(&[]; "nowhere")]
fn bound_write_without_a_place_is_refused_at_once(domains: &[&str]) {
    let mut sim = Simulation::new(14);
    let write = sim.submit(bound(single(Verb::Write, "w"), domains));
    assert!(
        matches!(sim.outcome(write), Outcome::Refused(r) if r.cause() == Cause::NoUpstream && r.retry_ms > 0),
        "{:?}",
        sim.outcome(write)
    );
}
