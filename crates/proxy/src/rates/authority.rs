//! The vm that grants the shared part of an account's rate.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use mustardbay_policy::account::Bucket;
use mustardbay_policy::account::TOKEN;
use mustardbay_policy::names::AccountName;

use crate::clock::Moment;
use crate::rates::GRANT_TERM;
use crate::rates::Remainder;
use crate::rates::Split;

/// Time for which what is left of a part is kept for a successor that asks for it.
const RETIRED_TERM: Duration = Duration::from_secs(5);

/// Answer to a request for tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Grant {
    /// Tokens granted, in millionths; may be none.
    pub amount: u64,
    /// Time after which they may be spent.
    pub after: Duration,
    /// Time after which a token may be had, if none was granted.
    pub retry: Duration,
}

impl Grant {
    fn now(amount: u64) -> Self {
        Self {
            amount,
            after: Duration::ZERO,
            retry: Duration::ZERO,
        }
    }

    fn promise(after: Duration) -> Self {
        Self {
            amount: TOKEN,
            after,
            retry: Duration::ZERO,
        }
    }

    fn none(retry: Duration) -> Self {
        Self {
            amount: 0,
            after: Duration::ZERO,
            retry,
        }
    }
}

/// Tokens that a vm asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Wish {
    /// Amount, in millionths of a token.
    pub amount: u64,
    /// Whether an operation waits for the first token and spends it at once.
    pub waiting: bool,
    /// Longest time for which that operation waits for a token that is still to accrue.
    pub patience: Duration,
}

/// Part of an account's rate that one authority grants.
#[derive(Debug)]
struct Part {
    bucket: Bucket,
    split: Split,
    /// Amounts that were granted ahead of their use, with the moment at which each lapses.
    ahead: VecDeque<(Moment, u64)>,
    /// Moments at which tokens that were promised accrue; each is taken from the bucket then.
    promised: VecDeque<Moment>,
    /// Moment from which tokens accrue.
    from: Moment,
}

impl Part {
    fn new(split: Split, from: Moment) -> Self {
        let start = from.since_boot();
        Self {
            bucket: Bucket::empty(split.granted_rate, split.granted_burst, start),
            split,
            from,
            ahead: VecDeque::new(),
            promised: VecDeque::new(),
        }
    }

    /// Lets tokens accrue, up to the burst less what other vms may still spend.
    fn advance(&mut self, now: Moment) {
        self.ahead.retain(|(lapses, _)| *lapses > now);
        let ahead: u64 = self.ahead.iter().map(|(_, amount)| amount).sum();
        self.bucket.advance(now.since_boot());
        let room = self.split.granted_burst.saturating_sub(ahead).max(TOKEN);
        self.bucket.resize(self.split.granted_rate, room);
        self.keep_promises(now);
    }

    /// Lets tokens accrue from an earlier moment than was set, if it has not passed.
    fn begin(&mut self, from: Moment, now: Moment) {
        if self.from > now && from < self.from {
            let taken_over = self.remainder();
            *self = Self::new(self.split, from.max(now));
            self.take_over(taken_over, now);
        }
    }

    /// Takes tokens whose time has come; one that a lowered rate delays stays promised.
    fn keep_promises(&mut self, now: Moment) {
        while self.promised.front().is_some_and(|due| *due <= now) && self.bucket.take(TOKEN) {
            self.promised.pop_front();
        }
    }

    fn grant(&mut self, wish: Wish, now: Moment) -> Grant {
        let owed = self.owed();
        let free = self.bucket.tokens().saturating_sub(owed);
        let amount = wish.amount.min(free / TOKEN * TOKEN);
        if amount == 0 || !self.bucket.take(amount) {
            return self.promise(wish, now);
        }
        let spent = if wish.waiting { TOKEN } else { 0 };
        let ahead = amount.saturating_sub(spent);
        if ahead > 0 {
            self.ahead.push_back((now.after(GRANT_TERM), ahead));
        }
        Grant::now(amount)
    }

    /// Promises the next token that accrues, if the waiting operation has the patience.
    fn promise(&mut self, wish: Wish, now: Moment) -> Grant {
        let next = self.bucket.time_until(self.owed().saturating_add(TOKEN));
        let next = next.map(|after| after.saturating_add(self.from.since(now)));
        match next {
            Some(after) if wish.waiting && after <= wish.patience => {
                self.promised.push_back(now.after(after));
                Grant::promise(after)
            }
            next => Grant::none(next.unwrap_or(Duration::MAX)),
        }
    }

