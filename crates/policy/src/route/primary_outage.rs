//! Outages of a group's primary, and the estimate of when one ends.

use std::time::Duration;
use std::time::Instant;

/// Expected length of an outage before the first one was observed.
const ASSUMED_OUTAGE: Duration = Duration::from_secs(1);
/// Lower bound of the retry time given with a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Current and last period in which a group had no primary.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PrimaryOutage {
    since: Option<Instant>,
    last: Option<Duration>,
}

impl PrimaryOutage {
    /// Records whether the group has a usable primary at `now`.
    pub fn observe(&mut self, usable: bool, now: Instant) {
        match (usable, self.since) {
            (false, None) => self.since = Some(now),
            (true, Some(since)) => {
                self.last = Some(now.saturating_duration_since(since));
                self.since = None;
            }
            _ => {}
        }
    }

    /// Returns whether the group has no primary at present.
    #[must_use]
    pub fn is_ongoing(&self) -> bool {
        self.since.is_some()
    }

    /// Returns the time after which a caller that is refused at `now` should retry.
    ///
    /// This is the length of the last outage, less the time that the current one has lasted. If
    /// the current outage is longer than the last one, it is expected to last as long again.
    #[must_use]
    pub fn retry_after(&self, now: Instant) -> Duration {
        let expected = self.last.unwrap_or(ASSUMED_OUTAGE);
        let elapsed = self
            .since
            .map_or(Duration::ZERO, |since| now.saturating_duration_since(since));
        let left = if elapsed < expected {
            expected.saturating_sub(elapsed)
        } else {
            elapsed
        };
        left.max(MIN_RETRY_AFTER)
    }
}
