//! Client of the platform's key-value store: compare-and-swap, leases and watches.
//!
//! [`Platform`] is the interface. [`Gateway`] implements it over the JSON gateway of the etcd v3
//! API, [`Fake`] in memory for tests.

mod calls;
mod entry;
mod error;
mod fake;
mod gateway;
mod settle;
mod store;

pub use calls::CallCounts;
pub use calls::CallKind;
pub use entry::Entry;
pub use entry::LeaseId;
pub use entry::Listing;
pub use entry::Revision;
pub use entry::Swap;
pub use entry::WatchEvent;
pub use error::PlatformError;
pub use fake::Fake;
pub use fake::Fault;
pub use gateway::Gateway;
pub use settle::swap_settled;
pub use store::Platform;
