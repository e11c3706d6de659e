//! Frames of the link between two vms.

use bytes::Bytes;
use mustardbay_policy::names::AccountName;

use crate::pool::Outcome;
use crate::pool::Refusal;
use crate::rates::Remainder;
use crate::work::Answer;
use crate::work::Setting;
use crate::work::Statement;
use crate::work::WorkUnit;

/// Next statement of a transaction.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Continue {
    /// Group that serves the transaction.
    #[prost(string, tag = "1")]
    pub group: String,
    /// Number of the unit that began the transaction.
    #[prost(uint64, tag = "2")]
    pub unit: u64,
    /// Statement to run.
    #[prost(message, required, tag = "3")]
    pub statement: Statement,
    /// Values of the session.
    #[prost(message, repeated, tag = "4")]
    pub settings: Vec<Setting>,
    /// Remaining time for the statement, in milliseconds.
    #[prost(uint32, tag = "5")]
    pub left_ms: u32,
}

/// Release of a unit that the session no longer needs.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Release {
    /// Group that serves the unit.
    #[prost(string, tag = "1")]
    pub group: String,
    /// Number of the unit.
    #[prost(uint64, tag = "2")]
    pub unit: u64,
}

/// Request for tokens of an account.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Draw {
    /// Name of the account.
    #[prost(string, tag = "1")]
    pub account: String,
    /// Amount wanted, in millionths of a token.
    #[prost(uint64, tag = "2")]
    pub want: u64,
    /// Whether an operation waits for the first token.
    #[prost(bool, tag = "3")]
    pub waiting: bool,
    /// Maximum time that the operation waits for a token that has not accrued yet, in milliseconds.
    #[prost(uint32, tag = "4")]
    pub max_wait_ms: u32,
}

/// Request of a new authority to stop granting accounts' rates and to hand over the remaining tokens.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct HandOver {
    /// Names of the accounts.
    #[prost(string, repeated, tag = "1")]
    pub accounts: Vec<String>,
    /// Age of the member list that makes the requesting vm the authority, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub list_age_ms: u32,
}

/// Request to check whether a vm can connect to an address.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Reach {
    /// Address, `ip:port`.
    #[prost(string, tag = "1")]
    pub address: String,
}

/// Request for the newest snapshot.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct AskSnapshot {
    /// Fingerprint of the requesting vm's snapshot; 0 if it has none.
    #[prost(fixed64, tag = "1")]
    pub fingerprint: u64,
    /// Version of the requesting vm's configuration; 0 if it has none.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// Whether a configuration of another version is requested too, which may take long to send.
    #[prost(bool, tag = "3")]
    pub whole: bool,
    /// Time for which a vm without a snapshot waits for its first one before it replies, in milliseconds.
    #[prost(uint32, tag = "4")]
    pub max_wait_ms: u32,
}

/// Ping, or the reply to one.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Ping {
    /// Number that the reply repeats.
    #[prost(uint32, tag = "1")]
    pub number: u32,
}

/// Frame from the client side of a link.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Ask {
    /// Number of the request, chosen by the client; the reply repeats it.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Request or message.
    #[prost(oneof = "AskBody", tags = "2, 3, 4, 5, 6, 7, 8, 9")]
    pub body: Option<AskBody>,
}

/// Request or message to another vm.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum AskBody {
    /// Run a unit.
    #[prost(message, tag = "2")]
    Submit(WorkUnit),
    /// Run the next statement of a transaction.
    #[prost(message, tag = "3")]
    Continue(Continue),
    /// Release a unit; has no reply.
    #[prost(message, tag = "4")]
    Release(Release),
    /// Grant tokens.
    #[prost(message, tag = "5")]
    Draw(Draw),
    /// Try to connect to an address.
    #[prost(message, tag = "6")]
    Reach(Reach),
    /// Send the newest snapshot.
    #[prost(message, tag = "7")]
    Snapshot(AskSnapshot),
    /// Reply at once.
    #[prost(message, tag = "8")]
    Ping(Ping),
    /// Stop granting accounts' rates and hand over the remaining tokens.
    #[prost(message, tag = "9")]
    HandOver(HandOver),
}

