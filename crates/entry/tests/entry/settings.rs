//! Settings files of the entry.

use std::path::Path;
use std::time::Duration;

use mustardbay_entry::EntrySettings;
use mustardbay_process::settings::load;
use test_case::test_case;

/// Loads the example with one replacement.
fn load_example(from: &str, to: &str) -> Result<EntrySettings, String> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/entry.yaml");
    let text = std::fs::read_to_string(path).expect("the example is there");
    let folder = tempfile::tempdir().expect("a temporary folder");
    let file = folder.path().join("entry.yaml");
    std::fs::write(&file, text.replacen(from, to, 1)).expect("a temporary file");
    load(file).map_err(|e| e.to_string())
}

#[test_case("", "", 30_000; "example")]
#[test_case("drain_ms: 30000", "drain_ms: 2500.0", 2_500; "fraction")]
#[test_case("drain_ms: 30000", "drain_ms: 0", 0; "none")]
fn drain_time_is_read(from: &str, to: &str, millis: u64) {
    let settings = load_example(from, to).expect("valid");
    let time = settings.limits.drain_ms.get();
    assert_eq!(time, Duration::from_millis(millis));
}

/// Any time was accepted, and a wrong one refused without its range.
#[test_case("startup_ms: 10000", "startup_ms: 18446744073709551615", "limits.startup_ms"; "too_long")]
#[test_case("answer_ms: 60000", "answer_ms: 0", "limits.answer_ms"; "too_short")]
#[test_case("message_ms: 60000", "message_ms: 60s", "limits.message_ms"; "unit_twice")]
fn settings_error_names(from: &str, to: &str, key: &str) {
    let error = load_example(from, to).expect_err("not valid");
    let allowed = "allowed: 1 to 31536000000 milliseconds";
    assert!(error.contains(key) && error.contains(allowed), "{error}");
}
