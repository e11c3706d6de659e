//! Connections that accounts hold of an upstream's.

use std::collections::BTreeMap;

use crate::names::AccountName;

/// Connections of an upstream, of which one account may hold at most half.
///
/// Open transactions hold connections between their statements, when they need no slot; without
/// the bound one account's idle transactions would take them all.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ConnectionShares {
    most: usize,
    held: BTreeMap<AccountName, usize>,
}

impl ConnectionShares {
    /// Creates the shares of `connections` connections.
    #[must_use]
    pub fn new(connections: usize) -> Self {
        Self {
            most: (connections / 2).max(1),
            held: BTreeMap::new(),
        }
    }

    /// Takes a connection for an account; `false` if it holds its share already.
    pub fn take(&mut self, account: &AccountName) -> bool {
        let held = self.held.entry(account.clone()).or_default();
        if *held >= self.most {
            return false;
        }
        *held += 1;
        true
    }

    /// Gives a connection back.
    pub fn give(&mut self, account: &AccountName) {
        let Some(held) = self.held.get_mut(account) else {
            return;
        };
        *held -= 1;
        if *held == 0 {
            self.held.remove(account);
        }
    }
}
