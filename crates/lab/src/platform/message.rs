//! Messages of the JSON gateway: 64-bit integers may be strings, bytes are base64.

use serde::Deserialize;
use serde::Serialize;

use super::encoding::base64_bytes;
use super::encoding::int64;

/// Header of every answer.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Header {
    /// Revision of the store.
    #[serde(with = "int64")]
    pub revision: i64,
}

/// Key with its value and revisions.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct KeyValue {
    /// Key.
    #[serde(with = "base64_bytes")]
    pub key: Vec<u8>,
    /// Value.
    #[serde(with = "base64_bytes")]
    pub value: Vec<u8>,
    /// Revision of the key's creation.
    #[serde(with = "int64")]
    pub create_revision: i64,
    /// Revision of the key's last change.
    #[serde(with = "int64")]
    pub mod_revision: i64,
    /// Changes since the key's creation.
    #[serde(with = "int64")]
    pub version: i64,
    /// Lease that the key ends with, 0 for none.
    #[serde(with = "int64")]
    pub lease: i64,
}

/// Asks for a key, a range or a prefix; also for their deletion.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeRequest {
    /// First key.
    #[serde(with = "base64_bytes")]
    pub key: Vec<u8>,
    /// End of the range, exclusive; empty for the one key, a zero byte for all from it on.
    #[serde(with = "base64_bytes")]
    pub range_end: Vec<u8>,
    /// Most keys to return, 0 for all.
    #[serde(with = "int64")]
    pub limit: i64,
}

impl RangeRequest {
    /// Tells whether a key lies in the range.
    #[must_use]
    pub fn covers(&self, key: &[u8]) -> bool {
        match self.range_end.as_slice() {
            [] => key == self.key,
            [0] => key >= self.key.as_slice(),
            end => key >= self.key.as_slice() && key < end,
        }
    }
}

/// Answer to a range request.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeResponse {
    /// Header.
    pub header: Header,
    /// Keys found.
    pub kvs: Vec<KeyValue>,
    /// Whether the limit cut the answer.
    pub more: bool,
    /// Keys in the range.
    #[serde(with = "int64")]
    pub count: i64,
}

/// Writes a key.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct PutRequest {
    /// Key.
    #[serde(with = "base64_bytes")]
    pub key: Vec<u8>,
    /// Value.
    #[serde(with = "base64_bytes")]
    pub value: Vec<u8>,
    /// Lease that the key ends with, 0 for none.
    #[serde(with = "int64")]
    pub lease: i64,
}

/// What a comparison looks at.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum CompareTarget {
    /// Changes since the key's creation.
    #[default]
    Version,
    /// Revision of the key's creation.
    Create,
    /// Revision of the key's last change.
    Mod,
    /// Value.
    Value,
    /// Lease.
    Lease,
}

/// How the two sides must relate.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum CompareResult {
    /// Same.
    #[default]
    Equal,
    /// The store's is greater.
    Greater,
    /// The store's is less.
    Less,
    /// Different.
    NotEqual,
}

/// Comparison of a transaction.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Compare {
    /// Key.
    #[serde(with = "base64_bytes")]
    pub key: Vec<u8>,
    /// What to look at.
    pub target: CompareTarget,
    /// How it must relate.
    pub result: CompareResult,
    /// Version to compare with.
    #[serde(with = "int64")]
    pub version: i64,
    /// Revision to compare with.
    #[serde(with = "int64")]
    pub create_revision: i64,
    /// Revision to compare with.
    #[serde(with = "int64")]
    pub mod_revision: i64,
    /// Value to compare with.
    #[serde(with = "base64_bytes")]
    pub value: Vec<u8>,
    /// Lease to compare with.
    #[serde(with = "int64")]
    pub lease: i64,
}

/// Operation of a transaction.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum RequestOp {
    /// Reads.
    #[serde(rename = "request_range", alias = "requestRange")]
    Range(RangeRequest),
    /// Writes.
    #[serde(rename = "request_put", alias = "requestPut")]
    Put(PutRequest),
    /// Deletes.
    #[serde(rename = "request_delete_range", alias = "requestDeleteRange")]
    DeleteRange(RangeRequest),
}

/// Compares, then runs one of two lists of operations.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct TxnRequest {
    /// Comparisons, all of which must hold.
    pub compare: Vec<Compare>,
    /// Operations if they hold.
    pub success: Vec<RequestOp>,
    /// Operations if one does not.
    pub failure: Vec<RequestOp>,
}

/// Result of an operation.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum ResponseOp {
    /// Result of a read.
    #[serde(rename = "response_range")]
    Range(RangeResponse),
    /// Result of a write.
    #[serde(rename = "response_put")]
    Put {
        /// Header.
        header: Header,
    },
    /// Result of a deletion.
    #[serde(rename = "response_delete_range")]
    DeleteRange {
        /// Header.
        header: Header,
        /// Keys that were deleted.
        #[serde(with = "int64")]
        deleted: i64,
    },
}

/// Answer to a transaction.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TxnResponse {
    /// Header.
    pub header: Header,
    /// Whether every comparison held.
    pub succeeded: bool,
    /// Results of the operations that ran.
    pub responses: Vec<ResponseOp>,
}

/// Grants, renews or ends a lease.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseRequest {
    /// Identifier; 0 lets the store choose at a grant.
    #[serde(rename = "ID", alias = "id", with = "int64")]
    pub id: i64,
    /// Seconds that a grant lasts without renewal.
    #[serde(rename = "TTL", alias = "ttl", with = "int64")]
    pub ttl: i64,
}

/// Answer to a lease request; a `TTL` of 0 says that the lease does not exist.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LeaseResponse {
    /// Header.
    pub header: Header,
    /// Identifier.
    #[serde(rename = "ID", with = "int64")]
    pub id: i64,
    /// Seconds left.
    #[serde(rename = "TTL", with = "int64")]
    pub ttl: i64,
}

/// Starts a watch.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct WatchRequest {
    /// What to watch.
    pub create_request: WatchCreate,
}

/// What a watch covers.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct WatchCreate {
    /// First key.
    #[serde(with = "base64_bytes")]
    pub key: Vec<u8>,
    /// End of the range, as in a range request.
    #[serde(with = "base64_bytes")]
    pub range_end: Vec<u8>,
    /// First revision to report, 0 for whatever comes next.
    #[serde(with = "int64")]
    pub start_revision: i64,
}
