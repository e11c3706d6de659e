//! Rate admission: this process draws tokens of an account in batches and spends them on requests.
//!
//! One token admits one batch of statements: a simple query, or the messages up to a `Sync`. Each
//! batch of a transaction costs one token, and so does preparing a statement. A request that the
//! proxy answers without an upstream costs none.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// Time that the tokens of one draw should last at the current request rate.
const DRAW_HORIZON: Duration = Duration::from_millis(100);
/// Most tokens requested in one draw.
const MAX_DRAW_TOKENS: u64 = 10_000;
/// Shortest interval over which the request rate is measured.
const MIN_RATE_INTERVAL: Duration = Duration::from_millis(1);
/// Longest time that a steward takes to answer a draw.
///
/// A steward that has just started waits for its links to peers before it answers.
pub const MAX_DRAW_WAIT: Duration = Duration::from_millis(300);
/// Longest wait for the answer to a draw: `MAX_DRAW_WAIT` plus the local round trip.
const DRAW_TIMEOUT: Duration = Duration::from_millis(350);
/// Time past its retry time during which an empty answer still counts as "rate exceeded".
const SPENT_TTL: Duration = Duration::from_secs(1);
/// Retry time for a caller while the source of tokens does not answer.
const NO_ANSWER_RETRY: Duration = Duration::from_millis(250);

/// Unspent tokens of one grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Grant {
    remaining: u64,
    expires: Instant,
}

/// Draw that has not been answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct PendingDraw {
    sent: Instant,
}

/// Instruction to the caller to draw tokens from the steward.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrawOrder {
    /// Tokens to request; 0 only reports.
    pub wanted: u64,
    /// Tokens spent or expired since the last draw, which the draw reports.
    pub spent: u64,
}

/// Result of an attempt to admit a batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The batch may run; one token was spent.
    Admitted,
    /// A draw is pending; try again once it is answered, or at this time at the latest.
    Wait(Instant),
    /// Refused because the account has used up its rate; a retry may succeed after this time.
    RateExceeded(Duration),
    /// Refused because the source of tokens does not answer; a retry may succeed after this time.
    RateUnknown(Duration),
}

/// Last draw, if it yielded no token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct FailedDraw {
    /// Time before which no further draw is sent.
    retry_at: Instant,
    /// Whether the source answered that the account has no tokens, now or shortly before.
    answered: bool,
}

impl FailedDraw {
    /// Tells whether the source recently answered that the account has no tokens.
    fn is_recently_spent(self, now: Instant) -> bool {
        self.answered && now < self.retry_at + SPENT_TTL
    }

    fn refusal(self, now: Instant) -> Admission {
        let after = self.retry_at.saturating_duration_since(now);
        if self.answered {
            Admission::RateExceeded(after)
        } else {
            Admission::RateUnknown(after)
        }
    }
}

/// Tokens of one account that this process holds.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct TokenBuffer {
    grants: VecDeque<Grant>,
    draw: Option<PendingDraw>,
    failed_draw: Option<FailedDraw>,
    last_draw: Option<Instant>,
    /// Batches that asked for admission since the last draw.
    requests: u64,
    /// Tokens spent or expired that no draw has reported yet.
    spent: u64,
    /// Number of tokens at or below which the next draw is sent.
    low_water: u64,
}

impl TokenBuffer {
    /// Decides whether one batch may run, and orders a draw if tokens run low.
    ///
    /// Only a token whose grant is still valid at `now` is spent.
    pub fn admit(&mut self, now: Instant) -> (Admission, Option<DrawOrder>) {
        self.drop_expired(now);
        self.requests += 1;
        if self.spend() {
            let order = (self.held() <= self.low_water).then(|| self.order_draw(now));
            return (Admission::Admitted, order.flatten());
        }
        let order = self.order_draw(now);
        match (self.draw, self.failed_draw) {
            (Some(draw), _) if now < draw.sent + DRAW_TIMEOUT => {
                (Admission::Wait(draw.sent + DRAW_TIMEOUT), order)
            }
            (_, Some(failed)) if now < failed.retry_at => (failed.refusal(now), order),
            (_, Some(failed)) if failed.is_recently_spent(now) => {
                (Admission::RateExceeded(NO_ANSWER_RETRY), order)
            }
            _ => (Admission::RateUnknown(NO_ANSWER_RETRY), order),
        }
    }

