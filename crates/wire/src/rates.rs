//! Messages between stewards about the shares of an account's rate.

use std::time::Duration;

use mustardbay_policy::escrow::Handover;
use mustardbay_policy::escrow::HolderId;
use mustardbay_policy::escrow::LedgerEntry;
use mustardbay_policy::escrow::Loan;
use mustardbay_policy::escrow::LoanRequest;
use mustardbay_policy::escrow::Message;
use mustardbay_policy::escrow::Parts;
use mustardbay_policy::escrow::Return;

use self::rates_message::Body;

/// Message about the rate of one account.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RatesMessage {
    /// Account whose rate is shared.
    #[prost(string, tag = "1")]
    pub account: String,
    /// Message body; `None` if this version does not know its kind.
    #[prost(oneof = "rates_message::Body", tags = "2, 3, 4, 5, 6, 7, 8")]
    pub body: Option<rates_message::Body>,
}

/// Message bodies of [`RatesMessage`].
pub mod rates_message {
    /// Message body, one variant for each kind.
    #[derive(Clone, PartialEq, prost::Oneof)]
    pub enum Body {
        /// Requests a loan.
        #[prost(message, tag = "2")]
        LoanRequest(super::WireLoanRequest),
        /// Replies to a loan request with a loan.
        #[prost(message, tag = "3")]
        Loan(super::WireLoan),
        /// Returns a loan before it expires.
        #[prost(message, tag = "4")]
        Return(super::WireReturn),
        /// Transfers ledger entries permanently.
        #[prost(message, tag = "5")]
        Handover(super::WireHandover),
        /// Confirms that a handover was received.
        #[prost(message, tag = "6")]
        HandoverTaken(super::WireOwners),
        /// Asks whether the receiver holds a handover of an owner that is gone, and forbids it to
        /// accept one.
        #[prost(message, tag = "7")]
        Fence(super::WireHolder),
        /// Replies to a fence whether the owner's ledger entry must be kept.
        #[prost(message, tag = "8")]
        Fenced(super::WireFenced),
    }
}

/// One incarnation of a virtual machine's steward, as an owner or receiver of parts.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct WireHolder {
    /// Name of the virtual machine.
    #[prost(string, tag = "1")]
    pub vm: String,
    /// Start time of the steward, in nanoseconds since the Unix epoch.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
}

/// Loan request of a holder that has too few parts or tokens.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct WireLoanRequest {
    /// Number of the request.
    #[prost(fixed64, tag = "1")]
    pub request: u64,
    /// Tokens wanted, in millionths.
    #[prost(uint64, tag = "2")]
    pub tokens: u64,
    /// Tokens wanted per second, in thousandths.
    #[prost(uint64, tag = "3")]
    pub demand: u64,
    /// Parts of the rate that the holder has.
    #[prost(uint32, tag = "4")]
    pub held: u32,
}

/// Loan of rate parts, burst parts and tokens.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct WireLoan {
    /// Number of the request that this replies to.
    #[prost(fixed64, tag = "1")]
    pub request: u64,
    /// Number of the loan.
    #[prost(fixed64, tag = "2")]
    pub loan: u64,
    /// Parts of the rate.
    #[prost(uint32, tag = "3")]
    pub rate: u32,
    /// Parts of the burst.
    #[prost(uint32, tag = "4")]
    pub burst: u32,
    /// Tokens, in millionths.
    #[prost(uint64, tag = "5")]
    pub tokens: u64,
}

/// Return of a loan before it expires.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct WireReturn {
    /// Number of the loan.
    #[prost(fixed64, tag = "1")]
    pub loan: u64,
    /// Tokens that are returned, in millionths.
    #[prost(uint64, tag = "2")]
    pub tokens: u64,
}

/// Entry of a ledger: an owner and its parts.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct WireLedgerEntry {
    /// Owner of the parts.
    #[prost(message, required, tag = "1")]
    pub owner: WireHolder,
    /// Number of parts owned.
    #[prost(uint32, tag = "2")]
    pub parts: u32,
}

/// Ledger entries that an owner transfers to one incarnation of a peer.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct WireHandover {
    /// The only incarnation that may take the entries.
    #[prost(message, required, tag = "1")]
    pub successor: WireHolder,
    /// Ledger entries that are transferred.
    #[prost(message, repeated, tag = "2")]
    pub entries: Vec<WireLedgerEntry>,
    /// Parts of the rate still lent out.
    #[prost(uint32, tag = "3")]
    pub lent_rate: u32,
    /// Parts of the burst still lent out.
    #[prost(uint32, tag = "4")]
    pub lent_burst: u32,
    /// Time until all loans have expired, in microseconds.
    #[prost(uint64, tag = "5")]
    pub lent_for_us: u64,
}

