//! Questions for parts and the loans that answer them.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::Parts;
use crate::names::VmName;

/// Question of a holder that is short.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ask {
    /// Number of the question, unique for its sender's life.
    pub request: u64,
    /// Tokens wanted, in millionths.
    pub tokens: u64,
    /// Tokens wanted a second on the sender's virtual machine, in thousandths.
    pub demand: u64,
    /// Rate parts that the sender holds.
    pub held: Parts,
}

/// Parts and tokens that a lender has already subtracted; empty if it has none to spare.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Loan {
    /// Question that is answered.
    pub request: u64,
    /// Number of the loan, unique for its lender's life.
    pub loan: u64,
    /// Rate parts lent.
    pub rate: Parts,
    /// Burst parts lent; they hold the tokens.
    pub burst: Parts,
    /// Tokens lent, in millionths.
    pub tokens: u64,
}

/// Borrowed parts that go back before their term; the borrower has already subtracted them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Return {
    /// Loan that ends.
    pub loan: u64,
    /// Tokens that come back with it, in millionths.
    pub tokens: u64,
}

/// Loan as its lender remembers it.
#[derive(Debug, Clone, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) struct Lent {
    pub(super) loan: u64,
    pub(super) to: VmName,
    pub(super) rate: Parts,
    pub(super) burst: Parts,
    pub(super) until: Duration,
}

/// Loan as its borrower remembers it.
#[derive(Debug, Clone, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) struct Borrowed {
    pub(super) loan: u64,
    pub(super) from: VmName,
    pub(super) rate: Parts,
    pub(super) burst: Parts,
    pub(super) until: Duration,
}

/// Question that has not been answered.
#[derive(Debug, Clone)]
pub(super) struct OpenAsk {
    pub(super) request: u64,
    pub(super) to: VmName,
    pub(super) sent: Duration,
}
