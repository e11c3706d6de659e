//! Lifecycle of a process: starting, ready, draining, stopped.

use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Lifecycle state of a process; clones share it.
#[derive(Debug, Clone, Default)]
pub struct Lifecycle {
    ready: Arc<AtomicBool>,
    draining: CancellationToken,
    drain_started_at: Arc<OnceLock<Instant>>,
    stopped: CancellationToken,
}

impl Lifecycle {
    /// Creates the lifecycle of a process that is not ready yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Marks the process as ready to serve.
    pub fn mark_ready(&self) {
        self.ready.store(true, Ordering::Release);
    }

    /// Returns whether the load balancer should send work: the process is ready and not draining.
    #[must_use]
    pub fn is_healthy(&self) -> bool {
        self.ready.load(Ordering::Acquire) && !self.draining.is_cancelled()
    }

    /// Starts the drain; a second call has no effect.
    pub fn drain(&self) {
        self.drain_started_at.get_or_init(Instant::now);
        self.draining.cancel();
    }

    /// Returns whether the process is draining, or stopped after a drain.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.draining.is_cancelled()
    }

    /// Waits until the drain starts, and returns the time at which it started.
    pub async fn drain_started(&self) -> Instant {
        self.draining.cancelled().await;
        *self.drain_started_at.get_or_init(Instant::now)
    }

    /// Returns when the drain started, if it has.
    #[must_use]
    pub fn drain_began(&self) -> Option<Instant> {
        self.drain_started_at.get().copied()
    }

    /// Marks the process as stopped, with no requests in flight.
    pub fn stop(&self) {
        self.stopped.cancel();
    }

    /// Waits until the process has stopped.
    pub async fn stopped(&self) {
        self.stopped.cancelled().await;
    }

    /// Starts the drain when the process receives SIGTERM or SIGINT.
    ///
    /// # Errors
    ///
    /// Fails if the signal handlers cannot be installed.
    pub fn drain_on_signal(&self) -> std::io::Result<()> {
        use tokio::signal::unix::SignalKind;
        use tokio::signal::unix::signal;
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let lifecycle = self.clone();
        tokio::spawn(async move {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
            tracing::info!(event = "drain_requested", by = "signal");
            lifecycle.drain();
        });
        Ok(())
    }
}
