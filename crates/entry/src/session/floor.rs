//! Determines the floor of a session that has no token.

use std::sync::Arc;
use std::time::Duration;

use mustardbay_policy::refusal::Reason;
use mustardbay_policy::refusal::Refusal;
use mustardbay_policy::session::RoundState;
use mustardbay_policy::session::max_wait;
use mustardbay_policy::statement::Access;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout_at;

use crate::position_rounds;
use crate::session::Session;
use crate::session::Transport;

/// Pause after a failed round before the next one.
const FAILED_PAUSE: Duration = Duration::from_millis(25);

impl<S: Transport> Session<S> {
    /// Raises an unknown floor to the confirmed position, or joins a round that reads one.
    ///
    /// Returns whether the previous round failed.
    pub(super) fn learn_floor(&mut self) -> bool {
        if self.floor.position().is_some() {
            return false;
        }
        let group = self.floor.group();
        let state = self
            .round
            .map(|r| position_rounds::state(&self.ctx, group, r));
        match state {
            Some(RoundState::Confirmed(position)) => {
                self.floor.raise(position);
                false
            }
            Some(RoundState::Waiting) => false,
            Some(RoundState::Failed) | None => {
                self.round = Some(position_rounds::join(&self.ctx, group));
                state.is_some()
            }
        }
    }

    /// Waits until the floor is known, unless the batch does not need it.
    ///
    /// A primary that does not know that it was replaced would answer with old data. The floor of a
    /// session with a token rules that out. A session without a token must wait until a replica has
    /// confirmed the primary after the session was opened. Writes need no floor, because they wait
    /// for a replica anyway, and a maximum age set by the client replaces the floor.
    pub(super) async fn require_floor(
        &mut self,
        access: Access,
        deadline: Instant,
    ) -> Result<(), Refusal> {
        let mut failed = self.learn_floor();
        if access == Access::Write || self.parameters.max_age().is_some() {
            return Ok(());
        }
        let observations = Arc::clone(&self.observations);
        let now = Instant::now();
        let left = deadline.saturating_duration_since(now);
        let wait_until = now + max_wait(left);
        let until = now + left / 2;
        while self.floor.position().is_none() {
            if failed {
                if Instant::now() >= wait_until {
                    return Err(self.unconfirmed());
                }
                sleep(FAILED_PAUSE).await;
            }
            let ended = observations.confirmed.notified();
            failed = self.learn_floor();
            if failed || self.floor.position().is_some() {
                continue;
            }
            if timeout_at(until, ended).await.is_err() {
                return Err(self.unconfirmed());
            }
            failed = self.learn_floor();
        }
        Ok(())
    }

    fn unconfirmed(&self) -> Refusal {
        let after = self
            .observations
            .lock()
            .outage
            .retry_after(std::time::Instant::now());
        let message = "no replica confirms the primary, and the session has no token";
        Refusal::not_run(Reason::NoPrimary, message, Some(after))
    }
}
