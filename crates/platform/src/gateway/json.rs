//! JSON requests and responses of the etcd gateway.
//!
//! Keys and values are base64, 64-bit integers are strings.

use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::de::Error;

use crate::entry::Entry;
use crate::entry::LeaseId;
use crate::entry::Revision;
use crate::entry::Swap;
use crate::entry::WatchEvent;
use crate::error::PlatformError;

/// 64-bit integer that the gateway writes as a string and also accepts as a number.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Int(pub(super) u64);

impl<'de> Deserialize<'de> for Int {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum Encoding {
            Number(u64),
            Text(String),
        }
        match Encoding::deserialize(deserializer)? {
            Encoding::Number(number) => Ok(Self(number)),
            Encoding::Text(text) => text.parse().map(Self).map_err(D::Error::custom),
        }
    }
}

fn encode(text: impl AsRef<[u8]>) -> String {
    STANDARD.encode(text)
}

fn decode(text: &str) -> Result<Vec<u8>, PlatformError> {
    STANDARD
        .decode(text)
        .map_err(|e| PlatformError::Unexpected(format!("bad base64: {e}")))
}

fn decode_key(text: &str) -> Result<String, PlatformError> {
    String::from_utf8(decode(text)?).map_err(|e| PlatformError::Unexpected(format!("bad key: {e}")))
}

/// Returns the exclusive, encoded end of the range of keys that start with `prefix`.
///
/// A prefix without a successor gives the end of all keys, which etcd writes as one zero byte.
fn range_end(prefix: &str) -> String {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return encode(end);
        }
    }
    encode([0])
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct Header {
    pub(super) revision: Int,
}

#[derive(Debug, Serialize)]
pub(super) struct RangeRequest {
    key: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    range_end: Option<String>,
}

impl RangeRequest {
    pub(super) fn key(key: &str) -> Self {
        Self {
            key: encode(key),
            range_end: None,
        }
    }

    pub(super) fn prefix(prefix: &str) -> Self {
        Self {
            key: encode(prefix),
            range_end: Some(range_end(prefix)),
        }
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct KeyValue {
    key: String,
    value: String,
    mod_revision: Int,
}

impl TryFrom<KeyValue> for Entry {
    type Error = PlatformError;

    fn try_from(kv: KeyValue) -> Result<Self, PlatformError> {
        Ok(Self {
            key: decode_key(&kv.key)?,
            value: Bytes::from(decode(&kv.value)?),
            revision: Revision(kv.mod_revision.0),
        })
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct RangeResponse {
    pub(super) header: Header,
    pub(super) kvs: Vec<KeyValue>,
}

#[derive(Debug, Serialize)]
pub(super) struct PutRequest {
    key: String,
    value: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    lease: Option<String>,
}

impl PutRequest {
    pub(super) fn new(key: &str, value: &[u8], lease: Option<LeaseId>) -> Self {
        Self {
            key: encode(key),
            value: encode(value),
            lease: lease.map(|lease| lease.0.to_string()),
        }
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct PutResponse {
    pub(super) header: Header,
}

#[derive(Debug, Serialize)]
pub(super) struct Compare {
    key: String,
    target: &'static str,
    result: &'static str,
    mod_revision: String,
}

#[derive(Debug, Serialize)]
pub(super) enum Operation {
    #[serde(rename = "requestPut")]
    Put(PutRequest),
    #[serde(rename = "requestRange")]
    Range(RangeRequest),
}

#[derive(Debug, Serialize)]
pub(super) struct TxnRequest {
    compare: Vec<Compare>,
    success: Vec<Operation>,
    failure: Vec<Operation>,
}

impl TxnRequest {
    pub(super) fn swap(key: &str, expected: Revision, value: &[u8]) -> Self {
        let compare = Compare {
            key: encode(key),
            target: "MOD",
            result: "EQUAL",
            mod_revision: expected.0.to_string(),
        };
        Self {
            compare: vec![compare],
            success: vec![Operation::Put(PutRequest::new(key, value, None))],
            failure: vec![Operation::Range(RangeRequest::key(key))],
        }
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct TxnResponse {
    header: Header,
    succeeded: bool,
    responses: Vec<OperationResponse>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct OperationResponse {
    #[serde(alias = "responseRange")]
    response_range: Option<RangeResponse>,
}

impl TxnResponse {
    pub(super) fn into_swap(self) -> Result<Swap, PlatformError> {
        if self.succeeded {
            return Ok(Swap::Done(Revision(self.header.revision.0)));
        }
        let ranges = self.responses.into_iter().filter_map(|r| r.response_range);
        let current = ranges.flat_map(|range| range.kvs).next();
        Ok(Swap::Conflict(current.map(Entry::try_from).transpose()?))
    }
}

#[derive(Debug, Serialize)]
pub(super) struct GrantRequest {
    #[serde(rename = "TTL")]
    ttl: String,
    #[serde(rename = "ID")]
    id: String,
}

impl GrantRequest {
    pub(super) fn new(ttl: Duration) -> Self {
        Self {
            ttl: ttl.as_secs().max(1).to_string(),
            id: "0".to_owned(),
        }
    }
}

#[derive(Debug, Deserialize)]
pub(super) struct GrantResponse {
    #[serde(rename = "ID")]
    pub(super) id: Int,
}

#[derive(Debug, Serialize)]
pub(super) struct KeepaliveRequest {
    #[serde(rename = "ID")]
    id: String,
}

impl KeepaliveRequest {
    pub(super) fn new(lease: LeaseId) -> Self {
        Self {
            id: lease.0.to_string(),
        }
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct KeepaliveResponse {
    result: Renewal,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Renewal {
    #[serde(rename = "TTL")]
    ttl: Int,
}

impl KeepaliveResponse {
    pub(super) fn remaining_ttl(&self) -> Option<Duration> {
        (self.result.ttl.0 > 0).then(|| Duration::from_secs(self.result.ttl.0))
    }
}

#[derive(Debug, Serialize)]
pub(super) struct WatchRequest {
    create_request: WatchCreate,
}

#[derive(Debug, Serialize)]
struct WatchCreate {
    key: String,
    range_end: String,
    start_revision: String,
}

impl WatchRequest {
    pub(super) fn prefix(prefix: &str, from: Revision) -> Self {
        Self {
            create_request: WatchCreate {
                key: encode(prefix),
                range_end: range_end(prefix),
                start_revision: from.0.to_string(),
            },
        }
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct WatchResponse {
    pub(super) result: WatchResult,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct WatchResult {
    pub(super) canceled: bool,
    pub(super) events: Vec<Event>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct Event {
    #[serde(rename = "type")]
    kind: EventKind,
    kv: KeyValue,
}

#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
enum EventKind {
    #[default]
    Put,
    Delete,
}

impl TryFrom<Event> for WatchEvent {
    type Error = PlatformError;

    fn try_from(event: Event) -> Result<Self, PlatformError> {
        match event.kind {
            EventKind::Put => Ok(Self::Put(Entry::try_from(event.kv)?)),
            EventKind::Delete => Ok(Self::Delete(decode_key(&event.kv.key)?)),
        }
    }
}
