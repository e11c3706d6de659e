//! Handling of messages from other stewards.

use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::Message;
use mustardbay_policy::names::GroupName;
use mustardbay_policy::names::VmName;
use mustardbay_policy::position::Term;
use mustardbay_wire::Digests;
use mustardbay_wire::GroupUpdate;
use mustardbay_wire::Heartbeat;
use mustardbay_wire::PeerMessage;
use mustardbay_wire::PullHead;
use mustardbay_wire::VmUpdate;
use mustardbay_wire::peer_message::Body;

use crate::bundles;
use crate::groups;
use crate::peers::Peers;
use crate::peers::convert;
use crate::peers::log_updates;
use crate::rate_actor;

/// Maximum number of entries in one [`Updates`](mustardbay_wire::Updates) message.
const MAX_UPDATE_ENTRIES: usize = 200;

impl Peers {
    fn apply_updates(&mut self, from: Option<&VmName>, vms: impl IntoIterator<Item = VmUpdate>) {
        let now = self.now();
        let mut changed = Vec::new();
        for update in vms.into_iter().filter_map(convert::from_wire) {
            changed.extend(self.members.apply(update, now));
        }
        if !changed.is_empty() {
            log_updates(&changed);
            self.broadcast(&changed, &[], from);
            self.publish_members();
        }
    }

    async fn forward_records(&self, groups: Vec<GroupUpdate>) {
        for update in groups {
            match serde_json::from_slice(&update.recorded) {
                Ok(recorded) => {
                    let group = GroupName::from(update.group);
                    tell(
                        &self.deps.groups,
                        groups::RecordReceived { group, recorded },
                    )
                    .await;
                }
                Err(e) => tracing::warn!(event = "group_update_rejected", error = %e),
            }
        }
    }

    pub(super) async fn receive(&mut self, message: PeerMessage) {
        let from = VmName::from(message.from);
        match message.body {
            Some(Body::Hello(update)) => self.apply_updates(Some(&from), [update]),
            Some(Body::Heartbeat(heartbeat)) => self.receive_heartbeat(&from, heartbeat).await,
            Some(Body::Digests(digests)) => self.answer_digests(&from, &digests),
            Some(Body::Updates(updates)) => {
                self.apply_updates(Some(&from), updates.vms);
                self.forward_records(updates.groups).await;
            }
            Some(Body::PullHead(_)) => {
                tell(&self.deps.bundles, bundles::PullHead { vm: from }).await;
            }
            Some(Body::Head(json)) => {
                let head = bundles::PeerHead { vm: from, json };
                tell(&self.deps.bundles, head).await;
            }
            Some(Body::PullChunks(pull)) => {
                let hashes = pull.hashes;
                tell(&self.deps.bundles, bundles::PullChunks { vm: from, hashes }).await;
            }
            Some(Body::Chunks(chunks)) => {
                tell(&self.deps.bundles, bundles::ChunksReceived(chunks.chunks)).await;
            }
            Some(Body::AskOpinion(ask)) => {
                let group = GroupName::from(ask.group);
                let term = Term(ask.term);
                tell(
                    &self.deps.groups,
                    groups::OpinionRequested {
                        vm: from,
                        group,
                        term,
                    },
                )
                .await;
            }
            Some(Body::Opinion(opinion)) => {
                let opinion = groups::OpinionReceived {
                    vm: from,
                    group: GroupName::from(opinion.group),
                    term: Term(opinion.term),
                    unreachable: opinion.silent,
                };
                tell(&self.deps.groups, opinion).await;
            }
            Some(Body::Rates(body)) => {
                tell(&self.deps.rates, rate_actor::FromPeer { vm: from, body }).await;
            }
            None => {}
        }
    }

    async fn receive_heartbeat(&mut self, from: &VmName, heartbeat: Heartbeat) {
        let now = self.now();
        self.members.heartbeat(from, heartbeat.regular, now);
        self.apply_updates(Some(from), heartbeat.vms);
        self.forward_records(heartbeat.groups).await;
        let interval = self.members.timing().heartbeat;
        let version = self.deps.publisher.version().0;
        if heartbeat.bundle_version > version && now >= self.pulled_at + interval / 2 {
            self.pulled_at = now;
            self.send(from, Body::PullHead(PullHead { version }));
        }
        let vms_differ = heartbeat.vms_digest != self.members.digest().total();
        let groups_differ = heartbeat.groups_digest != self.deps.records.digest().total();
        if vms_differ || groups_differ {
            self.request_differing(from, vms_differ, groups_differ);
        }
    }

    /// Sends digests to get differing entries back, at most once per heartbeat interval and vm.
    fn request_differing(&mut self, vm: &VmName, vms: bool, groups: bool) {
        let now = self.now();
        let interval = self.members.timing().heartbeat;
        let last = self.compared_at.get(vm).copied();
        if last.is_some_and(|last| now < last + interval) {
            return;
        }
        self.compared_at.insert(vm.clone(), now);
        let mut digests = Digests::default();
        if vms {
            digests.vms = self.members.digest().buckets().to_vec();
        }
        if groups {
            digests.groups = self.deps.records.digest().buckets().to_vec();
        }
        self.send(vm, Body::Digests(digests));
    }

    fn answer_digests(&mut self, from: &VmName, digests: &Digests) {
        let vms = if digests.vms.is_empty() {
            Vec::new()
        } else {
            self.members.differing(&digests.vms)
        };
        let groups = if digests.groups.is_empty() {
            Vec::new()
        } else {
            self.deps.records.differing(&digests.groups)
        };
        for part in vms.chunks(MAX_UPDATE_ENTRIES) {
            let updates = mustardbay_wire::Updates {
                vms: part.iter().map(convert::to_wire).collect(),
                groups: Vec::new(),
            };
            self.send(from, Body::Updates(updates));
        }
        for part in groups.chunks(MAX_UPDATE_ENTRIES) {
            let updates = mustardbay_wire::Updates {
                vms: Vec::new(),
                groups: part.to_vec(),
            };
            self.send(from, Body::Updates(updates));
        }
        self.request_differing(from, !digests.vms.is_empty(), !digests.groups.is_empty());
    }
}

/// Sends a message to an actor that may have stopped.
async fn tell<A, M>(actor: &ActorRef<A>, message: M)
where
    A: Actor + Message<M>,
    M: std::marker::Send + 'static,
{
    if actor.tell(message).await.is_err() {
        tracing::debug!(event = "actor_gone", actor = <A as Actor>::name());
    }
}
