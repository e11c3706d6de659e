//! Settings files of the pool.

use std::path::Path;

use mustardbay_pool::PoolSettings;
use mustardbay_process::settings::load;
use test_case::test_case;

#[test_case("drain_ms: 8000", Ok(8_000); "example")]
#[test_case("drain_ms: 2500.5", Ok(2_500); "fraction")]
#[test_case("drain_ms: -1", Err("key drain_ms: "); "negative")]
#[test_case("drain_ms: 1e18", Err("key drain_ms: "); "too_long")]
fn drain_time_is_read(line: &str, expected: Result<u128, &str>) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/pool.yaml");
    let text = std::fs::read_to_string(path).expect("the example is there");
    let folder = tempfile::tempdir().expect("a temporary folder");
    let file = folder.path().join("pool.yaml");
    std::fs::write(&file, text.replacen("drain_ms: 8000", line, 1)).expect("a temporary file");
    let read = load::<PoolSettings>(file).map_err(|e| e.to_string());
    match (read, expected) {
        (Ok(settings), Ok(millis)) => assert_eq!(settings.drain_ms.get().as_millis(), millis),
        (Err(error), Err(key)) => assert!(error.contains(key), "{key} in {error}"),
        (read, _) => panic!("{read:?}"),
    }
}
