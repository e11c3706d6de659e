//! Switch of the relay over HTTP.

use std::collections::BTreeMap;
use std::sync::Arc;

use axum::Json;
use axum::Router;
use axum::extract::Path;
use axum::extract::RawQuery;
use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::get;
use axum::routing::post;
use serde_json::Value;
use serde_json::json;

use super::link::Link;
use super::rule::Change;

/// Links by name.
pub type Links = Arc<BTreeMap<String, Arc<Link>>>;

/// Builds the pages.
pub fn router(links: Links) -> Router {
    Router::new()
        .route("/link/{name}", post(switch))
        .route("/state", get(state))
        .route("/healthz", get(async || "serving\n"))
        .with_state(links)
}

async fn switch(
    State(links): State<Links>,
    Path(name): Path<String>,
    RawQuery(query): RawQuery,
) -> (StatusCode, String) {
    let Some(link) = links.get(&name) else {
        return (StatusCode::NOT_FOUND, format!("no link {name:?}\n"));
    };
    match Change::parse(&query.unwrap_or_default()) {
        Ok(change) => {
            link.rules
                .send_modify(|rules| rules.set(&change.sources, change.mode));
            tracing::info!(event = "link_switched", link = name, mode = ?change.mode, from = ?change.sources);
            (StatusCode::OK, "switched\n".to_owned())
        }
        Err(e) => (StatusCode::BAD_REQUEST, format!("{e}\n")),
    }
}

async fn state(State(links): State<Links>) -> Json<Value> {
    let shown = links.iter().map(|(name, link)| {
        let rules = link.rules.borrow().clone();
        (
            name.clone(),
            json!({ "target": link.target, "rules": rules }),
        )
    });
    Json(shown.collect::<serde_json::Map<_, _>>().into())
}
