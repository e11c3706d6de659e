//! Messages between an entry and a pool: statements and answers, multiplexed by request number.

use bytes::Bytes;

/// Term and log index on the wire.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct WirePosition {
    /// Term of the primary.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// Index of the last entry in the group's log.
    #[prost(uint64, tag = "2")]
    pub index: u64,
}

/// How a statement batch may be run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Mode {
    /// Reads only; any upstream that has applied the floor position may serve it.
    Read = 0,
    /// Writes, or is not known to be a read; only the primary may serve it.
    Write = 1,
    /// Opens a transaction that may write; the connection is held for the session.
    Begin = 2,
    /// Opens a read-only transaction; the connection is held for the session.
    BeginRead = 3,
    /// Belongs to the transaction that the session holds at this pool.
    Continue = 4,
}

/// One batch of PostgreSQL frontend messages to run.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Submit {
    /// Request number, unique on its connection.
    #[prost(uint64, tag = "1")]
    pub request: u64,
    /// Session number, unique on its connection; an open transaction belongs to its session.
    #[prost(uint64, tag = "2")]
    pub session: u64,
    /// Account that the batch runs for; empty on an open route, which needs no login.
    #[prost(string, tag = "3")]
    pub account: String,
    /// Name of the group that the route leads to.
    #[prost(string, tag = "4")]
    pub group: String,
    /// Name of the upstream that runs the batch.
    #[prost(string, tag = "5")]
    pub upstream: String,
    /// Term of the group that the entry used to choose the upstream.
    #[prost(uint64, tag = "6")]
    pub term: u64,
    /// How the batch may be run, a [`Mode`].
    #[prost(enumeration = "Mode", tag = "7")]
    pub mode: i32,
    /// Position that the upstream must have applied before a read starts.
    #[prost(message, optional, tag = "8")]
    pub floor: Option<WirePosition>,
    /// Maximum age of the data that the read accepts, in milliseconds; replaces the floor.
    #[prost(uint64, optional, tag = "9")]
    pub max_age_ms: Option<u64>,
    /// Time left until the deadline, in milliseconds.
    #[prost(uint64, tag = "10")]
    pub deadline_ms: u64,
    /// Key under which the request runs at most once.
    #[prost(string, optional, tag = "11")]
    pub idempotency_key: Option<String>,
    /// Encoded PostgreSQL frontend messages, ending in one `Query` or one `Sync`.
    #[prost(bytes = "bytes", tag = "12")]
    pub messages: Bytes,
    /// Indexes, counted from 0 among the `ParseComplete` answers of this batch, that the pool
    /// drops because the entry inserted the `Parse`.
    #[prost(uint32, repeated, tag = "13")]
    pub hidden_parses: Vec<u32>,
    /// Flow-control window: answer bytes that the pool may send before a [`Credit`] arrives.
    #[prost(uint64, tag = "14")]
    pub window: u64,
}

/// Flow-control credit: lets the pool send more answer bytes.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Credit {
    /// Number of the request that the credit is for.
    #[prost(uint64, tag = "1")]
    pub request: u64,
    /// Number of additional bytes that may be sent.
    #[prost(uint64, tag = "2")]
    pub bytes: u64,
}

/// Asks the pool to cancel a request; the request is still answered.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Cancel {
    /// Number of the request to cancel.
    #[prost(uint64, tag = "1")]
    pub request: u64,
}

/// Ends a session: the pool rolls back its open transaction and resets its connection.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Release {
    /// Number of the session that ended.
    #[prost(uint64, tag = "1")]
    pub session: u64,
}

/// Requests the primary's position, confirmed by a replica after the request arrived.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ConfirmPosition {
    /// Request number, unique on its connection among these and [`Submit`] requests.
    #[prost(uint64, tag = "1")]
    pub request: u64,
    /// Name of the group.
    #[prost(string, tag = "2")]
    pub group: String,
    /// Name of the upstream that the entry considers the primary.
    #[prost(string, tag = "3")]
    pub upstream: String,
    /// Term of the group that the entry used to choose the upstream.
    #[prost(uint64, tag = "4")]
    pub term: u64,
    /// Time left until the deadline, in milliseconds.
    #[prost(uint64, tag = "5")]
    pub deadline_ms: u64,
}

/// Message from an entry to a pool.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ToPool {
    /// Message body; `None` if this version does not know its kind.
    #[prost(oneof = "to_pool::Body", tags = "1, 2, 3, 4, 5")]
    pub body: Option<to_pool::Body>,
}

