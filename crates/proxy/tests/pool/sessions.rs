//! Session settings, prepared statements and accounts on shared connections.

use std::time::Duration;

use mustardbay_proxy::work::PreparedStatement;
use mustardbay_proxy::work::Setting;
use mustardbay_proxy::work::Statement;
use mustardbay_proxy::work::Verb;
use mustardbay_proxy::work::WorkUnit;

use crate::simulation::Simulation;
use crate::units::single;

fn with_setting(id: &str, value: &str) -> WorkUnit {
    WorkUnit {
        settings: vec![Setting {
            name: "v".to_owned(),
            value: value.to_owned(),
        }],
        ..single(Verb::Write, id)
    }
}

fn sent_before(sent: &[String], id: &str) -> Vec<String> {
    let at = sent.iter().position(|s| s == id).expect("it was sent");
    sent[..at].to_vec()
}

#[test]
fn settings_are_applied_before_the_statement() {
    let mut sim = Simulation::new(1);
    let unit = sim.submit(with_setting("w1", "1"));
    sim.run(Duration::from_millis(100));
    assert_eq!(sim.answer(unit).failure(), None);
    let before = sent_before(&sim.upstream(0).sent, "w1");
    assert_eq!(before.last().map(String::as_str), Some("SET v 1"));
}

#[test]
fn settings_of_another_session_are_reset() {
    let mut sim = Simulation::new(1);
    sim.submit(with_setting("w1", "1"));
    sim.run(Duration::from_millis(100));
    sim.submit(single(Verb::Write, "w2"));
    sim.run(Duration::from_millis(100));
    let before = sent_before(&sim.upstream(0).sent, "w2");
    assert_eq!(before.last().map(String::as_str), Some("Reset"));
}

#[test]
fn prepared_statement_is_prepared_once_per_connection() {
    let mut sim = Simulation::new(1);
    let mut statement = Statement::new("e1", Verb::Write, "e1");
    statement.prepared = Some(PreparedStatement {
        writes: true,
        text: "q".to_owned(),
    });
    for _ in 0..2 {
        let unit = WorkUnit {
            statement: statement.clone(),
            ..single(Verb::Write, "e1")
        };
        sim.submit(unit);
        sim.run(Duration::from_millis(100));
    }
    let sent = &sim.upstream(0).sent;
    let prepared = sent.iter().filter(|s| s.starts_with("Prepare")).count();
    assert_eq!(prepared, 1, "{sent:?}");
}

#[test]
fn connections_never_exceed_the_share() {
    let mut sim = Simulation::new(2);
    for number in 0..40 {
        let unit = WorkUnit {
            account: format!("a{}", number % 5),
            ..single(Verb::Write, &format!("w{number}"))
        };
        sim.submit(unit);
        sim.run(Duration::from_millis(15));
        let state = sim.pool.state(sim.now);
        let most = state.connections.values().max().copied().unwrap_or(0);
        assert!(most <= 2, "{most} connections");
    }
}
