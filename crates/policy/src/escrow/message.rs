//! Messages between the holders of one account's parts.

use serde::Deserialize;
use serde::Serialize;

use super::Handover;
use super::HolderId;
use super::Loan;
use super::LoanRequest;
use super::Return;

/// Message between the holders of one account's parts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Message {
    /// Requests a loan.
    #[serde(rename = "ask")]
    LoanRequest(LoanRequest),
    /// Answers a loan request.
    Loan(Loan),
    /// Returns a loan early.
    Return(Return),
    /// Transfers ledger entries permanently.
    Handover(Handover),
    /// Confirms the handover of the entries of these owners.
    HandoverTaken(Vec<HolderId>),
    /// Asks whether the receiver holds a handover of a lost owner, and forbids it to accept one.
    Fence(HolderId),
    /// Answers a fence.
    Fenced {
        /// Owner that the fence named.
        owner: HolderId,
        /// Whether the entry must stay.
        ///
        /// True if the sender holds its handover or recently heard from the owner.
        keep: bool,
    },
}
