//! Client of the JSON gateway of the etcd v3 API.

mod json;
mod stream;

use std::net::IpAddr;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::mpsc;

use crate::calls::CallCounts;
use crate::calls::CallKind;
use crate::entry::Entry;
use crate::entry::LeaseId;
use crate::entry::Listing;
use crate::entry::Revision;
use crate::entry::Swap;
use crate::entry::WatchEvent;
use crate::error::PlatformError;
use crate::store::Platform;

/// Longest time that a call may take; a watch only has to start within it.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Events buffered for the receiver of a watch before the watch stops reading.
const WATCH_BUFFER_EVENTS: usize = 1024;

/// Client of an etcd cluster through the JSON gateways of its members.
///
/// Calls go to one endpoint until a call fails, then to the next.
#[derive(Debug)]
pub struct Gateway {
    http: reqwest::Client,
    endpoints: Vec<String>,
    /// Number of endpoint changes; modulo the number of endpoints, the index of the current one.
    endpoint_turn: AtomicUsize,
    calls: CallCounts,
}

impl Gateway {
    /// Creates a client of the gateways at `endpoints`, which are base URLs tried in turn.
    ///
    /// # Errors
    ///
    /// Fails if the HTTP client cannot be set up.
    pub fn new(
        endpoints: impl IntoIterator<Item = impl Into<String>>,
    ) -> Result<Self, PlatformError> {
        Self::with_source(endpoints, None)
    }

    /// Creates a client whose connections use the local address `source`, if one is given.
    ///
    /// # Errors
    ///
    /// Fails if the HTTP client cannot be set up.
    pub fn with_source(
        endpoints: impl IntoIterator<Item = impl Into<String>>,
        source: Option<IpAddr>,
    ) -> Result<Self, PlatformError> {
        let http = reqwest::Client::builder()
            .no_proxy()
            .local_address(source)
            .connect_timeout(CONNECT_TIMEOUT)
            .build()
            .map_err(|e| PlatformError::Unreachable(e.to_string()))?;
        Ok(Self {
            http,
            endpoints: endpoints.into_iter().map(Into::into).collect(),
            endpoint_turn: AtomicUsize::new(0),
            calls: CallCounts::default(),
        })
    }

    async fn call<T: DeserializeOwned>(
        &self,
        kind: CallKind,
        path: &str,
        body: &(impl Serialize + Sync),
    ) -> Result<T, PlatformError> {
        let read = async {
            let response = self.send(path, body).await?;
            response.json().await.map_err(|e| call_error(&e))
        };
        self.with_deadline(kind, read).await
    }

    /// Counts a call, bounds it by [`CALL_TIMEOUT`] and moves to the next endpoint if it fails.
    async fn with_deadline<T>(
        &self,
        kind: CallKind,
        call: impl Future<Output = Result<T, PlatformError>> + Send,
    ) -> Result<T, PlatformError> {
        self.calls.count(kind);
        let result = match tokio::time::timeout(CALL_TIMEOUT, call).await {
            Ok(result) => result,
            Err(_) => Err(PlatformError::Unanswered("deadline passed".to_owned())),
        };
        if result.is_err() {
            self.calls.count_failure();
            self.endpoint_turn.fetch_add(1, Ordering::Relaxed);
        }
        result
    }

    async fn send(
        &self,
        path: &str,
        body: &(impl Serialize + Sync),
    ) -> Result<reqwest::Response, PlatformError> {
        let Some(endpoint) = self.endpoint() else {
            return Err(PlatformError::Unreachable("no endpoint".to_owned()));
        };
        let request = self.http.post(format!("{endpoint}{path}")).json(body);
        let response = request.send().await.map_err(|e| call_error(&e))?;
        if response.status().is_success() {
            return Ok(response);
        }
        Err(PlatformError::Unexpected(format!(
            "status {}",
            response.status()
        )))
    }

    fn endpoint(&self) -> Option<&str> {
        let turn = self.endpoint_turn.load(Ordering::Relaxed);
        let index = turn.checked_rem(self.endpoints.len())?;
        self.endpoints
            .get(index)
            .map(|url| url.trim_end_matches('/'))
    }
}

/// Returns an entry of a list, or logs why it cannot be read; the others hold.
fn readable(kv: json::KeyValue) -> Option<Entry> {
    match Entry::try_from(kv) {
        Ok(entry) => Some(entry),
        Err(e) => {
            tracing::warn!(event = "entry_rejected", error = %e);
            None
        }
    }
}

fn call_error(e: &reqwest::Error) -> PlatformError {
    if e.is_connect() {
        PlatformError::Unreachable(e.to_string())
    } else {
        PlatformError::Unanswered(e.to_string())
    }
}

#[async_trait]
impl Platform for Gateway {
    async fn get(&self, key: &str) -> Result<Option<Entry>, PlatformError> {
        let body = json::RangeRequest::key(key);
        let response: json::RangeResponse =
            self.call(CallKind::Range, "/v3/kv/range", &body).await?;
        response
            .kvs
            .into_iter()
            .next()
            .map(Entry::try_from)
            .transpose()
    }

    async fn list(&self, prefix: &str) -> Result<Listing, PlatformError> {
        let body = json::RangeRequest::prefix(prefix);
        let response: json::RangeResponse =
            self.call(CallKind::Range, "/v3/kv/range", &body).await?;
        Ok(Listing {
            revision: Revision(response.header.revision.0),
            entries: response.kvs.into_iter().filter_map(readable).collect(),
        })
    }

    async fn put(
        &self,
        key: &str,
        value: Bytes,
        lease: Option<LeaseId>,
    ) -> Result<Revision, PlatformError> {
        let body = json::PutRequest::new(key, &value, lease);
        let response: json::PutResponse = self.call(CallKind::Put, "/v3/kv/put", &body).await?;
        Ok(Revision(response.header.revision.0))
    }

    async fn swap(
        &self,
        key: &str,
        expected: Revision,
        value: Bytes,
    ) -> Result<Swap, PlatformError> {
        let body = json::TxnRequest::swap(key, expected, &value);
        let response: json::TxnResponse = self.call(CallKind::Txn, "/v3/kv/txn", &body).await?;
        response.into_swap()
    }

    async fn lease_grant(&self, ttl: Duration) -> Result<LeaseId, PlatformError> {
        let body = json::GrantRequest::new(ttl);
        let response: json::GrantResponse =
            self.call(CallKind::Lease, "/v3/lease/grant", &body).await?;
        Ok(LeaseId(response.id.0))
    }

    async fn lease_keepalive(&self, lease: LeaseId) -> Result<Option<Duration>, PlatformError> {
        let body = json::KeepaliveRequest::new(lease);
        let response: json::KeepaliveResponse = self
            .call(CallKind::Lease, "/v3/lease/keepalive", &body)
            .await?;
        Ok(response.remaining_ttl())
    }

    async fn watch(
        &self,
        prefix: &str,
        from: Revision,
    ) -> Result<mpsc::Receiver<WatchEvent>, PlatformError> {
        let body = json::WatchRequest::prefix(prefix, from);
        let response = self
            .with_deadline(CallKind::Watch, self.send("/v3/watch", &body))
            .await?;
        let (send, recv) = mpsc::channel(WATCH_BUFFER_EVENTS);
        tokio::spawn(stream::forward(response.bytes_stream(), send));
        Ok(recv)
    }

    fn calls(&self) -> &CallCounts {
        &self.calls
    }
}
