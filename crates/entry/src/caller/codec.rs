//! Framing of a caller's messages, with bounds checked before a message is decoded.

use std::io;

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use pgwire::error::PgWireError;
use pgwire::messages::DecodeContext;
use pgwire::messages::PgWireBackendMessage;
use pgwire::messages::PgWireFrontendMessage;
use pgwire::messages::SslNegotiationMetaMessage;
use thiserror::Error;
use tokio_util::codec::Decoder;
use tokio_util::codec::Encoder;

use crate::caller::layout;

/// Largest message before a start-up is complete, in bytes.
const MAX_STARTUP_BYTES: usize = 10_000;
/// Smallest packet before a start-up message: its length and a code.
const MIN_PACKET_BYTES: usize = 8;
/// Size of the length field, which counts itself.
const LENGTH_BYTES: usize = 4;

/// Input of a caller that cannot be served; the connection ends.
#[derive(Debug, Error)]
pub(crate) enum ProtocolError {
    /// The connection failed.
    #[error("connection failed: {0}")]
    Io(#[from] io::Error),
    /// A message is larger than allowed.
    #[error("message of {bytes} bytes exceeds the limit of {limit}")]
    TooLarge {
        /// Size that the caller announced.
        bytes: usize,
        /// Size that is allowed.
        limit: usize,
    },
    /// A message does not have the shape that its type demands.
    #[error("message of type {0:?} is malformed")]
    Malformed(char),
    /// The message does not decode.
    #[error("message does not decode: {0}")]
    Decode(#[from] PgWireError),
}

/// Part of a connection's life, which decides how bytes are read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Before the start-up message: packets without a type.
    Startup,
    /// After the start-up message: typed messages, small until the key was checked.
    Authentication,
    /// Serving: typed messages.
    Serving,
}

/// Codec of a caller's connection.
#[derive(Debug)]
pub(crate) struct CallerCodec {
    phase: Phase,
    max_bytes: usize,
    context: DecodeContext,
}

impl CallerCodec {
    /// Creates the codec of a new connection; `max_bytes` bounds one message.
    pub fn new(max_bytes: usize) -> Self {
        Self {
            phase: Phase::Startup,
            max_bytes,
            context: DecodeContext::default(),
        }
    }

    /// Moves the connection to its next phase.
    pub fn enter(&mut self, phase: Phase) {
        self.phase = phase;
    }

    fn limit(&self) -> usize {
        match self.phase {
            Phase::Startup | Phase::Authentication => MAX_STARTUP_BYTES.min(self.max_bytes),
            Phase::Serving => self.max_bytes,
        }
    }

    /// Splits one whole frame off `src`, `offset` bytes of type included.
    fn frame(&self, src: &mut BytesMut, offset: usize) -> Result<Option<BytesMut>, ProtocolError> {
        if src.len() < offset + LENGTH_BYTES {
            return Ok(None);
        }
        let length = (&src[offset..offset + LENGTH_BYTES]).get_u32() as usize;
        let limit = self.limit();
        if length > limit {
            return Err(ProtocolError::TooLarge {
                bytes: length,
                limit,
            });
        }
        if length < LENGTH_BYTES {
            return Err(ProtocolError::Malformed(char::from(src[0])));
        }
        let whole = offset + length;
        if src.len() < whole {
            src.reserve(whole - src.len());
            return Ok(None);
        }
        Ok(Some(src.split_to(whole)))
    }

    fn decode_packet(
        &mut self,
        mut frame: BytesMut,
    ) -> Result<Option<PgWireFrontendMessage>, ProtocolError> {
        if frame.len() < MIN_PACKET_BYTES {
            return Err(ProtocolError::Malformed('0'));
        }
        self.context.awaiting_frontend_ssl = true;
        self.context.awaiting_frontend_startup = true;
        let message = PgWireFrontendMessage::decode(&mut frame, &self.context)?;
        match message {
            Some(PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::None)) => {
                self.context.awaiting_frontend_ssl = false;
                Ok(PgWireFrontendMessage::decode(&mut frame, &self.context)?)
            }
            message => Ok(message),
        }
    }

    fn decode_typed(
        &mut self,
        mut frame: BytesMut,
    ) -> Result<Option<PgWireFrontendMessage>, ProtocolError> {
        let kind = frame[0];
        if !layout::is_whole(kind, &frame[1 + LENGTH_BYTES..]) {
            return Err(ProtocolError::Malformed(char::from(kind)));
        }
        self.context.awaiting_frontend_ssl = false;
        self.context.awaiting_frontend_startup = false;
        Ok(PgWireFrontendMessage::decode(&mut frame, &self.context)?)
    }
}

impl Decoder for CallerCodec {
    type Item = PgWireFrontendMessage;
    type Error = ProtocolError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Self::Item>, ProtocolError> {
        match self.phase {
            Phase::Startup => match self.frame(src, 0)? {
                Some(frame) => self.decode_packet(frame),
                None => Ok(None),
            },
            Phase::Authentication | Phase::Serving => match self.frame(src, 1)? {
                Some(frame) => self.decode_typed(frame),
                None => Ok(None),
            },
        }
    }
}

/// What is written to a caller.
#[derive(Debug)]
pub(crate) enum Outgoing {
    /// Message made here.
    Message(PgWireBackendMessage),
    /// Whole encoded messages of an upstream.
    Encoded(Bytes),
}

impl From<PgWireBackendMessage> for Outgoing {
    fn from(message: PgWireBackendMessage) -> Self {
        Self::Message(message)
    }
}

impl Encoder<Outgoing> for CallerCodec {
    type Error = ProtocolError;

    fn encode(&mut self, item: Outgoing, dst: &mut BytesMut) -> Result<(), ProtocolError> {
        match item {
            Outgoing::Message(message) => message.encode(dst)?,
            Outgoing::Encoded(bytes) => dst.extend_from_slice(&bytes),
        }
        Ok(())
    }
}
