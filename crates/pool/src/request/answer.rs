//! Answer to one request, sent to the entry in chunks.

use std::sync::Arc;

use bytes::Bytes;
use bytes::BytesMut;
use mustardbay_policy::position::Position;
use mustardbay_policy::refusal::Refusal;
use mustardbay_wire::Chunk;
use mustardbay_wire::Confirmed;
use mustardbay_wire::Finished;
use mustardbay_wire::FromPool;
use mustardbay_wire::Refused;
use mustardbay_wire::UpstreamPosition;
use mustardbay_wire::from_pool;
use tokio::sync::mpsc;

use super::memory::MemoryShare;
use super::window::Window;

/// Size at which a chunk is sent without waiting for more messages.
const CHUNK_BYTES: usize = 32 * 1024;

/// Answer to one request: chunks of backend messages, then one final message.
#[derive(Debug)]
pub(crate) struct Answer {
    request: u64,
    outbox: mpsc::Sender<FromPool>,
    window: Arc<Window>,
    chunk: BytesMut,
    sent_bytes: usize,
    memory: Option<MemoryShare>,
}

impl Answer {
    /// Creates an empty answer to `request`.
    pub(crate) fn new(request: u64, outbox: mpsc::Sender<FromPool>, window: Arc<Window>) -> Self {
        Self {
            request,
            outbox,
            window,
            chunk: BytesMut::new(),
            sent_bytes: 0,
            memory: None,
        }
    }

    /// Sets the memory of the request, which is returned with the final message.
    pub(super) fn set_memory(&mut self, memory: MemoryShare) {
        self.memory = Some(memory);
    }

    /// Takes memory for a part of the answer that is held back; returns `false` if it does not fit.
    pub(super) fn hold(&mut self, bytes: usize) -> bool {
        self.memory.as_mut().is_none_or(|memory| memory.grow(bytes))
    }

    /// Adds a backend message; a full chunk is sent once the flow control window is open.
    pub(crate) async fn push(&mut self, message: &[u8]) {
        self.chunk.extend_from_slice(message);
        if self.chunk.len() >= CHUNK_BYTES {
            self.flush().await;
        }
    }

    /// Sends the messages that were added and not sent yet.
    pub(crate) async fn flush(&mut self) {
        if self.chunk.is_empty() {
            return;
        }
        let messages = self.chunk.split().freeze();
        self.send_chunk(messages).await;
    }

    /// Sends complete messages as one chunk; call [`Self::flush`] first to keep the order.
    pub(crate) async fn send_chunk(&mut self, messages: Bytes) {
        self.window.take(messages.len()).await;
        self.sent_bytes += messages.len();
        let request = self.request;
        self.send(from_pool::Body::Chunk(Chunk { request, messages }))
            .await;
    }

    /// Returns the number of bytes sent so far.
    pub(crate) fn sent_bytes(&self) -> usize {
        self.sent_bytes
    }

    /// Sends the remaining messages and the final message.
    pub(crate) async fn finish(
        mut self,
        status: u8,
        committed: Option<Position>,
        positions: Vec<UpstreamPosition>,
    ) {
        self.flush().await;
        let finished = Finished {
            request: self.request,
            status: status.into(),
            committed: committed.map(Into::into),
            positions,
        };
        self.send(from_pool::Body::Finished(finished)).await;
    }

    /// Refuses the request; messages that were not sent yet are dropped.
    pub(crate) async fn refuse(self, refusal: Refusal, positions: Vec<UpstreamPosition>) {
        let mut refused = Refused::new(self.request, refusal);
        refused.positions = positions;
        self.send(from_pool::Body::Refused(refused)).await;
    }

    /// Answers a request for a confirmed position.
    pub(crate) async fn confirm(self, position: Position) {
        let confirmed = Confirmed {
            request: self.request,
            position: Some(position.into()),
        };
        self.send(from_pool::Body::Confirmed(confirmed)).await;
    }

    /// Sends a message; does nothing if the connection to the entry is closed.
    async fn send(&self, body: from_pool::Body) {
        let message = FromPool { body: Some(body) };
        if self.outbox.send(message).await.is_err() {
            tracing::debug!(event = "answer_unclaimed", request = self.request);
        }
    }
}
