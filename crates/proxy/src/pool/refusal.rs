//! What a session is told of its unit.

use crate::work::Answer;
use crate::work::Code;

/// Why a pool or an entry did not serve a unit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Cause {
    /// The queue cannot serve it in the time that is left.
    Overloaded = 0,
    /// The group has no primary that is known to lead.
    NoPrimary = 1,
    /// No upstream that satisfies the unit can be used.
    NoUpstream = 2,
    /// The vm that holds the connections cannot be reached.
    Unreachable = 3,
    /// The vm leaves.
    Draining = 4,
    /// The time for the statement has passed before it could be sent.
    Expired = 5,
    /// The account has spent its rate.
    RateSpent = 6,
    /// The configuration has not been confirmed for too long.
    NotCurrent = 7,
}

impl Cause {
    /// Returns the name that logs, metrics and refusals show.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Overloaded => "overloaded",
            Self::NoPrimary => "no_primary",
            Self::NoUpstream => "no_upstream",
            Self::Unreachable => "unreachable",
            Self::Draining => "draining",
            Self::Expired => "expired",
            Self::RateSpent => "rate_spent",
            Self::NotCurrent => "not_current",
        }
    }
}

/// Promise that a unit did not run and will not run.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Refusal {
    /// Why it was refused.
    #[prost(enumeration = "Cause", tag = "1")]
    pub cause: i32,
    /// Time after which a retry has a chance, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub retry_ms: u32,
}

impl Refusal {
    /// Creates a refusal.
    #[must_use]
    pub fn new(cause: Cause, retry_ms: u32) -> Self {
        Self {
            cause: cause.into(),
            retry_ms,
        }
    }

    /// Returns the text that a caller is told.
    #[must_use]
    pub fn text(&self) -> String {
        format!(
            "not run, {}; retry_after_ms={}",
            self.cause().name(),
            self.retry_ms
        )
    }
}

/// What became of a statement.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// An answer, of the upstream or in its place.
    Answered(Answer),
    /// It did not run.
    Refused(Refusal),
}

impl Outcome {
    /// Returns the outcome of a statement that may have run.
    pub fn in_doubt(text: impl Into<String>) -> Self {
        Self::Answered(Answer::failed(
            Code::InDoubt,
            text,
            crate::work::TransactionState::Idle,
        ))
    }
}
