//! Round trip of the links to one region, from recent pings.
//!
//! The load that it answers: statements and token requests to a healthy vm of a far region, whose
//! replies take longer than any reply within a region.

use std::collections::VecDeque;
use std::time::Duration;

/// Number of recent samples of which the shortest counts.
const MAX_SAMPLES: usize = 16;
/// Round trip that is assumed until one is measured: between neighbouring continents.
const ASSUMED_ROUND_TRIP: Duration = Duration::from_millis(100);
/// Longest round trip that lengthens a wait: halfway around the world.
const MAX_ROUND_TRIP: Duration = Duration::from_millis(300);

/// Recent round trips to the vms of one region.
///
/// Unlike the pool's round trip to an upstream, it is assumed until it is measured.
/// The shortest counts, because a vm that waits for its processor only makes a sample longer. The
/// waits that it lengthens leave time for processing themselves.
#[derive(Debug, Clone, Default)]
pub struct RoundTrip {
    recent: VecDeque<Duration>,
}

impl RoundTrip {
    /// Adds a measured round trip.
    pub fn record(&mut self, sample: Duration) {
        if self.recent.len() >= MAX_SAMPLES {
            self.recent.pop_front();
        }
        self.recent.push_back(sample);
    }

    /// Returns the time that the distance adds to a wait for a reply.
    #[must_use]
    pub fn added_wait(&self) -> Duration {
        let shortest = self.recent.iter().min().copied();
        shortest.unwrap_or(ASSUMED_ROUND_TRIP).min(MAX_ROUND_TRIP)
    }
}
