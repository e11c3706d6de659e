//! Exponential backoff with jitter between attempts to connect.

use std::time::Duration;
use std::time::Instant;

/// Pause after the first failure.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause, before jitter.
const MAX_PAUSE: Duration = Duration::from_secs(2);
/// Most doublings of the first pause; keeps the shift below from overflowing.
const MAX_DOUBLINGS: u32 = 10;

/// Backoff of the attempts to connect to one address.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Reconnect {
    failures: u32,
    until: Option<Instant>,
}

impl Reconnect {
    /// Records a failed attempt; `jitter` from 0 to 1 scales the pause from half to its full length.
    pub fn fail(&mut self, now: Instant, jitter: f64) {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        let pause = FIRST_PAUSE.saturating_mul(1 << doublings).min(MAX_PAUSE);
        self.failures = self.failures.saturating_add(1);
        self.until = Some(now + pause.mul_f64(0.5 + jitter.clamp(0.0, 1.0) / 2.0));
    }

    /// Records a successful attempt, which resets the backoff.
    pub fn succeed(&mut self) {
        *self = Self::default();
    }

    /// Returns the time until the next attempt may be made; `None` if it may be made now.
    #[must_use]
    pub fn pause(self, now: Instant) -> Option<Duration> {
        let left = self.until?.saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }

    /// Tells whether the last attempt failed.
    #[must_use]
    pub fn is_failing(self) -> bool {
        self.failures > 0
    }
}
