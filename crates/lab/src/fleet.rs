//! Runs a fleet of the real programs on loopback, against stand-ins for platform and upstreams.
//!
//! Every vm and every upstream listens on its own loopback address and connects from it, so that
//! the relay can apply its rules by source address.

mod faults;
mod inspect;
mod launch;
mod layout;
mod operator;
mod placement;
mod presets;
mod program;
mod running;
mod sessions;
mod settings;
mod subnet;

pub use layout::Layout;
pub use layout::UpstreamTiming;
pub use layout::VmLayout;
pub use operator::Operator;
pub use operator::OperatorError;
pub use presets::demo;
pub use presets::klarsprak;
pub use presets::sathi;
pub use program::Kind;
pub use program::Program;
pub use program::ProgramError;
pub use running::Fleet;
pub use running::FleetError;
