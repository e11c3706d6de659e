//! Server side of the links from other vms.

use std::sync::Arc;
use std::time::Duration;

use futures::SinkExt;
use futures::StreamExt;
use mustardbay_wire::framed;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

use crate::link::frame::Ask;
use crate::link::frame::Reply;
use crate::link::outgoing_reply::OutgoingReply;
use crate::link_handler::LinkHandler;
use crate::socket;

/// Time without a frame after which a link is closed; the client pings an idle link every two seconds.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum time to write replies, which ends a link whose other side does not read.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// Accepts links and passes their requests to the handler, until the process ends.
pub async fn serve(listener: TcpListener, handler: Arc<LinkHandler>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                socket::prepare(&stream);
                tokio::spawn(serve_link(stream, Arc::clone(&handler)));
            }
            Err(e) => {
                tracing::warn!(event = "link_accept_failed", error = %e);
                tokio::time::sleep(socket::ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_link(stream: TcpStream, handler: Arc<LinkHandler>) {
    let (mut sink, mut requests) = framed::<_, Reply, Ask>(stream).split();
    let (replies, mut outgoing) = mpsc::unbounded_channel::<OutgoingReply>();
    let link = handler.open_link(replies);
    let reason = loop {
        tokio::select! {
            request = tokio::time::timeout(IDLE_TIMEOUT, requests.next()) => match request {
                Ok(Some(Ok(request))) => handler.handle(link, request),
                Ok(Some(Err(_)) | None) => break "closed",
                Err(tokio::time::error::Elapsed { .. }) => break "silent",
            },
            reply = outgoing.recv() => {
                let Some(OutgoingReply { reply, permit }) = reply else { break "unused" };
                let write = async {
                    // Held until all is written.
                    let mut permits = vec![permit];
                    sink.feed(reply).await?;
                    while let Ok(OutgoingReply { reply, permit }) = outgoing.try_recv() {
                        permits.push(permit);
                        sink.feed(reply).await?;
                    }
                    sink.flush().await
                };
                if !matches!(tokio::time::timeout(WRITE_TIMEOUT, write).await, Ok(Ok(()))) {
                    break "write failed";
                }
            }
        }
    };
    tracing::debug!(event = "link_ended", link, reason);
    handler.close_link(link);
}
