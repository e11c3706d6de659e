//! Lengths of time in a settings file.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::Error;

use crate::settings::not_allowed::NotAllowed;
use crate::settings::scalar::Scalar;

/// Longest time that settings may name.
const MAX: Duration = Duration::from_hours(24 * 365);
/// Units in which a time may be written, with their milliseconds; `ms` is looked for before `s`.
const UNITS: [(&str, f64); 4] = [
    ("ms", 1.0),
    ("s", 1_000.0),
    ("min", 60_000.0),
    ("h", 3_600_000.0),
];

/// Length of time, from `MIN_MS` milliseconds to 365 days.
///
/// It is written as a number, whole or a fraction, and its unit, `ms`, `s`, `min` or `h`: `6.5s`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimeSpan<const MIN_MS: u64>(Duration);

impl<const MIN_MS: u64> TimeSpan<MIN_MS> {
    /// Shortest time of this type.
    const MIN: Duration = Duration::from_millis(MIN_MS);

    /// Returns the allowed time that is closest to `time`.
    #[must_use]
    pub fn clamped(time: Duration) -> Self {
        Self(time.clamp(Self::MIN, MAX))
    }

    /// Returns the time.
    #[must_use]
    pub fn get(self) -> Duration {
        self.0
    }

    /// Returns the time of `millis` milliseconds, if it is allowed.
    fn of(millis: f64) -> Option<Self> {
        let time = Duration::try_from_secs_f64(millis / 1_000.0).ok()?;
        (Self::MIN..=MAX).contains(&time).then_some(Self(time))
    }

    fn parse(text: &str) -> Option<Self> {
        let units = UNITS.iter();
        let mut split = units.filter_map(|(unit, ms)| Some((text.strip_suffix(unit)?, ms)));
        let (number, millis) = split.next()?;
        let number: f64 = number.trim_end().parse().ok()?;
        Self::of(number * millis)
    }
}

impl<const MIN_MS: u64> FromStr for TimeSpan<MIN_MS> {
    type Err = NotAllowed;

    fn from_str(text: &str) -> Result<Self, NotAllowed> {
        Self::parse(text).ok_or_else(|| {
            let allowed = format!("{MIN_MS}ms to 8760h, with ms, s, min or h after the number");
            NotAllowed::new(text.to_owned(), allowed)
        })
    }
}

impl<const MIN_MS: u64> fmt::Display for TimeSpan<MIN_MS> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}s", self.0.as_secs_f64())
    }
}

impl<'de, const MIN_MS: u64> Deserialize<'de> for TimeSpan<MIN_MS> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let Scalar(text) = Scalar::deserialize(deserializer)?;
        text.parse().map_err(Error::custom)
    }
}

/// Time that is written as a number of milliseconds, under a key that names the unit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Milliseconds<const MIN_MS: u64>(pub TimeSpan<MIN_MS>);

impl<const MIN_MS: u64> Milliseconds<MIN_MS> {
    /// Returns the time.
    #[must_use]
    pub fn get(self) -> Duration {
        self.0.get()
    }

    /// Returns the allowed time that is closest to `millis` milliseconds.
    #[must_use]
    pub fn clamped(millis: u64) -> Self {
        Self(TimeSpan::clamped(Duration::from_millis(millis)))
    }
}

impl<const MIN_MS: u64> Serialize for Milliseconds<MIN_MS> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_f64(self.get().as_secs_f64() * 1_000.0)
    }
}

impl<'de, const MIN_MS: u64> Deserialize<'de> for Milliseconds<MIN_MS> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let Scalar(text) = Scalar::deserialize(deserializer)?;
        let millis = text.parse().ok();
        let time = millis.and_then(TimeSpan::of);
        time.map(Self).ok_or_else(|| {
            let allowed = format!("{MIN_MS} to {} milliseconds", MAX.as_millis());
            Error::custom(NotAllowed::new(text, allowed))
        })
    }
}
