//! Log positions of the primary over time, to bound the staleness of replica reads.

use std::collections::VecDeque;
use std::time::Duration;

use mustardbay_policy::position::Position;
use mustardbay_policy::position::Term;

use crate::clock::BootInstant;

/// Part of a staleness bound that is reserved for the clocks' resolution.
///
/// The bound counts from the read's first byte at its caller. Network and queueing times need no
/// reserve: they only make the required position newer than it has to be.
const CLOCK_MARGIN: Duration = Duration::from_millis(10);

/// Log positions of a proven primary, each with the time at which the primary was asked for it.
///
/// A position covers every commit that was acknowledged before it was asked for.
#[derive(Debug)]
pub(crate) struct PositionHistory {
    /// Times and positions, oldest first, all of one term.
    samples: VecDeque<(BootInstant, Position)>,
    max_age: Duration,
    min_gap: Duration,
}

impl PositionHistory {
    /// Creates a history that keeps samples up to `max_age`, at least `min_gap` apart.
    pub(crate) fn new(max_age: Duration, min_gap: Duration) -> Self {
        Self {
            samples: VecDeque::new(),
            max_age,
            min_gap,
        }
    }

    /// Records that the primary had reached `position` when it was asked.
    ///
    /// Positions of older terms are dropped, since a promotion may have rolled their entries back.
    pub(crate) fn note(&mut self, asked: BootInstant, position: Position) {
        self.samples
            .retain(|(_, known)| known.term >= position.term);
        if self.term().is_some_and(|term| term > position.term) {
            return;
        }
        let several = self.samples.len() > 1;
        if let Some((last, known)) = self.samples.back_mut() {
            if asked < *last {
                return;
            }
            if asked.since(*last) < self.min_gap && several {
                *known = (*known).max(position);
                return;
            }
        }
        self.samples.push_back((asked, position));
        while self
            .samples
            .front()
            .is_some_and(|(at, _)| asked.since(*at) > self.max_age)
        {
            self.samples.pop_front();
        }
    }

    /// Returns the oldest known position that covers every commit older than `staleness`.
    pub(crate) fn floor(&self, staleness: Duration, now: BootInstant) -> Option<Position> {
        let bound = staleness.saturating_sub(CLOCK_MARGIN);
        self.samples
            .iter()
            .find(|(at, _)| now.since(*at) <= bound)
            .map(|(_, position)| *position)
    }

    /// Returns for how long the primary has been past a position; zero if it was not seen past it.
    pub(crate) fn lag_of(&self, position: Position, now: BootInstant) -> Duration {
        self.samples
            .iter()
            .find(|(_, known)| *known > position)
            .map_or(Duration::ZERO, |(at, _)| now.since(*at))
    }

    /// Returns the time since the primary was first seen at or past a position; zero if never.
    pub(crate) fn age_of(&self, position: Position, now: BootInstant) -> Duration {
        self.samples
            .iter()
            .find(|(_, known)| *known >= position)
            .map_or(Duration::ZERO, |(at, _)| now.since(*at))
    }

    /// Returns the age of the newest sample.
    pub(crate) fn age(&self, now: BootInstant) -> Option<Duration> {
        self.samples.back().map(|(at, _)| now.since(*at))
    }

    /// Returns the newest sample: when the primary was asked, and its position.
    pub(crate) fn newest(&self) -> Option<(BootInstant, Position)> {
        self.samples.back().copied()
    }

    /// Returns the term of the newest sample.
    pub(crate) fn term(&self) -> Option<Term> {
        self.samples.back().map(|(_, position)| position.term)
    }
}