/// Reply to a draw.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Drawn {
    /// Whether the replying vm is an authority of the account.
    #[prost(bool, tag = "1")]
    pub held: bool,
    /// Amount granted, in millionths of a token.
    #[prost(uint64, tag = "2")]
    pub amount: u64,
    /// Time until a token may be available, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub retry_ms: u32,
    /// Time until the amount may be spent, in milliseconds.
    #[prost(uint32, tag = "4")]
    pub after_ms: u32,
}

/// Remaining tokens of an account that the replying vm no longer grants.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct HandedAccount {
    /// Name of the account.
    #[prost(string, tag = "1")]
    pub account: String,
    /// Amount not granted yet, in millionths of a token.
    #[prost(uint64, tag = "2")]
    pub amount: u64,
    /// Tokens that were promised before they accrued.
    #[prost(uint32, tag = "3")]
    pub promised: u32,
}

/// Reply to a hand-over.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct HandOverReply {
    /// Accounts that the replying vm no longer grants; it keeps granting the other requested ones.
    #[prost(message, repeated, tag = "1")]
    pub accounts: Vec<HandedAccount>,
}

impl From<HandOverReply> for Vec<(AccountName, Remainder)> {
    fn from(handed: HandOverReply) -> Self {
        let accounts = handed.accounts.into_iter();
        accounts
            .map(|handed| {
                let remainder = Remainder {
                    amount: handed.amount,
                    promised: handed.promised,
                };
                (AccountName::from(handed.account), remainder)
            })
            .collect()
    }
}

/// Reply to a reach check.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct ReachReply {
    /// Whether a connection could be opened.
    #[prost(bool, tag = "1")]
    pub reached: bool,
}

/// Newest snapshot of a vm.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SnapshotReply {
    /// Age of the snapshot at the time of the reply, in milliseconds, from when it was requested.
    #[prost(uint64, tag = "1")]
    pub age_ms: u64,
    /// Whole snapshot as JSON, if it was requested.
    #[prost(bytes = "bytes", tag = "2")]
    pub snapshot: Bytes,
    /// Fingerprint of the snapshot; 0 if there is none.
    #[prost(fixed64, tag = "3")]
    pub fingerprint: u64,
    /// Snapshot without the configuration, as JSON, for a vm that has this configuration but another
    /// snapshot.
    #[prost(bytes = "bytes", tag = "4")]
    pub topology: Bytes,
    /// Whether the sender had known the snapshot's era for long enough when it was read.
    #[prost(bool, tag = "5")]
    pub settled: bool,
    /// What has changed against the snapshot that the requesting vm named, as JSON.
    #[prost(bytes = "bytes", tag = "6")]
    pub delta: Bytes,
}

/// Frame to the client side of a link.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Reply {
    /// Number of the request.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Content of the reply.
    #[prost(oneof = "ReplyBody", tags = "2, 3, 4, 5, 6, 7, 8")]
    pub body: Option<ReplyBody>,
}

/// Content of a reply.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum ReplyBody {
    /// Answer to a statement.
    #[prost(message, tag = "2")]
    Answer(Answer),
    /// The statement did not run.
    #[prost(message, tag = "3")]
    Refused(Refusal),
    /// Granted tokens, or none.
    #[prost(message, tag = "4")]
    Drawn(Drawn),
    /// Whether a connection to the address could be opened.
    #[prost(message, tag = "5")]
    ReachReply(ReachReply),
    /// Newest snapshot.
    #[prost(message, tag = "6")]
    SnapshotReply(SnapshotReply),
    /// Reply to a ping.
    #[prost(message, tag = "7")]
    Pong(Ping),
    /// Accounts that are no longer granted.
    #[prost(message, tag = "8")]
    HandOverReply(HandOverReply),
}

impl From<Outcome> for ReplyBody {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Answered(answer) => Self::Answer(answer),
            Outcome::Refused(refusal) => Self::Refused(refusal),
        }
    }
}
