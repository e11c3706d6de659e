//! Positions of the primary over time: what a replica must hold for reads of a given age.

use std::collections::VecDeque;
use std::time::Duration;

use mustardbay_policy::position::Position;
use mustardbay_policy::position::Term;

use crate::clock::Moment;

/// Age beyond which a sample serves no route.
const KEPT: Duration = Duration::from_secs(10);
/// Least time between two samples that are kept.
const SPACING: Duration = Duration::from_millis(20);
/// Part of a staleness bound that is left for the way to the upstream and its queue.
const MARGIN: Duration = Duration::from_millis(250);

/// Positions that a proven primary had, each dated by when it was asked.
///
/// A position covers every commit that was acknowledged before it was asked for.
#[derive(Debug, Default)]
pub(super) struct Horizon {
    samples: VecDeque<(Moment, Position)>,
}

impl Horizon {
    /// Notes that the primary had reached `position` when it was asked.
    ///
    /// Positions of older terms are dropped, since a promotion may have rolled them back.
    pub(super) fn note(&mut self, asked: Moment, position: Position) {
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
            if asked.since(*last) < SPACING && several {
                *known = (*known).max(position);
                return;
            }
        }
        self.samples.push_back((asked, position));
        while self
            .samples
            .front()
            .is_some_and(|(at, _)| asked.since(*at) > KEPT)
        {
            self.samples.pop_front();
        }
    }

    /// Returns the position that covers every commit older than `staleness`, the oldest that does.
    pub(super) fn floor(&self, staleness: Duration, now: Moment) -> Option<Position> {
        let bound = staleness.saturating_sub(MARGIN);
        self.samples
            .iter()
            .find(|(at, _)| now.since(*at) <= bound)
            .map(|(_, position)| *position)
    }

    /// Returns for how long the primary has been beyond a position; zero if it was not seen beyond.
    pub(super) fn beyond(&self, position: Position, now: Moment) -> Duration {
        self.samples
            .iter()
            .find(|(_, known)| *known > position)
            .map_or(Duration::ZERO, |(at, _)| now.since(*at))
    }

    /// Returns the time since the primary reached a position; zero if it was not seen there.
    pub(super) fn age_of(&self, position: Position, now: Moment) -> Duration {
        self.samples
            .iter()
            .find(|(_, known)| *known >= position)
            .map_or(Duration::ZERO, |(at, _)| now.since(*at))
    }

    /// Returns the time since the newest sample.
    pub(super) fn age(&self, now: Moment) -> Option<Duration> {
        self.samples.back().map(|(at, _)| now.since(*at))
    }

    /// Returns the newest term that was seen.
    pub(super) fn term(&self) -> Option<Term> {
        self.samples.back().map(|(_, position)| position.term)
    }
}
