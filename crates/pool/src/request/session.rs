//! Session of an entry at this pool: the connection of its open transaction.

use std::time::Duration;

use tokio::time::Instant;
use tokio::time::timeout;

use crate::upstream::Leased;
use crate::upstream::UpstreamKey;

/// Longest time that a rollback may take before the connection is closed instead.
const ROLLBACK_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest time that a transaction may be idle between two statements.
const IDLE_TRANSACTION: Duration = Duration::from_mins(1);

/// Session of an entry; locked while one of its requests runs.
#[derive(Debug, Default)]
pub(crate) struct Session {
    held: Option<Leased>,
    since: Option<Instant>,
}

impl Session {
    /// Takes the connection of the open transaction, if it is on `key`.
    pub(super) fn take(&mut self, key: &UpstreamKey) -> Option<Leased> {
        let leased = self.held.take_if(|held| held.upstream.key == *key)?;
        leased.upstream.slots.close_transaction();
        Some(leased)
    }

    /// Tells whether the open transaction must end: by term, idle time, or a leaving upstream.
    pub(crate) fn is_overdue(&self) -> bool {
        self.held.as_ref().is_some_and(|held| {
            let condition = held.upstream.condition();
            let idle = self.since.map_or(Duration::ZERO, |since| since.elapsed());
            condition.ends_transaction(held.con.term) || idle > IDLE_TRANSACTION
        })
    }

    /// Holds the connection of an open transaction.
    pub(super) fn hold(&mut self, leased: Leased) {
        leased.upstream.slots.open_transaction();
        self.since = Some(Instant::now());
        self.held = Some(leased);
    }

    /// Rolls the open transaction back and gives its connection back.
    pub(crate) async fn end(&mut self) {
        if let Some(leased) = self.held.take() {
            leased.upstream.slots.close_transaction();
            roll_back(leased).await;
        }
    }
}

/// Rolls a transaction back; closes the connection where that fails.
pub(super) async fn roll_back(mut leased: Leased) {
    if !leased.con.clean {
        return;
    }
    match timeout(ROLLBACK_TIMEOUT, leased.con.query("ROLLBACK")).await {
        Ok(Ok(_)) => leased.give_back(),
        Ok(Err(e)) => tracing::info!(event = "rollback_failed", error = %e),
        Err(_) => tracing::info!(event = "rollback_timed_out"),
    }
}
