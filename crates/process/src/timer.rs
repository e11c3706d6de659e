//! Periodic ticks that tasks subscribe to instead of sleeping on their own; all stop together.

use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio::time::MissedTickBehavior;
use tokio_util::sync::CancellationToken;

/// Tick of a subscription.
#[derive(Debug, Clone, Copy)]
pub struct Tick {
    /// Time at which the tick fired, on the monotonic clock.
    pub now: Instant,
    /// Time since the subscription's previous tick; longer than the period if ticks were missed.
    pub elapsed: Duration,
}

/// Source of periodic ticks; stopping one clone stops all of them.
#[derive(Debug, Clone, Default)]
pub struct Timer {
    stop: CancellationToken,
}

impl Timer {
    /// Creates a timer without subscriptions.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Subscribes to a tick every `period`; a subscriber that falls behind misses ticks.
    ///
    /// The first tick fires at once.
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

    /// Ends all subscriptions.
    pub fn stop(&self) {
        self.stop.cancel();
    }
}
