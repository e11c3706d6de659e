//! Where work goes: the home of an upstream and the choice among a group's upstreams.

mod home;

pub use home::home;
