//! Starts a whole fleet of the real programs on loopback, with stand-ins around it.
//!
//! Every virtual machine and every upstream has a loopback address of its own and connects from
//! it, so that relays can tell them apart.

mod addresses;
mod callers;
mod faults;
mod inspect;
mod launch;
mod layout;
mod plan;
mod presets;
mod program;
mod running;
mod settings;
mod submission;

pub use layout::Layout;
pub use layout::UpstreamPlan;
pub use layout::VmPlan;
pub use presets::demo;
pub use presets::klarsprak;
pub use presets::sathi;
pub use program::Kind;
pub use program::Program;
pub use program::ProgramError;
pub use running::Fleet;
pub use running::FleetError;
pub use submission::Submission;
pub use submission::SubmissionError;
