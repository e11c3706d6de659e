//! Service per account: requests entitled, requests served, and refusals within the rate.

use mustardbay_policy::names::AccountName;
use serde::Deserialize;
use serde::Serialize;

use crate::history::AccountLimit;
use crate::history::Ending;
use crate::history::History;
use crate::history::Request;

/// SQLSTATE with which the proxy refuses a request over its rate limit or under overload.
const LIMIT_EXCEEDED: &str = "53400";

/// Requests of one account that were due, entitled to service, and served.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the account.
    pub account: AccountName,
    /// Requests that were due.
    pub offered: u64,
    /// Requests that a token bucket of the account's rate and burst admits.
    pub entitled: u64,
    /// Requests that were answered successfully.
    pub served: u64,
}

impl Service {
    /// Returns served divided by entitled requests, or 1 if the account was entitled to none.
    #[must_use]
    pub fn ratio(&self) -> f64 {
        if self.entitled == 0 {
            return 1.0;
        }
        as_f64(self.served) / as_f64(self.entitled)
    }
}

/// Counts of requests within their account's rate, and of those refused nevertheless.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Refusals {
    /// Requests that were within their account's rate when they were sent.
    pub within: u64,
    /// Requests within the rate that were refused for the rate limit or for overload.
    pub limited: u64,
    /// Requests within the rate that were refused for another reason or found no connection.
    pub other: u64,
}

impl Refusals {
    /// Returns the fraction of requests within their rate that were refused.
    #[must_use]
    pub fn share(&self) -> f64 {
        if self.within == 0 {
            return 0.0;
        }
        as_f64(self.limited + self.other) / as_f64(self.within)
    }
}

/// Token bucket of an account, as one exact bucket for the whole fleet would hold it.
#[derive(Debug)]
struct Bucket<'a> {
    limit: &'a AccountLimit,
    tokens: f64,
    at_us: u64,
}

impl<'a> Bucket<'a> {
    fn new(limit: &'a AccountLimit) -> Self {
        Self {
            limit,
            tokens: limit.burst,
            at_us: 0,
        }
    }

    /// Refills the bucket up to `at_us` and returns whether it holds a whole token.
    fn has_token(&mut self, at_us: u64) -> bool {
        let elapsed = at_us.saturating_sub(self.at_us);
        let refill = std::time::Duration::from_micros(elapsed).as_secs_f64() * self.limit.rate;
        self.tokens = (self.tokens + refill).min(self.limit.burst);
        self.at_us = self.at_us.max(at_us);
        self.tokens >= 1.0
    }

    fn take(&mut self) {
        self.tokens -= 1.0;
    }
}

/// Returns the service that each account was entitled to and received.
#[must_use]
pub fn service(history: &History) -> Vec<Service> {
    let accounts = history.accounts.iter();
    let services = accounts.map(|limit| {
        let requests = ordered(history, limit, |request| request.due_us);
        let mut bucket = Bucket::new(limit);
        let mut entitled = 0;
        for request in &requests {
            if bucket.has_token(request.due_us) {
                bucket.take();
                entitled += 1;
            }
        }
        let served = requests.iter().filter(|request| is_served(request));
        Service {
            account: limit.name.clone(),
            offered: requests.len() as u64,
            entitled,
            served: served.count() as u64,
        }
    });
    services.collect()
}

/// Counts refusals of requests that one exact token bucket for the whole fleet would have admitted.
///
/// The bucket is debited with what was really admitted, so a refusal counts only if the account had
/// a whole token left when the request was sent.
#[must_use]
pub fn wrongful_refusals(history: &History) -> Refusals {
    let mut refusals = Refusals::default();
    for limit in &history.accounts {
        let mut bucket = Bucket::new(limit);
        for request in ordered(history, limit, |request| request.start_us) {
            if !bucket.has_token(request.start_us) {
                if is_admitted(request) {
                    bucket.take();
                }
                continue;
            }
            refusals.within += 1;
            match &request.ending {
                Ending::NotRun { sqlstate } if sqlstate == LIMIT_EXCEEDED => refusals.limited += 1,
                Ending::NotRun { .. } | Ending::Unsent => refusals.other += 1,
                Ending::Done { .. } | Ending::Unknown | Ending::Failed { .. } => bucket.take(),
            }
        }
    }
    refusals
}

/// Returns the requests of an account, ordered by `time`.
fn ordered<'a>(
    history: &'a History,
    limit: &AccountLimit,
    time: impl Fn(&Request) -> u64,
) -> Vec<&'a Request> {
    let requests = history.requests.iter();
    let mut requests: Vec<&Request> = requests.filter(|r| r.account == limit.name).collect();
    requests.sort_by_key(|request| time(request));
    requests
}

fn is_served(request: &Request) -> bool {
    matches!(request.ending, Ending::Done { .. })
}

/// Returns whether a request counts against its account's rate: it ran, or may have run.
fn is_admitted(request: &Request) -> bool {
    match request.ending {
        Ending::Done { .. } | Ending::Unknown | Ending::Failed { .. } => true,
        Ending::NotRun { .. } | Ending::Unsent => false,
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "counts of requests stay far below 2^52"
)]
fn as_f64(count: u64) -> f64 {
    count as f64
}
