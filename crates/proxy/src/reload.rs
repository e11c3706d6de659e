//! Detection of changes to the settings file while the vm runs, with or without SIGHUP.

use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use mustardbay_process::settings;
use mustardbay_process::timer::Timer;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::settings::VmSettings;
use crate::sync::lock;

/// Time between two checks of the file, which may change without a signal.
const CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Result of comparing the settings file with the running settings.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum ReloadCheck {
    /// The file equals the running settings.
    #[default]
    Same,
    /// The file is valid and differs; it takes effect at the next start.
    Changed,
    /// The file is invalid, for this reason; the running settings stay in force, and a start would fail.
    Refused(String),
}

impl ReloadCheck {
    /// Names of all results, in logs and metrics.
    pub const NAMES: [&str; 3] = ["same", "changed", "refused"];

    /// Returns the name used in logs and metrics.
    #[must_use]
    pub fn name(&self) -> &'static str {
        let [same, changed, refused] = Self::NAMES;
        match self {
            Self::Same => same,
            Self::Changed => changed,
            Self::Refused(_) => refused,
        }
    }
}

/// State of the settings file as last checked, shared with the metrics.
#[derive(Debug, Clone, Default)]
pub struct FileState(Arc<Mutex<ReloadCheck>>);

impl FileState {
    /// Returns the result of the last check.
    #[must_use]
    pub fn get(&self) -> ReloadCheck {
        lock(&self.0).clone()
    }

    /// Notes the result of a check; returns whether it differs from the last one.
    fn note(&self, result: &ReloadCheck) -> bool {
        let mut last = lock(&self.0);
        let differs = *last != *result;
        last.clone_from(result);
        differs
    }
}

/// Checks the settings file regularly and on SIGHUP, until the process ends.
///
/// A check is logged if it was asked for by SIGHUP, or if its result differs from the last one.
///
/// # Errors
///
/// Fails if the signal handler cannot be installed.
pub fn watch(path: PathBuf, running: VmSettings, timer: &Timer) -> std::io::Result<FileState> {
    let mut hangups = signal(SignalKind::hangup())?;
    let mut ticks = timer.every(CHECK_INTERVAL);
    let state = FileState::default();
    let noted = state.clone();
    tokio::spawn(async move {
        loop {
            let signalled = tokio::select! {
                hangup = hangups.recv() => hangup.is_some(),
                tick = ticks.recv() => match tick {
                    Some(_) => false,
                    None => return,
                },
            };
            let result = check(&path, &running);
            if noted.note(&result) || signalled {
                log(&result, signalled);
            }
        }
    });
    Ok(state)
}

/// Reads the settings file and compares it with the running settings.
#[must_use]
pub fn check(path: &Path, running: &VmSettings) -> ReloadCheck {
    match settings::load::<VmSettings>(path) {
        Ok(read) if read == *running => ReloadCheck::Same,
        Ok(_) => ReloadCheck::Changed,
        Err(e) => ReloadCheck::Refused(e.to_string()),
    }
}

fn log(result: &ReloadCheck, signalled: bool) {
    let name = result.name();
    match result {
        ReloadCheck::Same | ReloadCheck::Changed => {
            tracing::info!(event = "settings_rechecked", signalled, result = name);
        }
        ReloadCheck::Refused(error) => {
            tracing::warn!(event = "settings_refused", signalled, result = name, error);
        }
    }
}
