//! Failover of a group's primary: when to promote another upstream, and which one.

mod action;
mod failover;
mod required;

pub use action::Action;
pub use action::Event;
pub use action::FencingToken;
pub use failover::Failover;
pub use required::Unmet;
