//! Tokens of one account granted to this vm.

use std::collections::VecDeque;
use std::time::Duration;

use mustardbay_policy::account::TOKEN;

use crate::clock::BootInstant;
use crate::rates::GRANT_TTL;
use crate::rates::TokenRequest;

/// Time span whose demand is requested at once.
const PREFETCH_SPAN: Duration = Duration::from_millis(250);
/// Time span whose demand the unspent tokens must cover; below that, more are requested.
const REFILL_SPAN: Duration = Duration::from_millis(100);
/// Least demand over [`PREFETCH_SPAN`] from which tokens are requested in advance.
const MIN_PREFETCH: u64 = 3 * TOKEN;
/// Time constant of the average of demand.
const DEMAND_WINDOW: Duration = Duration::from_secs(1);
/// Time after which an unanswered request is sent again.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(250);

/// Result of trying to spend a token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Take {
    /// A token was spent; the operation may run after this delay.
    Spent(Duration),
    /// There is none; the authority's answer may bring one.
    Wait,
}

/// Tokens of one grant.
#[derive(Debug, Clone, Copy)]
struct LocalGrant {
    amount: u64,
    /// Time from which the tokens may be spent.
    due: BootInstant,
    /// Time from which the tokens may no longer be spent.
    expires: BootInstant,
}

/// Unspent tokens of one account on one vm, and its demand for them.
#[derive(Debug)]
pub struct LocalTokens {
    grants: VecDeque<LocalGrant>,
    /// Average demand, in operations per second.
    demand: f64,
    demand_at: BootInstant,
    asked: Option<BootInstant>,
}

impl LocalTokens {
    /// Creates an account's state without tokens.
    #[must_use]
    pub fn new(now: BootInstant) -> Self {
        Self {
            grants: VecDeque::new(),
            demand: 0.0,
            demand_at: now,
            asked: None,
        }
    }

    /// Spends a token for a new operation, which waits for `max_wait` at most.
    pub fn take(&mut self, max_wait: Duration, now: BootInstant) -> Take {
        self.record_demand(now);
        self.retry_take(max_wait, now)
    }

    /// Spends a token for an operation that already counts towards demand.
    pub fn retry_take(&mut self, max_wait: Duration, now: BootInstant) -> Take {
        self.drop_expired(now);
        let latest = now.after(max_wait);
        let grants = self.grants.iter().enumerate();
        let in_time = grants.filter(|(_, grant)| grant.due <= latest);
        let soonest = in_time.min_by_key(|(_, grant)| grant.due);
        let Some(index) = soonest.map(|(index, _)| index) else {
            return Take::Wait;
        };
        let grant = &mut self.grants[index];
        let due = grant.due;
        grant.amount -= TOKEN;
        if grant.amount < TOKEN {
            self.grants.remove(index);
        }
        Take::Spent(due.since(now))
    }

    /// Returns the request to send to an authority, if a refill is due.
    ///
    /// `needed` tells that an operation waits for a token. Tokens are requested in advance only if
    /// demand would spend several before they expire; otherwise each would be granted twice, once
    /// to expire unused.
    pub fn refill_request(&mut self, needed: bool, now: BootInstant) -> Option<TokenRequest> {
        if self.asked.is_some_and(|at| now.since(at) < REQUEST_TIMEOUT) {
            return None;
        }
        self.drop_expired(now);
        let held: u64 = self.grants.iter().map(|grant| grant.amount).sum();
        let prefetch = self.demand_over(PREFETCH_SPAN);
        let low = self.demand_over(REFILL_SPAN).max(TOKEN);
        let wanted = needed || (prefetch >= MIN_PREFETCH && held < low);
        if !wanted || held >= low {
            return None;
        }
        self.asked = Some(now);
        let want = prefetch.max(TOKEN);
        Some(TokenRequest {
            amount: want.saturating_sub(held).div_ceil(TOKEN) * TOKEN,
            waiting: needed,
            max_wait: Duration::ZERO,
        })
    }

    /// Adds an amount granted for a request sent at `asked`; it may be spent from `due` on.
    pub fn granted(&mut self, amount: u64, asked: BootInstant, due: BootInstant) {
        self.asked = None;
        if amount >= TOKEN {
            self.grants.push_back(LocalGrant {
                amount,
                due,
                expires: asked.after(GRANT_TTL),
            });
        }
    }

    fn drop_expired(&mut self, now: BootInstant) {
        self.grants.retain(|grant| grant.expires > now);
    }

    fn record_demand(&mut self, now: BootInstant) {
        let windows = now.since(self.demand_at).as_secs_f64() / DEMAND_WINDOW.as_secs_f64();
        self.demand = self.demand * (-windows).exp() + 1.0 / DEMAND_WINDOW.as_secs_f64();
        self.demand_at = now;
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "demand is a small positive number"
    )]
    fn demand_over(&self, time: Duration) -> u64 {
        (self.demand * time.as_secs_f64() * TOKEN as f64) as u64
    }
}
