//! Where work goes: the home of an upstream and the choice among a group's upstreams.

mod choice;
mod home;
mod positions;
mod primary_gap;

pub use choice::Choice;
pub use choice::Need;
pub use choice::Scene;
pub use choice::choose;
pub use home::home;
pub use positions::Positions;
pub use positions::Sighting;
pub use primary_gap::PrimaryGap;
