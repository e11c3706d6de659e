//! Log position as it travels between the vms.

use mustardbay_policy::position::Position;

/// Position in a group's log.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct LogPosition {
    /// Term of the primary.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// Number of the last entry.
    #[prost(uint64, tag = "2")]
    pub index: u64,
}

impl From<Position> for LogPosition {
    fn from(position: Position) -> Self {
        Self {
            term: position.term.0,
            index: position.index,
        }
    }
}

impl From<LogPosition> for Position {
    fn from(position: LogPosition) -> Self {
        Self::new(position.term, position.index)
    }
}
