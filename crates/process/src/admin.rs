//! Admin endpoint over HTTP: `/state`, `/metrics`, `/healthz` and `POST /drain`.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;

use axum::Json;
use axum::Router;
use axum::extract::State;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use axum::routing::post;
use serde_json::Value;
use tokio::net::TcpListener;

use crate::lifecycle::Lifecycle;
use crate::metrics::Metrics;

/// Future of the process's state as JSON, with secrets masked.
pub type StateDump = Pin<Box<dyn Future<Output = Value> + Send>>;

/// Admin endpoint of one process.
#[derive(Clone)]
pub struct Admin {
    lifecycle: Lifecycle,
    metrics: Metrics,
    dump: Arc<dyn Fn() -> StateDump + Send + Sync>,
}

impl std::fmt::Debug for Admin {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Admin")
            .field("lifecycle", &self.lifecycle)
            .finish_non_exhaustive()
    }
}

impl Admin {
    /// Creates the endpoint; `dump` returns the state that `/state` shows, with secrets masked.
    pub fn new<F>(
        lifecycle: Lifecycle,
        metrics: Metrics,
        dump: impl Fn() -> F + Send + Sync + 'static,
    ) -> Self
    where
        F: Future<Output = Value> + Send + 'static,
    {
        Self {
            lifecycle,
            metrics,
            dump: Arc::new(move || Box::pin(dump())),
        }
    }

    /// Serves the endpoint in the background and returns the address it listens on.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn serve(self, listen: &str) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let app = Router::new()
            .route("/state", get(state))
            .route("/metrics", get(metrics))
            .route("/healthz", get(healthz))
            .route("/drain", post(drain))
            .with_state(self);
        tokio::spawn(async move {
            if let Err(e) = axum::serve(listener, app).await {
                tracing::error!(event = "admin_failed", error = %e);
            }
        });
        Ok(address)
    }
}

async fn state(State(admin): State<Admin>) -> Json<Value> {
    Json((admin.dump)().await)
}

async fn metrics(State(admin): State<Admin>) -> Response {
    match admin.metrics.render() {
        Ok(page) => ([("content-type", "text/plain; version=0.0.4")], page).into_response(),
        Err(e) => (StatusCode::INTERNAL_SERVER_ERROR, e.to_string()).into_response(),
    }
}

async fn healthz(State(admin): State<Admin>) -> (StatusCode, &'static str) {
    if admin.lifecycle.is_healthy() {
        (StatusCode::OK, "serving\n")
    } else if admin.lifecycle.is_draining() {
        (StatusCode::SERVICE_UNAVAILABLE, "draining\n")
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "starting\n")
    }
}

async fn drain(State(admin): State<Admin>) -> (StatusCode, &'static str) {
    tracing::info!(event = "drain_requested", by = "admin");
    admin.lifecycle.drain();
    (StatusCode::ACCEPTED, "draining\n")
}
