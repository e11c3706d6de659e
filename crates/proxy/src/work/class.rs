//! Class of work, as metrics tell it apart.

use crate::work::Guarantee;
use crate::work::Verb;

/// What a statement is asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// It writes, or is part of a transaction that may.
    Write,
    /// It reads with a guarantee.
    Read(Guarantee),
}

impl Class {
    /// Returns the class of a statement by itself, on a route with a guarantee.
    #[must_use]
    pub fn of(verb: Verb, guarantee: Guarantee) -> Self {
        match verb {
            Verb::Read | Verb::BeginRead => Self::Read(guarantee),
            Verb::Write | Verb::Begin | Verb::Commit | Verb::Rollback => Self::Write,
        }
    }

    /// Returns the name that metrics show.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Write => "write",
            Self::Read(Guarantee::Primary) => "read_primary",
            Self::Read(Guarantee::BoundedStaleness) => "read_bounded_staleness",
            Self::Read(Guarantee::ReadYourWrites) => "read_your_writes",
        }
    }
}
