//! Pauses between attempts to connect, longer after each failure.

use std::time::Duration;
use std::time::Instant;

/// Pause after the first failure.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause, before jitter.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);
/// Failures after which the pause no longer grows.
const MAX_DOUBLINGS: u32 = 10;

/// Attempts to connect to one address.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Reconnect {
    failures: u32,
    until: Option<Instant>,
}

impl Reconnect {
    /// Notes a failure; `jitter` between 0 and 1 spreads the pause from half to the whole.
    pub fn fail(&mut self, now: Instant, jitter: f64) {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        let pause = FIRST_PAUSE
            .saturating_mul(1 << doublings)
            .min(LONGEST_PAUSE);
        self.failures = self.failures.saturating_add(1);
        self.until = Some(now + pause.mul_f64(0.5 + jitter.clamp(0.0, 1.0) / 2.0));
    }

    /// Notes that the address was reached.
    pub fn succeed(&mut self) {
        *self = Self::default();
    }

    /// Returns how long no attempt should be made.
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
