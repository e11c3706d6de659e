//! Settings files of a vm.

use std::path::Path;
use std::time::Duration;

use mustardbay_process::settings::load;
use mustardbay_proxy::settings::VmSettings;
use test_case::test_case;

fn example() -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/vm.yaml");
    std::fs::read_to_string(path).expect("the example is there")
}

fn load_text(text: &str) -> Result<VmSettings, String> {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let path = folder.path().join("vm.yaml");
    std::fs::write(&path, text).expect("a temporary file");
    load(path).map_err(|e| e.to_string())
}

#[test]
fn settings_example_is_valid() {
    let settings = load_text(&example()).expect("the example loads");
    assert_eq!(settings.vm.as_str(), "vm1");
    assert_eq!(settings.grace(), Duration::from_secs(6));
    assert_eq!(settings.cores.weight(), 250);
}

/// Files of the last version name each bound in milliseconds.
#[test_case("grace: 6s", "grace_ms: 6500", 6_500; "milliseconds")]
#[test_case("grace: 6s", "grace_ms: 6500.0", 6_500; "milliseconds_as_a_fraction")]
#[test_case("grace: 6s", "grace: 0.5min", 30_000; "minutes")]
#[test_case("grace: 6s", "# grace: 6s", 5_000; "absent")]
fn grace_is_read(from: &str, to: &str, millis: u64) {
    let settings = load_text(&example().replacen(from, to, 1)).expect("valid");
    assert_eq!(settings.grace(), Duration::from_millis(millis));
}

#[test_case("grace: 6s", "grace: 6s\n  grace_ms: 6000", "key bounds: "; "twice")]
#[test_case("grace: 6s", "graces: 6s", "key bounds.graces: "; "unknown_key")]
#[test_case("vm: vm1", "vm: ''", "key vm: "; "empty_name")]
#[test_case("entry: 127.0.0.1:7432", "entry: here", "key listen.entry: "; "address")]
fn settings_error_names(from: &str, to: &str, key: &str) {
    let error = load_text(&example().replacen(from, to, 1)).expect_err("not valid");
    assert!(error.contains(key), "{key} in {error}");
}
