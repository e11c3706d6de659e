//! Loans between holders.

use std::time::Duration;

use super::Holder;
use crate::account::TOKEN;
use crate::escrow::Ask;
use crate::escrow::GRANT_VALIDITY;
use crate::escrow::LOAN_MARGIN;
use crate::escrow::LOAN_TERM;
use crate::escrow::Loan;
use crate::escrow::Parts;
use crate::escrow::Return;
use crate::escrow::loan::Borrowed;
use crate::escrow::loan::Lent;
use crate::escrow::loan::OpenAsk;
use crate::names::VmName;

/// Share of the account's rate that a lender counts as its own demand at least, as a divisor.
const RESERVE_DIVISOR: u64 = 100;
/// Part of the owned rate and burst that is never lent, as a divisor.
const FLOOR_DIVISOR: u64 = 8;
/// Smallest part of what is held that is worth moving for balance, as a divisor.
const LEAST_IMBALANCE: u64 = 6;
/// Fewest tokens that are worth a loan, in millionths.
const MIN_TOKENS: u64 = TOKEN / 10;
/// Fewest rate parts that are worth a loan.
const MIN_RATE: Parts = Parts(1_000);
/// Part of a loan's term in which it backs new grants, which then lapse within the rest.
const BACKING_TERM: Duration = LOAN_TERM.saturating_sub(GRANT_VALIDITY);
/// Time after which a question counts as lost.
const ASK_TIMEOUT: Duration = Duration::from_secs(1);

impl Holder {
    /// Asks each of `peers` for `tokens` whole tokens and a fair part of the rate.
    pub fn ask(&mut self, peers: &[VmName], tokens: u64, now: Duration) -> Vec<(VmName, Ask)> {
        self.advance(now);
        self.asks.retain(|a| a.sent + ASK_TIMEOUT > now);
        let demand = self.demand.rate(now);
        let held = self.rate_parts();
        let mut asks = Vec::new();
        for peer in peers {
            let request = self.next_number();
            self.asks.push(OpenAsk {
                request,
                to: peer.clone(),
                sent: now,
            });
            let ask = Ask {
                request,
                tokens: tokens.saturating_mul(TOKEN),
                demand,
                held,
            };
            asks.push((peer.clone(), ask));
        }
        asks
    }

    /// Tells whether questions are open that may still bring tokens.
    #[must_use]
    pub fn is_asking(&self) -> bool {
        !self.asks.is_empty()
    }

    /// Answers a question of `from`: what it lent comes back first, then a loan of owned parts.
    pub fn on_ask(&mut self, from: &VmName, ask: Ask, now: Duration) -> (Vec<Return>, Loan) {
        self.advance(now);
        let excess = self.excess(ask, now);
        let (returns, returned) = self.give_back(from, excess);
        let loan = self.lend(from, ask, excess.minus(returned), now);
        (returns, loan)
    }

    /// Takes in a loan; one that answers no open question is dropped.
    pub fn on_loan(&mut self, from: &VmName, loan: Loan, now: Duration) {
        self.advance(now);
        if !self.is_open(loan.request, from) {
            return;
        }
        let sent = self.asks.iter().find(|a| a.request == loan.request);
        let until = sent.map_or(now, |a| a.sent) + BACKING_TERM;
        self.asks.retain(|a| a.request != loan.request);
        if until <= now || (loan.rate, loan.burst) == (Parts::NONE, Parts::NONE) {
            return;
        }
        self.borrowed.push(Borrowed {
            loan: loan.loan,
            from: from.clone(),
            rate: loan.rate,
            burst: loan.burst,
            until,
        });
        self.resize();
        self.bucket.add(loan.tokens.min(loan.burst.of(self.burst)));
    }

    /// Takes back a loan before its term; one that has lapsed or was returned before is ignored.
    pub fn on_return(&mut self, from: &VmName, back: Return, now: Duration) {
        self.advance(now);
        let matches = |l: &Lent| l.loan == back.loan && l.to == *from;
        let Some(at) = self.lent.iter().position(matches) else {
            return;
        };
        let lent = self.lent.remove(at);
        self.resize();
        if self.frozen.is_none() {
            self.bucket.add(back.tokens.min(lent.burst.of(self.burst)));
        }
    }

    /// Returns the rate parts beyond this holder's share of what both hold, by demand.
    fn excess(&mut self, ask: Ask, now: Duration) -> Parts {
        let demand = self.own_demand(now);
        let held = self.rate_parts();
        let both = held.plus(ask.held);
        let fair = both.scaled(demand, demand.saturating_add(ask.demand));
        let excess = held.minus(fair);
        if excess < held.scaled(1, LEAST_IMBALANCE) {
            return Parts::NONE;
        }
        excess
    }

