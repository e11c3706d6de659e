//! What stops a request early: its caller's cancellation, or the loss of its entry.

use tokio_util::sync::CancellationToken;

/// Signals that stop one request.
#[derive(Debug, Clone)]
pub(crate) struct Stop {
    cancel: CancellationToken,
    gone: CancellationToken,
    read: bool,
}

impl Stop {
    /// Creates the signals of a request; `gone` fires when the entry's link is lost.
    pub(crate) fn new(gone: CancellationToken, read: bool) -> Self {
        Self {
            cancel: CancellationToken::new(),
            gone,
            read,
        }
    }

    /// Cancels the request.
    pub(crate) fn cancel(&self) {
        self.cancel.cancel();
    }

    /// Waits for a signal that keeps a request from starting.
    pub(super) async fn before_start(&self) {
        tokio::select! {
            () = self.cancel.cancelled() => {}
            () = self.gone.cancelled() => {}
        }
    }

    /// Waits for a signal that stops a request that runs.
    ///
    /// A write whose entry is gone runs to its end, since nobody could learn its outcome.
    pub(super) async fn while_running(&self) {
        if self.read {
            self.before_start().await;
        } else {
            self.cancel.cancelled().await;
        }
    }
}
