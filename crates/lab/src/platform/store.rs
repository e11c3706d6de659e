//! Key-value store with revisions, transactions and leases; the caller passes the time.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use super::message::Compare;
use super::message::CompareResult;
use super::message::CompareTarget;
use super::message::Header;
use super::message::KeyValue;
use super::message::PutRequest;
use super::message::RangeRequest;
use super::message::RangeResponse;
use super::message::RequestOp;
use super::message::ResponseOp;
use super::message::TxnRequest;
use super::message::TxnResponse;

/// Stored value of a key with its revisions and lease.
#[derive(Debug, Clone)]
struct Record {
    value: Vec<u8>,
    create_revision: i64,
    mod_revision: i64,
    version: i64,
    lease: i64,
}

impl Record {
    fn to_key_value(&self, key: &[u8]) -> KeyValue {
        KeyValue {
            key: key.to_vec(),
            value: self.value.clone(),
            create_revision: self.create_revision,
            mod_revision: self.mod_revision,
            version: self.version,
            lease: self.lease,
        }
    }
}

/// Lease with its time to live and its current expiry.
#[derive(Debug, Clone)]
struct Lease {
    ttl: Duration,
    expires_at: Instant,
}

/// Change of one key.
#[derive(Debug, Clone)]
pub struct Event {
    /// Whether the key was deleted.
    pub deleted: bool,
    /// Key after the change; a deletion carries the key and the revision only.
    pub kv: KeyValue,
}

/// In-memory key-value store with its complete change history.
#[derive(Debug, Default)]
pub struct Store {
    revision: i64,
    records: BTreeMap<Vec<u8>, Record>,
    leases: BTreeMap<i64, Lease>,
    last_lease: i64,
    history: Vec<Event>,
}

impl Store {
    /// Returns the header for a response at the current revision.
    #[must_use]
    pub fn header(&self) -> Header {
        Header {
            revision: self.revision,
        }
    }

    /// Reads a key or a range of keys.
    #[must_use]
    pub fn range(&self, request: &RangeRequest) -> RangeResponse {
        let found = self.records.iter().filter(|(key, _)| request.contains(key));
        let all: Vec<KeyValue> = found
            .map(|(key, record)| record.to_key_value(key))
            .collect();
        let count = i64::try_from(all.len()).unwrap_or(i64::MAX);
        let limit = usize::try_from(request.limit).unwrap_or(0);
        let more = limit > 0 && all.len() > limit;
        let mut kvs = all;
        if more {
            kvs.truncate(limit);
        }
        RangeResponse {
            header: self.header(),
            kvs,
            more,
            count,
        }
    }

    /// Writes a key; returns `None` if its lease does not exist.
    pub fn put(&mut self, request: &PutRequest) -> Option<Header> {
        if request.lease != 0 && !self.leases.contains_key(&request.lease) {
            return None;
        }
        self.revision += 1;
        self.write(request);
        Some(self.header())
    }

    /// Deletes a key or a range of keys and returns the number of deleted keys.
    pub fn delete(&mut self, request: &RangeRequest) -> i64 {
        let found = self.records.keys().filter(|key| request.contains(key));
        let keys: Vec<Vec<u8>> = found.cloned().collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        self.remove(&keys);
        i64::try_from(keys.len()).unwrap_or(i64::MAX)
    }

    /// Runs the `success` operations if every condition holds, or else the `failure` operations.
    ///
    /// All writes get the same revision. Returns `None`, and runs nothing, if an operation names a
    /// lease that does not exist.
    pub fn txn(&mut self, request: &TxnRequest) -> Option<TxnResponse> {
        let succeeded = request
            .compare
            .iter()
            .all(|condition| self.holds(condition));
        let ops = if succeeded {
            &request.success
        } else {
            &request.failure
        };
        let lease_exists = |op: &RequestOp| match op {
            RequestOp::Put(put) => put.lease == 0 || self.leases.contains_key(&put.lease),
            RequestOp::Range(_) | RequestOp::DeleteRange(_) => true,
        };
        if !ops.iter().all(lease_exists) {
            return None;
        }
        if ops.iter().any(|op| !matches!(op, RequestOp::Range(_))) {
            self.revision += 1;
        }
        let responses = ops.iter().map(|op| self.apply(op)).collect();
        Some(TxnResponse {
            header: self.header(),
            succeeded,
            responses,
        })
    }