    /// Handles the answer to the pending draw.
    ///
    /// The tokens are valid for `valid` from the time at which the draw was sent. With `granted` at
    /// 0, `retry_after` is the time until the next draw may be sent.
    pub fn on_granted(
        &mut self,
        granted: u64,
        valid: Duration,
        retry_after: Duration,
        now: Instant,
    ) {
        let Some(draw) = self.draw.take() else {
            return;
        };
        if granted == 0 {
            self.failed_draw = Some(FailedDraw {
                retry_at: now + retry_after,
                answered: true,
            });
            return;
        }
        self.failed_draw = None;
        self.grants.push_back(Grant {
            remaining: granted,
            expires: draw.sent + valid,
        });
        self.low_water = granted / 2;
    }

    /// Handles a draw that was not answered.
    pub fn on_unanswered(&mut self, now: Instant) {
        self.draw = None;
        let answered = self
            .failed_draw
            .is_some_and(|failed| failed.is_recently_spent(now));
        self.failed_draw = Some(FailedDraw {
            retry_at: now + NO_ANSWER_RETRY,
            answered,
        });
    }

    /// Orders a draw of 0 tokens if spent tokens have to be reported and no draw is pending.
    pub fn report(&mut self, now: Instant) -> Option<DrawOrder> {
        self.drop_expired(now);
        if self.spent == 0 || self.draw.is_some() {
            return None;
        }
        Some(DrawOrder {
            wanted: 0,
            spent: std::mem::take(&mut self.spent),
        })
    }

    /// Returns the number of tokens held, including those that expired since the last call.
    #[must_use]
    pub fn held(&self) -> u64 {
        self.grants.iter().map(|g| g.remaining).sum()
    }

    fn spend(&mut self) -> bool {
        let Some(grant) = self.grants.front_mut() else {
            return false;
        };
        grant.remaining -= 1;
        if grant.remaining == 0 {
            self.grants.pop_front();
        }
        self.spent += 1;
        true
    }

    fn drop_expired(&mut self, now: Instant) {
        let spent = &mut self.spent;
        self.grants.retain(|grant| {
            let valid = now < grant.expires;
            if !valid {
                *spent += grant.remaining;
            }
            valid
        });
    }

    /// Orders a draw, unless one is pending or the last one failed and may not be retried yet.
    fn order_draw(&mut self, now: Instant) -> Option<DrawOrder> {
        let backing_off = self.failed_draw.is_some_and(|failed| now < failed.retry_at);
        if self.draw.is_some() || backing_off {
            return None;
        }
        let wanted = self.wanted(now);
        self.draw = Some(PendingDraw { sent: now });
        self.last_draw = Some(now);
        self.requests = 0;
        Some(DrawOrder {
            wanted,
            spent: std::mem::take(&mut self.spent),
        })
    }

    /// Returns the number of tokens that the current request rate uses within `DRAW_HORIZON`.
    fn wanted(&self, now: Instant) -> u64 {
        let Some(last) = self.last_draw else {
            return self.requests.max(1);
        };
        let elapsed = now.saturating_duration_since(last).max(MIN_RATE_INTERVAL);
        let tokens = u128::from(self.requests) * DRAW_HORIZON.as_micros() / elapsed.as_micros();
        u64::try_from(tokens)
            .unwrap_or(MAX_DRAW_TOKENS)
            .clamp(1, MAX_DRAW_TOKENS)
    }
}
