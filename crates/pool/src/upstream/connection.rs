//! One PostgreSQL connection to an upstream.

use bytes::Bytes;
use bytes::BytesMut;
use futures::FutureExt;
use futures::StreamExt;
use mustardbay_policy::position::Position;
use mustardbay_policy::position::Term;
use mustardbay_process::dialer::Dialer;
use pgwire::messages::DecodeContext;
use pgwire::messages::PgWireBackendMessage;
use pgwire::messages::PgWireFrontendMessage;
use pgwire::messages::ProtocolVersion;
use pgwire::messages::cancel::CancelRequest;
use pgwire::messages::simplequery::Query;
use pgwire::messages::startup::BackendKeyData;
use pgwire::messages::startup::ParameterStatus;
use pgwire::tokio::client::PgWireMessageClientCodec;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio_util::codec::Framed;
use tokio_util::codec::FramedRead;
use tokio_util::codec::LengthDelimitedCodec;

use super::error::UpstreamError;
use super::login::Greeting;
use super::login::log_in;
use crate::settings::Login;

/// Largest backend message that is passed on, in bytes.
const MAX_MESSAGE_BYTES: usize = 64 * 1024 * 1024;
/// Bytes of a message's type and length.
pub(crate) const HEADER_BYTES: usize = 5;

/// Where and how to connect.
#[derive(Debug, Clone)]
pub(crate) struct Target {
    pub(crate) address: String,
    pub(crate) database: String,
    pub(crate) login: Login,
    pub(crate) dialer: Dialer,
}

/// Connection whose answers are read as whole messages without decoding their bodies.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) reader: FramedRead<OwnedReadHalf, LengthDelimitedCodec>,
    pub(crate) writer: OwnedWriteHalf,
    pub(crate) term: Option<Term>,
    /// Whether every answer was read up to `ReadyForQuery`.
    pub(crate) clean: bool,
    key: Option<BackendKeyData>,
}

/// What an upstream reports of itself beside its answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Reported {
    /// Applied position, on a primary that of its newest commit.
    Position(Position),
    /// Age of the last confirmed contact with the primary, in milliseconds.
    Age(i64),
}

/// Answer to a simple query.
#[derive(Debug, Default)]
pub(crate) struct Rows {
    pub(crate) rows: Vec<Vec<Option<String>>>,
    pub(crate) reports: Vec<Reported>,
}

impl Rows {
    /// Returns a column of the first row; empty where there is none.
    pub(crate) fn first(&self, column: usize) -> &str {
        let value = self.rows.first().and_then(|row| row.get(column));
        value.and_then(Option::as_deref).unwrap_or_default()
    }

    /// Returns the first two columns of the first row.
    pub(crate) fn pair(&self) -> Option<(&str, &str)> {
        self.rows.first()?;
        Some((self.first(0), self.first(1)))
    }

    /// Returns the position that the upstream reported, if it moved.
    pub(crate) fn position(&self) -> Option<Position> {
        self.reports.iter().rev().find_map(|report| match report {
            Reported::Position(position) => Some(*position),
            Reported::Age(_) => None,
        })
    }
}

impl Connection {
    /// Connects and logs in.
    pub(crate) async fn open(
        target: &Target,
        term: Option<Term>,
    ) -> Result<(Self, Vec<Reported>), UpstreamError> {
        let stream = target.dialer.connect(&target.address).await?;
        let mut socket = Framed::new(stream, PgWireMessageClientCodec::default());
        let greeting = log_in(&mut socket, &target.login, &target.database, term).await?;
        let Greeting { key, parameters } = greeting;
        let parts = socket.into_parts();
        let (read, writer) = parts.io.into_split();
        let mut reader = FramedRead::new(read, message_frames());
        *reader.read_buffer_mut() = parts.read_buf;
        let con = Self {
            reader,
            writer,
            term,
            clean: true,
            key,
        };
        Ok((con, parameters.iter().filter_map(reported).collect()))
    }

