//! Framing of client messages; sizes are checked before a message is decoded.

use std::io;
use std::sync::Arc;

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use mustardbay_process::byte_budget::Exhausted;
use mustardbay_process::byte_budget::Holder;
use mustardbay_process::byte_budget::Share;
use pgwire::error::PgWireError;
use pgwire::messages::DecodeContext;
use pgwire::messages::PgWireBackendMessage;
use pgwire::messages::PgWireFrontendMessage;
use pgwire::messages::SslNegotiationMetaMessage;
use thiserror::Error;
use tokio_util::codec::Decoder;
use tokio_util::codec::Encoder;

use crate::client::layout;

/// Largest message accepted before the client is authenticated.
const MAX_STARTUP_BYTES: usize = 10_000;
/// Smallest packet without a type byte: its length and a code.
const MIN_STARTUP_PACKET_BYTES: usize = 8;
/// Largest message whose memory the read buffer keeps for the next one.
const MAX_KEPT_BYTES: usize = 64 * 1024;
/// Size of the length field, which is included in the length.
const LENGTH_BYTES: usize = 4;

/// Input of a client that cannot be processed; the connection is closed.
#[derive(Debug, Error)]
pub(crate) enum ProtocolError {
    /// The connection failed.
    #[error("connection failed: {0}")]
    Io(#[from] io::Error),
    /// A message exceeds the size limit.
    #[error("message of {bytes} bytes exceeds the limit of {limit}")]
    TooLarge {
        /// Size announced by the client.
        bytes: usize,
        /// Largest allowed size.
        limit: usize,
    },
    /// No memory is left for an unfinished message.
    #[error(transparent)]
    Exhausted(#[from] Exhausted),
    /// The layout of a message does not match its type.
    #[error("message of type {0:?} is malformed")]
    Malformed(char),
    /// A message cannot be decoded.
    #[error("message does not decode: {0}")]
    Decode(#[from] PgWireError),
}

/// Phase of a connection, which determines how its bytes are framed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Before the start-up message: packets without a type.
    Startup,
    /// Until the key is verified: typed messages, limited to `MAX_STARTUP_BYTES`.
    Authentication,
    /// Open session: typed messages up to the configured size.
    Serving,
}

/// Codec of a client connection.
#[derive(Debug)]
pub(crate) struct ClientCodec {
    phase: Phase,
    max_bytes: usize,
    context: DecodeContext,
    holder: Arc<Holder>,
    unfinished: Share,
}

impl ClientCodec {
    /// Creates the codec of a new connection; no message may exceed `max_bytes`.
    ///
    /// Unfinished messages count as bytes that are kept for `holder`.
    pub fn new(max_bytes: usize, holder: Arc<Holder>) -> Self {
        Self {
            unfinished: holder.share(),
            holder,
            phase: Phase::Startup,
            max_bytes,
            context: DecodeContext::default(),
        }
    }

    /// Sets the phase of the connection.
    pub fn set_phase(&mut self, phase: Phase) {
        self.phase = phase;
    }

    fn max_message_bytes(&self) -> usize {
        match self.phase {
            Phase::Startup | Phase::Authentication => MAX_STARTUP_BYTES.min(self.max_bytes),
            Phase::Serving => self.max_bytes,
        }
    }

    /// Splits one complete frame off `src`, and notes what is unfinished.
    fn next_frame(
        &mut self,
        src: &mut BytesMut,
        offset: usize,
    ) -> Result<Option<BytesMut>, ProtocolError> {
        let frame = self.split_frame(src, offset)?;
        if frame.is_none() && !src.is_empty() {
            self.unfinished.set(src.len())?;
            self.holder.wait_for_input();
            return Ok(None);
        }
        self.unfinished.set(0)?;
        self.holder.input_complete();
        if frame.as_ref().is_some_and(|f| f.len() > MAX_KEPT_BYTES) {
            // The rest would keep the memory of the large message.
            *src = BytesMut::from(&**src);
        }
        Ok(frame)
    }

    /// Splits one complete frame off `src`; its length field starts at `offset`.
    fn split_frame(
        &self,
        src: &mut BytesMut,
        offset: usize,
    ) -> Result<Option<BytesMut>, ProtocolError> {
        if src.len() < offset + LENGTH_BYTES {
            return Ok(None);
        }
        let length = (&src[offset..offset + LENGTH_BYTES]).get_u32() as usize;
        let limit = self.max_message_bytes();
        if length > limit {
            return Err(ProtocolError::TooLarge {
                bytes: length,
                limit,
            });
        }
        if length < LENGTH_BYTES {
            return Err(ProtocolError::Malformed(char::from(src[0])));
        }
        let end = offset + length;
        if src.len() < end {
            src.reserve(end - src.len());
            return Ok(None);
        }
        Ok(Some(src.split_to(end)))
    }

    fn decode_startup_packet(
        &mut self,
        mut frame: BytesMut,
    ) -> Result<Option<PgWireFrontendMessage>, ProtocolError> {
        if frame.len() < MIN_STARTUP_PACKET_BYTES {
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
        if !layout::is_well_formed(kind, &frame[1 + LENGTH_BYTES..]) {
            return Err(ProtocolError::Malformed(char::from(kind)));
        }
        self.context.awaiting_frontend_ssl = false;
        self.context.awaiting_frontend_startup = false;
        Ok(PgWireFrontendMessage::decode(&mut frame, &self.context)?)
    }
}

impl Decoder for ClientCodec {
    type Item = PgWireFrontendMessage;
    type Error = ProtocolError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Self::Item>, ProtocolError> {
        match self.phase {
            Phase::Startup => match self.next_frame(src, 0)? {
                Some(frame) => self.decode_startup_packet(frame),
                None => Ok(None),
            },
            Phase::Authentication | Phase::Serving => match self.next_frame(src, 1)? {
                Some(frame) => self.decode_typed(frame),
                None => Ok(None),
            },
        }
    }
}

/// Output to a client.
#[derive(Debug)]
pub(crate) enum Outgoing {
    /// Message built by the entry.
    Message(PgWireBackendMessage),
    /// Complete encoded messages from an upstream.
    Encoded(Bytes),
}

impl From<PgWireBackendMessage> for Outgoing {
    fn from(message: PgWireBackendMessage) -> Self {
        Self::Message(message)
    }
}

impl Encoder<Outgoing> for ClientCodec {
    type Error = ProtocolError;

    fn encode(&mut self, item: Outgoing, dst: &mut BytesMut) -> Result<(), ProtocolError> {
        match item {
            Outgoing::Message(message) => message.encode(dst)?,
            Outgoing::Encoded(bytes) => dst.extend_from_slice(&bytes),
        }
        Ok(())
    }
}
