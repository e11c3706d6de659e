//! Request that awaits its answer, which is streamed from the pool to the client.

use std::sync::Arc;

use bytes::Buf;
use bytes::Bytes;
use futures::SinkExt;
use mustardbay_policy::refusal::Refusal;
use mustardbay_process::byte_budget::Share;
use mustardbay_wire::Finished;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::client::Outgoing;
use crate::observed_groups::SharedObservations;
use crate::pools::Answer;
use crate::pools::PoolLink;
use crate::session::ClientConnection;
use crate::session::SessionEnd;
use crate::session::Transport;

/// Size of a backend message's type and length fields.
const HEADER_BYTES: usize = 5;
/// Type of a `ParseComplete` message.
const PARSE_COMPLETE: u8 = b'1';
/// Type of an `ErrorResponse` message.
const ERROR_RESPONSE: u8 = b'E';

/// Outcome of a request.
#[derive(Debug)]
pub(super) enum RequestOutcome {
    /// The answer is complete.
    Finished(Finished),
    /// The pool refused the request, or could not complete its answer.
    Refused(Refusal),
    /// The request was not sent to the pool.
    NotSent,
    /// The connection to the pool was lost.
    Lost,
    /// The answer was not complete at the deadline.
    TimedOut,
}

/// Submitted request and the state of its answer.
#[derive(Debug)]
pub(super) struct PendingRequest<'a> {
    /// Link to the pool.
    pub link: &'a PoolLink,
    /// Request number, unique across all links.
    pub request_number: u64,
    /// Time at which the request is cancelled.
    pub deadline: Instant,
    /// Whether `ParseComplete` and error messages must be counted.
    pub counts_messages: bool,
    /// Number of `ParseComplete` messages.
    pub parsed: usize,
    /// Whether the answer contains an error.
    pub failed: bool,
    /// Whether any part of the answer was forwarded to the client.
    pub started: bool,
    /// Share of the part that was forwarded last, which may still be in the write buffer.
    pub unsent: Option<Share>,
}

impl PendingRequest<'_> {
    /// Streams the answer to `client` until it ends.
    ///
    /// # Errors
    ///
    /// Fails if the client has disconnected; the request is then cancelled.
    pub async fn stream<S: Transport>(
        &mut self,
        client: &mut ClientConnection<S>,
        answers: &mut mpsc::UnboundedReceiver<(u64, Answer)>,
        observations: &Arc<SharedObservations>,
    ) -> Result<RequestOutcome, SessionEnd> {
        loop {
            let Ok(answer) = timeout_at(self.deadline, answers.recv()).await else {
                return Ok(self.give_up());
            };
            let Some((request_number, answer)) = answer else {
                return Ok(RequestOutcome::Lost);
            };
            if request_number != self.request_number {
                continue;
            }
            match answer {
                Answer::Chunk(messages, share) => {
                    self.forward(messages, client).await?;
                    self.unsent = share;
                }
                Answer::Finished(done) => {
                    observations.observe(&done.positions);
                    return Ok(RequestOutcome::Finished(done));
                }
                Answer::Refused(refused) => {
                    observations.observe(&refused.positions);
                    return Ok(RequestOutcome::Refused(refused.refusal()));
                }
                Answer::NotSent => return Ok(RequestOutcome::NotSent),
                Answer::Lost | Answer::Confirmed(_) => return Ok(RequestOutcome::Lost),
            }
        }
    }

    /// Cancels the request, whose outcome stays unknown.
    pub fn give_up(&self) -> RequestOutcome {
        self.link.cancel(self.request_number);
        self.link.forget(self.request_number);
        RequestOutcome::TimedOut
    }

    async fn forward<S: Transport>(
        &mut self,
        messages: Bytes,
        client: &mut ClientConnection<S>,
    ) -> Result<(), SessionEnd> {
        let bytes = messages.len();
        if self.counts_messages {
            self.parsed += count_messages(&messages, PARSE_COMPLETE);
            self.failed |= count_messages(&messages, ERROR_RESPONSE) > 0;
        }
        self.started = true;
        if let Err(e) = client.feed(Outgoing::Encoded(messages)).await {
            self.link.cancel(self.request_number);
            self.link.forget(self.request_number);
            return Err(e.into());
        }
        self.link.credit(self.request_number, bytes as u64);
        Ok(())
    }
}

/// Counts the complete messages of type `kind`.
fn count_messages(mut messages: &[u8], kind: u8) -> usize {
    let mut found = 0;
    while messages.len() >= HEADER_BYTES {
        found += usize::from(messages[0] == kind);
        let length = (&messages[1..]).get_u32() as usize;
        match messages.get(1 + length..) {
            Some(rest) if length >= 4 => messages = rest,
            _ => break,
        }
    }
    found
}
