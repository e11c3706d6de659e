//! Accepts client connections.

use std::sync::Arc;
use std::time::Duration;

use mustardbay_process::byte_budget::Eviction;
use mustardbay_process::timer::Timer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::timeout;
use tokio_util::task::TaskTracker;

use crate::context::Context;
use crate::readiness;
use crate::session;
use crate::session::RejectReason;

/// Time between two checks for clients that keep the entry waiting.
const STALL_CHECK_PERIOD: Duration = Duration::from_secs(1);
/// Memory of an idle connection.
const IDLE_CONNECTION_BYTES: usize = 4 * 1024;
/// Pause after a failed accept, for example when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts connections until the process has drained.
pub(crate) async fn serve(listener: TcpListener, ctx: Arc<Context>) {
    prune_pool_links(&ctx);
    tokio::spawn(readiness::mark_when_ready(Arc::clone(&ctx)));
    report_spent_tokens(&ctx);
    evict_stalled(&ctx);
    let tasks = TaskTracker::new();
    let accepting = accept_all(&listener, &ctx, &tasks);
    tokio::select! {
        () = accepting => {}
        () = wait_drained(&ctx, &tasks) => {}
    }
    tracing::info!(event = "entry_stopped", sessions = ctx.sessions.count());
    ctx.lifecycle.stop();
}

/// Accepts connections; while the process drains, new ones are rejected with an error.
async fn accept_all(listener: &TcpListener, ctx: &Arc<Context>, tasks: &TaskTracker) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => accept(stream, ctx, tasks),
            Err(e) => {
                tracing::warn!(event = "accept_failed", error = %e);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Waits until the process drains and all sessions have ended or `drain_ms` has passed.
async fn wait_drained(ctx: &Arc<Context>, tasks: &TaskTracker) {
    ctx.lifecycle.drain_started().await;
    tasks.close();
    let bound = ctx.settings.limits.drain_ms.get();
    if timeout(bound, tasks.wait()).await.is_err() {
        tracing::warn!(event = "drain_timed_out", sessions = tasks.len());
    }
}

/// Drops links to pools that are no longer in the view.
fn prune_pool_links(ctx: &Arc<Context>) {
    let ctx = Arc::clone(ctx);
    tokio::spawn(async move {
        let mut changes = ctx.steward.changes();
        loop {
            if let Some(view) = ctx.steward.view() {
                ctx.pools
                    .retain(|address| view.vms.values().any(|vm| vm.pool == address));
            }
            if changes.changed().await.is_err() {
                return;
            }
        }
    });
}

/// Reports spent tokens in the background.
fn report_spent_tokens(ctx: &Arc<Context>) {
    let ctx = Arc::clone(ctx);
    tokio::spawn(async move { ctx.rates.report_periodically(&Timer::new()).await });
}

/// Closes clients that keep the entry waiting, and logs how many had to go.
fn evict_stalled(ctx: &Arc<Context>) {
    let ctx = Arc::clone(ctx);
    tokio::spawn(async move {
        let limits = &ctx.settings.limits;
        let unfinished = limits.message_ms.get();
        let unread = limits.answer_ms.get();
        let timer = Timer::new();
        let mut ticks = timer.every(STALL_CHECK_PERIOD);
        let mut logged = 0;
        while ticks.recv().await.is_some() {
            ctx.budget.evict_stalled(unfinished, unread);
            let evicted = Eviction::ALL
                .iter()
                .map(|why| ctx.budget.evicted(*why))
                .sum();
            if evicted > logged {
                log_evictions(&ctx, evicted - logged);
                logged = evicted;
            }
        }
    });
}

fn log_evictions(ctx: &Context, count: u64) {
    tracing::warn!(
        event = "clients_evicted",
        count,
        memory = ctx.budget.evicted(Eviction::Memory),
        unfinished = ctx.budget.evicted(Eviction::Unfinished),
        unread = ctx.budget.evicted(Eviction::Unread),
        crowded = ctx.budget.evicted(Eviction::Crowded),
        kept_bytes = ctx.budget.used(),
        limit_bytes = ctx.budget.limit(),
    );
}

fn accept(stream: TcpStream, ctx: &Arc<Context>, tasks: &TaskTracker) {
    if let Err(e) = stream.set_nodelay(true) {
        tracing::debug!(event = "nodelay_failed", error = %e);
    }
    let ctx = Arc::clone(ctx);
    let permit = if ctx.lifecycle.is_draining() {
        None
    } else {
        ctx.gate.try_open()
    };
    if let Some(permit) = permit {
        tasks.spawn(serve_client(stream, ctx, permit));
    } else if let Some(waiting) = ctx.gate.try_wait() {
        tokio::spawn(wait_or_reject(stream, ctx, waiting, tasks.clone()));
    } else {
        ctx.metrics.dropped();
    }
}

/// Serves a connection; the memory of an idle one counts from the start.
async fn serve_client(stream: TcpStream, ctx: Arc<Context>, permit: OwnedSemaphorePermit) {
    let holder = Arc::new(ctx.budget.add_holder());
    let mut idle = holder.share();
    if idle.set(IDLE_CONNECTION_BYTES).is_ok() {
        session::serve(stream, ctx, holder).await;
    } else {
        session::reject_connection(stream, ctx, holder, RejectReason::Full).await;
    }
    drop(permit);
}

/// Serves a connection beyond the limit once another one makes room, or rejects it.
async fn wait_or_reject(
    stream: TcpStream,
    ctx: Arc<Context>,
    waiting: OwnedSemaphorePermit,
    tasks: TaskTracker,
) {
    let why = if ctx.lifecycle.is_draining() {
        RejectReason::Draining
    } else if let Some(permit) = ctx.gate.make_room().await {
        drop(waiting);
        tasks.spawn(serve_client(stream, ctx, permit));
        return;
    } else {
        RejectReason::Full
    };
    let holder = Arc::new(ctx.budget.add_holder());
    session::reject_connection(stream, ctx, holder, why).await;
    drop(waiting);
}
