//! Share of an account's rate that one authority grants.

use std::collections::VecDeque;
use std::time::Duration;

use mustardbay_policy::account::Bucket;
use mustardbay_policy::account::TOKEN;

use crate::clock::BootInstant;
use crate::rates::GRANT_TTL;
use crate::rates::Grant;
use crate::rates::Remainder;
use crate::rates::Split;
use crate::rates::TokenRequest;
use crate::rates::expiring_amounts::ExpiringAmounts;

/// Divisor of the burst that gives the amount a window may add back while it lasts.
///
/// Each window allows rate and burst, but a bucket gives the burst only once. Adding back the
/// whole burst would let an account exceed a window's bound by a seventh after its authority
/// restarted without state; half of it, by a thirteenth.
const REGAINED_BURST_DIVISOR: u64 = 2;
/// Shortest time over which spare capacity of a window is added to the bucket.
const SLACK_SPREAD: Duration = Duration::from_secs(1);

/// Share of an account's rate that one authority grants.
///
/// A token bucket paces it. Once a full window of grants is known, capacity that the window has
/// beyond the bucket is added slowly. No grant exceeds the remaining capacity of the window.
#[derive(Debug)]
pub(super) struct AuthorityShare {
    bucket: Bucket,
    split: Split,
    window: Duration,
    /// Tokens that were spent within the last window.
    spent: ExpiringAmounts,
    /// Tokens granted in advance that may have been spent within the last window.
    maybe_spent: ExpiringAmounts,
    /// Tokens granted in advance that other vms may still spend.
    outstanding: ExpiringAmounts,
    /// Times at which promised tokens accrue; each is then taken from the bucket.
    promised: VecDeque<BootInstant>,
    /// Time from which tokens accrue.
    starts_at: BootInstant,
    /// Time since which `spent` and `maybe_spent` hold everything that was granted.
    known_since: BootInstant,
    /// Time up to which tokens have accrued.
    advanced_to: BootInstant,
}

impl AuthorityShare {
    pub(super) fn new(split: Split, window: Duration, from: BootInstant) -> Self {
        let start = from.since_boot();
        Self {
            bucket: Bucket::empty(split.granted_rate, split.granted_burst, start),
            split,
            window,
            spent: ExpiringAmounts::default(),
            maybe_spent: ExpiringAmounts::default(),
            outstanding: ExpiringAmounts::default(),
            promised: VecDeque::new(),
            starts_at: from,
            known_since: from,
            advanced_to: from,
        }
    }

    /// Accrues tokens up to the burst, less those that other vms may still spend.
    pub(super) fn advance(&mut self, now: BootInstant) {
        for amounts in [
            &mut self.spent,
            &mut self.maybe_spent,
            &mut self.outstanding,
        ] {
            amounts.advance(now);
        }
        let regained = self.regained(now);
        self.advanced_to = self.advanced_to.max(now);
        self.bucket.advance(now.since_boot());
        self.bucket.add(regained);
        let room = self
            .split
            .granted_burst
            .saturating_sub(self.outstanding.total());
        self.bucket.resize(self.split.granted_rate, room.max(TOKEN));
        self.settle_promises(now);
    }

    /// Changes the share's rate and burst.
    ///
    /// A change starts a new window; until that is over, the bucket alone limits grants.
    pub(super) fn set_split(&mut self, split: Split, now: BootInstant) {
        if split == self.split {
            return;
        }
        self.split = split;
        self.spent = ExpiringAmounts::default();
        self.maybe_spent = ExpiringAmounts::default();
        self.known_since = self.starts_at.max(now);
    }

    /// Moves a start that is still in the future to the earlier time `from`.
    pub(super) fn start_earlier(&mut self, from: BootInstant, now: BootInstant) {
        if self.starts_at > now && from < self.starts_at {
            let remainder = self.remainder();
            *self = Self::new(self.split, self.window, from.max(now));
            self.take_over(remainder, now);
        }
    }

