//! Fractions of an account's rate and burst.

use serde::Deserialize;
use serde::Serialize;

/// Fraction of an account's rate or burst, as a number of parts out of [`Parts::ALL`].
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Parts(pub u32);

impl Parts {
    /// No parts.
    pub const NONE: Self = Self(0);
    /// The whole rate or burst.
    pub const ALL: Self = Self(1_000_000);

    /// Returns this fraction of an amount, rounded down.
    #[must_use]
    pub fn of(self, amount: u64) -> u64 {
        let product = u128::from(amount) * u128::from(self.0);
        u64::try_from(product / u128::from(Self::ALL.0)).unwrap_or(u64::MAX)
    }

    /// Returns the fewest parts of `whole` that cover `amount`; at most [`Parts::ALL`].
    #[must_use]
    pub fn covering(amount: u64, whole: u64) -> Self {
        if whole == 0 {
            return Self::ALL;
        }
        let parts = (u128::from(amount) * u128::from(Self::ALL.0)).div_ceil(u128::from(whole));
        Self(u32::try_from(parts).unwrap_or(u32::MAX)).min(Self::ALL)
    }

    /// Adds parts, saturating.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }

    /// Subtracts parts; none if `other` is greater.
    #[must_use]
    pub fn minus(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// Returns `numerator / denominator` of these parts, rounded down.
    #[must_use]
    pub fn scaled(self, numerator: u64, denominator: u64) -> Self {
        if denominator == 0 {
            return Self::NONE;
        }
        let share = u128::from(self.0) * u128::from(numerator) / u128::from(denominator);
        Self(u32::try_from(share).unwrap_or(u32::MAX))
    }
}

impl std::iter::Sum for Parts {
    fn sum<I: Iterator<Item = Self>>(iter: I) -> Self {
        iter.fold(Self::NONE, Self::plus)
    }
}
