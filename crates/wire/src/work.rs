//! Messages between an entry and a pool: statements in, answers out, multiplexed by request number.

use bytes::Bytes;

/// Term and log index on the wire.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct WirePosition {
    /// Term of the primary.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// Index of the last log entry.
    #[prost(uint64, tag = "2")]
    pub index: u64,
}

/// How a statement batch may be run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Mode {
    /// Reads only; any upstream that covers the floor may serve it.
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
    /// Number of the request, unique on its link.
    #[prost(uint64, tag = "1")]
    pub request: u64,
    /// Number of the session, unique on its link; transactions are held by session.
    #[prost(uint64, tag = "2")]
    pub session: u64,
    /// Account to run for; empty on an open route.
    #[prost(string, tag = "3")]
    pub account: String,
    /// Group that the route leads to.
    #[prost(string, tag = "4")]
    pub group: String,
    /// Upstream that is to run it.
    #[prost(string, tag = "5")]
    pub upstream: String,
    /// Group term that the entry routed by.
    #[prost(uint64, tag = "6")]
    pub term: u64,
    /// How it may be run.
    #[prost(enumeration = "Mode", tag = "7")]
    pub mode: i32,
    /// Position that the upstream must have applied before a read starts.
    #[prost(message, optional, tag = "8")]
    pub floor: Option<WirePosition>,
    /// Greatest age of the data that the read accepts, in milliseconds; replaces the floor.
    #[prost(uint64, optional, tag = "9")]
    pub max_age_ms: Option<u64>,
    /// Time left until the deadline, in milliseconds.
    #[prost(uint64, tag = "10")]
    pub deadline_ms: u64,
    /// Identifier under which the request runs at most once.
    #[prost(string, optional, tag = "11")]
    pub idempotency_key: Option<String>,
    /// Encoded PostgreSQL frontend messages, ending in one `Query` or one `Sync`.
    #[prost(bytes = "bytes", tag = "12")]
    pub messages: Bytes,
    /// Indexes, counted from 0 among the `ParseComplete` answers of this batch, that the pool
    /// drops because the entry inserted the `Parse`.
    #[prost(uint32, repeated, tag = "13")]
    pub hidden_parses: Vec<u32>,
    /// Answer bytes that may be sent before a [`Credit`] arrives.
    #[prost(uint64, tag = "14")]
    pub window: u64,
}

/// Permission to send more answer bytes.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Credit {
    /// Request that the permission is for.
    #[prost(uint64, tag = "1")]
    pub request: u64,
    /// Further bytes that may be sent.
    #[prost(uint64, tag = "2")]
    pub bytes: u64,
}

/// Asks the pool to cancel a request; the request is still answered.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Cancel {
    /// Request to cancel.
    #[prost(uint64, tag = "1")]
    pub request: u64,
}

/// Ends a session: its open transaction is rolled back and its connection reset.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Release {
    /// Session that ended.
    #[prost(uint64, tag = "1")]
    pub session: u64,
}

/// Asks for a position that the primary holds and confirms with a replica after the request.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ConfirmPosition {
    /// Number of the request, unique on its link, shared with [`Submit`].
    #[prost(uint64, tag = "1")]
    pub request: u64,
    /// Group to ask.
    #[prost(string, tag = "2")]
    pub group: String,
    /// Upstream that the entry takes for the primary.
    #[prost(string, tag = "3")]
    pub upstream: String,
    /// Group term that the entry routed by.
    #[prost(uint64, tag = "4")]
    pub term: u64,
    /// Time left until the deadline, in milliseconds.
    #[prost(uint64, tag = "5")]
    pub deadline_ms: u64,
}

/// Message from an entry to a pool.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ToPool {
    /// The message.
    #[prost(oneof = "to_pool::Body", tags = "1, 2, 3, 4, 5")]
    pub body: Option<to_pool::Body>,
}

