//! Entries, revisions and leases of the key-value store, and results of its calls.

use bytes::Bytes;

/// Revision of the store, raised by every change; 0 stands for a missing key.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Revision(pub u64);

/// Identifier of a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeaseId(pub u64);

/// A key with its value and revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Key, as UTF-8 text.
    pub key: String,
    /// Value, as opaque bytes.
    pub value: Bytes,
    /// Revision of the last change of this key.
    pub revision: Revision,
}

/// Entries under a prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listing {
    /// Revision of the store at which the entries were read.
    pub revision: Revision,
    /// Entries, ordered by key.
    pub entries: Vec<Entry>,
}

/// Result of a compare-and-swap.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Swap {
    /// The value was written, at this revision.
    Done(Revision),
    /// The revision did not match; holds the current entry, or `None` if the key does not exist.
    Conflict(Option<Entry>),
}

/// Change of one key, reported by a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchEvent {
    /// A key was written.
    Put(Entry),
    /// The key with this name was deleted.
    Delete(String),
}
