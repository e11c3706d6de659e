//! Settings files of the steward.

use std::path::Path;

use mustardbay_process::settings::SettingsError;
use mustardbay_process::settings::load;
use mustardbay_steward::StewardSettings;
use test_case::test_case;

fn example() -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/steward.yaml");
    std::fs::read_to_string(path).expect("the example is there")
}

fn load_text(text: &str) -> Result<StewardSettings, SettingsError> {
    let dir = tempfile::tempdir().expect("a directory can be made");
    let path = dir.path().join("steward.yaml");
    std::fs::write(&path, text).expect("the file can be written");
    load(path)
}

#[test]
fn settings_example_is_valid() {
    let settings = load_text(&example()).expect("the example loads");
    assert_eq!(settings.vm.as_str(), "vm1");
    assert!(!format!("{settings:?}").contains(&settings.login.password));
}

#[test_case("vm: vm1", "vm: ''", "key vm: "; "empty_name")]
#[test_case("local: 127.0.0.1:9301", "local: here", "local"; "address")]
#[test_case("- http://127.0.0.1:2379", "- ftp://127.0.0.1:2379", "platform"; "platform_scheme")]
#[test_case("- 0000", "- zzzz", "signers"; "signer")]
#[test_case("- 127.0.0.1:9402", "- vm2", "seeds"; "seed")]
#[test_case("vm: vm1", "vm: vm1\ncolour: red", "colour"; "unknown_key")]
fn settings_error_names(from: &str, to: &str, key: &str) {
    let error = load_text(&example().replacen(from, to, 1)).expect_err("the value is wrong");
    let text = error.to_string();
    assert!(
        text.contains("steward.yaml") && text.contains(key),
        "{text}"
    );
}

/// The error showed the lines around its place, which may hold the password.
#[test_case("user: mustardbay", "user: [x]"; "user")]
#[test_case("password: change-me", "password: [change-me]"; "wrong_type")]
#[test_case("password: change-me", "password: \"change-me"; "open_quotes")]
#[test_case("password: change-me", "pasword: change-me"; "mistyped_key")]
#[test_case("login:", "logon:"; "mistyped_table")]
#[test_case("login:", "login: x"; "no_table")]
#[test_case("login:\n  user: mustardbay\n  password: change-me", "logon: {user: a, password: change-me}"; "mistyped_table_on_one_line")]
fn settings_error_hides_the_password(from: &str, to: &str) {
    let error = load_text(&example().replacen(from, to, 1)).expect_err("the value is wrong");
    assert!(!error.to_string().contains("change-me"), "{error}");
}
