//! Decision logic of the proxy, free of I/O.
//!
//! Functions take the time as an argument and return their decisions as values. The entry, the
//! pool and the steward feed them events and perform the I/O that they decide on.

pub mod account;
pub mod admission;
pub mod bundle;
pub mod connections;
pub mod escrow;
pub mod group;
pub mod member;
pub mod names;
pub mod position;
pub mod queue;
pub mod reconnect;
pub mod refusal;
pub mod replication_health;
pub mod request_memory;
pub mod request_record;
pub mod route;
pub mod session;
pub mod statement;
pub mod view;
