//! Id of a unit of work.

use std::fmt;

/// Id of a unit: the link that it came through and its number on that link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct UnitId {
    /// Id of the link, unique in this process.
    pub link: u64,
    /// Number given by the sender, unique on the link.
    pub number: u64,
}

impl fmt::Display for UnitId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.link, self.number)
    }
}
