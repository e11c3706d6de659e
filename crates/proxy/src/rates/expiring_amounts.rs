//! Sum of amounts that each expire after a time.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::BootInstant;

/// Shortest granularity to which expiry times are rounded up, which keeps the number of entries small.
const MIN_ROUNDING: Duration = Duration::from_millis(50);
/// Most entries within the time after which an amount expires.
const MAX_ENTRIES: u32 = 128;

/// Amounts ordered by expiry time, with their sum.
#[derive(Debug, Default)]
pub(super) struct ExpiringAmounts {
    /// Expiry times and amounts in millionths of a token.
    entries: VecDeque<(BootInstant, u64)>,
    total: u64,
}

impl ExpiringAmounts {
    /// Adds an amount that expires after `time`, rounded up by its 128th part or [`MIN_ROUNDING`] at most.
    pub(super) fn add(&mut self, amount: u64, time: Duration, now: BootInstant) {
        if amount == 0 {
            return;
        }
        self.total = self.total.saturating_add(amount);
        let rounding = (time / MAX_ENTRIES).max(MIN_ROUNDING);
        let expires = now.after(time);
        match self.entries.back_mut() {
            Some((last, known)) if expires <= *last => *known = known.saturating_add(amount),
            _ => self.entries.push_back((expires.after(rounding), amount)),
        }
    }

    /// Drops expired amounts.
    pub(super) fn advance(&mut self, now: BootInstant) {
        while let Some((_, amount)) = self.entries.pop_front_if(|(expires, _)| *expires <= now) {
            self.total = self.total.saturating_sub(amount);
        }
    }

    /// Returns the sum of the amounts.
    pub(super) fn total(&self) -> u64 {
        self.total
    }

    /// Returns the expiry time of the first amount.
    pub(super) fn next_expiry(&self) -> Option<BootInstant> {
        self.entries.front().map(|(expires, _)| *expires)
    }
}
