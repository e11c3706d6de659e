//! Client side of the PostgreSQL protocol: framing, validation and replies.

mod client_codec;
mod layout;
mod reply;
mod watched_stream;

pub(crate) use client_codec::ClientCodec;
pub(crate) use client_codec::Outgoing;
pub(crate) use client_codec::Phase;
pub(crate) use client_codec::ProtocolError;
pub(crate) use reply::Severity;
pub(crate) use reply::error;
pub(crate) use reply::parameter;
pub(crate) use reply::ready;
pub(crate) use reply::refusal;
pub(crate) use watched_stream::WatchedStream;
