//! Log position of a group's primary with its age.

use crate::work::LogPosition;

/// Position that a primary had reached, with the time since it was asked for.
///
/// It covers every commit that was acknowledged before it was asked for.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct DatedPosition {
    /// The position.
    #[prost(message, required, tag = "1")]
    pub position: LogPosition,
    /// Time since it was asked for, in milliseconds, rounded up.
    #[prost(uint32, tag = "2")]
    pub age_ms: u32,
}
