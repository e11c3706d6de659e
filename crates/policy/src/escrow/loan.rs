//! Loan requests, loans and their early return.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::Parts;
use crate::names::VmName;

/// Request for a loan by a holder that is short of tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoanRequest {
    /// Number of the request, unique within its sender's incarnation.
    pub request: u64,
    /// Tokens requested, in millionths.
    pub tokens: u64,
    /// Demand on the sender's vm, in thousandths of a token a second.
    pub demand: u64,
    /// Rate parts that the sender has in use.
    pub held: Parts,
}

/// Parts and tokens lent in answer to a request; empty if the lender can spare none.
///
/// The lender has already subtracted them from its share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Loan {
    /// Number of the request that is answered.
    pub request: u64,
    /// Number of the loan, unique within its lender's incarnation.
    pub loan: u64,
    /// Rate parts lent.
    pub rate: Parts,
    /// Burst parts lent, which hold the tokens.
    pub burst: Parts,
    /// Tokens lent, in millionths.
    pub tokens: u64,
}

/// Early return of a loan; the borrower has already subtracted its parts and tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Return {
    /// Number of the loan.
    pub loan: u64,
    /// Tokens returned with it, in millionths.
    pub tokens: u64,
}

/// Loan given, as its lender records it.
#[derive(Debug, Clone, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) struct Lent {
    pub(super) loan: u64,
    pub(super) to: VmName,
    pub(super) rate: Parts,
    pub(super) burst: Parts,
    pub(super) until: Duration,
}

/// Loan taken, as its borrower records it.
#[derive(Debug, Clone, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) struct Borrowed {
    pub(super) loan: u64,
    pub(super) from: VmName,
    pub(super) rate: Parts,
    pub(super) burst: Parts,
    pub(super) until: Duration,
}

/// Request that has not been answered.
#[derive(Debug, Clone)]
pub(super) struct PendingRequest {
    pub(super) request: u64,
    pub(super) to: VmName,
    pub(super) sent: Duration,
}
