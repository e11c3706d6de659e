//! Evacuations as `mustardbay evacuations` shows them.

use mustardbay::Evacuations;
use mustardbay::VmEvacuations;
use serde_json::Value;
use serde_json::json;
use test_case::test_case;

fn shown(state: Value) -> String {
    let vm = ("vm1".to_owned(), VmEvacuations::read(state));
    Evacuations([vm].into()).to_string()
}

#[test_case(json!({"evacuated": [], "pools": {}}), "vm1: no domain is evacuated\n"; "none")]
#[test_case(
    json!({
        "vm": "vm1",
        "evacuated": [{"domain": "d1", "since_ms": 900, "serves_ms": 3_700}],
        "pools": {"g1": {"home": true, "evacuated": {"u1": 2, "u2": 0}}, "g2": {"evacuated": {}}},
    }),
    "vm1: d1 for 900 ms at most, its primaries serve 3700 ms more\n  g1 u1: 2 running\n";
    "one with work left"
)]
#[test_case(
    json!({"evacuated": [{"domain": "d1", "since_ms": null, "serves_ms": 0}], "pools": {}}),
    "vm1: d1 since before the vm's start\n";
    "known from the start"
)]
fn evacuations_are_shown(state: Value, expected: &str) {
    assert_eq!(shown(state), expected);
}

#[test]
fn state_without_evacuations_is_named() {
    let text = shown(json!({"vm": "vm1"}));
    assert!(
        text.starts_with("vm1: its state shows no evacuations"),
        "{text}"
    );
}
