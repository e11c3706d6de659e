//! Numbers of a settings file, whole or fractions.

use std::ops::RangeInclusive;

use serde::Deserialize;
use serde::Deserializer;
use serde::de::Error;

use crate::settings::not_allowed::NotAllowed;
use crate::settings::scalar::Scalar;

/// Reads a number, whole or a fraction, that must lie within `range`.
///
/// # Errors
///
/// Names the value and the range if it does not.
pub fn deserialize_number<'de, D: Deserializer<'de>>(
    deserializer: D,
    range: &RangeInclusive<f64>,
) -> Result<f64, D::Error> {
    let Scalar(text) = Scalar::deserialize(deserializer)?;
    match text.parse() {
        Ok(number) if range.contains(&number) => Ok(number),
        _ => {
            let allowed = format!("{} to {}", range.start(), range.end());
            Err(Error::custom(NotAllowed::new(text, allowed)))
        }
    }
}
