//! Actor that keeps the membership and exchanges messages with other stewards.

mod accept;
mod convert;
mod link;
mod message;
mod receive;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::error::Infallible;
use mustardbay_policy::member::MemberUpdate;
use mustardbay_policy::member::Members;
use mustardbay_policy::names::VmName;
use mustardbay_policy::view::VmState;
use mustardbay_process::dialer::Dialer;
use mustardbay_wire::GroupUpdate;
use mustardbay_wire::Heartbeat;
use mustardbay_wire::PeerMessage;
use mustardbay_wire::VmUpdate;
use mustardbay_wire::peer_message::Body;
use rand::seq::IndexedRandom;
use tokio::sync::mpsc;

use crate::bundles::Bundles;
use crate::groups::Groups;
use crate::outbox::Outgoing;
use crate::rate_actor::RateActor;
use crate::records::Records;
use crate::stats::Stats;
use crate::view_publisher::ViewPublisher;
pub(crate) use accept::accept;
use link::Link;
pub(crate) use message::Dump;
pub(crate) use message::Leave;
use message::LinkEnded;
use message::MessageReceived;
use message::SendOutgoing;
pub(crate) use message::Tick;
pub(crate) use message::VmsListed;

/// Number of members, and of seeds, contacted per attempt while no other steward is known.
const DISCOVERY_CONTACTS: usize = 3;
/// Time after the start during which discovery runs at a quarter of the heartbeat interval.
const FAST_DISCOVERY_TIME: Duration = Duration::from_secs(5);

/// Actor that holds the membership and the links to other stewards.
#[derive(Debug)]
pub(crate) struct Peers {
    start: Instant,
    members: Members,
    seeds: Vec<String>,
    deps: Deps,
    links: BTreeMap<VmName, Link>,
    next_link: u64,
    fan_out: BTreeSet<VmName>,
    next_heartbeat: Duration,
    compared_at: BTreeMap<VmName, Duration>,
    pulled_at: Duration,
    itself: ActorRef<Self>,
}

/// Other actors and shared state that the peers actor uses.
#[derive(Debug, Clone)]
pub(crate) struct Deps {
    pub(crate) publisher: Arc<ViewPublisher>,
    pub(crate) records: Arc<Records>,
    pub(crate) groups: ActorRef<Groups>,
    pub(crate) bundles: ActorRef<Bundles>,
    pub(crate) rates: ActorRef<RateActor>,
    pub(crate) dialer: Dialer,
    pub(crate) stats: Arc<Stats>,
}

/// Arguments of the actor.
#[derive(Debug)]
pub(crate) struct PeersArgs {
    pub(crate) vm: VmName,
    pub(crate) state: VmState,
    pub(crate) deps: Deps,
    pub(crate) seeds: Vec<String>,
    pub(crate) outgoing: mpsc::Receiver<Outgoing>,
}

impl Actor for Peers {
    type Args = PeersArgs;
    type Error = Infallible;

    async fn on_start(args: PeersArgs, actor_ref: ActorRef<Self>) -> Result<Self, Infallible> {
        tokio::spawn(forward(args.outgoing, actor_ref.clone()));
        let peers = Self {
            start: Instant::now(),
            members: Members::new(args.vm, args.state),
            seeds: args.seeds,
            deps: args.deps,
            links: BTreeMap::new(),
            next_link: 0,
            fan_out: BTreeSet::new(),
            next_heartbeat: Duration::ZERO,
            compared_at: BTreeMap::new(),
            pulled_at: Duration::ZERO,
            itself: actor_ref,
        };
        peers.publish_members();
        Ok(peers)
    }
}

async fn forward(mut outgoing: mpsc::Receiver<Outgoing>, peers: ActorRef<Peers>) {
    while let Some(outgoing) = outgoing.recv().await {
        if peers.tell(SendOutgoing(outgoing)).await.is_err() {
            return;
        }
    }
}

impl Peers {
    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    fn publish_members(&self) {
        if self.deps.publisher.publish_vms(self.members.live()) {
            let live = self.members.live().len();
            tracing::info!(event = "members_changed", live);
        }
    }

    fn send(&mut self, vm: &VmName, body: Body) {
        if let Some(address) = self.members.address(vm).map(str::to_owned) {
            self.send_to(vm, address, body);
        }
    }

