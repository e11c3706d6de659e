//! Terms and replication log positions of a database group.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// Election term of a group; every promotion of a primary increments it.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Term(pub u64);

impl Term {
    /// Returns the term after this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Term {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Position in a group's log: a term and the index of the last entry.
///
/// The order compares terms first, so a position of a newer term is greater whatever its index.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(deny_unknown_fields)]
pub struct Position {
    /// Term of the primary at the time of the observation.
    pub term: Term,
    /// Index of the last log entry; 0 for an empty log.
    pub index: u64,
}

impl Position {
    /// Creates a position from its parts.
    #[must_use]
    pub fn new(term: u64, index: u64) -> Self {
        Self {
            term: Term(term),
            index,
        }
    }

    /// Tells whether an upstream that has applied the log up to this position satisfies `floor`.
    ///
    /// Both term and index must reach those of the floor, unlike in the order of positions.
    #[must_use]
    pub fn covers(self, floor: Position) -> bool {
        self.term >= floor.term && self.index >= floor.index
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.term, self.index)
    }
}

/// Text that is not a position of the form `term:index`.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("position {text:?} is not of the form term:index")]
pub struct ParsePositionError {
    text: String,
}

impl FromStr for Position {
    type Err = ParsePositionError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parts = text.split_once(':').and_then(|(term, index)| {
            let term = term.parse().ok()?;
            let index = index.parse().ok()?;
            Some(Self::new(term, index))
        });
        parts.ok_or_else(|| ParsePositionError {
            text: text.to_owned(),
        })
    }
}
