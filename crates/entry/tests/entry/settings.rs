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

/// Any time was accepted, and what is no whole number was refused without its range.
#[test_case("startup_ms: 10000", "startup_ms: 18446744073709551615", "1 to 31536000000 milliseconds"; "too_long")]
#[test_case("answer_ms: 60000", "answer_ms: 0", "1 to 31536000000 milliseconds"; "too_short")]
#[test_case("message_ms: 60000", "message_ms: 60s", "1 to 31536000000 milliseconds"; "unit_twice")]
#[test_case("connections: 10000", "connections: 0", "1 to 1000000000000000"; "no_connections")]
#[test_case("connections: 10000", "connections: many", "1 to 1000000000000000"; "no_number")]
#[test_case("batch_bytes: 8388608", "batch_bytes: 8388609", "1 to 8388608"; "beyond_a_frame")]
#[test_case("# memory_bytes: 268435456", "memory_bytes: -1", "1 to 1000000000000000"; "negative")]
fn settings_error_names(from: &str, to: &str, allowed: &str) {
    let error = load_example(from, to).expect_err("not valid");
    let (key, value) = to.split_once(": ").expect("key and value");
    for word in [key, value, allowed] {
        assert!(error.contains(word), "{word} in {error}");
    }
}

#[test_case("connections: 10000", "connections: 1e4", 10_000; "exponent")]
#[test_case("connections: 10000", "connections: 10000.0", 10_000; "point")]
#[test_case("# memory_bytes: 268435456", "memory_bytes: null", 10_000; "memory_of_the_machine")]
fn connections_are_read(from: &str, to: &str, connections: usize) {
    let settings = load_example(from, to).expect("valid");
    assert_eq!(settings.limits.connections, connections);
    assert_eq!(settings.limits.memory_bytes, None);
}
