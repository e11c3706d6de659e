//! Shared reads of the primary's position, which give sessions a floor.

use crate::position::Position;

/// Number of a round; rounds are numbered from 1.
pub type Round = u64;

/// Rounds of position reads for one group, of which at most one runs at a time.
///
/// A session may use only a round that started after the session arrived. Sessions that arrive
/// during a round share the next one, which starts when the running one finishes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PositionRounds {
    running: Option<Round>,
    started: Round,
    wanted: Round,
    answered: Round,
    position: Option<Position>,
}

impl PositionRounds {
    /// Adds a session; returns its round, and whether the caller must start that round now.
    pub fn join(&mut self) -> (Round, bool) {
        let round = self.started + 1;
        self.wanted = round;
        if self.running.is_some() {
            return (round, false);
        }
        self.start(round);
        (round, true)
    }

    /// Finishes the running round; returns the next round, if the caller must start one.
    ///
    /// `None` as the position means that the round failed; its sessions must join again.
    pub fn finish(&mut self, position: Option<Position>) -> Option<Round> {
        if let (Some(round), Some(position)) = (self.running, position) {
            self.answered = round;
            self.position = Some(position);
        }
        self.running = None;
        let next = (self.wanted > self.started).then_some(self.wanted)?;
        self.start(next);
        Some(next)
    }

    /// Returns the state of a round.
    #[must_use]
    pub fn state(&self, round: Round) -> RoundState {
        match self.position {
            Some(position) if self.answered >= round => RoundState::Confirmed(position),
            _ if self.started >= round && self.running.is_none_or(|r| r > round) => {
                RoundState::Failed
            }
            _ => RoundState::Waiting,
        }
    }

    fn start(&mut self, round: Round) {
        self.running = Some(round);
        self.started = round;
    }
}

/// State of one round.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoundState {
    /// It has not started or not finished.
    Waiting,
    /// This or a later round read the position.
    Confirmed(Position),
    /// It finished without a position.
    Failed,
}
