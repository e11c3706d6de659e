//! Network partition: units at a stand-in vm whose failure domain is cut off from the others.

use std::time::Duration;

use mustardbay_proxy::pool::Outcome;
use mustardbay_proxy::work::Verb;
use mustardbay_proxy::work::WorkUnit;

use crate::fake_upstream::Health;
use crate::simulation::Simulation;
use crate::simulation::position;
use crate::units::bounded_read;
use crate::units::single;

/// Time between two reads: 40 a second, a third of one group's load in a small fleet.
const READ_INTERVAL: Duration = Duration::from_millis(25);

/// Returns a stand-in that cannot reach the home, the primary and one replica.
fn partitioned() -> Simulation {
    let mut sim = Simulation::stand_in(2);
    sim.set_health(0, Health::Silent);
    sim.set_health(2, Health::Silent);
    sim
}

fn fresh_read(id: &str) -> WorkUnit {
    WorkUnit {
        fresh_position: Some(position(100).into()),
        ..bounded_read(id)
    }
}

/// Submits reads for a second and returns how many were answered within 200 ms.
fn count_served(sim: &mut Simulation, read: fn(&str) -> WorkUnit) -> usize {
    let mut reads = Vec::new();
    for number in 0..40 {
        let came = sim.now;
        reads.push((sim.submit(read(&format!("r{number}"))), came));
        sim.run(READ_INTERVAL);
    }
    sim.run(Duration::from_secs(1));
    let in_time = reads.iter().filter(|(read, came)| {
        let (at, outcome) = &sim.done[read];
        matches!(outcome, Outcome::Answered(answer) if answer.failure().is_none())
            && at.since(*came) <= Duration::from_millis(200)
    });
    in_time.count()
}

#[test]
fn stand_in_serves_fresh_reads_from_its_own_domain() {
    let mut sim = partitioned();
    let count = count_served(&mut sim, fresh_read);
    assert!(count >= 36, "{count} of 40");
    assert_eq!(sim.upstream(1).ran.len(), count);
}

#[test]
fn stand_in_that_knows_no_position_refuses_reads() {
    let mut sim = partitioned();
    assert_eq!(count_served(&mut sim, bounded_read), 0);
    assert!(sim.upstream(1).ran.is_empty(), "they may be too old");
}

#[test]
fn stand_in_refuses_writes_whose_primary_is_cut_off() {
    let mut sim = partitioned();
    let write = sim.submit(single(Verb::Write, "w"));
    // An attempt to connect to a silent upstream runs into the pool's timeout of 800 ms.
    sim.run(Duration::from_millis(900));
    let outcome = sim.outcome(write);
    assert!(matches!(outcome, Outcome::Refused(_)), "{outcome:?}");
    assert!(sim.upstream(1).ran.is_empty());
}
