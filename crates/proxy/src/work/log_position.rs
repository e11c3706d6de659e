//! Log position in messages between vms.

use mustardbay_policy::position::Position;

/// Position in a group's replication log.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct LogPosition {
    /// Term of the primary.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// Index of the last log entry.
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
