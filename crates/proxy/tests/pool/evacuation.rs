//! Work of a pool while the failure domains of upstreams are evacuated.

use std::time::Duration;

use mustardbay_proxy::pool::Cause;
use mustardbay_proxy::pool::Input;
use mustardbay_proxy::pool::Outcome;
use mustardbay_proxy::pool::Role;
use mustardbay_proxy::work::Code;
use mustardbay_proxy::work::Statement;
use mustardbay_proxy::work::Verb;
use test_case::test_case;

use crate::fake_upstream::Health;
use crate::simulation::Simulation;
use crate::simulation::name;
use crate::units::bounded_read;
use crate::units::first_of_transaction;
use crate::units::single;
use crate::units::unit_id;

/// Time for which an evacuated primary still serves.
const SERVES: Duration = Duration::from_secs(2);

/// Time after which the units that were begun before are over.
const BEGUN_ENDS: Duration = Duration::from_millis(100);

fn next_statement(unit: u64, verb: Verb, id: &str) -> Input {
    Input::Continue {
        unit_id: unit_id(unit),
        statement: Statement::new(id, verb, id),
        settings: Vec::new(),
        left: Duration::from_millis(800),
    }
}

/// Status queries, retries and units of a backlog count as well: the upstream receives nothing at all.
#[test_case(false; "home")]
#[test_case(true; "stand_in")]
fn evacuated_replica_receives_nothing(stand_in: bool) {
    let mut sim = if stand_in {
        Simulation::stand_in(14)
    } else {
        Simulation::new(14)
    };
    let queued: Vec<u64> = (0..60)
        .map(|n| sim.submit(bounded_read(&format!("q{n}"))))
        .collect();
    sim.evacuate(&[1], SERVES);
    sim.run(BEGUN_ENDS);
    let before = sim.upstream(1).sent.len();
    let reads: Vec<u64> = (0..12)
        .map(|n| sim.submit(bounded_read(&format!("r{n}"))))
        .collect();
    sim.set_health(2, Health::LosesAnswers);
    sim.run(Duration::from_secs(3));
    let unit_ids = queued.iter().chain(&reads);
    assert!(unit_ids.into_iter().all(|unit| sim.done.contains_key(unit)));
    assert_eq!(sim.upstream(1).sent.len(), before);
}

/// Guards against work for an evacuated upstream whose registration has expired (EVAC).
///
/// The pool keeps an upstream for a while that is not listed: the store may have been away.
#[test_case(false; "home")]
#[test_case(true; "stand_in")]
fn evacuated_replica_receives_nothing_once_its_registration_has_expired(stand_in: bool) {
    let mut sim = if stand_in {
        Simulation::stand_in(14)
    } else {
        Simulation::new(14)
    };
    sim.evacuate(&[1], SERVES);
    sim.run(BEGUN_ENDS);
    let before = sim.upstream(1).sent.len();
    for expired in [Some(1), Some(1), None, None] {
        sim.set_expired(expired);
        let reads = (0..12).map(|n| sim.submit(bounded_read(&format!("r{n}"))));
        let reads: Vec<u64> = reads.collect();
        sim.run(Duration::from_secs(1));
        assert!(reads.iter().all(|read| sim.done.contains_key(read)));
    }
    assert_eq!(sim.upstream(1).sent.len(), before);
}

#[test]
fn evacuated_primary_serves_until_its_time_is_up() {
    let mut sim = Simulation::new(14);
    sim.evacuate(&[0], SERVES);
    let write = sim.submit(single(Verb::Write, "w1"));
    sim.run(SERVES.saturating_sub(Duration::from_millis(100)));
    assert_eq!(sim.answer(write).failure(), None);
    sim.run(Duration::from_millis(200));
    let before = sim.upstream(0).sent.len();
    let late = sim.submit(single(Verb::Write, "w2"));
    sim.run(Duration::from_secs(2));
    assert!(
        matches!(sim.outcome(late), Outcome::Refused(r) if r.cause() == Cause::NoPrimary && r.retry_ms > 0),
        "{:?}",
        sim.outcome(late)
    );
    assert_eq!(sim.upstream(0).sent.len(), before, "nothing reaches it");
}

#[test]
fn evacuated_primary_is_followed_by_the_promoted_upstream() {
    let mut sim = Simulation::new(14);
    sim.evacuate(&[0], SERVES);
    sim.run(Duration::from_millis(500));
    sim.upstream(0).role = Role::Replica;
    sim.upstream(1).role = Role::Primary;
    sim.upstream(1).applied.term.0 = 2;
    let write = sim.submit(single(Verb::Write, "w1"));
    sim.run(Duration::from_millis(400));
    assert_eq!(sim.answer(write).failure(), None);
    assert_eq!(sim.upstream(1).ran, ["w1"]);
}

