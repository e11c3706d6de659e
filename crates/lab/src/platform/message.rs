//! Messages of the etcd JSON gateway, with 64-bit integers as strings and bytes as base64.

use serde::Deserialize;
use serde::Serialize;

use super::encoding::base64_bytes;
use super::encoding::int64;

/// Header of every response.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Header {
    /// Revision of the store at the time of the response.
    #[serde(with = "int64")]
    pub revision: i64,
}

/// Key with its value, revisions and lease.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct KeyValue {
    /// Key.
    #[serde(with = "base64_bytes")]
    pub key: Vec<u8>,
    /// Value.
    #[serde(with = "base64_bytes")]
    pub value: Vec<u8>,
    /// Revision at which the key was created.
    #[serde(with = "int64")]
    pub create_revision: i64,
    /// Revision of the last write to the key.
    #[serde(with = "int64")]
    pub mod_revision: i64,
    /// Number of writes to the key since its creation, which counts as 1.
    #[serde(with = "int64")]
    pub version: i64,
    /// Lease whose end deletes the key, 0 for none.
    #[serde(with = "int64")]
    pub lease: i64,
}

/// Request to read or delete a key or a range of keys.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeRequest {
    /// First key of the range.
    #[serde(with = "base64_bytes")]
    pub key: Vec<u8>,
    /// Exclusive end of the range; empty for the one key, a zero byte for every key from `key` on.
    #[serde(with = "base64_bytes")]
    pub range_end: Vec<u8>,
    /// Maximum number of keys to return, 0 for no limit.
    #[serde(with = "int64")]
    pub limit: i64,
}

impl RangeRequest {
    /// Returns whether a key lies in the range.
    #[must_use]
    pub fn contains(&self, key: &[u8]) -> bool {
        match self.range_end.as_slice() {
            [] => key == self.key,
            [0] => key >= self.key.as_slice(),
            end => key >= self.key.as_slice() && key < end,
        }
    }
}

/// Response to a range request.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeResponse {
    /// Response header.
    pub header: Header,
    /// Keys found, up to the limit.
    pub kvs: Vec<KeyValue>,
    /// Whether the limit left keys out.
    pub more: bool,
    /// Number of keys in the range, without the limit.
    #[serde(with = "int64")]
    pub count: i64,
}

/// Request to write a key.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct PutRequest {
    /// Key.
    #[serde(with = "base64_bytes")]
    pub key: Vec<u8>,
    /// Value.
    #[serde(with = "base64_bytes")]
    pub value: Vec<u8>,
    /// Lease whose end deletes the key, 0 for none.
    #[serde(with = "int64")]
    pub lease: i64,
}

/// Property of a key that a comparison examines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum CompareTarget {
    /// Number of writes to the key since its creation.
    #[default]
    Version,
    /// Revision at which the key was created.
    Create,
    /// Revision of the last write to the key.
    Mod,
    /// Value of the key.
    Value,
    /// Lease of the key.
    Lease,
}

/// Relation of the stored property to the operand of the comparison.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum CompareResult {
    /// They are equal.
    #[default]
    Equal,
    /// The stored property is greater.
    Greater,
    /// The stored property is less.
    Less,
    /// They are not equal.
    NotEqual,
}

/// Condition of a transaction; only the operand that `target` names is used.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Compare {
    /// Key.
    #[serde(with = "base64_bytes")]
    pub key: Vec<u8>,
    /// Property to compare.
    pub target: CompareTarget,
    /// Required relation.
    pub result: CompareResult,
    /// Operand for [`CompareTarget::Version`].
    #[serde(with = "int64")]
    pub version: i64,
    /// Operand for [`CompareTarget::Create`].
    #[serde(with = "int64")]
    pub create_revision: i64,
    /// Operand for [`CompareTarget::Mod`].
    #[serde(with = "int64")]
    pub mod_revision: i64,
    /// Operand for [`CompareTarget::Value`].
    #[serde(with = "base64_bytes")]
    pub value: Vec<u8>,
    /// Operand for [`CompareTarget::Lease`].
    #[serde(with = "int64")]
    pub lease: i64,
}

/// Operation of a transaction, under either spelling of its field name.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum RequestOp {
    /// Reads a key or a range of keys.
    #[serde(rename = "request_range", alias = "requestRange")]
    Range(RangeRequest),
    /// Writes a key.
    #[serde(rename = "request_put", alias = "requestPut")]
    Put(PutRequest),
    /// Deletes a key or a range of keys.
    #[serde(rename = "request_delete_range", alias = "requestDeleteRange")]
    DeleteRange(RangeRequest),
}

/// Request that evaluates conditions and runs one of two lists of operations.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct TxnRequest {
    /// Conditions, all of which must hold for `success`.
    pub compare: Vec<Compare>,
    /// Operations to run if every condition holds.
    pub success: Vec<RequestOp>,
    /// Operations to run if a condition does not hold.
    pub failure: Vec<RequestOp>,
}

/// Result of an operation in a transaction.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum ResponseOp {
    /// Result of a read.
    #[serde(rename = "response_range")]
    Range(RangeResponse),
    /// Result of a write.
    #[serde(rename = "response_put")]
    Put {
        /// Response header.
        header: Header,
    },
    /// Result of a deletion.
    #[serde(rename = "response_delete_range")]
    DeleteRange {
        /// Response header.
        header: Header,
        /// Number of keys deleted.
        #[serde(with = "int64")]
        deleted: i64,
    },
}

/// Response to a transaction.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TxnResponse {
    /// Response header.
    pub header: Header,
    /// Whether every condition held.
    pub succeeded: bool,
    /// Results of the operations, in their order.
    pub responses: Vec<ResponseOp>,
}

/// Request to grant, renew or end a lease.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseRequest {
    /// Identifier of the lease; 0 in a grant lets the store choose one.
    #[serde(rename = "ID", alias = "id", with = "int64")]
    pub id: i64,
    /// Requested time to live in seconds; used by a grant only.
    #[serde(rename = "TTL", alias = "ttl", with = "int64")]
    pub ttl: i64,
}

/// Response to a grant or renewal; a `TTL` of 0 means that the lease does not exist.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LeaseResponse {
    /// Response header.
    pub header: Header,
    /// Identifier of the lease.
    #[serde(rename = "ID", with = "int64")]
    pub id: i64,
    /// Remaining time to live in seconds.
    #[serde(rename = "TTL", with = "int64")]
    pub ttl: i64,
}

/// Request to start a watch.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct WatchRequest {
    /// Keys and first revision to watch.
    pub create_request: WatchCreate,
}

/// Keys that a watch covers, and the revision at which it starts.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct WatchCreate {
    /// First key of the range.
    #[serde(with = "base64_bytes")]
    pub key: Vec<u8>,
    /// Exclusive end of the range, as in [`RangeRequest::range_end`].
    #[serde(with = "base64_bytes")]
    pub range_end: Vec<u8>,
    /// First revision to report, 0 for the next one.
    #[serde(with = "int64")]
    pub start_revision: i64,
}
