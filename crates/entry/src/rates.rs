//! Admission of batches by account rates.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use mustardbay_link::StewardLink;
use mustardbay_policy::admission::Admission;
use mustardbay_policy::admission::DrawOrder;
use mustardbay_policy::admission::TokenBuffer;
use mustardbay_policy::names::AccountName;
use mustardbay_policy::refusal::Reason;
use mustardbay_policy::refusal::Refusal;
use mustardbay_process::timer::Timer;
use tokio::sync::Notify;
use tokio::time::timeout_at;

/// Period at which spent tokens of idle accounts are reported.
const REPORT_PERIOD: Duration = Duration::from_secs(1);

/// Rate tokens of one account, shared by its sessions.
#[derive(Debug)]
pub(crate) struct AccountRate {
    account: AccountName,
    steward: StewardLink,
    buffer: Mutex<TokenBuffer>,
    draw_finished: Notify,
}

impl AccountRate {
    /// Admits one batch; waits briefly if a token draw is in progress.
    ///
    /// # Errors
    ///
    /// Fails if the account has no tokens left, or if its rate is unknown.
    pub async fn admit(self: &Arc<Self>) -> Result<(), Refusal> {
        if self.try_admit() == Admission::Admitted {
            return Ok(());
        }
        loop {
            let draw_finished = self.draw_finished.notified();
            match self.try_admit() {
                Admission::Admitted => return Ok(()),
                Admission::RateExceeded(after) => return Err(rate_exceeded(after)),
                Admission::RateUnknown(after) => return Err(rate_unknown(after)),
                Admission::Wait(until) => {
                    if timeout_at(until.into(), draw_finished).await.is_err() {
                        tracing::debug!(event = "token_draw_slow", account = %self.account);
                    }
                }
            }
        }
    }

    /// Returns the number of tokens that this entry holds for the account.
    pub fn held(&self) -> u64 {
        self.lock().held()
    }

    fn try_admit(self: &Arc<Self>) -> Admission {
        let (admission, order) = self.lock().admit(Instant::now());
        if let Some(order) = order {
            tokio::spawn(Arc::clone(self).draw(order));
        }
        admission
    }

    async fn draw(self: Arc<Self>, order: DrawOrder) {
        let answer = self
            .steward
            .draw(self.account.as_str(), order.wanted, order.spent)
            .await;
        if order.wanted == 0 {
            return;
        }
        let now = Instant::now();
        match answer {
            Some(grant) => {
                let valid = Duration::from_millis(grant.valid_ms);
                let retry_after = Duration::from_millis(grant.retry_after_ms);
                self.lock()
                    .on_granted(grant.granted, valid, retry_after, now);
            }
            None => self.lock().on_unanswered(now),
        }
        self.draw_finished.notify_waiters();
    }

    fn report(self: &Arc<Self>) {
        let order = self.lock().report(Instant::now());
        if let Some(order) = order {
            tokio::spawn(Arc::clone(self).draw(order));
        }
    }

    fn lock(&self) -> MutexGuard<'_, TokenBuffer> {
        self.buffer.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Rate tokens of every account that a session has used.
#[derive(Debug)]
pub(crate) struct Rates {
    steward: StewardLink,
    accounts: Mutex<HashMap<AccountName, Arc<AccountRate>>>,
}

impl Rates {
    /// Creates an empty set; tokens are drawn from `steward`.
    pub fn new(steward: StewardLink) -> Self {
        Self {
            steward,
            accounts: Mutex::default(),
        }
    }

    /// Returns the tokens of an account.
    pub fn account(&self, account: &AccountName) -> Arc<AccountRate> {
        let mut accounts = self.accounts.lock().unwrap_or_else(PoisonError::into_inner);
        let rate = accounts.entry(account.clone()).or_insert_with(|| {
            Arc::new(AccountRate {
                account: account.clone(),
                steward: self.steward.clone(),
                buffer: Mutex::default(),
                draw_finished: Notify::new(),
            })
        });
        Arc::clone(rate)
    }

    /// Returns every account with its tokens.
    pub fn all(&self) -> Vec<(AccountName, Arc<AccountRate>)> {
        let accounts = self.accounts.lock().unwrap_or_else(PoisonError::into_inner);
        accounts
            .iter()
            .map(|(name, rate)| (name.clone(), Arc::clone(rate)))
            .collect()
    }

    /// Reports spent tokens of accounts that stopped drawing, until the timer stops.
    pub async fn report_periodically(&self, timer: &Timer) {
        let mut ticks = timer.every(REPORT_PERIOD);
        while ticks.recv().await.is_some() {
            for (_, rate) in self.all() {
                rate.report();
            }
        }
    }
}

fn rate_exceeded(after: Duration) -> Refusal {
    let message = "account has spent its rate and burst";
    Refusal::not_run(Reason::RateExceeded, message, Some(after))
}

fn rate_unknown(after: Duration) -> Refusal {
    let message = "the account's rate cannot be confirmed now";
    Refusal::not_run(Reason::RateUnknown, message, Some(after))
}
