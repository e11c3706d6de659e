//! How an account's rate is divided between its authority and the vms.

use std::time::Duration;

use mustardbay_policy::account::TOKEN;

use crate::configuration::Account;

/// Time for which a grant may be spent.
pub const GRANT_TERM: Duration = Duration::from_millis(500);
/// Part of rate and burst that the vms hold without asking, as a divisor.
const OWN_PART: u64 = 2;

/// Rates and bursts of one account, in millionths of a token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Split {
    /// Rate of the authority.
    pub granted_rate: u64,
    /// Burst of the authority.
    pub granted_burst: u64,
    /// Rate of each vm by itself.
    pub own_rate: u64,
    /// Burst of each vm by itself.
    pub own_burst: u64,
}

impl Split {
    /// Divides an account's rate among a fleet of `vms`.
    ///
    /// Where a vm's own burst would not hold a whole token, the authority has everything.
    #[must_use]
    pub fn new(account: Account, vms: usize) -> Self {
        let vms = u64::try_from(vms.max(1)).unwrap_or(u64::MAX);
        let own_burst = account.burst / OWN_PART / vms;
        let (own_rate, own_burst) = if own_burst < TOKEN {
            (0, 0)
        } else {
            (account.rate / OWN_PART / vms, own_burst)
        };
        let granted_rate = account.rate - own_rate * vms;
        let granted = account.burst - own_burst * vms;
        let millis = u64::try_from(GRANT_TERM.as_millis()).unwrap_or(u64::MAX);
        let held_back = granted_rate / 1_000 * millis;
        Self {
            granted_rate,
            granted_burst: granted.saturating_sub(held_back).max(TOKEN),
            own_rate,
            own_burst,
        }
    }
}
