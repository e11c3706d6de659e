//! Exchange of one batch with an upstream, up to `ReadyForQuery`.

use bytes::Bytes;
use bytes::BytesMut;
use futures::FutureExt;
use futures::StreamExt;
use mustardbay_policy::position::Position;
use mustardbay_wire::Mode;
use pgwire::messages::PgWireBackendMessage;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedReadHalf;
use tokio_util::codec::FramedRead;
use tokio_util::codec::LengthDelimitedCodec;

use super::answer::Answer;
use super::batch::Batch;
use crate::upstream::Connection;
use crate::upstream::HEADER_BYTES;
use crate::upstream::SQLSTATE_READ_ONLY;
use crate::upstream::SQLSTATE_STALE_TERM;
use crate::upstream::SQLSTATE_TOO_MANY_CONNECTIONS;
use crate::upstream::StatusReport;
use crate::upstream::UpstreamError;
use crate::upstream::decode;
use crate::upstream::parse_report;

/// Limit on the part of an answer that is held until its commit is durable.
const MAX_HELD_BYTES: usize = 16 * 1024 * 1024;

/// Type bytes of the backend messages that need handling.
mod kind {
    pub(super) const READY: u8 = b'Z';
    pub(super) const PARAMETER: u8 = b'S';
    pub(super) const PARSED: u8 = b'1';
    pub(super) const COMPLETE: u8 = b'C';
    pub(super) const ERROR: u8 = b'E';
    pub(super) const COPY_IN: u8 = b'G';
    pub(super) const COPY_BOTH: u8 = b'W';
    /// Messages that may precede an error by which the upstream rejects a batch unexecuted.
    pub(super) const PREAMBLE: &[u8] = b"123nNtT";
}

/// Result of a batch, read from its answer.
#[derive(Debug, Default)]
pub(super) struct Summary {
    /// Status byte of `ReadyForQuery`.
    pub(super) status: u8,
    /// Position that the upstream reported; it reports one only on a change.
    pub(super) position: Option<Position>,
    /// Whether a statement completed.
    pub(super) completed: bool,
    /// Whether a `COMMIT` completed.
    pub(super) commit: bool,
    /// Error by which the upstream rejected the batch without executing it.
    pub(super) rejection: Option<UpstreamError>,
    /// Held part of the answer: from the first completed statement on, or all of it.
    pub(super) held: BytesMut,
    /// Status reports of the upstream, in order.
    pub(super) reports: Vec<StatusReport>,
}

impl Summary {
    /// Returns the position that must be durable before the answer may be passed on.
    pub(super) fn committed(&self) -> Option<Position> {
        let ended = self.status == b'I' || self.commit;
        self.position.filter(|_| self.completed && ended)
    }
}

/// Sends the batch and passes its answer on, except for the part that is held.
///
/// The connection is clean only if this returns `Ok`.
pub(super) async fn exchange(
    con: &mut Connection,
    batch: &Batch,
    answer: &mut Answer,
) -> Result<Summary, UpstreamError> {
    con.clean = false;
    let write = write(&mut con.writer, &batch.messages);
    let mut reader = AnswerReader {
        answer,
        hold_completed: batch.may_commit(),
        hold_all: batch.idempotency_key.is_some() && batch.mode == Mode::Write,
        hidden: &batch.hidden_parses,
        parse_count: 0,
        flushable: false,
        summary: Summary::default(),
    };
    let ((), ()) = tokio::try_join!(write, reader.run(&mut con.reader))?;
    let summary = reader.summary;
    con.clean = true;
    Ok(summary)
}

async fn write(
    writer: &mut (impl AsyncWriteExt + Unpin),
    messages: &Bytes,
) -> Result<(), UpstreamError> {
    writer.write_all(messages).await?;
    Ok(())
}