/// A stand-in asks nobody for its status, and an evacuated primary tells it nothing any more.
#[test]
fn stand_in_learns_of_the_new_primary_from_the_registrations() {
    let mut sim = Simulation::stand_in(14);
    let write = sim.submit(single(Verb::Write, "w1"));
    sim.run(Duration::from_millis(100));
    assert_eq!(sim.answer(write).failure(), None, "u0 is proven");
    sim.evacuate(&[0], Duration::ZERO);
    sim.upstream(0).role = Role::Replica;
    sim.upstream(1).role = Role::Primary;
    sim.upstream(1).applied.term.0 = 2;
    sim.register(&[]);
    let write = sim.submit(single(Verb::Write, "w2"));
    sim.run(Duration::from_millis(300));
    assert_eq!(sim.answer(write).failure(), None);
    assert_eq!(sim.upstream(1).ran, ["w2"]);
}

/// The open transaction ends when the time is up, and its end is told as it is.
#[test_case(Verb::Write, "w2"; "next_write")]
#[test_case(Verb::Commit, "c"; "commit")]
fn transaction_at_an_evacuated_primary_is_rolled_back(verb: Verb, id: &str) {
    let mut sim = Simulation::new(14);
    let unit = sim.submit(first_of_transaction(Verb::Write, "w1"));
    sim.run(Duration::from_millis(100));
    assert_eq!(sim.answer(unit).failure(), None);
    sim.evacuate(&[0], SERVES);
    sim.run(SERVES);
    let before = sim.upstream(0).sent.len();
    sim.feed(next_statement(unit, verb, id));
    sim.run(Duration::from_millis(500));
    assert_eq!(sim.answer(unit).failure(), Some(Code::Aborted));
    assert_eq!(sim.upstream(0).sent.len(), before, "nothing reaches it");
}

#[test]
fn transaction_at_an_evacuated_primary_may_end_in_time() {
    let mut sim = Simulation::new(14);
    let unit = sim.submit(first_of_transaction(Verb::Write, "w1"));
    sim.run(Duration::from_millis(100));
    sim.evacuate(&[0], SERVES);
    sim.run(Duration::from_millis(500));
    sim.feed(next_statement(unit, Verb::Commit, "c"));
    sim.run(Duration::from_millis(500));
    assert_eq!(sim.answer(unit).failure(), None);
}

/// The unit's setup was sent, its statement was not: it runs once, at another upstream.
#[test]
fn unit_whose_statement_was_not_sent_runs_elsewhere() {
    let mut sim = Simulation::new(14);
    sim.evacuate(&[0], Duration::from_micros(500));
    let unit = sim.submit(first_of_transaction(Verb::Write, "w1"));
    sim.run(Duration::from_millis(20));
    assert!(sim.upstream(0).ran.is_empty(), "the time was up before");
    sim.upstream(0).role = Role::Replica;
    sim.upstream(1).role = Role::Primary;
    sim.upstream(1).applied.term.0 = 2;
    sim.register(&[]);
    sim.run(Duration::from_millis(300));
    assert_eq!(sim.answer(unit).failure(), None);
    assert_eq!(sim.upstream(1).ran, ["w1"]);
}

#[test]
fn two_evacuated_domains_leave_the_third() {
    let mut sim = Simulation::new(14);
    sim.evacuate(&[1, 2], SERVES);
    let sent = [sim.upstream(1).sent.len(), sim.upstream(2).sent.len()];
    let reads: Vec<u64> = (0..4)
        .map(|n| sim.submit(bounded_read(&format!("r{n}"))))
        .collect();
    sim.run(Duration::from_secs(1));
    for read in reads {
        assert_eq!(sim.answer(read).failure(), None);
    }
    let after = [sim.upstream(1).sent.len(), sim.upstream(2).sent.len()];
    assert_eq!(sent, after);
}

#[test]
fn upstream_is_used_again_after_its_evacuation() {
    let mut sim = Simulation::new(14);
    sim.evacuate(&[1], SERVES);
    sim.run(Duration::from_secs(3));
    sim.evacuate(&[], SERVES);
    sim.run(Duration::from_millis(500));
    let before = sim.upstream(1).ran.len();
    for round in 0..3 {
        for n in 0..6 {
            sim.submit(bounded_read(&format!("r{round}-{n}")));
        }
        sim.run(Duration::from_millis(300));
    }
    assert!(sim.upstream(1).ran.len() > before);
}

/// Operators work on the domain's upstreams, so nothing holds on to them.
#[test]
fn connections_to_an_evacuated_upstream_are_closed() {
    let mut sim = Simulation::new(14);
    let open = sim.submit(first_of_transaction(Verb::Write, "w1"));
    for n in 0..6 {
        sim.submit(bounded_read(&format!("r{n}")));
    }
    sim.run(Duration::from_millis(300));
    assert_eq!(sim.answer(open).failure(), None);
    sim.evacuate(&[0, 1], SERVES);
    sim.run(BEGUN_ENDS);
    let held = sim.pool.state(sim.now);
    assert_eq!(held.connections.get(&name(1)), None, "idle ones at once");
    assert_eq!(held.evacuated[&name(0)], 1, "the transaction is open");
    sim.run(SERVES);
    let held = sim.pool.state(sim.now);
    assert_eq!(held.connections.get(&name(0)), None, "all at the cutoff");
}
