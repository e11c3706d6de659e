//! Bounds that the operators guarantee to callers.

use std::time::Duration;

use mustardbay_process::settings::Milliseconds;
use mustardbay_process::settings::TimeSpan;
use serde::Deserialize;
use thiserror::Error;

/// Bound that applies where the operators name none.
const DEFAULT_BOUND: Duration = Duration::from_secs(5);

/// Bounds that the operators guarantee to callers; each is 5 s if absent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(try_from = "WrittenBounds")]
pub struct Bounds {
    /// Time after which a withdrawn key must not work.
    pub withdrawal: TimeSpan<1>,
    /// Time from the request to stop to the end of the process.
    pub grace: TimeSpan<0>,
    /// Window in which operators count an account's rate and burst.
    pub rate_window: TimeSpan<1>,
    /// Time from the evacuation of a domain until nothing reaches its upstreams.
    pub evacuation: TimeSpan<0>,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            withdrawal: TimeSpan::clamped(DEFAULT_BOUND),
            grace: TimeSpan::clamped(DEFAULT_BOUND),
            rate_window: TimeSpan::clamped(DEFAULT_BOUND),
            evacuation: TimeSpan::clamped(DEFAULT_BOUND),
        }
    }
}

/// Bounds as a settings file holds them: each with its unit, or under a key that names milliseconds.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct WrittenBounds {
    withdrawal: Option<TimeSpan<1>>,
    withdrawal_ms: Option<Milliseconds<1>>,
    grace: Option<TimeSpan<0>>,
    grace_ms: Option<Milliseconds<0>>,
    rate_window: Option<TimeSpan<1>>,
    rate_window_ms: Option<Milliseconds<1>>,
    evacuation: Option<TimeSpan<0>>,
    evacuation_ms: Option<Milliseconds<0>>,
}

/// A bound stands under both of its keys.
#[derive(Debug, Error)]
#[error("{0} and {0}_ms are the same bound; only one of them is allowed")]
struct GivenTwice(&'static str);

impl TryFrom<WrittenBounds> for Bounds {
    type Error = GivenTwice;

    fn try_from(written: WrittenBounds) -> Result<Self, GivenTwice> {
        let evacuation = one("evacuation", written.evacuation, written.evacuation_ms)?;
        let grace = one("grace", written.grace, written.grace_ms)?;
        let rate_window = one("rate_window", written.rate_window, written.rate_window_ms)?;
        let withdrawal = one("withdrawal", written.withdrawal, written.withdrawal_ms)?;
        Ok(Self {
            withdrawal,
            grace,
            rate_window,
            evacuation,
        })
    }
}

/// Returns the bound that is written in one of two ways, or the default.
fn one<const MIN_MS: u64>(
    key: &'static str,
    time: Option<TimeSpan<MIN_MS>>,
    millis: Option<Milliseconds<MIN_MS>>,
) -> Result<TimeSpan<MIN_MS>, GivenTwice> {
    match (time, millis) {
        (Some(_), Some(_)) => Err(GivenTwice(key)),
        (Some(time), None) | (None, Some(Milliseconds(time))) => Ok(time),
        (None, None) => Ok(TimeSpan::clamped(DEFAULT_BOUND)),
    }
}
