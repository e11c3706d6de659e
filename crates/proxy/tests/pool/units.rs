//! Units of work that the tests of the pool submit.

use mustardbay_proxy::pool::UnitId;
use mustardbay_proxy::work::Guarantee;
use mustardbay_proxy::work::Statement;
use mustardbay_proxy::work::Verb;
use mustardbay_proxy::work::WorkUnit;

/// Returns the id of the unit with a number.
pub fn unit_id(number: u64) -> UnitId {
    UnitId { link: 1, number }
}

/// Returns a single statement of account `a0` with the guarantee `Primary`.
pub fn single(verb: Verb, id: &str) -> WorkUnit {
    WorkUnit {
        statement: Statement::new(id, verb, id),
        account: "a0".to_owned(),
        group: "g".to_owned(),
        guarantee: Guarantee::Primary.into(),
        priority: 1,
        left_ms: 800,
        objective_ms: 250,
        ..WorkUnit::default()
    }
}

/// Returns a single read with a staleness bound of 1.5 s.
pub fn bounded_read(id: &str) -> WorkUnit {
    WorkUnit {
        guarantee: Guarantee::BoundedStaleness.into(),
        staleness_ms: 1_500,
        ..single(Verb::Read, id)
    }
}

/// Returns the first statement of a transaction that may write.
pub fn first_of_transaction(verb: Verb, id: &str) -> WorkUnit {
    WorkUnit {
        begin: Some(Statement::new(format!("{id}-begin"), Verb::Begin, "BEGIN")),
        ..single(verb, id)
    }
}
