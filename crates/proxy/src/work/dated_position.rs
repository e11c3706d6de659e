//! Log position of a group's primary, with its age.

use crate::work::LogPosition;

/// Log position of a primary, with the time since the primary was queried for it.
///
/// The position covers every commit that was acknowledged before the query was sent.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct DatedPosition {
    /// Position that the primary had reached.
    #[prost(message, required, tag = "1")]
    pub position: LogPosition,
    /// Time since the query was sent, in milliseconds, rounded up.
    #[prost(uint32, tag = "2")]
    pub age_ms: u32,
}