/// Owners whose handover was received.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct WireOwners {
    /// Owners of the received entries.
    #[prost(message, repeated, tag = "1")]
    pub owners: Vec<WireHolder>,
}

/// Reply to a fence.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct WireFenced {
    /// Owner that the fence was about.
    #[prost(message, required, tag = "1")]
    pub owner: WireHolder,
    /// Whether the owner's ledger entry must be kept.
    #[prost(bool, tag = "2")]
    pub keep: bool,
}

impl RatesMessage {
    /// Creates the wire message about an account.
    pub fn new(account: impl Into<String>, message: Message) -> Self {
        Self {
            account: account.into(),
            body: Some(message.into()),
        }
    }

    /// Returns the message; `None` if this version does not know its kind.
    #[must_use]
    pub fn message(self) -> Option<Message> {
        self.body.map(Message::from)
    }
}

impl From<Message> for Body {
    fn from(message: Message) -> Self {
        match message {
            Message::LoanRequest(ask) => Self::LoanRequest(WireLoanRequest {
                request: ask.request,
                tokens: ask.tokens,
                demand: ask.demand,
                held: ask.held.0,
            }),
            Message::Loan(loan) => Self::Loan(WireLoan {
                request: loan.request,
                loan: loan.loan,
                rate: loan.rate.0,
                burst: loan.burst.0,
                tokens: loan.tokens,
            }),
            Message::Return(back) => Self::Return(WireReturn {
                loan: back.loan,
                tokens: back.tokens,
            }),
            Message::Handover(handover) => Self::Handover(handover.into()),
            Message::HandoverTaken(owners) => Self::HandoverTaken(WireOwners {
                owners: owners.into_iter().map(WireHolder::from).collect(),
            }),
            Message::Fence(owner) => Self::Fence(owner.into()),
            Message::Fenced { owner, keep } => Self::Fenced(WireFenced {
                owner: owner.into(),
                keep,
            }),
        }
    }
}

impl From<Body> for Message {
    fn from(body: Body) -> Self {
        match body {
            Body::LoanRequest(ask) => Self::LoanRequest(LoanRequest {
                request: ask.request,
                tokens: ask.tokens,
                demand: ask.demand,
                held: Parts(ask.held),
            }),
            Body::Loan(loan) => Self::Loan(Loan {
                request: loan.request,
                loan: loan.loan,
                rate: Parts(loan.rate),
                burst: Parts(loan.burst),
                tokens: loan.tokens,
            }),
            Body::Return(back) => Self::Return(Return {
                loan: back.loan,
                tokens: back.tokens,
            }),
            Body::Handover(handover) => Self::Handover(handover.into()),
            Body::HandoverTaken(taken) => {
                Self::HandoverTaken(taken.owners.into_iter().map(HolderId::from).collect())
            }
            Body::Fence(owner) => Self::Fence(owner.into()),
            Body::Fenced(fenced) => Self::Fenced {
                owner: fenced.owner.into(),
                keep: fenced.keep,
            },
        }
    }
}

impl From<HolderId> for WireHolder {
    fn from(id: HolderId) -> Self {
        Self {
            vm: id.vm.to_string(),
            incarnation: id.incarnation,
        }
    }
}

impl From<WireHolder> for HolderId {
    fn from(id: WireHolder) -> Self {
        Self::new(id.vm, id.incarnation)
    }
}

impl From<Handover> for WireHandover {
    fn from(handover: Handover) -> Self {
        let entries = handover.entries.into_iter().map(|e| WireLedgerEntry {
            owner: e.owner.into(),
            parts: e.parts.0,
        });
        Self {
            successor: handover.successor.into(),
            entries: entries.collect(),
            lent_rate: handover.lent_rate.0,
            lent_burst: handover.lent_burst.0,
            lent_for_us: u64::try_from(handover.lent_for.as_micros()).unwrap_or(u64::MAX),
        }
    }
}

impl From<WireHandover> for Handover {
    fn from(handover: WireHandover) -> Self {
        let entries = handover.entries.into_iter().map(|e| LedgerEntry {
            owner: e.owner.into(),
            parts: Parts(e.parts),
        });
        Self {
            successor: handover.successor.into(),
            entries: entries.collect(),
            lent_rate: Parts(handover.lent_rate),
            lent_burst: Parts(handover.lent_burst),
            lent_for: Duration::from_micros(handover.lent_for_us.saturating_add(1)),
        }
    }
}
