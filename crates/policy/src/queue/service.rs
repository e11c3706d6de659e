//! Measured service time of an upstream's statements.

use std::time::Duration;

/// Weight of the newest measurement, as a divisor.
const SMOOTHING: u32 = 8;

/// Exponentially weighted mean of service times.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServiceTime {
    mean: Option<Duration>,
}

impl ServiceTime {
    /// Takes a measurement in.
    pub fn record(&mut self, service: Duration) {
        self.mean = Some(match self.mean {
            Some(mean) => mean.saturating_sub(mean / SMOOTHING) + service / SMOOTHING,
            None => service,
        });
    }

    /// Returns the mean; zero before the first measurement.
    #[must_use]
    pub fn mean(self) -> Duration {
        self.mean.unwrap_or_default()
    }

    /// Returns the time after which `ahead` statements on `slots` slots have left.
    #[must_use]
    pub fn wait(self, ahead: usize, slots: usize) -> Duration {
        let turns = ahead.div_ceil(slots.max(1));
        self.mean()
            .saturating_mul(u32::try_from(turns).unwrap_or(u32::MAX))
    }
}
