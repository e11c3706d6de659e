//! Token bucket with integer arithmetic, so that no fraction of a token is lost to rounding.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// One token in millionths of a token, the unit in which buckets count.
pub const TOKEN: u64 = 1_000_000;
/// Nanoseconds in a second; divides `rate * nanoseconds` into millionths of a token.
const NANOS_PER_SECOND: u128 = 1_000_000_000;

/// Converts an amount of tokens to millionths, rounded down; a negative amount or NaN is 0.
#[must_use]
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the cast saturates, and amounts are checked when a bundle is parsed"
)]
pub fn micros(amount: f64) -> u64 {
    (amount * 1e6).floor() as u64
}

/// Token bucket in millionths of a token.
///
/// The amount taken within any window of length `w` is at most the largest burst plus the largest
/// rate times `w`, of the values that were in force during the window.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bucket {
    /// Millionths of a token that accrue in a second.
    rate: u64,
    /// Capacity in millionths of a token.
    burst: u64,
    /// Millionths of a token available now.
    tokens: u64,
    /// Accrued fraction of a millionth, in units of `1 / NANOS_PER_SECOND`.
    accrued: u128,
    /// Latest reading of the clock.
    at: Duration,
}

impl Bucket {
    /// Creates a full bucket; `now` is a reading of the caller's monotonic clock.
    #[must_use]
    pub fn full(rate: u64, burst: u64, now: Duration) -> Self {
        Self {
            tokens: burst,
            ..Self::empty(rate, burst, now)
        }
    }

    /// Creates an empty bucket; `now` is a reading of the caller's monotonic clock.
    #[must_use]
    pub fn empty(rate: u64, burst: u64, now: Duration) -> Self {
        Self {
            rate,
            burst,
            tokens: 0,
            accrued: 0,
            at: now,
        }
    }

    /// Adds the tokens accrued up to `now`; a reading earlier than the last one adds nothing.
    pub fn advance(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.at).as_nanos();
        self.at = self.at.max(now);
        let accrued = elapsed
            .saturating_mul(self.rate.into())
            .saturating_add(self.accrued);
        let whole = u64::try_from(accrued / NANOS_PER_SECOND).unwrap_or(u64::MAX);
        self.accrued = accrued % NANOS_PER_SECOND;
        self.tokens = self.tokens.saturating_add(whole);
        self.clamp();
    }

    /// Changes rate and burst from now on; tokens beyond the new burst are lost.
    pub fn resize(&mut self, rate: u64, burst: u64) {
        self.rate = rate;
        self.burst = burst;
        self.clamp();
    }

    /// Takes an amount if the bucket holds it; returns whether it did.
    pub fn take(&mut self, amount: u64) -> bool {
        let Some(rest) = self.tokens.checked_sub(amount) else {
            return false;
        };
        self.tokens = rest;
        true
    }

    /// Adds an amount from another source; the part that exceeds the burst is lost.
    pub fn add(&mut self, amount: u64) {
        self.tokens = self.tokens.saturating_add(amount);
        self.clamp();
    }

    /// Removes all tokens and the accrued fraction.
    pub fn clear(&mut self) {
        self.tokens = 0;
        self.accrued = 0;
    }

    /// Returns the amount available.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Returns the capacity.
    #[must_use]
    pub fn burst(&self) -> u64 {
        self.burst
    }

    /// Returns the time until the bucket holds an amount; `None` if it never will.
    ///
    /// That is the case if the amount exceeds the burst or the rate is zero.
    #[must_use]
    pub fn time_until(&self, amount: u64) -> Option<Duration> {
        let held = amount <= self.tokens;
        if !held && amount > self.burst {
            return None;
        }
        self.time_to_accrue(amount)
    }

    /// Returns the time until an amount has accrued; `None` if the rate is zero.
    ///
    /// The amount may exceed the burst, if the caller takes tokens while it waits.
    #[must_use]
    pub fn time_to_accrue(&self, amount: u64) -> Option<Duration> {
        let missing = amount.saturating_sub(self.tokens);
        if missing == 0 {
            return Some(Duration::ZERO);
        }
        if self.rate == 0 {
            return None;
        }
        let nanos = (u128::from(missing) * NANOS_PER_SECOND).div_ceil(self.rate.into());
        Some(Duration::from_nanos(u64::try_from(nanos).ok()?))
    }

    fn clamp(&mut self) {
        if self.tokens >= self.burst {
            self.tokens = self.burst;
            self.accrued = 0;
        }
    }
}
