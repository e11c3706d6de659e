//! Waiting statements of one account.

use std::collections::VecDeque;
use std::time::Instant;

use super::slots::Ticket;

/// Statement that waits for a slot.
#[derive(Debug, Clone, Copy)]
pub(super) struct Waiting {
    pub(super) ticket: Ticket,
    pub(super) deadline: Instant,
}

/// Waiting statements of one account, oldest first.
#[derive(Debug, Default)]
pub(super) struct Lane {
    pub(super) waiting: VecDeque<Waiting>,
    pub(super) weight: usize,
    /// Statements that the account may still start in this round.
    pub(super) deficit: usize,
}

impl Lane {
    /// Returns how many statements leave this lane in `rounds` rounds.
    pub(super) fn served_in(&self, rounds: usize) -> usize {
        self.waiting.len().min(rounds.saturating_mul(self.weight))
    }

    /// Removes a ticket; `false` when it does not wait here.
    pub(super) fn remove(&mut self, ticket: Ticket) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|w| w.ticket != ticket);
        self.waiting.len() < before
    }
}
