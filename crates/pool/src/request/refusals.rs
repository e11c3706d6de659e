//! Refusals that several steps of a request give.

use std::time::Duration;

use mustardbay_policy::refusal::Reason;
use mustardbay_policy::refusal::Refusal;

use crate::upstream::SQLSTATE_TERM;
use crate::upstream::SQLSTATE_TOO_MANY;
use crate::upstream::UpstreamError;

/// When a request is worth repeating after a change of the view.
const VIEW_RETRY: Duration = Duration::from_millis(50);
/// When a request is worth repeating after its upstream was busy.
pub(super) const BUSY_RETRY: Duration = Duration::from_millis(100);

/// Refuses a request of which the upstream said that it ran nothing.
pub(super) fn rejected(error: &UpstreamError) -> Refusal {
    let (reason, after) = match error.code() {
        Some(SQLSTATE_TERM) => (Reason::StaleTerm, VIEW_RETRY),
        Some(SQLSTATE_TOO_MANY) => (Reason::Overloaded, BUSY_RETRY),
        _ => (Reason::NoPrimary, VIEW_RETRY),
    };
    Refusal::not_run(reason, error.to_string(), Some(after))
}

/// Refuses a request that was routed by another view than the pool's.
pub(super) fn stale(message: impl Into<String>) -> Refusal {
    Refusal::not_run(Reason::StaleTerm, message, Some(VIEW_RETRY))
}

/// Refuses new work while the process drains.
pub(super) fn draining() -> Refusal {
    Refusal::not_run(Reason::Draining, "pool is draining", Some(VIEW_RETRY))
}

/// Refuses new work on an upstream that is leaving.
pub(super) fn leaving() -> Refusal {
    Refusal::not_run(Reason::Leaving, "upstream is leaving", Some(VIEW_RETRY))
}

/// Refuses a request that was cancelled before it ran.
pub(super) fn cancelled() -> Refusal {
    Refusal::not_run(Reason::Cancelled, "cancelled before it ran", None)
}

/// Refuses a request that the pool cannot serve at all.
pub(super) fn unsupported(message: impl Into<String>) -> Refusal {
    Refusal::not_run(Reason::Unsupported, message, None)
}
