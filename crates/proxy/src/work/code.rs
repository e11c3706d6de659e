//! Why a statement got no success.

/// Outcome of a statement without success, as a caller is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Code {
    /// It did not run: no capacity, no upstream, or beyond the account's rate.
    Busy = 0,
    /// Nothing of the transaction is kept.
    Aborted = 1,
    /// It did not run: the upstream's log lacks the position that was asked for.
    Lagging = 2,
    /// It did not run: the upstream does not lead.
    ReadOnly = 3,
    /// It did not run: another upstream answered at the address.
    Misrouted = 4,
    /// It did not run: the upstream's connections are used up.
    TooMany = 5,
    /// It may have run.
    InDoubt = 6,
    /// It ran into its timeout and may have run.
    TimedOut = 7,
    /// It ran and failed.
    Failed = 8,
    /// It did not run: no statement was prepared under the name.
    UnknownStatement = 9,
    /// It cannot be read, or not in this state.
    Malformed = 10,
    /// The key is not one of the configuration's.
    KeyRefused = 11,
    /// No route has the name.
    RouteUnknown = 12,
}

impl Code {
    /// Returns the name that metrics show.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Busy => "busy",
            Self::Aborted => "aborted",
            Self::Lagging => "lagging",
            Self::ReadOnly => "read_only",
            Self::Misrouted => "misrouted",
            Self::TooMany => "too_many",
            Self::InDoubt => "in_doubt",
            Self::TimedOut => "timed_out",
            Self::Failed => "failed",
            Self::UnknownStatement => "unknown_statement",
            Self::Malformed => "malformed",
            Self::KeyRefused => "key_refused",
            Self::RouteUnknown => "route_unknown",
        }
    }

    /// Tells whether the code promises that the statement did not run.
    #[must_use]
    pub fn promises_not_run(self) -> bool {
        matches!(
            self,
            Self::Busy
                | Self::Lagging
                | Self::ReadOnly
                | Self::Misrouted
                | Self::TooMany
                | Self::UnknownStatement
        )
    }
}
