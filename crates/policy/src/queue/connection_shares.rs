//! Limit on the connections of an upstream that one account may hold.

use std::collections::BTreeMap;

use crate::names::AccountName;

/// Connections of an upstream, of which one account may hold at most half.
///
/// An open transaction keeps its connection between statements, while it occupies no slot.
/// Without the limit, the idle transactions of one account could use up all connections.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ConnectionShares {
    max_held: usize,
    held: BTreeMap<AccountName, usize>,
}

impl ConnectionShares {
    /// Creates the shares of an upstream with `connections` connections.
    #[must_use]
    pub fn new(connections: usize) -> Self {
        Self {
            max_held: (connections / 2).max(1),
            held: BTreeMap::new(),
        }
    }

    /// Acquires a connection for an account; returns `false` if the account is at its limit.
    pub fn acquire(&mut self, account: &AccountName) -> bool {
        let held = self.held.entry(account.clone()).or_default();
        if *held >= self.max_held {
            return false;
        }
        *held += 1;
        true
    }

    /// Releases a connection of an account.
    pub fn release(&mut self, account: &AccountName) {
        let Some(held) = self.held.get_mut(account) else {
            return;
        };
        *held -= 1;
        if *held == 0 {
            self.held.remove(account);
        }
    }
}
