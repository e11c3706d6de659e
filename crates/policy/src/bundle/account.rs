//! Client account.

use serde::Deserialize;
use serde::Serialize;

use crate::bundle::KeyVerifier;
use crate::names::AccountName;
use crate::names::RouteName;

/// Client account.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// User name that callers present.
    pub name: AccountName,
    /// Verifiers of the keys that are granted.
    pub keys: Vec<KeyVerifier>,
    /// Statements per second over the whole fleet.
    pub rate: f64,
    /// Statements that may come at once over the whole fleet.
    pub burst: f64,
    /// Share of a pool's slots relative to other accounts.
    #[serde(default = "one")]
    pub weight: u32,
    /// Routes that the account may use.
    pub routes: Vec<RouteName>,
}

fn one() -> u32 {
    1
}
