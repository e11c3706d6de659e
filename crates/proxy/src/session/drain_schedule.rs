//! Schedule of a session while its vm drains: until when it takes work, and when it closes.

use std::time::Duration;

use mustardbay_process::lifecycle::Lifecycle;
use tokio::time::Instant;

/// Timeout of a client's start message.
pub(super) const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout of a write to a client that does not read its answer.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Bytes of an answer for which a client gets one more second.
const WRITE_BYTES_PER_SECOND: u64 = 64 * 1_024;
/// Percentage of the grace after which idle sessions start to close.
///
/// The load balancer has taken the vm out of rotation by then.
const IDLE_CLOSE_START_PERCENT: u32 = 40;
/// Percentage of the grace after which every idle session is closed.
const IDLE_CLOSE_END_PERCENT: u32 = 75;
/// Percentage of the grace after which no session starts; the rest is for its operations.
pub const LAST_START_PERCENT: u32 = 70;
/// Percentage of the grace after which open transactions are aborted and none begins.
const TRANSACTION_END_PERCENT: u32 = 50;
/// Percentage of the grace after which statements that still run are answered without their result.
///
/// The process ends a little later, so that the answers reach their clients.
const LAST_ANSWER_PERCENT: u32 = 92;
/// Number of steps over which the closing of idle sessions is spread.
const CLOSE_SLOTS: u32 = 32;

/// Returns the timeout of writing an answer of `bytes`.
pub(super) fn write_timeout(bytes: usize) -> Duration {
    WRITE_TIMEOUT + Duration::from_secs(bytes as u64 / WRITE_BYTES_PER_SECOND)
}

/// What has to be closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Close {
    /// The session, which is idle.
    Idle,
    /// The open transaction.
    Transaction,
}

/// Schedule on which one session ends while its vm drains.
#[derive(Debug, Clone)]
pub(super) struct DrainSchedule {
    lifecycle: Lifecycle,
    grace: Duration,
    /// Step in which this session closes, at most [`CLOSE_SLOTS`].
    slot: u32,
}

impl DrainSchedule {
    pub(super) fn new(number: u64, lifecycle: Lifecycle, grace: Duration) -> Self {
        let slot = u32::try_from(number % u64::from(CLOSE_SLOTS)).unwrap_or(0);
        // A session that starts during the drain was opened to run an operation, so it closes
        // last.
        let slot = if lifecycle.is_draining() {
            CLOSE_SLOTS
        } else {
            slot
        };
        Self {
            lifecycle,
            grace,
            slot,
        }
    }

    /// Waits until the session is to be closed, or its running transaction aborted.
    pub(super) async fn until_close(&self, can_close: bool) -> Close {
        let began = self.lifecycle.drain_started().await;
        if can_close {
            let percent = IDLE_CLOSE_START_PERCENT
                + (IDLE_CLOSE_END_PERCENT - IDLE_CLOSE_START_PERCENT) * self.slot / CLOSE_SLOTS;
            tokio::time::sleep_until(began + self.part(percent)).await;
            Close::Idle
        } else {
            tokio::time::sleep_until(began + self.part(TRANSACTION_END_PERCENT)).await;
            Close::Transaction
        }
    }

    /// Waits until the statements that still run are answered without their result.
    pub(super) async fn until_last_answer(&self) {
        let began = self.lifecycle.drain_started().await;
        tokio::time::sleep_until(began + self.part(LAST_ANSWER_PERCENT)).await;
    }

    /// Tells whether a statement may start that can take `longest`.
    ///
    /// It may if its result will be known in time, or if its client would come back to this vm.
    pub(super) fn takes_statement(&self, longest: Duration) -> bool {
        self.lifecycle.drain_began().is_none_or(|began| {
            let now = Instant::now();
            now < began + self.part(IDLE_CLOSE_START_PERCENT)
                || now + longest <= began + self.part(LAST_ANSWER_PERCENT)
        })
    }

    /// Tells whether a transaction may begin.
    pub(super) fn takes_transactions(&self) -> bool {
        self.lifecycle
            .drain_began()
            .is_none_or(|began| Instant::now() < began + self.part(TRANSACTION_END_PERCENT))
    }

    fn part(&self, percent: u32) -> Duration {
        self.grace * percent / 100
    }
}