    /// Grants a lease and returns its identifier; `requested` 0 lets the store choose it.
    pub fn grant(&mut self, requested: i64, ttl: Duration, now: Instant) -> i64 {
        let id = if requested == 0 {
            self.last_lease += 1;
            self.last_lease
        } else {
            requested
        };
        let expires_at = now + ttl;
        self.leases.insert(id, Lease { ttl, expires_at });
        id
    }

    /// Renews a lease and returns its time to live; `None` if it no longer exists.
    pub fn keep_alive(&mut self, id: i64, now: Instant) -> Option<Duration> {
        let lease = self.leases.get_mut(&id)?;
        lease.expires_at = now + lease.ttl;
        Some(lease.ttl)
    }

    /// Ends a lease and deletes its keys; returns `false` if it does not exist.
    pub fn revoke(&mut self, id: i64) -> bool {
        if self.leases.remove(&id).is_none() {
            return false;
        }
        let attached = self.records.iter().filter(|(_, record)| record.lease == id);
        let keys: Vec<Vec<u8>> = attached.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        self.remove(&keys);
        true
    }

    /// Ends every expired lease and returns whether there was one.
    pub fn expire(&mut self, now: Instant) -> bool {
        let expired = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at <= now);
        let expired: Vec<i64> = expired.map(|(id, _)| *id).collect();
        for id in &expired {
            self.revoke(*id);
        }
        !expired.is_empty()
    }

    /// Returns the changes since a revision, inclusive, to the keys in the range of `request`.
    #[must_use]
    pub fn events_since(&self, revision: i64, request: &RangeRequest) -> Vec<Event> {
        let start = self
            .history
            .partition_point(|event| event.kv.mod_revision < revision);
        let events = self.history[start..].iter();
        let events = events.filter(|event| request.contains(&event.kv.key));
        events.cloned().collect()
    }

    /// Runs one operation at the current revision.
    fn apply(&mut self, op: &RequestOp) -> ResponseOp {
        match op {
            RequestOp::Range(range) => ResponseOp::Range(self.range(range)),
            RequestOp::Put(put) => {
                self.write(put);
                ResponseOp::Put {
                    header: self.header(),
                }
            }
            RequestOp::DeleteRange(range) => {
                let found = self.records.keys().filter(|key| range.contains(key));
                let keys: Vec<Vec<u8>> = found.cloned().collect();
                self.remove(&keys);
                ResponseOp::DeleteRange {
                    header: self.header(),
                    deleted: i64::try_from(keys.len()).unwrap_or(i64::MAX),
                }
            }
        }
    }

    /// Evaluates a condition; a missing key has 0 for every number and fails every value condition.
    fn holds(&self, condition: &Compare) -> bool {
        use std::cmp::Ordering;
        let record = self.records.get(&condition.key);
        let number = |get: fn(&Record) -> i64| record.map_or(0, get);
        let ordering = match condition.target {
            CompareTarget::Version => number(|r| r.version).cmp(&condition.version),
            CompareTarget::Create => number(|r| r.create_revision).cmp(&condition.create_revision),
            CompareTarget::Mod => number(|r| r.mod_revision).cmp(&condition.mod_revision),
            CompareTarget::Lease => number(|r| r.lease).cmp(&condition.lease),
            CompareTarget::Value => match record {
                Some(record) => record.value.cmp(&condition.value),
                None => return false,
            },
        };
        match condition.result {
            CompareResult::Equal => ordering == Ordering::Equal,
            CompareResult::NotEqual => ordering != Ordering::Equal,
            CompareResult::Greater => ordering == Ordering::Greater,
            CompareResult::Less => ordering == Ordering::Less,
        }
    }

    /// Writes a key at the current revision and records the change.
    fn write(&mut self, request: &PutRequest) {
        let revision = self.revision;
        let previous = self.records.get(&request.key);
        let record = Record {
            value: request.value.clone(),
            create_revision: previous.map_or(revision, |record| record.create_revision),
            mod_revision: revision,
            version: previous.map_or(1, |record| record.version + 1),
            lease: request.lease,
        };
        self.history.push(Event {
            deleted: false,
            kv: record.to_key_value(&request.key),
        });
        self.records.insert(request.key.clone(), record);
    }

    /// Deletes keys at the current revision and records the changes.
    fn remove(&mut self, keys: &[Vec<u8>]) {
        for key in keys {
            self.records.remove(key);
            let kv = KeyValue {
                key: key.clone(),
                mod_revision: self.revision,
                ..KeyValue::default()
            };
            self.history.push(Event { deleted: true, kv });
        }
    }
}
