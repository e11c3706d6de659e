//! Moving average of the service time of an upstream's statements.

use std::time::Duration;

/// The newest measurement has a weight of one over this number.
const SMOOTHING_DIVISOR: u32 = 8;

/// Exponentially weighted moving average of service times.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServiceTime {
    mean: Option<Duration>,
}

impl ServiceTime {
    /// Adds a measurement to the average.
    pub fn record(&mut self, service: Duration) {
        self.mean = Some(match self.mean {
            Some(mean) => {
                mean.saturating_sub(mean / SMOOTHING_DIVISOR) + service / SMOOTHING_DIVISOR
            }
            None => service,
        });
    }

    /// Returns the average, or zero before the first measurement.
    #[must_use]
    pub fn mean(self) -> Duration {
        self.mean.unwrap_or_default()
    }

    /// Returns the expected time in which `slots` slots serve `ahead` statements.
    #[must_use]
    pub fn expected_wait(self, ahead: usize, slots: usize) -> Duration {
        let turns = ahead.div_ceil(slots.max(1));
        self.mean()
            .saturating_mul(u32::try_from(turns).unwrap_or(u32::MAX))
    }
}
