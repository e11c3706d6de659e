//! Keys and configuration: in force everywhere within seconds, never reverting.

use std::time::Duration;

use mustardbay_lab::fleet::Fleet;
use mustardbay_lab::fleet::FleetError;
use mustardbay_lab::fleet::Kind;
use mustardbay_lab::fleet::demo;
use tokio::time::Instant;

use crate::caller::count;
use crate::caller::eventually;
use crate::caller::insert;
use crate::caller::set_up_table;

/// Time within which a change must be in force on every vm.
const IN_FORCE_BOUND: Duration = Duration::from_secs(4);

async fn withdraw(fleet: &mut Fleet, account: &str) {
    let mut bundle = fleet.bundle().clone();
    for found in bundle
        .accounts
        .iter_mut()
        .filter(|found| found.name.as_str() == account)
    {
        found.keys.clear();
    }
    fleet.submit(bundle).await.expect("bundle is accepted");
}

#[tokio::test(flavor = "multi_thread")]
async fn withdrawn_on_open_connections() {
    let mut fleet = Fleet::start(demo()).await.expect("fleet starts");
    set_up_table(&fleet).await;
    let mut callers = Vec::new();
    for vm in ["vm1", "vm2", "vm3"] {
        let caller = fleet
            .caller(vm, "bob", "ledger")
            .await
            .expect("caller connects");
        count(&caller).await;
        callers.push(caller);
    }
    withdraw(&mut fleet, "bob").await;
    let withdrawn = Instant::now();
    for caller in &callers {
        eventually("the end of a withdrawn key", async || {
            caller.query("SELECT 1", &[]).await.err()
        })
        .await;
    }
    assert!(
        withdrawn.elapsed() < IN_FORCE_BOUND,
        "stopped after {:?}",
        withdrawn.elapsed()
    );
    for vm in ["vm1", "vm2", "vm3"] {
        let again = fleet.caller(vm, "bob", "ledger").await;
        assert!(
            matches!(again, Err(FleetError::Caller(_))),
            "let in again on {vm}"
        );
    }
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn withdrawn_stays_withdrawn_after_restart_in_outage() {
    let mut fleet = Fleet::start(demo()).await.expect("fleet starts");
    set_up_table(&fleet).await;
    withdraw(&mut fleet, "bob").await;
    for vm in ["vm1", "vm2", "vm3"] {
        eventually("the withdrawal", async || {
            fleet.caller(vm, "bob", "ledger").await.err()
        })
        .await;
    }
    fleet
        .switch_platform("down")
        .await
        .expect("platform is down");
    fleet
        .restart_vm("vm2")
        .await
        .expect("vm restarts from its peers");
    let again = fleet.caller("vm2", "bob", "ledger").await;
    assert!(
        matches!(again, Err(FleetError::Caller(_))),
        "let in again after the restart"
    );
    let caller = fleet
        .caller("vm2", "alice", "ledger")
        .await
        .expect("others are served");
    count(&caller).await;
    fleet.stop().await;
}

/// Reads everything that the fleet shows or writes: logs, states, metrics, and upstreams' states.
async fn everything_shown(fleet: &Fleet) -> String {
    let mut shown = String::new();
    for file in std::fs::read_dir(fleet.directory()).expect("logs are listed") {
        let path = file.expect("a file").path();
        shown.push_str(&std::fs::read_to_string(path).expect("a log is read"));
    }
    for vm in fleet.vms() {
        for kind in [Kind::Entry, Kind::Pool, Kind::Steward] {
            let state = fleet
                .state(vm.as_str(), kind)
                .await
                .expect("state is shown");
            shown.push_str(&state.to_string());
            shown.push_str(
                &fleet
                    .metrics(vm.as_str(), kind)
                    .await
                    .expect("metrics are shown"),
            );
        }
    }
    for upstream in ["ledger-1", "ledger-2", "ledger-3"] {
        let state = fleet
            .upstream_state(upstream)
            .await
            .expect("state is shown");
        shown.push_str(&state.to_string());
    }
    shown
}

#[tokio::test(flavor = "multi_thread")]
async fn never_shown() {
    let fleet = Fleet::start(demo()).await.expect("fleet starts");
    set_up_table(&fleet).await;
    let caller = fleet
        .caller("vm1", "alice", "ledger")
        .await
        .expect("caller connects");
    insert(&caller, 1).await.expect("row is inserted");
    count(&caller).await;
    caller
        .batch_execute("SELECT nonsense")
        .await
        .expect_err("a statement fails");
    let shown = everything_shown(&fleet).await;
    assert!(
        shown.contains("INSERT INTO entries"),
        "the upstreams show their statements"
    );
    assert!(!shown.contains(&fleet.key("alice")), "a key is shown");
    fleet.stop().await;
}
