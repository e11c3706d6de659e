//! Share of one account on one virtual machine.

mod lending;
mod ownership;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use serde::Serialize;

use super::Draw;
use super::FREEZE_GAP;
use super::GRANT_VALIDITY;
use super::HolderId;
use super::Parts;
use super::demand::Demand;
use super::loan::Borrowed;
use super::loan::Lent;
use super::loan::OpenAsk;
use crate::account::Bucket;
use crate::account::TOKEN;
use crate::names::VmName;

/// Connection of a local program that draws tokens; counted from 1.
pub type DrawerId = u64;

/// Stands for the connections that are gone; their programs may be back on another one.
const GONE: DrawerId = 0;

/// Tokens handed to a local program that may still be spent.
#[derive(Debug, Clone, Copy)]
struct Grant {
    drawer: DrawerId,
    tokens: u64,
    until: Duration,
}

/// Share of one account on one virtual machine.
///
/// Every method takes a reading of the steward's monotonic clock.
#[derive(Debug, Clone)]
pub struct Holder {
    id: HolderId,
    rate: u64,
    burst: u64,
    epoch: u64,
    own: Parts,
    handovers: BTreeMap<HolderId, Parts>,
    past_handovers: BTreeSet<HolderId>,
    fences: BTreeSet<HolderId>,
    lent: Vec<Lent>,
    borrowed: Vec<Borrowed>,
    asks: Vec<OpenAsk>,
    grants: VecDeque<Grant>,
    void: BTreeMap<DrawerId, u64>,
    bucket: Bucket,
    demand: Demand,
    frozen: Option<Duration>,
    left: bool,
    counter: u64,
    at: Duration,
}

/// Amounts of a holder, for a dump.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Holding {
    /// Parts owned by the ledger's entry and by handovers.
    pub owned: Parts,
    /// Owners whose handovers are held.
    pub handovers: Vec<String>,
    /// Rate parts in use, after loans.
    pub rate: Parts,
    /// Burst parts in use, after loans.
    pub burst: Parts,
    /// Loans given.
    pub lent: usize,
    /// Loans taken.
    pub borrowed: usize,
    /// Tokens at hand, in millionths.
    pub tokens: u64,
    /// Tokens handed out and not reported spent.
    pub granted: u64,
    /// Whether owned parts wait for the ledger's confirmation.
    pub frozen: bool,
    /// Epoch of the ledger that was last seen.
    pub epoch: u64,
}

impl Holder {
    /// Creates a holder that owns nothing.
    ///
    /// `rate` and `burst` are the account's, in millionths of a token.
    #[must_use]
    pub fn new(id: HolderId, rate: u64, burst: u64, now: Duration) -> Self {
        // Numbers of an earlier life must never match those of this one.
        let counter = id.incarnation;
        Self {
            id,
            rate,
            burst,
            epoch: 0,
            own: Parts::NONE,
            handovers: BTreeMap::new(),
            past_handovers: BTreeSet::new(),
            fences: BTreeSet::new(),
            lent: Vec::new(),
            borrowed: Vec::new(),
            asks: Vec::new(),
            grants: VecDeque::new(),
            void: BTreeMap::new(),
            bucket: Bucket::empty(0, 0, now),
            demand: Demand::default(),
            frozen: None,
            left: false,
            counter,
            at: now,
        }
    }

    /// Takes over the rate and burst of a new bundle.
    pub fn set_limits(&mut self, rate: u64, burst: u64, now: Duration) {
        self.advance(now);
        self.rate = rate;
        self.burst = burst;
        self.resize();
    }

    /// Hands up to `wanted` tokens to a local program that reports `spent` earlier ones.
    pub fn draw(&mut self, drawer: DrawerId, wanted: u64, spent: u64, now: Duration) -> Draw {
        self.advance(now);
        self.settle(drawer, spent);
        self.demand.add(wanted, now);
        self.hand_out(drawer, wanted, now)
    }

    /// Tries a draw again whose demand was counted before.
    pub fn redraw(&mut self, drawer: DrawerId, wanted: u64, now: Duration) -> Draw {
        self.advance(now);
        self.hand_out(drawer, wanted, now)
    }

    /// Takes note that a connection is gone; its tokens stay out until they are void.
    ///
    /// The program may be back on another connection and report these tokens there.
    pub fn on_drawer_gone(&mut self, drawer: DrawerId) {
        for grant in self.grants.iter_mut().filter(|g| g.drawer == drawer) {
            grant.drawer = GONE;
        }
        if let Some(void) = self.void.remove(&drawer) {
            *self.void.entry(GONE).or_default() += void;
        }
    }