    /// Returns the tokens to lend; a holder that needs all that it gets itself lends none.
    fn spare_tokens(&mut self, ask: Ask, now: Duration) -> u64 {
        let demand = self.own_demand(now);
        let income = self.rate_parts().of(self.rate) / (TOKEN / 1_000);
        if demand >= income {
            return 0;
        }
        // Without a floor of tokens an idle holder that has just lent refuses its next caller.
        let floor = self.usable().scaled(1, FLOOR_DIVISOR).of(self.burst);
        let spare = self.bucket.tokens().saturating_sub(floor);
        // A fraction of a token serves nobody, however small the borrower's part is.
        scaled(spare, ask.demand, demand + ask.demand).max(spare.min(TOKEN))
    }

    /// Returns the tokens wanted here a second, in thousandths, and a reserve at least.
    fn own_demand(&mut self, now: Duration) -> u64 {
        let reserve = self.rate / RESERVE_DIVISOR / (TOKEN / 1_000);
        self.demand.rate(now).max(reserve).max(1)
    }

    /// Returns loans of `from` that are no longer than what it should get back.
    fn give_back(&mut self, from: &VmName, excess: Parts) -> (Vec<Return>, Parts) {
        let mut returns = Vec::new();
        let mut returned = Parts::NONE;
        let mut kept = Vec::new();
        let mut spare = self.burst_parts();
        for loan in std::mem::take(&mut self.borrowed) {
            let burst = spare.minus(loan.burst);
            if loan.from != *from
                || returned.plus(loan.rate) > excess
                || burst.of(self.burst) < self.granted()
            {
                kept.push(loan);
                continue;
            }
            spare = burst;
            returned = returned.plus(loan.rate);
            returns.push(loan);
        }
        self.borrowed = kept;
        let before = self.bucket.tokens();
        self.resize();
        let mut surplus = before - self.bucket.tokens();
        let to_return = |loan: Borrowed| {
            let tokens = surplus.min(loan.burst.of(self.burst));
            surplus -= tokens;
            Return {
                loan: loan.loan,
                tokens,
            }
        };
        (returns.into_iter().map(to_return).collect(), returned)
    }

    fn lend(&mut self, to: &VmName, ask: Ask, excess: Parts, now: Duration) -> Loan {
        let rate = excess.min(self.own_rate_left());
        let tokens = ask.tokens.min(self.spare_tokens(ask, now));
        let burst = self.spare_burst(tokens, rate);
        let tokens = tokens.min(burst.of(self.burst));
        let loan = Loan {
            request: ask.request,
            loan: self.next_number(),
            rate,
            burst,
            tokens,
        };
        let worthwhile = tokens >= MIN_TOKENS || rate >= MIN_RATE;
        if !worthwhile || !self.bucket.take(tokens) {
            return Loan {
                rate: Parts::NONE,
                burst: Parts::NONE,
                tokens: 0,
                ..loan
            };
        }
        self.lent.push(Lent {
            loan: loan.loan,
            to: to.clone(),
            rate,
            burst,
            until: now + LOAN_TERM + LOAN_MARGIN,
        });
        self.resize();
        loan
    }

    /// Returns burst parts to go with tokens and rate, out of owned ones that hold nothing else.
    fn spare_burst(&self, tokens: u64, rate: Parts) -> Parts {
        let wanted = Parts::holding(tokens, self.burst).max(rate);
        let lent = self.lent.iter().map(|l| l.burst).sum();
        let own = self.lendable().minus(lent);
        // A full bucket gives up one part, or rounding would leave the loan short of its tokens.
        let rounding = Parts(1).of(self.burst) + 1;
        let kept = self.bucket.tokens().saturating_sub(tokens);
        let occupied = self.granted() + kept.saturating_sub(rounding);
        let free = self
            .burst_parts()
            .minus(Parts::holding(occupied, self.burst));
        wanted.min(own).min(free)
    }

    fn own_rate_left(&self) -> Parts {
        let lent = self.lent.iter().map(|l| l.rate).sum();
        self.lendable().minus(lent)
    }

    /// Returns the owned parts beyond the floor that lets a domain that is cut off serve a little.
    fn lendable(&self) -> Parts {
        let usable = self.usable();
        usable.minus(usable.scaled(1, FLOOR_DIVISOR))
    }
}

fn scaled(amount: u64, numerator: u64, denominator: u64) -> u64 {
    let share = u128::from(amount) * u128::from(numerator) / u128::from(denominator.max(1));
    u64::try_from(share).unwrap_or(u64::MAX)
}
