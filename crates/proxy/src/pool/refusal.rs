//! Outcome of a unit: an answer or a refusal.

use crate::work::Answer;
use crate::work::Code;

/// Cause for which a pool or an entry did not serve a unit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Cause {
    /// The queue is too long to serve it in time.
    Overloaded = 0,
    /// No primary of the group is known and reachable.
    NoPrimary = 1,
    /// No upstream is usable that meets the unit's requirements.
    NoUpstream = 2,
    /// The vm that holds the connections cannot be reached.
    Unreachable = 3,
    /// The vm is shutting down.
    Draining = 4,
    /// The statement's deadline passed before it could be sent.
    Expired = 5,
    /// The account's rate limit is used up.
    RateSpent = 6,
    /// The vm's configuration has not been confirmed for too long.
    NotCurrent = 7,
}

impl Cause {
    /// Returns the name used in logs, metrics and refusals.
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

/// Refusal of a unit, which guarantees that it did not run and will not run.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Refusal {
    /// Cause of the refusal.
    #[prost(enumeration = "Cause", tag = "1")]
    pub cause: i32,
    /// Time after which a retry may succeed, in milliseconds.
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

    /// Returns the error text for the caller.
    #[must_use]
    pub fn text(&self) -> String {
        format!(
            "not run, {}; retry_after_ms={}",
            self.cause().name(),
            self.retry_ms
        )
    }
}

/// Outcome of a statement.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// An answer from the upstream, or an error made in its place.
    Answered(Answer),
    /// It did not run.
    Refused(Refusal),
}

impl Outcome {
    /// Creates the outcome of a statement that may or may not have run.
    pub fn in_doubt(text: impl Into<String>) -> Self {
        Self::Answered(Answer::failed(
            Code::InDoubt,
            text,
            crate::work::TransactionState::Idle,
        ))
    }
}
