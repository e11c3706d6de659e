//! The vm that grants the shared part of an account's rate.

use std::collections::BTreeMap;
use std::time::Duration;

use mustardbay_policy::account::Bucket;
use mustardbay_policy::account::TOKEN;
use mustardbay_policy::names::AccountName;

use crate::clock::Moment;
use crate::rates::Split;

/// Answer to a request for tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Grant {
    /// Tokens granted, in millionths; may be none.
    pub amount: u64,
    /// Time after which a token may be had, if none was granted.
    pub retry: Duration,
}

/// Buckets of the accounts that this vm is the authority of.
///
/// A bucket starts empty, because a former authority may just have granted a whole burst.
#[derive(Debug, Default)]
pub struct Authority {
    buckets: BTreeMap<AccountName, Bucket>,
}

impl Authority {
    /// Notes that this vm is the authority of an account, so that its bucket begins to fill.
    pub fn hold(&mut self, account: &AccountName, split: Split, now: Moment) {
        let now = now.since_boot();
        let bucket = self
            .buckets
            .entry(account.clone())
            .or_insert_with(|| Bucket::empty(split.granted_rate, split.granted_burst, now));
        bucket.advance(now);
        bucket.resize(split.granted_rate, split.granted_burst);
    }

    /// Forgets every account that `keep` does not name.
    pub fn retain(&mut self, keep: impl Fn(&AccountName) -> bool) {
        self.buckets.retain(|account, _| keep(account));
    }

    /// Grants up to `want` millionths of tokens; none if this vm is not the account's authority.
    pub fn grant(&mut self, account: &AccountName, want: u64, now: Moment) -> Option<Grant> {
        let bucket = self.buckets.get_mut(account)?;
        bucket.advance(now.since_boot());
        let whole = bucket.tokens() / TOKEN * TOKEN;
        let amount = want.min(whole);
        let taken = amount > 0 && bucket.take(amount);
        let retry = bucket.time_until(TOKEN).unwrap_or(Duration::MAX);
        Some(Grant {
            amount: if taken { amount } else { 0 },
            retry: if taken { Duration::ZERO } else { retry },
        })
    }
}
