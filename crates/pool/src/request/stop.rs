//! Signals that stop a request early: cancellation, or loss of the connection to its entry.

use tokio_util::sync::CancellationToken;

/// Signals that stop one request.
#[derive(Debug, Clone)]
pub(crate) struct Stop {
    cancel: CancellationToken,
    link_lost: CancellationToken,
    read_only: bool,
}

impl Stop {
    /// Creates the signals of a request; `link_lost` is cancelled with the entry's connection.
    pub(crate) fn new(link_lost: CancellationToken, read_only: bool) -> Self {
        Self {
            cancel: CancellationToken::new(),
            link_lost,
            read_only,
        }
    }

    /// Cancels the request.
    pub(crate) fn cancel(&self) {
        self.cancel.cancel();
    }

    /// Waits for a signal that prevents a request from starting.
    pub(super) async fn before_start(&self) {
        tokio::select! {
            () = self.cancel.cancelled() => {}
            () = self.link_lost.cancelled() => {}
        }
    }

    /// Waits for a signal that stops a running request.
    ///
    /// A write runs to its end if the connection to its entry is lost, because nobody could learn
    /// its outcome.
    pub(super) async fn while_running(&self) {
        if self.read_only {
            self.before_start().await;
        } else {
            self.cancel.cancelled().await;
        }
    }
}
