//! Reply on its way to the other side of a link.

use tokio::sync::OwnedSemaphorePermit;

use crate::link::frame::Reply;

/// Reply that is to be written, with what is held until it is.
#[derive(Debug)]
pub struct OutgoingReply {
    /// Reply to write.
    pub reply: Reply,
    /// Permit to send a large reply, which is given back once the reply is written or dropped.
    pub permit: Option<OwnedSemaphorePermit>,
}
