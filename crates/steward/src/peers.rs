//! Actor that talks to the stewards of other virtual machines.

mod accept;
mod convert;
mod link;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::error::Infallible;
use kameo::message::Context;
use kameo::message::Message;
use mustardbay_policy::member::Members;
use mustardbay_policy::member::News;
use mustardbay_policy::member::Status;
use mustardbay_policy::names::GroupName;
use mustardbay_policy::names::VmName;
use mustardbay_policy::position::Term;
use mustardbay_policy::view::VmState;
use mustardbay_process::dialer::Dialer;
use mustardbay_wire::Digests;
use mustardbay_wire::GroupNews;
use mustardbay_wire::Heartbeat;
use mustardbay_wire::PeerMessage;
use mustardbay_wire::PullHead;
use mustardbay_wire::VmNews;
use mustardbay_wire::peer_message::Body;
use rand::seq::IndexedRandom;
use tokio::sync::mpsc;

use crate::board::Board;
use crate::bundles;
use crate::bundles::Bundles;
use crate::description::Description;
use crate::groups;
use crate::groups::Groups;
use crate::outbox::Outgoing;
use crate::rate_desk;
use crate::rate_desk::RateDesk;
use crate::records::Records;
use crate::stats::Stats;
pub(crate) use accept::accept;
use link::Link;

/// Entries of one [`News`](mustardbay_wire::News) message.
const NEWS_ENTRIES: usize = 200;
/// Stewards contacted at once until the first one answers.
const FIRST_CONTACTS: usize = 3;
/// Time after the start in which others are contacted more often.
const EAGER_START: Duration = Duration::from_secs(5);

/// Actor that owns the membership and the links to other stewards.
#[derive(Debug)]
pub(crate) struct Peers {
    start: Instant,
    members: Members,
    seeds: Vec<String>,
    targets: Targets,
    links: BTreeMap<VmName, Link>,
    next_link: u64,
    fan_out: BTreeSet<VmName>,
    next_beat: Duration,
    compared: BTreeMap<VmName, Duration>,
    pulled_at: Duration,
    itself: ActorRef<Self>,
}

/// Parts of the steward that messages of others are for.
#[derive(Debug, Clone)]
pub(crate) struct Targets {
    pub(crate) board: Arc<Board>,
    pub(crate) records: Arc<Records>,
    pub(crate) groups: ActorRef<Groups>,
    pub(crate) bundles: ActorRef<Bundles>,
    pub(crate) desk: ActorRef<RateDesk>,
    pub(crate) dialer: Dialer,
    pub(crate) stats: Arc<Stats>,
}

/// What the actor starts with.
#[derive(Debug)]
pub(crate) struct PeersArgs {
    pub(crate) vm: VmName,
    pub(crate) state: VmState,
    pub(crate) targets: Targets,
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
            targets: args.targets,
            links: BTreeMap::new(),
            next_link: 0,
            fan_out: BTreeSet::new(),
            next_beat: Duration::ZERO,
            compared: BTreeMap::new(),
            pulled_at: Duration::ZERO,
            itself: actor_ref,
        };
        peers.post();
        Ok(peers)
    }
}

async fn forward(mut outgoing: mpsc::Receiver<Outgoing>, peers: ActorRef<Peers>) {
    while let Some(outgoing) = outgoing.recv().await {
        if peers.tell(Send(outgoing)).await.is_err() {
            return;
        }
    }
}

