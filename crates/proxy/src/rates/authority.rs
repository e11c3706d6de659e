//! Authority of accounts: grants this vm's share of their rates.

use std::collections::BTreeMap;
use std::time::Duration;

use mustardbay_policy::account::TOKEN;
use mustardbay_policy::names::AccountName;

use crate::clock::BootInstant;
use crate::rates::Remainder;
use crate::rates::Split;
use crate::rates::authority_share::AuthorityShare;

/// Time for which a dropped share is kept for a successor that asks for it.
const RETIRED_TTL: Duration = Duration::from_secs(5);

/// Answer to a request for tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Grant {
    /// Amount granted, in millionths of a token; may be 0.
    pub amount: u64,
    /// Time until the tokens may be spent.
    pub after: Duration,
    /// Time until a token is expected, if none was granted.
    pub retry: Duration,
}

impl Grant {
    pub(super) fn now(amount: u64) -> Self {
        Self {
            amount,
            after: Duration::ZERO,
            retry: Duration::ZERO,
        }
    }

    pub(super) fn promise(after: Duration) -> Self {
        Self {
            amount: TOKEN,
            after,
            retry: Duration::ZERO,
        }
    }

    pub(super) fn none(retry: Duration) -> Self {
        Self {
            amount: 0,
            after: Duration::ZERO,
            retry,
        }
    }
}

/// Request of a vm for tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenRequest {
    /// Amount, in millionths of a token.
    pub amount: u64,
    /// Whether an operation is waiting and spends the first token at once.
    pub waiting: bool,
    /// Longest time for which that operation waits for a token yet to accrue.
    pub max_wait: Duration,
}

/// Share that is no longer granted, kept for a successor.
#[derive(Debug)]
struct Retired {
    since: BootInstant,
    share: AuthorityShare,
}

/// Shares of the accounts that this vm is an authority of.
///
/// A share starts empty, because a former authority may just have granted a whole burst. What the
/// former one has left is added when it hands over.
#[derive(Debug)]
pub struct Authority {
    /// Window over which operators count rate and burst.
    window: Duration,
    shares: BTreeMap<AccountName, AuthorityShare>,
    retired: BTreeMap<AccountName, Retired>,
    /// Accounts that were handed over, with the read time of the successor's member list.
    handed_over: BTreeMap<AccountName, BootInstant>,
}

impl Authority {
    /// Creates an authority without accounts; `window` is that over which operators count rates.
    #[must_use]
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            shares: BTreeMap::new(),
            retired: BTreeMap::new(),
            handed_over: BTreeMap::new(),
        }
    }

    /// Makes this vm an authority of an account whose bucket starts to fill at `from`.
    ///
    /// A `from` in the past means that no vm has granted the share since then.
    ///
    /// An account that was handed over is ignored until [`Authority::note_list`] clears it.
    pub fn assign(
        &mut self,
        account: &AccountName,
        split: Split,
        from: BootInstant,
        now: BootInstant,
    ) {
        if self.handed_over.contains_key(account) {
            return;
        }
        self.retired.remove(account);
        let shares = self.shares.entry(account.clone());
        let window = self.window;
        let share = shares.or_insert_with(|| AuthorityShare::new(split, window, from));
        share.advance(now);
        share.set_split(split, now);
        share.start_earlier(from, now);
    }

    /// Stops granting accounts that `keep` rejects; their remaining tokens wait for a successor.
    pub fn retain(&mut self, keep: impl Fn(&AccountName) -> bool, now: BootInstant) {
        let dropped = self.shares.extract_if(.., |account, _| !keep(account));
        self.retired.extend(dropped.map(|(account, mut share)| {
            share.advance(now);
            (account, Retired { since: now, share })
        }));
        self.retired
            .retain(|_, retired| now.since(retired.since) < RETIRED_TTL);
    }

    /// Forgets hand-overs to successors whose member list is older than the one in force.
    ///
    /// `listed_at` is the time at which the list in force was read.
    pub fn note_list(&mut self, listed_at: BootInstant) {
        self.handed_over
            .retain(|_, successor| *successor >= listed_at);
    }

    /// Stops granting an account for a successor whose member list was read at `listed_at`.
    ///
    /// Returns the remaining tokens. Returns `None` if this vm grants the account by a newer list,
    /// read at `own`.
    pub fn hand_over(
        &mut self,
        account: &AccountName,
        listed_at: BootInstant,
        own: Option<BootInstant>,
        now: BootInstant,
    ) -> Option<Remainder> {
        let newer = own.is_some_and(|own| own > listed_at);
        if newer && self.shares.contains_key(account) {
            return None;
        }
        let granted = self.shares.remove(account).map(|mut share| {
            share.advance(now);
            share
        });
        let retired = self.retired.remove(account).map(|retired| retired.share);
        if !newer {
            self.handed_over.insert(account.clone(), listed_at);
        }
        let share = granted.or(retired);
        Some(share.map_or(Remainder::default(), |share| share.remainder()))
    }

    /// Adds what a former authority had left; ignored for an account that is not granted here.
    pub fn take_over(&mut self, account: &AccountName, remainder: Remainder, now: BootInstant) {
        if let Some(share) = self.shares.get_mut(account) {
            share.take_over(remainder, now);
        }
    }

    /// Grants up to the requested amount; `None` if this vm is not an authority of the account.
    pub fn grant(
        &mut self,
        account: &AccountName,
        request: TokenRequest,
        now: BootInstant,
    ) -> Option<Grant> {
        let share = self.shares.get_mut(account)?;
        share.advance(now);
        Some(share.grant(request, now))
    }
}
