//! Count of what a way serves and refuses.

use std::time::Duration;

use mustardbay_policy::account::Bucket;
use mustardbay_policy::account::TOKEN;
use mustardbay_policy::account::micros;

use super::scenario::Plan;

/// What became of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Served {
    /// It was served.
    Yes,
    /// It was refused for its rate.
    No,
    /// It came to a virtual machine that was not there, and does not count.
    Lost,
}

/// Count of what a way serves and refuses.
#[derive(Debug, Clone)]
pub struct Tally {
    /// Requests that came to a virtual machine that was there.
    pub requests: u64,
    /// Requests served.
    pub served: u64,
    /// Requests that one bucket for the whole fleet would have served.
    pub entitled: u64,
    /// Requests served beyond rate and burst.
    pub overshoot: u64,
    reference: Bucket,
    ideal: Bucket,
}

impl Tally {
    /// Starts a count.
    #[must_use]
    pub fn new(plan: &Plan) -> Self {
        let bucket = Bucket::full(micros(plan.rate), micros(plan.burst), Duration::ZERO);
        Self {
            requests: 0,
            served: 0,
            entitled: 0,
            overshoot: 0,
            reference: bucket.clone(),
            ideal: bucket,
        }
    }

    /// Counts one request.
    pub fn count(&mut self, at: Duration, served: Served) {
        if served == Served::Lost {
            return;
        }
        self.requests += 1;
        self.reference.advance(at);
        self.ideal.advance(at);
        self.entitled += u64::from(self.ideal.take(TOKEN));
        if served == Served::Yes {
            self.served += 1;
            self.overshoot += u64::from(!self.reference.take(TOKEN));
        }
    }

    /// Returns the requests that were refused although one bucket would have served as many more.
    #[must_use]
    pub fn wrongful(&self) -> u64 {
        self.entitled.saturating_sub(self.served)
    }

    /// Returns the share of the entitled requests that were refused, in percent.
    #[must_use]
    #[expect(
        clippy::cast_precision_loss,
        reason = "a percentage needs no more precision"
    )]
    pub fn wrongful_percent(&self) -> f64 {
        100.0 * self.wrongful() as f64 / self.entitled.max(1) as f64
    }
}
