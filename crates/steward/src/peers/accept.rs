//! Incoming connections of other stewards.

use std::time::Duration;

use futures::StreamExt;
use kameo::actor::ActorRef;
use mustardbay_wire::MessageStream;
use mustardbay_wire::PeerMessage;
use mustardbay_wire::framed;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::peers::MessageReceived;
use crate::peers::Peers;

/// Delay after a failed accept, for example with too many open files.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time without a message after which an incoming connection is closed.
const READ_IDLE_TIMEOUT: Duration = Duration::from_mins(1);

/// Accepts connections and forwards their messages to `peers` until the process ends.
pub(crate) async fn accept(listener: TcpListener, peers: ActorRef<Peers>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(read(stream, peers.clone()));
            }
            Err(e) => {
                tracing::warn!(event = "peer_accept_failed", error = %e);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn read(stream: TcpStream, peers: ActorRef<Peers>) {
    let mut socket: MessageStream<TcpStream, PeerMessage, PeerMessage> = framed(stream);
    while let Ok(Some(message)) = tokio::time::timeout(READ_IDLE_TIMEOUT, socket.next()).await {
        let message = match message {
            Ok(message) => message,
            Err(e) => {
                tracing::debug!(event = "peer_connection_failed", error = %e);
                return;
            }
        };
        if peers.tell(MessageReceived(message)).await.is_err() {
            return;
        }
    }
}
