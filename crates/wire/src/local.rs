//! Messages between the steward and the entry or pool of the same virtual machine.

use bytes::Bytes;

/// First message of an entry or a pool to its steward; identifies the sender.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LocalHello {
    /// Name of the program: `entry` or `pool`.
    #[prost(string, tag = "1")]
    pub program: String,
    /// Start time of the process, in nanoseconds since the Unix epoch.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
}

/// Requests rate-limit tokens of an account from the steward.
#[derive(Clone, PartialEq, prost::Message)]
pub struct DrawTokens {
    /// Request number, unique on its connection; [`GrantTokens`] repeats it.
    #[prost(uint64, tag = "1")]
    pub request: u64,
    /// Account whose tokens are requested.
    #[prost(string, tag = "2")]
    pub account: String,
    /// Number of tokens wanted.
    #[prost(uint64, tag = "3")]
    pub wanted: u64,
    /// Tokens of earlier grants that were spent or discarded since the last message.
    #[prost(uint64, tag = "4")]
    pub spent: u64,
}

/// Report of an entry or a pool on whether an upstream is reachable.
#[derive(Clone, PartialEq, prost::Message)]
pub struct UpstreamHealth {
    /// Name of the upstream's group.
    #[prost(string, tag = "1")]
    pub group: String,
    /// Name of the upstream.
    #[prost(string, tag = "2")]
    pub upstream: String,
    /// Whether the last attempt to reach the upstream succeeded.
    #[prost(bool, tag = "3")]
    pub reachable: bool,
}

/// Message from an entry or a pool to its steward.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ToSteward {
    /// Message body; `None` if this version does not know its kind.
    #[prost(oneof = "to_steward::Body", tags = "1, 2, 3")]
    pub body: Option<to_steward::Body>,
}

/// Message bodies of [`ToSteward`].
pub mod to_steward {
    /// Message body, one variant for each kind.
    #[derive(Clone, PartialEq, prost::Oneof)]
    pub enum Body {
        /// Identifies the sender.
        #[prost(message, tag = "1")]
        Hello(super::LocalHello),
        /// Requests rate-limit tokens.
        #[prost(message, tag = "2")]
        Draw(super::DrawTokens),
        /// Reports the health of an upstream.
        #[prost(message, tag = "3")]
        Health(super::UpstreamHealth),
    }
}

/// Update of the fleet's state; parts that did not change are absent.
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
    /// Whether the steward knows which shares of the accounts' rates it owns; absent if unchanged.
    #[prost(bool, optional, tag = "4")]
    pub rates_known: Option<bool>,
}

/// Reply to [`DrawTokens`]; the steward has already subtracted the granted tokens.
#[derive(Clone, PartialEq, prost::Message)]
pub struct GrantTokens {
    /// Number of the request that this replies to.
    #[prost(uint64, tag = "1")]
    pub request: u64,
    /// Account whose tokens were requested.
    #[prost(string, tag = "2")]
    pub account: String,
    /// Number of tokens granted; fewer than wanted, or 0, if the account's rate is used up.
    #[prost(uint64, tag = "3")]
    pub granted: u64,
    /// Time for which the tokens are valid, from when the request was sent, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub valid_ms: u64,
    /// Time until tokens are expected again, in milliseconds, if none were granted.
    #[prost(uint64, tag = "5")]
    pub retry_after_ms: u64,
}

/// Message from a steward to an entry or a pool.
#[derive(Clone, PartialEq, prost::Message)]
pub struct FromSteward {
    /// Message body; `None` if this version does not know its kind.
    #[prost(oneof = "from_steward::Body", tags = "1, 2")]
    pub body: Option<from_steward::Body>,
}

/// Message bodies of [`FromSteward`].
pub mod from_steward {
    /// Message body, one variant for each kind.
    #[derive(Clone, PartialEq, prost::Oneof)]
    pub enum Body {
        /// Updates the state of the fleet.
        #[prost(message, tag = "1")]
        View(super::ViewUpdate),
        /// Grants rate-limit tokens.
        #[prost(message, tag = "2")]
        Grant(super::GrantTokens),
    }
}
