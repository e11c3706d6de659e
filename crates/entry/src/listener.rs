//! Accepts callers' connections.

use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::context::Context;
use crate::session;

/// Pause after a failure to accept, such as no free file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts connections until the process has drained.
pub(crate) async fn serve(listener: TcpListener, ctx: Arc<Context>) {
    follow_views(&ctx);
    loop {
        let accepted = tokio::select! {
            () = ctx.life.drained_from_now() => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => accept(stream, &ctx),
            Err(e) => {
                tracing::warn!(event = "accept_failed", error = %e);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    ctx.life.stop();
}

/// Marks the process ready with the first view, and drops links to pools that left the view.
fn follow_views(ctx: &Arc<Context>) {
    let ctx = Arc::clone(ctx);
    tokio::spawn(async move {
        let mut changes = ctx.steward.changes();
        loop {
            if let Some(view) = ctx.steward.view() {
                ctx.pools
                    .keep(|address| view.vms.values().any(|vm| vm.pool == address));
                ctx.life.mark_ready();
            }
            if changes.changed().await.is_err() {
                return;
            }
        }
    });
}

fn accept(stream: TcpStream, ctx: &Arc<Context>) {
    if let Err(e) = stream.set_nodelay(true) {
        tracing::debug!(event = "nodelay_failed", error = %e);
    }
    tokio::spawn(session::serve(stream, Arc::clone(ctx)));
}
