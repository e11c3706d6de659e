//! Outgoing connection to another steward.

use std::time::Duration;

use futures::SinkExt;
use futures::StreamExt;
use kameo::actor::ActorRef;
use mustardbay_policy::names::VmName;
use mustardbay_process::dialer::Dialer;
use mustardbay_wire::CodecError;
use mustardbay_wire::MessageStream;
use mustardbay_wire::PeerMessage;
use mustardbay_wire::framed;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

use crate::peers::LinkEnded;
use crate::peers::Peers;

/// Maximum number of messages queued for a slow peer; further ones are dropped.
const MAX_QUEUED_MESSAGES: usize = 256;
/// Maximum time to connect, or to send one message.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);
/// Time without a message to send after which the connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Outgoing connection, closed when dropped.
#[derive(Debug)]
pub(super) struct Link {
    pub(super) id: u64,
    pub(super) address: String,
    messages: mpsc::Sender<PeerMessage>,
}

impl Link {
    /// Connects in the background and tells `peers` when the link ends.
    pub(super) fn open(
        id: u64,
        vm: VmName,
        address: String,
        dialer: Dialer,
        peers: ActorRef<Peers>,
    ) -> Self {
        let (send, recv) = mpsc::channel(MAX_QUEUED_MESSAGES);
        let remote = address.clone();
        tokio::spawn(async move {
            let result = run(remote, dialer, recv).await;
            if let Err(e) = &result {
                tracing::debug!(event = "peer_link_failed", vm = %vm, error = %e);
            }
            let ended = LinkEnded {
                vm,
                link: id,
                failed: result.is_err(),
            };
            if peers.tell(ended).await.is_err() {
                tracing::debug!(event = "peers_gone");
            }
        });
        Self {
            id,
            address,
            messages: send,
        }
    }

    /// Queues a message; drops it if the queue is full or the link has ended.
    pub(super) fn send(&self, message: PeerMessage) {
        if self.messages.try_send(message).is_err() {
            let address = &self.address;
            tracing::debug!(event = "peer_message_dropped", address);
        }
    }
}

async fn run(
    address: String,
    dialer: Dialer,
    mut messages: mpsc::Receiver<PeerMessage>,
) -> Result<(), CodecError> {
    let stream = with_timeout(async { Ok(dialer.connect(&address).await?) }).await?;
    let mut socket: MessageStream<TcpStream, PeerMessage, PeerMessage> = framed(stream);
    loop {
        let message = tokio::select! {
            message = tokio::time::timeout(IDLE_TIMEOUT, messages.recv()) => message,
            end = socket.next() => match end {
                Some(Err(e)) => return Err(e),
                _ => return Err(io_error("closed by the peer")),
            },
        };
        match message {
            Ok(Some(message)) => with_timeout(socket.send(message)).await?,
            Ok(None) | Err(_) => return Ok(()),
        }
    }
}

async fn with_timeout<T>(
    step: impl Future<Output = Result<T, CodecError>>,
) -> Result<T, CodecError> {
    match tokio::time::timeout(SEND_TIMEOUT, step).await {
        Ok(result) => result,
        Err(_) => Err(io_error("no progress in time")),
    }
}

fn io_error(cause: &'static str) -> CodecError {
    CodecError::Io(std::io::Error::other(cause))
}
