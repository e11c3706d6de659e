//! Outcome of units when upstreams and connections fail.

use std::time::Duration;

use mustardbay_proxy::pool::Cause;
use mustardbay_proxy::pool::Input;
use mustardbay_proxy::pool::Note;
use mustardbay_proxy::pool::Outcome;
use mustardbay_proxy::pool::Role;
use mustardbay_proxy::work::Code;
use mustardbay_proxy::work::Statement;
use mustardbay_proxy::work::Verb;
use mustardbay_proxy::work::WorkUnit;
use test_case::test_case;

use crate::fake_upstream::Health;
use crate::simulation::Simulation;
use crate::simulation::name;
use crate::units::bounded_read;
use crate::units::first_of_transaction;
use crate::units::single;
use crate::units::unit_id;

#[test_case(single(Verb::Write, "w"), Code::InDoubt; "single_write")]
fn lost_answer_to_write_is_in_doubt(unit: WorkUnit, code: Code) {
    let mut sim = Simulation::new(14);
    sim.set_health(0, Health::LosesAnswers);
    let unit = sim.submit(unit);
    sim.run(Duration::from_millis(300));
    assert_eq!(sim.answer(unit).failure(), Some(code));
    assert_eq!(sim.upstream(0).ran.len(), 1, "it is not run again");
}

#[test]
fn lost_answer_in_transaction_aborts_it() {
    let mut sim = Simulation::new(14);
    let unit = sim.submit(first_of_transaction(Verb::Write, "w1"));
    sim.run(Duration::from_millis(100));
    assert_eq!(sim.answer(unit).failure(), None);
    sim.set_health(0, Health::LosesAnswers);
    sim.feed(Input::Continue {
        unit_id: unit_id(unit),
        statement: Statement::new("w2", Verb::Write, "w2"),
        settings: Vec::new(),
        left: Duration::from_millis(800),
    });
    sim.run(Duration::from_millis(100));
    assert_eq!(sim.answer(unit).failure(), Some(Code::Aborted));
}

/// Client that uses an id twice, beside a failover: a later statement is not taken for the first.
///
/// Taken for the first it would run at the new primary, without what ran before it.
#[test]
fn refused_repeated_statement_does_not_run_elsewhere() {
    let mut sim = Simulation::new(14);
    let unit = sim.submit(first_of_transaction(Verb::Write, "w1"));
    sim.run(Duration::from_millis(100));
    assert_eq!(sim.answer(unit).failure(), None);
    sim.upstream(0).role = Role::Replica;
    sim.upstream(1).role = Role::Primary;
    sim.feed(Input::Continue {
        unit_id: unit_id(unit),
        statement: first_of_transaction(Verb::Write, "w1").statement,
        settings: Vec::new(),
        left: Duration::from_millis(800),
    });
    sim.run(Duration::from_secs(1));
    assert!(sim.answer(unit).failure().is_some());
    assert!(!sim.upstream(1).ran.contains(&"w1".to_owned()));
}

#[test]
fn lost_answer_to_commit_is_in_doubt() {
    let mut sim = Simulation::new(14);
    let unit = sim.submit(first_of_transaction(Verb::Write, "w1"));
    sim.run(Duration::from_millis(100));
    sim.set_health(0, Health::LosesAnswers);
    sim.feed(Input::Continue {
        unit_id: unit_id(unit),
        statement: Statement::new("c", Verb::Commit, "COMMIT"),
        settings: Vec::new(),
        left: Duration::from_millis(800),
    });
    sim.run(Duration::from_millis(100));
    assert_eq!(sim.answer(unit).failure(), Some(Code::InDoubt));
}

#[test]
fn lost_answer_to_read_is_retried_elsewhere() {
    let mut sim = Simulation::new(14);
    sim.set_health(1, Health::LosesAnswers);
    let reads: Vec<u64> = (0..6)
        .map(|n| sim.submit(bounded_read(&format!("r{n}"))))
        .collect();
    sim.run(Duration::from_millis(500));
    for read in reads {
        assert_eq!(sim.answer(read).failure(), None);
    }
}

