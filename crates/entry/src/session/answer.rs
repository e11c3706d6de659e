//! Streams the answer of one request from a pool to the caller.

use std::sync::Arc;

use bytes::Buf;
use bytes::Bytes;
use futures::SinkExt;
use mustardbay_policy::refusal::Refusal;
use mustardbay_wire::Finished;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::caller::Outgoing;
use crate::groups::SharedSight;
use crate::pools::Answer;
use crate::pools::PoolLink;
use crate::session::Caller;
use crate::session::End;
use crate::session::Transport;

/// Type and length in front of a backend message.
const HEADER_BYTES: usize = 5;
/// Type of a `ParseComplete` message.
const PARSE_COMPLETE: u8 = b'1';
/// Type of an `ErrorResponse` message.
const ERROR_RESPONSE: u8 = b'E';

/// How the answer to a request ended.
#[derive(Debug)]
pub(super) enum Ended {
    /// It is whole.
    Finished(Finished),
    /// The pool refused, or the answer broke off.
    Refused(Refusal),
    /// The request was never written to the pool.
    NotSent,
    /// The connection to the pool was lost.
    Lost,
    /// No end arrived in time.
    Late,
}

/// One request and what has arrived of its answer.
#[derive(Debug)]
pub(super) struct Request<'a> {
    /// Link that it was sent over.
    pub link: &'a PoolLink,
    /// Its number.
    pub number: u64,
    /// When the wait for its answer ends.
    pub until: Instant,
    /// Whether accepted statements and errors must be counted.
    pub counts: bool,
    /// Statements that were accepted.
    pub parsed: usize,
    /// Whether the answer holds an error.
    pub failed: bool,
    /// Whether any part of the answer went to the caller.
    pub started: bool,
}

impl Request<'_> {
    /// Streams the answer to `caller` until it ends.
    ///
    /// # Errors
    ///
    /// Fails if the caller is gone; the request is cancelled then.
    pub async fn stream<S: Transport>(
        &mut self,
        caller: &mut Caller<S>,
        answers: &mut mpsc::UnboundedReceiver<(u64, Answer)>,
        sight: &Arc<SharedSight>,
    ) -> Result<Ended, End> {
        loop {
            let Ok(answer) = timeout_at(self.until, answers.recv()).await else {
                self.link.cancel(self.number);
                self.link.forget(self.number);
                return Ok(Ended::Late);
            };
            let Some((number, answer)) = answer else {
                return Ok(Ended::Lost);
            };
            if number != self.number {
                continue;
            }
            match answer {
                Answer::Chunk(messages) => self.pass_on(messages, caller).await?,
                Answer::Finished(done) => {
                    sight.see(&done.positions);
                    return Ok(Ended::Finished(done));
                }
                Answer::Refused(refused) => {
                    sight.see(&refused.positions);
                    return Ok(Ended::Refused(refused.refusal()));
                }
                Answer::NotSent => return Ok(Ended::NotSent),
                Answer::Lost | Answer::Confirmed(_) => return Ok(Ended::Lost),
            }
        }
    }

    async fn pass_on<S: Transport>(
        &mut self,
        messages: Bytes,
        caller: &mut Caller<S>,
    ) -> Result<(), End> {
        let bytes = messages.len();
        if self.counts {
            self.parsed += count(&messages, PARSE_COMPLETE);
            self.failed |= count(&messages, ERROR_RESPONSE) > 0;
        }
        self.started = true;
        if let Err(e) = caller.feed(Outgoing::Encoded(messages)).await {
            self.link.cancel(self.number);
            self.link.forget(self.number);
            return Err(e.into());
        }
        self.link.credit(self.number, bytes as u64);
        Ok(())
    }
}

/// Counts the messages of one type.
fn count(mut messages: &[u8], kind: u8) -> usize {
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
