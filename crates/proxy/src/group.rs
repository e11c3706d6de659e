//! Succession of a group's primary: when to promote another upstream, and which.

mod action;
mod succession;

pub use action::Action;
pub use action::Event;
pub use action::FencingToken;
pub use succession::Succession;
