//! Gate that holds a stand-in's answers back while it is frozen.

use std::sync::Arc;

use tokio::sync::watch;

/// Switch that tasks pass before they read or answer; clones share it.
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

    /// Closes the gate.
    pub fn freeze(&self) {
        self.frozen.send_replace(true);
    }

    /// Opens the gate.
    pub fn thaw(&self) {
        self.frozen.send_replace(false);
    }

    /// Waits until the gate is open.
    pub async fn pass(&self) {
        let mut frozen = self.frozen.subscribe();
        // The sender lives as long as `self`, so the wait cannot fail.
        let opened = frozen.wait_for(|frozen| !*frozen).await;
        debug_assert!(opened.is_ok(), "the gate owns its sender");
    }
}
