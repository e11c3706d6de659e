//! Requesting, giving and returning loans.

use std::time::Duration;

use super::Holder;
use crate::account::TOKEN;
use crate::escrow::GRANT_VALIDITY;
use crate::escrow::LOAN_MARGIN;
use crate::escrow::LOAN_TERM;
use crate::escrow::Loan;
use crate::escrow::LoanRequest;
use crate::escrow::Parts;
use crate::escrow::Return;
use crate::escrow::loan::Borrowed;
use crate::escrow::loan::Lent;
use crate::escrow::loan::PendingRequest;
use crate::names::VmName;

/// Minimum demand that a lender assumes for itself, as a divisor of the account's rate.
const MIN_DEMAND_DIVISOR: u64 = 100;
/// Part that is never lent, as a divisor of the owned rate and burst.
const RETAINED_DIVISOR: u64 = 8;
/// Smallest excess of rate that is lent, as a divisor of the rate parts in use.
const MIN_EXCESS_DIVISOR: u64 = 6;
/// Fewest tokens for which a loan is made, in millionths.
const MIN_LOAN_TOKENS: u64 = TOKEN / 10;
/// Fewest rate parts for which a loan is made.
const MIN_LOAN_RATE: Parts = Parts(1_000);
/// Time for which a borrower uses a loan; grants backed by it then expire within its term.
const BORROW_TERM: Duration = LOAN_TERM.saturating_sub(GRANT_VALIDITY);
/// Timeout after which a request counts as lost.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

impl Holder {
    /// Creates a request to each of `peers` for `tokens` whole tokens and a fair share of the rate.
    pub fn request_loans(
        &mut self,
        peers: &[VmName],
        tokens: u64,
        now: Duration,
    ) -> Vec<(VmName, LoanRequest)> {
        self.advance(now);
        self.pending.retain(|a| a.sent + REQUEST_TIMEOUT > now);
        let demand = self.demand.rate(now);
        let held = self.rate_parts();
        let mut requests = Vec::new();
        for peer in peers {
            let number = self.next_number();
            self.pending.push(PendingRequest {
                request: number,
                to: peer.clone(),
                sent: now,
            });
            let request = LoanRequest {
                request: number,
                tokens: tokens.saturating_mul(TOKEN),
                demand,
                held,
            };
            requests.push((peer.clone(), request));
        }
        requests
    }

    /// Tells whether requests are pending that may still be answered by a loan.
    #[must_use]
    pub fn has_pending_requests(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Answers a request of `from`: returns loans taken from it first, then lends owned parts.
    pub fn on_loan_request(
        &mut self,
        from: &VmName,
        request: LoanRequest,
        now: Duration,
    ) -> (Vec<Return>, Loan) {
        self.advance(now);
        let excess = self.excess(request, now);
        let (returns, returned) = self.return_loans(from, excess);
        let loan = self.lend(from, request, excess.minus(returned), now);
        (returns, loan)
    }

    /// Handles a loan; one that answers no pending request is dropped.
    pub fn on_loan(&mut self, from: &VmName, loan: Loan, now: Duration) {
        self.advance(now);
        if !self.is_pending(loan.request, from) {
            return;
        }
        let sent = self.pending.iter().find(|a| a.request == loan.request);
        let until = sent.map_or(now, |a| a.sent) + BORROW_TERM;
        self.pending.retain(|a| a.request != loan.request);
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

    /// Handles the early return of a loan; one that has expired or been returned is ignored.
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

    /// Returns the rate parts beyond this holder's fair share, by demand, of what both hold.
    fn excess(&mut self, request: LoanRequest, now: Duration) -> Parts {
        let demand = self.own_demand(now);
        let held = self.rate_parts();
        let both = held.plus(request.held);
        let fair = both.scaled(demand, demand.saturating_add(request.demand));
        let excess = held.minus(fair);
        if excess < held.scaled(1, MIN_EXCESS_DIVISOR) {
            return Parts::NONE;
        }
        excess
    }

    /// Returns the tokens to lend; none if the own demand uses all that accrues.
    fn spare_tokens(&mut self, request: LoanRequest, now: Duration) -> u64 {
        let demand = self.own_demand(now);
        let income = self.rate_parts().of(self.rate) / (TOKEN / 1_000);
        if demand >= income {
            return 0;
        }
        // Without a reserve, an idle holder that has just lent would refuse its next caller.
        let reserve = self.usable().scaled(1, RETAINED_DIVISOR).of(self.burst);
        let spare = self.bucket.tokens().saturating_sub(reserve);
        // At least one whole token, since a borrower cannot spend a fraction of one.
        scaled(spare, request.demand, demand + request.demand).max(spare.min(TOKEN))
    }

    /// Returns the tokens requested a second on this vm, in thousandths; at least a minimum.
    fn own_demand(&mut self, now: Duration) -> u64 {
        let least = self.rate / MIN_DEMAND_DIVISOR / (TOKEN / 1_000);
        self.demand.rate(now).max(least).max(1)
    }

    /// Returns loans taken from `from`, up to `excess` rate parts, and the rate parts returned.
    ///
    /// A loan whose burst is needed for granted tokens stays.
    fn return_loans(&mut self, from: &VmName, excess: Parts) -> (Vec<Return>, Parts) {
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

    /// Lends tokens and up to `excess` rate parts; an empty loan if too little can be spared.
    fn lend(&mut self, to: &VmName, request: LoanRequest, excess: Parts, now: Duration) -> Loan {
        let rate = excess.min(self.lendable_rate());
        let tokens = request.tokens.min(self.spare_tokens(request, now));
        let burst = self.spare_burst(tokens, rate);
        let tokens = tokens.min(burst.of(self.burst));
        let loan = Loan {
            request: request.request,
            loan: self.next_number(),
            rate,
            burst,
            tokens,
        };
        let worthwhile = tokens >= MIN_LOAN_TOKENS || rate >= MIN_LOAN_RATE;
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

    /// Returns the burst parts to lend along with tokens and rate, out of unoccupied owned ones.
    fn spare_burst(&self, tokens: u64, rate: Parts) -> Parts {
        let wanted = Parts::covering(tokens, self.burst).max(rate);
        let lent = self.lent.iter().map(|l| l.burst).sum();
        let lendable = self.lendable().minus(lent);
        // Without this allowance for rounding, a full bucket would lend too little burst for the tokens.
        let rounding = Parts(1).of(self.burst) + 1;
        let kept = self.bucket.tokens().saturating_sub(tokens);
        let occupied = self.granted() + kept.saturating_sub(rounding);
        let free = self
            .burst_parts()
            .minus(Parts::covering(occupied, self.burst));
        wanted.min(lendable).min(free)
    }

    fn lendable_rate(&self) -> Parts {
        let lent = self.lent.iter().map(|l| l.rate).sum();
        self.lendable().minus(lent)
    }

    /// Returns the owned parts that may be lent.
    ///
    /// The retained rest lets a partitioned failure domain serve at a reduced rate.
    fn lendable(&self) -> Parts {
        let usable = self.usable();
        usable.minus(usable.scaled(1, RETAINED_DIVISOR))
    }
}

fn scaled(amount: u64, numerator: u64, denominator: u64) -> u64 {
    let share = u128::from(amount) * u128::from(numerator) / u128::from(denominator.max(1));
    u64::try_from(share).unwrap_or(u64::MAX)
}
