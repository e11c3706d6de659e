//! One relayed address: connections are accepted, opened onward, and pumped both ways.

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

use super::clock::Clock;
use super::rule::Mode;
use super::rule::Rules;

/// Most chunks that one direction of a connection holds back.
const MAX_HELD_CHUNKS: usize = 256;

/// Bytes read at once.
const CHUNK_BYTES: usize = 64 << 10;

/// Relayed address.
#[derive(Debug)]
pub struct Link {
    /// Name that the switch uses.
    pub name: String,
    /// Address that connections are opened to.
    pub target: String,
    /// Modes in force.
    pub rules: watch::Sender<Rules>,
    /// Ends every connection.
    pub stop: CancellationToken,
    /// Times the delays.
    pub clock: Clock,
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
            tokio::spawn(async move { link.connection(stream, peer.ip()).await });
        }
    }

    async fn connection(&self, stream: TcpStream, source: IpAddr) {
        tokio::select! {
            () = self.stop.cancelled() => {}
            () = self.cut(source) => {}
            result = self.relay(stream, source) => {
                if let Err(e) = result {
                    tracing::debug!(event = "relay_ended", link = self.name, error = %e);
                }
            }
        }
    }

    /// Waits until the source's connections are cut.
    async fn cut(&self, source: IpAddr) {
        self.until(|rules| rules.mode(source) == Mode::Cut).await;
    }

    /// Waits until the source's bytes may move.
    async fn flows(&self, source: IpAddr) {
        self.until(|rules| rules.mode(source) != Mode::Freeze).await;
    }

    async fn until(&self, test: impl Fn(&Rules) -> bool) {
        let mut rules = self.rules.subscribe();
        let seen = rules.wait_for(|rules| test(rules)).await;
        debug_assert!(seen.is_ok(), "the link owns the sender");
    }

    async fn relay(&self, stream: TcpStream, source: IpAddr) -> io::Result<()> {
        stream.set_nodelay(true)?;
        self.flows(source).await;
        let onward = Dialer::new(Some(source)).connect(&self.target).await?;
        let (from_caller, to_caller) = stream.into_split();
        let (from_target, to_target) = onward.into_split();
        let out = self.pump(from_caller, to_target, source);
        let back = self.pump(from_target, to_caller, source);
        tokio::try_join!(out, back)?;
        Ok(())
    }

    /// Moves bytes one way until the end of the stream.
    async fn pump(
        &self,
        from: OwnedReadHalf,
        to: OwnedWriteHalf,
        source: IpAddr,
    ) -> io::Result<()> {
        let (send, recv) = mpsc::channel(MAX_HELD_CHUNKS);
        let read = read(from, send);
        let write = self.write(to, recv, source);
        tokio::try_join!(read, write)?;
        Ok(())
    }

    async fn write(
        &self,
        mut to: OwnedWriteHalf,
        mut chunks: mpsc::Receiver<Chunk>,
        source: IpAddr,
    ) -> io::Result<()> {
        while let Some(chunk) = chunks.recv().await {
            let mode = self.rules.borrow().mode(source);
            if let Mode::Delay(delay) = mode {
                self.clock.sleep_until(chunk.arrived + delay).await;
            }
            self.flows(source).await;
            to.write_all(&chunk.bytes).await?;
        }
        self.flows(source).await;
        to.shutdown().await
    }
}

async fn read(mut from: OwnedReadHalf, chunks: mpsc::Sender<Chunk>) -> io::Result<()> {
    let mut buffer = BytesMut::new();
    loop {
        buffer.reserve(CHUNK_BYTES);
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
