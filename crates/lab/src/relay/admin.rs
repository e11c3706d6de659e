//! Admin page of the relay: shows the modes of its links and sets them.

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
use super::rule::RuleChange;

/// Links by name.
pub type Links = Arc<BTreeMap<String, Arc<Link>>>;

/// Builds the HTTP routes.
pub fn router(links: Links) -> Router {
    Router::new()
        .route("/link/{name}", post(set_mode))
        .route("/state", get(show_state))
        .route("/healthz", get(async || "serving\n"))
        .with_state(links)
}

async fn set_mode(
    State(links): State<Links>,
    Path(name): Path<String>,
    RawQuery(query): RawQuery,
) -> (StatusCode, String) {
    let Some(link) = links.get(&name) else {
        return (StatusCode::NOT_FOUND, format!("no link {name:?}\n"));
    };
    match RuleChange::parse(&query.unwrap_or_default()) {
        Ok(change) => {
            link.rules
                .send_modify(|rules| rules.set(&change.sources, change.mode));
            tracing::info!(event = "link_switched", link = name, mode = ?change.mode, from = ?change.sources);
            (StatusCode::OK, "switched\n".to_owned())
        }
        Err(e) => (StatusCode::BAD_REQUEST, format!("{e}\n")),
    }
}

async fn show_state(State(links): State<Links>) -> Json<Value> {
    let entries = links.iter().map(|(name, link)| {
        let rules = link.rules.borrow().clone();
        (
            name.clone(),
            json!({ "target": link.target, "rules": rules }),
        )
    });
    Json(entries.collect::<serde_json::Map<_, _>>().into())
}
