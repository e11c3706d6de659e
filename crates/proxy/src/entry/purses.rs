//! Tokens of the accounts on this vm, and the questions to their authorities.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use mustardbay_policy::names::AccountName;
use tokio::sync::Notify;

use crate::board::Board;
use crate::clock::Moment;
use crate::configuration::Account;
use crate::fleet::authority;
use crate::link::AskBody;
use crate::link::Links;
use crate::link::ReplyBody;
use crate::link::frame::Draw;
use crate::link::frame::Drawn;
use crate::rates::Purse;
use crate::rates::Split;
use crate::rates::Take;
use crate::tenure::Tenure;

/// Longest wait of an operation for tokens: a few round trips between failure domains.
const DRAW_WAIT: Duration = Duration::from_millis(60);
/// Pause that a session is asked to make when the authority named none.
const DEFAULT_RETRY_MS: u32 = 200;

/// One account's tokens and who waits for them.
#[derive(Debug)]
struct Slot {
    purse: Purse,
    /// What the purse was last divided by.
    basis: (Account, usize),
    answered: Arc<Notify>,
    retry_ms: u32,
}

/// Tokens of every account that this vm serves.
#[derive(Debug)]
pub struct Purses {
    slots: Mutex<BTreeMap<AccountName, Slot>>,
    board: Arc<Board>,
    links: Arc<Links>,
    tenure: Arc<Tenure>,
}

impl Purses {
    /// Creates the tokens of a vm: none.
    #[must_use]
    pub fn new(board: Arc<Board>, links: Arc<Links>, tenure: Arc<Tenure>) -> Self {
        Self {
            slots: Mutex::default(),
            board,
            links,
            tenure,
        }
    }

    /// Spends a token of an account.
    ///
    /// # Errors
    ///
    /// Fails if there is none, with the time in milliseconds after which one may be had.
    pub async fn take(self: &Arc<Self>, account: &AccountName, rate: Account) -> Result<(), u32> {
        let (taken, answered) = self.try_take(account, rate, true);
        self.draw(account);
        if taken == Take::Spent {
            return Ok(());
        }
        let waited = tokio::time::timeout(DRAW_WAIT, answered.notified()).await;
        let (taken, _) = self.try_take(account, rate, false);
        if taken == Take::Spent {
            return Ok(());
        }
        let retry = lock(&self.slots)
            .get(account)
            .map_or(DEFAULT_RETRY_MS, |slot| slot.retry_ms);
        tracing::debug!(event = "rate_spent", account = %account, answered = waited.is_ok(), retry_ms = retry);
        Err(retry)
    }

    fn try_take(&self, account: &AccountName, rate: Account, first: bool) -> (Take, Arc<Notify>) {
        let now = Moment::now();
        let vms = self.board.belief().map_or(1, |b| b.survey.members.len());
        let entitled = self.tenure.holds(now);
        let mut slots = lock(&self.slots);
        let slot = slots.entry(account.clone()).or_insert_with(|| Slot {
            purse: Purse::new(Split::new(rate, vms), now),
            basis: (rate, vms),
            answered: Arc::new(Notify::new()),
            retry_ms: DEFAULT_RETRY_MS,
        });
        if slot.basis != (rate, vms) {
            slot.basis = (rate, vms);
            slot.purse.resize(Split::new(rate, vms), now);
        }
        let taken = if first {
            slot.purse.take(entitled, now)
        } else {
            slot.purse.take_again(entitled, now)
        };
        (taken, Arc::clone(&slot.answered))
    }

    /// Asks the authority for tokens, if it is time to.
    fn draw(self: &Arc<Self>, account: &AccountName) {
        let now = Moment::now();
        let want = lock(&self.slots)
            .get_mut(account)
            .and_then(|slot| slot.purse.ask(now));
        let Some(want) = want else {
            return;
        };
        let purses = Arc::clone(self);
        let account = account.clone();
        tokio::spawn(async move {
            let drawn = purses.ask(&account, want).await;
            purses.take_in(&account, drawn, now);
        });
    }

    async fn ask(&self, account: &AccountName, want: u64) -> Option<Drawn> {
        let belief = self.board.belief()?;
        let member = authority(&belief.survey.members, account)?;
        let link = self.links.to(&member.vm, member.address).await?;
        let draw = Draw {
            account: account.as_str().to_owned(),
            want,
        };
        match link.call(link.number(), AskBody::Draw(draw)).await {
            Ok(ReplyBody::Drawn(drawn)) if drawn.held => Some(drawn),
            other => {
                tracing::debug!(event = "draw_failed", account = %account, authority = %member.vm, answer = ?other);
                None
            }
        }
    }

    fn take_in(&self, account: &AccountName, drawn: Option<Drawn>, asked: Moment) {
        let mut slots = lock(&self.slots);
        let Some(slot) = slots.get_mut(account) else {
            return;
        };
        slot.retry_ms = drawn.map_or(DEFAULT_RETRY_MS, |d| d.retry_ms.max(1));
        slot.purse.granted(drawn.map_or(0, |d| d.amount), asked);
        slot.answered.notify_waiters();
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
