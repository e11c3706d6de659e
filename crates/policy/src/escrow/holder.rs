//! Share of one account on one vm.

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
use super::loan::PendingRequest;
use crate::account::Bucket;
use crate::account::TOKEN;
use crate::names::VmName;

/// Id of a local program's connection that draws tokens; starts at 1.
pub type DrawerId = u64;

/// Id that stands for all closed connections, whose programs may have reconnected.
const DISCONNECTED: DrawerId = 0;

/// Unexpired tokens of a local program that are not reported spent.
#[derive(Debug, Clone, Copy)]
struct Grant {
    drawer: DrawerId,
    /// Millionths of a token.
    tokens: u64,
    until: Duration,
}

/// Share of one account on one vm.
///
/// `now` is a reading of the steward's monotonic clock in every method.
#[derive(Debug, Clone)]
pub struct Holder {
    id: HolderId,
    rate: u64,
    burst: u64,
    epoch: u64,
    /// Parts that the ledger lists under this holder.
    ledger_parts: Parts,
    /// Parts received by handovers that the ledger does not reflect yet, by former owner.
    handovers: BTreeMap<HolderId, Parts>,
    /// Owners whose handover was received at any time; a duplicate is confirmed but not applied.
    past_handovers: BTreeSet<HolderId>,
    /// Owners whose handover must not be accepted any more.
    fences: BTreeSet<HolderId>,
    lent: Vec<Lent>,
    borrowed: Vec<Borrowed>,
    pending: Vec<PendingRequest>,
    grants: VecDeque<Grant>,
    /// Millionths of a token that expired without a report, by drawer.
    expired: BTreeMap<DrawerId, u64>,
    bucket: Bucket,
    demand: Demand,
    /// Time at which the parts were frozen.
    frozen: Option<Duration>,
    has_left: bool,
    /// Last number given to a request or a loan.
    last_number: u64,
    updated: Duration,
}

/// State of a holder, for a diagnostic dump.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct HolderState {
    /// Parts owned by the ledger entry and by handovers.
    pub owned: Parts,
    /// Former owners whose handovers are not in the ledger yet.
    pub handovers: Vec<String>,
    /// Rate parts in use, after loans.
    pub rate: Parts,
    /// Burst parts in use, after loans.
    pub burst: Parts,
    /// Number of loans given.
    pub lent: usize,
    /// Number of loans taken.
    pub borrowed: usize,
    /// Tokens available, in millionths.
    pub tokens: u64,
    /// Whole tokens granted and not reported spent.
    pub granted: u64,
    /// Whether owned parts are frozen until the ledger confirms them.
    pub frozen: bool,
    /// Epoch of the last ledger read.
    pub epoch: u64,
}

impl Holder {
    /// Creates a holder that owns nothing.
    ///
    /// `rate` and `burst` are the account's, in millionths of a token.
    #[must_use]
    pub fn new(id: HolderId, rate: u64, burst: u64, now: Duration) -> Self {
        // Starts at the incarnation, so that no number of an earlier incarnation is reused.
        let last_number = id.incarnation;
        Self {
            id,
            rate,
            burst,
            epoch: 0,
            ledger_parts: Parts::NONE,
            handovers: BTreeMap::new(),
            past_handovers: BTreeSet::new(),
            fences: BTreeSet::new(),
            lent: Vec::new(),
            borrowed: Vec::new(),
            pending: Vec::new(),
            grants: VecDeque::new(),
            expired: BTreeMap::new(),
            bucket: Bucket::empty(0, 0, now),
            demand: Demand::default(),
            frozen: None,
            has_left: false,
            last_number,
            updated: now,
        }
    }

    /// Applies the account's rate and burst of a new bundle, in millionths of a token.
    pub fn set_limits(&mut self, rate: u64, burst: u64, now: Duration) {
        self.advance(now);
        self.rate = rate;
        self.burst = burst;
        self.resize();
    }

    /// Grants up to `wanted` tokens to a local program, which reports `spent` earlier ones.
    pub fn draw(&mut self, drawer: DrawerId, wanted: u64, spent: u64, now: Duration) -> Draw {
        self.advance(now);
        self.settle_spent(drawer, spent);
        self.demand.add(wanted, now);
        self.grant(drawer, wanted, now)
    }

