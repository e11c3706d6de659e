//! Connection from an entry or a pool to the steward of its virtual machine.
//!
//! The link reconnects automatically. While it is disconnected, the last view remains in use and
//! token requests fail.

mod merge;
mod steward_link;

pub use merge::merge;
pub use steward_link::StewardLink;
