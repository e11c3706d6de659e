//! Refusals that several steps of a request share.

use std::time::Duration;

use mustardbay_policy::refusal::Reason;
use mustardbay_policy::refusal::Refusal;

use crate::upstream::SQLSTATE_STALE_TERM;
use crate::upstream::SQLSTATE_TOO_MANY_CONNECTIONS;
use crate::upstream::UpstreamError;

/// Time after which to retry a request that was refused because of a view change.
const VIEW_RETRY: Duration = Duration::from_millis(50);
/// Time after which to retry a request whose upstream was busy or unreachable.
pub(super) const BUSY_RETRY: Duration = Duration::from_millis(100);

/// Refuses a request that the upstream rejected without executing it.
pub(super) fn rejected(error: &UpstreamError) -> Refusal {
    let (reason, after) = match error.sqlstate() {
        Some(SQLSTATE_STALE_TERM) => (Reason::StaleTerm, VIEW_RETRY),
        Some(SQLSTATE_TOO_MANY_CONNECTIONS) => (Reason::Overloaded, BUSY_RETRY),
        _ => (Reason::NoPrimary, VIEW_RETRY),
    };
    Refusal::not_run(reason, error.to_string(), Some(after))
}

/// Refuses a request that was routed by a view other than the pool's.
pub(super) fn stale(message: impl Into<String>) -> Refusal {
    Refusal::not_run(Reason::StaleTerm, message, Some(VIEW_RETRY))
}

/// Refuses new work while the process drains.
pub(super) fn draining() -> Refusal {
    Refusal::not_run(Reason::Draining, "pool is draining", Some(VIEW_RETRY))
}

/// Refuses a request that does not fit into the memory for requests.
pub(super) fn out_of_memory() -> Refusal {
    let message = "no memory is left at the pool for a request of this size";
    Refusal::not_run(Reason::Overloaded, message, Some(BUSY_RETRY))
}

/// Refuses new work on an upstream that is leaving.
pub(super) fn leaving() -> Refusal {
    Refusal::not_run(Reason::Leaving, "upstream is leaving", Some(VIEW_RETRY))
}

/// Refuses a request that was cancelled before it ran.
pub(super) fn cancelled() -> Refusal {
    Refusal::not_run(Reason::Cancelled, "cancelled before it ran", None)
}

/// Refuses a request that the pool does not support.
pub(super) fn unsupported(message: impl Into<String>) -> Refusal {
    Refusal::not_run(Reason::Unsupported, message, None)
}
