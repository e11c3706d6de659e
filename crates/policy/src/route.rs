//! Routing: the choice among a group's upstreams, and the vm that pools an upstream.

mod choice;
mod home;
mod positions;
mod primary_outage;

pub use choice::Choice;
pub use choice::Need;
pub use choice::RouteContext;
pub use choice::choose;
pub use home::home;
pub use positions::ObservedPosition;
pub use positions::Positions;
pub use primary_outage::PrimaryOutage;
