//! Queue of messages to other stewards.

use mustardbay_policy::names::VmName;
use mustardbay_wire::GroupUpdate;
use mustardbay_wire::peer_message;
use tokio::sync::mpsc;

/// Maximum number of queued messages; further ones are dropped.
const MAX_QUEUED_MESSAGES: usize = 1024;

/// Message or change to send to other stewards.
#[derive(Debug)]
pub(crate) enum Outgoing {
    /// A message to the steward of one vm.
    To(VmName, peer_message::Body),
    /// A changed group record, sent to the heartbeat targets.
    Group(GroupUpdate),
    /// A new bundle, announced to the heartbeat targets.
    Bundle,
}

/// Queue of messages to other stewards; clones share it.
#[derive(Debug, Clone)]
pub(crate) struct Outbox(mpsc::Sender<Outgoing>);

impl Outbox {
    /// Creates the queue and returns it with its receiver.
    pub(crate) fn new() -> (Self, mpsc::Receiver<Outgoing>) {
        let (send, recv) = mpsc::channel(MAX_QUEUED_MESSAGES);
        (Self(send), recv)
    }

    /// Queues a message; drops it if the queue is full, since peer messages need not arrive.
    pub(crate) fn send(&self, outgoing: Outgoing) {
        if self.0.try_send(outgoing).is_err() {
            tracing::warn!(event = "peer_message_dropped", cause = "queue full");
        }
    }
}
