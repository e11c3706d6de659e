//! Admin page of an upstream: its state and the lag of its replication.

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

use super::core::Core;

/// Log entries that the state shows.
const TAIL: u64 = 10;

/// New lag.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Lag {
    ms: u64,
}

/// Builds the pages.
pub fn router(core: Arc<Core>) -> Router {
    Router::new()
        .route("/state", get(state))
        .route("/healthz", get(async || "serving\n"))
        .route("/lag", post(lag))
        .with_state(core)
}

async fn state(State(core): State<Arc<Core>>) -> Json<Value> {
    Json(dump(&core))
}

async fn lag(State(core): State<Arc<Core>>, Query(lag): Query<Lag>) {
    core.state().lag = Duration::from_millis(lag.ms);
    core.announce();
}

/// Returns the upstream's state.
pub fn dump(core: &Core) -> Value {
    let state = core.state();
    let tail = state.log.after(state.log.last().saturating_sub(TAIL), 10);
    json!({
        "name": core.config.name,
        "role": state.role,
        "term": state.term,
        "received": state.received().to_string(),
        "applied": state.applied().to_string(),
        "age_ms": state.age_ms(),
        "lag_ms": u64::try_from(state.lag.as_millis()).unwrap_or(u64::MAX),
        "leader": state.leader,
        "acks": state.acks,
        "tail": tail,
        "connections": core.connections.load(Ordering::SeqCst),
        "running": core.running.load(Ordering::Relaxed),
        "primary_reads": core.primary_reads.load(Ordering::Relaxed),
        "replica_reads": core.replica_reads.load(Ordering::Relaxed),
        "running_max": core.running_max.load(Ordering::Relaxed),
    })
}
