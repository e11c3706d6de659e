//! Times for which statements hold a slot.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::work::Class;

/// Mean service time before the first statement is measured.
const INITIAL_MEAN: Duration = Duration::from_millis(10);
/// Divisor that gives the weight of the newest service time in a mean.
const WEIGHT_DIVISOR: u32 = 32;

/// Moving averages of service times, over all statements and by class of unit.
#[derive(Debug)]
pub(super) struct ServiceTimes {
    mean: Duration,
    by_class: BTreeMap<Class, Duration>,
}

impl ServiceTimes {
    /// Creates averages without measurements.
    pub(super) fn new() -> Self {
        Self {
            mean: INITIAL_MEAN,
            by_class: BTreeMap::new(),
        }
    }

    /// Adds the service time of a statement of a class.
    pub(super) fn note(&mut self, class: Class, took: Duration) {
        self.mean = moving_average(self.mean, took);
        let known = self.by_class.entry(class).or_insert(self.mean);
        *known = moving_average(*known, took);
    }

    /// Returns the mean over all statements.
    pub(super) fn mean(&self) -> Duration {
        self.mean
    }

    /// Returns the mean of a class, or the mean over all statements if the class has none.
    pub(super) fn of(&self, class: Class) -> Duration {
        self.by_class.get(&class).copied().unwrap_or(self.mean)
    }
}

/// Returns the moving average after a new value.
fn moving_average(mean: Duration, newest: Duration) -> Duration {
    (mean * (WEIGHT_DIVISOR - 1) + newest) / WEIGHT_DIVISOR
}
