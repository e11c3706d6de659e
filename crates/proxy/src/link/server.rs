//! Server side of the links from other vms.

use std::sync::Arc;
use std::time::Duration;

use futures::SinkExt;
use futures::StreamExt;
use mustardbay_wire::framed;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

use crate::budget::Budget;
use crate::budget::Short;
use crate::link::frame::Ask;
use crate::link::frame::Reply;
use crate::link::frame::ReplyBody;
use crate::link::outgoing_reply::OutgoingReply;
use crate::link::statement_charges::StatementCharges;
use crate::link_handler::LinkHandler;
use crate::pool::Cause;
use crate::pool::Refusal;
use crate::socket;

/// Time without a frame after which a link is closed; the client pings an idle link every two seconds.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum time to write replies, which ends a link whose other side does not read.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay after which a session may retry a large statement that this vm has no memory for.
const SHORT_RETRY_MS: u32 = 200;

/// Accepts links and passes their requests to the handler, until the process ends.
pub async fn serve(listener: TcpListener, handler: Arc<LinkHandler>, budget: Arc<Budget>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                socket::prepare(&stream);
                let charges = StatementCharges::new(Arc::clone(&budget));
                tokio::spawn(serve_link(stream, Arc::clone(&handler), charges));
            }
            Err(e) => {
                tracing::warn!(event = "link_accept_failed", error = %e);
                tokio::time::sleep(socket::ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_link(stream: TcpStream, handler: Arc<LinkHandler>, mut charges: StatementCharges) {
    let (mut sink, mut requests) = framed::<_, Reply, Ask>(stream).split();
    let (replies, mut outgoing) = mpsc::unbounded_channel::<OutgoingReply>();
    let link = handler.open_link(replies);
    let reason = loop {
        tokio::select! {
            request = tokio::time::timeout(IDLE_TIMEOUT, requests.next()) => match request {
                Ok(Some(Ok(request))) => {
                    if let Err(Short) = charges.take(&request) {
                        let refusal = Refusal::new(Cause::Overloaded, SHORT_RETRY_MS);
                        handler.reply(link, request.number, ReplyBody::Refused(refusal));
                    } else {
                        handler.handle(link, request);
                    }
                }
                Ok(Some(Err(_)) | None) => break "closed",
                Err(tokio::time::error::Elapsed { .. }) => break "silent",
            },
            reply = outgoing.recv() => {
                let Some(OutgoingReply { reply, permit }) = reply else { break "unused" };
                charges.release(reply.number);
                let write = async {
                    // Held until all is written.
                    let mut permits = vec![permit];
                    sink.feed(reply).await?;
                    while let Ok(OutgoingReply { reply, permit }) = outgoing.try_recv() {
                        permits.push(permit);
                        charges.release(reply.number);
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