/// Kinds of [`ToPool`].
pub mod to_pool {
    /// The message.
    #[derive(Clone, PartialEq, prost::Oneof)]
    pub enum Body {
        /// Runs a batch.
        #[prost(message, tag = "1")]
        Submit(super::Submit),
        /// Lets more answer bytes flow.
        #[prost(message, tag = "2")]
        Credit(super::Credit),
        /// Cancels a request.
        #[prost(message, tag = "3")]
        Cancel(super::Cancel),
        /// Ends a session.
        #[prost(message, tag = "4")]
        Release(super::Release),
        /// Asks for a confirmed position.
        #[prost(message, tag = "5")]
        Confirm(super::ConfirmPosition),
    }
}

/// Part of an answer: whole encoded PostgreSQL backend messages, `ReadyForQuery` left out.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Chunk {
    /// Request that is answered.
    #[prost(uint64, tag = "1")]
    pub request: u64,
    /// Encoded PostgreSQL backend messages.
    #[prost(bytes = "bytes", tag = "2")]
    pub messages: Bytes,
}

/// Last applied position of one upstream, as known at its pool.
#[derive(Clone, PartialEq, prost::Message)]
pub struct UpstreamPosition {
    /// Group of the upstream.
    #[prost(string, tag = "1")]
    pub group: String,
    /// Name of the upstream.
    #[prost(string, tag = "2")]
    pub upstream: String,
    /// Position that it has applied.
    #[prost(message, optional, tag = "3")]
    pub applied: Option<WirePosition>,
    /// Age of its last confirmed contact with the primary, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub age_ms: u64,
}

/// End of an answer; everything before it is whole.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Finished {
    /// Request that is answered.
    #[prost(uint64, tag = "1")]
    pub request: u64,
    /// Status byte of `ReadyForQuery`: `I`, `T` or `E`.
    #[prost(uint32, tag = "2")]
    pub status: u32,
    /// Position of the session's durable write; absent when nothing was committed.
    #[prost(message, optional, tag = "3")]
    pub committed: Option<WirePosition>,
    /// Newest positions known at the pool for the group's upstreams.
    #[prost(message, repeated, tag = "4")]
    pub positions: Vec<UpstreamPosition>,
}

/// What is known about a refused request, on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum WireOutcome {
    /// The request did not run.
    NotRun = 0,
    /// The request may have run.
    Unknown = 1,
}

/// Final answer to a request that is not served, or whose answer broke off.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Refused {
    /// Request that is answered.
    #[prost(uint64, tag = "1")]
    pub request: u64,
    /// Whether it ran.
    #[prost(enumeration = "WireOutcome", tag = "2")]
    pub outcome: i32,
    /// Name of the [`Reason`](mustardbay_policy::refusal::Reason) in snake case.
    #[prost(string, tag = "3")]
    pub reason: String,
    /// Text for people.
    #[prost(string, tag = "4")]
    pub message: String,
    /// When a retry has a chance, in milliseconds.
    #[prost(uint64, optional, tag = "5")]
    pub retry_after_ms: Option<u64>,
    /// Newest positions known at the pool for the group's upstreams.
    #[prost(message, repeated, tag = "6")]
    pub positions: Vec<UpstreamPosition>,
}

/// Answer to [`ConfirmPosition`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct Confirmed {
    /// Request that is answered.
    #[prost(uint64, tag = "1")]
    pub request: u64,
    /// Position of the primary, confirmed by a replica.
    #[prost(message, optional, tag = "2")]
    pub position: Option<WirePosition>,
}

/// Message from a pool to an entry.
#[derive(Clone, PartialEq, prost::Message)]
pub struct FromPool {
    /// The message.
    #[prost(oneof = "from_pool::Body", tags = "1, 2, 3, 4")]
    pub body: Option<from_pool::Body>,
}

/// Kinds of [`FromPool`].
pub mod from_pool {
    /// The message.
    #[derive(Clone, PartialEq, prost::Oneof)]
    pub enum Body {
        /// Part of an answer.
        #[prost(message, tag = "1")]
        Chunk(super::Chunk),
        /// End of an answer.
        #[prost(message, tag = "2")]
        Finished(super::Finished),
        /// Refusal.
        #[prost(message, tag = "3")]
        Refused(super::Refused),
        /// Confirmed position.
        #[prost(message, tag = "4")]
        Confirmed(super::Confirmed),
    }
}
