//! Connections of callers from their first byte to the start of a session.

use std::sync::Arc;
use std::time::Duration;

use futures::SinkExt;
use mustardbay_policy::refusal::Reason;
use mustardbay_policy::refusal::Refusal;
use pgwire::messages::cancel::CancelRequest;
use pgwire::messages::startup::Startup;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::timeout;
use tokio::time::timeout_at;
use tokio_util::codec::Framed;

use crate::caller::CallerCodec;
use crate::caller::ProtocolError;
use crate::caller::Severity;
use crate::caller::error;
use crate::caller::refusal;
use crate::context::Context;
use crate::session::Caller;
use crate::session::Session;
use crate::session::Transport;
use crate::session::startup::Opening;
use crate::session::startup::StartupError;
use crate::session::startup::negotiate;
use crate::session::startup::start_up;

/// Room for the input of a connection before it grows, in bytes.
const READ_BUFFER_BYTES: usize = 2 * 1024;
/// Time in which a connection that is not served must ask for one and read the answer.
const TURN_AWAY_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a connection is not served at all.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TurnAway {
    /// Every connection that is allowed is taken.
    Full,
    /// The process drains.
    Draining,
}

/// Serves one connection until it ends.
pub(crate) async fn serve(stream: TcpStream, ctx: Arc<Context>) {
    let mut caller = framed(stream, &ctx);
    let bound = Duration::from_millis(ctx.settings.limits.startup_ms);
    let until = Instant::now() + bound;
    let offers_tls = ctx.tls.is_some();
    match timeout_at(until, negotiate(&mut caller, offers_tls)).await {
        Ok(Ok(Opening::Startup(startup))) => start(caller, &startup, &ctx, false, until).await,
        Ok(Ok(Opening::Tls)) => serve_tls(caller, &ctx, until).await,
        Ok(Ok(Opening::Cancel(cancel))) => cancel_other(&ctx, &cancel),
        Ok(Err(e)) => reject(caller, e).await,
        Err(_) => tracing::debug!(event = "startup_timed_out"),
    }
}

/// Tells a new connection that it is not served.
pub(crate) async fn turn_away(stream: TcpStream, ctx: Arc<Context>, why: TurnAway) {
    let mut caller = framed(stream, &ctx);
    let opening = timeout(TURN_AWAY_TIMEOUT, negotiate(&mut caller, false)).await;
    let last = match (opening, why) {
        (Ok(Ok(Opening::Cancel(cancel))), _) => return cancel_other(&ctx, &cancel),
        (Ok(Ok(_)), TurnAway::Full) => error(
            Severity::Fatal,
            "53300",
            "too many connections at this entry",
        ),
        (Ok(Ok(_)), TurnAway::Draining) => refusal(Severity::Fatal, &draining()),
        _ => return,
    };
    if let Ok(Err(e)) = timeout(TURN_AWAY_TIMEOUT, caller.send(last)).await {
        tracing::debug!(event = "turn_away_unsent", error = %e);
    }
}

fn framed<S: Transport>(stream: S, ctx: &Context) -> Caller<S> {
    let codec = CallerCodec::new(ctx.settings.limits.message_bytes);
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

/// Goes on over TLS after the caller was told to begin its handshake.
async fn serve_tls(caller: Caller<TcpStream>, ctx: &Arc<Context>, until: Instant) {
    let parts = caller.into_parts();
    // Bytes sent ahead of the handshake would be taken for encrypted ones.
    let Some(tls) = ctx.tls.as_ref().filter(|_| parts.read_buf.is_empty()) else {
        return;
    };
    let stream = match timeout_at(until, tls.accept(parts.io)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(e)) => return tracing::debug!(event = "tls_failed", error = %e),
        Err(_) => return tracing::debug!(event = "startup_timed_out"),
    };
    let mut caller = framed(stream, ctx);
    match timeout_at(until, negotiate(&mut caller, false)).await {
        Ok(Ok(Opening::Startup(startup))) => start(caller, &startup, ctx, true, until).await,
        Ok(Ok(Opening::Cancel(cancel))) => cancel_other(ctx, &cancel),
        Ok(Err(e)) => reject(caller, e).await,
        Ok(Ok(Opening::Tls)) | Err(_) => {}
    }
}

/// Checks the key and runs the session.
async fn start<S: Transport>(
    mut caller: Caller<S>,
    startup: &Startup,
    ctx: &Arc<Context>,
    is_secure: bool,
    until: Instant,
) {
    let started = timeout_at(until, start_up(&mut caller, startup, ctx, is_secure)).await;
    match started {
        Ok(Ok(started)) => Session::open(caller, Arc::clone(ctx), started).run().await,
        Ok(Err(e)) => reject(caller, e).await,
        Err(_) => tracing::debug!(event = "startup_timed_out"),
    }
}

/// Tells a caller why it gets no session, as far as it can be told.
async fn reject<S: Transport>(mut caller: Caller<S>, reason: StartupError) {
    let last = match reason {
        StartupError::Closed | StartupError::Protocol(ProtocolError::Io(_)) => return,
        StartupError::Protocol(e) => error(Severity::Fatal, "08P01", e.to_string()),
        StartupError::Refused(refused) => {
            tracing::info!(event = "startup_refused", reason = ?refused.reason, message = refused.message);
            refusal(Severity::Fatal, &refused)
        }
    };
    if let Err(e) = caller.send(last).await {
        tracing::debug!(event = "reject_unsent", error = %e);
    }
}
