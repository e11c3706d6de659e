//! Takes callers' connections.

use std::sync::Arc;

use tokio::net::TcpListener;

use crate::entry::Entry;
use crate::session;
use crate::socket;
use crate::wire::Wire;

/// Serves callers until the process ends; a draining vm still takes those that come.
pub async fn serve<W: Wire>(listener: TcpListener, entry: Arc<Entry>) {
    let mut number = 0_u64;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                number += 1;
                socket::prepare(&stream);
                tokio::spawn(session::serve::<W>(stream, number, Arc::clone(&entry)));
            }
            Err(e) => {
                tracing::warn!(event = "accept_failed", error = %e);
                tokio::time::sleep(socket::ACCEPT_PAUSE).await;
            }
        }
    }
}
