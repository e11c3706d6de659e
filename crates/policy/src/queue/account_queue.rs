//! Queue of one account's waiting statements.

use std::collections::VecDeque;
use std::time::Instant;

use super::slot_queue::Ticket;

/// Statement that waits for a slot, and the time by which it must start.
#[derive(Debug, Clone, Copy)]
pub(super) struct Waiter {
    pub(super) ticket: Ticket,
    pub(super) deadline: Instant,
}

/// Waiting statements of one account, oldest first.
#[derive(Debug, Default)]
pub(super) struct AccountQueue {
    pub(super) waiting: VecDeque<Waiter>,
    pub(super) weight: usize,
    /// Statements that the account may still start in the current round.
    pub(super) deficit: usize,
}

impl AccountQueue {
    /// Returns how many waiting statements start within `rounds` rounds.
    pub(super) fn served_in(&self, rounds: usize) -> usize {
        self.waiting.len().min(rounds.saturating_mul(self.weight))
    }

    /// Removes a statement; returns `false` if it is not in this queue.
    pub(super) fn remove(&mut self, ticket: Ticket) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|waiter| waiter.ticket != ticket);
        self.waiting.len() < before
    }
}