impl Peers {
    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    fn post(&self) {
        if self.targets.board.post_vms(self.members.live()) {
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
        self.targets.stats.count_peer_message(message.wire_bytes());
        if let Some(link) = self.links.get(vm)
            && link.address == address
        {
            link.send(message);
            return;
        }
        let hello = self.message(Body::Hello(convert::to_wire(self.members.itself())));
        self.next_link += 1;
        let link = Link::open(
            self.next_link,
            vm.clone(),
            address,
            self.targets.dialer,
            self.itself.clone(),
        );
        link.send(hello);
        link.send(message);
        self.links.insert(vm.clone(), link);
    }

    fn message(&self, body: Body) -> PeerMessage {
        let itself = self.members.itself();
        PeerMessage {
            from: itself.vm.as_str().to_owned(),
            incarnation: itself.state.incarnation,
            body: Some(body),
        }
    }

    fn beat(&mut self, vm: &VmName, vms: Vec<VmNews>, groups: Vec<GroupNews>) {
        let regular = self.fan_out.contains(vm);
        let heartbeat = self.heartbeat(regular, vms, groups);
        self.send(vm, Body::Heartbeat(heartbeat));
    }

    fn heartbeat(&self, regular: bool, vms: Vec<VmNews>, groups: Vec<GroupNews>) -> Heartbeat {
        Heartbeat {
            regular,
            bundle_version: self.targets.board.version().0,
            vms_digest: self.members.digest().total(),
            groups_digest: self.targets.records.digest().total(),
            vms,
            groups,
        }
    }

    /// Sends news at once to everyone who gets heartbeats, except to where it came from.
    fn spread(&mut self, vms: &[News], groups: &[GroupNews], except: Option<&VmName>) {
        let vms: Vec<VmNews> = vms.iter().map(convert::to_wire).collect();
        for vm in self.fan_out.clone() {
            if Some(&vm) != except {
                self.beat(&vm, vms.clone(), groups.to_vec());
            }
        }
    }

    fn tick(&mut self) {
        let now = self.now();
        let news = self.members.tick(now);
        if !news.is_empty() {
            log_news(&news);
            self.spread(&news, &[], None);
            self.post();
        }
        if self.members.is_alone() {
            self.seek_company(now);
        } else if now >= self.next_beat {
            self.next_beat = now + self.members.pace().heartbeat;
            self.beat_regularly();
            self.contact(1);
        }
    }

    /// Contacts some of the listed stewards and of the seeds until one answers.
    fn seek_company(&mut self, now: Duration) {
        if now < self.next_beat {
            return;
        }
        let pace = self.members.pace().heartbeat;
        let pause = if now < EAGER_START { pace / 4 } else { pace };
        self.next_beat = now + pause.mul_f64(rand::random_range(0.5..1.5));
        self.contact(FIRST_CONTACTS);
        let mut rng = rand::rng();
        let seeds: Vec<String> = self
            .seeds
            .sample(&mut rng, FIRST_CONTACTS)
            .cloned()
            .collect();
        for seed in seeds {
            let heartbeat = self.heartbeat(false, Vec::new(), Vec::new());
            let vm = VmName::from(seed.as_str());
            self.send_to(&vm, seed, Body::Heartbeat(heartbeat));
        }
    }

    fn beat_regularly(&mut self) {
        let old = std::mem::replace(&mut self.fan_out, self.members.fan_out());
        let released: Vec<VmName> = old.difference(&self.fan_out).cloned().collect();
        for vm in released.into_iter().chain(self.fan_out.clone()) {
            self.beat(&vm, Vec::new(), Vec::new());
        }
    }

    /// Sends a heartbeat to some that are chosen at random, live or not, so that cut-off parts of
    /// the fleet find each other again.
    fn contact(&mut self, count: usize) {
        let contacts = self.members.contacts();
        let chosen: Vec<VmName> = contacts.sample(&mut rand::rng(), count).cloned().collect();
        for vm in chosen {
            if !self.fan_out.contains(&vm) {
                self.beat(&vm, Vec::new(), Vec::new());
            }
        }
    }

    fn hear(&mut self, from: Option<&VmName>, vms: impl IntoIterator<Item = VmNews>) {
        let now = self.now();
        let mut spread = Vec::new();
        for news in vms.into_iter().filter_map(convert::from_wire) {
            spread.extend(self.members.hear(news, now));
        }
        if !spread.is_empty() {
            log_news(&spread);
            self.spread(&spread, &[], from);
            self.post();
        }
    }

    async fn hear_groups(&self, groups: Vec<GroupNews>) {
        for news in groups {
            match serde_json::from_slice(&news.recorded) {
                Ok(recorded) => {
                    let group = GroupName::from(news.group);
                    tell(&self.targets.groups, groups::Heard { group, recorded }).await;
                }
                Err(e) => tracing::warn!(event = "group_news_rejected", error = %e),
            }
        }
    }

    async fn receive(&mut self, message: PeerMessage) {
        let from = VmName::from(message.from);
        match message.body {
            Some(Body::Hello(news)) => self.hear(Some(&from), [news]),
            Some(Body::Heartbeat(heartbeat)) => self.receive_heartbeat(&from, heartbeat).await,
            Some(Body::Digests(digests)) => self.answer_digests(&from, &digests),
            Some(Body::News(news)) => {
                self.hear(Some(&from), news.vms);
                self.hear_groups(news.groups).await;
            }
            Some(Body::PullHead(_)) => {
                tell(&self.targets.bundles, bundles::PullHead { vm: from }).await;
            }
            Some(Body::Head(json)) => {
                let head = bundles::PeerHead { vm: from, json };
                tell(&self.targets.bundles, head).await;
            }
            Some(Body::PullChunks(pull)) => {
                let hashes = pull.hashes;
                tell(
                    &self.targets.bundles,
                    bundles::PullChunks { vm: from, hashes },
                )
                .await;
            }
            Some(Body::Chunks(chunks)) => {
                tell(&self.targets.bundles, bundles::Fetched(chunks.chunks)).await;
            }
            Some(Body::Ask(ask)) => {
                let group = GroupName::from(ask.group);
                let term = Term(ask.term);
                tell(
                    &self.targets.groups,
                    groups::Asked {
                        vm: from,
                        group,
                        term,
                    },
                )
                .await;
            }
            Some(Body::Opinion(opinion)) => {
                let opinion = groups::Opinion {
                    vm: from,
                    group: GroupName::from(opinion.group),
                    term: Term(opinion.term),
                    silent: opinion.silent,
                };
                tell(&self.targets.groups, opinion).await;
            }
            Some(Body::Rates(body)) => {
                tell(&self.targets.desk, rate_desk::FromPeer { vm: from, body }).await;
            }
            None => {}
        }
    }

    async fn receive_heartbeat(&mut self, from: &VmName, heartbeat: Heartbeat) {
        let now = self.now();
        self.members.heartbeat(from, heartbeat.regular, now);
        self.hear(Some(from), heartbeat.vms);
        self.hear_groups(heartbeat.groups).await;
        let pace = self.members.pace().heartbeat;
        let version = self.targets.board.version().0;
        if heartbeat.bundle_version > version && now >= self.pulled_at + pace / 2 {
            self.pulled_at = now;
            self.send(from, Body::PullHead(PullHead { version }));
        }
        let vms_differ = heartbeat.vms_digest != self.members.digest().total();
        let groups_differ = heartbeat.groups_digest != self.targets.records.digest().total();
        if vms_differ || groups_differ {
            self.compare(from, vms_differ, groups_differ);
        }
    }

    /// Asks another steward for what differs, at most once in a heartbeat's time.
    fn compare(&mut self, vm: &VmName, vms: bool, groups: bool) {
        let now = self.now();
        let pace = self.members.pace().heartbeat;
        let last = self.compared.get(vm).copied();
        if last.is_some_and(|last| now < last + pace) {
            return;
        }
        self.compared.insert(vm.clone(), now);
        let mut digests = Digests::default();
        if vms {
            digests.vms = self.members.digest().buckets().to_vec();
        }
        if groups {
            digests.groups = self.targets.records.digest().buckets().to_vec();
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
            self.targets.records.differing(&digests.groups)
        };
        for part in vms.chunks(NEWS_ENTRIES) {
            let news = mustardbay_wire::News {
                vms: part.iter().map(convert::to_wire).collect(),
                groups: Vec::new(),
            };
            self.send(from, Body::News(news));
        }
        for part in groups.chunks(NEWS_ENTRIES) {
            let news = mustardbay_wire::News {
                vms: Vec::new(),
                groups: part.to_vec(),
            };
            self.send(from, Body::News(news));
        }
        self.compare(from, !digests.vms.is_empty(), !digests.groups.is_empty());
    }
}

fn log_news(news: &[News]) {
    for news in news {
        let status = news.status;
        let (count, leaving) = (news.count, news.state.leaving);
        tracing::info!(event = "member_news", vm = %news.vm, ?status, count, leaving);
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

/// Something to send.
#[derive(Debug)]
pub(crate) struct Send(pub(crate) Outgoing);

impl Message<Send> for Peers {
    type Reply = ();

    async fn handle(&mut self, msg: Send, _ctx: &mut Context<Self, ()>) {
        match msg.0 {
            Outgoing::To(vm, body) => self.send(&vm, body),
            Outgoing::Group(news) => self.spread(&[], &[news], None),
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
        if let Some(news) = self.members.unreachable(&msg.vm, now) {
            log_news(std::slice::from_ref(&news));
            self.spread(&[news], &[], None);
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
        let news = self.members.leave(status);
        self.spread(&[news], &[], None);
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