    /// Retries a draw without counting its demand again.
    pub fn redraw(&mut self, drawer: DrawerId, wanted: u64, now: Duration) -> Draw {
        self.advance(now);
        self.grant(drawer, wanted, now)
    }

    /// Handles a closed connection; its tokens stay granted until they expire.
    ///
    /// The program may reconnect and report these tokens on another connection.
    pub fn on_drawer_disconnected(&mut self, drawer: DrawerId) {
        for grant in self.grants.iter_mut().filter(|g| g.drawer == drawer) {
            grant.drawer = DISCONNECTED;
        }
        if let Some(expired) = self.expired.remove(&drawer) {
            *self.expired.entry(DISCONNECTED).or_default() += expired;
        }
    }

    /// Advances the share to `now`: expires loans and grants, and accrues tokens.
    ///
    /// Freezes the owned parts if the clock jumped by [`FREEZE_GAP`] or more.
    pub fn advance(&mut self, now: Duration) {
        if now.saturating_sub(self.updated) >= FREEZE_GAP {
            self.freeze(now);
        }
        while let Some(at) = self.next_change().filter(|at| *at <= now) {
            self.bucket.advance(at);
            self.drop_expired(at);
            self.resize();
        }
        self.bucket.advance(now);
        self.updated = self.updated.max(now);
    }

    /// Returns the state for a diagnostic dump.
    #[must_use]
    pub fn state(&self) -> HolderState {
        HolderState {
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

    fn grant(&mut self, drawer: DrawerId, wanted: u64, now: Duration) -> Draw {
        let tokens = wanted.min(self.bucket.tokens() / TOKEN);
        if tokens == 0 || !self.bucket.take(tokens * TOKEN) {
            let retry_after = self.bucket.time_until(TOKEN);
            return Draw::Unavailable { retry_after };
        }
        self.grants.push_back(Grant {
            drawer,
            tokens: tokens * TOKEN,
            until: now + GRANT_VALIDITY,
        });
        self.resize();
        Draw::Granted(tokens)
    }

    /// Releases the burst occupied by tokens that a local program reports spent, oldest first.
    ///
    /// Expired tokens have released their burst already, so a late report of them releases nothing.
    fn settle_spent(&mut self, drawer: DrawerId, spent: u64) {
        let mut rest = spent.saturating_mul(TOKEN);
        for id in [DISCONNECTED, drawer] {
            if let Some(expired) = self.expired.get_mut(&id) {
                let late = rest.min(*expired);
                *expired -= late;
                rest -= late;
            }
        }
        for id in [DISCONNECTED, drawer] {
            for grant in self.grants.iter_mut().filter(|g| g.drawer == id) {
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
        self.pending.clear();
        self.resize();
    }

    fn next_change(&self) -> Option<Duration> {
        let lent = self.lent.iter().map(|l| l.until);
        let borrowed = self.borrowed.iter().map(|b| b.until);
        let grants = self.grants.iter().map(|g| g.until);
        lent.chain(borrowed).chain(grants).min()
    }

    fn drop_expired(&mut self, at: Duration) {
        self.lent.retain(|l| l.until > at);
        self.borrowed.retain(|b| b.until > at);
        for grant in self.grants.iter().filter(|g| g.until <= at) {
            *self.expired.entry(grant.drawer).or_default() += grant.tokens;
        }
        self.grants.retain(|g| g.until > at);
    }

    fn owned(&self) -> Parts {
        self.ledger_parts
            .plus(self.handovers.values().copied().sum())
    }

    /// Returns the owned parts, none while they are frozen or after leaving.
    fn usable(&self) -> Parts {
        if self.frozen.is_some() || self.has_left {
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

    /// Returns the granted tokens that are not reported spent, in millionths.
    fn granted(&self) -> u64 {
        self.grants.iter().map(|g| g.tokens).sum()
    }

    /// Sizes the bucket by the parts in use, less the burst occupied by granted tokens.
    fn resize(&mut self) {
        let rate = self.rate_parts().of(self.rate);
        let burst = self.burst_parts().of(self.burst);
        self.bucket
            .resize(rate, burst.saturating_sub(self.granted()));
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    fn is_pending(&self, request: u64, from: &VmName) -> bool {
        let mut pending = self.pending.iter();
        pending.any(|a| a.request == request && a.to == *from)
    }
}
