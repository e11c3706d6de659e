//! Scalar values of a settings file, as they are written.

use std::fmt;

use serde::Deserialize;
use serde::Deserializer;
use serde::de::Error;
use serde::de::Visitor;

/// Scalar of a settings file, kept as its text so that an error can say what stands there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Scalar(pub(super) String);

impl<'de> Deserialize<'de> for Scalar {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(ScalarVisitor)
    }
}

struct ScalarVisitor;

impl Visitor<'_> for ScalarVisitor {
    type Value = Scalar;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a single value")
    }

    fn visit_bool<E: Error>(self, v: bool) -> Result<Scalar, E> {
        Ok(Scalar(v.to_string()))
    }

    fn visit_i64<E: Error>(self, v: i64) -> Result<Scalar, E> {
        Ok(Scalar(v.to_string()))
    }

    fn visit_u64<E: Error>(self, v: u64) -> Result<Scalar, E> {
        Ok(Scalar(v.to_string()))
    }

    fn visit_f64<E: Error>(self, v: f64) -> Result<Scalar, E> {
        Ok(Scalar(v.to_string()))
    }

    fn visit_str<E: Error>(self, v: &str) -> Result<Scalar, E> {
        Ok(Scalar(v.to_owned()))
    }

    fn visit_unit<E: Error>(self) -> Result<Scalar, E> {
        Ok(Scalar(String::new()))
    }
}
