//! Schedule of the ledger reads.

use std::collections::hash_map::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::time::Duration;

use mustardbay_policy::escrow::HolderId;

/// Time between reads while no share needs one sooner.
const IDLE_PERIOD: Duration = Duration::from_mins(1);
/// Delay after the first failed read, doubled after each further one.
const INITIAL_BACKOFF: Duration = Duration::from_secs(1);
/// Maximum delay after failed reads.
const MAX_BACKOFF: Duration = Duration::from_secs(8);
/// Time after which a read without a result no longer blocks the next one.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Schedule of the ledger reads, which are rare unless a share waits for one.
///
/// Reads back off while the platform does not answer.
#[derive(Debug, Default)]
pub(super) struct ReadSchedule {
    last_read: Duration,
    due: Duration,
    backoff: Duration,
    started_at: Option<Duration>,
}

impl ReadSchedule {
    /// Makes a read due at once.
    pub(super) fn read_now(&mut self, now: Duration) {
        self.due = now;
    }

    /// Makes a read due within `period` of the last one, or within the backoff if that is longer.
    pub(super) fn read_within(&mut self, period: Option<Duration>) {
        if let Some(period) = period {
            self.due = self.due.min(self.last_read + self.backoff.max(period));
        }
    }

    /// Tells whether a read is due, and marks it as running.
    pub(super) fn begin(&mut self, now: Duration) -> bool {
        let lost = self.started_at.is_some_and(|at| at + READ_TIMEOUT <= now);
        if now < self.due || (self.started_at.is_some() && !lost) {
            return false;
        }
        self.started_at = Some(now);
        true
    }

    /// Records a successful read; a jitter from the holder's hash spreads the stewards' reads.
    pub(super) fn on_success(&mut self, id: &HolderId, now: Duration) {
        self.started_at = None;
        self.backoff = Duration::ZERO;
        self.last_read = now;
        self.due = now + IDLE_PERIOD + jitter(id);
    }

    /// Records a failed read and backs off.
    pub(super) fn on_failure(&mut self, now: Duration) {
        self.started_at = None;
        self.backoff = (self.backoff * 2).clamp(INITIAL_BACKOFF, MAX_BACKOFF);
        self.last_read = now;
        self.due = now + self.backoff;
    }
}

fn jitter(id: &HolderId) -> Duration {
    let mut hash = DefaultHasher::new();
    id.hash(&mut hash);
    Duration::from_millis(hash.finish() % 10_000)
}
