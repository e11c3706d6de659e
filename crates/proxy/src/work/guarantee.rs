//! What a route promises about the data that its reads see.

use serde::Deserialize;
use serde::Serialize;

/// Guarantee of a route.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    prost::Enumeration,
)]
#[serde(rename_all = "snake_case")]
#[repr(i32)]
pub enum Guarantee {
    /// Reads see every acknowledged commit.
    Primary = 0,
    /// Reads see every commit that is older than the route's bound.
    BoundedStaleness = 1,
    /// As bounded, and every commit of the own session.
    ReadYourWrites = 2,
}
