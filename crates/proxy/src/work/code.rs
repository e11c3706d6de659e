//! Error codes of statements.

/// Error code of a statement, as reported to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Code {
    /// It did not run: no capacity, no usable upstream, or the account's rate limit is used up.
    Busy = 0,
    /// The transaction was aborted; none of its writes are kept.
    Aborted = 1,
    /// It did not run: the upstream's log has not reached the required position.
    Lagging = 2,
    /// It did not run: the upstream is not the primary.
    ReadOnly = 3,
    /// It did not run: a different upstream answered at the address.
    Misrouted = 4,
    /// It did not run: the upstream's connection limit is reached.
    TooMany = 5,
    /// It is unknown whether it ran.
    InDoubt = 6,
    /// It timed out and may have run.
    TimedOut = 7,
    /// It ran and failed.
    Failed = 8,
    /// It did not run: no statement is prepared under the name.
    UnknownStatement = 9,
    /// It cannot be parsed, or is not allowed in this state.
    Malformed = 10,
    /// The caller's key is not in the configuration.
    KeyRefused = 11,
    /// The configuration has no route of this name.
    RouteUnknown = 12,
}

impl Code {
    /// Returns the name used in metrics.
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

    /// Tells whether the code guarantees that the statement did not run.
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
