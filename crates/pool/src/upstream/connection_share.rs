//! Accounting of the connections that each account holds.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use mustardbay_policy::names::AccountName;
use mustardbay_policy::queue::ConnectionShares;

/// One connection counted toward an account's limit; released on drop.
#[derive(Debug)]
pub(super) struct ConnectionShare {
    shares: Arc<Mutex<ConnectionShares>>,
    account: AccountName,
}

impl ConnectionShare {
    /// Counts a connection of an account; `None` if the account is at its limit.
    pub(super) fn take(
        shares: &Arc<Mutex<ConnectionShares>>,
        account: &AccountName,
    ) -> Option<Self> {
        let mut locked = shares.lock().unwrap_or_else(PoisonError::into_inner);
        locked.acquire(account).then(|| Self {
            shares: Arc::clone(shares),
            account: account.clone(),
        })
    }
}

impl Drop for ConnectionShare {
    fn drop(&mut self) {
        let mut shares = self.shares.lock().unwrap_or_else(PoisonError::into_inner);
        shares.release(&self.account);
    }
}
