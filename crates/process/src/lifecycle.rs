//! Life of a process: serving, draining, stopped.

use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Shared flags of a process's life; clones see the same life.
#[derive(Debug, Clone, Default)]
pub struct Lifecycle {
    ready: Arc<AtomicBool>,
    draining: CancellationToken,
    drained_at: Arc<OnceLock<Instant>>,
    stopped: CancellationToken,
}

impl Lifecycle {
    /// Creates the life of a process that is not ready yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Marks the process ready to serve.
    pub fn mark_ready(&self) {
        self.ready.store(true, Ordering::Release);
    }

    /// Tells whether the balancer should send work: ready and not draining.
    #[must_use]
    pub fn is_healthy(&self) -> bool {
        self.ready.load(Ordering::Acquire) && !self.draining.is_cancelled()
    }

    /// Starts the drain; a second call has no effect.
    pub fn drain(&self) {
        self.drained_at.get_or_init(Instant::now);
        self.draining.cancel();
    }

    /// Tells whether the process is draining.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.draining.is_cancelled()
    }

    /// Waits until the drain starts and returns when it did.
    pub async fn drained_from_now(&self) -> Instant {
        self.draining.cancelled().await;
        *self.drained_at.get_or_init(Instant::now)
    }

    /// Marks the process stopped: nothing is in flight any more.
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
        let life = self.clone();
        tokio::spawn(async move {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
            tracing::info!(event = "drain_requested", by = "signal");
            life.drain();
        });
        Ok(())
    }
}
