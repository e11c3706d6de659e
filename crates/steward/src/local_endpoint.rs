//! Endpoint for the entry and the pool of the same vm.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures::SinkExt;
use futures::StreamExt;
use kameo::actor::ActorRef;
use mustardbay_wire::CodecError;
use mustardbay_wire::FromSteward;
use mustardbay_wire::GrantTokens;
use mustardbay_wire::MessageStream;
use mustardbay_wire::ToSteward;
use mustardbay_wire::framed;
use mustardbay_wire::from_steward;
use mustardbay_wire::to_steward;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

use crate::rate_actor::Disconnect;
use crate::rate_actor::Draw;
use crate::rate_actor::RateActor;
use crate::rates::LinkId;
use crate::view_publisher::SentChanges;
use crate::view_publisher::ViewPublisher;

/// Delay after a failed accept, for example with too many open files.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum number of grants queued for one connection; further ones are dropped.
const MAX_QUEUED_GRANTS: usize = 1024;

type Socket = MessageStream<TcpStream, FromSteward, ToSteward>;

/// Endpoint that pushes view updates and answers draws of tokens.
#[derive(Debug, Clone)]
pub(crate) struct LocalEndpoint {
    publisher: Arc<ViewPublisher>,
    rates: ActorRef<RateActor>,
    next_link: Arc<AtomicU64>,
}

impl LocalEndpoint {
    pub(crate) fn new(publisher: Arc<ViewPublisher>, rates: ActorRef<RateActor>) -> Self {
        Self {
            publisher,
            rates,
            next_link: Arc::default(),
        }
    }

    /// Accepts connections in the background and returns the bound address.
    pub(crate) async fn serve(self, address: &str) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind(address).await?;
        let bound = listener.local_addr()?;
        tokio::spawn(self.accept(listener));
        Ok(bound)
    }

    async fn accept(self, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    tokio::spawn(self.clone().handle_connection(stream));
                }
                Err(e) => {
                    tracing::warn!(event = "local_accept_failed", error = %e);
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    async fn handle_connection(self, stream: TcpStream) {
        let link = LinkId(self.next_link.fetch_add(1, Ordering::Relaxed));
        if let Err(e) = self.serve_connection(stream, link).await {
            tracing::warn!(event = "local_link_failed", link = link.0, error = %e);
        }
        if self.rates.tell(Disconnect(link)).await.is_err() {
            tracing::debug!(event = "rate_actor_gone");
        }
    }

    async fn serve_connection(&self, stream: TcpStream, link: LinkId) -> Result<(), CodecError> {
        stream.set_nodelay(true)?;
        let mut socket: Socket = framed(stream);
        let mut changes = self.publisher.subscribe();
        changes.mark_changed();
        let mut sent = SentChanges::default();
        let (outbox, mut grants) = mpsc::channel(MAX_QUEUED_GRANTS);
        loop {
            tokio::select! {
                change = changes.changed() => {
                    if change.is_err() {
                        return Ok(());
                    }
                    let update = changes.borrow_and_update().update(&mut sent);
                    if let Some(update) = update {
                        send(&mut socket, from_steward::Body::View(update)).await?;
                    }
                }
                Some(grant) = grants.recv() => {
                    send(&mut socket, from_steward::Body::Grant(grant)).await?;
                }
                message = socket.next() => match message {
                    Some(message) => self.receive(message?, link, &outbox).await,
                    None => return Ok(()),
                },
            }
        }
    }

    async fn receive(&self, message: ToSteward, link: LinkId, outbox: &mpsc::Sender<GrantTokens>) {
        match message.body {
            Some(to_steward::Body::Hello(hello)) => {
                let program = hello.program;
                tracing::info!(event = "local_connected", link = link.0, program);
            }
            Some(to_steward::Body::Draw(draw)) => {
                let draw = Draw {
                    link,
                    request: draw,
                    reply: outbox.clone(),
                };
                if self.rates.tell(draw).await.is_err() {
                    tracing::debug!(event = "rate_actor_gone");
                }
            }
            Some(to_steward::Body::Health(health)) => {
                let reachable = health.reachable;
                let upstream = health.upstream;
                tracing::debug!(event = "upstream_health", upstream, reachable);
            }
            None => {}
        }
    }
}

async fn send(socket: &mut Socket, body: from_steward::Body) -> Result<(), CodecError> {
    socket.send(FromSteward { body: Some(body) }).await
}
