//! Numbers of things in a settings file, such as connections or bytes.

use serde::Deserialize;
use serde::Deserializer;

use crate::settings::number::deserialize_number;

/// Largest number of things that settings may name, below which every whole number is exact.
const MAX: f64 = 1e15;

/// Number of things of a key that may be absent.
#[derive(Debug, Deserialize)]
struct Count(#[serde(deserialize_with = "deserialize_count")] usize);

/// Reads a number of things, 1 at least; a fraction is rounded down.
///
/// # Errors
///
/// Names the value and the range if it is not allowed.
pub fn deserialize_count<'de, D: Deserializer<'de>>(deserializer: D) -> Result<usize, D::Error> {
    deserialize_count_up_to(deserializer, MAX)
}

/// Reads a number of things as [`deserialize_count`] does, for a key that may be absent.
///
/// # Errors
///
/// Names the value and the range if it is not allowed.
pub fn deserialize_some_count<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<u64>, D::Error> {
    let count = Option::<Count>::deserialize(deserializer)?;
    Ok(count.and_then(|Count(count)| u64::try_from(count).ok()))
}

/// Reads a number of things as [`deserialize_count`] does, `max` at most.
///
/// # Errors
///
/// Names the value and the range if it is not allowed.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the range is checked, and a part of a thing is none"
)]
pub fn deserialize_count_up_to<'de, D: Deserializer<'de>>(
    deserializer: D,
    max: f64,
) -> Result<usize, D::Error> {
    Ok(deserialize_number(deserializer, &(1.0..=max))? as usize)
}
