//! Newest group records and the digest that stewards compare.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use bytes::Bytes;
use mustardbay_policy::group::StoredRecord;
use mustardbay_policy::member::Digest;
use mustardbay_policy::member::hash64;
use mustardbay_policy::names::GroupName;
use mustardbay_wire::GroupUpdate;

/// Newest group records, including those of groups that are not yet in the bundle.
#[derive(Debug, Default)]
pub(crate) struct Records {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    records: BTreeMap<GroupName, StoredRecord>,
    digest: Digest,
}

impl Records {
    /// Stores a record if its revision is newer; returns whether it is.
    pub(crate) fn put(&self, group: &GroupName, recorded: &StoredRecord) -> bool {
        let mut inner = self.lock();
        let known = inner.records.get(group).map(|known| known.revision);
        if known.is_some_and(|known| known >= recorded.revision) {
            return false;
        }
        let name = group.as_str();
        if let Some(known) = known {
            inner.digest.toggle(name, entry_hash(name, known));
        }
        inner
            .digest
            .toggle(name, entry_hash(name, recorded.revision));
        inner.records.insert(group.clone(), recorded.clone());
        true
    }

    /// Returns the newest record of a group.
    pub(crate) fn get(&self, group: &GroupName) -> Option<StoredRecord> {
        self.lock().records.get(group).cloned()
    }

    /// Returns the digest of all records.
    pub(crate) fn digest(&self) -> Digest {
        self.lock().digest.clone()
    }

    /// Returns the records in the digest buckets that differ from those of another steward.
    pub(crate) fn differing(&self, theirs: &[u64]) -> Vec<GroupUpdate> {
        let inner = self.lock();
        let records = inner.records.iter();
        records
            .filter(|(group, _)| inner.digest.differs(group.as_str(), theirs))
            .filter_map(|(group, recorded)| to_wire(group, recorded))
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn entry_hash(name: &str, revision: u64) -> u64 {
    hash64(&[name.as_bytes(), &revision.to_be_bytes()])
}

/// Encodes a record for other stewards.
pub(crate) fn to_wire(group: &GroupName, recorded: &StoredRecord) -> Option<GroupUpdate> {
    match serde_json::to_vec(recorded) {
        Ok(json) => Some(GroupUpdate {
            group: group.as_str().to_owned(),
            recorded: Bytes::from(json),
        }),
        Err(e) => {
            tracing::error!(event = "record_not_encoded", group = %group, error = %e);
            None
        }
    }
}
