//! One relayed address: accepts connections, connects to the target and forwards both ways.

use std::io;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use mustardbay_process::dialer::Dialer;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use super::rule::Mode;
use super::rule::Rules;
use super::timer::Timer;

/// Maximum number of chunks that one direction of a connection buffers.
const MAX_BUFFERED_CHUNKS: usize = 256;

/// Buffer space that is reserved for each read.
const READ_BUFFER_BYTES: usize = 64 << 10;

/// Relayed address.
#[derive(Debug)]
pub struct Link {
    /// Name of the link on the admin page.
    pub name: String,
    /// Address that connections are forwarded to.
    pub target: String,
    /// Current modes, by source address.
    pub rules: watch::Sender<Rules>,
    /// Ends every connection when the relay stops.
    pub stop: CancellationToken,
    /// Timer of the delays.
    pub timer: Timer,
}

/// Bytes with the time at which they arrived.
struct Chunk {
    arrived: Instant,
    bytes: Bytes,
}

impl Link {
    /// Accepts connections until the relay stops.
    pub async fn run(self: Arc<Self>, listener: TcpListener) {
        loop {
            let accepted = tokio::select! {
                () = self.stop.cancelled() => return,
                accepted = listener.accept() => accepted,
            };
            let Ok((stream, peer)) = accepted else {
                continue;
            };
            let link = Arc::clone(&self);
            tokio::spawn(async move { link.serve(stream, peer.ip()).await });
        }
    }

    async fn serve(&self, stream: TcpStream, source: IpAddr) {
        tokio::select! {
            // A connection that arrives while its source is cut off must not pass its first bytes.
            biased;
            () = self.stop.cancelled() => {}
            () = self.wait_until_cut(source) => {}
            result = self.relay(stream, source) => {
                if let Err(e) = result {
                    tracing::debug!(event = "relay_ended", link = self.name, error = %e);
                }
            }
        }
    }

    /// Waits until the mode of a source is [`Mode::Cut`].
    async fn wait_until_cut(&self, source: IpAddr) {
        self.wait_until(|rules| rules.mode(source) == Mode::Cut)
            .await;
    }

    /// Waits until the mode of a source is not [`Mode::Freeze`].
    async fn wait_until_unfrozen(&self, source: IpAddr) {
        self.wait_until(|rules| rules.mode(source) != Mode::Freeze)
            .await;
    }

    async fn wait_until(&self, test: impl Fn(&Rules) -> bool) {
        let mut rules = self.rules.subscribe();
        let matched = rules.wait_for(|rules| test(rules)).await;
        debug_assert!(matched.is_ok(), "the link owns the sender");
    }

    async fn relay(&self, stream: TcpStream, source: IpAddr) -> io::Result<()> {
        stream.set_nodelay(true)?;
        self.wait_until_unfrozen(source).await;
        let target = Dialer::new(Some(source)).connect(&self.target).await?;
        let (from_client, to_client) = stream.into_split();
        let (from_target, to_target) = target.into_split();
        let requests = self.forward(from_client, to_target, source);
        let replies = self.forward(from_target, to_client, source);
        tokio::try_join!(requests, replies)?;
        Ok(())
    }

    /// Forwards bytes in one direction until the end of the stream.
    async fn forward(
        &self,
        from: OwnedReadHalf,
        to: OwnedWriteHalf,
        source: IpAddr,
    ) -> io::Result<()> {
        let (sender, chunks) = mpsc::channel(MAX_BUFFERED_CHUNKS);
        let read = read(from, sender);
        let write = self.write(to, chunks, source);
        tokio::try_join!(read, write)?;
        Ok(())
    }

    /// Writes each chunk as the mode at that time allows, then closes the write half.
    async fn write(
        &self,
        mut to: OwnedWriteHalf,
        mut chunks: mpsc::Receiver<Chunk>,
        source: IpAddr,
    ) -> io::Result<()> {
        while let Some(chunk) = chunks.recv().await {
            let mode = self.rules.borrow().mode(source);
            if let Mode::Delay(delay) = mode {
                self.timer.sleep_until(chunk.arrived + delay).await;
            }
            self.wait_until_unfrozen(source).await;
            to.write_all(&chunk.bytes).await?;
        }
        self.wait_until_unfrozen(source).await;
        to.shutdown().await
    }
}

/// Reads chunks until the end of the stream or until the receiver is dropped.
async fn read(mut from: OwnedReadHalf, chunks: mpsc::Sender<Chunk>) -> io::Result<()> {
    let mut buffer = BytesMut::new();
    loop {
        buffer.reserve(READ_BUFFER_BYTES);
        if from.read_buf(&mut buffer).await? == 0 {
            return Ok(());
        }
        let chunk = Chunk {
            arrived: Instant::now(),
            bytes: buffer.split().freeze(),
        };
        if chunks.send(chunk).await.is_err() {
            return Ok(());
        }
    }
}
