//! Whether an upstream takes new work: its term and whether it is being removed.

use std::time::Duration;

use mustardbay_policy::position::Term;
use tokio::sync::watch;
use tokio::time::Instant;

/// Time that open transactions on a leaving upstream have to finish.
const LEAVING_GRACE: Duration = Duration::from_secs(10);

/// Term of an upstream and whether it is leaving, from the newest view.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Condition {
    pub(crate) term: Term,
    /// When the pool learned that the upstream is being removed.
    pub(crate) leaving_since: Option<Instant>,
}

/// Why an upstream refuses new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Unavailable {
    /// The request was routed under another term than this one, which is in force.
    Term(Term),
    /// The upstream is being removed.
    Leaving,
}

impl Condition {
    /// Returns why new work routed under `term` is refused, or `None` if it may start.
    pub(crate) fn unavailable(self, term: Term) -> Option<Unavailable> {
        if self.term != term {
            return Some(Unavailable::Term(self.term));
        }
        self.leaving_since.map(|_| Unavailable::Leaving)
    }

    /// Returns whether a transaction opened under `term` must end now.
    pub(crate) fn ends_transaction(self, term: Option<Term>) -> bool {
        let overdue = |since: Instant| since.elapsed() > LEAVING_GRACE;
        term != Some(self.term) || self.leaving_since.is_some_and(overdue)
    }
}

/// Waits until new work routed under `term` is refused.
pub(crate) async fn until_unavailable(
    mut condition: watch::Receiver<Condition>,
    term: Term,
) -> Unavailable {
    loop {
        let unavailable = condition.borrow_and_update().unavailable(term);
        if let Some(unavailable) = unavailable {
            return unavailable;
        }
        if condition.changed().await.is_err() {
            return Unavailable::Leaving;
        }
    }
}
