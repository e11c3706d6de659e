//! Messages of the actor.

use std::collections::BTreeMap;

use kameo::message::Context;
use kameo::message::Message;
use mustardbay_policy::member::Status;
use mustardbay_policy::names::VmName;
use mustardbay_policy::view::VmState;
use mustardbay_wire::PeerMessage;

use crate::description::Description;
use crate::outbox::Outgoing;
use crate::peers::Peers;
use crate::peers::log_updates;

/// Something to send.
#[derive(Debug)]
pub(crate) struct Send(pub(crate) Outgoing);

impl Message<Send> for Peers {
    type Reply = ();

    async fn handle(&mut self, msg: Send, _ctx: &mut Context<Self, ()>) {
        match msg.0 {
            Outgoing::To(vm, body) => self.send(&vm, body),
            Outgoing::Group(update) => self.spread(&[], &[update], None),
            Outgoing::Bundle => self.spread(&[], &[], None),
        }
    }
}

/// Message that arrived from another steward.
#[derive(Debug)]
pub(crate) struct Received(pub(crate) PeerMessage);

impl Message<Received> for Peers {
    type Reply = ();

    async fn handle(&mut self, msg: Received, _ctx: &mut Context<Self, ()>) {
        self.receive(msg.0).await;
    }
}

/// End of a link.
#[derive(Debug)]
pub(crate) struct LinkEnded {
    pub(crate) vm: VmName,
    pub(crate) link: u64,
    pub(crate) failed: bool,
}

impl Message<LinkEnded> for Peers {
    type Reply = ();

    async fn handle(&mut self, msg: LinkEnded, _ctx: &mut Context<Self, ()>) {
        if self
            .links
            .get(&msg.vm)
            .is_some_and(|link| link.id == msg.link)
        {
            self.links.remove(&msg.vm);
        }
        if !msg.failed {
            return;
        }
        let now = self.now();
        if let Some(update) = self.members.unreachable(&msg.vm, now) {
            log_updates(std::slice::from_ref(&update));
            self.spread(&[update], &[], None);
        }
    }
}

/// List of virtual machines as the platform has it.
#[derive(Debug)]
pub(crate) struct Listed(pub(crate) BTreeMap<VmName, VmState>);

impl Message<Listed> for Peers {
    type Reply = ();

    async fn handle(&mut self, msg: Listed, _ctx: &mut Context<Self, ()>) {
        self.members.list(msg.0);
        self.post();
    }
}

/// Passage of time.
#[derive(Debug)]
pub(crate) struct Tick;

impl Message<Tick> for Peers {
    type Reply = ();

    async fn handle(&mut self, _msg: Tick, _ctx: &mut Context<Self, ()>) {
        self.tick();
    }
}

/// Step of leaving: first said aloud, at last goodbye.
#[derive(Debug)]
pub(crate) struct Leave {
    pub(crate) goodbye: bool,
}

impl Message<Leave> for Peers {
    type Reply = ();

    async fn handle(&mut self, msg: Leave, _ctx: &mut Context<Self, ()>) {
        let status = if msg.goodbye {
            Status::Gone
        } else {
            Status::Alive
        };
        let update = self.members.leave(status);
        self.spread(&[update], &[], None);
        self.post();
    }
}

/// Request for a description of the members.
#[derive(Debug)]
pub(crate) struct Dump;

impl Message<Dump> for Peers {
    type Reply = Description;

    async fn handle(&mut self, _msg: Dump, _ctx: &mut Context<Self, Description>) -> Description {
        Description(serde_json::json!({
            "members": self.members.dump(self.now()),
            "fan_out": self.fan_out,
            "links": self.links.keys().collect::<Vec<_>>(),
            "sent_messages": self.targets.stats.peer_messages(),
            "sent_bytes": self.targets.stats.peer_bytes(),
        }))
    }
}
