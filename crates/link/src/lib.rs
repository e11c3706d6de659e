//! Link from an entry or a pool to the steward of its virtual machine.
//!
//! The link reconnects by itself. While it is down, the last view stays in force and draws of
//! tokens get no answer.

mod merge;
mod steward_link;

pub use merge::merge;
pub use steward_link::StewardLink;