    fn send_to(&mut self, vm: &VmName, address: String, body: Body) {
        let message = self.message(body);
        self.deps.stats.count_peer_message(message.wire_bytes());
        if let Some(link) = self.links.get(vm)
            && link.address == address
        {
            link.send(message);
            return;
        }
        let hello = self.message(Body::Hello(convert::to_wire(self.members.own())));
        self.next_link += 1;
        let link = Link::open(
            self.next_link,
            vm.clone(),
            address,
            self.deps.dialer,
            self.itself.clone(),
        );
        link.send(hello);
        link.send(message);
        self.links.insert(vm.clone(), link);
    }

    fn message(&self, body: Body) -> PeerMessage {
        let itself = self.members.own();
        PeerMessage {
            from: itself.vm.as_str().to_owned(),
            incarnation: itself.state.incarnation,
            body: Some(body),
        }
    }

    fn send_heartbeat(&mut self, vm: &VmName, vms: Vec<VmUpdate>, groups: Vec<GroupUpdate>) {
        let regular = self.fan_out.contains(vm);
        let heartbeat = self.heartbeat(regular, vms, groups);
        self.send(vm, Body::Heartbeat(heartbeat));
    }

    fn heartbeat(&self, regular: bool, vms: Vec<VmUpdate>, groups: Vec<GroupUpdate>) -> Heartbeat {
        Heartbeat {
            regular,
            bundle_version: self.deps.publisher.version().0,
            vms_digest: self.members.digest().total(),
            groups_digest: self.deps.records.digest().total(),
            vms,
            groups,
        }
    }

    /// Sends updates to all heartbeat targets at once, except to their sender.
    fn broadcast(&mut self, vms: &[MemberUpdate], groups: &[GroupUpdate], except: Option<&VmName>) {
        let vms: Vec<VmUpdate> = vms.iter().map(convert::to_wire).collect();
        for vm in self.fan_out.clone() {
            if Some(&vm) != except {
                self.send_heartbeat(&vm, vms.clone(), groups.to_vec());
            }
        }
    }

    fn tick(&mut self) {
        let now = self.now();
        let updates = self.members.tick(now);
        if !updates.is_empty() {
            log_updates(&updates);
            self.broadcast(&updates, &[], None);
            self.publish_members();
        }
        if self.members.is_alone() {
            self.discover(now);
        } else if now >= self.next_heartbeat {
            self.next_heartbeat = now + self.members.timing().heartbeat;
            self.send_regular_heartbeats();
            self.contact_random(1);
        }
    }

    /// Contacts a random sample of listed stewards and of seeds while no other steward is known.
    fn discover(&mut self, now: Duration) {
        if now < self.next_heartbeat {
            return;
        }
        let interval = self.members.timing().heartbeat;
        let pause = if now < FAST_DISCOVERY_TIME {
            interval / 4
        } else {
            interval
        };
        self.next_heartbeat = now + pause.mul_f64(rand::random_range(0.5..1.5));
        self.contact_random(DISCOVERY_CONTACTS);
        let mut rng = rand::rng();
        let seeds: Vec<String> = self
            .seeds
            .sample(&mut rng, DISCOVERY_CONTACTS)
            .cloned()
            .collect();
        for seed in seeds {
            let heartbeat = self.heartbeat(false, Vec::new(), Vec::new());
            let vm = VmName::from(seed.as_str());
            self.send_to(&vm, seed, Body::Heartbeat(heartbeat));
        }
    }

    /// Picks new heartbeat targets; removed targets get a last heartbeat that is not regular.
    fn send_regular_heartbeats(&mut self) {
        let old = std::mem::replace(&mut self.fan_out, self.members.fan_out());
        let removed: Vec<VmName> = old.difference(&self.fan_out).cloned().collect();
        for vm in removed.into_iter().chain(self.fan_out.clone()) {
            self.send_heartbeat(&vm, Vec::new(), Vec::new());
        }
    }

    /// Sends heartbeats to random vms, live or not, so that the sides of a healed partition
    /// find each other again.
    fn contact_random(&mut self, count: usize) {
        let contacts = self.members.contacts();
        let chosen: Vec<VmName> = contacts.sample(&mut rand::rng(), count).cloned().collect();
        for vm in chosen {
            if !self.fan_out.contains(&vm) {
                self.send_heartbeat(&vm, Vec::new(), Vec::new());
            }
        }
    }
}

fn log_updates(updates: &[MemberUpdate]) {
    for update in updates {
        let status = update.status;
        let (count, leaving) = (update.count, update.state.leaving);
        tracing::info!(event = "member_news", vm = %update.vm, ?status, count, leaving);
    }
}
