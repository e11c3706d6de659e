//! Actor that runs the rate shares for local programs and other stewards.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::Context;
use kameo::message::Message;
use mustardbay_policy::names::VmName;
use mustardbay_wire::DrawTokens;
use mustardbay_wire::GrantTokens;
use mustardbay_wire::peer_message::Body;
use tokio::sync::mpsc;

use crate::description::Description;
use crate::outbox::Outbox;
use crate::outbox::Outgoing;
use crate::rates::LedgerSnapshot;
use crate::rates::LedgerStore;
use crate::rates::LinkId;
use crate::rates::PlatformCall;
use crate::rates::Rates;
use crate::rates::RatesOutput;
use crate::view_publisher::ViewPublisher;

/// Actor that owns the rate shares.
#[derive(Debug, Actor)]
pub(crate) struct RateActor {
    rates: Rates,
    publisher: Arc<ViewPublisher>,
    outbox: Outbox,
    store: LedgerStore,
    links: BTreeMap<LinkId, mpsc::Sender<GrantTokens>>,
}

impl RateActor {
    pub(crate) fn new(
        rates: Rates,
        publisher: Arc<ViewPublisher>,
        outbox: Outbox,
        store: LedgerStore,
    ) -> Self {
        Self {
            rates,
            publisher,
            outbox,
            store,
            links: BTreeMap::new(),
        }
    }

    fn execute(&mut self, outputs: Vec<RatesOutput>, itself: &ActorRef<Self>) {
        for output in outputs {
            match output {
                RatesOutput::Grant(link, grant) => self.grant(link, grant),
                RatesOutput::Peer(vm, body) => {
                    self.outbox.send(Outgoing::To(vm, Body::Rates(body)));
                }
                RatesOutput::Platform(call) => self.call(call, itself.clone()),
            }
        }
    }

    /// Calls the platform in a background task, so that draws are not blocked.
    fn call(&self, call: PlatformCall, itself: ActorRef<Self>) {
        let store = self.store.clone();
        tokio::spawn(async move {
            let snapshot = store.call(call).await;
            if itself.tell(LedgersRead(snapshot)).await.is_err() {
                tracing::debug!(event = "rate_actor_gone");
            }
        });
    }

    /// Sends a grant; the tokens are lost if the program's queue is full or closed.
    fn grant(&self, link: LinkId, grant: GrantTokens) {
        let sent = self.links.get(&link).map(|reply| reply.try_send(grant));
        if !matches!(sent, Some(Ok(()))) {
            tracing::debug!(event = "grant_dropped", link = link.0);
        }
    }
}

/// Request of a local program for tokens.
#[derive(Debug)]
pub(crate) struct Draw {
    pub(crate) link: LinkId,
    pub(crate) request: DrawTokens,
    pub(crate) reply: mpsc::Sender<GrantTokens>,
}

impl Message<Draw> for RateActor {
    type Reply = ();

    async fn handle(&mut self, msg: Draw, ctx: &mut Context<Self, ()>) {
        let Draw {
            link,
            request,
            reply,
        } = msg;
        self.links.entry(link).or_insert(reply);
        let now = Instant::now();
        if !self.rates.knows(&request.account) {
            let outputs = self.rates.on_view(&self.publisher.view(), now);
            self.execute(outputs, ctx.actor_ref());
        }
        let outputs = self.rates.on_draw(link, request, now);
        self.execute(outputs, ctx.actor_ref());
    }
}

/// End of a local program's connection.
#[derive(Debug)]
pub(crate) struct Disconnect(pub(crate) LinkId);

impl Message<Disconnect> for RateActor {
    type Reply = ();

    async fn handle(&mut self, msg: Disconnect, ctx: &mut Context<Self, ()>) {
        let Disconnect(link) = msg;
        self.links.remove(&link);
        let outputs = self.rates.on_disconnect(link, Instant::now());
        self.execute(outputs, ctx.actor_ref());
    }
}

/// Message of another steward about rate shares.
#[derive(Debug)]
pub(crate) struct FromPeer {
    pub(crate) vm: VmName,
    pub(crate) body: Bytes,
}

impl Message<FromPeer> for RateActor {
    type Reply = ();

    async fn handle(&mut self, msg: FromPeer, ctx: &mut Context<Self, ()>) {
        let outputs = self.rates.on_peer(&msg.vm, &msg.body, Instant::now());
        self.execute(outputs, ctx.actor_ref());
    }
}

/// Ledgers read from the platform; `None` if the read failed.
#[derive(Debug)]
struct LedgersRead(Option<LedgerSnapshot>);

impl Message<LedgersRead> for RateActor {
    type Reply = ();

    async fn handle(&mut self, msg: LedgersRead, ctx: &mut Context<Self, ()>) {
        let outputs = self.rates.on_snapshot(msg.0, Instant::now());
        self.execute(outputs, ctx.actor_ref());
        let view = self.publisher.view();
        let accounts = view.bundle.accounts.len();
        let configured = view.bundle.version.0 > 0;
        if configured && self.rates.are_known(&view) && self.publisher.publish_rates_known() {
            tracing::info!(event = "rates_known", accounts);
        }
    }
}

/// Periodic tick.
#[derive(Debug)]
pub(crate) struct Tick;

impl Message<Tick> for RateActor {
    type Reply = ();

    async fn handle(&mut self, _msg: Tick, ctx: &mut Context<Self, ()>) {
        let now = Instant::now();
        let mut outputs = self.rates.on_view(&self.publisher.view(), now);
        outputs.extend(self.rates.tick(now));
        self.execute(outputs, ctx.actor_ref());
    }
}

/// Handover of every owned share before the steward leaves.
#[derive(Debug)]
pub(crate) struct HandOverShares;

impl Message<HandOverShares> for RateActor {
    type Reply = ();

    async fn handle(&mut self, _msg: HandOverShares, ctx: &mut Context<Self, ()>) {
        let outputs = self.rates.hand_over_shares(Instant::now());
        self.execute(outputs, ctx.actor_ref());
    }
}

/// Request for the actor's state on the admin endpoint.
#[derive(Debug)]
pub(crate) struct Dump;

impl Message<Dump> for RateActor {
    type Reply = Description;

    async fn handle(
        &mut self,
        _message: Dump,
        _ctx: &mut Context<Self, Description>,
    ) -> Description {
        Description(self.rates.dump())
    }
}
