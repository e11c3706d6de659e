//! Messages between the stewards of different virtual machines.

/// Message between stewards.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PeerMessage {
    /// Virtual machine of the sender.
    #[prost(string, tag = "1")]
    pub from: String,
    /// Start of the sender, in nanoseconds since the Unix epoch.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
}
