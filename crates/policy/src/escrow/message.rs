//! Messages between holders of one account's parts.

use serde::Deserialize;
use serde::Serialize;

use super::Ask;
use super::Handover;
use super::HolderId;
use super::Loan;
use super::Return;

/// Message between holders of one account's parts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Message {
    /// Asks for a loan.
    Ask(Ask),
    /// Answers a question.
    Loan(Loan),
    /// Gives a loan back early.
    Return(Return),
    /// Gives entries of the ledger for good.
    Handover(Handover),
    /// Confirms that the handover of these owners has arrived.
    HandoverTaken(Vec<HolderId>),
    /// Asks whether the receiver holds a handover of an owner that is gone, and forbids it to take one.
    Fence(HolderId),
    /// Answers a fence: whether the sender holds the handover or has lately heard from the owner.
    Fenced {
        /// Owner that was asked about.
        owner: HolderId,
        /// Whether the entry must stay.
        keep: bool,
    },
}