/// Guards against a backoff of the primary, 100 ms or more, for one broken connection.
#[test]
fn lost_connection_leaves_the_primary_in_use() {
    let mut sim = Simulation::new(14);
    sim.set_health(0, Health::LosesAnswers);
    let lost = sim.submit(single(Verb::Write, "w1"));
    sim.run(Duration::from_millis(40));
    assert_eq!(sim.answer(lost).failure(), Some(Code::InDoubt));
    sim.set_health(0, Health::Up);
    let next = sim.submit(single(Verb::Write, "w2"));
    sim.run(Duration::from_millis(60));
    assert_eq!(sim.answer(next).failure(), None);
}

#[test]
fn lost_primary_with_full_queue_refuses_writes_at_once_and_serves_reads() {
    let mut sim = Simulation::new(14);
    let queued: Vec<u64> = (0..30)
        .map(|n| sim.submit(single(Verb::Write, &format!("w{n}"))))
        .collect();
    sim.set_health(0, Health::Down);
    sim.run(Duration::from_millis(500));
    let began = sim.now;
    let late = sim.submit(single(Verb::Write, "late"));
    assert!(
        matches!(sim.outcome(late), Outcome::Refused(r) if r.cause() == Cause::NoPrimary),
        "{:?}",
        sim.outcome(late)
    );
    assert_eq!(sim.done[&late].0, began, "it is refused on arrival");
    for unit in queued {
        assert!(sim.done.contains_key(&unit), "no unit stays queued");
    }
    let read = sim.submit(bounded_read("r"));
    sim.run(Duration::from_millis(100));
    assert_eq!(sim.answer(read).failure(), None);
}

/// Callers that come back sooner find no primary again, and have few retries.
#[test]
fn queued_write_that_loses_its_primary_is_told_to_wait_for_a_promotion() {
    let mut sim = Simulation::new(14);
    let queued: Vec<u64> = (0..30)
        .map(|n| sim.submit(single(Verb::Write, &format!("w{n}"))))
        .collect();
    sim.set_health(0, Health::Down);
    sim.run(Duration::from_millis(500));
    let pauses = queued.iter().filter_map(|unit| match sim.outcome(*unit) {
        Outcome::Refused(refusal) if refusal.cause() == Cause::NoPrimary => Some(refusal.retry_ms),
        Outcome::Refused(_) | Outcome::Answered(_) => None,
    });
    let pauses: Vec<u32> = pauses.collect();
    assert!(pauses.len() > 10, "{} units waited", pauses.len());
    assert!(pauses.iter().all(|pause| *pause == 700), "{pauses:?}");
}

#[test]
fn leaving_primary_serves_until_another_is_promoted() {
    let mut sim = Simulation::new(14);
    sim.register(&[0]);
    let write = sim.submit(single(Verb::Write, "w1"));
    sim.run(Duration::from_millis(100));
    assert_eq!(sim.answer(write).failure(), None);
    sim.upstream(0).role = Role::Replica;
    sim.upstream(1).role = Role::Primary;
    sim.upstream(1).applied.term.0 = 2;
    let write = sim.submit(single(Verb::Write, "w2"));
    sim.run(Duration::from_millis(400));
    assert_eq!(sim.answer(write).failure(), None);
    assert_eq!(sim.upstream(1).ran, ["w2"]);
}

#[test]
fn leaving_upstream_gets_no_work_after_its_time_limit() {
    let mut sim = Simulation::new(14);
    sim.register(&[0, 1]);
    sim.run(Duration::from_millis(4_100));
    sim.upstream(0).ran.clear();
    let write = sim.submit(single(Verb::Write, "w"));
    let read = sim.submit(bounded_read("r"));
    sim.run(Duration::from_secs(1));
    assert!(matches!(sim.outcome(write), Outcome::Refused(_)));
    assert_eq!(sim.answer(read).failure(), None);
    assert!(sim.upstream(0).ran.is_empty());
    assert!(sim.upstream(1).ran.is_empty());
}

#[test]
fn timed_out_write_is_answered_at_its_deadline() {
    let mut sim = Simulation::new(14);
    sim.set_health(0, Health::Silent);
    let began = sim.now;
    let write = sim.submit(single(Verb::Write, "w"));
    sim.run(Duration::from_secs(2));
    let (at, _) = sim.done[&write];
    assert!(at.since(began) <= Duration::from_millis(900));
}

#[test]
fn closed_link_rolls_its_transactions_back() {
    let mut sim = Simulation::new(14);
    let unit = sim.submit(first_of_transaction(Verb::Write, "w1"));
    sim.run(Duration::from_millis(100));
    assert_eq!(sim.answer(unit).failure(), None);
    sim.feed(Input::LinkClosed(1));
    sim.run(Duration::from_millis(50));
    assert_eq!(
        sim.upstream(0).sent.last().map(String::as_str),
        Some("Rollback")
    );
}

