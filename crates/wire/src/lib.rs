//! Messages between the proxy's own processes and their framing.
//!
//! Each frame is a four-byte big-endian length followed by one protobuf message. The messages
//! derive [`prost::Message`] on plain structs, so that the build needs no protobuf compiler.

mod codec;
mod convert;
mod local;
mod peer;
mod rates;
mod work;

pub use codec::Codec;
pub use codec::CodecError;
pub use codec::MAX_FRAME_BYTES;
pub use codec::MessageStream;
pub use codec::framed;
pub use local::DrawTokens;
pub use local::FromSteward;
pub use local::GrantTokens;
pub use local::LocalHello;
pub use local::ToSteward;
pub use local::UpstreamHealth;
pub use local::ViewUpdate;
pub use local::from_steward;
pub use local::to_steward;
pub use peer::AskOpinion;
pub use peer::Chunks;
pub use peer::Digests;
pub use peer::GroupUpdate;
pub use peer::Heartbeat;
pub use peer::Opinion;
pub use peer::PeerMessage;
pub use peer::PullChunks;
pub use peer::PullHead;
pub use peer::Updates;
pub use peer::VmUpdate;
pub use peer::WireStatus;
pub use peer::peer_message;
pub use rates::RatesMessage;
pub use work::Cancel;
pub use work::Chunk;
pub use work::ConfirmPosition;
pub use work::Confirmed;
pub use work::Credit;
pub use work::Finished;
pub use work::FromPool;
pub use work::Mode;
pub use work::Refused;
pub use work::Release;
pub use work::Submit;
pub use work::ToPool;
pub use work::UpstreamPosition;
pub use work::WireOutcome;
pub use work::WirePosition;
pub use work::from_pool;
pub use work::to_pool;
