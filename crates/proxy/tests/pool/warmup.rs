//! Requests to an upstream that is cold.

use std::time::Duration;

use mustardbay_proxy::pool::Input;
use mustardbay_proxy::work::Statement;
use mustardbay_proxy::work::Verb;

use crate::fake_upstream::Health;
use crate::simulation::Simulation;
use crate::units::bounded_read;
use crate::units::first_of_transaction;
use crate::units::single;
use crate::units::unit_id;

const LIMIT: usize = 8;
/// Steps of a test, at each of which a unit arrives.
const STEP: Duration = Duration::from_millis(20);
const STEPS_PER_SECOND: usize = 50;

/// Submits a read at each step for three seconds; returns how many requests of sessions an upstream got.
fn requests_of_reads(sim: &mut Simulation, index: usize) -> Vec<usize> {
    let mut counts = Vec::new();
    for step in 0..3 * STEPS_PER_SECOND {
        for n in 0..3 {
            sim.submit(bounded_read(&format!("r{step}-{n}")));
        }
        sim.run(STEP);
        counts.push(sim.upstream(index).ran.len());
    }
    counts
}

/// Returns the most requests in any second.
fn busiest_second(counts: &[usize]) -> usize {
    let later = &counts[STEPS_PER_SECOND - 1..];
    let windows = later.iter().zip(counts);
    windows.map(|(end, start)| end - start).max().unwrap_or(0)
}

#[test]
fn cold_upstream_gets_no_more_than_its_limit_in_any_second() {
    let mut sim = Simulation::new(14);
    sim.make_cold(&[1], u32::try_from(LIMIT).expect("small"));
    let counts = requests_of_reads(&mut sim, 1);
    assert!(busiest_second(&counts) <= LIMIT);
    assert!(counts.last() >= Some(&(2 * LIMIT)), "it is used meanwhile");
    sim.make_cold(&[], u32::try_from(LIMIT).expect("small"));
    let counts = requests_of_reads(&mut sim, 1);
    assert!(busiest_second(&counts) > 2 * LIMIT, "it is warm");
}

/// Its registration does not say so yet when it is reached again.
#[test]
fn upstream_that_was_unreachable_counts_as_cold_at_first() {
    let mut sim = Simulation::new(14);
    sim.make_cold(&[], u32::try_from(LIMIT).expect("small"));
    sim.set_health(1, Health::Down);
    requests_of_reads(&mut sim, 1);
    sim.set_health(1, Health::Up);
    let counts = requests_of_reads(&mut sim, 1);
    assert!(busiest_second(&counts) <= LIMIT);
}

/// The statements of open transactions count like others, and wait like others.
#[test]
fn transactions_at_a_cold_primary_keep_its_limit() {
    let mut sim = Simulation::new(14);
    sim.make_cold(&[0], 4);
    let unit = sim.submit(first_of_transaction(Verb::Write, "w1"));
    sim.run(Duration::from_millis(100));
    assert_eq!(sim.answer(unit).failure(), None);
    let writes: Vec<u64> = (0..4)
        .map(|n| sim.submit(single(Verb::Write, &format!("s{n}"))))
        .collect();
    sim.feed(Input::Continue {
        unit_id: unit_id(unit),
        statement: Statement::new("w2", Verb::Write, "w2"),
        settings: Vec::new(),
        left: Duration::from_secs(3),
    });
    sim.run(Duration::from_millis(800));
    assert!(sim.upstream(0).ran.len() <= 4);
    sim.run(Duration::from_millis(700));
    assert!(sim.upstream(0).ran.contains(&"w2".to_owned()));
    assert!(writes.iter().all(|write| sim.done.contains_key(write)));
}
