//! Authorities that had no token to grant, and until when.

use std::collections::BTreeMap;
use std::time::Duration;

use mustardbay_policy::names::VmName;

use crate::clock::BootInstant;

/// Longest time for which an authority is skipped: its rate may have been raised meanwhile.
const MAX_SKIP: Duration = Duration::from_secs(1);

/// Authorities of one account without tokens, with the time at which each has one again.
///
/// They are not asked before then, so that a flooding account causes no needless requests.
#[derive(Debug, Default)]
pub struct ExhaustedAuthorities {
    until: BTreeMap<VmName, BootInstant>,
}

impl ExhaustedAuthorities {
    /// Notes that an authority will have no token for `time`.
    pub fn note(&mut self, authority: &VmName, time: Duration, now: BootInstant) {
        self.until
            .insert(authority.clone(), now.after(time.min(MAX_SKIP)));
    }

    /// Returns the remaining time for which an authority is known to have no token.
    #[must_use]
    pub fn time_left(&self, authority: &VmName, now: BootInstant) -> Duration {
        self.until
            .get(authority)
            .map_or(Duration::ZERO, |until| until.since(now))
    }
}
