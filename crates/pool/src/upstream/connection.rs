//! PostgreSQL connection to an upstream.

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
use super::login::StartupReply;
use super::login::log_in;
use crate::settings::Login;

/// Largest backend message that is accepted.
const MAX_MESSAGE_BYTES: usize = 64 * 1024 * 1024;
/// Length of a message header: the type byte and the length field.
pub(crate) const HEADER_BYTES: usize = 5;

/// Address, database and login of an upstream.
#[derive(Debug, Clone)]
pub(crate) struct Target {
    pub(crate) address: String,
    pub(crate) database: String,
    pub(crate) login: Login,
    pub(crate) dialer: Dialer,
}

/// Connection that is read message by message, without decoding message bodies.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) reader: FramedRead<OwnedReadHalf, LengthDelimitedCodec>,
    pub(crate) writer: OwnedWriteHalf,
    /// Term that the connection was opened under; `None` on a control connection.
    pub(crate) term: Option<Term>,
    /// Whether the last answer was read up to `ReadyForQuery`, so that the next may start.
    pub(crate) clean: bool,
    key: Option<BackendKeyData>,
}

/// State that an upstream reports in a `ParameterStatus` beside its answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StatusReport {
    /// Applied position; on a primary, the position of its newest commit.
    Position(Position),
    /// Age of the last confirmed contact with the primary, in milliseconds.
    Age(i64),
}

/// Rows and status reports in the answer to a simple query.
#[derive(Debug, Default)]
pub(crate) struct Rows {
    pub(crate) rows: Vec<Vec<Option<String>>>,
    pub(crate) reports: Vec<StatusReport>,
}

impl Rows {
    /// Returns a column of the first row, or an empty text if it is missing or null.
    pub(crate) fn first_column(&self, column: usize) -> &str {
        let value = self.rows.first().and_then(|row| row.get(column));
        value.and_then(Option::as_deref).unwrap_or_default()
    }

    /// Returns the first two columns of the first row.
    pub(crate) fn first_pair(&self) -> Option<(&str, &str)> {
        self.rows.first()?;
        Some((self.first_column(0), self.first_column(1)))
    }

    /// Returns the last position that the upstream reported; it reports one only on a change.
    pub(crate) fn position(&self) -> Option<Position> {
        self.reports.iter().rev().find_map(|report| match report {
            StatusReport::Position(position) => Some(*position),
            StatusReport::Age(_) => None,
        })
    }
}

impl Connection {
    /// Connects and logs in; returns the connection and the status reports of the startup.
    pub(crate) async fn open(
        target: &Target,
        term: Option<Term>,
    ) -> Result<(Self, Vec<StatusReport>), UpstreamError> {
        let stream = target.dialer.connect(&target.address).await?;
        let mut socket = Framed::new(stream, PgWireMessageClientCodec::default());
        let reply = log_in(&mut socket, &target.login, &target.database, term).await?;
        let StartupReply { key, parameters } = reply;
        let parts = socket.into_parts();
        let (read, writer) = parts.io.into_split();
        let mut reader = FramedRead::new(read, message_codec());
        *reader.read_buffer_mut() = parts.read_buf;
        let con = Self {
            reader,
            writer,
            term,
            clean: true,
            key,
        };
        Ok((con, parameters.iter().filter_map(parse_report).collect()))
    }

    /// Receives the next message with its header.
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
                    rows.reports.extend(parse_report(&status));
                }
                PgWireBackendMessage::ErrorResponse(error) => {
                    failed = Some(UpstreamError::from_fields(&error.fields));
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

    /// Returns whether the connection is open and no unrequested message has arrived.
    pub(crate) fn is_reusable(&mut self) -> bool {
        self.reader.next().now_or_never().is_none()
    }

    /// Returns the encoded `CancelRequest` for this connection, if the upstream sent a key.
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

/// Returns the codec that splits the stream into backend messages.
fn message_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .length_field_offset(1)
        .length_field_type::<u32>()
        .length_adjustment(1)
        .num_skip(0)
        .max_frame_length(MAX_MESSAGE_BYTES)
        .new_codec()
}

/// Encodes a simple query message.
fn encode_query(sql: &str) -> Bytes {
    let mut buf = BytesMut::new();
    let query = PgWireFrontendMessage::Query(Query::new(sql.to_owned()));
    let encoded = query.encode(&mut buf);
    debug_assert!(encoded.is_ok(), "control statements are short");
    buf.freeze()
}

/// Decodes one complete backend message.
pub(crate) fn decode(mut frame: BytesMut) -> Result<PgWireBackendMessage, UpstreamError> {
    let context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
    match PgWireBackendMessage::decode(&mut frame, &context)? {
        Some(message) => Ok(message),
        None => Err(UpstreamError::Protocol("message shorter than its length")),
    }
}

/// Parses a `ParameterStatus` as a status report; `None` for other parameters.
pub(crate) fn parse_report(status: &ParameterStatus) -> Option<StatusReport> {
    match status.name.as_str() {
        "mustardbay.position" => status.value.parse().ok().map(StatusReport::Position),
        "mustardbay.age_ms" => status.value.parse().ok().map(StatusReport::Age),
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
