//! Replication protocol between a replica and its primary: length-delimited JSON messages.

use std::sync::Arc;

use bytes::Bytes;
use mustardbay_policy::position::Term;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;

use super::log::LogEntry;
use super::log::TermHistory;

/// First byte of a replication connection; a PostgreSQL client sends 0 first.
pub const MAGIC: u8 = b'M';

/// Maximum length of a replication message.
const MAX_MESSAGE_BYTES: usize = 64 << 20;

/// Message that a replica sends to its primary.
#[derive(Debug, Serialize, Deserialize)]
pub enum ToPrimary {
    /// Opens the connection.
    Hello {
        /// Name of the replica.
        replica: String,
        /// Term that the replica follows.
        term: Term,
        /// Terms of the entries in the replica's log.
        #[serde(rename = "outline")]
        term_history: TermHistory,
    },
    /// Acknowledges received entries and asks for the next ones.
    Pull {
        /// Index of the last entry in the replica's log.
        received: u64,
        /// Number of the latest probe that the replica has seen.
        probe: u64,
    },
}

/// Message that a primary sends to a replica.
#[derive(Debug, Serialize, Deserialize)]
pub enum ToReplica {
    /// Accepts the connection.
    Welcome {
        /// Index up to which both logs hold the same entries.
        common: u64,
    },
    /// Refuses the replica because the upstream is not the primary of its term.
    Refused {
        /// Term of the refusing upstream.
        term: Term,
    },
    /// Answers a pull.
    Entries {
        /// Entries after the acknowledged index.
        entries: Vec<Arc<LogEntry>>,
        /// Index of the primary's last entry.
        last: u64,
        /// Number of the latest probe that the primary has sent.
        probe: u64,
    },
}

/// Replication connection, split into messages.
pub type ReplicationStream = Framed<TcpStream, LengthDelimitedCodec>;

/// Splits a connection into messages, after the magic byte has been sent or read.
#[must_use]
pub fn frame(stream: TcpStream) -> ReplicationStream {
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_MESSAGE_BYTES)
        .new_codec();
    Framed::new(stream, codec)
}

/// Sends one message as JSON.
///
/// # Errors
///
/// Fails if the connection is lost.
pub async fn send(stream: &mut ReplicationStream, message: &impl Serialize) -> std::io::Result<()> {
    use futures::SinkExt;
    let bytes = serde_json::to_vec(message)?;
    stream.send(Bytes::from(bytes)).await
}

/// Receives one message; `None` once the other side has closed the connection.
///
/// # Errors
///
/// Fails if the connection is lost or the message cannot be parsed.
pub async fn receive<T: DeserializeOwned>(
    stream: &mut ReplicationStream,
) -> std::io::Result<Option<T>> {
    use futures::StreamExt;
    match stream.next().await {
        Some(frame) => Ok(Some(serde_json::from_slice(&frame?)?)),
        None => Ok(None),
    }
}
