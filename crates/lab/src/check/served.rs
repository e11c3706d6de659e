//! How accounts fare: what they were entitled to, what they got, and what was refused wrongly.

use mustardbay_policy::names::AccountName;
use serde::Deserialize;
use serde::Serialize;

use crate::history::AccountLimit;
use crate::history::Ending;
use crate::history::History;
use crate::history::Request;

/// SQLSTATE of a refusal because of rate or overload.
const OVER_LIMIT: &str = "53400";

/// What one account got.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Account.
    pub account: AccountName,
    /// Requests that were due.
    pub offered: u64,
    /// Requests that its rate and burst would have admitted.
    pub entitled: u64,
    /// Requests that were answered.
    pub served: u64,
}

impl Service {
    /// Returns served over entitled, 1 for an account that asked for nothing.
    #[must_use]
    pub fn ratio(&self) -> f64 {
        if self.entitled == 0 {
            return 1.0;
        }
        as_f64(self.served) / as_f64(self.entitled)
    }
}

/// Refusals of requests that were within their account's rate.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Refusals {
    /// Requests that were within their account's rate when they were sent.
    pub within: u64,
    /// Those that were refused for their rate or for overload.
    pub limited: u64,
    /// Those that were refused for another reason, or found no connection.
    pub other: u64,
}

impl Refusals {
    /// Returns the share of wrongful refusals among the requests within their rate.
    #[must_use]
    pub fn share(&self) -> f64 {
        if self.within == 0 {
            return 0.0;
        }
        as_f64(self.limited + self.other) / as_f64(self.within)
    }
}

/// Tokens of an account, as one exact counter for the whole fleet would hold them.
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

    /// Tells whether a request at this time is within the rate.
    fn has_token(&mut self, at_us: u64) -> bool {
        let passed = at_us.saturating_sub(self.at_us);
        let gained = std::time::Duration::from_micros(passed).as_secs_f64() * self.limit.rate;
        self.tokens = (self.tokens + gained).min(self.limit.burst);
        self.at_us = self.at_us.max(at_us);
        self.tokens >= 1.0
    }

    fn take(&mut self) {
        self.tokens -= 1.0;
    }
}

/// Tells what each account was entitled to and got.
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

/// Counts refusals of requests that an exact counter would have admitted.
///
/// The counter is charged with what was really admitted, so a refusal only counts if the account
/// had a whole token left at that moment.
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
                Ending::NotRun { sqlstate } if sqlstate == OVER_LIMIT => refusals.limited += 1,
                Ending::NotRun { .. } | Ending::Unsent => refusals.other += 1,
                Ending::Done { .. } | Ending::Unknown | Ending::Failed { .. } => bucket.take(),
            }
        }
    }
    refusals
}

fn ordered<'a>(
    history: &'a History,
    limit: &AccountLimit,
    time: impl Fn(&Request) -> u64,
) -> Vec<&'a Request> {
    let mine = history.requests.iter();
    let mut mine: Vec<&Request> = mine.filter(|r| r.account == limit.name).collect();
    mine.sort_by_key(|request| time(request));
    mine
}

fn is_served(request: &Request) -> bool {
    matches!(request.ending, Ending::Done { .. })
}

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