    /// Takes in what an authority before this one had left, and what it owed.
    fn take_over(&mut self, remainder: Remainder, now: Moment) {
        self.advance(now);
        self.bucket.add(remainder.amount);
        // Nobody owes more than a burst; a message that says so is not to be believed.
        let most = u32::try_from(self.split.granted_burst / TOKEN).unwrap_or(u32::MAX);
        let promised = remainder.promised.min(most);
        self.promised.extend((0..promised).map(|_| now));
        self.keep_promises(now);
    }

    /// Returns what is left, and what is owed.
    fn remainder(&self) -> Remainder {
        let owed = u32::try_from(self.promised.len()).unwrap_or(u32::MAX);
        let covered = u32::try_from(self.bucket.tokens() / TOKEN).unwrap_or(u32::MAX);
        Remainder {
            amount: self.bucket.tokens().saturating_sub(self.owed()),
            promised: owed.saturating_sub(covered),
        }
    }

    /// Returns what was promised and has not been taken from the bucket.
    fn owed(&self) -> u64 {
        let count = u64::try_from(self.promised.len()).unwrap_or(u64::MAX);
        count.saturating_mul(TOKEN)
    }
}

/// Part that is granted no more.
#[derive(Debug)]
struct Retired {
    since: Moment,
    part: Part,
}

/// Buckets of the accounts that this vm is the authority of.
///
/// A bucket starts empty, because a former authority may just have granted a whole burst; what that one has
/// left is added when it hands it over.
#[derive(Debug, Default)]
pub struct Authority {
    parts: BTreeMap<AccountName, Part>,
    retired: BTreeMap<AccountName, Retired>,
    /// Accounts that were handed over, with the moment of the list of members that their successor goes by.
    handed_over: BTreeMap<AccountName, Moment>,
}

impl Authority {
    /// Notes that this vm is the authority of an account, whose bucket begins to fill at `from`.
    ///
    /// A moment that has passed is one since which nobody has granted the account's part.
    ///
    /// One that was handed over is not held again; see [`Authority::learn`].
    pub fn hold(&mut self, account: &AccountName, split: Split, from: Moment, now: Moment) {
        if self.handed_over.contains_key(account) {
            return;
        }
        self.retired.remove(account);
        let parts = self.parts.entry(account.clone());
        let part = parts.or_insert_with(|| Part::new(split, from));
        part.advance(now);
        part.split = split;
        part.begin(from, now);
    }

    /// Stops granting every account that `keep` does not name; what is left waits for a successor.
    pub fn retain(&mut self, keep: impl Fn(&AccountName) -> bool, now: Moment) {
        let dropped = self.parts.extract_if(.., |account, _| !keep(account));
        self.retired.extend(dropped.map(|(account, mut part)| {
            part.advance(now);
            (account, Retired { since: now, part })
        }));
        self.retired
            .retain(|_, retired| now.since(retired.since) < RETIRED_TERM);
    }

    /// Takes in that the list of members in force was read at `view`: who asked by an older one asks no more.
    pub fn learn(&mut self, view: Moment) {
        self.handed_over.retain(|_, successor| *successor >= view);
    }

    /// Stops granting an account for a successor that goes by a list read at `view`.
    ///
    /// Returns what is left of it; nothing if this vm grants it by a younger list, read at `own`.
    pub fn hand_over(
        &mut self,
        account: &AccountName,
        view: Moment,
        own: Option<Moment>,
        now: Moment,
    ) -> Option<Remainder> {
        let younger = own.is_some_and(|own| own > view);
        if younger && self.parts.contains_key(account) {
            return None;
        }
        let granted = self.parts.remove(account).map(|mut part| {
            part.advance(now);
            part
        });
        let retired = self.retired.remove(account).map(|retired| retired.part);
        if !younger {
            self.handed_over.insert(account.clone(), view);
        }
        let part = granted.or(retired);
        Some(part.map_or(Remainder::default(), |part| part.remainder()))
    }

    /// Takes in what an authority before this one had left; of an account that is not held, nothing.
    pub fn take_over(&mut self, account: &AccountName, remainder: Remainder, now: Moment) {
        if let Some(part) = self.parts.get_mut(account) {
            part.take_over(remainder, now);
        }
    }

    /// Grants as much of a wish as there is; nothing if this vm is not the account's authority.
    pub fn grant(&mut self, account: &AccountName, wish: Wish, now: Moment) -> Option<Grant> {
        let part = self.parts.get_mut(account)?;
        part.advance(now);
        Some(part.grant(wish, now))
    }
}
