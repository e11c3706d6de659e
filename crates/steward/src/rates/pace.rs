//! When the ledgers are read.

use std::collections::hash_map::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::time::Duration;

use mustardbay_policy::escrow::HolderId;

/// Time between two reads while nothing is to be done.
const CALM_PERIOD: Duration = Duration::from_mins(1);
/// Pause after a first read that got no answer; doubled after each further one.
const FIRST_PAUSE: Duration = Duration::from_secs(1);
/// Longest pause after reads that got no answer.
const LONGEST_PAUSE: Duration = Duration::from_secs(8);
/// Time after which a read counts as lost.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// When the ledgers are read: rarely, soon when something waits, and less often while the platform
/// does not answer.
#[derive(Debug, Default)]
pub(super) struct Pace {
    last: Duration,
    due: Duration,
    pause: Duration,
    reading: Option<Duration>,
}

impl Pace {
    /// Reads as soon as possible.
    pub(super) fn hurry(&mut self, now: Duration) {
        self.due = now;
    }

    /// Reads no later than `period` after the last read, or after the pause that follows failures.
    pub(super) fn within(&mut self, period: Option<Duration>) {
        if let Some(period) = period {
            self.due = self.due.min(self.last + self.pause.max(period));
        }
    }

    /// Tells whether a read is to be started now, and takes note that it is.
    pub(super) fn begin(&mut self, now: Duration) -> bool {
        let lost = self.reading.is_some_and(|at| at + READ_TIMEOUT <= now);
        if now < self.due || (self.reading.is_some() && !lost) {
            return false;
        }
        self.reading = Some(now);
        true
    }

    /// Takes note of an answer; calm reads are spread by a hash, so that no two come together.
    pub(super) fn on_reading(&mut self, id: &HolderId, now: Duration) {
        self.reading = None;
        self.pause = Duration::ZERO;
        self.last = now;
        self.due = now + CALM_PERIOD + spread(id);
    }

    /// Takes note of a read without answer.
    pub(super) fn on_failure(&mut self, now: Duration) {
        self.reading = None;
        self.pause = (self.pause * 2).clamp(FIRST_PAUSE, LONGEST_PAUSE);
        self.last = now;
        self.due = now + self.pause;
    }
}

fn spread(id: &HolderId) -> Duration {
    let mut hash = DefaultHasher::new();
    id.hash(&mut hash);
    Duration::from_millis(hash.finish() % 10_000)
}
