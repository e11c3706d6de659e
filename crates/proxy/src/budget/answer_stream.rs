//! Connection to an upstream that reads only a few large answers at a time.

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
use tokio::sync::Semaphore;
use tokio_util::sync::PollSemaphore;

/// Bytes beyond which an answer needs a permit.
const LARGE_BYTES: usize = 32 * 1_024;

/// Connection whose answer waits in the upstream while too many large ones are being read.
#[derive(Debug)]
pub struct AnswerStream {
    stream: TcpStream,
    permits: PollSemaphore,
    permit: Option<OwnedSemaphorePermit>,
    /// Bytes read of the present answer.
    read: usize,
    /// Bytes written of the present query.
    written: usize,
}

impl AnswerStream {
    /// Wraps a connection.
    #[must_use]
    pub fn new(stream: TcpStream, permits: Arc<Semaphore>) -> Self {
        Self {
            stream,
            permits: PollSemaphore::new(permits),
            permit: None,
            read: 0,
            written: 0,
        }
    }

    /// Gives the permit of an answer that was passed on back; returns the larger of query and answer.
    pub fn answer_ended(&mut self) -> usize {
        self.permit = None;
        std::mem::take(&mut self.read).max(std::mem::take(&mut self.written))
    }
}

impl AsyncRead for AnswerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.read > LARGE_BYTES && self.permit.is_none() {
            self.permit = ready!(self.permits.poll_acquire(cx));
        }
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        self.read += buf.filled().len() - before;
        polled
    }
}

impl AsyncWrite for AnswerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(written)) = &polled {
            self.written += written;
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
