//! Links between vms: one TCP connection from a vm to another, with many requests in flight.

mod client;
pub(crate) mod frame;
mod outgoing_reply;
mod reply_watch;
mod round_trip;
mod round_trips;
mod server;
mod statement_charges;

pub use client::Link;
pub use client::LinkError;
pub use client::Links;
pub use frame::Ask;
pub use frame::AskBody;
pub use frame::AskSnapshot;
pub use frame::Draw;
pub use frame::Drawn;
pub use frame::Reply;
pub use frame::ReplyBody;
pub use frame::SnapshotReply;
pub use outgoing_reply::OutgoingReply;
pub use reply_watch::LinkCheck;
pub use reply_watch::ReplyWatch;
pub use round_trip::RoundTrip;
pub use round_trips::RoundTrips;
pub use server::serve;
pub use statement_charges::StatementCharges;
