//! Client connection whose received bytes are taken from the budget.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio_util::sync::PollSemaphore;

use crate::budget::holding::Holding;
use crate::budget::holding::Stage;

/// Bytes beyond which a message needs a permit.
const LARGE_BYTES: usize = 16 * 1_024;

/// Connection of one session; a large message waits at its sender while too many are under way.
///
/// Reading fails once the budget has no bytes for it.
#[derive(Debug)]
pub struct LimitedStream {
    stream: TcpStream,
    holding: Arc<Holding>,
    /// Bytes that were read and not taken as messages yet.
    buffered: usize,
    permits: PollSemaphore,
    /// Permit to read and run a large message.
    permit: Option<OwnedSemaphorePermit>,
}

impl LimitedStream {
    /// Wraps a connection.
    #[must_use]
    pub fn new(stream: TcpStream, holding: Arc<Holding>) -> Self {
        Self {
            stream,
            permits: PollSemaphore::new(holding.budget().large_messages()),
            holding,
            buffered: 0,
            permit: None,
        }
    }

    /// Records how many bytes remain buffered; returns the bytes of the message that was taken.
    pub fn message_taken(&mut self, buffered: usize) -> usize {
        self.buffered
            .saturating_sub(std::mem::replace(&mut self.buffered, buffered))
    }

    /// Gives the permit of a large message back once its answer is written.
    pub fn message_ended(&mut self) {
        self.permit = None;
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.buffered > LARGE_BYTES && self.permit.is_none() {
            self.permit = ready!(self.permits.poll_acquire(cx));
            if self.holding.stage() == Stage::Receiving {
                self.holding.enter(Stage::ReceivingLarge);
            }
        }
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        let read = buf.filled().len() - before;
        if read == 0 {
            return polled;
        }
        self.buffered += read;
        if !is_receiving(self.holding.stage()) {
            let large = self.permit.is_some();
            self.holding.enter(if large {
                Stage::ReceivingLarge
            } else {
                Stage::Receiving
            });
        }
        match self.holding.receive(self.buffered) {
            Ok(()) => polled,
            Err(short) => Poll::Ready(Err(io::Error::new(io::ErrorKind::OutOfMemory, short))),
        }
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// Tells whether a session has been receiving, so that its time runs on.
fn is_receiving(stage: Stage) -> bool {
    matches!(
        stage,
        Stage::Starting | Stage::Receiving | Stage::ReceivingLarge
    )
}
