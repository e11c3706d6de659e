//! Consistency guarantee of a route's reads.

use serde::Deserialize;
use serde::Serialize;

/// Consistency guarantee of a route's reads.
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
    /// Reads see every commit that is older than the route's staleness bound.
    BoundedStaleness = 1,
    /// As with bounded staleness, and reads also see every commit of their own session.
    ReadYourWrites = 2,
}
