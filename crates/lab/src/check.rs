//! Checks of a recorded history: pure functions from what clients saw to what was broken.

mod failover;
mod rate;
mod served;
mod session;
mod writes;

use serde::Deserialize;
use serde::Serialize;

use crate::history::History;

pub use self::failover::write_gap;
pub use self::rate::overshoot;
pub use self::served::Refusals;
pub use self::served::Service;
pub use self::served::service;
pub use self::served::wrongful_refusals;
pub use self::session::stale_reads;
pub use self::writes::WriteFaults;
pub use self::writes::write_faults;

/// Promises that a history breaks; each number must be 0.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Verdict {
    /// Reads that missed an acknowledged write of their session.
    pub stale_reads: u64,
    /// Acknowledged writes that the database does not hold.
    pub lost_writes: u64,
    /// Writes that the database holds more than once.
    pub doubled_writes: u64,
    /// Writes that ran although the answer said that they had not.
    pub false_not_run: u64,
    /// Statements above an account's rate and burst, over every window of time.
    pub overshoot: u64,
}

impl Verdict {
    /// Checks a history.
    #[must_use]
    pub fn of(history: &History) -> Self {
        let writes = write_faults(history);
        let accounts = history.accounts.iter();
        let over = accounts.map(|account| overshoot(account, &history.requests));
        Self {
            stale_reads: stale_reads(&history.requests),
            lost_writes: writes.lost,
            doubled_writes: writes.doubled,
            false_not_run: writes.false_not_run,
            overshoot: over.max().unwrap_or(0),
        }
    }

    /// Tells whether every promise held.
    #[must_use]
    pub fn holds(&self) -> bool {
        *self == Self::default()
    }
}