/// Message bodies of [`ToPool`].
pub mod to_pool {
    /// Message body, one variant for each kind.
    #[derive(Clone, PartialEq, prost::Oneof)]
    pub enum Body {
        /// Runs a batch.
        #[prost(message, tag = "1")]
        Submit(super::Submit),
        /// Lets the pool send more answer bytes.
        #[prost(message, tag = "2")]
        Credit(super::Credit),
        /// Cancels a request.
        #[prost(message, tag = "3")]
        Cancel(super::Cancel),
        /// Ends a session.
        #[prost(message, tag = "4")]
        Release(super::Release),
        /// Requests a confirmed position of the primary.
        #[prost(message, tag = "5")]
        Confirm(super::ConfirmPosition),
    }
}

/// Part of an answer: complete PostgreSQL backend messages, without `ReadyForQuery`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Chunk {
    /// Number of the request that this replies to.
    #[prost(uint64, tag = "1")]
    pub request: u64,
    /// Encoded PostgreSQL backend messages.
    #[prost(bytes = "bytes", tag = "2")]
    pub messages: Bytes,
}

/// Last applied position of one upstream, as known at its pool.
#[derive(Clone, PartialEq, prost::Message)]
pub struct UpstreamPosition {
    /// Name of the upstream's group.
    #[prost(string, tag = "1")]
    pub group: String,
    /// Name of the upstream.
    #[prost(string, tag = "2")]
    pub upstream: String,
    /// Last position that the upstream has applied.
    #[prost(message, optional, tag = "3")]
    pub applied: Option<WirePosition>,
    /// Time since its last confirmed contact with the primary, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub age_ms: u64,
}

/// End of a complete answer.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Finished {
    /// Number of the request that this replies to.
    #[prost(uint64, tag = "1")]
    pub request: u64,
    /// Status byte of `ReadyForQuery`: `I`, `T` or `E`.
    #[prost(uint32, tag = "2")]
    pub status: u32,
    /// Position of the session's durable write; absent if nothing was committed.
    #[prost(message, optional, tag = "3")]
    pub committed: Option<WirePosition>,
    /// Newest positions known at the pool for the group's upstreams.
    #[prost(message, repeated, tag = "4")]
    pub positions: Vec<UpstreamPosition>,
}

/// Whether a refused request may have run, on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum WireOutcome {
    /// The request did not run.
    NotRun = 0,
    /// The request may have run.
    Unknown = 1,
}

/// Final reply to a request that was not served or whose answer was cut short.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Refused {
    /// Number of the request that this replies to.
    #[prost(uint64, tag = "1")]
    pub request: u64,
    /// Whether the request may have run, a [`WireOutcome`].
    #[prost(enumeration = "WireOutcome", tag = "2")]
    pub outcome: i32,
    /// Name of the [`Reason`](mustardbay_policy::refusal::Reason) in snake case.
    #[prost(string, tag = "3")]
    pub reason: String,
    /// Human-readable explanation.
    #[prost(string, tag = "4")]
    pub message: String,
    /// Time after which a retry may succeed, in milliseconds.
    #[prost(uint64, optional, tag = "5")]
    pub retry_after_ms: Option<u64>,
    /// Newest positions known at the pool for the group's upstreams.
    #[prost(message, repeated, tag = "6")]
    pub positions: Vec<UpstreamPosition>,
}

/// Reply to [`ConfirmPosition`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct Confirmed {
    /// Number of the request that this replies to.
    #[prost(uint64, tag = "1")]
    pub request: u64,
    /// Position of the primary, confirmed by a replica.
    #[prost(message, optional, tag = "2")]
    pub position: Option<WirePosition>,
}

/// Message from a pool to an entry.
#[derive(Clone, PartialEq, prost::Message)]
pub struct FromPool {
    /// Message body; `None` if this version does not know its kind.
    #[prost(oneof = "from_pool::Body", tags = "1, 2, 3, 4")]
    pub body: Option<from_pool::Body>,
}

/// Message bodies of [`FromPool`].
pub mod from_pool {
    /// Message body, one variant for each kind.
    #[derive(Clone, PartialEq, prost::Oneof)]
    pub enum Body {
        /// Sends part of an answer.
        #[prost(message, tag = "1")]
        Chunk(super::Chunk),
        /// Ends an answer.
        #[prost(message, tag = "2")]
        Finished(super::Finished),
        /// Refuses a request or ends its answer early.
        #[prost(message, tag = "3")]
        Refused(super::Refused),
        /// Sends a confirmed position of the primary.
        #[prost(message, tag = "4")]
        Confirmed(super::Confirmed),
    }
}
