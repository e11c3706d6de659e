//! Messages between the steward and the entry or pool of the same virtual machine.

use bytes::Bytes;

/// First message of an entry or a pool to its steward.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LocalHello {
    /// Program: `entry` or `pool`.
    #[prost(string, tag = "1")]
    pub program: String,
    /// Start of the process, in nanoseconds since the Unix epoch.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
}

/// Asks the steward for tokens of an account's rate.
#[derive(Clone, PartialEq, prost::Message)]
pub struct DrawTokens {
    /// Number of the request, unique on its link.
    #[prost(uint64, tag = "1")]
    pub request: u64,
    /// Account whose rate is drawn on.
    #[prost(string, tag = "2")]
    pub account: String,
    /// Tokens wanted.
    #[prost(uint64, tag = "3")]
    pub wanted: u64,
    /// Tokens of earlier grants that were spent or dropped since the last message.
    #[prost(uint64, tag = "4")]
    pub spent: u64,
}

/// What a pool or entry sees of an upstream.
#[derive(Clone, PartialEq, prost::Message)]
pub struct UpstreamHealth {
    /// Group of the upstream.
    #[prost(string, tag = "1")]
    pub group: String,
    /// Name of the upstream.
    #[prost(string, tag = "2")]
    pub upstream: String,
    /// Whether it answered last time.
    #[prost(bool, tag = "3")]
    pub reachable: bool,
}

/// Message from an entry or a pool to its steward.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ToSteward {
    /// The message.
    #[prost(oneof = "to_steward::Body", tags = "1, 2, 3")]
    pub body: Option<to_steward::Body>,
}

/// Kinds of [`ToSteward`].
pub mod to_steward {
    /// The message.
    #[derive(Clone, PartialEq, prost::Oneof)]
    pub enum Body {
        /// Says who connects.
        #[prost(message, tag = "1")]
        Hello(super::LocalHello),
        /// Asks for tokens.
        #[prost(message, tag = "2")]
        Draw(super::DrawTokens),
        /// Reports on an upstream.
        #[prost(message, tag = "3")]
        Health(super::UpstreamHealth),
    }
}

/// New state of the fleet; parts that did not change are absent.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ViewUpdate {
    /// JSON of the [`Bundle`](mustardbay_policy::bundle::Bundle) in force, when it changed.
    #[prost(bytes = "bytes", optional, tag = "1")]
    pub bundle: Option<Bytes>,
    /// JSON of the map from group name to
    /// [`GroupState`](mustardbay_policy::view::GroupState), when one changed.
    #[prost(bytes = "bytes", optional, tag = "2")]
    pub groups: Option<Bytes>,
    /// JSON of the map from virtual machine name to
    /// [`VmState`](mustardbay_policy::view::VmState), when one changed.
    #[prost(bytes = "bytes", optional, tag = "3")]
    pub vms: Option<Bytes>,
    /// Whether the parts of the accounts' rates are known, once they are.
    #[prost(bool, optional, tag = "4")]
    pub rates_known: Option<bool>,
}

/// Answer to [`DrawTokens`]; the steward has already subtracted the tokens.
#[derive(Clone, PartialEq, prost::Message)]
pub struct GrantTokens {
    /// Request that is answered.
    #[prost(uint64, tag = "1")]
    pub request: u64,
    /// Account whose rate was drawn on.
    #[prost(string, tag = "2")]
    pub account: String,
    /// Tokens granted; fewer than wanted, or 0, when the account is short.
    #[prost(uint64, tag = "3")]
    pub granted: u64,
    /// How long the tokens may be spent, counted from when the draw was sent, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub valid_ms: u64,
    /// When tokens are expected again, in milliseconds, if none were granted.
    #[prost(uint64, tag = "5")]
    pub retry_after_ms: u64,
}

/// Message from a steward to an entry or a pool.
#[derive(Clone, PartialEq, prost::Message)]
pub struct FromSteward {
    /// The message.
    #[prost(oneof = "from_steward::Body", tags = "1, 2")]
    pub body: Option<from_steward::Body>,
}

/// Kinds of [`FromSteward`].
pub mod from_steward {
    /// The message.
    #[derive(Clone, PartialEq, prost::Oneof)]
    pub enum Body {
        /// New state of the fleet.
        #[prost(message, tag = "1")]
        View(super::ViewUpdate),
        /// Tokens.
        #[prost(message, tag = "2")]
        Grant(super::GrantTokens),
    }
}
