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

/// Future that yields a dump of a process's state, secrets masked.
pub type Dump = Pin<Box<dyn Future<Output = Value> + Send>>;

/// What the admin endpoint shows.
#[derive(Clone)]
pub struct Admin {
    life: Lifecycle,
    metrics: Metrics,
    dump: Arc<dyn Fn() -> Dump + Send + Sync>,
}

impl std::fmt::Debug for Admin {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Admin")
            .field("life", &self.life)
            .finish_non_exhaustive()
    }
}

impl Admin {
    /// Creates the endpoint over a process's life, metrics and state.
    pub fn new<F>(
        life: Lifecycle,
        metrics: Metrics,
        dump: impl Fn() -> F + Send + Sync + 'static,
    ) -> Self
    where
        F: Future<Output = Value> + Send + 'static,
    {
        Self {
            life,
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
    if admin.life.is_healthy() {
        (StatusCode::OK, "serving\n")
    } else if admin.life.is_draining() {
        (StatusCode::SERVICE_UNAVAILABLE, "draining\n")
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "starting\n")
    }
}

async fn drain(State(admin): State<Admin>) -> (StatusCode, &'static str) {
    tracing::info!(event = "drain_requested", by = "admin");
    admin.life.drain();
    (StatusCode::ACCEPTED, "draining\n")
}
