//! HTTP endpoints of the platform stand-in: the etcd JSON gateway, the fault switch and the state.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use axum::Json;
use axum::Router;
use axum::body::Body;
use axum::extract::Query;
use axum::extract::State;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use axum::routing::post;
use bytes::Bytes;
use futures::Stream;
use futures::StreamExt;
use futures::stream;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use super::calls::Call;
use super::calls::Calls;
use super::message::LeaseRequest;
use super::message::LeaseResponse;
use super::message::PutRequest;
use super::message::RangeRequest;
use super::message::TxnRequest;
use super::message::WatchRequest;
use super::mode::Mode;
use super::store::Store;
use crate::gate::Gate;

/// State that the HTTP handlers and the background tasks share.
#[derive(Debug)]
pub struct Shared {
    /// Blocks answers while the platform is frozen.
    pub gate: Gate,
    /// Stops every task when it is cancelled.
    pub stop: CancellationToken,
    mode: watch::Sender<Mode>,
    /// Notifies the open watches of possible changes.
    changed: watch::Sender<()>,
    store: Mutex<Store>,
    calls: Mutex<Calls>,
}

impl Shared {
    /// Creates an empty store in mode [`Mode::Up`].
    #[must_use]
    pub fn new() -> Self {
        Self {
            gate: Gate::new(),
            stop: CancellationToken::new(),
            mode: watch::Sender::new(Mode::Up),
            changed: watch::Sender::new(()),
            store: Mutex::default(),
            calls: Mutex::default(),
        }
    }

    /// Locks the store; the guard must not be held across an await.
    pub fn store(&self) -> MutexGuard<'_, Store> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the call counts; the guard must not be held across an await.
    pub fn calls(&self) -> MutexGuard<'_, Calls> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Switches to another behaviour, also for open watches.
    pub fn switch(&self, mode: Mode) {
        tracing::info!(event = "platform_switched", ?mode);
        self.mode.send_replace(mode);
    }

    /// Makes every open watch look for new changes.
    pub fn notify_watches(&self) {
        self.changed.send_replace(());
    }

    /// Ends the leases that have expired by now.
    pub fn expire(&self) {
        if self.store().expire(Instant::now()) {
            self.notify_watches();
        }
    }

    /// Runs a call on the store in the current mode and builds its response.
    ///
    /// `work` returns `None` if the call names a lease that does not exist.
    async fn run_call<T: Serialize>(
        &self,
        call: Call,
        work: impl FnOnce(&mut Store) -> Option<T>,
    ) -> Response {
        self.gate.pass().await;
        self.calls().count(call);
        let mode = *self.mode.borrow();
        match mode {
            Mode::Down => return drop_connection(),
            Mode::Slow(delay) => tokio::time::sleep(delay).await,
            Mode::Up | Mode::LoseAnswers => {}
        }
        let answer = {
            let mut store = self.store();
            store.expire(Instant::now());
            work(&mut store)
        };
        self.notify_watches();
        self.gate.pass().await;
        if mode == Mode::LoseAnswers {
            return drop_connection();
        }
        match answer {
            Some(answer) => Json(answer).into_response(),
            None => lease_not_found(),
        }
    }
}

