//! Backoff after a failed call to the platform's store.

use std::time::Duration;

use crate::clock::BootInstant;

/// Time for which this vm does not call the store after a failure.
///
/// The store may be failing for this vm only.
const BACKOFF: Duration = Duration::from_secs(2);
/// Age up to which a view counts as fresh.
///
/// A snapshot of another vm reaches about this age just before that vm reads the store again.
pub const FRESH_AGE: Duration = Duration::from_millis(1_200);

/// State that decides whether the store is read again.
#[derive(Debug, Clone, Copy)]
pub struct RefreshState {
    /// Whether this vm reads the store on behalf of others.
    pub is_reader: bool,
    /// Age of the vm's view.
    pub age: Duration,
    /// Time at which the last successful renewal of the vm's lease was sent.
    pub renewed: Option<BootInstant>,
}

/// Backoff after a failed call to the store.
#[derive(Debug, Default)]
pub struct StoreBackoff {
    failed: Option<BootInstant>,
}

impl StoreBackoff {
    /// Notes that a call to the store failed.
    pub fn on_failure(&mut self, now: BootInstant) {
        self.failed = Some(now);
    }

    /// Notes that the store answered; ends the backoff.
    pub fn on_answer(&mut self) {
        self.failed = None;
    }

    /// Tells whether the store must not be called yet.
    ///
    /// The backoff ends early once the store has answered a renewal of the lease. It does not
    /// apply to a reader whose view is no longer fresh, because no other vm then has a fresher one
    /// and all of them depend on the readers.
    #[must_use]
    pub fn is_active(&self, refresh_state: &RefreshState, now: BootInstant) -> bool {
        let Some(failed) = self.failed else {
            return false;
        };
        let answered = refresh_state
            .renewed
            .is_some_and(|renewed| renewed > failed);
        let must_read = refresh_state.is_reader && refresh_state.age >= FRESH_AGE;
        now.since(failed) < BACKOFF && !answered && !must_read
    }
}
