//! Admin page of an upstream: shows its state and sets its replication lag.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use axum::Json;
use axum::Router;
use axum::extract::Query;
use axum::extract::State;
use axum::routing::get;
use axum::routing::post;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;

use super::shared::Shared;

/// Number of latest log entries that the state shows.
const TAIL_ENTRIES: u64 = 10;

/// Query parameters of a request to set the lag.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct LagQuery {
    ms: u64,
}

/// Builds the HTTP routes.
pub fn router(shared: Arc<Shared>) -> Router {
    Router::new()
        .route("/state", get(show_state))
        .route("/healthz", get(async || "serving\n"))
        .route("/lag", post(set_lag))
        .with_state(shared)
}

async fn show_state(State(shared): State<Arc<Shared>>) -> Json<Value> {
    Json(state_json(&shared))
}

async fn set_lag(State(shared): State<Arc<Shared>>, Query(query): Query<LagQuery>) {
    shared.state().lag = Duration::from_millis(query.ms);
    shared.notify_changed();
}

/// Returns the upstream's state as JSON.
pub fn state_json(shared: &Shared) -> Value {
    let state = shared.state();
    let tail = state
        .log
        .after(state.log.last().saturating_sub(TAIL_ENTRIES), 10);
    json!({
        "name": shared.config.name,
        "role": state.role,
        "term": state.term,
        "received": state.received().to_string(),
        "applied": state.applied().to_string(),
        "age_ms": state.age_ms(),
        "lag_ms": u64::try_from(state.lag.as_millis()).unwrap_or(u64::MAX),
        "leader": state.primary,
        "acks": state.acks,
        "tail": tail,
        "connections": shared.connections.load(Ordering::SeqCst),
        "running": shared.running.load(Ordering::Relaxed),
        "primary_reads": shared.primary_reads.load(Ordering::Relaxed),
        "replica_reads": shared.replica_reads.load(Ordering::Relaxed),
        "running_max": shared.running_max.load(Ordering::Relaxed),
    })
}
