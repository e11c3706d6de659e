//! Choice of the upstream for reads.

use std::time::Duration;

use mustardbay_policy::position::Position;
use mustardbay_proxy::pool::Role;
use mustardbay_proxy::work::Guarantee;
use mustardbay_proxy::work::Verb;
use mustardbay_proxy::work::WorkUnit;

use crate::fake_upstream::Health;
use crate::simulation::Simulation;
use crate::simulation::position;
use crate::units::bounded_read;
use crate::units::single;

#[test]
fn read_bounded_runs_on_a_replica_after_the_primarys_position() {
    let mut sim = Simulation::new(14);
    let read = sim.submit(bounded_read("r"));
    sim.run(Duration::from_millis(100));
    assert_eq!(sim.answer(read).failure(), None);
    assert!(
        sim.upstream(0).ran.is_empty(),
        "the primary is reserved for writes"
    );
    let sent: Vec<String> = [1, 2]
        .iter()
        .flat_map(|i| sim.upstream(*i).sent.clone())
        .collect();
    assert!(sent.contains(&"AFTER 1:100 r".to_owned()), "{sent:?}");
}

#[test]
fn read_primary_runs_in_a_transaction_that_proves_the_primary() {
    let mut sim = Simulation::new(14);
    let read = sim.submit(single(Verb::Read, "r"));
    sim.run(Duration::from_millis(100));
    assert_eq!(sim.answer(read).failure(), None);
    let sent = &sim.upstream(0).sent;
    let begin = sent.iter().position(|s| s == "Begin").expect("begun");
    assert_eq!(sent[begin + 1..=begin + 2], ["r", "Rollback"]);
}

#[test]
fn read_never_runs_on_a_former_primary() {
    let mut sim = Simulation::new(14);
    sim.upstream(0).role = Role::Replica;
    sim.upstream(1).role = Role::Primary;
    sim.upstream(1).applied = Position::new(2, 101);
    let read = sim.submit(single(Verb::Read, "r"));
    sim.run(Duration::from_millis(700));
    assert!(sim.upstream(0).ran.is_empty());
    assert_eq!(sim.answer(read).failure(), None);
    assert_eq!(sim.upstream(1).ran, ["r"]);
}

#[test]
fn read_own_write_covers_the_sessions_commit() {
    let mut sim = Simulation::new(14);
    sim.upstream(0).applied = position(140);
    let unit = WorkUnit {
        guarantee: Guarantee::ReadYourWrites.into(),
        floor: Some(position(130).into()),
        ..bounded_read("r")
    };
    let read = sim.submit(unit);
    sim.run(Duration::from_millis(200));
    assert_eq!(sim.answer(read).failure(), None);
    assert_eq!(sim.upstream(0).ran, ["r"], "no replica holds the commit");
}

/// Guards against use of replicas that lag by 4 s: both refused each read before the primary ran
/// it.
#[test]
fn read_bounded_does_not_try_replicas_behind_its_floor() {
    let mut sim = Simulation::new(14);
    for second in 0..40_u64 {
        sim.upstream(0).applied = position(200 + second);
        sim.run(Duration::from_millis(100));
    }
    for index in [1, 2] {
        sim.upstream(index).sent.clear();
    }
    let mut reads = Vec::new();
    for number in 0..20 {
        reads.push(sim.submit(bounded_read(&format!("r{number}"))));
        sim.run(Duration::from_millis(25));
    }
    sim.run(Duration::from_millis(200));
    for read in reads {
        assert_eq!(sim.answer(read).failure(), None);
    }
    let refused: usize = [1, 2]
        .iter()
        .map(|i| {
            sim.upstream(*i)
                .sent
                .iter()
                .filter(|s| s.starts_with("AFTER"))
                .count()
        })
        .sum();
    assert!(refused <= 2, "{refused} reads went to replicas that lag");
}

#[test]
fn read_bounded_after_silence_uses_no_stale_position() {
    let mut sim = Simulation::new(14);
    sim.set_health(0, Health::Silent);
    sim.upstream(1).role = Role::Replica;
    sim.run(Duration::from_secs(3));
    let read = sim.submit(bounded_read("r"));
    sim.run(Duration::from_secs(1));
    let ran = sim.upstream(1).ran.len() + sim.upstream(2).ran.len();
    assert_eq!(ran, 0, "no known position is fresh enough");
    assert!(sim.done.contains_key(&read), "it is refused, not queued");
}