/// Guards against memory that grows with each connection that was lost or could not be opened.
#[test_case(Health::Down; "refused")]
#[test_case(Health::Silent; "silent")]
#[test_case(Health::LosesAnswers; "lost")]
fn nothing_is_kept_of_connections_that_have_ended(health: Health) {
    let mut sim = Simulation::new(14);
    let opened = sim.opened;
    for round in 0..5 {
        sim.set_health(0, health);
        for n in 0..6 {
            sim.submit(single(Verb::Write, &format!("w{round}-{n}")));
        }
        sim.run(Duration::from_millis(1_500));
        sim.set_health(0, Health::Up);
        sim.run(Duration::from_secs(2));
    }
    assert!(sim.opened > opened + 5, "connections were replaced");
    assert_eq!(sim.held.len(), sim.pool.level(sim.now).connections);
}

/// The failover needs to know which upstreams it cannot pause.
#[test]
fn upstream_that_does_not_know_pauses_is_remembered_and_logged_once() {
    let mut sim = Simulation::new(14);
    sim.submit(single(Verb::Write, "w"));
    sim.run(Duration::from_millis(100));
    let connection = *sim.held.first().expect("one is open");
    sim.feed(Input::PauseUnknown(connection));
    sim.feed(Input::PauseUnknown(connection));
    let contacts = sim.pool.contacts(sim.now);
    let unable = contacts.iter().filter(|contact| !contact.pausable);
    assert_eq!(unable.count(), 1);
    let is_told = |note: &&Note| matches!(note, Note::PauseUnknown(_));
    assert_eq!(sim.notes.iter().filter(is_told).count(), 1);
}

#[test]
fn retired_pool_refuses_new_units() {
    let mut sim = Simulation::new(14);
    sim.retire(Duration::from_secs(4));
    let unit = sim.submit(single(Verb::Write, "w"));
    assert!(matches!(sim.outcome(unit), Outcome::Refused(r) if r.cause() == Cause::Draining));
}

/// Operators look up by request id why a request was refused.
#[test]
fn refusal_is_logged_with_its_request() {
    let mut sim = Simulation::new(14);
    sim.retire(Duration::from_secs(4));
    sim.submit(single(Verb::Write, "w"));
    let noted = sim.notes.iter().any(|note| {
        matches!(note, Note::Refused { request, refusal, .. }
            if request == "w" && refusal.cause() == Cause::Draining)
    });
    assert!(noted, "{:?}", sim.notes);
}

/// Guards against a statement that is sent just before the process of the home ends (LOST).
///
/// A commit that was not sent is told as not kept; one that was sent is waited for.
#[test_case(Duration::from_secs(3), None; "in_time")]
#[test_case(Duration::from_millis(4_100), Some(Code::Aborted); "too_late")]
fn transaction_at_a_retired_pool_may_end_in_time(after: Duration, code: Option<Code>) {
    let mut sim = Simulation::new(14);
    let unit = sim.submit(first_of_transaction(Verb::Write, "w1"));
    sim.run(Duration::from_millis(100));
    sim.retire(Duration::from_secs(4));
    sim.run(after);
    sim.feed(Input::Continue {
        unit_id: unit_id(unit),
        statement: Statement::new("c", Verb::Commit, "c"),
        settings: Vec::new(),
        left: Duration::from_millis(800),
    });
    sim.run(Duration::from_millis(100));
    assert_eq!(sim.answer(unit).failure(), code);
    assert_eq!(
        sim.upstream(0).ran.contains(&"c".to_owned()),
        code.is_none()
    );
    assert_eq!(sim.pool.level(sim.now).running, 0, "the process may end");
}

#[test]
fn statement_in_doubt_is_logged_with_its_upstream() {
    let mut sim = Simulation::new(14);
    sim.upstream(0).health = Health::LosesAnswers;
    sim.submit(single(Verb::Write, "w"));
    sim.run(Duration::from_millis(100));
    let noted = sim.notes.iter().any(|note| {
        matches!(note, Note::Interrupted { request, upstream, in_doubt, .. }
            if request == "w" && *upstream == name(0) && *in_doubt)
    });
    assert!(noted, "{:?}", sim.notes);
}
