//! Client account in a bundle.

use serde::Deserialize;
use serde::Serialize;

use crate::bundle::KeyVerifier;
use crate::names::AccountName;
use crate::names::RouteName;

/// Client account with its keys, rate limit and routes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// User name that callers present.
    pub name: AccountName,
    /// Verifiers of the keys that are valid for the account.
    pub keys: Vec<KeyVerifier>,
    /// Batches of statements a second, over the whole fleet.
    pub rate: f64,
    /// Batches of statements that may arrive at once, over the whole fleet.
    pub burst: f64,
    /// Weight of the account when accounts compete for a pool's slots.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Routes that the account may use.
    pub routes: Vec<RouteName>,
}

fn default_weight() -> u32 {
    1
}
