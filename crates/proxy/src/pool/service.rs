//! How long statements hold a slot.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::work::Class;

/// Mean service time before any statement was measured.
const FIRST: Duration = Duration::from_millis(10);
/// Weight of the newest service time in a mean, as a divisor.
const WEIGHT: u32 = 32;

/// Mean service times, of all statements and of each class of unit.
#[derive(Debug)]
pub(super) struct ServiceTimes {
    mean: Duration,
    by_class: BTreeMap<Class, Duration>,
}

impl ServiceTimes {
    pub(super) fn new() -> Self {
        Self {
            mean: FIRST,
            by_class: BTreeMap::new(),
        }
    }

    /// Takes in how long a statement of a class took.
    pub(super) fn note(&mut self, class: Class, took: Duration) {
        self.mean = averaged(self.mean, took);
        let known = self.by_class.entry(class).or_insert(self.mean);
        *known = averaged(*known, took);
    }

    /// Returns the mean of all statements.
    pub(super) fn mean(&self) -> Duration {
        self.mean
    }

    /// Returns the mean of a class; of one that was never measured, that of all.
    pub(super) fn of(&self, class: Class) -> Duration {
        self.by_class.get(&class).copied().unwrap_or(self.mean)
    }
}

fn averaged(mean: Duration, newest: Duration) -> Duration {
    (mean * (WEIGHT - 1) + newest) / WEIGHT
}
