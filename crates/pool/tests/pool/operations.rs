//! View changes and what operators see.

use mustardbay_policy::position::Term;
use mustardbay_policy::refusal::Outcome;
use mustardbay_policy::refusal::Reason;
use mustardbay_wire::Mode;

use crate::fixture::Fixture;
use crate::fixture::eventually;

#[tokio::test]
async fn term_change_refused() {
    let fixture = Fixture::start().await;
    let mut entry = fixture.entry().await;
    entry.sql("p", Mode::Write, "INSERT 1").await;
    fixture.steward.change(|view| {
        let state = view.groups.get_mut(&"g".into()).expect("group");
        state.term = Term(2);
    });
    let pool = fixture.pool.clone();
    eventually("new view", || pool.dump()["groups"]["g"]["term"] == 2).await;
    let refusal = entry.sql("p", Mode::Write, "INSERT 2").await.refusal();
    assert_eq!(refusal.reason, Reason::StaleTerm);
    assert_eq!(refusal.outcome, Outcome::NotRun);
    assert_eq!(fixture.primary.statements(), ["INSERT 1"]);
}

#[tokio::test]
async fn dump_masks_password() {
    let fixture = Fixture::start().await;
    let mut entry = fixture.entry().await;
    entry.sql("r", Mode::Read, "SELECT 1").await;
    let dump = fixture.pool.dump().to_string();
    assert!(dump.contains("\"upstream\":\"r\""), "{dump}");
    assert!(!dump.contains("secret"), "{dump}");
}
