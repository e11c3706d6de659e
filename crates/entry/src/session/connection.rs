//! Client connections, from accept to the start of a session.

use std::sync::Arc;
use std::time::Duration;

use futures::SinkExt;
use mustardbay_policy::refusal::Reason;
use mustardbay_policy::refusal::Refusal;
use mustardbay_process::byte_budget::Eviction;
use mustardbay_process::byte_budget::Holder;
use pgwire::messages::cancel::CancelRequest;
use pgwire::messages::startup::Startup;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::timeout;
use tokio::time::timeout_at;
use tokio_util::codec::Framed;

use crate::client::ClientCodec;
use crate::client::Outgoing;
use crate::client::ProtocolError;
use crate::client::Severity;
use crate::client::WatchedStream;
use crate::client::error;
use crate::client::refusal;
use crate::context::Context;
use crate::gate::StartupGuard;
use crate::session::ClientConnection;
use crate::session::Session;
use crate::session::Transport;
use crate::session::startup::Negotiated;
use crate::session::startup::StartupError;
use crate::session::startup::negotiate;
use crate::session::startup::start_up;

/// Initial size of a connection's read buffer.
const READ_BUFFER_BYTES: usize = 2 * 1024;
/// Timeout for negotiation with a client that is rejected, and for sending a final error.
const REJECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Reason for rejecting a connection without authentication.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RejectReason {
    /// The limit on connections is reached.
    Full,
    /// The process is draining.
    Draining,
}

/// Serves one connection until it closes.
pub(crate) async fn serve(stream: TcpStream, ctx: Arc<Context>, holder: Arc<Holder>) {
    let mut client = framed(
        WatchedStream::new(stream, Arc::clone(&holder)),
        &ctx,
        &holder,
    );
    let mut startup = StartupBounds {
        until: Instant::now() + ctx.settings.limits.startup_ms.get(),
        guard: Some(ctx.gate.start_up(&holder)),
        holder,
    };
    let offers_tls = ctx.tls.is_some();
    match startup.bound(negotiate(&mut client, offers_tls)).await {
        Some(Ok(Negotiated::Startup(message))) => {
            start(client, &message, &ctx, false, startup).await;
        }
        Some(Ok(Negotiated::Tls)) => serve_tls(client, &ctx, startup).await,
        Some(Ok(Negotiated::Cancel(cancel))) => cancel_other(&ctx, &cancel),
        Some(Err(e)) => reject_startup(client, e).await,
        None => {}
    }
}

/// Bounds of a start-up: its time limit, and that it may have to make room.
struct StartupBounds {
    until: Instant,
    guard: Option<StartupGuard>,
    holder: Arc<Holder>,
}

impl StartupBounds {
    /// Runs a step of the start-up; `None` if its time is over or the client has to go.
    async fn bound<T>(&mut self, step: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            biased;
            done = timeout_at(self.until, step) => {
                if done.is_err() {
                    tracing::debug!(event = "startup_timed_out");
                }
                done.ok()
            }
            why = self.holder.evicted() => {
                tracing::debug!(event = "startup_evicted", reason = %why);
                None
            }
        }
    }
}

/// Rejects a new connection with an error; cancel requests are still served.
pub(crate) async fn reject_connection(
    stream: TcpStream,
    ctx: Arc<Context>,
    holder: Arc<Holder>,
    why: RejectReason,
) {
    let mut client = framed(stream, &ctx, &holder);
    let negotiated = timeout(REJECT_TIMEOUT, negotiate(&mut client, false)).await;
    let final_message = match (negotiated, why) {
        (Ok(Ok(Negotiated::Cancel(cancel))), _) => return cancel_other(&ctx, &cancel),
        (Ok(Ok(_)), RejectReason::Full) => error(
            Severity::Fatal,
            "53300",
            "too many connections at this entry",
        ),
        (Ok(Ok(_)), RejectReason::Draining) => refusal(Severity::Fatal, &draining()),
        _ => return,
    };
    send_final(&mut client, final_message).await;
}

