//! Transactions that are open when their upstream fails or is replaced.

use std::time::Duration;

use mustardbay_proxy::pool::Input;
use mustardbay_proxy::pool::Note;
use mustardbay_proxy::pool::Outcome;
use mustardbay_proxy::pool::Role;
use mustardbay_proxy::work::Code;
use mustardbay_proxy::work::PreparedStatement;
use mustardbay_proxy::work::Setting;
use mustardbay_proxy::work::Statement;
use mustardbay_proxy::work::TransactionState;
use mustardbay_proxy::work::Verb;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use test_case::test_case;

use crate::fake_upstream::Health;
use crate::simulation::Simulation;
use crate::units::first_of_transaction;
use crate::units::unit_id;

/// What has to be sent before a later statement of a transaction.
#[derive(Debug, Clone, Copy)]
enum Setup {
    Setting,
    Prepare,
    Nothing,
}

/// Returns the next statement of a transaction, for which `setup` has to be sent first.
fn next(unit: u64, id: &str, verb: Verb, setup: Setup) -> Input {
    let mut statement = Statement::new(id, verb, id);
    let mut settings = Vec::new();
    match setup {
        Setup::Setting => settings.push(Setting {
            name: "v".to_owned(),
            value: id.to_owned(),
        }),
        Setup::Prepare => {
            statement.prepared = Some(PreparedStatement {
                writes: verb == Verb::Write,
                text: id.to_owned(),
            });
        }
        Setup::Nothing => {}
    }
    Input::Continue {
        unit_id: unit_id(unit),
        statement,
        settings,
        left: Duration::from_millis(800),
    }
}

/// Returns a simulation with a transaction whose first statement, `w1`, has been answered.
fn with_open_transaction() -> (Simulation, u64) {
    let mut sim = Simulation::new(14);
    let unit = sim.submit(first_of_transaction(Verb::Write, "w1"));
    sim.run(Duration::from_millis(100));
    assert_eq!(sim.answer(unit).failure(), None);
    sim.done.clear();
    (sim, unit)
}

/// Replaces the first upstream as primary; it refuses what is still open there.
fn replace_primary(sim: &mut Simulation, code: Code) {
    sim.upstream(0).role = Role::Replica;
    sim.upstream(0).refuses_open = Some(code);
    sim.upstream(1).role = Role::Primary;
    sim.upstream(1).applied.term.0 += 1;
}

/// Guards against a later statement, or a commit, that is answered by a rerun of the first (MIXED).
#[test_case(Verb::Write, Setup::Prepare, Code::ReadOnly; "prepare_before_a_write")]
#[test_case(Verb::Read, Setup::Prepare, Code::ReadOnly; "prepare_before_a_read")]
#[test_case(Verb::Write, Setup::Setting, Code::ReadOnly; "set_before_a_write")]
#[test_case(Verb::Commit, Setup::Setting, Code::ReadOnly; "set_before_a_commit")]
#[test_case(Verb::Commit, Setup::Setting, Code::Busy; "set_refused_as_busy")]
#[test_case(Verb::Commit, Setup::Setting, Code::Failed; "set_that_fails")]
fn refused_setup_of_a_later_statement_aborts_the_transaction(verb: Verb, setup: Setup, code: Code) {
    let (mut sim, unit) = with_open_transaction();
    replace_primary(&mut sim, code);
    sim.feed(next(unit, "w2", verb, setup));
    sim.run(Duration::from_secs(1));
    assert_eq!(sim.answer(unit).failure(), Some(Code::Aborted));
    assert_eq!(sim.answer(unit).state(), TransactionState::Failed);
    assert_eq!(sim.upstream(0).ran, ["w1"]);
    assert!(sim.upstream(1).ran.is_empty(), "nothing is begun elsewhere");
    let told = sim.notes.iter().any(|note| {
        matches!(note, Note::Interrupted { request, in_doubt, .. } if request == "w2" && !in_doubt)
    });
    assert!(told, "operators find it in the log");
}

