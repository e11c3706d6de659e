//! Keys, values and revisions of the store.

use bytes::Bytes;

/// Number of a change of the store; 0 stands for a key that does not exist.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Revision(pub u64);

/// Identifier of a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeaseId(pub u64);

/// One key with its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Bytes,
    /// Revision of the last change of this key.
    pub revision: Revision,
}

/// Answer to a read of a prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listing {
    /// Revision of the store that the read saw.
    pub revision: Revision,
    /// Entries in order of their keys.
    pub entries: Vec<Entry>,
}

/// Outcome of a compare-and-swap that was answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Swap {
    /// The value is in place, at this revision.
    Done(Revision),
    /// The key had changed; this is what it holds now.
    Conflict(Option<Entry>),
}

/// Change that a watch reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchEvent {
    /// A key was written.
    Put(Entry),
    /// A key was deleted.
    Delete(String),
}
