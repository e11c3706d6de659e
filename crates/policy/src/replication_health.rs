//! Replication health of a primary: whether its replicas still confirm its writes.

use std::time::Duration;
use std::time::Instant;

/// Tracks how long a primary has waited for its replicas to confirm a write.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReplicationHealth {
    /// Start of the first wait since the last confirmation, if there is one.
    waiting_since: Option<Instant>,
}

impl ReplicationHealth {
    /// Records that a wait for a confirmation begins.
    pub fn begin_wait(&mut self, now: Instant) {
        self.waiting_since.get_or_insert(now);
    }

    /// Records a confirmation, which ends all waits.
    pub fn confirm(&mut self) {
        self.waiting_since = None;
    }

    /// Returns whether a wait has begun since the last confirmation.
    #[must_use]
    pub fn is_waiting(self) -> bool {
        self.waiting_since.is_some()
    }

    /// Returns whether a confirmation has been missing for longer than `max_wait`.
    ///
    /// A primary for which no wait has begun is not suspect.
    #[must_use]
    pub fn is_suspect(self, now: Instant, max_wait: Duration) -> bool {
        self.waiting_since
            .is_some_and(|since| now.saturating_duration_since(since) > max_wait)
    }
}