    /// Receives the next whole message, its header included.
    pub(crate) async fn receive(&mut self) -> Result<BytesMut, UpstreamError> {
        match self.reader.next().await {
            Some(frame) => Ok(frame?),
            None => Err(UpstreamError::Closed),
        }
    }

    /// Runs a simple query and returns the rows as text.
    pub(crate) async fn query(&mut self, sql: &str) -> Result<Rows, UpstreamError> {
        self.clean = false;
        self.writer.write_all(&encode_query(sql)).await?;
        let mut rows = Rows::default();
        let mut failed = None;
        loop {
            match decode(self.receive().await?)? {
                PgWireBackendMessage::DataRow(row) => {
                    rows.rows.push(text_columns(&row.data)?);
                }
                PgWireBackendMessage::ParameterStatus(status) => {
                    rows.reports.extend(reported(&status));
                }
                PgWireBackendMessage::ErrorResponse(error) => {
                    failed = Some(UpstreamError::refused(&error.fields));
                }
                PgWireBackendMessage::ReadyForQuery(_) => break,
                _ => {}
            }
        }
        self.clean = true;
        match failed {
            Some(error) => Err(error),
            None => Ok(rows),
        }
    }

    /// Tells whether the connection is open and nothing arrived that was not asked for.
    pub(crate) fn is_quiet(&mut self) -> bool {
        self.reader.next().now_or_never().is_none()
    }

    /// Returns what is needed to cancel the statement that runs here.
    pub(crate) fn cancel_message(&self) -> Option<Bytes> {
        let key = self.key.as_ref()?;
        let message = CancelRequest::new(key.pid, key.secret_key.clone());
        let mut buf = BytesMut::new();
        PgWireFrontendMessage::CancelRequest(message)
            .encode(&mut buf)
            .ok()?;
        Some(buf.freeze())
    }
}

/// Returns the codec that cuts a stream of backend messages into whole messages.
fn message_frames() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .length_field_offset(1)
        .length_field_type::<u32>()
        .length_adjustment(1)
        .num_skip(0)
        .max_frame_length(MAX_MESSAGE_BYTES)
        .new_codec()
}

/// Encodes a simple query.
fn encode_query(sql: &str) -> Bytes {
    let mut buf = BytesMut::new();
    let query = PgWireFrontendMessage::Query(Query::new(sql.to_owned()));
    let encoded = query.encode(&mut buf);
    debug_assert!(encoded.is_ok(), "control statements are short");
    buf.freeze()
}

/// Decodes one whole backend message.
pub(crate) fn decode(mut frame: BytesMut) -> Result<PgWireBackendMessage, UpstreamError> {
    let context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
    match PgWireBackendMessage::decode(&mut frame, &context)? {
        Some(message) => Ok(message),
        None => Err(UpstreamError::Protocol("message shorter than its length")),
    }
}

/// Reads what a `ParameterStatus` reports of the upstream.
pub(crate) fn reported(status: &ParameterStatus) -> Option<Reported> {
    match status.name.as_str() {
        "mustardbay.position" => status.value.parse().ok().map(Reported::Position),
        "mustardbay.age_ms" => status.value.parse().ok().map(Reported::Age),
        _ => None,
    }
}

/// Splits the body of a `DataRow` into text columns.
fn text_columns(body: &[u8]) -> Result<Vec<Option<String>>, UpstreamError> {
    let mut columns = Vec::new();
    let mut rest = body;
    while let Some((head, tail)) = rest.split_first_chunk::<4>() {
        rest = tail;
        let Ok(len) = usize::try_from(i32::from_be_bytes(*head)) else {
            columns.push(None);
            continue;
        };
        let Some((value, tail)) = rest.split_at_checked(len) else {
            return Err(UpstreamError::Protocol("row shorter than its columns"));
        };
        columns.push(Some(String::from_utf8_lossy(value).into_owned()));
        rest = tail;
    }
    Ok(columns)
}
