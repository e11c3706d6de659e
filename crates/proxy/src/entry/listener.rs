//! Accepts connections from clients.

use std::sync::Arc;

use tokio::net::TcpListener;

use crate::entry::Entry;
use crate::session;
use crate::session::LAST_START_PERCENT;
use crate::socket;
use crate::wire::Wire;

/// Accepts clients until late in the drain.
///
/// A load balancer that has no other vm still sends connections here while this one drains.
pub async fn serve<W: Wire>(listener: TcpListener, entry: Arc<Entry>) {
    let accepting = accept::<W>(listener, &entry);
    let ending = async {
        entry.lifecycle.drain_started().await;
        tokio::time::sleep(entry.timing.grace * LAST_START_PERCENT / 100).await;
    };
    tokio::select! {
        () = accepting => {}
        () = ending => tracing::info!(event = "entry_closed", sessions = entry.sessions.len()),
    }
}

async fn accept<W: Wire>(listener: TcpListener, entry: &Arc<Entry>) {
    let mut number = 0_u64;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                number += 1;
                socket::prepare(&stream);
                if let Some(holding) = entry.budget.admit(number) {
                    let session = session::serve::<W>(stream, holding, Arc::clone(entry));
                    entry.sessions.spawn(session);
                }
                if entry.budget.is_full() {
                    // A session that was closed for this one releases its socket now.
                    tokio::task::yield_now().await;
                }
            }
            Err(e) => {
                tracing::warn!(event = "accept_failed", error = %e);
                tokio::time::sleep(socket::ACCEPT_PAUSE).await;
            }
        }
    }
}
