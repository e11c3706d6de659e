//! Incoming connections of other stewards.

use std::net::SocketAddr;
use std::time::Duration;

use futures::StreamExt;
use kameo::actor::ActorRef;
use mustardbay_wire::PeerMessage;
use mustardbay_wire::Wired;
use mustardbay_wire::framed;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::peers::Peers;
use crate::peers::Received;

/// Silence after which an incoming connection is closed.
const SILENCE_TIMEOUT: Duration = Duration::from_mins(1);

/// Accepts connections in the background and returns the address listened on.
pub(crate) async fn accept(address: &str, peers: ActorRef<Peers>) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(address).await?;
    let bound = listener.local_addr()?;
    tokio::spawn(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    tokio::spawn(read(stream, peers.clone()));
                }
                Err(e) => {
                    tracing::warn!(event = "peer_accept_failed", error = %e);
                    tokio::task::yield_now().await;
                }
            }
        }
    });
    Ok(bound)
}

async fn read(stream: TcpStream, peers: ActorRef<Peers>) {
    let mut socket: Wired<TcpStream, PeerMessage, PeerMessage> = framed(stream);
    while let Ok(Some(message)) = tokio::time::timeout(SILENCE_TIMEOUT, socket.next()).await {
        let message = match message {
            Ok(message) => message,
            Err(e) => {
                tracing::debug!(event = "peer_connection_failed", error = %e);
                return;
            }
        };
        if peers.tell(Received(message)).await.is_err() {
            return;
        }
    }
}
