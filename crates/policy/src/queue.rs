//! Admission of statements to the slots of an upstream.

mod account_queue;
mod connection_shares;
mod discipline;
mod service_time;
mod slot_queue;

pub use connection_shares::ConnectionShares;
pub use discipline::Discipline;
pub use service_time::ServiceTime;
pub use slot_queue::SlotDecision;
pub use slot_queue::SlotQueue;
pub use slot_queue::SlotRequest;
pub use slot_queue::Ticket;
pub use slot_queue::WorkClass;
