//! Boot clock, which keeps running while the machine is suspended.

use std::fmt;
use std::time::Duration;

use nix::time::ClockId;
use nix::time::clock_gettime;
use serde::Deserialize;
use serde::Serialize;

/// Reading of the boot clock, as the time since the machine booted.
///
/// Ages, leases and deadlines use it, because the monotonic clock stops during suspension and the
/// time of day may jump.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct BootInstant(Duration);

impl BootInstant {
    /// Reads the clock.
    ///
    /// # Panics
    ///
    /// Panics if the system has no boot clock.
    #[must_use]
    pub fn now() -> Self {
        let time = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("Linux has a boot clock");
        Self(Duration::from(time))
    }

    /// Creates the instant that lies `since` after boot.
    #[must_use]
    pub fn from_boot(since: Duration) -> Self {
        Self(since)
    }

    /// Returns the time since boot.
    #[must_use]
    pub fn since_boot(self) -> Duration {
        self.0
    }

    /// Returns the time since an earlier instant, or zero if that one is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the instant `later` after this one.
    #[must_use]
    pub fn after(self, later: Duration) -> Self {
        Self(self.0.saturating_add(later))
    }

    /// Returns the instant `earlier` before this one, at most back to boot.
    #[must_use]
    pub fn before(self, earlier: Duration) -> Self {
        Self(self.0.saturating_sub(earlier))
    }
}

impl fmt::Display for BootInstant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3}", self.0.as_secs_f64())
    }
}

/// Returns a duration in whole milliseconds, rounded down and capped at [`u32::MAX`].
#[must_use]
pub fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

/// Returns a duration in whole milliseconds, rounded up, for a wait that must not end early.
#[must_use]
pub fn millis_ceil(time: Duration) -> u32 {
    u32::try_from(time.as_nanos().div_ceil(1_000_000)).unwrap_or(u32::MAX)
}
