//! Round trip to an upstream, measured from the proxy's own queries.

use std::time::Duration;

use crate::clock::BootInstant;

/// Time for which a measurement counts, at least; a changed path is believed after twice as long.
const WINDOW: Duration = Duration::from_secs(5);
/// Measurements before the first estimate, so that one delayed answer is not taken for the path.
const MIN_MEASUREMENTS: u32 = 3;
/// Divisor that gives the weight of the newest statement in the mean number of round trips.
const WEIGHT_DIVISOR: f64 = 32.0;

/// Estimate of the time on the network that a statement takes.
///
/// Unlike a link's round trip to a region, it is zero until it is measured.
/// It is the least of the recent measurements: queueing, a slow upstream and a busy vm delay
/// answers, and only the path itself delays all of them.
#[derive(Debug)]
pub(super) struct RoundTrip {
    /// When the current window began.
    began: BootInstant,
    /// Shortest time to an answer in the current window.
    current: Option<Duration>,
    /// Shortest time to an answer in the window before it.
    previous: Option<Duration>,
    measurements: u32,
    /// Mean number of queries until a statement is answered: its own and those that precede it.
    trips: f64,
}

impl RoundTrip {
    /// Creates an estimate without measurements.
    pub(super) fn new() -> Self {
        Self {
            began: BootInstant::default(),
            current: None,
            previous: None,
            measurements: 0,
            trips: 1.0,
        }
    }

    /// Adds the time to the answer of a query that holds no slot.
    pub(super) fn note(&mut self, took: Duration, now: BootInstant) {
        if now.since(self.began) >= WINDOW {
            self.previous = self.current.take();
            self.began = now;
        }
        self.current = Some(self.current.map_or(took, |least| least.min(took)));
        self.measurements = self.measurements.saturating_add(1);
    }

    /// Adds the number of queries that it took until a statement was answered.
    pub(super) fn note_queries(&mut self, queries: u32) {
        self.trips += (f64::from(queries.max(1)) - self.trips) / WEIGHT_DIVISOR;
    }

    /// Returns the round trip, or zero while it is unknown.
    pub(super) fn time(&self) -> Duration {
        if self.measurements < MIN_MEASUREMENTS {
            return Duration::ZERO;
        }
        let least = self.current.into_iter().chain(self.previous).min();
        least.unwrap_or_default()
    }

    /// Returns the mean time on the network until a statement is answered.
    pub(super) fn per_statement(&self) -> Duration {
        self.time().mul_f64(self.trips)
    }
}
