//! Class of work, by which metrics and service times are kept.

use crate::work::Guarantee;
use crate::work::Verb;

/// Class of a statement or unit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// A write, or a statement of a transaction that may write.
    Write,
    /// A read with a consistency guarantee.
    Read(Guarantee),
}

impl Class {
    /// Returns the class of a single statement on a route with a guarantee.
    #[must_use]
    pub fn of(verb: Verb, guarantee: Guarantee) -> Self {
        match verb {
            Verb::Read | Verb::BeginRead => Self::Read(guarantee),
            Verb::Write | Verb::Begin | Verb::Commit | Verb::Rollback => Self::Write,
        }
    }

    /// Returns the name used in metrics.
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