    /// Grants up to the requested amount, or promises the next token.
    pub(super) fn grant(&mut self, request: TokenRequest, now: BootInstant) -> Grant {
        let free = self.bucket.tokens().min(self.window_room());
        let free = free.saturating_sub(self.owed());
        let amount = request.amount.min(free / TOKEN * TOKEN);
        if amount == 0 || !self.bucket.take(amount) {
            return self.promise(request, now);
        }
        let used = if request.waiting { TOKEN } else { 0 };
        let ahead = amount.saturating_sub(used);
        self.spent.add(amount - ahead, self.window, now);
        self.maybe_spent.add(ahead, self.window + GRANT_TTL, now);
        self.outstanding.add(ahead, GRANT_TTL, now);
        Grant::now(amount)
    }

    /// Adds what a former authority had left, and takes over its promises.
    pub(super) fn take_over(&mut self, remainder: Remainder, now: BootInstant) {
        self.advance(now);
        self.bucket.add(remainder.amount);
        // An authority never owes more than a burst, so a larger count in a message is invalid.
        let max = u32::try_from(self.split.granted_burst / TOKEN).unwrap_or(u32::MAX);
        let promised = remainder.promised.min(max);
        self.promised.extend((0..promised).map(|_| now));
        self.settle_promises(now);
    }

    /// Returns the remaining tokens and the promises that they do not cover.
    pub(super) fn remainder(&self) -> Remainder {
        let owed = u32::try_from(self.promised.len()).unwrap_or(u32::MAX);
        let covered = u32::try_from(self.bucket.tokens() / TOKEN).unwrap_or(u32::MAX);
        Remainder {
            amount: self.bucket.tokens().saturating_sub(self.owed()),
            promised: owed.saturating_sub(covered),
        }
    }

    /// Promises the next token to accrue if the waiting operation waits long enough.
    fn promise(&mut self, request: TokenRequest, now: BootInstant) -> Grant {
        let wanted = self.owed().saturating_add(TOKEN);
        if self.window_room() < wanted {
            let expiries = [self.spent.next_expiry(), self.maybe_spent.next_expiry()];
            let soonest = expiries.into_iter().flatten().min().unwrap_or(now);
            return Grant::none(soonest.since(now));
        }
        // Each promised token is taken when it accrues, so the bucket never holds them all.
        let next = self.bucket.time_to_accrue(wanted);
        let Some(after) = next.map(|after| after.saturating_add(self.starts_at.since(now))) else {
            return Grant::none(self.window);
        };
        if request.waiting && after <= request.max_wait {
            self.promised.push_back(now.after(after));
            return Grant::promise(after);
        }
        Grant::none(after)
    }

    /// Takes due promised tokens; one that a lowered rate delays stays promised.
    fn settle_promises(&mut self, now: BootInstant) {
        while self.promised.front().is_some_and(|due| *due <= now) && self.bucket.take(TOKEN) {
            self.promised.pop_front();
            self.spent.add(TOKEN, self.window, now);
        }
    }

    /// Returns the spare capacity to add since the last call, beyond what accrues.
    fn regained(&self, now: BootInstant) -> u64 {
        if now.since(self.known_since) < self.window {
            return 0;
        }
        let passed = now.since(self.advanced_to);
        let burst = self.split.granted_burst / REGAINED_BURST_DIVISOR;
        let max = pro_rata(burst, passed, self.window);
        let held = self.bucket.tokens().saturating_add(self.owed());
        let slack = self.window_room().saturating_sub(held);
        max.min(pro_rata(slack, passed, SLACK_SPREAD))
    }

    /// Returns the amount that may still be spent within the window.
    fn window_room(&self) -> u64 {
        let accrues = pro_rata(self.split.granted_rate, self.window, Duration::from_secs(1));
        let bound = accrues.saturating_add(self.split.granted_burst);
        let spent = self.spent.total().saturating_add(self.maybe_spent.total());
        bound.saturating_sub(spent)
    }

    /// Returns the amount that was promised and not yet taken from the bucket.
    fn owed(&self) -> u64 {
        let count = u64::try_from(self.promised.len()).unwrap_or(u64::MAX);
        count.saturating_mul(TOKEN)
    }
}

/// Returns `amount` scaled by `time / whole`.
fn pro_rata(amount: u64, time: Duration, whole: Duration) -> u64 {
    let share = u128::from(amount) * time.as_nanos() / whole.as_nanos().max(1);
    u64::try_from(share).unwrap_or(u64::MAX)
}
