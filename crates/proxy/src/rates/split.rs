//! How an account's rate is divided among its authorities.

use std::time::Duration;

use mustardbay_policy::account::TOKEN;

use crate::configuration::Account;

/// Time for which granted tokens may be spent.
pub const GRANT_TTL: Duration = Duration::from_millis(500);
/// Minimum burst of one authority, in millionths of a token; limits their number.
const MIN_AUTHORITY_BURST: u64 = 3 * TOKEN;

/// Rate and burst of each of an account's authorities, in millionths of a token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Split {
    /// Number of authorities; each grants an equal share.
    pub authorities: usize,
    /// Rate of each authority, per second.
    pub granted_rate: u64,
    /// Burst of each authority.
    pub granted_burst: u64,
}

impl Split {
    /// Divides an account's rate among at most `candidates` authorities.
    #[must_use]
    pub fn new(account: Account, candidates: usize) -> Self {
        let max_authorities = u64::try_from(candidates.max(1)).unwrap_or(u64::MAX);
        let authorities = (account.burst / MIN_AUTHORITY_BURST).clamp(1, max_authorities);
        Self {
            authorities: usize::try_from(authorities).unwrap_or(1),
            granted_rate: account.rate / authorities,
            granted_burst: (account.burst / authorities).max(TOKEN),
        }
    }
}
