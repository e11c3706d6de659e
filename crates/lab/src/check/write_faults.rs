//! Write check: acknowledged writes are stored once, and writes reported as not run are not stored.

use crate::history::Action;
use crate::history::Ending;
use crate::history::History;

/// Counts of writes whose stored rows contradict the outcome that the client was told.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WriteFaults {
    /// Acknowledged writes that are missing from the database.
    pub lost: u64,
    /// Writes that are in the database more than once.
    pub doubled: u64,
    /// Writes that ran although their client was told that they did not.
    pub false_not_run: u64,
}

/// Compares the outcomes that clients were told with the rows in the database after the run.
///
/// Returns no faults if the history holds no rows, since nobody read the database then.
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
