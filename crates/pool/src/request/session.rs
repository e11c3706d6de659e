//! Client session of an entry, with the connection of its open transaction.

use std::time::Duration;

use tokio::time::Instant;
use tokio::time::timeout;

use crate::upstream::LeasedConnection;
use crate::upstream::UpstreamKey;

/// Longest time that a rollback may take; after it the connection is closed.
const ROLLBACK_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which an open transaction without a statement is rolled back.
const IDLE_TRANSACTION_TIMEOUT: Duration = Duration::from_mins(1);

/// Client session; locked while one of its requests runs.
#[derive(Debug, Default)]
pub(crate) struct Session {
    held: Option<LeasedConnection>,
    idle_since: Option<Instant>,
}

impl Session {
    /// Takes the connection of the open transaction, if it is on the upstream `key`.
    pub(super) fn take(&mut self, key: &UpstreamKey) -> Option<LeasedConnection> {
        let leased = self.held.take_if(|held| held.upstream.key == *key)?;
        leased.upstream.slots.close_transaction();
        Some(leased)
    }

    /// Returns whether the open transaction must end.
    ///
    /// It must if its term is no longer in force, if it was idle for too long, or if its upstream
    /// has been leaving for longer than the grace period.
    pub(crate) fn is_overdue(&self) -> bool {
        self.held.as_ref().is_some_and(|held| {
            let condition = held.upstream.condition();
            let idle = self
                .idle_since
                .map_or(Duration::ZERO, |since| since.elapsed());
            condition.ends_transaction(held.con.term) || idle > IDLE_TRANSACTION_TIMEOUT
        })
    }

    /// Keeps the connection of an open transaction for its next statement.
    pub(super) fn hold(&mut self, leased: LeasedConnection) {
        leased.upstream.slots.open_transaction();
        self.idle_since = Some(Instant::now());
        self.held = Some(leased);
    }

    /// Rolls back the open transaction, if any, and releases its connection.
    pub(crate) async fn end(&mut self) {
        if let Some(leased) = self.held.take() {
            leased.upstream.slots.close_transaction();
            roll_back(leased).await;
        }
    }
}

/// Rolls back a transaction and releases its connection; closes it if the rollback fails.
pub(super) async fn roll_back(mut leased: LeasedConnection) {
    if !leased.con.clean {
        return;
    }
    match timeout(ROLLBACK_TIMEOUT, leased.con.query("ROLLBACK")).await {
        Ok(Ok(_)) => leased.release(),
        Ok(Err(e)) => tracing::info!(event = "rollback_failed", error = %e),
        Err(_) => tracing::info!(event = "rollback_timed_out"),
    }
}