/// Reads the messages of one answer, and passes each on or holds it.
struct AnswerReader<'a> {
    answer: &'a mut Answer,
    /// Whether the answer is held from the first completed statement on.
    hold_completed: bool,
    /// Whether the whole answer is held, because it is recorded before it is sent.
    hold_all: bool,
    /// Numbers of the `Parse` messages whose `ParseComplete` is dropped.
    hidden: &'a [u32],
    parse_count: u32,
    /// Whether a message outside the preamble arrived; nothing is flushed before.
    flushable: bool,
    summary: Summary,
}

impl AnswerReader<'_> {
    async fn run(
        &mut self,
        reader: &mut FramedRead<OwnedReadHalf, LengthDelimitedCodec>,
    ) -> Result<(), UpstreamError> {
        loop {
            let next = if let Some(next) = reader.next().now_or_never() {
                next
            } else {
                self.flush().await;
                reader.next().await
            };
            let frame = next.ok_or(UpstreamError::Closed)??;
            if frame.len() < HEADER_BYTES {
                return Err(UpstreamError::Protocol("message without a length"));
            }
            if frame[0] == kind::READY {
                self.summary.status = frame.last().copied().unwrap_or(b'I');
                return Ok(());
            }
            self.handle(frame).await?;
        }
    }

    async fn handle(&mut self, frame: BytesMut) -> Result<(), UpstreamError> {
        match frame[0] {
            kind::PARAMETER => return self.handle_parameter(frame),
            kind::PARSED if self.is_hidden_parse() => return Ok(()),
            kind::COMPLETE => self.handle_complete(&frame),
            kind::ERROR => self.handle_error(frame.clone())?,
            kind::COPY_IN | kind::COPY_BOTH => {
                return Err(UpstreamError::Protocol("copy from the client"));
            }
            _ => {}
        }
        self.flushable |= !kind::PREAMBLE.contains(&frame[0]);
        if self.hold_all || (self.hold_completed && self.summary.completed) {
            return self.hold_back(&frame);
        }
        self.answer.push(&frame).await;
        Ok(())
    }

    fn handle_parameter(&mut self, frame: BytesMut) -> Result<(), UpstreamError> {
        let PgWireBackendMessage::ParameterStatus(status) = decode(frame)? else {
            return Err(UpstreamError::Protocol("parameter status"));
        };
        let Some(report) = parse_report(&status) else {
            return Ok(());
        };
        if let StatusReport::Position(position) = report {
            self.summary.position = Some(position);
        }
        self.summary.reports.push(report);
        Ok(())
    }

    fn is_hidden_parse(&mut self) -> bool {
        let number = self.parse_count;
        self.parse_count += 1;
        self.hidden.contains(&number)
    }

    fn handle_complete(&mut self, frame: &[u8]) {
        self.summary.completed = true;
        self.summary.commit |= frame[HEADER_BYTES..].starts_with(b"COMMIT");
    }

    fn handle_error(&mut self, frame: BytesMut) -> Result<(), UpstreamError> {
        let nothing_ran = !self.summary.completed && self.answer.sent_bytes() == 0;
        let PgWireBackendMessage::ErrorResponse(error) = decode(frame)? else {
            return Err(UpstreamError::Protocol("error response"));
        };
        let error = UpstreamError::from_fields(&error.fields);
        let rejected = matches!(
            error.sqlstate(),
            Some(SQLSTATE_STALE_TERM | SQLSTATE_READ_ONLY | SQLSTATE_TOO_MANY_CONNECTIONS)
        );
        if nothing_ran && rejected {
            self.summary.rejection = Some(error);
        }
        Ok(())
    }

    fn hold_back(&mut self, frame: &[u8]) -> Result<(), UpstreamError> {
        self.summary.held.extend_from_slice(frame);
        let fits = self.answer.hold(frame.len());
        if !fits || self.summary.held.len() > MAX_HELD_BYTES {
            return Err(UpstreamError::Protocol("answer too large to hold"));
        }
        Ok(())
    }

    async fn flush(&mut self) {
        if self.flushable && self.summary.rejection.is_none() {
            self.answer.flush().await;
        }
    }
}
