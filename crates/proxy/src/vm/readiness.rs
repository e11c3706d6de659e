//! Readiness probe for the load balancer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::extract::State;
use axum::http::StatusCode;
use mustardbay_process::lifecycle::Lifecycle;

use crate::clock::BootInstant;
use crate::latest_view::LatestView;
use crate::socket;

/// State that readiness depends on.
#[derive(Debug, Clone)]
struct Readiness {
    latest_view: Arc<LatestView>,
    lifecycle: Lifecycle,
    view_ttl: Duration,
}

/// Serves the readiness probe in the background, at every path.
pub(super) fn serve(
    address: SocketAddr,
    latest_view: Arc<LatestView>,
    lifecycle: Lifecycle,
    view_ttl: Duration,
) -> std::io::Result<()> {
    let listener = socket::listen(address)?;
    let readiness = Readiness {
        latest_view,
        lifecycle,
        view_ttl,
    };
    let app = Router::new().fallback(answer).with_state(readiness);
    tokio::spawn(async move {
        if let Err(e) = axum::serve(listener, app).await {
            tracing::error!(event = "ready_failed", error = %e);
        }
    });
    Ok(())
}

async fn answer(State(readiness): State<Readiness>) -> StatusCode {
    let fresh = readiness
        .latest_view
        .view()
        .is_some_and(|view| view.age(BootInstant::now()) < readiness.view_ttl);
    if fresh && readiness.lifecycle.is_healthy() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    }
}
