//! Callers' side of the PostgreSQL protocol: framing and messages to callers.

mod codec;
mod layout;
mod reply;

pub(crate) use codec::CallerCodec;
pub(crate) use codec::Outgoing;
pub(crate) use codec::Phase;
pub(crate) use codec::ProtocolError;
pub(crate) use reply::Severity;
pub(crate) use reply::error;
pub(crate) use reply::parameter;
pub(crate) use reply::ready;
pub(crate) use reply::refusal;