    /// Brings the share up to date: loans that lapse, grants that are void, tokens that accrue.
    pub fn advance(&mut self, now: Duration) {
        if now.saturating_sub(self.at) >= FREEZE_GAP {
            self.freeze(now);
        }
        while let Some(at) = self.next_change().filter(|at| *at <= now) {
            self.bucket.advance(at);
            self.drop_lapsed(at);
            self.resize();
        }
        self.bucket.advance(now);
        self.at = self.at.max(now);
    }

    /// Describes the share.
    #[must_use]
    pub fn holding(&self) -> Holding {
        Holding {
            owned: self.owned(),
            handovers: self.handovers.keys().map(ToString::to_string).collect(),
            rate: self.rate_parts(),
            burst: self.burst_parts(),
            lent: self.lent.len(),
            borrowed: self.borrowed.len(),
            tokens: self.bucket.tokens(),
            granted: self.granted() / TOKEN,
            frozen: self.frozen.is_some(),
            epoch: self.epoch,
        }
    }

    fn hand_out(&mut self, drawer: DrawerId, wanted: u64, now: Duration) -> Draw {
        let tokens = wanted.min(self.bucket.tokens() / TOKEN);
        if tokens == 0 || !self.bucket.take(tokens * TOKEN) {
            let retry_after = self.bucket.time_until(TOKEN);
            return Draw::Short { retry_after };
        }
        self.grants.push_back(Grant {
            drawer,
            tokens: tokens * TOKEN,
            until: now + GRANT_VALIDITY,
        });
        self.resize();
        Draw::Granted(tokens)
    }

    /// Frees the burst of tokens that a local program reports spent, oldest first.
    ///
    /// Reports of tokens that were written off meanwhile free nothing a second time.
    fn settle(&mut self, drawer: DrawerId, spent: u64) {
        let mut rest = spent.saturating_mul(TOKEN);
        for of in [GONE, drawer] {
            if let Some(void) = self.void.get_mut(&of) {
                let late = rest.min(*void);
                *void -= late;
                rest -= late;
            }
        }
        for of in [GONE, drawer] {
            for grant in self.grants.iter_mut().filter(|g| g.drawer == of) {
                let settled = grant.tokens.min(rest);
                grant.tokens -= settled;
                rest -= settled;
            }
        }
        self.grants.retain(|g| g.tokens > 0);
        self.resize();
    }

    fn freeze(&mut self, now: Duration) {
        self.frozen = Some(now);
        self.bucket.clear();
        self.asks.clear();
        self.resize();
    }

    fn next_change(&self) -> Option<Duration> {
        let lent = self.lent.iter().map(|l| l.until);
        let borrowed = self.borrowed.iter().map(|b| b.until);
        let grants = self.grants.iter().map(|g| g.until);
        lent.chain(borrowed).chain(grants).min()
    }

    fn drop_lapsed(&mut self, at: Duration) {
        self.lent.retain(|l| l.until > at);
        self.borrowed.retain(|b| b.until > at);
        for grant in self.grants.iter().filter(|g| g.until <= at) {
            *self.void.entry(grant.drawer).or_default() += grant.tokens;
        }
        self.grants.retain(|g| g.until > at);
    }

    fn owned(&self) -> Parts {
        self.own.plus(self.handovers.values().copied().sum())
    }

    fn usable(&self) -> Parts {
        if self.frozen.is_some() || self.left {
            Parts::NONE
        } else {
            self.owned()
        }
    }

    fn rate_parts(&self) -> Parts {
        let lent = self.lent.iter().map(|l| l.rate).sum();
        let borrowed = self.borrowed.iter().map(|b| b.rate).sum();
        self.usable().minus(lent).plus(borrowed)
    }

    fn burst_parts(&self) -> Parts {
        let lent = self.lent.iter().map(|l| l.burst).sum();
        let borrowed = self.borrowed.iter().map(|b| b.burst).sum();
        self.usable().minus(lent).plus(borrowed)
    }

    fn granted(&self) -> u64 {
        self.grants.iter().map(|g| g.tokens).sum()
    }

    /// Fits the bucket to the parts in use and to what is handed out.
    fn resize(&mut self) {
        let rate = self.rate_parts().of(self.rate);
        let burst = self.burst_parts().of(self.burst);
        self.bucket
            .resize(rate, burst.saturating_sub(self.granted()));
    }

    fn next_number(&mut self) -> u64 {
        self.counter += 1;
        self.counter
    }

    fn is_open(&self, request: u64, from: &VmName) -> bool {
        let mut asks = self.asks.iter();
        asks.any(|a| a.request == request && a.to == *from)
    }
}
