//! Condition of an upstream as the view has it: its term, and whether it takes new work.

use std::time::Duration;

use mustardbay_policy::position::Term;
use tokio::sync::watch;
use tokio::time::Instant;

/// Time that open transactions on a leaving upstream get to end.
const LEAVING_GRACE: Duration = Duration::from_secs(10);

/// Condition of an upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Condition {
    pub(crate) term: Term,
    /// Since when the upstream is leaving.
    pub(crate) leaving: Option<Instant>,
}

/// Why new work on an upstream ends before it starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Ended {
    /// Another term is in force.
    Term(Term),
    /// The upstream is leaving.
    Leaving,
}

impl Condition {
    /// Returns why work routed by `term` must not start, if it must not.
    pub(crate) fn ended(self, term: Term) -> Option<Ended> {
        if self.term != term {
            return Some(Ended::Term(self.term));
        }
        self.leaving.map(|_| Ended::Leaving)
    }

    /// Tells whether a transaction opened under `term` must end now.
    pub(crate) fn ends_transaction(self, term: Option<Term>) -> bool {
        let overdue = |since: Instant| since.elapsed() > LEAVING_GRACE;
        term != Some(self.term) || self.leaving.is_some_and(overdue)
    }
}

/// Waits until work routed by `term` must not start any more.
pub(crate) async fn until_ended(mut condition: watch::Receiver<Condition>, term: Term) -> Ended {
    loop {
        let ended = condition.borrow_and_update().ended(term);
        if let Some(ended) = ended {
            return ended;
        }
        if condition.changed().await.is_err() {
            return Ended::Leaving;
        }
    }
}
