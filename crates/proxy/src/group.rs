//! Failover of a group's primary: when to promote another upstream, and which one.

mod action;
mod failover;
mod pending_promotion;
mod required;
mod stage;
mod suspicion;

pub use action::Action;
pub use action::Event;
pub use action::FencingToken;
pub use failover::Failover;
pub use pending_promotion::LATE_CALL_TIME;
pub use required::Unmet;
