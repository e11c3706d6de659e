//! Checks a recorded history for violated guarantees.
//!
//! Every check is a pure function of what the clients recorded and what the database held after the
//! run.

mod overshoot;
mod service;
mod stale_reads;
mod write_faults;
mod write_gap;

use serde::Deserialize;
use serde::Serialize;

use crate::history::History;

pub use self::overshoot::overshoot;
pub use self::service::Refusals;
pub use self::service::Service;
pub use self::service::service;
pub use self::service::wrongful_refusals;
pub use self::stale_reads::stale_reads;
pub use self::write_faults::WriteFaults;
pub use self::write_faults::write_faults;
pub use self::write_gap::write_gap;

/// Violations of each guarantee in a history; a correct run has 0 of each.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Verdict {
    /// Reads that did not see an earlier acknowledged write of their session.
    pub stale_reads: u64,
    /// Acknowledged writes that are missing from the database.
    pub lost_writes: u64,
    /// Writes that are in the database more than once.
    pub doubled_writes: u64,
    /// Writes that ran although their client was told that they did not.
    pub false_not_run: u64,
    /// Statements beyond rate and burst, of the worst account in its worst time window.
    pub overshoot: u64,
}

impl Verdict {
    /// Runs every check on a history.
    #[must_use]
    pub fn of(history: &History) -> Self {
        let writes = write_faults(history);
        let accounts = history.accounts.iter();
        let overshoots = accounts.map(|account| overshoot(account, &history.requests));
        Self {
            stale_reads: stale_reads(&history.requests),
            lost_writes: writes.lost,
            doubled_writes: writes.doubled,
            false_not_run: writes.false_not_run,
            overshoot: overshoots.max().unwrap_or(0),
        }
    }

    /// Returns whether the history violates no guarantee.
    #[must_use]
    pub fn holds(&self) -> bool {
        *self == Self::default()
    }
}
