//! Writes: each acknowledged one is held once, and none ran that was said not to have.

use crate::history::Action;
use crate::history::Ending;
use crate::history::History;

/// Writes that a history shows to have gone wrong.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WriteFaults {
    /// Acknowledged writes that the database does not hold.
    pub lost: u64,
    /// Writes that the database holds more than once.
    pub doubled: u64,
    /// Writes that ran although the answer said that they had not.
    pub false_not_run: u64,
}

/// Compares what clients were told with what the database held after the run.
#[must_use]
pub fn write_faults(history: &History) -> WriteFaults {
    let mut faults = WriteFaults::default();
    let Some(found) = &history.found else {
        return faults;
    };
    let writes = history.requests.iter();
    for write in writes.filter(|request| request.action == Action::Write) {
        let rows = found.get(&write.id).copied().unwrap_or(0);
        if rows > 1 {
            faults.doubled += 1;
        }
        match write.ending {
            Ending::Done { .. } if rows == 0 => faults.lost += 1,
            Ending::NotRun { .. } | Ending::Unsent if rows > 0 => faults.false_not_run += 1,
            _ => {}
        }
    }
    faults
}
