//! Length-delimited framing of protobuf messages.

use std::io;
use std::marker::PhantomData;

use bytes::Bytes;
use bytes::BytesMut;
use prost::Message;
use thiserror::Error;
use tokio_util::codec::Decoder;
use tokio_util::codec::Encoder;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;

/// Largest frame that either side accepts, in bytes.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// Failure to read or write a frame; the connection is unusable afterwards.
#[derive(Debug, Error)]
pub enum CodecError {
    /// The transport failed, or a frame exceeded [`MAX_FRAME_BYTES`].
    #[error("link failed: {0}")]
    Io(#[from] io::Error),
    /// The bytes of a frame are not the expected message.
    #[error("frame does not decode: {0}")]
    Decode(#[from] prost::DecodeError),
}

/// Codec that sends messages of type `S` and receives messages of type `R`.
#[derive(Debug)]
pub struct Codec<S, R> {
    frames: LengthDelimitedCodec,
    direction: PhantomData<fn(S) -> R>,
}

impl<S, R> Default for Codec<S, R> {
    fn default() -> Self {
        let frames = LengthDelimitedCodec::builder()
            .max_frame_length(MAX_FRAME_BYTES)
            .new_codec();
        Self {
            frames,
            direction: PhantomData,
        }
    }
}

impl<S: Message, R> Encoder<S> for Codec<S, R> {
    type Error = CodecError;

    fn encode(&mut self, item: S, dst: &mut BytesMut) -> Result<(), CodecError> {
        let body = Bytes::from(item.encode_to_vec());
        self.frames.encode(body, dst)?;
        Ok(())
    }
}

impl<S, R: Message + Default> Decoder for Codec<S, R> {
    type Item = R;
    type Error = CodecError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<R>, CodecError> {
        let Some(body) = self.frames.decode(src)? else {
            return Ok(None);
        };
        Ok(Some(R::decode(body)?))
    }
}

/// Stream of received messages `R` and sink of sent messages `S` over a transport.
pub type MessageStream<T, S, R> = Framed<T, Codec<S, R>>;

/// Wraps a transport so that it sends `S` and receives `R`.
pub fn framed<T, S, R>(transport: T) -> MessageStream<T, S, R>
where
    T: tokio::io::AsyncRead + tokio::io::AsyncWrite,
    S: Message,
    R: Message + Default,
{
    Framed::new(transport, Codec::default())
}
