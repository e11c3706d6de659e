//! HTTP server for the admin and API endpoints of the stand-ins.

use std::net::SocketAddr;

use axum::Router;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::error::LabError;

/// Serves `app` in the background until `stop` is cancelled, and returns the bound address.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn serve(
    listen: &str,
    app: Router,
    stop: CancellationToken,
) -> Result<SocketAddr, LabError> {
    let bound = TcpListener::bind(listen).await;
    let listener = bound.map_err(|source| LabError::Bind {
        address: listen.to_owned(),
        source,
    })?;
    let address = listener.local_addr().map_err(LabError::Socket)?;
    tokio::spawn(async move {
        tokio::select! {
            () = stop.cancelled() => {}
            result = async { axum::serve(listener, app).await } => {
                if let Err(e) = result {
                    tracing::error!(event = "http_server_failed", error = %e);
                }
            }
        }
    });
    Ok(address)
}
