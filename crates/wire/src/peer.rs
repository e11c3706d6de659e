//! Messages between the stewards of different virtual machines.

use bytes::Bytes;
use prost::Message;

/// State of one virtual machine, as gossip between stewards carries it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct VmUpdate {
    /// Name of the virtual machine.
    #[prost(string, tag = "1")]
    pub vm: String,
    /// Start time of its steward, in nanoseconds since the Unix epoch.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// Counter that its steward raises with every update of its own state.
    ///
    /// Within one incarnation, the update with the higher count overrides the other.
    #[prost(uint64, tag = "3")]
    pub count: u64,
    /// Membership status, a [`WireStatus`].
    #[prost(enumeration = "WireStatus", tag = "4")]
    pub status: i32,
    /// Name of its failure domain.
    #[prost(string, tag = "5")]
    pub domain: String,
    /// Address `ip:port` of its pool.
    #[prost(string, tag = "6")]
    pub pool: String,
    /// Address `ip:port` of its steward.
    #[prost(string, tag = "7")]
    pub peer: String,
    /// Whether it is shutting down.
    #[prost(bool, tag = "8")]
    pub leaving: bool,
}

/// Membership status of a virtual machine in [`VmUpdate`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum WireStatus {
    /// Its steward was heard from recently, or reported itself alive.
    Alive = 0,
    /// An observer received nothing from it for too long.
    Suspect = 1,
    /// It did not refute the suspicion in time, or announced that it left.
    Gone = 2,
}

/// Record of a group, as stored on the platform.
#[derive(Clone, PartialEq, prost::Message)]
pub struct GroupUpdate {
    /// Name of the group.
    #[prost(string, tag = "1")]
    pub group: String,
    /// JSON of the [`StoredRecord`](mustardbay_policy::group::StoredRecord).
    #[prost(bytes = "bytes", tag = "2")]
    pub recorded: Bytes,
}

/// Periodic heartbeat with the sender's versions and digests, and updates to spread.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Heartbeat {
    /// Whether the receiver should expect further heartbeats at regular intervals.
    #[prost(bool, tag = "1")]
    pub regular: bool,
    /// Version of the sender's current bundle.
    #[prost(uint64, tag = "2")]
    pub bundle_version: u64,
    /// Digest of all that the sender knows about virtual machines.
    #[prost(fixed64, tag = "3")]
    pub vms_digest: u64,
    /// Digest of all group records of the sender.
    #[prost(fixed64, tag = "4")]
    pub groups_digest: u64,
    /// Updates of virtual machines.
    #[prost(message, repeated, tag = "5")]
    pub vms: Vec<VmUpdate>,
    /// Updates of groups.
    #[prost(message, repeated, tag = "6")]
    pub groups: Vec<GroupUpdate>,
}

/// Digests by bucket; the receiver replies with its entries in the buckets that differ.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Digests {
    /// Digests of virtual machines; empty if these are not compared.
    #[prost(fixed64, repeated, tag = "1")]
    pub vms: Vec<u64>,
    /// Digests of group records; empty if these are not compared.
    #[prost(fixed64, repeated, tag = "2")]
    pub groups: Vec<u64>,
}

/// Part of the reply to [`Digests`]: entries in the buckets that differ.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Updates {
    /// Updates of virtual machines.
    #[prost(message, repeated, tag = "1")]
    pub vms: Vec<VmUpdate>,
    /// Updates of groups.
    #[prost(message, repeated, tag = "2")]
    pub groups: Vec<GroupUpdate>,
}

/// Requests the head of the receiver's current bundle.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct PullHead {
    /// Bundle version that the sender has.
    #[prost(uint64, tag = "1")]
    pub version: u64,
}

/// Requests chunks of the receiver's current bundle.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PullChunks {
    /// Hashes of the chunks, in hexadecimal.
    #[prost(string, repeated, tag = "1")]
    pub hashes: Vec<String>,
}

/// Reply to [`PullChunks`] with chunks of the bundle.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Chunks {
    /// Content of each chunk.
    #[prost(bytes = "bytes", repeated, tag = "1")]
    pub chunks: Vec<Bytes>,
}

/// Asks a monitor whether it has lost contact with the primary of a group.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct AskOpinion {
    /// Name of the group.
    #[prost(string, tag = "1")]
    pub group: String,
    /// Term of the primary.
    #[prost(uint64, tag = "2")]
    pub term: u64,
}

/// Reply to [`AskOpinion`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Opinion {
    /// Name of the group.
    #[prost(string, tag = "1")]
    pub group: String,
    /// Term of the primary.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Whether the sender has lost contact with the primary.
    #[prost(bool, tag = "3")]
    pub silent: bool,
}

/// Message between stewards.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PeerMessage {
    /// Name of the sender's virtual machine.
    #[prost(string, tag = "1")]
    pub from: String,
    /// Start time of the sending steward, in nanoseconds since the Unix epoch.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// Message body; `None` if this version does not know its kind.
    #[prost(
        oneof = "peer_message::Body",
        tags = "3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13"
    )]
    pub body: Option<peer_message::Body>,
}

impl PeerMessage {
    /// Returns the size of the encoded message, in bytes.
    #[must_use]
    pub fn wire_bytes(&self) -> usize {
        self.encoded_len()
    }
}

/// Message bodies of [`PeerMessage`].
pub mod peer_message {
    use bytes::Bytes;

    /// Message body, one variant for each kind.
    #[derive(Clone, PartialEq, prost::Oneof)]
    pub enum Body {
        /// Identifies the sender.
        #[prost(message, tag = "3")]
        Hello(super::VmUpdate),
        /// Shows that the sender is alive, and spreads updates.
        #[prost(message, tag = "4")]
        Heartbeat(super::Heartbeat),
        /// Requests the entries that differ.
        #[prost(message, tag = "5")]
        Digests(super::Digests),
        /// Sends the entries that differ.
        #[prost(message, tag = "6")]
        Updates(super::Updates),
        /// Requests the head of the bundle.
        #[prost(message, tag = "7")]
        PullHead(super::PullHead),
        /// JSON of the current bundle's [`Head`](mustardbay_policy::bundle::Head).
        #[prost(bytes = "bytes", tag = "8")]
        Head(Bytes),
        /// Requests chunks of the bundle.
        #[prost(message, tag = "9")]
        PullChunks(super::PullChunks),
        /// Sends the requested chunks.
        #[prost(message, tag = "10")]
        Chunks(super::Chunks),
        /// Asks a monitor whether it has lost contact with a primary.
        #[prost(message, tag = "11")]
        AskOpinion(super::AskOpinion),
        /// Replies whether contact with the primary is lost.
        #[prost(message, tag = "12")]
        Opinion(super::Opinion),
        /// Encoded [`RatesMessage`](crate::RatesMessage), which the peer link does not decode.
        #[prost(bytes = "bytes", tag = "13")]
        Rates(Bytes),
    }
}
