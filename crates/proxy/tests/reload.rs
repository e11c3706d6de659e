//! Changes to the settings file while a vm runs.

use std::path::PathBuf;

use mustardbay_process::settings;
use mustardbay_process::timer::Timer;
use mustardbay_proxy::reload;
use mustardbay_proxy::reload::ReloadCheck;
use mustardbay_proxy::reload::check;
use mustardbay_proxy::settings::VmSettings;
use nix::sys::signal::Signal;
use nix::unistd::Pid;
use test_case::test_case;

const FILE: &str = "vm: vm0
domain: d0
listen: {entry: 127.0.0.1:1, ready: 127.0.0.1:2, link: 127.0.0.1:3, admin: 127.0.0.1:4}
platform: {store: 127.0.0.1:5, control: 127.0.0.1:6}
bounds: {withdrawal_ms: 5000, grace_ms: 6000, rate_window_ms: 5000}
cores: 0.25
";

fn written(folder: &tempfile::TempDir, text: &str) -> PathBuf {
    let path = folder.path().join("vm.yaml");
    std::fs::write(&path, text).expect("a temporary file");
    path
}

#[test_case("d0", "d0", "same"; "same")]
#[test_case("grace_ms: 6000", "grace: 6s", "same"; "same_grace_in_seconds")]
#[test_case("6000", "8000", "changed"; "other_grace")]
#[test_case("6000", "8.5", "changed"; "short_grace")]
#[test_case("6000", "-8", "refused"; "value_out_of_bounds")]
#[test_case("cores", "kernels", "refused"; "unknown_key")]
#[test_case("cores", "limits: {memory_mb: 160, descriptors: 4300}\ncores", "same"; "default_limits")]
#[test_case("cores", "limits: {memory_mb: 512}\ncores", "changed"; "more_memory")]
#[test_case("cores", "limits: {descriptors: 200}\ncores", "refused"; "no_socket")]
fn check_compares_with_the_running_settings(from: &str, to: &str, expected: &str) {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let path = written(&folder, FILE);
    let running = settings::load::<VmSettings>(&path).expect("valid");
    written(&folder, &FILE.replace(from, to));
    assert_eq!(check(&path, &running).name(), expected);
}

/// SIGHUP used to end the process of every vm.
#[tokio::test]
async fn hangup_does_not_end_the_process() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let path = written(&folder, FILE);
    let running = settings::load::<VmSettings>(&path).expect("valid");
    let timer = Timer::new();
    let state = reload::watch(path, running, &timer).expect("the handler is installed");
    assert_eq!(state.get(), ReloadCheck::Same);
    nix::sys::signal::kill(Pid::this(), Signal::SIGHUP).expect("it is sent");
    tokio::time::sleep(std::time::Duration::from_millis(100)).await;
}
