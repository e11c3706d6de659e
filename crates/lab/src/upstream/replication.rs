//! Messages between a replica and its primary.

use std::sync::Arc;

use bytes::Bytes;
use mustardbay_policy::position::Term;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;

use super::log::Entry;
use super::log::Outline;

/// First byte of a replication connection; a PostgreSQL startup begins with 0.
pub const MAGIC: u8 = b'M';

/// Largest replication message.
const MAX_FRAME_BYTES: usize = 64 << 20;

/// Message of a replica.
#[derive(Debug, Serialize, Deserialize)]
pub enum ToPrimary {
    /// Opens the connection.
    Hello {
        /// Name of the replica.
        replica: String,
        /// Term that the replica follows.
        term: Term,
        /// What the replica's log holds.
        outline: Outline,
    },
    /// Acknowledges what was received and asks for what follows.
    Pull {
        /// Index up to which the replica holds the log.
        received: u64,
        /// Latest probe that the replica has seen.
        probe: u64,
    },
}

/// Message of a primary.
#[derive(Debug, Serialize, Deserialize)]
pub enum ToReplica {
    /// Accepts the connection.
    Welcome {
        /// Index up to which the logs are the same.
        common: u64,
    },
    /// Refuses the replica: the term is not the primary's.
    Refused {
        /// Term of the refusing upstream.
        term: Term,
    },
    /// Answers a pull.
    Entries {
        /// Entries after the acknowledged index.
        entries: Vec<Arc<Entry>>,
        /// Index of the primary's last entry.
        last: u64,
        /// Latest probe of the primary.
        probe: u64,
    },
}

/// Replication connection.
pub type Link = Framed<TcpStream, LengthDelimitedCodec>;

/// Frames a connection whose magic byte has been dealt with.
#[must_use]
pub fn frame(stream: TcpStream) -> Link {
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec();
    Framed::new(stream, codec)
}

/// Sends one message.
///
/// # Errors
///
/// Fails if the connection is lost.
pub async fn send(link: &mut Link, message: &impl Serialize) -> std::io::Result<()> {
    use futures::SinkExt;
    let bytes = serde_json::to_vec(message)?;
    link.send(Bytes::from(bytes)).await
}

/// Receives one message; `None` at the end of the connection.
///
/// # Errors
///
/// Fails if the connection is lost or the message makes no sense.
pub async fn receive<T: DeserializeOwned>(link: &mut Link) -> std::io::Result<Option<T>> {
    use futures::StreamExt;
    match link.next().await {
        Some(frame) => Ok(Some(serde_json::from_slice(&frame?)?)),
        None => Ok(None),
    }
}
