//! Settings file that changes while the vm runs, with or without SIGHUP.

use std::path::PathBuf;
use std::time::Duration;

use mustardbay_process::settings;
use mustardbay_process::timer::Timer;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::settings::VmSettings;

/// Time between two looks at a file that may change without a signal.
const LOOK_EVERY: Duration = Duration::from_secs(5);

/// What a look at the settings file showed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Look {
    /// It says what is in force.
    Same,
    /// It is valid and says something else, which is in force from the next start.
    Changed,
    /// It cannot be used; what is in force stays so.
    Refused,
}

/// Watches the settings file for the life of the process.
///
/// # Errors
///
/// Fails if the signal handler cannot be installed.
pub fn watch(path: PathBuf, running: VmSettings, timer: &Timer) -> std::io::Result<()> {
    let mut hangups = signal(SignalKind::hangup())?;
    let mut ticks = timer.every(LOOK_EVERY);
    tokio::spawn(async move {
        let mut last = Look::Same;
        loop {
            let signalled = tokio::select! {
                hangup = hangups.recv() => hangup.is_some(),
                tick = ticks.recv() => match tick {
                    Some(_) => false,
                    None => return,
                },
            };
            let seen = look(&path, &running);
            if signalled || seen != last {
                tracing::info!(event = "settings_looked_at", signalled, result = ?seen);
            }
            last = seen;
        }
    });
    Ok(())
}

/// Reads the settings file and compares it with what is in force.
pub fn look(path: &PathBuf, running: &VmSettings) -> Look {
    match settings::load::<VmSettings>(path) {
        Ok(read) if read == *running => Look::Same,
        Ok(_) => Look::Changed,
        Err(e) => {
            tracing::warn!(event = "settings_refused", error = %e);
            Look::Refused
        }
    }
}
