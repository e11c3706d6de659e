//! Cancellation of the statement that a connection runs, as a `CancelRequest` asks for.

use std::sync::Mutex;
use std::sync::PoisonError;

use rusqlite::InterruptHandle;
use tokio::sync::Notify;

/// Cancels the running statement of one connection.
pub struct Canceller {
    secret: i32,
    /// Interrupts a statement that SQLite is executing.
    interrupt: Mutex<InterruptHandle>,
    /// Ends a sleep or a wait for the writer lock.
    cancelled: Notify,
}

impl std::fmt::Debug for Canceller {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Canceller").finish_non_exhaustive()
    }
}

impl Canceller {
    /// Creates the canceller of a connection with its secret key and its SQLite handle.
    #[must_use]
    pub fn new(secret: i32, interrupt: InterruptHandle) -> Self {
        Self {
            secret,
            interrupt: Mutex::new(interrupt),
            cancelled: Notify::new(),
        }
    }

    /// Cancels the running statement if `secret` is the connection's secret key.
    pub fn cancel(&self, secret: i32) {
        if secret != self.secret {
            return;
        }
        let interrupt = self.interrupt.lock();
        interrupt
            .unwrap_or_else(PoisonError::into_inner)
            .interrupt();
        self.cancelled.notify_waiters();
    }

    /// Waits for the next cancellation.
    pub async fn cancelled(&self) {
        self.cancelled.notified().await;
    }
}
