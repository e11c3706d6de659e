//! Last known positions of a group's upstreams.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::names::UpstreamName;
use crate::position::Position;

/// Position of an upstream as last observed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ObservedPosition {
    /// Position up to which it had applied the log.
    pub applied: Position,
    /// Time between its last confirmed contact with the primary and the observation.
    pub age: Duration,
    /// Time of the observation.
    pub at: Instant,
}

impl ObservedPosition {
    /// Returns the age of the data at `now`, assuming no contact with the primary since then.
    #[must_use]
    pub fn age_at(&self, now: Instant) -> Duration {
        self.age + now.saturating_duration_since(self.at)
    }
}

/// Last known positions and last failures of a group's upstreams.
#[derive(Debug, Clone, Default)]
pub struct Positions {
    observed: BTreeMap<UpstreamName, ObservedPosition>,
    failures: BTreeMap<UpstreamName, Instant>,
}

impl Positions {
    /// Records an observation; one below the known position is ignored.
    pub fn observe(&mut self, upstream: UpstreamName, observation: ObservedPosition) {
        let entry = self.observed.entry(upstream).or_insert(observation);
        if observation.applied >= entry.applied {
            *entry = observation;
        }
    }

    /// Returns the last observed position of an upstream.
    #[must_use]
    pub fn get(&self, upstream: &UpstreamName) -> Option<ObservedPosition> {
        self.observed.get(upstream).copied()
    }

    /// Records that an upstream or its pool failed at `now`.
    pub fn note_failure(&mut self, upstream: UpstreamName, now: Instant) {
        self.failures.insert(upstream, now);
    }

    /// Records that an upstream answered, which clears its failure.
    pub fn note_answer(&mut self, upstream: &UpstreamName) {
        if !self.failures.is_empty() {
            self.failures.remove(upstream);
        }
    }

    /// Returns whether an upstream failed within `window` before `now`.
    #[must_use]
    pub fn failed_within(&self, upstream: &UpstreamName, window: Duration, now: Instant) -> bool {
        self.failures
            .get(upstream)
            .is_some_and(|at| now.saturating_duration_since(*at) < window)
    }

    /// Returns every upstream with its last observed position.
    pub fn iter(&self) -> impl Iterator<Item = (&UpstreamName, &ObservedPosition)> {
        self.observed.iter()
    }
}
