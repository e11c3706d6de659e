//! Counts of the requests that a strategy serves and refuses.

use std::time::Duration;

use mustardbay_policy::account::Bucket;
use mustardbay_policy::account::TOKEN;
use mustardbay_policy::account::micros;

use super::scenario::Plan;

/// Outcome of a simulated request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The request was served.
    Served,
    /// The request was refused by the rate limit.
    Refused,
    /// The vm that received the request was down; the request does not count.
    VmDown,
}

/// Counts of the requests that a strategy serves and refuses.
#[derive(Debug, Clone)]
pub struct Tally {
    /// Requests that a running vm received.
    pub requests: u64,
    /// Requests served.
    pub served: u64,
    /// Requests that one token bucket for the whole fleet admits.
    pub entitled: u64,
    /// Requests served beyond the rate and burst.
    pub overshoot: u64,
    /// Bucket that is debited with every request served.
    served_bucket: Bucket,
    /// Bucket that admits from all requests, whatever the strategy does.
    entitled_bucket: Bucket,
}

impl Tally {
    /// Creates empty counts for the account of a plan.
    #[must_use]
    pub fn new(plan: &Plan) -> Self {
        let bucket = Bucket::full(micros(plan.rate), micros(plan.burst), Duration::ZERO);
        Self {
            requests: 0,
            served: 0,
            entitled: 0,
            overshoot: 0,
            served_bucket: bucket.clone(),
            entitled_bucket: bucket,
        }
    }

    /// Records the outcome of one request.
    pub fn record(&mut self, at: Duration, outcome: Outcome) {
        if outcome == Outcome::VmDown {
            return;
        }
        self.requests += 1;
        self.served_bucket.advance(at);
        self.entitled_bucket.advance(at);
        self.entitled += u64::from(self.entitled_bucket.take(TOKEN));
        if outcome == Outcome::Served {
            self.served += 1;
            self.overshoot += u64::from(!self.served_bucket.take(TOKEN));
        }
    }

    /// Returns by how many the served requests fall short of the entitled ones.
    #[must_use]
    pub fn wrongful(&self) -> u64 {
        self.entitled.saturating_sub(self.served)
    }

    /// Returns the wrongful refusals as a percentage of the entitled requests.
    #[must_use]
    #[expect(
        clippy::cast_precision_loss,
        reason = "a percentage needs no more precision"
    )]
    pub fn wrongful_percent(&self) -> f64 {
        100.0 * self.wrongful() as f64 / self.entitled.max(1) as f64
    }
}