impl Default for Shared {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the routes of every endpoint.
pub fn router(shared: Arc<Shared>) -> Router {
    Router::new()
        .route("/v3/kv/range", post(range))
        .route("/v3/kv/put", post(put))
        .route("/v3/kv/deleterange", post(delete))
        .route("/v3/kv/txn", post(txn))
        .route("/v3/lease/grant", post(grant))
        .route("/v3/lease/keepalive", post(keep_alive))
        .route("/v3/lease/revoke", post(revoke))
        .route("/v3/kv/lease/revoke", post(revoke))
        .route("/v3/watch", post(watch_keys))
        .route("/switch", post(switch))
        .route("/state", get(state))
        .route("/healthz", get(async || "serving\n"))
        .with_state(shared)
}

type SharedState = State<Arc<Shared>>;

async fn range(State(platform): SharedState, body: Bytes) -> Response {
    match parse::<RangeRequest>(&body) {
        Ok(request) => {
            let work = |store: &mut Store| Some(store.range(&request));
            platform.run_call(Call::Range, work).await
        }
        Err(response) => response,
    }
}

async fn put(State(platform): SharedState, body: Bytes) -> Response {
    match parse::<PutRequest>(&body) {
        Ok(request) => {
            let work = |store: &mut Store| {
                let header = store.put(&request)?;
                Some(json!({ "header": header }))
            };
            platform.run_call(Call::Put, work).await
        }
        Err(response) => response,
    }
}

async fn delete(State(platform): SharedState, body: Bytes) -> Response {
    match parse::<RangeRequest>(&body) {
        Ok(request) => {
            let work = |store: &mut Store| {
                let deleted = store.delete(&request);
                Some(json!({ "header": store.header(), "deleted": deleted.to_string() }))
            };
            platform.run_call(Call::Delete, work).await
        }
        Err(response) => response,
    }
}

async fn txn(State(platform): SharedState, body: Bytes) -> Response {
    match parse::<TxnRequest>(&body) {
        Ok(request) => {
            let work = |store: &mut Store| store.txn(&request);
            platform.run_call(Call::Txn, work).await
        }
        Err(response) => response,
    }
}

async fn grant(State(platform): SharedState, body: Bytes) -> Response {
    match parse::<LeaseRequest>(&body) {
        Ok(request) => {
            let ttl = Duration::from_secs(u64::try_from(request.ttl).unwrap_or(0));
            let work = |store: &mut Store| {
                let id = store.grant(request.id, ttl, Instant::now());
                Some(lease_response(store, id, request.ttl))
            };
            platform.run_call(Call::Grant, work).await
        }
        Err(response) => response,
    }
}

async fn keep_alive(State(platform): SharedState, body: Bytes) -> Response {
    match parse::<LeaseRequest>(&body) {
        Ok(request) => {
            let work = |store: &mut Store| {
                let left = store.keep_alive(request.id, Instant::now());
                let seconds = left.map_or(0, |left| left.as_secs());
                let ttl = i64::try_from(seconds).unwrap_or(i64::MAX);
                Some(json!({ "result": lease_response(store, request.id, ttl) }))
            };
            platform.run_call(Call::KeepAlive, work).await
        }
        Err(response) => response,
    }
}

async fn revoke(State(platform): SharedState, body: Bytes) -> Response {
    match parse::<LeaseRequest>(&body) {
        Ok(request) => {
            let work = |store: &mut Store| {
                let ended = store.revoke(request.id);
                ended.then(|| json!({ "header": store.header() }))
            };
            platform.run_call(Call::Revoke, work).await
        }
        Err(response) => response,
    }
}

/// Streams changes as JSON lines until the client disconnects or the platform goes down.
async fn watch_keys(State(platform): SharedState, body: Bytes) -> Response {
    let request = match parse::<WatchRequest>(&body) {
        Ok(request) => request.create_request,
        Err(response) => return response,
    };
    platform.gate.pass().await;
    platform.calls().count(Call::Watch);
    if *platform.mode.borrow() == Mode::Down {
        return drop_connection();
    }
    let range = RangeRequest {
        key: request.key,
        range_end: request.range_end,
        limit: 0,
    };
    let revision = platform.store().header().revision;
    let first = match request.start_revision {
        0 => revision + 1,
        requested => requested,
    };
    let header = json!({ "revision": revision.to_string() });
    let created = json!({ "result": { "header": header, "created": true } });
    let events = changes(platform, range, first);
    let lines = stream::once(async move { Ok(json_line(&created)) }).chain(events);
    Response::new(Body::from_stream(lines))
}

/// Yields a line for each batch of changes at or after revision `next`.
///
/// Yields an error, which drops the connection, when the platform goes down. Ends when the platform
/// stops.
fn changes(
    platform: Arc<Shared>,
    range: RangeRequest,
    next: i64,
) -> impl Stream<Item = Result<Bytes, std::io::Error>> {
    let changed = platform.changed.subscribe();
    let mode = platform.mode.subscribe();
    stream::unfold(
        (platform, range, next, changed, mode),
        |(platform, range, next, mut changed, mut mode)| async move {
            loop {
                changed.mark_unchanged();
                let (revision, events) = {
                    let store = platform.store();
                    (store.header().revision, store.events_since(next, &range))
                };
                platform.gate.pass().await;
                let current = *mode.borrow_and_update();
                match current {
                    Mode::Down => {
                        let reset = Err(std::io::ErrorKind::ConnectionReset.into());
                        return Some((reset, (platform, range, next, changed, mode)));
                    }
                    Mode::Slow(delay) if !events.is_empty() => tokio::time::sleep(delay).await,
                    _ => {}
                }
                if !events.is_empty() {
                    let after = revision + 1;
                    let bytes = Ok(json_line(&watch_response(revision, &events)));
                    return Some((bytes, (platform, range, after, changed, mode)));
                }
                tokio::select! {
                    () = platform.stop.cancelled() => return None,
                    _ = changed.changed() => {}
                    _ = mode.changed() => {}
                }
            }
        },
    )
}

fn watch_response(revision: i64, events: &[super::store::Event]) -> Value {
    let events = events.iter().map(|event| {
        if event.deleted {
            json!({ "type": "DELETE", "kv": event.kv })
        } else {
            json!({ "kv": event.kv })
        }
    });
    let events: Vec<Value> = events.collect();
    let header = json!({ "revision": revision.to_string() });
    json!({ "result": { "header": header, "events": events } })
}

fn json_line(value: &Value) -> Bytes {
    Bytes::from(format!("{value}\n"))
}

/// Query of `POST /switch`: the mode as a key of its own or as the value of `mode`.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
struct SwitchQuery {
    down: Option<String>,
    slow: Option<String>,
    ms: Option<u64>,
    lose_answers: Option<String>,
    up: Option<String>,
    mode: Option<String>,
}

impl SwitchQuery {
    /// Returns the requested mode; `None` if there is none or `slow` comes without `ms`.
    fn requested(&self) -> Option<Mode> {
        let named = self.mode.as_deref();
        if self.up.is_some() || named == Some("up") {
            Some(Mode::Up)
        } else if self.down.is_some() || named == Some("down") {
            Some(Mode::Down)
        } else if self.lose_answers.is_some() || named == Some("lose_answers") {
            Some(Mode::LoseAnswers)
        } else if self.slow.is_some() || named == Some("slow") {
            Some(Mode::Slow(Duration::from_millis(self.ms?)))
        } else {
            None
        }
    }
}

async fn switch(
    State(platform): SharedState,
    Query(query): Query<SwitchQuery>,
) -> (StatusCode, &'static str) {
    match query.requested() {
        Some(mode) => {
            platform.switch(mode);
            (StatusCode::OK, "switched\n")
        }
        None => (
            StatusCode::BAD_REQUEST,
            "mode is one of up, down, slow (with ms), lose_answers\n",
        ),
    }
}

async fn state(State(platform): SharedState) -> Json<Value> {
    Json(state_json(&platform))
}

/// Returns the revision, the mode and the call counts as JSON.
pub fn state_json(platform: &Shared) -> Value {
    let calls = platform.calls().clone();
    json!({
        "revision": platform.store().header().revision,
        "mode": *platform.mode.borrow(),
        "calls": calls.by_kind,
        "calls_total": calls.total(),
    })
}

fn lease_response(store: &Store, id: i64, ttl: i64) -> LeaseResponse {
    LeaseResponse {
        header: store.header(),
        id,
        ttl,
    }
}

/// Parses a request body; the error is an etcd error response with status 400.
#[expect(
    clippy::result_large_err,
    reason = "the error is the response that is sent"
)]
fn parse<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, Response> {
    serde_json::from_slice(body).map_err(|e| {
        let error = json!({ "error": e.to_string(), "code": 3, "message": e.to_string() });
        (StatusCode::BAD_REQUEST, Json(error)).into_response()
    })
}

fn lease_not_found() -> Response {
    let message = "etcdserver: requested lease not found";
    let error = json!({ "error": message, "code": 5, "message": message });
    (StatusCode::NOT_FOUND, Json(error)).into_response()
}

/// Returns a response whose body fails, so that the connection drops after the response head.
fn drop_connection() -> Response {
    let reset = stream::once(async {
        Err::<Bytes, std::io::Error>(std::io::ErrorKind::ConnectionReset.into())
    });
    let mut response = Response::new(Body::from_stream(reset));
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    response
}
