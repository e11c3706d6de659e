//! Refusals: why a request was not served, whether it ran, and when to retry.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Whether a refused request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The request did not run and will not.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The account has used up its rate and burst.
    RateExceeded,
    /// The source of the account's tokens does not answer, so its rate cannot be checked.
    RateUnknown,
    /// The pool cannot serve the request before its deadline, given the account's queue.
    Overloaded,
    /// No upstream that has reached the session's floor can be connected to.
    NoUpstream,
    /// The upstream has not applied the log up to the session's floor.
    Behind,
    /// The request was made for a term other than the upstream's.
    StaleTerm,
    /// The group has no primary that accepts writes.
    NoPrimary,
    /// The upstream is being removed and takes no new work.
    Leaving,
    /// The process is shutting down and takes no new work.
    Draining,
    /// The key was revoked or does not belong to the account.
    KeyRefused,
    /// The account may not use the route.
    RouteRefused,
    /// The connection to the upstream or the pool was lost.
    ConnectionLost,
    /// The write ran on the primary, but no replica confirmed it in time.
    NotDurable,
    /// The request uses a feature that the proxy does not support.
    Unsupported,
    /// The request was cancelled.
    Cancelled,
}

impl Reason {
    /// Returns the SQLSTATE for a request that did not run.
    #[must_use]
    pub fn sqlstate(self) -> &'static str {
        match self {
            Self::RateExceeded | Self::Overloaded => "53400",
            Self::RateUnknown
            | Self::NoUpstream
            | Self::Behind
            | Self::StaleTerm
            | Self::NoPrimary => "57P03",
            Self::Leaving | Self::Draining => "57P01",
            Self::KeyRefused => "28P01",
            Self::RouteRefused => "42501",
            Self::ConnectionLost | Self::NotDurable => "08006",
            Self::Unsupported => "0A000",
            Self::Cancelled => "57014",
        }
    }
}

/// SQLSTATE `statement_completion_unknown`, for a request that may have run.
pub const SQLSTATE_UNKNOWN: &str = "40003";

/// Error answer to a request that was not served.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Refusal {
    /// Whether the request ran.
    pub outcome: Outcome,
    /// Why it was refused.
    pub reason: Reason,
    /// Human-readable text; never contains a key.
    pub message: String,
    /// Time after which a retry may succeed; `None` if a retry cannot help.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates the refusal of a request that did not run.
    #[must_use]
    pub fn not_run(
        reason: Reason,
        message: impl Into<String>,
        retry_after: Option<Duration>,
    ) -> Self {
        Self {
            outcome: Outcome::NotRun,
            reason,
            message: message.into(),
            retry_after,
        }
    }

    /// Creates the refusal of a request that may have run.
    #[must_use]
    pub fn unknown(reason: Reason, message: impl Into<String>) -> Self {
        Self {
            outcome: Outcome::Unknown,
            reason,
            message: message.into(),
            retry_after: None,
        }
    }

    /// Returns the SQLSTATE sent to the caller.
    #[must_use]
    pub fn sqlstate(&self) -> &'static str {
        match self.outcome {
            Outcome::NotRun => self.reason.sqlstate(),
            Outcome::Unknown => SQLSTATE_UNKNOWN,
        }
    }

    /// Returns the DETAIL field of the error: `outcome=... retry_after_ms=...`.
    #[must_use]
    pub fn detail(&self) -> String {
        let outcome = match self.outcome {
            Outcome::NotRun => "not_run",
            Outcome::Unknown => "unknown",
        };
        match self.retry_after {
            Some(after) => format!("outcome={outcome} retry_after_ms={}", after.as_millis()),
            None => format!("outcome={outcome}"),
        }
    }
}
