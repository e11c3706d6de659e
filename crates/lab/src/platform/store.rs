//! Key-value store with revisions, compare-and-swap and leases; time comes in as an argument.

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

/// Value of a key.
#[derive(Debug, Clone)]
struct Record {
    value: Vec<u8>,
    create_revision: i64,
    mod_revision: i64,
    version: i64,
    lease: i64,
}

impl Record {
    fn show(&self, key: &[u8]) -> KeyValue {
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

/// Lease with the keys that end with it.
#[derive(Debug, Clone)]
struct Lease {
    ttl: Duration,
    expires: Instant,
}

/// Change of one key.
#[derive(Debug, Clone)]
pub struct Event {
    /// Whether the key was deleted.
    pub deleted: bool,
    /// Key and value after the change.
    pub kv: KeyValue,
}

/// Store of the platform.
#[derive(Debug, Default)]
pub struct Store {
    revision: i64,
    records: BTreeMap<Vec<u8>, Record>,
    leases: BTreeMap<i64, Lease>,
    last_lease: i64,
    history: Vec<Event>,
}

impl Store {
    /// Returns the header that every answer carries.
    #[must_use]
    pub fn header(&self) -> Header {
        Header {
            revision: self.revision,
        }
    }

    /// Reads a key or a range of keys.
    #[must_use]
    pub fn range(&self, request: &RangeRequest) -> RangeResponse {
        let found = self.records.iter().filter(|(key, _)| request.covers(key));
        let all: Vec<KeyValue> = found.map(|(key, record)| record.show(key)).collect();
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

    /// Writes a key; `None` if its lease does not exist.
    pub fn put(&mut self, request: &PutRequest) -> Option<Header> {
        if request.lease != 0 && !self.leases.contains_key(&request.lease) {
            return None;
        }
        self.revision += 1;
        self.write(request);
        Some(self.header())
    }

    /// Deletes a key or a range of keys and returns how many there were.
    pub fn delete(&mut self, request: &RangeRequest) -> i64 {
        let found = self.records.keys().filter(|key| request.covers(key));
        let keys: Vec<Vec<u8>> = found.cloned().collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        self.remove(&keys);
        i64::try_from(keys.len()).unwrap_or(i64::MAX)
    }

    /// Runs one of two lists of operations, by whether every comparison holds.
    pub fn txn(&mut self, request: &TxnRequest) -> Option<TxnResponse> {
        let succeeded = request.compare.iter().all(|compare| self.holds(compare));
        let ops = if succeeded {
            &request.success
        } else {
            &request.failure
        };
        let known = |op: &RequestOp| match op {
            RequestOp::Put(put) => put.lease == 0 || self.leases.contains_key(&put.lease),
            RequestOp::Range(_) | RequestOp::DeleteRange(_) => true,
        };
        if !ops.iter().all(known) {
            return None;
        }
        if ops.iter().any(|op| !matches!(op, RequestOp::Range(_))) {
            self.revision += 1;
        }
        let responses = ops.iter().map(|op| self.run(op)).collect();
        Some(TxnResponse {
            header: self.header(),
            succeeded,
            responses,
        })
    }

    /// Grants a lease and returns its identifier.
    pub fn grant(&mut self, asked: i64, ttl: Duration, now: Instant) -> i64 {
        let id = if asked == 0 {
            self.last_lease += 1;
            self.last_lease
        } else {
            asked
        };
        let expires = now + ttl;
        self.leases.insert(id, Lease { ttl, expires });
        id
    }

    /// Renews a lease; `None` if it does not exist any more.
    pub fn keep_alive(&mut self, id: i64, now: Instant) -> Option<Duration> {
        let lease = self.leases.get_mut(&id)?;
        lease.expires = now + lease.ttl;
        Some(lease.ttl)
    }

    /// Ends a lease and deletes its keys; `false` if it does not exist.
    pub fn revoke(&mut self, id: i64) -> bool {
        if self.leases.remove(&id).is_none() {
            return false;
        }
        let held = self.records.iter().filter(|(_, record)| record.lease == id);
        let keys: Vec<Vec<u8>> = held.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        self.remove(&keys);
        true
    }

    /// Ends every lease whose time is over.
    pub fn expire(&mut self, now: Instant) -> bool {
        let over = self.leases.iter().filter(|(_, lease)| lease.expires <= now);
        let over: Vec<i64> = over.map(|(id, _)| *id).collect();
        for id in &over {
            self.revoke(*id);
        }
        !over.is_empty()
    }

    /// Returns the changes at or after a revision to the keys that `request` covers.
    #[must_use]
    pub fn events_since(&self, revision: i64, request: &RangeRequest) -> Vec<Event> {
        let start = self
            .history
            .partition_point(|event| event.kv.mod_revision < revision);
        let events = self.history[start..].iter();
        let events = events.filter(|event| request.covers(&event.kv.key));
        events.cloned().collect()
    }

    fn run(&mut self, op: &RequestOp) -> ResponseOp {
        match op {
            RequestOp::Range(range) => ResponseOp::Range(self.range(range)),
            RequestOp::Put(put) => {
                self.write(put);
                ResponseOp::Put {
                    header: self.header(),
                }
            }
            RequestOp::DeleteRange(range) => {
                let found = self.records.keys().filter(|key| range.covers(key));
                let keys: Vec<Vec<u8>> = found.cloned().collect();
                self.remove(&keys);
                ResponseOp::DeleteRange {
                    header: self.header(),
                    deleted: i64::try_from(keys.len()).unwrap_or(i64::MAX),
                }
            }
        }
    }

    fn holds(&self, compare: &Compare) -> bool {
        use std::cmp::Ordering;
        let record = self.records.get(&compare.key);
        let number = |of: fn(&Record) -> i64| record.map_or(0, of);
        let ordering = match compare.target {
            CompareTarget::Version => number(|r| r.version).cmp(&compare.version),
            CompareTarget::Create => number(|r| r.create_revision).cmp(&compare.create_revision),
            CompareTarget::Mod => number(|r| r.mod_revision).cmp(&compare.mod_revision),
            CompareTarget::Lease => number(|r| r.lease).cmp(&compare.lease),
            CompareTarget::Value => match record {
                Some(record) => record.value.cmp(&compare.value),
                None => return false,
            },
        };
        match compare.result {
            CompareResult::Equal => ordering == Ordering::Equal,
            CompareResult::NotEqual => ordering != Ordering::Equal,
            CompareResult::Greater => ordering == Ordering::Greater,
            CompareResult::Less => ordering == Ordering::Less,
        }
    }

    fn write(&mut self, request: &PutRequest) {
        let revision = self.revision;
        let old = self.records.get(&request.key);
        let record = Record {
            value: request.value.clone(),
            create_revision: old.map_or(revision, |record| record.create_revision),
            mod_revision: revision,
            version: old.map_or(1, |record| record.version + 1),
            lease: request.lease,
        };
        self.history.push(Event {
            deleted: false,
            kv: record.show(&request.key),
        });
        self.records.insert(request.key.clone(), record);
    }

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
