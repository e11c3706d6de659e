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

/// Longest time that a call may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Events that a watch may hold back before it waits for its reader.
const WATCH_EVENTS: usize = 1024;

/// Store behind the JSON gateway of the etcd v3 API.
#[derive(Debug)]
pub struct Gateway {
    http: reqwest::Client,
    endpoints: Vec<String>,
    current: AtomicUsize,
    calls: CallCounts,
}

impl Gateway {
    /// Creates a client of the gateways at `endpoints`, tried in turn.
    ///
    /// # Errors
    ///
    /// Fails if the HTTP client cannot be set up.
    pub fn new(
        endpoints: impl IntoIterator<Item = impl Into<String>>,
    ) -> Result<Self, PlatformError> {
        Self::with_source(endpoints, None)
    }

    /// Creates a client whose connections leave from `source`, if one is given.
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
            current: AtomicUsize::new(0),
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
            let answer = self.send(path, body).await?;
            answer.json().await.map_err(|e| unanswered(&e))
        };
        self.bounded(kind, read).await
    }

    /// Counts a call, holds it to its deadline and turns to the next endpoint if it fails.
    async fn bounded<T>(
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
            self.current.fetch_add(1, Ordering::Relaxed);
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
        let answer = request.send().await.map_err(|e| unanswered(&e))?;
        if answer.status().is_success() {
            return Ok(answer);
        }
        Err(PlatformError::Unexpected(format!(
            "status {}",
            answer.status()
        )))
    }

    fn endpoint(&self) -> Option<&str> {
        let turn = self.current.load(Ordering::Relaxed);
        let index = turn.checked_rem(self.endpoints.len())?;
        self.endpoints
            .get(index)
            .map(|url| url.trim_end_matches('/'))
    }
}

fn unanswered(e: &reqwest::Error) -> PlatformError {
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
        let answer: json::RangeAnswer = self.call(CallKind::Range, "/v3/kv/range", &body).await?;
        answer
            .kvs
            .into_iter()
            .next()
            .map(Entry::try_from)
            .transpose()
    }

    async fn list(&self, prefix: &str) -> Result<Listing, PlatformError> {
        let body = json::RangeRequest::prefix(prefix);
        let answer: json::RangeAnswer = self.call(CallKind::Range, "/v3/kv/range", &body).await?;
        let entries = answer.kvs.into_iter().map(Entry::try_from);
        Ok(Listing {
            revision: Revision(answer.header.revision.0),
            entries: entries.collect::<Result<_, _>>()?,
        })
    }

    async fn put(
        &self,
        key: &str,
        value: Bytes,
        lease: Option<LeaseId>,
    ) -> Result<Revision, PlatformError> {
        let body = json::PutRequest::new(key, &value, lease);
        let answer: json::PutAnswer = self.call(CallKind::Put, "/v3/kv/put", &body).await?;
        Ok(Revision(answer.header.revision.0))
    }

    async fn swap(
        &self,
        key: &str,
        expected: Revision,
        value: Bytes,
    ) -> Result<Swap, PlatformError> {
        let body = json::TxnRequest::swap(key, expected, &value);
        let answer: json::TxnAnswer = self.call(CallKind::Txn, "/v3/kv/txn", &body).await?;
        answer.into_swap()
    }

    async fn lease_grant(&self, ttl: Duration) -> Result<LeaseId, PlatformError> {
        let body = json::GrantRequest::new(ttl);
        let answer: json::GrantAnswer =
            self.call(CallKind::Lease, "/v3/lease/grant", &body).await?;
        Ok(LeaseId(answer.id.0))
    }

    async fn lease_keepalive(&self, lease: LeaseId) -> Result<Option<Duration>, PlatformError> {
        let body = json::KeepaliveRequest::new(lease);
        let answer: json::KeepaliveAnswer = self
            .call(CallKind::Lease, "/v3/lease/keepalive", &body)
            .await?;
        Ok(answer.time_left())
    }

    async fn watch(
        &self,
        prefix: &str,
        from: Revision,
    ) -> Result<mpsc::Receiver<WatchEvent>, PlatformError> {
        let body = json::WatchRequest::prefix(prefix, from);
        let answer = self
            .bounded(CallKind::Watch, self.send("/v3/watch", &body))
            .await?;
        let (send, recv) = mpsc::channel(WATCH_EVENTS);
        tokio::spawn(stream::forward(answer.bytes_stream(), send));
        Ok(recv)
    }

    fn calls(&self) -> &CallCounts {
        &self.calls
    }
}