/// Sends the last message of a connection, for a bounded time.
pub(super) async fn send_final<S: Transport>(client: &mut ClientConnection<S>, message: Outgoing) {
    match timeout(REJECT_TIMEOUT, client.send(message)).await {
        Ok(Ok(())) => {}
        Ok(Err(e)) => tracing::debug!(event = "final_error_unsent", error = %e),
        Err(_) => tracing::debug!(event = "final_error_unsent", error = "timeout"),
    }
}

/// Returns the final error of a client that has to go.
pub(super) fn evicted(why: Eviction) -> Outgoing {
    let code = match why {
        Eviction::Memory => "53200",
        Eviction::Crowded => "53300",
        Eviction::Unfinished | Eviction::Unread => "57P05",
    };
    error(Severity::Fatal, code, why.to_string())
}

fn framed<S: Transport>(stream: S, ctx: &Context, holder: &Arc<Holder>) -> ClientConnection<S> {
    let codec = ClientCodec::new(ctx.settings.limits.message_bytes, Arc::clone(holder));
    Framed::with_capacity(stream, codec, READ_BUFFER_BYTES)
}

fn cancel_other(ctx: &Context, cancel: &CancelRequest) {
    ctx.sessions.cancel(cancel.pid, cancel.secret_key.as_i32());
}

pub(super) fn draining() -> Refusal {
    Refusal::not_run(
        Reason::Draining,
        "entry is shutting down, connect again",
        Some(Duration::ZERO),
    )
}

/// Performs the TLS handshake that was accepted, and serves the connection.
async fn serve_tls(
    client: ClientConnection<WatchedStream>,
    ctx: &Arc<Context>,
    mut startup: StartupBounds,
) {
    let parts = client.into_parts();
    // Plain bytes sent ahead of the handshake would be treated as encrypted ones.
    let Some(tls) = ctx.tls.as_ref().filter(|_| parts.read_buf.is_empty()) else {
        return;
    };
    let stream = match startup.bound(tls.accept(parts.io)).await {
        Some(Ok(stream)) => stream,
        Some(Err(e)) => return tracing::debug!(event = "tls_failed", error = %e),
        None => return,
    };
    let mut client = framed(stream, ctx, &startup.holder);
    match startup.bound(negotiate(&mut client, false)).await {
        Some(Ok(Negotiated::Startup(message))) => {
            start(client, &message, ctx, true, startup).await;
        }
        Some(Ok(Negotiated::Cancel(cancel))) => cancel_other(ctx, &cancel),
        Some(Err(e)) => reject_startup(client, e).await,
        Some(Ok(Negotiated::Tls)) | None => {}
    }
}

/// Authenticates the client and runs the session.
async fn start<S: Transport>(
    mut client: ClientConnection<S>,
    message: &Startup,
    ctx: &Arc<Context>,
    is_secure: bool,
    mut startup: StartupBounds,
) {
    let step = start_up(&mut client, message, ctx, is_secure);
    match startup.bound(step).await {
        Some(Ok(started)) => {
            startup.guard = None;
            let session = Session::open(client, Arc::clone(ctx), started, startup.holder);
            session.run().await;
        }
        Some(Err(e)) => reject_startup(client, e).await,
        None => {}
    }
}

/// Sends the reason for a failed start-up, unless the connection is gone.
async fn reject_startup<S: Transport>(mut client: ClientConnection<S>, reason: StartupError) {
    let final_message = match reason {
        StartupError::Closed | StartupError::Protocol(ProtocolError::Io(_)) => return,
        StartupError::Protocol(ProtocolError::Exhausted(_)) => evicted(Eviction::Memory),
        StartupError::Protocol(e) => error(Severity::Fatal, "08P01", e.to_string()),
        StartupError::Refused(refused) => {
            tracing::info!(event = "startup_refused", reason = ?refused.reason, message = refused.message);
            refusal(Severity::Fatal, &refused)
        }
    };
    send_final(&mut client, final_message).await;
}
