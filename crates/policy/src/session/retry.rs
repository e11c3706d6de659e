//! Retries: when a request may be retried, and the budget that limits them.

use std::time::Duration;

use crate::refusal::Outcome;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::statement::Access;
use crate::statement::StatementClass;

/// Retries that each success adds to the budget.
const RETRIES_PER_SUCCESS: f64 = 0.1;
/// Most retries that a budget can hold.
const MAX_SAVED_RETRIES: f64 = 100.0;
/// Retries that an account may make before its first success.
const INITIAL_RETRIES: f64 = 10.0;

/// Longest total wait of a request for a change of the view.
const MAX_VIEW_WAIT: Duration = Duration::from_millis(250);

/// Retry budget of one account, refilled by a share of its successes.
#[derive(Debug, Clone, PartialEq)]
pub struct RetryBudget {
    saved: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            saved: INITIAL_RETRIES,
        }
    }
}

impl RetryBudget {
    /// Refills the budget after a success.
    pub fn note_success(&mut self) {
        self.saved = (self.saved + RETRIES_PER_SUCCESS).min(MAX_SAVED_RETRIES);
    }

    /// Takes one retry from the budget; returns `false` if none is left.
    pub fn take_retry(&mut self) -> bool {
        let allowed = self.saved >= 1.0;
        if allowed {
            self.saved -= 1.0;
        }
        allowed
    }

    /// Returns the number of retries left.
    #[must_use]
    pub fn remaining(&self) -> f64 {
        self.saved
    }
}

/// Returns whether a batch outside a transaction may safely run twice.
///
/// Reads may. So may a batch that only opens a transaction, because the upstream rolls back the
/// transaction of a lost connection. A request id makes any batch repeatable.
#[must_use]
pub fn is_repeatable(access: Access, classes: &[StatementClass], has_request_id: bool) -> bool {
    let harmless = |class: &StatementClass| {
        matches!(class, StatementClass::Read | StatementClass::Begin { .. })
    };
    has_request_id || access == Access::Read || classes.iter().all(harmless)
}

/// What to do after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Retry on another upstream at once.
    OtherUpstream,
    /// Retry once the view has changed, or after a short wait.
    AfterWait,
    /// Return the refusal to the caller.
    GiveUp,
}

/// Decides how to continue after a failed attempt of which no part was answered.
///
/// `on_primary` says whether the attempt went to the primary, `repeatable` whether the batch may
/// run twice.
#[must_use]
pub fn decide_retry(refusal: &Refusal, on_primary: bool, repeatable: bool) -> RetryDecision {
    match (refusal.outcome, refusal.reason) {
        (Outcome::Unknown, Reason::ConnectionLost) if repeatable && !on_primary => {
            RetryDecision::OtherUpstream
        }
        (Outcome::Unknown, Reason::ConnectionLost) if repeatable => RetryDecision::AfterWait,
        (
            Outcome::NotRun,
            Reason::Behind
            | Reason::Overloaded
            | Reason::StaleTerm
            | Reason::NoUpstream
            | Reason::NoPrimary
            | Reason::Leaving
            | Reason::Draining
            | Reason::ConnectionLost,
        ) if !on_primary => RetryDecision::OtherUpstream,
        (
            Outcome::NotRun,
            Reason::StaleTerm
            | Reason::NoUpstream
            | Reason::NoPrimary
            | Reason::Leaving
            | Reason::Draining
            | Reason::ConnectionLost,
        ) => RetryDecision::AfterWait,
        _ => RetryDecision::GiveUp,
    }
}

/// Returns the longest total wait of a request for a change of the view.
///
/// `left` is the time until the request's deadline. A promotion takes a second or more, so waiting
/// for its end would hold requests until close to their deadlines. A short wait covers what ends
/// soon: a view that is about to arrive, a pool that restarts, the end of a promotion. A request
/// that waits in vain is refused with the expected rest of the promotion as its retry time.
#[must_use]
pub fn max_wait(left: Duration) -> Duration {
    MAX_VIEW_WAIT.min(left / 4)
}
