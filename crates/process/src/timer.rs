//! Timer service: parts of a process subscribe to periodic ticks instead of sleeping on their own.

use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio::time::MissedTickBehavior;
use tokio_util::sync::CancellationToken;

/// One tick of a subscription.
#[derive(Debug, Clone, Copy)]
pub struct Tick {
    /// When the tick fired, on the monotonic clock.
    pub now: Instant,
    /// Time since the subscription's last tick; longer than the period after a pause.
    pub elapsed: Duration,
}

/// Source of ticks; clones share the same life.
#[derive(Debug, Clone, Default)]
pub struct Timer {
    stop: CancellationToken,
}

impl Timer {
    /// Creates a timer service.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Subscribes to a tick every `period`; a subscriber that is behind misses ticks.
    #[must_use]
    pub fn every(&self, period: Duration) -> mpsc::Receiver<Tick> {
        let (send, recv) = mpsc::channel(1);
        let stop = self.stop.clone();
        tokio::spawn(async move {
            let mut interval = tokio::time::interval(period);
            interval.set_missed_tick_behavior(MissedTickBehavior::Skip);
            let mut last = Instant::now();
            loop {
                tokio::select! {
                    () = stop.cancelled() => return,
                    () = send.closed() => return,
                    _ = interval.tick() => {}
                }
                let now = Instant::now();
                let tick = Tick {
                    now,
                    elapsed: now - last,
                };
                last = now;
                if let Err(mpsc::error::TrySendError::Closed(_)) = send.try_send(tick) {
                    return;
                }
            }
        });
        recv
    }

    /// Ends every subscription.
    pub fn stop(&self) {
        self.stop.cancel();
    }
}
