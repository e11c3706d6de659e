//! Actor around the rate shares: draws of local programs and messages of other stewards.

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

use crate::board::Board;
use crate::description::Description;
use crate::outbox::Outbox;
use crate::outbox::Outgoing;
use crate::rates::LedgerStore;
use crate::rates::LinkId;
use crate::rates::PlatformCall;
use crate::rates::Rates;
use crate::rates::RatesOutput;
use crate::rates::Reading;

/// Actor that owns the rate shares.
#[derive(Debug, Actor)]
pub(crate) struct RateActor {
    rates: Rates,
    board: Arc<Board>,
    outbox: Outbox,
    store: LedgerStore,
    links: BTreeMap<LinkId, mpsc::Sender<GrantTokens>>,
}

impl RateActor {
    pub(crate) fn new(rates: Rates, board: Arc<Board>, outbox: Outbox, store: LedgerStore) -> Self {
        Self {
            rates,
            board,
            outbox,
            store,
            links: BTreeMap::new(),
        }
    }

    fn carry_out(&mut self, outputs: Vec<RatesOutput>, itself: &ActorRef<Self>) {
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

    /// Calls the platform without holding up draws.
    fn call(&self, call: PlatformCall, itself: ActorRef<Self>) {
        let store = self.store.clone();
        tokio::spawn(async move {
            let reading = store.call(call).await;
            if itself.tell(Read(reading)).await.is_err() {
                tracing::debug!(event = "rate_actor_gone");
            }
        });
    }

    /// Sends a grant; a program that does not read loses the tokens.
    fn grant(&self, link: LinkId, grant: GrantTokens) {
        let sent = self.links.get(&link).map(|reply| reply.try_send(grant));
        if !matches!(sent, Some(Ok(()))) {
            tracing::debug!(event = "grant_dropped", link = link.0);
        }
    }
}

/// Draw of tokens by a local program.
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
            let outputs = self.rates.on_view(&self.board.view(), now);
            self.carry_out(outputs, ctx.actor_ref());
        }
        let outputs = self.rates.on_draw(link, request, now);
        self.carry_out(outputs, ctx.actor_ref());
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
        self.carry_out(outputs, ctx.actor_ref());
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
        self.carry_out(outputs, ctx.actor_ref());
    }
}

/// What the platform says about the ledgers; `None` if it gave no answer.
#[derive(Debug)]
struct Read(Option<Reading>);

impl Message<Read> for RateActor {
    type Reply = ();

    async fn handle(&mut self, msg: Read, ctx: &mut Context<Self, ()>) {
        let outputs = self.rates.on_reading(msg.0, Instant::now());
        self.carry_out(outputs, ctx.actor_ref());
        let view = self.board.view();
        let accounts = view.bundle.accounts.len();
        let configured = view.bundle.version.0 > 0;
        if configured && self.rates.are_known(&view) && self.board.post_rates_known() {
            tracing::info!(event = "rates_known", accounts);
        }
    }
}

/// Passage of time.
#[derive(Debug)]
pub(crate) struct Tick;

impl Message<Tick> for RateActor {
    type Reply = ();

    async fn handle(&mut self, _msg: Tick, ctx: &mut Context<Self, ()>) {
        let now = Instant::now();
        let mut outputs = self.rates.on_view(&self.board.view(), now);
        outputs.extend(self.rates.tick(now));
        self.carry_out(outputs, ctx.actor_ref());
    }
}

/// Return of every share before the steward leaves.
#[derive(Debug)]
pub(crate) struct HandBack;

impl Message<HandBack> for RateActor {
    type Reply = ();

    async fn handle(&mut self, _msg: HandBack, ctx: &mut Context<Self, ()>) {
        let outputs = self.rates.hand_back(Instant::now());
        self.carry_out(outputs, ctx.actor_ref());
    }
}

/// Request for a description of the shares.
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
