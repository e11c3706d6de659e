//! Gate that suspends the tasks of a stand-in while it is frozen.

use std::sync::Arc;

use tokio::sync::watch;

/// Gate at which tasks wait while it is frozen; clones share its state.
#[derive(Debug, Clone)]
pub struct Gate {
    frozen: Arc<watch::Sender<bool>>,
}

impl Default for Gate {
    fn default() -> Self {
        Self::new()
    }
}

impl Gate {
    /// Creates an open gate.
    #[must_use]
    pub fn new() -> Self {
        Self {
            frozen: Arc::new(watch::Sender::new(false)),
        }
    }

    /// Closes the gate, so that tasks wait at it.
    pub fn freeze(&self) {
        self.frozen.send_replace(true);
    }

    /// Opens the gate and resumes the waiting tasks.
    pub fn thaw(&self) {
        self.frozen.send_replace(false);
    }

    /// Waits until the gate is open.
    pub async fn pass(&self) {
        let mut frozen = self.frozen.subscribe();
        // `self` holds the sender, so the channel stays open and the wait cannot fail.
        let opened = frozen.wait_for(|frozen| !*frozen).await;
        debug_assert!(opened.is_ok(), "the gate owns its sender");
    }
}