/// Guards against the same rerun when the setup is not refused but gets no answer (MIXED).
#[test_case(Health::Silent; "silent")]
#[test_case(Health::Down; "broken")]
fn unanswered_setup_of_a_later_statement_aborts_the_transaction(health: Health) {
    let (mut sim, unit) = with_open_transaction();
    sim.upstream(1).role = Role::Primary;
    sim.upstream(1).applied.term.0 += 1;
    sim.set_health(0, health);
    sim.feed(next(unit, "c", Verb::Commit, Setup::Setting));
    sim.run(Duration::from_secs(2));
    assert_eq!(sim.answer(unit).failure(), Some(Code::Aborted));
    assert!(!sim.upstream(1).ran.contains(&"w1".to_owned()));
}

/// A transaction of which nothing was answered still moves to the new primary.
#[test]
fn refused_first_statement_runs_at_the_new_primary() {
    let mut sim = Simulation::new(14);
    sim.upstream(0).refuses_open = Some(Code::ReadOnly);
    let unit = sim.submit(first_of_transaction(Verb::Write, "w1"));
    sim.run(Duration::from_millis(5));
    replace_primary(&mut sim, Code::ReadOnly);
    sim.run(Duration::from_millis(400));
    assert_eq!(sim.answer(unit).failure(), None);
    assert!(sim.upstream(0).ran.is_empty());
    assert_eq!(sim.upstream(1).ran, ["w1"]);
}

/// Guards against answers of another statement, whatever fails in between (MIXED).
///
/// Each of the 50 seeds runs 40 transactions beside losses and replacements of the primary.
#[test]
fn success_is_always_of_the_statement_that_it_answers() {
    for seed in 0..50 {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut sim = Simulation::new(14);
        for number in 0..40 {
            run_transaction(&mut sim, &mut random, number);
        }
        for upstream in 0..2 {
            let mut ran = sim.upstream(upstream).ran.clone();
            ran.sort_unstable();
            let all = ran.len();
            ran.dedup();
            assert_eq!(ran.len(), all, "seed {seed}: one ran twice there");
        }
    }
}

/// Runs a transaction of up to six statements; checks what each of its answers is of.
fn run_transaction(sim: &mut Simulation, random: &mut SmallRng, number: u32) {
    let first = format!("t{number}-0");
    let unit = sim.submit(first_of_transaction(Verb::Write, &first));
    let mut asked = first;
    for place in 1..=random.random_range(1..6) {
        sim.run(Duration::from_millis(random.random_range(5..80)));
        disturb(sim, random);
        sim.run(Duration::from_secs(2));
        let Some((_, outcome)) = sim.done.remove(&unit) else {
            panic!("{asked} got no outcome");
        };
        match outcome {
            Outcome::Answered(answer) if answer.failure().is_none() => {
                assert_eq!(answer.signature, Some(asked), "answer of another statement");
            }
            Outcome::Answered(_) | Outcome::Refused(_) => break,
        }
        disturb(sim, random);
        let verb = [Verb::Write, Verb::Read, Verb::Commit][random.random_range(0..3)];
        let setup = [Setup::Setting, Setup::Prepare, Setup::Nothing][random.random_range(0..3)];
        asked = format!("t{number}-{place}");
        sim.feed(next(unit, &asked, verb, setup));
    }
    sim.feed(Input::Release(unit_id(unit)));
    sim.set_health(0, Health::Up);
    sim.set_health(1, Health::Up);
    sim.run(Duration::from_secs(2));
    sim.done.clear();
}

/// Replaces the primary, or breaks its connections or answers; half of the time nothing.
fn disturb(sim: &mut Simulation, random: &mut SmallRng) {
    let primary = usize::from(sim.upstream(1).role == Role::Primary);
    match random.random_range(0..8) {
        0 | 1 => {
            let term = sim.upstream(primary).applied.term.0 + 1;
            sim.upstream(primary).role = Role::Replica;
            sim.upstream(primary).refuses_open = Some(Code::ReadOnly);
            let next = sim.upstream(1 - primary);
            next.role = Role::Primary;
            next.refuses_open = None;
            next.applied.term.0 = term;
        }
        2 => sim.set_health(primary, Health::LosesAnswers),
        3 => sim.set_health(primary, Health::Down),
        _ => {}
    }
}
